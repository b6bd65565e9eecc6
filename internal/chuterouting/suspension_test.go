package chuterouting

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chuterequest"
)

// runCalls runs that many calls to their ends, starting at most one every 10 ms and with
// at most 16 in flight. It returns how many each upstream got.
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
	// One of four upstreams becomes ten times slower without failing calls. If its
	// slowness is not learned, it keeps its share, and a quarter of the callers miss
	// their deadline.
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
	c.Assert(later["u0"] > 40, qt.IsTrue, qt.Commentf("u0 got too few calls after it recovered: %v", later))

	// The whole pool slows down. The cause is load, and suspending all upstreams would
	// not help.
	table, _, now = runCalls(testTable(4), start, 100, usualTime)
	table, _, _ = runCalls(table, now, 32, func(string) time.Duration { return time.Second })
	for _, u := range table.UpstreamViews() {
		c.Assert(u.Aside, qt.Equals, NotSuspended)
	}
}

func TestLearnedSlowness(t *testing.T) {
	// No call is in flight and no upstream is suspended: only the time of u0's earlier
	// call shows that the next caller would wait longer there.
	c := qt.New(t)
	table, _, now := runCalls(testTable(4), start, 100, func(string) time.Duration { return 100 * time.Millisecond })
	table = table.WithFinished("u0", "s", time.Second, 10, now)
	q := Query{Pool: "p", Stage: "s", Now: now}
	c.Assert(table.UpstreamViews()[0].Aside, qt.Equals, NotSuspended)
	c.Assert(countChoices(table, q)["u0"], qt.Equals, 0)
	q.Blocks = benchBlocks(1)
	c.Assert(countChoices(table.WithCachedPrompt("u0", q.Blocks, 0), q)["u0"], qt.Equals, 0)
	q = Query{Pool: "p", Stage: "s", Now: now.Add(slownessLifetime)}
	c.Assert(countChoices(table, q)["u0"] > 25, qt.IsTrue, qt.Commentf("u0 got too few calls after its slowness expired"))
}

func TestFrozenUpstream(t *testing.T) {
	// u0 freezes with one call in flight. The call neither fails nor finishes, so the
	// learned slowness does not change. Silence must count before the stall timeout ends.
	c := qt.New(t)
	table, _, now := runCalls(testTable(2), start, 100, func(string) time.Duration { return 100 * time.Millisecond })
	table = table.WithDispatched("u0", now).WithDispatched("u1", now.Add(800*time.Millisecond))
	counts := countChoices(table, Query{Pool: "p", Stage: "s", Now: now.Add(800 * time.Millisecond)})
	c.Assert(counts["u0"], qt.Equals, 0)
}

func TestSuspension(t *testing.T) {
	unreachable := failureOf(chuterequest.FailureUnreachable)
	t.Run("suspended, then one trial call at a time, then back in service", func(t *testing.T) {
		// u0 cannot be reached, and each of its callers would wait for a dial timeout.
		// It gets no calls during the back-off; then one trial call shows whether it
		// can be reached again.
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
	t.Run("a process that ends and breaks many calls is suspended once", func(t *testing.T) {
		table := testTable(2)
		for range 20 {
			table = table.WithDispatched("u0", start)
		}
		for range 20 {
			table = table.WithFailed("u0", failureOf(chuterequest.FailureBroken), start)
		}
		expectChosen(qt.New(t), table, startPlus(250*time.Millisecond), "u0", "u1")
	})
	t.Run("the kind of failure decides on a suspension", func(t *testing.T) {
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
	t.Run("if all are suspended, the one with the lowest cost is used", func(t *testing.T) {
		c := qt.New(t)
		table := testTable(2).WithFailed("u0", failureOf(chuterequest.FailureCrossed), start).WithFailed("u1", unreachable, start)
		expectChosen(c, table, start, "u1")
		c.Assert(table.CountCandidates(Query{Pool: "p", Now: start}), qt.Equals, 2)
		_, ok := table.Choose(Query{Pool: "p", Now: start, Exclude: []string{"u0", "u1"}}, seededRandom(1))
		c.Assert(ok, qt.IsFalse)
	})
}

// The upstreams of the own zone are full while those of another zone are idle. Callers
// of the own zone's node would be refused or wait, so the idle upstreams get the next
// calls. The own zone is preferred again as soon as it has a free slot.
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

// An upstream freezes and does not answer load polls. After two failed polls in a row it
// gets no call while another upstream is usable; a single failed poll has no effect.
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
