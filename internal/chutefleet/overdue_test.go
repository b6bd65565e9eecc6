package chutefleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestOverdueUpstream(t *testing.T) {
	t.Run("it is a worse choice for a while and is never suspended", func(t *testing.T) {
		// Guards against a stalled upstream that gets the next calls because the ones it held have been moved, and
		// against one that is out for a single slow call.
		c := qt.New(t)
		f := fleetOf(upstream("a", "z1"), upstream("b", "z1")).WithCallSent("b", 100, start).WithFailure("a", FailureOverdue, start)
		expectChosen(c, f, Query{Pool: "p"}, start, "b")
		c.Assert(f.Availability("a", start).IsAvailable(), qt.IsTrue)
		expectChosen(c, fleetOf(upstream("a", "z1")).WithFailure("a", FailureOverdue, start), Query{Pool: "p"}, start, "a")
		expectChosen(c, f, Query{Pool: "p"}, start.Add(5*time.Second), "a")
	})

	t.Run("a brittle upstream has turned nothing away", func(t *testing.T) {
		// Guards against an overdue call that counts as a rejection, after which a brittle upstream gets nothing.
		c := qt.New(t)
		f := fleetOf(upstream("a", "z1")).WithBrittle("a", 2, start)
		c.Assert(f.WithFailure("a", FailureOverdue, start).Availability("a", start.Add(time.Millisecond)),
			qt.Equals, f.Availability("a", start.Add(time.Millisecond)))
	})
}
