package chutefair

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

// steadyDemand returns the demand, and the time, after workspaces have requested the given work each
// second.
func steadyDemand(seconds int, work map[string]float64) (Demand, time.Time) {
	d := NewDemand()
	now := start
	for range seconds {
		for name, w := range work {
			d = d.WithWork(name, w, now)
		}
		now = now.Add(time.Second)
	}

	return d, now
}

func TestDemand(t *testing.T) {
	t.Run("shares follow the usual demand", func(t *testing.T) {
		c := qt.New(t)
		d, now := steadyDemand(averagedBins, map[string]float64{"large": 90, "small": 10})
		large, small := d.Share("large", now), d.Share("small", now)
		c.Assert(large > 0.8 && large < 0.9, qt.IsTrue, qt.Commentf("%f", large))
		c.Assert(small > 0.1 && small < 0.2, qt.IsTrue, qt.Commentf("%f", small))
	})

	t.Run("a burst of some seconds hardly changes the usual demand", func(t *testing.T) {
		// A workspace sends eight times its usual work for nine seconds. If that became its usual
		// demand, the end of the burst would be within its share.
		c := qt.New(t)
		d, now := steadyDemand(averagedBins, map[string]float64{"loud": 10, "other": 90})
		before := d.Share("loud", now)
		for range 9 {
			d = d.WithWork("loud", 80, now).WithWork("other", 90, now)
			now = now.Add(time.Second)
		}
		after := d.WithWork("loud", 0, now).Share("loud", now)
		c.Assert(after < 1.6*before, qt.IsTrue, qt.Commentf("%f to %f", before, after))
	})

	t.Run("a lasting change counts as usual within a minute", func(t *testing.T) {
		c := qt.New(t)
		d, now := steadyDemand(20, map[string]float64{"grown": 10, "other": 90})
		for range 60 {
			d = d.WithWork("grown", 30, now).WithWork("other", 90, now)
			now = now.Add(time.Second)
		}
		share := d.Share("grown", now)
		c.Assert(share > 0.2, qt.IsTrue, qt.Commentf("%f", share))
	})

	t.Run("the demand of a workspace that seldom sent work counts as usual within a minute", func(t *testing.T) {
		// At most twice the usual work of a second is counted. For a workspace that sent work once
		// in half a minute that would be next to nothing for minutes.
		c := qt.New(t)
		d, now := steadyDemand(1, map[string]float64{"seldom": 1, "other": 90})
		for i := range 600 {
			d = d.WithWork("other", 90, now)
			if i%30 == 0 {
				d = d.WithWork("seldom", 1, now)
			}
			now = now.Add(time.Second)
		}
		for range 60 {
			d = d.WithWork("seldom", 30, now).WithWork("other", 90, now)
			now = now.Add(time.Second)
		}
		share := d.Share("seldom", now)
		c.Assert(share > 0.2, qt.IsTrue, qt.Commentf("%f", share))
	})

	t.Run("a new workspace has a share", func(t *testing.T) {
		c := qt.New(t)
		d, now := steadyDemand(averagedBins, map[string]float64{"a": 50, "b": 50})
		share := d.WithWork("new", 500, now).Share("new", now)
		c.Assert(share > 0.03 && share < 0.2, qt.IsTrue, qt.Commentf("%f", share))
	})

	t.Run("shares are equal at first, also during a burst of one workspace", func(t *testing.T) {
		// A collector is replaced in the middle of a burst of one workspace, so that its demand starts anew.
		c := qt.New(t)
		d, now := steadyDemand(3, map[string]float64{"loud": 500, "a": 10, "b": 10, "c": 10})
		share := d.Share("loud", now)
		c.Assert(share < 0.35, qt.IsTrue, qt.Commentf("%f", share))
	})

	t.Run("the state is bounded with 37,000 workspaces", func(t *testing.T) {
		c := qt.New(t)
		d := NewDemand()
		for i := range 37_000 {
			d = d.WithWork(fmt.Sprint("w", i), 1, start.Add(time.Duration(i)*time.Millisecond))
		}
		c.Assert(d.workspaces.Len() <= maxWorkspaces, qt.IsTrue)
	})
}

func TestQueue(t *testing.T) {
	t.Run("no workspace exceeds its share in a burst of all alike", func(t *testing.T) {
		c := qt.New(t)
		q := NewQueue()
		for range 100 {
			for i := range 10 {
				name := fmt.Sprint("w", i)
				level := q.Level(name, 0.1, 8)
				c.Assert(level, qt.Equals, 0)
				q = q.WithWork(name, level, 2)
			}
		}
	})

	t.Run("two workspaces in a burst are limited to their shares, and the others go before both", func(t *testing.T) {
		c := qt.New(t)
		q := NewQueue()
		for range 200 {
			for _, name := range []string{"loud", "louder", "louder"} {
				q = q.WithWork(name, q.Level(name, 0.1, 8), 2)
			}
		}
		c.Assert(q.Level("quiet", 0.1, 8), qt.Equals, 0)
		c.Assert(q.Level("loud", 0.1, 8) > 0, qt.IsTrue)
		c.Assert(q.Level("louder", 0.1, 8) > 0, qt.IsTrue)
		c.Assert(q.totals[0] <= 2*(8+2), qt.IsTrue)
	})

	t.Run("an empty queue keeps no entries", func(t *testing.T) {
		c := qt.New(t)
		q := NewQueue().WithWork("a", 1, 3).WithWork("b", 0, 2).WithWork("a", 1, -3).WithWork("b", 0, -2)
		c.Assert(q.waiting.Len(), qt.Equals, 0)
		c.Assert(q.totals, qt.Equals, [maxLevel + 1]int{})
	})
}
