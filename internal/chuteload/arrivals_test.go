package chuteload

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestArrivals(t *testing.T) {
	c := qt.New(t)
	cfg := kura(c)
	plan := planOf(phase("calm", 10*time.Second, 20), phase("burst", 5*time.Second, 200))
	arrivals := slices.Collect(plan.Arrivals(cfg))

	c.Run("a seed always gives the same", func(c *qt.C) {
		c.Assert(slices.Collect(plan.Arrivals(cfg)), qt.DeepEquals, arrivals)

		other := plan
		other.Seed++
		c.Assert(slices.Collect(other.Arrivals(cfg)), qt.Not(qt.DeepEquals), arrivals)
	})

	c.Run("rates and shares are about those of the plan", func(c *qt.C) {
		count := func(is func(Arrival) bool) float64 {
			n := 0
			for _, a := range arrivals {
				if is(a) {
					n++
				}
			}

			return float64(n)
		}
		// Four standard deviations of a Poisson count; the seed makes the outcome certain.
		expectAbout := func(got, mean float64) {
			c.Helper()
			c.Assert((got-mean)*(got-mean) < 16*mean, qt.IsTrue, qt.Commentf("got %g, want about %g", got, mean))
		}
		expectAbout(count(func(a Arrival) bool { return a.Phase == 0 }), 200)
		expectAbout(count(func(a Arrival) bool { return a.Phase == 1 }), 1000)
		expectAbout(count(func(a Arrival) bool { return a.Pipeline == "tank-diagnosis" }), 900)
		expectAbout(count(func(a Arrival) bool { return a.Streamed }), 600)
		expectAbout(count(func(a Arrival) bool { return a.Pipeline == "tank-diagnosis" && a.Prefix == 3 }), 225)
	})

	c.Run("in order of time, each in its phase, for workspaces that may call", func(c *qt.C) {
		for i, a := range arrivals {
			c.Assert(a.N, qt.Equals, i)
			c.Assert(i == 0 || a.Due >= arrivals[i-1].Due, qt.IsTrue)
			c.Assert(a.Due >= 10*time.Second, qt.Equals, a.Phase == 1)

			allowed := cfg.Workspaces[a.Workspace].Pipelines
			c.Assert(len(allowed) == 0 || slices.Contains(allowed, a.Pipeline), qt.IsTrue, qt.Commentf("%+v", a))
		}
	})
}

func TestPlanCheck(t *testing.T) {
	c := qt.New(t)
	cfg := kura(c)
	steady := phase("steady", time.Second, 1)

	for name, change := range map[string]func(*Plan){
		"no phase":                       func(p *Plan) { p.Phases = nil },
		"a rate of 0":                    func(p *Plan) { p.Phases[0].Rate = 0 },
		"an unknown pipeline":            func(p *Plan) { p.Mix = []Share{{Pipeline: "x", Weight: 1}} },
		"a workspace that may not call":  func(p *Plan) { p.Mix = []Share{{Pipeline: "tank-diagnosis", Workspace: "forum", Weight: 1}} },
		"no weight":                      func(p *Plan) { p.Mix = []Share{{Pipeline: "tank-diagnosis"}} },
		"a shape of an unknown pipeline": func(p *Plan) { p.Shapes = map[string]Shape{"x": {}} },
		"an unknown zone":                func(p *Plan) { p.Zones = map[string]float64{"x": 1} },
	} {
		c.Run(name, func(c *qt.C) {
			plan := planOf(steady)
			c.Assert(plan.Check(cfg), qt.IsNil)
			change(&plan)
			c.Assert(plan.Check(cfg), qt.IsNotNil)
		})
	}
}
