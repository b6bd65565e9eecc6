package chutegate

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chuterelay"
)

func TestSettling(t *testing.T) {
	t.Run("rows are looked at once more after the list has settled", func(t *testing.T) {
		// The store was unavailable and is back. An upstream leaves a second later, and is kept
		// because its entry might only have expired. No row changes after that.
		c := qt.New(t)
		now := time.Unix(1000, 0)
		local := newLocalTable("t", minStaleAfter, time.Now)
		local.recordStoreResult(false, now)
		c.Assert(local.needsReview(now), qt.IsTrue)
		local.recordStoreResult(true, now)
		c.Assert(local.needsReview(now.Add(settlePeriod-1)), qt.IsTrue)
		c.Assert(local.needsReview(now.Add(settlePeriod)), qt.IsTrue)
		c.Assert(local.needsReview(now.Add(settlePeriod)), qt.IsFalse)
	})

	t.Run("a read that was lost before the return does not begin the period anew", func(t *testing.T) {
		// Two goroutines read the list. One of them waits for an answer that was lost when the other one gets its own.
		c := qt.New(t)
		n, _ := newTestNode(testDecoders())
		clock := n.clock.(*clockwork.FakeClock)
		local := n.localTables["u"]
		var fail func()
		n.store.AwaitChanges = func(context.Context, string, uint64, time.Duration) (Page, error) { return newPage(2), nil }
		n.store.ReadAll = func(context.Context, string) (Page, error) {
			if fail != nil {
				fail()

				return Page{}, context.DeadlineExceeded
			}

			return newPage(1), nil
		}
		read := func() { _, _ = n.readStoreOrPeer(context.Background(), local, 0, callRead, func() {}) }
		fail = func() { clock.Advance(dialTime) }
		read()
		fail = func() {
			fail = nil
			clock.Advance(dialTime / 2)
			read()
			clock.Advance(dialTime / 2)
		}
		read()
		returned := n.Now().Add(-dialTime / 2)
		c.Assert(local.settlesAt(), qt.Equals, returned.Add(settlePeriod))
		c.Assert(local.isSettling(returned.Add(settlePeriod)), qt.IsFalse)
		c.Assert(local.stateForFollowers(n.Now()).Current, qt.IsTrue)
	})
}

// Guards against a period that begins anew at a follower, whose own read was lost before the node that it follows had an answer.
func TestLostReadOfFollower(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	local := newLocalTable("t", minStaleAfter, time.Now)
	local.replaceAll(newPage(1))
	local.setSource(chuterelay.Peer{Name: "n1"}, now)
	sentAt := now
	local.recordSourceStatus(true, now.Add(dialTime/2), now.Add(dialTime/2))
	c.Assert(local.isLateFailure(false, sentAt), qt.IsTrue)
	c.Assert(local.isLateFailure(false, now.Add(dialTime)), qt.IsFalse)
	local.recordSourceStatus(false, now.Add(2*dialTime), now.Add(2*dialTime))
	c.Assert(local.isLateFailure(false, now.Add(dialTime)), qt.IsFalse)
}

// Guards against a node that keeps upstreams which are gone for good: a read left changes for the next one, which failed, and
// the node follows another one from then on.
func TestFollowerIsNotBehind(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	local := newLocalTable("t", minStaleAfter, time.Now)
	local.replaceAll(newPage(1))
	local.setSource(chuterelay.Peer{Name: "n1"}, now)
	local.setBehind(true)
	c.Assert(local.isSettling(now), qt.IsTrue)
	local.recordSourceStatus(false, time.Time{}, now)
	c.Assert(local.isSettling(now), qt.IsTrue)
	c.Assert(local.stateForFollowers(now).Current, qt.IsFalse)
	local.recordSourceStatus(true, now, now)
	c.Assert(local.isSettling(now), qt.IsFalse)
	c.Assert(local.stateForFollowers(now).Current, qt.IsTrue)
}

// dialTime is how long an attempt to connect takes that is lost.
const dialTime = 500 * time.Millisecond

