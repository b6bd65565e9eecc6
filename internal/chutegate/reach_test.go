package chutegate

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a table that is read late because a poll of another table, lost seconds ago, fails after
// the store has answered again.
func TestStoreReach(t *testing.T) {
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	for _, test := range []struct {
		name   string
		reads  func(r *storeReach)
		failed bool
	}{
		{"a read that fails", func(r *storeReach) { r.record(at(10), at(800), false) }, true},
		{"a read that fails after a later one was answered", func(r *storeReach) {
			r.record(at(900), at(905), true)
			r.record(at(10), at(3500), false)
		}, false},
		{"a read that is answered after a later one has failed", func(r *storeReach) {
			r.record(at(900), at(1700), false)
			r.record(at(10), at(1800), true)
		}, true},
		{"a read that fails after an earlier one was answered", func(r *storeReach) {
			r.record(at(10), at(20), true)
			r.record(at(900), at(1700), false)
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var r storeReach
			test.reads(&r)
			_, failed := r.failedAt()
			qt.Assert(t, failed, qt.Equals, test.failed)
		})
	}
}
