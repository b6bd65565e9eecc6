package chutefleet

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against a ring that loses or doubles upstreams, or that returns them in another order.
func TestRing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r ring
		want := map[uint64]bool{}
		for range rapid.IntRange(1, 400).Draw(t, "changes") {
			position := uint64(rapid.IntRange(0, 150).Draw(t, "position"))
			e := ringEntry{position: position, id: fmt.Sprint(position)}
			if rapid.IntRange(0, 2).Draw(t, "kind") > 0 {
				var isNew bool
				r, isNew = r.with(e)
				if isNew == want[position] {
					t.Fatalf("entry %d was added: %v", position, isNew)
				}
				want[position] = true
			} else {
				r = r.without(e)
				delete(want, position)
			}
		}
		from := uint64(rapid.IntRange(0, 160).Draw(t, "from"))
		var positions, ids []string
		for position := range uint64(161) {
			if want[(from+position)%161] {
				positions = append(positions, fmt.Sprint((from+position)%161))
			}
		}
		for id := range r.from(from) {
			ids = append(ids, id)
		}
		if !slices.Equal(ids, positions) || r.size != len(want) {
			t.Fatalf("got %v of size %d, want %v", ids, r.size, positions)
		}
	})
}

// Guards against upstreams of a large pool that get several times the calls of others because of their place in the ring.
func TestRingDraw(t *testing.T) {
	var r ring
	const entries, draws = 100, 50_000
	for i := range entries {
		r, _ = r.with(entryOf(&Upstream{ID: fmt.Sprint(i), Name: fmt.Sprint("u", i)}))
	}
	random, counts := rand.NewPCG(1, 1), map[string]int{}
	for range draws {
		counts[r.draw(random)]++
	}
	for i := range entries {
		if n := counts[fmt.Sprint(i)]; n < draws/entries*3/4 || n > draws/entries*5/4 {
			t.Fatalf("entry %d was drawn %d times, %d on average", i, n, draws/entries)
		}
	}
}

// Guards against a fleet that differs from the list after a series of changes of it.
func TestListChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := map[string]Upstream{}
		changed := New("z1")
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			changed, _ = changed.WithListChange(drawListChange(t, list), rapid.Bool().Draw(t, "hold"), start)
		}
		changed, _ = changed.WithListChange(ListChange{}, false, start)
		whole := New("z1").WithList(slices.Collect(maps.Values(list)), false, start)
		if changed.members.Len() != whole.members.Len() || changed.incarnations.Len() != whole.incarnations.Len() {
			t.Fatalf("%d members, %d are listed", changed.members.Len(), whole.members.Len())
		}
		for _, pool := range []string{"p1", "p2"} {
			expectSamePool(t, changed, whole, pool)
		}
	})
}

// drawListChange returns a change of a few entries, and applies it to the list.
func drawListChange(t *rapid.T, list map[string]Upstream) ListChange {
	var change ListChange
	for range rapid.IntRange(1, 4).Draw(t, "entries") {
		name := fmt.Sprint("u", rapid.IntRange(0, 11).Draw(t, "name"))
		if rapid.IntRange(0, 3).Draw(t, "gone") == 0 {
			delete(list, name)
			change.Gone = append(change.Gone, name)
			change.Entries = slices.DeleteFunc(change.Entries, func(u Upstream) bool { return u.Name == name })

			continue
		}
		u := upstream(name, fmt.Sprint("z", rapid.IntRange(1, 2).Draw(t, "zone")))
		u.Pool = fmt.Sprint("p", rapid.IntRange(1, 2).Draw(t, "pool"))
		u.State = rapid.SampledFrom([]State{StateReady, StateReady, StateLeaving}).Draw(t, "state")
		u.Version = fmt.Sprint("v", rapid.IntRange(1, 2).Draw(t, "version"))
		list[name] = u
		change.Entries = append(change.Entries, u)
		change.Gone = slices.DeleteFunc(change.Gone, func(gone string) bool { return gone == name })
	}

	return change
}

