package chutefleet

import (
	"encoding/json"
	"fmt"
	"strings"
)

// limitPrefix begins the keys of words on limits in the store.
const limitPrefix = "limit/"

// LimitWord is what one node tells the others of an upstream's limit.
type LimitWord struct {
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
	return limitPrefix + upstream
}

// ReadLimitWord decodes the row of a word on a limit; ok is false for other rows.
func ReadLimitWord(key string, value []byte) (w LimitWord, ok bool, err error) {
	upstream, is := strings.CutPrefix(key, limitPrefix)
	if !is {
		return LimitWord{}, false, nil
	}
	if err = json.Unmarshal(value, &w); err == nil && w.Upstream != upstream {
		err = fmt.Errorf("row %s: Upstream is %q", key, w.Upstream)
	}
	if err == nil && (w.PerSecond < 0 || w.Teller == "") {
		err = fmt.Errorf("row %s: PerSecond is %v, Teller %q", key, w.PerSecond, w.Teller)
	}

	return w, err == nil, err
}
