package chutegate

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"azurechute.example/azurechute/internal/chutequarantine"
)

// fingerprintBytes is the length of a fingerprint in bytes. With half of a SHA-256 nobody can
// construct a request that has the fingerprint of another caller's request.
const fingerprintBytes = 16

// requestFingerprint identifies what an upstream is asked to run: two requests have the same
// fingerprint if and only if workspace, host, method, path with query, and body are the same.
//
// The workspace is part of it, so that no caller can get another workspace's requests refused.
func requestFingerprint(workspace string, in *IncomingRequest) string {
	h := sha256.New()
	for _, field := range []string{workspace, in.Host, in.Method, in.URI} {
		// The length prefix keeps the end of one field from being read as the start of the next.
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field)))) // Write of a hash never fails
		_, _ = h.Write([]byte(field))
	}
	_, _ = h.Write(in.Body)

	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// promptElements returns the elements that crashes are put down to of the parts of a prompt.
func promptElements(parts []string) []string {
	if len(parts) == 0 {
		return nil
	}
	elements := make([]string, 0, len(parts))
	for _, id := range parts {
		elements = append(elements, chutequarantine.PartElement(id))
	}

	return elements
}
