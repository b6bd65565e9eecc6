package chuterouting

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chuterequest"
)

// serve runs calls, one every 10 ms and 16 at a time at most, to their ends; it returns how many each upstream got.
func runCalls(t Table, startAt time.Time, calls int, serviceTimeOf func(name string) time.Duration) (Table, map[string]int, time.Time) {
	type running struct {
		name    string
		startAt time.Time
		ends    time.Time
	}
	var inFlight []running
	counts := map[string]int{}
	random := seededRandom(7)
	now := startAt
	for n := 0; n < calls || len(inFlight) > 0; now = now.Add(10 * time.Millisecond) {
		inFlight = slices.DeleteFunc(inFlight, func(r running) bool {
			if r.ends.After(now) {
				return false
			}
			t = t.WithFinished(r.name, "s", r.ends.Sub(r.startAt), 10, now)

			return true
		})
		choice, ok := t.Choose(Query{Pool: "p", Stage: "s", Now: now}, random)
		if !ok || len(inFlight) >= 16 || n >= calls {
			continue
		}
		n++
		name := choice.Upstream.Name
		counts[name]++
		t = t.WithDispatched(name, now)
		inFlight = append(inFlight, running{name: name, startAt: now, ends: now.Add(serviceTimeOf(name))})
	}

	return t, counts, now
}

func TestSlowUpstream(t *testing.T) {
	// One of four upstreams becomes ten times slower but fails nothing. Without
	// learning it keeps its share, and a quarter of the callers miss their deadline.
	c := qt.New(t)
	usualTime := func(string) time.Duration { return 100 * time.Millisecond }
	slowTime := func(name string) time.Duration {
		if name == "u0" {
			return time.Second
		}

		return usualTime(name)
	}
	table, even, now := runCalls(testTable(4), start, 200, usualTime)
	c.Assert(even["u0"] > 25, qt.IsTrue, qt.Commentf("%v", even))
	c.Assert(table.ServiceTime("p", "s") > 95*time.Millisecond, qt.IsTrue)

	table, slowed, now := runCalls(table, now, 400, slowTime)
	c.Assert(slowed["u0"] < 20, qt.IsTrue, qt.Commentf("%v", slowed))

	_, later, _ := runCalls(table, now.Add(time.Minute), 400, usualTime)
	c.Assert(later["u0"] > 40, qt.IsTrue, qt.Commentf("it was not tried again: %v", later))

	// The whole pool slows down: that is load, and setting all aside would help nobody.
	table, _, now = runCalls(testTable(4), start, 100, usualTime)
	table, _, _ = runCalls(table, now, 32, func(string) time.Duration { return time.Second })
	for _, u := range table.UpstreamViews() {
		c.Assert(u.Aside, qt.Equals, NotSuspended)
	}
}

func TestLearnedSlowness(t *testing.T) {
	// Nothing runs anywhere and nothing is set aside: only the time that u0 took
	// for earlier calls tells that the next caller would wait longer there.
	c := qt.New(t)
	table, _, now := runCalls(testTable(4), start, 100, func(string) time.Duration { return 100 * time.Millisecond })
	table = table.WithFinished("u0", "s", time.Second, 10, now)
	q := Query{Pool: "p", Stage: "s", Now: now}
	c.Assert(table.UpstreamViews()[0].Aside, qt.Equals, NotSuspended)
	c.Assert(countChoices(table, q)["u0"], qt.Equals, 0)
	q.Blocks = benchBlocks(1)
	c.Assert(countChoices(table.WithCachedPrompt("u0", q.Blocks, 0), q)["u0"], qt.Equals, 0)
	q = Query{Pool: "p", Stage: "s", Now: now.Add(slownessLifetime)}
	c.Assert(countChoices(table, q)["u0"] > 25, qt.IsTrue, qt.Commentf("it was not tried again"))
}

func TestFrozenUpstream(t *testing.T) {
	// u0 freezes with one call: it neither fails nor finishes, so its learned time
	// stays good. The silence alone has to tell before the stall timeout does.
	c := qt.New(t)
	table, _, now := runCalls(testTable(2), start, 100, func(string) time.Duration { return 100 * time.Millisecond })
	table = table.WithDispatched("u0", now).WithDispatched("u1", now.Add(800*time.Millisecond))
	counts := countChoices(table, Query{Pool: "p", Stage: "s", Now: now.Add(800 * time.Millisecond)})
	c.Assert(counts["u0"], qt.Equals, 0)
}

