package chuteoverdue

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var (
	start = time.Unix(1000, 0)
	key   = Key{Pool: "p", Pipeline: "l"}
)

const expected = 100 * time.Millisecond

// wait returns a call that has waited for a multiple of its expected time.
func wait(upstream string, sentAt time.Time, ratio float64) Wait {
	return Wait{Key: key, Upstream: upstream, SentAt: sentAt, Expected: expected, Took: time.Duration(ratio * float64(expected))}
}

// withCalls adds n calls whose first events take a multiple of the expected time.
func withCalls(t Table, n int, ratio float64, now time.Time) Table {
	for i := range n {
		t = t.WithFirstEvent(wait(fmt.Sprint("u", i%8), now, ratio), false, now)
	}

	return t
}

func TestFirstEvent(t *testing.T) {
	t.Run("nothing is overdue until 16 calls are known", func(t *testing.T) {
		// Guards against calls that are given up by a table that was lost in a restart and has seen a few quick ones.
		c := qt.New(t)
		table := withCalls(New(), 15, 1, start)
		_, known := table.FirstEvent(key, expected, start)
		c.Assert(known, qt.IsFalse)
		_, known = withCalls(table, 1, 1, start).FirstEvent(key, expected, start)
		c.Assert(known, qt.IsTrue)
	})

	t.Run("the limit grows with the expected time", func(t *testing.T) {
		// Guards against a fixed time-out, under which each long prompt would be given up.
		c := qt.New(t)
		table := withCalls(New(), 100, 1, start)
		light, _ := table.FirstEvent(key, expected, start)
		heavy, _ := table.FirstEvent(key, 40*expected, start)
		c.Assert(light.After >= 3*expected && light.After <= 4*expected, qt.IsTrue, qt.Commentf("%v", light))
		c.Assert(heavy.After >= 83*expected && heavy.After <= 100*expected, qt.IsTrue, qt.Commentf("%v", heavy))
	})

	t.Run("jitter of short calls is below the floor", func(t *testing.T) {
		// Guards against calls of some milliseconds that are given up because of one pause of the scheduler.
		c := qt.New(t)
		limit, _ := withCalls(New(), 100, 1, start).FirstEvent(key, time.Millisecond, start)
		c.Assert(limit.After, qt.Equals, firstEventFloor)
	})

	t.Run("one slow call in eight leaves the limit, one in three raises it", func(t *testing.T) {
		// Guards against one upstream that stalls and, by its slow calls, makes its own stalls count as usual.
		c := qt.New(t)
		before, _ := withCalls(New(), 800, 1, start).FirstEvent(key, expected, start)
		oneStalls, _ := withCalls(withCalls(New(), 700, 1, start), 100, 10, start).FirstEvent(key, expected, start)
		c.Assert(oneStalls.After, qt.Equals, before.After)
		allSlow, _ := withCalls(withCalls(New(), 200, 1, start), 100, 4, start).FirstEvent(key, expected, start)
		c.Assert(allSlow.After > 5*before.After/2, qt.IsTrue, qt.Commentf("%v", allSlow))
	})

	t.Run("what was learned decays", func(t *testing.T) {
		// Guards against limits from an hour ago, when the pool had other upstreams.
		c := qt.New(t)
		table := withCalls(New(), 100, 4, start)
		now := start.Add(5 * time.Minute)
		_, known := table.FirstEvent(key, expected, now)
		c.Assert(known, qt.IsFalse)
		limit, known := withCalls(table, 50, 1, now).FirstEvent(key, expected, now)
		c.Assert(known, qt.IsTrue)
		c.Assert(limit.After <= 4*expected, qt.IsTrue, qt.Commentf("%v", limit))
	})

	t.Run("calls that are given up count as slow ones", func(t *testing.T) {
		// Guards against a spiral: if only the calls that begin were known, each one given up would lower the limit.
		c := qt.New(t)
		table := withCalls(New(), 100, 1, start)
		before, _ := table.FirstEvent(key, expected, start)
		for range 50 {
			table = table.WithAbandoned(wait("u1", start, 3.5), start)
		}
		after, _ := table.FirstEvent(key, expected, start)
		c.Assert(after.After > 2*before.After, qt.IsTrue, qt.Commentf("%v", after))
		for range 50 {
			table = table.WithAbandoned(wait("u1", start, 0.1), start)
		}
		same, _ := table.FirstEvent(key, expected, start)
		c.Assert(same.After, qt.Equals, after.After)
	})
}

