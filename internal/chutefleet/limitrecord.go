package chutefleet

import (
	"encoding/json"
	"fmt"
	"strings"
)

// limitKeyPrefix begins the keys of words on limits in the store.
const limitKeyPrefix = "limit/"

// LimitRecord is what one node tells the others of an upstream's limit.
type LimitRecord struct {
	// Upstream is the incarnation's id.
	Upstream string
	// Limited says that it names a limit, of PerSecond requests a second.
	Limited   bool
	PerSecond float64
	// Teller is the node that tells, At its own time in milliseconds, by which two of its words differ.
	Teller string
	At     int64
}

// LimitKey returns the key of the word on an upstream's limit.
func LimitKey(upstream string) string {
	return limitKeyPrefix + upstream
}

// DecodeLimitRecord decodes the row of a word on a limit; ok is false for other rows.
func DecodeLimitRecord(key string, value []byte) (record LimitRecord, ok bool, err error) {
	keyUpstream, isLimit := strings.CutPrefix(key, limitKeyPrefix)
	if !isLimit {
		return LimitRecord{}, false, nil
	}
	if err = json.Unmarshal(value, &record); err == nil && record.Upstream != keyUpstream {
		err = fmt.Errorf("row %s: Upstream is %q", key, record.Upstream)
	}
	if err == nil && (record.PerSecond < 0 || record.Teller == "") {
		err = fmt.Errorf("row %s: PerSecond is %v, Teller %q", key, record.PerSecond, record.Teller)
	}

	return record, err == nil, err
}
