package chutequarantine

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Prefixes of the keys of crashes and of judgements in the quarantine table of the store.
const (
	CrashPrefix     = "crash/"
	JudgementPrefix = "request/"
)

// CrashKey returns the key of a node's report of an upstream's crash.
func CrashKey(upstream, node string) string {
	return fmt.Sprintf("%s%016x", CrashPrefix, xxhash.Sum64String(upstream+"|"+node))
}

// JudgementKey returns the key of the judgement on a request.
func JudgementKey(fingerprint string) string {
	return JudgementPrefix + fingerprint
}

// DecodeCrash decodes a crash's row. ok is false for other rows and if there is an error: the value is
// not valid JSON, or names no upstream.
func DecodeCrash(key string, value []byte) (c Crash, ok bool, err error) {
	if !strings.HasPrefix(key, CrashPrefix) {
		return Crash{}, false, nil
	}
	if err = json.Unmarshal(value, &c); err == nil && c.Upstream == "" {
		err = fmt.Errorf("row %s: Upstream is empty", key)
	}

	return c, err == nil, err
}

// DecodeJudgement decodes a judgement's row. ok is false for other rows and if there is an error: the
// value is not valid JSON, or its fingerprint differs from that of the key.
func DecodeJudgement(key string, value []byte) (j Judgement, ok bool, err error) {
	fingerprint, hasPrefix := strings.CutPrefix(key, JudgementPrefix)
	if !hasPrefix {
		return Judgement{}, false, nil
	}
	if err = json.Unmarshal(value, &j); err == nil && j.Fingerprint != fingerprint {
		err = fmt.Errorf("row %s: Fingerprint is %q", key, j.Fingerprint)
	}

	return j, err == nil, err
}
