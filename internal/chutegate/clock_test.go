package chutegate

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
)

// jumpingClock tells a time of day that jumps, and steady spans.
type jumpingClock struct {
	clockwork.Clock

	offset time.Duration
}

func (c *jumpingClock) Now() time.Time {
	return c.Clock.Now().Add(c.offset)
}

func TestClockJumps(t *testing.T) {
	// The time of day jumps by seconds, back and forth. Nothing that is decided may
	// see it: a jump forward would end requests early and set upstreams free, one
	// back would hold requests past their time.
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