// expectSamePool fails unless both fleets have the same upstreams of a pool at the same places.
func expectSamePool(t *rapid.T, got, want Fleet, pool string) {
	count := 0
	versions := map[string]int{}
	for m := range got.inPool(pool, Use{}) {
		known, ok := want.members.Get(m.ID)
		if !ok || known.Pool != m.Pool || known.Zone != m.Zone || m.Pool != pool {
			t.Fatalf("%s of pool %s is %+v", m.ID, pool, m.Upstream)
		}
		count++
		versions[m.Version]++
	}
	expectSameVersions(t, got, pool, versions)
	if count != want.pools[pool].size || count != got.pools[pool].size {
		t.Fatalf("pool %s has %d upstreams, its size is %d, %d are listed", pool, count, got.pools[pool].size, want.pools[pool].size)
	}
}

// expectSameVersions fails unless the index of each version has as many upstreams of a pool as counted, all of
// that version.
func expectSameVersions(t *rapid.T, f Fleet, pool string, counts map[string]int) {
	for _, version := range []string{"v1", "v2", "v3"} {
		count := 0
		for m := range f.inPool(pool, Use{Bound: true, Version: version}) {
			if m.Pool != pool || m.Version != version {
				t.Fatalf("%s is listed for version %s of pool %s: %+v", m.ID, version, pool, m.Upstream)
			}
			count++
		}
		if count != counts[version] {
			t.Fatalf("version %s of pool %s has %d upstreams, %d are listed", version, pool, count, counts[version])
		}
	}
}

// largeFleet returns a fleet of a node in zone z0 with one pool over five zones.
func largeFleet(upstreams int) Fleet {
	return New("z0").WithList(largeList(upstreams), false, start)
}

func largeList(upstreams int) []Upstream {
	list := make([]Upstream, 0, upstreams)
	for i := range upstreams {
		name := fmt.Sprint("i-", i)
		list = append(list, Upstream{
			ID: name, Name: name, Pool: "p", Address: "127.0.0.1:1", Zone: fmt.Sprint("z", i%5), Version: "v1", Slots: 12, State: StateReady,
		})
	}

	return list
}

var largeSizes = []int{236, 3000, 10_000, 20_000}

// maxCostPower bounds how the cost of a choice and of a change may grow with the number of upstreams.
const maxCostPower = 0.2

// Guards against choices and changes whose cost grows with the number of upstreams.
func TestCostAtSize(t *testing.T) {
	const small, large = 236, 20_000
	allowed := math.Pow(float64(large)/small, maxCostPower)

	t.Run("choice", func(t *testing.T) {
		c := qt.New(t)
		cost := func(upstreams int) float64 {
			f := largeFleet(upstreams)
			for i := range 40 {
				f = f.WithCallSent(fmt.Sprint("i-", 7*i), 0, start)
			}
			n := 0

			return testing.AllocsPerRun(100, func() {
				n++
				_, _ = f.Choose(Query{Pool: "p", Affinity: "prompt"}, start, float64(n%97)/97)
				_, _ = f.Choose(Query{Pool: "p"}, start, float64(n%97)/97)
			})
		}
		c.Assert(cost(large) <= allowed*cost(small), qt.IsTrue, qt.Commentf("%v allocations, %v with fewer", cost(large), cost(small)))
	})

	t.Run("change of the list", func(t *testing.T) {
		c := qt.New(t)
		cost := func(upstreams int) float64 {
			f := largeFleet(upstreams)
			leaving := largeList(upstreams)[5]
			leaving.State = StateLeaving
			joining := leaving
			joining.ID, joining.Name = "new", "new"

			return testing.AllocsPerRun(100, func() {
				_, _ = f.WithListChange(ListChange{Entries: []Upstream{leaving, joining}, Gone: []string{"i-9"}}, false, start)
			})
		}
		c.Assert(cost(large) <= allowed*cost(small), qt.IsTrue, qt.Commentf("%v allocations, %v with fewer", cost(large), cost(small)))
	})
}

