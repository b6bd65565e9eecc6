package chutegate

import (
	"slices"
	"time"
)

const (
	// maxIntervals is the number of intervals between a stream's events that are measured.
	maxIntervals = 64
	// minIntervals is the least number that says something about the upstream.
	minIntervals = 4
)

// eventIntervals measures the times between the events of a stream.
type eventIntervals struct {
	last      time.Time
	intervals []time.Duration
}

// add records an event that has arrived.
func (e *eventIntervals) add(now time.Time) {
	if !e.last.IsZero() && len(e.intervals) < maxIntervals {
		e.intervals = append(e.intervals, now.Sub(e.last))
	}
	e.last = now
}

// lowerQuartile returns the lower quartile of the intervals, which prompts processed in between prolong the least; 0 if there
// are too few.
func (e *eventIntervals) lowerQuartile() time.Duration {
	if len(e.intervals) < minIntervals {
		return 0
	}
	slices.Sort(e.intervals)

	return e.intervals[len(e.intervals)/4]
}
