package chutegate

import (
	"context"
	"fmt"
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

// Guards against a table that is read late because its reader waits although the store has answered a read of another one.
func TestStoreReturnWakesReaders(t *testing.T) {
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	isClosed := func(signal <-chan struct{}) bool {
		select {
		case <-signal:
			return true
		default:
			return false
		}
	}
	c := qt.New(t)
	var r storeReach
	r.record(at(10), at(20), true)
	r.record(at(100), at(600), false)
	signal := r.returnedSignal()
	r.record(at(50), at(610), true)
	c.Assert(isClosed(signal), qt.IsFalse, qt.Commentf("an answer to a read from before the failure"))
	r.record(at(700), at(705), true)
	c.Assert(isClosed(signal), qt.IsTrue)
	c.Assert(isClosed(r.returnedSignal()), qt.IsFalse)
	r.record(at(800), at(805), true)
	c.Assert(isClosed(r.returnedSignal()), qt.IsFalse, qt.Commentf("an answer without a failure before it"))
}

// Guards against long pauses after reads that never reached the store, and against short ones while it refuses calls.
func TestRetryDelay(t *testing.T) {
	const dial = 500 * time.Millisecond
	c := qt.New(t)
	for failures := 1; failures < 10; failures++ {
		c.Assert(dial+retryDelay(context.DeadlineExceeded, failures, dial), qt.Equals, unansweredRetryInterval)
		c.Assert(retryDelay(context.DeadlineExceeded, failures, readTimeout), qt.Equals, unansweredRetryPause)
	}
	refused := fmt.Errorf("status 503: %w", ErrStoreRefused)
	c.Assert(retryDelay(refused, 1, 0), qt.Equals, readRetryPause)
	c.Assert(retryDelay(refused, 9, 0), qt.Equals, maxReadRetryPause)
}
