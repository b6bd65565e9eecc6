package chutefleet

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"azurechute.example/azurechute/internal/chutework"
)

// workFleet returns a fleet of n upstreams of a pool that report a pace.
func workFleet(n int) Fleet {
	var listed []Upstream
	for i := range n {
		listed = append(listed, upstream(fmt.Sprint("u", i), "z1"))
	}
	f := fleetOf(listed...)
	for _, u := range listed {
		f = f.WithPace(u.ID, usualPace, start)
	}

	return f
}

// withSpeeds has a fleet learn the event interval of each upstream.
func withSpeeds(f Fleet, interval func(id string) time.Duration) Fleet {
	for m := range f.inPool("p", Use{}) {
		for range minSpeedSamples {
			f = f.WithEventInterval(m.ID, interval(m.ID))
		}
	}

	return f
}

// expectPoolSums fails unless the sums of a pool's event intervals are as computed from its upstreams.
func expectPoolSums(t *rapid.T, f Fleet, pool string) {
	logSum, known := 0.0, 0
	for i := f.members.Iterator(); !i.Done(); {
		id, m, _ := i.Next()
		if w, _ := f.work.Get(id); m.Pool == pool && w.interval().samples >= minSpeedSamples {
			logSum += math.Log(w.interval().ms)
			known++
		}
	}
	if got := f.workPools[pool]; got.known != known || math.Abs(got.logSum-logSum) > 1e-6 {
		t.Fatalf("pool %s has %d intervals, the sum of their logarithms is %g; kept are %d and %g", pool, known, logSum, got.known, got.logSum)
	}
}

// Guards against a mean speed that is wrong after upstreams have come, gone, restarted or changed their pool.
func TestPoolSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, list := New("z1"), map[string]Upstream{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint("u", rapid.IntRange(0, 11).Draw(t, "id"))
			interval := time.Duration(rapid.IntRange(1, 200_000).Draw(t, "interval")) * time.Microsecond
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				f, _ = f.WithListChange(drawListChange(t, list), rapid.Bool().Draw(t, "hold"), start)
			case 1:
				f = f.WithPace(id, rapid.IntRange(1, 1000).Draw(t, "pace"), start)
			case 2:
				f = f.WithEventInterval(id, interval)
			case 3:
				f = f.WithWork([]chutework.Report{{Upstream: id, EventInterval: interval, Samples: rapid.IntRange(0, 9).Draw(t, "samples")}}, start)
			default:
				f, _ = f.TakeWork(start)
			}
			expectPoolSums(t, f, "p1")
			expectPoolSums(t, f, "p2")
		}
	})
}

func TestUpstreamChangesPool(t *testing.T) {
	t.Run("what was learned in one pool does not count in another", func(t *testing.T) {
		// Guards against a pool that counts fewer than no upstreams: an entry without a start time moves the process.
		c := qt.New(t)
		f := withSpeeds(workFleet(2), func(string) time.Duration { return 20 * time.Millisecond })
		moved := upstream("u1", "z1")
		moved.Pool = "other"
		f, _ = f.WithListChange(ListChange{Entries: []Upstream{moved}}, false, start)
		c.Assert(f.PlacesByWork("other"), qt.IsFalse)
		c.Assert(f.workPools["p"].known, qt.Equals, 1)
	})
}

