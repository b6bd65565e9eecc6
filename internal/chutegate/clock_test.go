package chutegate

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
)

// jumpingClock has a time of day that jumps and a monotonic clock that does not.
type jumpingClock struct {
	clockwork.Clock

	offset time.Duration
}

func (c *jumpingClock) Now() time.Time {
	return c.Clock.Now().Add(c.offset)
}

func TestClockJumps(t *testing.T) {
	// Guards against decisions that depend on the time of day, which jumps by seconds in both
	// directions. A jump forward would end requests early and release upstreams early; a jump back
	// would keep requests past their deadline.
	c := qt.New(t)
	steady := clockwork.NewFakeClock()
	clock := &jumpingClock{Clock: steady}
	n := New(Settings{}, clock, zerolog.Nop(), Store{}, Decoders{}, Upstreams{})
	for _, offset := range []time.Duration{time.Hour, -time.Hour, 5 * time.Second} {
		before := n.Now()
		clock.offset = offset
		steady.Advance(time.Second)
		c.Assert(n.Now().Sub(before), qt.Equals, time.Second)
	}
}