func TestDrainingNodeKeepsSource(t *testing.T) {
	// Guards against nodes that read all tables from the store while they shut down. If all nodes
	// of a zone restart in turn, each restart changes a table: on 82 nodes that made a thousand
	// calls in ten seconds.
	c := qt.New(t)
	n := New(Settings{Self: chuterelay.Peer{Name: "n0", Zone: "z"}}, clockwork.NewFakeClock(), zerolog.Nop(), Store{}, Decoders{}, Upstreams{})
	var all []chuterelay.Peer
	for i := range maxDirectReaders + 1 {
		all = append(all, chuterelay.Peer{Name: fmt.Sprint("n", i), Zone: "z", Power: 1})
	}
	n.nodes.Store(&all)
	n.draining.Store(true)
	source, ok := n.source()
	c.Assert(ok, qt.IsTrue)
	c.Assert(source.Name, qt.Not(qt.Equals), "n0")
	few := all[:maxDirectReaders]
	n.nodes.Store(&few)
	_, ok = n.source()
	c.Assert(ok, qt.IsFalse)
}

func TestNextPollWait(t *testing.T) {
	c := qt.New(t)
	const poll = peersPollWait
	c.Assert(nextPollWait(true, 0, 0, poll), qt.Equals, poll)
	c.Assert(nextPollWait(true, poll, 0, poll), qt.Equals, poll)
	c.Assert(nextPollWait(false, poll, 0, poll), qt.Equals, time.Duration(0))
	// The answer had changes, and confirms the table as of the poll's start only.
	c.Assert(nextPollWait(true, poll, time.Second, poll), qt.Equals, time.Duration(0))
	// A slow store must not be asked without a pause.
	c.Assert(nextPollWait(true, 0, time.Second, poll), qt.Equals, poll)
}

func TestAnsweredAsOf(t *testing.T) {
	began := time.Unix(1000, 0)
	at := began.Add
	c := qt.New(t)
	c.Assert(answeredAsOf(began, at(configPollWait+time.Second), configPollWait, 0), qt.Equals, at(configPollWait))
	c.Assert(answeredAsOf(began, at(configPollWait/2), configPollWait, 0), qt.Equals, began)
	c.Assert(answeredAsOf(began, at(configPollWait), configPollWait, 1), qt.Equals, began)
	c.Assert(answeredAsOf(began, at(time.Second), 0, 0), qt.Equals, began)
}

func TestQuestions(t *testing.T) {
	start := time.Unix(1000, 0)

	t.Run("a table that was up to date a moment ago is not read", func(t *testing.T) {
		// The node that reads the store loses one answer. If that made its followers read the
		// store, each would read three tables, although the tables are up to date a moment later.
		c := qt.New(t)
		c.Assert(readFailures{}.nextReadAt(start, minStaleAfter), qt.Equals, start.Add(minStaleAfter))
		c.Assert(readFailures{}.nextReadAt(start.Add(minStaleAfter-1), minStaleAfter).After(start.Add(minStaleAfter)), qt.IsTrue)
	})

	t.Run("while the store is unavailable, the pause between reads grows", func(t *testing.T) {
		c := qt.New(t)
		failures, now, asked := readFailures{}, start, 0
		for now.Before(start.Add(12 * time.Second)) {
			if !now.Before(failures.nextReadAt(start, minStaleAfter)) {
				asked++
				failures = failures.withResult(false, now)
			}
			now = now.Add(100 * time.Millisecond)
		}
		c.Assert(asked, qt.Equals, 6)
	})

	t.Run("an answer resets the pause", func(t *testing.T) {
		c := qt.New(t)
		failures := readFailures{}.withResult(false, start).withResult(false, start)
		c.Assert(failures.nextReadAt(start.Add(time.Second), minStaleAfter), qt.Equals, start.Add(time.Second+minStaleAfter))
		c.Assert(failures.withResult(true, start).nextReadAt(start, minStaleAfter), qt.Equals, start.Add(minStaleAfter))
	})
}