func TestWorkReports(t *testing.T) {
	const tokens = 1000
	expect := func(c *qt.C, f Fleet, now time.Time, want int64) {
		c.Helper()
		c.Assert(f.OutstandingTokens("u0", now), qt.Equals, want)
	}

	t.Run("this node's own calls are not counted twice", func(t *testing.T) {
		// Guards against an aggregator's sum that is added to the node's own part of it.
		c := qt.New(t)
		f := workFleet(1).WithCallSent("u0", tokens, start).WithWork([]chutework.Report{{Upstream: "u0", Calls: 3, Tokens: 3 * tokens}}, start)
		expect(c, f, start, 3*tokens)
		m, _ := f.members.Get("u0")
		w, _ := f.work.Get("u0")
		c.Assert(w.callsAt(m, start), qt.Equals, 3.0)
		f = f.WithWork([]chutework.Report{{Upstream: "u0", Calls: 1, Tokens: tokens}}, start)
		expect(c, f, start, tokens)
	})

	t.Run("a repeated report changes nothing", func(t *testing.T) {
		// Guards against sums that grow when a message comes twice.
		c := qt.New(t)
		reports := []chutework.Report{{Upstream: "u0", Calls: 1, Tokens: tokens, EventInterval: 20 * time.Millisecond, Samples: 5}}
		f := workFleet(1).WithWork(reports, start)
		again := f.WithWork(reports, start)
		expect(c, again, start, tokens)
		c.Assert(again.workPools["p"], qt.Equals, f.workPools["p"])
	})

	t.Run("a report counts less with its age and not at all after its lifetime", func(t *testing.T) {
		// Guards against work that stays after the aggregator that reported it is lost.
		c := qt.New(t)
		f := workFleet(1).WithWork([]chutework.Report{{Upstream: "u0", Tokens: tokens, Age: chutework.ReportLifetime / 4}}, start)
		expect(c, f, start, tokens*3/4)
		expect(c, f, start.Add(chutework.ReportLifetime/2), tokens/4)
		expect(c, f, start.Add(chutework.ReportLifetime), 0)
		expect(c, workFleet(1).WithWork([]chutework.Report{{Upstream: "u0", Tokens: tokens, Age: chutework.ReportLifetime}}, start), start, 0)
	})

	t.Run("an unknown upstream is ignored", func(t *testing.T) {
		// Guards against state of upstreams that are not listed, which nothing would remove.
		c := qt.New(t)
		f := fleetOf(upstream("u0", "z1")).WithWork([]chutework.Report{{Upstream: "gone", Calls: 1, Tokens: 1, Pace: 90}}, start)
		c.Assert(f.ExchangesWork(), qt.IsFalse)
		c.Assert(f.work.Len(), qt.Equals, 0)
		c.Assert(f.WithPace("gone", 100, start).WithEventInterval("gone", time.Second).WithFirstEvent("gone", 1000, 0, time.Second).ExchangesWork(), qt.IsFalse)
	})

	t.Run("an older pace does not replace a newer one", func(t *testing.T) {
		// Guards against a report on its way that undoes what an answer has just said.
		c := qt.New(t)
		f := workFleet(1).WithPace("u0", 250, start).WithWork([]chutework.Report{{Upstream: "u0", Pace: 100, PaceAge: time.Millisecond}}, start)
		w, _ := f.work.Get("u0")
		c.Assert(w.paceFactor(start), qt.Equals, 2.5)
	})

	for name, r := range map[string]chutework.Report{
		"huge":     {Calls: math.MaxInt, Tokens: math.MaxInt64, EventInterval: math.MaxInt64, Samples: math.MaxInt, Pace: math.MaxInt, PaceAge: math.MaxInt64},
		"negative": {Calls: -1, Tokens: -1, EventInterval: -1, Samples: -1, Pace: -1},
		"least":    {Calls: math.MinInt, Tokens: math.MinInt64, EventInterval: math.MinInt64, Samples: math.MinInt, Pace: math.MinInt},
	} {
		t.Run(name+" figures leave the choice with finite times", func(t *testing.T) {
			// Guards against an overflow that makes an upstream the best one, or the choice fail.
			c := qt.New(t)
			r.Upstream = "u0"
			f := withSpeeds(workFleet(3), func(string) time.Duration { return 20 * time.Millisecond })
			f = f.WithWork([]chutework.Report{r}, start).WithEventInterval("u0", 20*time.Millisecond).WithCallSent("u0", 100, start)
			f = f.WithWork([]chutework.Report{r}, start)
			m, _ := f.members.Get("u0")
			speed := f.speed(m)
			c.Assert(speed >= minSpeed && speed <= maxSpeed, qt.IsTrue, qt.Commentf("speed %g", speed))
			outstanding := f.outstandingTokens(m, start)
			c.Assert(outstanding >= 100, qt.IsTrue, qt.Commentf("%g tokens outstanding", outstanding))
			if r.Tokens < 0 {
				c.Assert(outstanding, qt.Equals, 100.0)
			}
			_, ok := f.Choose(Query{Pool: "p", Tokens: 1000}, start, 0.5)
			c.Assert(ok, qt.IsTrue)
		})
	}
}

func TestWorkAfterRestart(t *testing.T) {
	t.Run("a new process has no outstanding work, speed or pace", func(t *testing.T) {
		// Guards against a new process that is avoided, or preferred, for what the previous one did.
		c := qt.New(t)
		first, second := startedAt("a", 1), startedAt("a", 2)
		f := fleetOf(first, upstream("b", "z1")).WithPace(first.ID, 250, start).WithPace("b", 100, start)
		f = withSpeeds(f, func(id string) time.Duration {
			if id == "b" {
				return 10 * time.Millisecond
			}

			return 40 * time.Millisecond
		}).WithCallSent(first.ID, 20_000, start).WithWork([]chutework.Report{{Upstream: first.ID, Calls: 9, Tokens: 90_000}}, start)
		f, _ = f.WithListChange(ListChange{Entries: []Upstream{second}}, false, start)
		m, _ := f.members.Get(second.ID)
		w, _ := f.work.Get(second.ID)
		c.Assert(f.OutstandingTokens(second.ID, start), qt.Equals, int64(0))
		c.Assert(w.callsAt(m, start), qt.Equals, 0.0)
		c.Assert([]float64{f.speed(m), w.paceFactor(start)}, qt.DeepEquals, []float64{1, 1})
		c.Assert(f.workPools["p"].known, qt.Equals, 1)
		f = f.WithTokensRead(first.ID, 20_000).WithCallDone(first.ID).WithEventInterval(first.ID, time.Millisecond).WithWork([]chutework.Report{{Upstream: first.ID, Tokens: 5}}, start)
		c.Assert(f.OutstandingTokens(second.ID, start), qt.Equals, int64(0))
	})
}