func TestOthersBegin(t *testing.T) {
	learned := withCalls(New(), 100, 1, start)
	now := start.Add(time.Second)

	t.Run("calls sent before do not count", func(t *testing.T) {
		// Guards against evidence from before the moment at which the whole pool became slow.
		c := qt.New(t)
		c.Assert(learned.OthersBegin("p", "u0", now), qt.IsFalse)
		c.Assert(withCalls(learned, 8, 1, now).OthersBegin("p", "u0", now), qt.IsTrue)
	})

	t.Run("calls at the same upstream do not count", func(t *testing.T) {
		// Guards against an upstream that answers light calls while it holds a heavy one back, and against the
		// opposite: its slow calls alone must not make the pool count as slow.
		c := qt.New(t)
		table := learned
		for range 20 {
			table = table.WithFirstEvent(wait("u0", now, 1), false, now)
		}
		c.Assert(table.OthersBegin("p", "u0", now), qt.IsFalse)
		for range 20 {
			table = table.WithOverdue(wait("u0", now, 4), now)
		}
		c.Assert(withCalls(table, 8, 1, now).OthersBegin("p", "u0", now), qt.IsTrue)
	})

	t.Run("a pool in which half of the upstreams are slow is slow", func(t *testing.T) {
		// Guards against moves that double the load of the upstreams that are left.
		c := qt.New(t)
		table := withCalls(withCalls(learned, 8, 1, now), 8, 4, now)
		c.Assert(table.OthersBegin("p", "u0", now), qt.IsFalse)
	})
}

func TestNextEvent(t *testing.T) {
	c := qt.New(t)
	table := New()
	for range 15 {
		table = table.WithStream(key, 41, 2*time.Second, start)
	}
	_, known := table.NextEvent(key, start)
	c.Assert(known, qt.IsFalse)
	table = table.WithStream(key, 41, 2*time.Second, start)
	limit, known := table.NextEvent(key, start)
	c.Assert(known, qt.IsTrue)
	// 50 ms between events: the floor of 150 ms is about three times that.
	c.Assert(limit.After >= intervalFloor && limit.After < 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", limit))
	c.Assert(table.EventsLeft(key, 10) > 25 && table.EventsLeft(key, 10) < 36, qt.IsTrue, qt.Commentf("%v", table.EventsLeft(key, 10)))
	c.Assert(table.EventsLeft(key, 1000) > 5, qt.IsTrue)
	// A stream with one event has no interval.
	c.Assert(table.WithStream(key, 1, 0, start).keys.Len(), qt.Equals, 1)
}

func TestViews(t *testing.T) {
	// Guards against a state dump from which nobody can tell why nothing is overdue.
	c := qt.New(t)
	table := withCalls(New(), 20, 1, start).WithOverdue(wait("u1", start, 4), start).WithStream(key, 41, 2*time.Second, start)
	views := table.Views(start)
	c.Assert(views, qt.HasLen, 1)
	view := views[0]
	c.Assert(view.Calls, qt.Equals, 20.0)
	c.Assert(view.Streams, qt.Equals, 1.0)
	c.Assert(view.Ratio > 1 && view.Ratio < 1.2 && view.IntervalMs > 45 && view.IntervalMs < 60, qt.IsTrue, qt.Commentf("%v", view))
	// The first 16 calls were compared with nothing.
	c.Assert([]int{view.Recent, view.Slow}, qt.DeepEquals, []int{5, 1})
}

func TestBounds(t *testing.T) {
	// Guards against memory that grows with the pipelines and pools that come and go with the configuration.
	c := qt.New(t)
	table := New()
	for i := range 3 * maxKeys {
		w := wait("u", start, 1)
		w.Pool, w.Pipeline = fmt.Sprint(i), fmt.Sprint(i)
		now := start.Add(time.Duration(i) * time.Millisecond)
		table = table.WithFirstEvent(w, false, now).WithOverdue(w, now)
	}
	c.Assert(table.keys.Len(), qt.Equals, maxKeys)
	c.Assert(table.pools.Len(), qt.Equals, maxPools)
	newest := fmt.Sprint(3*maxKeys - 1)
	_, kept := table.keys.Get(Key{Pool: newest, Pipeline: newest})
	c.Assert(kept, qt.IsTrue)
	pool, _ := withCalls(withCalls(New(), 20, 1, start), 200, 1, start).pools.Get("p")
	c.Assert(pool.firstEvents, qt.HasLen, maxRecent)
}

// TestAnyInput guards against tables that say nonsense after clocks jumped or after values that no call can have.
func TestAnyInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		duration := rapid.Int64Range(-int64(time.Hour), int64(time.Hour))
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(duration.Draw(t, "passed")))
			w := wait("u", now, 1)
			w.Expected, w.Took = time.Duration(duration.Draw(t, "expected")), time.Duration(duration.Draw(t, "took"))
			before := table
			_, wasKnown := before.FirstEvent(key, expected, now)
			table = table.WithFirstEvent(w, false, now).WithAbandoned(w, now).WithOverdue(w, now).
				WithStream(key, rapid.IntRange(-5, 1000).Draw(t, "length"), w.Took, now).WithInterval(key, "u", w.Took, now)
			if _, known := before.FirstEvent(key, expected, now); known != wasKnown {
				t.Fatalf("a table was modified in place")
			}
			if limit, known := table.FirstEvent(key, expected, now); known && limit.After < firstEventFloor {
				t.Fatalf("limit %v", limit)
			}
			if limit, known := table.NextEvent(key, now); known && limit.After < intervalFloor {
				t.Fatalf("limit %v", limit)
			}
		}
	})
}
