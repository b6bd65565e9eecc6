package chutegate

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chuterelay"
)

func TestSettling(t *testing.T) {
	t.Run("rows are looked at once more when the list has settled", func(t *testing.T) {
		// The store was away and is back. An upstream leaves a second later, and is
		// kept for its entry could have run out. No row changes after that.
		c := qt.New(t)
		now := time.Unix(1000, 0)
		local := newLocalTable("t", minStaleAfter)
		local.recordStoreResult(false, now)
		c.Assert(local.needsReview(now), qt.IsTrue)
		local.recordStoreResult(true, now)
		c.Assert(local.needsReview(now.Add(settlePeriod-1)), qt.IsTrue)
		c.Assert(local.needsReview(now.Add(settlePeriod)), qt.IsTrue)
		c.Assert(local.needsReview(now.Add(settlePeriod)), qt.IsFalse)
	})
}

func TestDrainingNodeKeepsSource(t *testing.T) {
	// All nodes of a zone are restarted in turn. Those that shut down read all tables
	// themselves otherwise, and each restart changes one: on 82 nodes that made a
	// thousand calls in ten seconds.
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
	c.Assert(nextPollWait(true, peersPollWait), qt.Equals, peersPollWait)
	c.Assert(nextPollWait(false, peersPollWait), qt.Equals, time.Duration(0))
}

func TestQuestions(t *testing.T) {
	start := time.Unix(1000, 0)

	t.Run("a table that was up to date a moment ago is not asked for", func(t *testing.T) {
		// The reader loses one answer of the store. All its followers would read for
		// themselves, three tables each, although it is up to date a moment later.
		c := qt.New(t)
		c.Assert(readFailures{}.nextReadAt(start, minStaleAfter), qt.Equals, start.Add(minStaleAfter))
		c.Assert(readFailures{}.nextReadAt(start.Add(minStaleAfter-1), minStaleAfter).After(start.Add(minStaleAfter)), qt.IsTrue)
	})

	t.Run("while the store is away from all, each asks ever more seldom", func(t *testing.T) {
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

	t.Run("an answer makes the next lack start anew", func(t *testing.T) {
		c := qt.New(t)
		failures := readFailures{}.withResult(false, start).withResult(false, start)
		c.Assert(failures.nextReadAt(start.Add(time.Second), minStaleAfter), qt.Equals, start.Add(time.Second+minStaleAfter))
		c.Assert(failures.withResult(true, start).nextReadAt(start, minStaleAfter), qt.Equals, start.Add(minStaleAfter))
	})
}
