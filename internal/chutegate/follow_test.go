package chutegate

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSettling(t *testing.T) {
	t.Run("rows are looked at once more when the list has settled", func(t *testing.T) {
		// The store was away and is back. An upstream leaves a second later, and is
		// kept for its entry could have run out. No row changes after that.
		c := qt.New(t)
		now := time.Unix(1000, 0)
		w := newWatch("t")
		w.reached(false, now)
		c.Assert(w.unsettled(now), qt.IsTrue)
		w.reached(true, now)
		c.Assert(w.unsettled(now.Add(settle-1)), qt.IsTrue)
		c.Assert(w.unsettled(now.Add(settle)), qt.IsTrue)
		c.Assert(w.unsettled(now.Add(settle)), qt.IsFalse)
	})
}

func TestStaleness(t *testing.T) {
	start := time.Unix(1000, 0)

	t.Run("a short lack of the reader's is waited out", func(t *testing.T) {
		// The reader loses one answer of the store. All its followers would read for
		// themselves, three tables each, although it is up to date a moment later.
		c := qt.New(t)
		s := staleness{}.with(false, start).with(false, start.Add(stalePatience-1))
		c.Assert(s.due(start.Add(stalePatience-1)), qt.IsFalse)
		s = s.with(true, start.Add(stalePatience))
		c.Assert(s.due(start.Add(time.Hour)), qt.IsFalse)
	})

	t.Run("a longer one makes the follower ask", func(t *testing.T) {
		c := qt.New(t)
		s := staleness{}.with(false, start)
		c.Assert(s.due(start.Add(stalePatience)), qt.IsTrue)
	})

	t.Run("while the store is away from all, each asks ever more seldom", func(t *testing.T) {
		c := qt.New(t)
		s, now, asked := staleness{}, start, 0
		for now.Before(start.Add(12 * time.Second)) {
			s = s.with(false, now)
			if s.due(now) {
				asked++
				s = s.failed(now)
			}
			now = now.Add(100 * time.Millisecond)
		}
		c.Assert(asked, qt.Equals, 5)
	})
}
