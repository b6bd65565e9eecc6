package chutefleet

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strings"
)

// limitKeyPrefix is the prefix of the keys of limit records in the store.
const limitKeyPrefix = "limit/"

// LimitRecord is a stored row by which one node tells the others of an upstream's limit.
type LimitRecord struct {
	// Upstream is the id of the incarnation, Name the upstream's name, and StartedAt when the incarnation
	// started, in milliseconds since 1970 by its own clock; the latter two are empty in records of nodes with
	// older software.
	Upstream  string
	Name      string `json:",omitempty"`
	StartedAt int64  `json:",omitempty"`
	// Limited means that it announces a limit, of PerSecond requests a second.
	Limited   bool
	PerSecond float64
	// Brittle means that the upstream falls over if it has to turn more than Rejections calls away in a
	// second.
	Brittle    bool `json:",omitempty"`
	Rejections int  `json:",omitempty"`
	// Teller is the node that wrote the record, At its own time in milliseconds, which
	// makes two of its records distinct.
	Teller string
	At     int64
}

// NewLimitRecord returns the record of an upstream's incarnation without anything stated.
func NewLimitRecord(u Upstream) LimitRecord {
	record := LimitRecord{Upstream: u.ID, Name: u.Name}
	if !u.StartedAt.IsZero() {
		record.StartedAt = u.StartedAt.UnixMilli()
	}

	return record
}

// Subject returns what the record is remembered by: the upstream's name, or the incarnation's id if the name is not
// known.
func (r LimitRecord) Subject() string {
	return cmp.Or(r.Name, r.Upstream)
}

// LimitKey returns the key of the limit record of an upstream.
func LimitKey(upstream string) string {
	return limitKeyPrefix + upstream
}

// DecodeLimitRecord decodes a row of the store. ok is false if the row is not a limit
// record or is invalid; for an invalid one err is set.
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
