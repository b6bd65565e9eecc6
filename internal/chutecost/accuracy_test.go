package chutecost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// accuracyCase is a way in which requests and their answers are related.
type accuracyCase struct {
	name string
	// maximum is the maximum output in tokens; 0 if callers don't say.
	maximum int64
	// hintError is the largest factor by which hints are off either way; 0 if there are none.
	hintError float64
	// longer is the factor by which answers of the workspace that is judged exceed what others have under the same hint.
	longer float64
	// perMinute is the rate of that workspace's answers; all others together have 600.
	perMinute int
	// maxMedianError and maxUpperError bound the median and the 0.9 quantile of predicted to actual, either way.
	maxMedianError float64
	maxUpperError  float64
}

// outcome is what was predicted and what came.
type outcome struct {
	ratio    float64
	exceeded bool
}

// draw returns a request of a workspace and the number of events of its answer, from 1 to 170.
func (a accuracyCase) draw(random *rand.Rand, workspace string, longer float64) (Request, int) {
	const longest = 170
	usual := 1 + math.Floor(math.Pow(random.Float64(), 1.5)*longest/max(1, a.longer))
	r := Request{Pipeline: "p", Workspace: workspace, MaxOutputTokens: a.maximum}
	if a.hintError > 0 {
		octaves := math.Log2(a.hintError) * (2*random.Float64() - 1)
		r.OutputHint = int64(math.Max(1, math.Round(usual*tokensPerEvent*math.Exp2(octaves))))
	}

	return r, int(math.Ceil(usual * longer))
}

// run returns the outcomes of the judged workspace in the last eight of ten minutes.
func (a accuracyCase) run(seed uint64) []outcome {
	const steps, otherPerMinute, minutes, judgedFrom = 6000, 600, 10, 1200
	random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // a seeded test
	e, now := New(), start
	var outcomes []outcome
	for step := range steps {
		now = now.Add(time.Minute / otherPerMinute)
		r, events := a.draw(random, fmt.Sprint("other", random.IntN(40)), 1)
		e = e.WithAnswer(r, events, now)
		if random.Float64()*otherPerMinute >= float64(a.perMinute) {
			continue
		}
		r, events = a.draw(random, "judged", a.longer)
		if estimate := e.Estimate(r, now); step >= judgedFrom {
			outcomes = append(outcomes, outcome{
				ratio: estimate.Events / float64(events), exceeded: float64(events) > math.Ceil(estimate.UpperEvents),
			})
		}
		e = e.WithAnswer(r, events, now)
	}

	return outcomes
}

// Guards against estimates that are systematically too high or too low, and upper estimates that too many answers or
// none exceed. It prints the error figures.
func TestAccuracy(t *testing.T) {
	for _, a := range []accuracyCase{
		{name: "exact hints", hintError: 1, longer: 1, perMinute: 60, maxMedianError: 1.1, maxUpperError: 1.2},
		{name: "hints off by up to four", hintError: 4, longer: 1, perMinute: 60, maxMedianError: 1.2, maxUpperError: 3.6},
		{name: "hints off by up to four, maximum 680", maximum: 680, hintError: 4, longer: 1, perMinute: 60, maxMedianError: 1.4, maxUpperError: 4},
		{name: "twice as long, exact hints", hintError: 1, longer: 2, perMinute: 60, maxMedianError: 1.1, maxUpperError: 1.2},
		{name: "twice as long, hints off by up to four", hintError: 4, longer: 2, perMinute: 60, maxMedianError: 1.25, maxUpperError: 3.8},
		{name: "six answers a minute", hintError: 4, longer: 1, perMinute: 6, maxMedianError: 1.2, maxUpperError: 3.8},
		{name: "twice as long, six answers a minute", hintError: 4, longer: 2, perMinute: 6, maxMedianError: 1.3, maxUpperError: 4},
		{name: "no hints", longer: 1, perMinute: 60, maxMedianError: 1.3, maxUpperError: 20},
		{name: "no hints, twice as long", longer: 2, perMinute: 60, maxMedianError: 1.3, maxUpperError: 20},
	} {
		t.Run(a.name, func(t *testing.T) {
			var ratios []float64
			exceeded := 0
			for seed := range uint64(5) {
				for _, o := range a.run(seed) {
					ratios = append(ratios, o.ratio)
					if o.exceeded {
						exceeded++
					}
				}
			}
			slices.Sort(ratios)
			median, upper := ratios[len(ratios)/2], ratios[len(ratios)*9/10]
			share := float64(exceeded) / float64(len(ratios))
			t.Logf("predicted to actual: median %.2f, 0.9 quantile %.2f; %.1f%% of %d answers exceed the upper estimate",
				median, upper, 100*share, len(ratios))
			qt.Assert(t, median < a.maxMedianError && median > 1/a.maxMedianError, qt.IsTrue)
			qt.Assert(t, upper < a.maxUpperError, qt.IsTrue)
			qt.Assert(t, share < 0.2, qt.IsTrue)
		})
	}
}
