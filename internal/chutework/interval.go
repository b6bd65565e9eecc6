package chutework

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// newestWeight is the least weight of the newest streams in an interval.
	newestWeight = 0.1
	// maxSamples bounds the number of streams that an interval counts.
	maxSamples = 1 << 20
)

// Interval is a learned time between two events of a stream, with the number of streams that it was learned from. Its
// zero value is unknown.
type Interval struct {
	ms      float64
	samples int
}

// NewInterval returns an interval; it is unknown unless both d and samples are positive.
func NewInterval(d time.Duration, samples int) Interval {
	if d <= 0 || samples <= 0 {
		return Interval{}
	}

	return Interval{ms: float64(d) / float64(time.Millisecond), samples: min(samples, maxSamples)}
}

// Duration returns the interval, rounded to microseconds; 0 if it is unknown.
func (i Interval) Duration() time.Duration {
	return time.Duration(i.ms*float64(time.Millisecond)) / time.Microsecond * time.Microsecond
}

// With returns the geometric mean with an interval that was learned from newer streams, weighted by their numbers. The
// newer ones weigh at least a tenth, so that an upstream whose speed has changed is learned anew.
func (i Interval) With(newer Interval) Interval {
	switch {
	case newer.samples == 0:
		return i
	case i.samples == 0:
		return newer
	}
	weight := max(newestWeight, float64(newer.samples)/float64(i.samples+newer.samples))

	return Interval{ms: i.ms * math.Pow(newer.ms/i.ms, weight), samples: min(i.samples+newer.samples, maxSamples)}
}

// joined returns the geometric mean with intervals of other zones, weighted by the numbers of streams.
func (i Interval) joined(others map[string]Interval) Interval {
	if len(others) == 0 {
		return i
	}
	logSum, samples := 0.0, 0
	add := func(next Interval) {
		if next.samples > 0 {
			logSum += float64(next.samples) * math.Log(next.ms)
			samples += next.samples
		}
	}
	add(i)
	for _, name := range slices.Sorted(maps.Keys(others)) {
		add(others[name])
	}
	if samples == 0 {
		return Interval{}
	}

	return Interval{ms: math.Exp(logSum / float64(samples)), samples: samples}
}
