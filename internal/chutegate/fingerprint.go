package chutegate

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintBytes is the length of a fingerprint. Half of a SHA-256 leaves nobody a way
// to make a request whose fingerprint is that of another caller's.
const fingerprintBytes = 16

// fingerprint names what an upstream is asked to run: two sendings have the same one if
// and only if workspace, host, method, path with query, and body are the same.
//
// The caller's own id of a sending is left out, since each sending has another. The
// workspace is in it, so that no caller can have another workspace's requests refused. A
// body of 1 MB takes 2 ms on a machine that is busy otherwise (BenchmarkFingerprint).
func requestFingerprint(workspace string, in *IncomingRequest) string {
	h := sha256.New()
	for _, field := range []string{workspace, in.Host, in.Method, in.URI} {
		// The length keeps one field's end from being read as the next one's beginning.
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field)))) // a hash takes everything
		_, _ = h.Write([]byte(field))
	}
	_, _ = h.Write(in.Body)

	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}
