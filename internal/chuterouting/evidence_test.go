package chuterouting

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chuterequest"
)

// serve runs calls, one every 10 ms and 16 at a time at most, to their ends; it returns how many each upstream got.
func serve(t Table, from time.Time, calls int, took func(name string) time.Duration) (Table, map[string]int, time.Time) {
	type running struct {
		name string
		from time.Time
		ends time.Time
	}
	var open []running
	counts := map[string]int{}
	random := seeded(7)
	now := from
	for n := 0; n < calls || len(open) > 0; now = now.Add(10 * time.Millisecond) {
		open = slices.DeleteFunc(open, func(r running) bool {
			if r.ends.After(now) {
				return false
			}
			t = t.WithFinished(r.name, "s", r.ends.Sub(r.from), 10, now)

			return true
		})
		choice, ok := t.Choose(Query{Pool: "p", Stage: "s", Now: now}, random)
		if !ok || len(open) >= 16 || n >= calls {
			continue
		}
		n++
		name := choice.Upstream.Name
		counts[name]++
		t = t.WithDispatched(name, now)
		open = append(open, running{name: name, from: now, ends: now.Add(took(name))})
	}

	return t, counts, now
}

func TestSlowUpstream(t *testing.T) {
	// One of four upstreams becomes ten times slower but fails nothing. Without
	// learning it keeps its share, and a quarter of the callers miss their deadline.
	c := qt.New(t)
	usual := func(string) time.Duration { return 100 * time.Millisecond }
	slow := func(name string) time.Duration {
		if name == "u0" {
			return time.Second
		}

		return usual(name)
	}
	table, even, now := serve(testTable(4), start, 200, usual)
	c.Assert(even["u0"] > 25, qt.IsTrue, qt.Commentf("%v", even))
	c.Assert(table.ServiceTime("p", "s") > 95*time.Millisecond, qt.IsTrue)

	table, slowed, now := serve(table, now, 400, slow)
	c.Assert(slowed["u0"] < 20, qt.IsTrue, qt.Commentf("%v", slowed))

	_, later, _ := serve(table, now.Add(time.Minute), 400, usual)
	c.Assert(later["u0"] > 40, qt.IsTrue, qt.Commentf("it was not tried again: %v", later))

	// The whole pool slows down: that is load, and setting all aside would help nobody.
	table, _, now = serve(testTable(4), start, 100, usual)
	table, _, _ = serve(table, now, 32, func(string) time.Duration { return time.Second })
	for _, u := range table.All() {
		c.Assert(u.Aside, qt.Equals, AsideNone)
	}
}

func TestLearnedSpeed(t *testing.T) {
	// Nothing runs anywhere and nothing is set aside: only the time that u0 took
	// for earlier calls tells that the next caller would wait longer there.
	c := qt.New(t)
	table, _, now := serve(testTable(4), start, 100, func(string) time.Duration { return 100 * time.Millisecond })
	table = table.WithFinished("u0", "s", time.Second, 10, now)
	q := Query{Pool: "p", Stage: "s", Now: now}
	c.Assert(table.All()[0].Aside, qt.Equals, AsideNone)
	c.Assert(chosen(table, q)["u0"], qt.Equals, 0)
	q.Blocks = benchBlocks(1)
	c.Assert(chosen(table.WithCached("u0", q.Blocks, 0), q)["u0"], qt.Equals, 0)
	q = Query{Pool: "p", Stage: "s", Now: now.Add(speedMemory)}
	c.Assert(chosen(table, q)["u0"] > 25, qt.IsTrue, qt.Commentf("it was not tried again"))
}

func TestFrozenUpstream(t *testing.T) {
	// u0 freezes with one call: it neither fails nor finishes, so its learned time
	// stays good. The silence alone has to tell before the stall timeout does.
	c := qt.New(t)
	table, _, now := serve(testTable(2), start, 100, func(string) time.Duration { return 100 * time.Millisecond })
	table = table.WithDispatched("u0", now).WithDispatched("u1", now.Add(800*time.Millisecond))
	counts := chosen(table, Query{Pool: "p", Stage: "s", Now: now.Add(800 * time.Millisecond)})
	c.Assert(counts["u0"], qt.Equals, 0)
}

