package chuterelay

import (
	"math"
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	// minSampleWeight is the least weight of the newest call in the averages: about the last
	// sixteen calls count, which are a few seconds of one pipeline at one node.
	minSampleWeight = 1.0 / 16
	// deviationFactor is how many mean deviations a call is expected to take beyond the mean. With
	// one, about four calls in five take less.
	deviationFactor = 1.0
)

// callTimeRatio is the moving average of the time that a pipeline's calls take until their first
// event, divided by the time expected from the size of their prompts.
type callTimeRatio struct {
	mean      float64
	deviation float64
	samples   float64
}

// with adds the ratio of one call.
func (c callTimeRatio) with(ratio float64) callTimeRatio {
	c.samples++
	if c.samples == 1 {
		// The variation is unknown after one sample; retransmission timers also start with half of
		// it.
		c.mean, c.deviation = ratio, ratio/2

		return c
	}
	weight := max(minSampleWeight, 1/c.samples)
	c.deviation += weight * (math.Abs(ratio-c.mean) - c.deviation)
	c.mean += weight * (ratio - c.mean)

	return c
}

// factor returns the factor by which to multiply the time expected from the prompt's size. It is 1
// without samples and never more than 1.
func (c callTimeRatio) factor() float64 {
	if c.samples == 0 {
		return 1
	}

	return min(1, c.mean+deviationFactor*c.deviation)
}

// callTimes maps a pipeline to the callTimeRatio of its calls.
type callTimes struct {
	ratios *immutable.Map[string, callTimeRatio]
}

func newCallTimes() callTimes {
	return callTimes{ratios: immutable.NewMap[string, callTimeRatio](nil)}
}

// with adds the time that a call took until its first event.
func (t callTimes) with(r request, took time.Duration) callTimes {
	ratio, _ := t.ratios.Get(r.Pipeline.Name)
	t.ratios = t.ratios.Set(r.Pipeline.Name, ratio.with(float64(took)/float64(r.callTime())))

	return t
}

// expected returns the usual time of a request's call until its first event.
func (t callTimes) expected(r request) time.Duration {
	ratio, _ := t.ratios.Get(r.Pipeline.Name)

	return time.Duration(ratio.factor() * float64(r.callTime()))
}
