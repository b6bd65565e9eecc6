package chuterelay

import (
	"math"
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	// minSampleWeight is the weight of the newest call in what is learned: some sixteen
	// calls, a few seconds of one pipeline's at one node, are what counts.
	minSampleWeight = 1.0 / 16
	// deviationFactor is how many mean deviations a call is expected to take beyond the mean:
	// with one, about four calls in five take less.
	deviationFactor = 1.0
)

// callTimeRatio is how long a pipeline's calls take until their first event, against what
// the size of their prompts alone lets expect.
type callTimeRatio struct {
	mean      float64
	deviation float64
	samples   float64
}

// with takes in one call.
func (l callTimeRatio) with(ratio float64) callTimeRatio {
	l.samples++
	if l.samples == 1 {
		// Nothing is known of how they vary; half is what retransmission timers begin with.
		l.mean, l.deviation = ratio, ratio/2

		return l
	}
	weight := max(minSampleWeight, 1/l.samples)
	l.deviation += weight * (math.Abs(ratio-l.mean) - l.deviation)
	l.mean += weight * (ratio - l.mean)

	return l
}

// factor multiplies what is expected by size; 1 if nothing is known.
func (l callTimeRatio) factor() float64 {
	if l.samples == 0 {
		return 1
	}

	return min(1, l.mean+deviationFactor*l.deviation)
}

// callTimes maps a pipeline to what is learned of its calls.
type callTimes struct {
	ratios *immutable.Map[string, callTimeRatio]
}

func newCallTimes() callTimes {
	return callTimes{ratios: immutable.NewMap[string, callTimeRatio](nil)}
}

// with takes in the time that a call took until its first event.
func (t callTimes) with(r request, took time.Duration) callTimes {
	l, _ := t.ratios.Get(r.Pipeline.Name)
	t.ratios = t.ratios.Set(r.Pipeline.Name, l.with(float64(took)/float64(r.callTime())))

	return t
}

// expected is the usual time of a request's call until its first event.
func (t callTimes) expected(r request) time.Duration {
	l, _ := t.ratios.Get(r.Pipeline.Name)

	return time.Duration(l.factor() * float64(r.callTime()))
}
