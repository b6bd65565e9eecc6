package chuteload

import (
	"context"
	"encoding/json"
	"math"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/pkg/chuteapi"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

func TestOpen(t *testing.T) {
	c := qt.New(t)
	cfg := kura(c)
	warm := phase("warm", time.Second, 30)
	warm.Unmeasured = true
	plan := planOf(warm, phase("steady", 2*time.Second, 50))
	// The whole run passes on the fake clock while a call may still wait for the processor: no deadline may be shorter.
	for pipeline := range cfg.Pipelines {
		shape := plan.Shapes[pipeline]
		shape.Deadline = chuteconfig.Duration(time.Minute)
		plan.Shapes[pipeline] = shape
	}

	clock := newQuickClock()
	var told atomic.Int64
	runner := Runner{Config: cfg, Clock: clock, Name: "run", Verify: true, Ended: func(end End) {
		if end.Attained {
			told.Add(1)
		}
	}}

	report, err := runner.Open(c.Context(), plan, "test", clock.takes(cfg, 0))
	c.Assert(err, qt.IsNil)
	c.Assert(report.Unmeasured > 0 && report.All.Requests > 0, qt.IsTrue)
	c.Assert(report.All.Attained, qt.Equals, report.All.Requests)
	c.Assert(report.All.Attainment, qt.Equals, 1.0)
	c.Assert(told.Load(), qt.Equals, int64(report.All.Requests+report.Unmeasured))
	c.Assert(report.Phases, qt.HasLen, 1)
	c.Assert(report.Pipelines["tank-diagnosis"].Requests+report.Pipelines["reply-helper"].Requests, qt.Equals, report.All.Requests)
	c.Assert(report.Findings, qt.HasLen, 0)

	var table strings.Builder
	c.Assert(report.WriteTable(&table), qt.IsNil)
	c.Assert(table.String(), qt.Contains, "tank-diagnosis")

	_, err = json.Marshal(report)
	c.Assert(err, qt.IsNil)
}

// More requests are in flight than the generator may hold. It must say how many
// it left out: a report without them would praise a system that answered nothing.
func TestOpenSkips(t *testing.T) {
	c := qt.New(t)
	cfg := kura(c)
	clock := newQuickClock()
	start := clock.Now()
	plan := planOf(phase("steady", time.Second, 50))
	arrivals := slices.Collect(plan.Arrivals(cfg))
	last := arrivals[len(arrivals)-1].Due

	// The first request stays until the last is due, which may then find its place free.
	stuck := func(context.Context, Call, func()) (chuteapi.Answer, error) {
		for clock.Since(start) < last {
			runtime.Gosched()
		}

		return chuteapi.Answer{}, ends(chuteapi.Failed, true, 0)
	}
	report, err := Runner{Config: cfg, Clock: clock, MaxInFlight: 1}.Open(c.Context(), plan, "test", stuck)
	c.Assert(err, qt.IsNil)
	c.Assert(report.All.Requests+report.Skipped, qt.Equals, len(arrivals))
	c.Assert(report.All.Requests <= 2, qt.IsTrue)
}

func TestRecord(t *testing.T) {
	const deadline = time.Second

	c := qt.New(t)

	for name, test := range map[string]struct {
		result result
		want   Group
	}{
		"in time":                  {result{total: deadline}, Group{Answered: 1, Attained: 1, Attainment: 1}},
		"late":                     {result{total: deadline + 1}, Group{Answered: 1, AnsweredLate: 1}},
		"wrong":                    {result{wrong: errNoStages}, Group{Wrong: 1}},
		"sent twice":               {result{answer: chuteapi.Answer{Sends: 2}}, Group{Answered: 1, Attained: 1, Attainment: 1, SentAgain: 1}},
		"not run":                  {result{err: ends(chuteapi.NotRun, true, 0)}, Group{NotRun: 1}},
		"not run, told late":       {result{total: 950 * time.Millisecond, err: ends(chuteapi.NotRun, true, 0)}, Group{NotRun: 1, RefusedLate: 1}},
		"failed":                   {result{err: ends(chuteapi.Failed, true, 0)}, Group{Failed: 1}},
		"unknown":                  {result{err: ends(chuteapi.Unknown, true, 0)}, Group{Unknown: 1}},
		"broken":                   {result{err: ends(chuteapi.Unknown, false, 0)}, Group{Incomplete: 1}},
		"no node could be dialled": {result{err: ends(chuteapi.NotRun, false, 0)}, Group{Incomplete: 1}},
		"direct call failed":       {result{err: errNoLastFrame}, Group{Incomplete: 1}},
	} {
		c.Run(name, func(c *qt.C) {
			test.result.deadline = deadline
			g := newGroup()
			g.add(test.result)
			got := g.view()
			got.Total, got.Refusal = Spread{}, Spread{}
			test.want.Requests = 1
			c.Assert(got, qt.DeepEquals, test.want)
		})
	}

	c.Run("RetryAfter and spreads", func(c *qt.C) {
		g := newGroup()
		for i := range 100 {
			g.add(result{deadline: deadline, total: time.Duration(i+1) * time.Millisecond, err: ends(chuteapi.NotRun, true, 200*time.Millisecond)})
		}

		got := g.view()
		c.Assert(got.RetryAfter.Count, qt.Equals, int64(100))
		// The histogram keeps three digits.
		c.Assert([]float64{math.Round(got.Refusal.P50Milliseconds), math.Round(got.Refusal.P99Milliseconds)}, qt.DeepEquals, []float64{50, 99})
	})
}

func TestCompare(t *testing.T) {
	c := qt.New(t)
	cfg := kura(c)
	clock := newQuickClock()
	runner := Runner{Config: cfg, Clock: clock, Name: "run", Verify: true}
	comparison := Comparison{Pairs: 10, Warm: 2, Rounds: 2, Rate: 50, RoundTime: time.Second}
	direct, through := clock.takes(cfg, 10*time.Millisecond), clock.takes(cfg, 12*time.Millisecond)

	report, err := runner.Compare(c.Context(), planOf(phase("steady", time.Second, 1)), comparison, direct, through)
	c.Assert(err, qt.IsNil)
	c.Assert(report.Closed.Total.Direct.Count, qt.Equals, int64(10))
	c.Assert(report.Closed.Added, qt.Equals, PairSpread{P50Milliseconds: 2, P95Milliseconds: 2, P99Milliseconds: 2})
	c.Assert(report.Closed.Ended, qt.DeepEquals, map[string]int{modeDirect: 0, modeThrough: 0})
	c.Assert(report.FixedRate.Total.Direct.Count > 0, qt.IsTrue)
	c.Assert(report.FixedRate.Total.Direct.Count, qt.Equals, report.FixedRate.Total.Through.Count)
	c.Assert(report.Findings, qt.HasLen, 0)

	var table strings.Builder
	c.Assert(report.WriteTable(&table), qt.IsNil)
	c.Assert(table.String(), qt.Contains, "added by request: p50 2.000 ms")
}