func TestChooseInLargePool(t *testing.T) {
	const upstreams = 3000
	prompt := func(i int) Query { return Query{Pool: "p", Affinity: fmt.Sprint("prompt", i)} }

	t.Run("guards against prompts that move when one upstream comes or goes", func(t *testing.T) {
		c := qt.New(t)
		f := largeFleet(upstreams)
		fewer, _ := f.WithListChange(ListChange{Gone: []string{"i-77"}}, false, start)
		moved := 0
		const prompts = 6000
		for i := range prompts {
			before, _ := f.Choose(prompt(i), start, 0.5)
			after, _ := fewer.Choose(prompt(i), start, 0.1)
			if before.ID != after.ID {
				moved++
			}
		}
		// One in 3,000 has to move; its neighbours' windows shift by one.
		c.Assert(moved <= 6*prompts/upstreams, qt.IsTrue, qt.Commentf("%d of %d prompts moved", moved, prompts))
	})

	t.Run("prompts are spread evenly, and each node chooses the same upstream", func(t *testing.T) {
		c := qt.New(t)
		f := largeFleet(upstreams)
		far := New("z3").WithList(largeList(upstreams), false, start)
		counts := map[string]int{}
		const prompts = 30 * upstreams
		for i := range prompts {
			u, _ := f.Choose(prompt(i), start, 0.5)
			counts[u.ID]++
			if i%100 == 0 {
				other, _ := far.Choose(prompt(i), start, 0.9)
				c.Assert(other.ID, qt.Equals, u.ID)
			}
		}
		most := 0
		for _, count := range counts {
			most = max(most, count)
		}
		c.Assert(most <= 3*prompts/upstreams, qt.IsTrue, qt.Commentf("one upstream gets %d prompts, %d are the mean", most, prompts/upstreams))
		c.Assert(len(counts) >= 99*upstreams/100, qt.IsTrue, qt.Commentf("%d upstreams get prompts", len(counts)))
	})
}

func TestChooseWithoutPromptInLargePool(t *testing.T) {
	const upstreams = 3000

	t.Run("without a prompt, an idle upstream of the own zone is chosen", func(t *testing.T) {
		c := qt.New(t)
		f := largeFleet(upstreams)
		chosen := map[string]bool{}
		for i := range 300 {
			u, _ := f.Choose(Query{Pool: "p"}, start, float64(i)/300)
			c.Assert(u.Zone, qt.Equals, "z0")
			c.Assert(f.InFlight("p"), qt.Equals, i)
			f = f.WithCallSent(u.ID, 0, start)
			chosen[u.ID] = true
		}
		c.Assert(len(chosen) > 250, qt.IsTrue, qt.Commentf("300 calls went to %d upstreams", len(chosen)))
	})

	t.Run("a full zone, a zone that is cut off, evacuated or forbidden is left to others", func(t *testing.T) {
		c := qt.New(t)
		f := largeFleet(upstreams)
		for m := range f.inZone("p", "z0", Use{}) {
			for range 5 {
				f = f.WithCallSent(m.ID, 0, start)
			}
		}
		u, _ := f.Choose(Query{Pool: "p"}, start, 0.3)
		c.Assert(u.Zone, qt.Not(qt.Equals), "z0")
		idle := largeFleet(upstreams)
		for i := range 50 {
			u, _ = idle.Choose(Query{Pool: "p", Unreachable: []string{"z0"}, Affinity: fmt.Sprint(i)}, start, 0.3)
			c.Assert(u.Zone, qt.Not(qt.Equals), "z0")
			u, _ = idle.WithEvacuated([]string{"z1"}, start).Choose(Query{Pool: "p", Zone: "z1", Affinity: fmt.Sprint(i)}, start, 0.3)
			c.Assert(u.Zone, qt.Not(qt.Equals), "z1")
		}
	})

	t.Run("the last available upstream is found", func(t *testing.T) {
		c := qt.New(t)
		f := largeFleet(upstreams)
		for i := range upstreams {
			if i != 1234 {
				f = f.WithLeaving(fmt.Sprint("i-", i), start)
			}
		}
		u, ok := f.Choose(Query{Pool: "p", Affinity: "a"}, start, 0.3)
		c.Assert(ok, qt.IsTrue)
		c.Assert(u.ID, qt.Equals, "i-1234")
		_, ok = f.WithLeaving("i-1234", start).Choose(Query{Pool: "p", Affinity: "a"}, start, 0.3)
		c.Assert(ok, qt.IsFalse)
	})

	t.Run("observations that say nothing any more are dropped", func(t *testing.T) {
		c := qt.New(t)
		f := largeFleet(upstreams)
		now := start
		for i := range upstreams {
			now = now.Add(failureHalfLife)
			f = f.WithCallSent(fmt.Sprint("i-", i), 10, now)
			f = f.WithLoad(fmt.Sprint("i-", i), 1, 0, now).WithTokensRead(fmt.Sprint("i-", i), 10).WithCallDone(fmt.Sprint("i-", i))
		}
		c.Assert(f.observed.Len() <= minObservedLimit, qt.IsTrue, qt.Commentf("%d observations", f.observed.Len()))
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, upstreams := range largeSizes {
		f := largeFleet(upstreams)
		for i := range 40 {
			f = f.WithCallSent(fmt.Sprint("i-", i), 0, start)
		}
		b.Run(fmt.Sprint(upstreams, " upstreams, prompt"), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				_, _ = f.Choose(Query{Pool: "p", Affinity: "prompt", Exclude: nil}, start, float64(i%97)/97)
			}
		})
		b.Run(fmt.Sprint(upstreams, " upstreams, plain"), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				_, _ = f.Choose(Query{Pool: "p"}, start, float64(i%97)/97)
			}
		})
	}
}