func TestSuspension(t *testing.T) {
	unreachable := failureOf(chuterequest.FailureUnreachable)
	t.Run("set aside, tried with one call at a time, and back", func(t *testing.T) {
		// u0 cannot be reached. Its callers would each lose a dial timeout, so it
		// is left alone for a while; one call then finds out whether it is back.
		c := qt.New(t)
		table := testTable(2).WithDispatched("u0", start).WithFailed("u0", unreachable, start)
		expectChosen(c, table, startPlus(249*time.Millisecond), "u1")
		trialAt := startPlus(250 * time.Millisecond)
		expectChosen(c, table, trialAt, "u0", "u1")
		c.Assert(countChoices(table, Query{Pool: "p", Now: trialAt, AvoidHalfOpen: true})["u0"], qt.Equals, 0)

		table = table.WithDispatched("u0", trialAt)
		expectChosen(c, table, trialAt, "u1")
		c.Assert(table.CountCandidates(Query{Pool: "p", Now: trialAt}), qt.Equals, 1)

		again := table.WithFailed("u0", unreachable, trialAt)
		expectChosen(c, again, trialAt.Add(499*time.Millisecond), "u1")
		expectChosen(c, again, trialAt.Add(500*time.Millisecond), "u0", "u1")

		back := table.WithFinished("u0", "s", time.Millisecond, 1, trialAt)
		back = back.WithDispatched("u0", trialAt).WithDispatched("u1", trialAt)
		expectChosen(c, back, trialAt, "u0", "u1")
	})
	t.Run("one death that breaks many calls counts once", func(t *testing.T) {
		table := testTable(2)
		for range 20 {
			table = table.WithDispatched("u0", start)
		}
		for range 20 {
			table = table.WithFailed("u0", failureOf(chuterequest.FailureBroken), start)
		}
		expectChosen(qt.New(t), table, startPlus(250*time.Millisecond), "u0", "u1")
	})
	t.Run("evidence weighs by kind", func(t *testing.T) {
		for kind, want := range map[chuterequest.FailureKind]SuspensionReason{
			chuterequest.FailureErrored:   NotSuspended,
			chuterequest.FailureCancelled: NotSuspended,
			chuterequest.FailureExpired:   NotSuspended,
			chuterequest.FailureStalled:   SuspendedFailing,
			chuterequest.FailureCrossed:   SuspendedFailing,
			chuterequest.FailureRefused:   SuspendedRefused,
		} {
			table := testTable(1).WithFailed("u0", failureOf(kind), start)
			qt.Check(t, table.UpstreamViews()[0].Aside, qt.Equals, want, qt.Commentf("%s", kind))
		}
		crossed := testTable(2).WithFailed("u0", failureOf(chuterequest.FailureCrossed), start)
		expectChosen(qt.New(t), crossed, startPlus(4*time.Second), "u1")
	})
	t.Run("the least bad is used rather than nothing", func(t *testing.T) {
		c := qt.New(t)
		table := testTable(2).WithFailed("u0", failureOf(chuterequest.FailureCrossed), start).WithFailed("u1", unreachable, start)
		expectChosen(c, table, start, "u1")
		c.Assert(table.CountCandidates(Query{Pool: "p", Now: start}), qt.Equals, 2)
		_, ok := table.Choose(Query{Pool: "p", Now: start, Exclude: []string{"u0", "u1"}}, seededRandom(1))
		c.Assert(ok, qt.IsFalse)
	})
}

// A zone's own upstreams are full while another zone's are idle. Callers of that
// zone's node would be turned away or wait; the idle ones take the next calls, and
// the own zone is first again as soon as it has room.
func TestFullZoneSpillsToAnother(t *testing.T) {
	now := benchStart
	table := NewTable(Settings{OwnZone: "a", ReportAgeLimit: time.Minute, Pools: map[string]PoolSettings{"p": {Slots: 1}}}).
		WithListedUpstreams([]ListedUpstream{
			{Name: "near", Zone: "a", Pool: "p", Incarnation: "1"}, {Name: "far", Zone: "b", Pool: "p", Incarnation: "1"},
		}, now)
	choose := func(table Table) string {
		choice, ok := table.Choose(Query{Pool: "p", Now: now}, func(int) int { return 0 })
		qt.Assert(t, ok, qt.IsTrue)

		return choice.Upstream.Name
	}
	qt.Assert(t, choose(table), qt.Equals, "near")
	full := table.WithDispatched("near", now)
	qt.Assert(t, full.HasFreeSlot(Query{Pool: "p", Now: now}), qt.IsTrue)
	qt.Assert(t, choose(full), qt.Equals, "far")
	qt.Assert(t, choose(full.WithDispatched("far", now)), qt.Equals, "near")
	qt.Assert(t, choose(full.WithReleased("near", now)), qt.Equals, "near")
}

// All upstreams of a zone freeze. Polls go unanswered; after two in a row the
// frozen one gets no call while another can be used, and a lost single poll costs nothing.
func TestFailedPollsSuspend(t *testing.T) {
	now := benchStart
	table := NewTable(Settings{OwnZone: "a", ReportAgeLimit: time.Minute, Pools: map[string]PoolSettings{"p": {Slots: 4}}}).
		WithListedUpstreams([]ListedUpstream{
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
