package chutegate

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestEventIntervals(t *testing.T) {
	expect := func(t *testing.T, want time.Duration, gaps ...time.Duration) {
		t.Helper()
		var e eventIntervals
		now := time.Unix(1000, 0)
		e.add(now)
		for _, gap := range gaps {
			now = now.Add(gap)
			e.add(now)
		}
		qt.Assert(t, e.lowerQuartile(), qt.Equals, want)
	}
	const ms = time.Millisecond

	t.Run("too few events say nothing", func(t *testing.T) {
		// Guards against a speed that is learned from a short answer.
		qt.Assert(t, (&eventIntervals{}).lowerQuartile(), qt.Equals, time.Duration(0))
		expect(t, 0)
		expect(t, 0, 20*ms, 20*ms, 20*ms)
		expect(t, 20*ms, 20*ms, 20*ms, 20*ms, 20*ms)
	})

	t.Run("one long gap changes nothing", func(t *testing.T) {
		// Guards against an upstream that counts as slow because it processed a long prompt in between.
		expect(t, 20*ms, 20*ms, 20*ms, 1300*ms, 20*ms, 20*ms)
	})

	t.Run("events that all arrive at once say nothing", func(t *testing.T) {
		// Guards against an infinite speed: an interval of 0 is not learned.
		expect(t, 0, 0, 0, 0, 0, 0)
		expect(t, 20*ms, 0, 20*ms, 20*ms, 20*ms, 20*ms)
	})

	t.Run("a long stream keeps a bounded number of intervals", func(t *testing.T) {
		// Guards against memory that grows with the length of a stream.
		var e eventIntervals
		for i := range 10 * maxIntervals {
			e.add(time.Unix(1000, 0).Add(time.Duration(i) * 20 * ms))
		}
		qt.Assert(t, e.intervals, qt.HasLen, maxIntervals)
		qt.Assert(t, e.lowerQuartile(), qt.Equals, 20*ms)
	})
}
