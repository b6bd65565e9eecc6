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

// expectChosen draws many times and fails unless exactly these upstreams are chosen.
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
	t.Run("a leaving upstream gets no call, also when a stale list says that it is ready", func(t *testing.T) {
		// The upstream itself told this node that it leaves. The platform's list
		// comes late and says ready. A call sent on its word would be cut off.
		c := qt.New(t)
		f := fleetOf(upstream("a", "z1"), upstream("b", "z1")).WithLeaving("a")
		f = f.WithList([]Upstream{upstream("a", "z1"), upstream("b", "z1")}, false, start)
		expectChosen(c, f, Query{Pool: "p"}, start, "b")
	})

	t.Run("a missing upstream stays while the list settles, and goes after it", func(t *testing.T) {
		// The store was away and entries ran out meanwhile. Their upstreams live
		// and are back in the list within seconds; without them the pool is empty.
		c := qt.New(t)
		f := fleetOf(upstream("a", "z1"))
		held := f.WithList(nil, true, start)
		expectChosen(c, held, Query{Pool: "p"}, start, "a")
		expectChosen(c, held.WithList(nil, false, start), Query{Pool: "p"}, start)
	})
}

func TestSilence(t *testing.T) {
	t.Run("a silent upstream is set aside and tried again by one call at a time", func(t *testing.T) {
		// A connection attempt to "a" got no answer. Calls go to "b" until the pause
		// is over; then one call tries "a", and others wait for how that ends.
		c := qt.New(t)
		f := fleetOf(upstream("a", "z1"), upstream("b", "z1")).WithFailure("a", FailureSilent, start)
		expectChosen(c, f, Query{Pool: "p"}, start, "b")
		later := start.Add(initialSetAside)
		c.Assert(f.Availability("a", later).IsAvailable(), qt.IsTrue)
		f = f.WithCallSent("a", 0, start)
		c.Assert(f.Availability("a", later).IsAvailable(), qt.IsFalse)
		c.Assert(f.WithSuccess("a", later).Availability("a", later).IsAvailable(), qt.IsTrue)
	})

	t.Run("the pause grows and stays bounded", func(t *testing.T) {
		c := qt.New(t)
		f := fleetOf(upstream("a", "z1"))
		for range 10 {
			f = f.WithFailure("a", FailureSilent, start)
		}
		c.Assert(f.Availability("a", start.Add(maxSetAside-time.Millisecond)).IsAvailable(), qt.IsFalse)
		c.Assert(f.Availability("a", start.Add(maxSetAside)).IsAvailable(), qt.IsTrue)
	})
}

func TestEvidence(t *testing.T) {
	t.Run("an upstream that fails among its answers gets fewer calls, and recovers", func(t *testing.T) {
		c := qt.New(t)
		f := fleetOf(upstream("a", "z1"), upstream("b", "z1"))
		for range 3 {
			f = f.WithFailure("a", FailureErrored, start)
		}
		expectChosen(c, f, Query{Pool: "p"}, start, "b")
		expectChosen(c, f, Query{Pool: "p"}, start.Add(time.Minute), "a", "b")
	})

	t.Run("load that others put on an upstream counts while the report is fresh", func(t *testing.T) {
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

	t.Run("requests with one prefix meet at one upstream, at every node", func(t *testing.T) {
		c := qt.New(t)
		here, _ := fleetOf(all...).Choose(Query{Pool: "p", Affinity: "s7"}, start, 0.1)
		there, _ := New("z2").WithList(all, false, start).Choose(Query{Pool: "p", Affinity: "s7"}, start, 0.9)
		c.Assert(here.ID, qt.Equals, there.ID)
	})

	t.Run("an overloaded holder hands over to the next one", func(t *testing.T) {
		// One session gets much of the traffic. Its upstream would queue for
		// seconds while the others idle.
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