func BenchmarkListChange(b *testing.B) {
	for _, upstreams := range largeSizes {
		list := largeList(upstreams)
		f := New("z0").WithList(list, false, start)
		b.Run(fmt.Sprint(upstreams, " upstreams, one leaves"), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				leaving := list[i%upstreams]
				leaving.State = StateLeaving
				_, _ = f.WithListChange(ListChange{Entries: []Upstream{leaving}}, false, start)
			}
		})
		b.Run(fmt.Sprint(upstreams, " upstreams, one is gone"), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				_, _ = f.WithListChange(ListChange{Gone: []string{list[i%upstreams].Name}}, false, start)
			}
		})
	}
}

// Guards against calls that look at all upstreams of a large pool to find the few of one software version.
func TestRareVersion(t *testing.T) {
	const rare = 5
	list := largeList(10_000)
	for i := range rare {
		list[1999*i].Version = "v2"
	}
	f := New("z0").WithList(list, false, start)
	onTrial := f.WithVersionRules(map[string]VersionRule{"p": {Trial: "v2"}})

	expectRare := func(c *qt.C, f Fleet, use Use) {
		q := Query{Pool: "p", Use: use}
		c.Check(cap(f.candidates(q, start)), qt.Equals, rare)
		c.Check(f.PoolSize("p", use, start), qt.Equals, rare)
		c.Check(f.IsPoolEmpty("p", use, start), qt.IsFalse)
		u, ok := f.Choose(q, start, 0.5)
		c.Check(ok, qt.IsTrue)
		c.Check(u.Version, qt.Equals, "v2")
	}
	t.Run("a call that is bound to it", func(t *testing.T) { expectRare(qt.New(t), f, Use{Bound: true, Version: "v2"}) })
	t.Run("a call of its trial", func(t *testing.T) { expectRare(qt.New(t), onTrial, Use{Side: SideNew}) })

	t.Run("a call that is bound to a version that is gone", func(t *testing.T) {
		c := qt.New(t)
		use := Use{Bound: true, Version: "v3"}
		c.Check(cap(f.candidates(Query{Pool: "p", Use: use}, start)), qt.Equals, 0)
		c.Check(f.IsPoolEmpty("p", use, start), qt.IsTrue)
	})

	t.Run("a call that is bound to the common version is sent to a sample", func(t *testing.T) {
		c := qt.New(t)
		for i := range 50 {
			u, ok := f.Choose(Query{Pool: "p", Use: Use{Bound: true, Version: "v1"}, Affinity: fmt.Sprint(i)}, start, 0.5)
			c.Check(ok, qt.IsTrue)
			c.Check(u.Version, qt.Equals, "v1")
		}
	})
}
