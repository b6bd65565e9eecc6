package chutefleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

func upstream(id, zone string) Upstream {
	return Upstream{ID: id, Name: id, Pool: "p", Zone: zone, Slots: 4, State: StateReady}
}

func fleetOf(upstreams ...Upstream) Fleet {
	return New("z1").WithList(upstreams, false, start)
}

// expectChosen calls Choose with many tie breaks and fails the test unless exactly these
// upstreams are chosen.
func expectChosen(c *qt.C, f Fleet, q Query, now time.Time, want ...string) {
	c.Helper()
	got := map[string]bool{}
	const draws = 20
	for i := range draws {
		if u, ok := f.Choose(q, now, float64(i)/draws); ok {
			got[u.ID] = true
		}
	}
	c.Assert(got, qt.HasLen, len(want))
	for _, id := range want {
		c.Assert(got[id], qt.IsTrue, qt.Commentf("%s is not chosen", id))
	}
}

func TestLeaving(t *testing.T) {
	t.Run("a leaving upstream gets no call, also if a stale list says that it is ready", func(t *testing.T) {
		// The upstream has told this node that it leaves. The platform's list arrives
		// later and is stale. A call sent because of it would be aborted.
		c := qt.New(t)
		f := fleetOf(upstream("a", "z1"), upstream("b", "z1")).WithLeaving("a", start)
		f = f.WithList([]Upstream{upstream("a", "z1"), upstream("b", "z1")}, false, start)
		expectChosen(c, f, Query{Pool: "p"}, start, "b")
	})

	t.Run("a missing upstream stays with keepMissing, and is removed without", func(t *testing.T) {
		// The store was unavailable and entries expired meanwhile. Their upstreams are
		// alive and in the list again within seconds; without them the pool is empty.
		c := qt.New(t)
		f := fleetOf(upstream("a", "z1"))
		held := f.WithList(nil, true, start)
		expectChosen(c, held, Query{Pool: "p"}, start, "a")
		expectChosen(c, held.WithList(nil, false, start), Query{Pool: "p"}, start)
	})
}

func TestSilence(t *testing.T) {
	t.Run("a silent upstream is suspended, then gets one trial call at a time", func(t *testing.T) {
		// A connection attempt to "a" got no answer. Calls go to "b" while "a" is
		// suspended; then "a" gets one trial call, and no other until that succeeds.
		c := qt.New(t)
		f := fleetOf(upstream("a", "z1"), upstream("b", "z1")).WithFailure("a", FailureSilent, start)
		expectChosen(c, f, Query{Pool: "p"}, start, "b")
		later := start.Add(initialSuspension)
		c.Assert(f.Availability("a", later).IsAvailable(), qt.IsTrue)
		f = f.WithCallSent("a", 0, start)
		c.Assert(f.Availability("a", later).IsAvailable(), qt.IsFalse)
		c.Assert(f.WithSuccess("a", later).Availability("a", later).IsAvailable(), qt.IsTrue)
	})

	t.Run("the time for which it is suspended grows up to a maximum", func(t *testing.T) {
		c := qt.New(t)
		f := fleetOf(upstream("a", "z1"))
		for range 10 {
			f = f.WithFailure("a", FailureSilent, start)
		}
		c.Assert(f.Availability("a", start.Add(maxSuspension-time.Millisecond)).IsAvailable(), qt.IsFalse)
		c.Assert(f.Availability("a", start.Add(maxSuspension)).IsAvailable(), qt.IsTrue)
	})
}

func TestEvidence(t *testing.T) {
	t.Run("an upstream with recent failures gets fewer calls, and recovers", func(t *testing.T) {
		c := qt.New(t)
		f := fleetOf(upstream("a", "z1"), upstream("b", "z1"))
		for range 3 {
			f = f.WithFailure("a", FailureErrored, start)
		}
		expectChosen(c, f, Query{Pool: "p"}, start, "b")
		expectChosen(c, f, Query{Pool: "p"}, start.Add(time.Minute), "a", "b")
	})

	t.Run("other nodes' calls count as load while the report is recent", func(t *testing.T) {
		c := qt.New(t)
		f := fleetOf(upstream("a", "z1"), upstream("b", "z1")).WithLoad("a", 3, 2, start)
		expectChosen(c, f, Query{Pool: "p"}, start, "b")
		expectChosen(c, f, Query{Pool: "p"}, start.Add(loadReportLifetime), "a", "b")
	})
}

func TestAffinity(t *testing.T) {
	var all []Upstream
	for i := range 8 {
		all = append(all, upstream(fmt.Sprint("u", i), "z1"))
	}

	t.Run("all nodes choose the same upstream for a prefix", func(t *testing.T) {
		c := qt.New(t)
		here, _ := fleetOf(all...).Choose(Query{Pool: "p", Affinity: "s7"}, start, 0.1)
		there, _ := New("z2").WithList(all, false, start).Choose(Query{Pool: "p", Affinity: "s7"}, start, 0.9)
		c.Assert(here.ID, qt.Equals, there.ID)
	})

	t.Run("the next upstream is chosen if the first is overloaded", func(t *testing.T) {
		// One prefix gets much of the traffic. At one upstream its requests would queue
		// for seconds while the others are idle.
		c := qt.New(t)
		f := fleetOf(all...)
		first, _ := f.Choose(Query{Pool: "p", Affinity: "hot"}, start, 0)
		for range 3 {
			f = f.WithCallSent(first.ID, 0, start)
		}
		second, _ := f.Choose(Query{Pool: "p", Affinity: "hot"}, start, 0)
		c.Assert(second.ID, qt.Not(qt.Equals), first.ID)
	})

	t.Run("excluded upstreams are not chosen", func(t *testing.T) {
		c := qt.New(t)
		f := fleetOf(all[:2]...)
		first, _ := f.Choose(Query{Pool: "p", Affinity: "s"}, start, 0)
		second, ok := f.Choose(Query{Pool: "p", Affinity: "s", Exclude: []string{first.ID}}, start, 0)
		c.Assert(ok, qt.IsTrue)
		c.Assert(second.ID, qt.Not(qt.Equals), first.ID)
	})
}