func TestSetAside(t *testing.T) {
	unreachable := failed(chuterequest.FailureUnreachable)
	t.Run("set aside, tried with one call at a time, and back", func(t *testing.T) {
		// u0 cannot be reached. Its callers would each lose a dial timeout, so it
		// is left alone for a while; one call then finds out whether it is back.
		c := qt.New(t)
		table := testTable(2).WithDispatched("u0", start).WithFailed("u0", unreachable, start)
		expectOnly(c, table, after(249*time.Millisecond), "u1")
		trial := after(250 * time.Millisecond)
		expectOnly(c, table, trial, "u0", "u1")
		c.Assert(chosen(table, Query{Pool: "p", Now: trial, Careful: true})["u0"], qt.Equals, 0)

		table = table.WithDispatched("u0", trial)
		expectOnly(c, table, trial, "u1")
		c.Assert(table.Candidates(Query{Pool: "p", Now: trial}), qt.Equals, 1)

		again := table.WithFailed("u0", unreachable, trial)
		expectOnly(c, again, trial.Add(499*time.Millisecond), "u1")
		expectOnly(c, again, trial.Add(500*time.Millisecond), "u0", "u1")

		back := table.WithFinished("u0", "s", time.Millisecond, 1, trial)
		back = back.WithDispatched("u0", trial).WithDispatched("u1", trial)
		expectOnly(c, back, trial, "u0", "u1")
	})
	t.Run("one death that breaks many calls counts once", func(t *testing.T) {
		table := testTable(2)
		for range 20 {
			table = table.WithDispatched("u0", start)
		}
		for range 20 {
			table = table.WithFailed("u0", failed(chuterequest.FailureBroken), start)
		}
		expectOnly(qt.New(t), table, after(250*time.Millisecond), "u0", "u1")
	})
	t.Run("evidence weighs by kind", func(t *testing.T) {
		for kind, want := range map[chuterequest.FailureKind]AsideReason{
			chuterequest.FailureErrored:   AsideNone,
			chuterequest.FailureCancelled: AsideNone,
			chuterequest.FailureExpired:   AsideNone,
			chuterequest.FailureStalled:   AsideFailing,
			chuterequest.FailureCrossed:   AsideFailing,
			chuterequest.FailureRefused:   AsideRefused,
		} {
			table := testTable(1).WithFailed("u0", failed(kind), start)
			qt.Check(t, table.All()[0].Aside, qt.Equals, want, qt.Commentf("%s", kind))
		}
		crossed := testTable(2).WithFailed("u0", failed(chuterequest.FailureCrossed), start)
		expectOnly(qt.New(t), crossed, after(4*time.Second), "u1")
	})
	t.Run("the least bad is used rather than nothing", func(t *testing.T) {
		c := qt.New(t)
		table := testTable(2).WithFailed("u0", failed(chuterequest.FailureCrossed), start).WithFailed("u1", unreachable, start)
		expectOnly(c, table, start, "u1")
		c.Assert(table.Candidates(Query{Pool: "p", Now: start}), qt.Equals, 2)
		_, ok := table.Choose(Query{Pool: "p", Now: start, Exclude: []string{"u0", "u1"}}, seeded(1))
		c.Assert(ok, qt.IsFalse)
	})
}

// A zone's own upstreams are full while another zone's are idle. Callers of that
// zone's node would be turned away or wait; the idle ones take the next calls, and
// the own zone is first again as soon as it has room.
func TestFullZoneSpillsToAnother(t *testing.T) {
	now := benchStart
	table := NewTable(Settings{OwnZone: "a", ReportAgeLimit: time.Minute, Pools: map[string]PoolSettings{"p": {Slots: 1}}}).
		WithList([]Listed{
			{Name: "near", Zone: "a", Pool: "p", Incarnation: "1"}, {Name: "far", Zone: "b", Pool: "p", Incarnation: "1"},
		}, now)
	choose := func(table Table) string {
		choice, ok := table.Choose(Query{Pool: "p", Now: now}, func(int) int { return 0 })
		qt.Assert(t, ok, qt.IsTrue)

		return choice.Upstream.Name
	}
	qt.Assert(t, choose(table), qt.Equals, "near")
	full := table.WithDispatched("near", now)
	qt.Assert(t, full.HasFree(Query{Pool: "p", Now: now}), qt.IsTrue)
	qt.Assert(t, choose(full), qt.Equals, "far")
	qt.Assert(t, choose(full.WithDispatched("far", now)), qt.Equals, "near")
	qt.Assert(t, choose(full.WithReleased("near", now)), qt.Equals, "near")
}

// All upstreams of a zone freeze. Polls go unanswered; after two in a row the
// frozen one gets no call while another can be used, and a lost single poll costs nothing.
func TestSilentPollsSetAside(t *testing.T) {
	now := benchStart
	table := NewTable(Settings{OwnZone: "a", ReportAgeLimit: time.Minute, Pools: map[string]PoolSettings{"p": {Slots: 4}}}).
		WithList([]Listed{
			{Name: "near", Zone: "a", Pool: "p", Incarnation: "1"}, {Name: "far", Zone: "b", Pool: "p", Incarnation: "1"},
		}, now)
	choose := func(table Table) string {
		choice, _ := table.Choose(Query{Pool: "p", Now: now}, func(int) int { return 0 })

		return choice.Upstream.Name
	}
	once := table.WithPollFailed("near", now)
	qt.Assert(t, choose(once), qt.Equals, "near")
	qt.Assert(t, choose(once.WithPollFailed("near", now)), qt.Equals, "far")
	answered := once.WithReport("near", chuterequest.Load{Incarnation: "1", Slots: 4}, now).WithPollFailed("near", now)
	qt.Assert(t, choose(answered), qt.Equals, "near")
}
