package chutegate

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chuteroute"
)

func TestStartHold(t *testing.T) {
	// All nodes are killed and start again. A load balancer sends callers to them at once, a tenth
	// of a second before they have the tables that they need. Callers that are refused would reach
	// other nodes that have started just as late.
	start := func() (*Node, *clockwork.FakeClock) {
		clock := clockwork.NewFakeClock()
		n := New(Settings{}, clock, zerolog.Nop(), Store{}, Decoders{}, Upstreams{})
		close(n.quarantineLoaded)

		return n, clock
	}
	await := func(n *Node, bound time.Duration) <-chan struct{} {
		done := make(chan struct{})
		go func() {
			defer close(done)
			n.awaitRequiredTables(context.Background(), bound)
		}()

		return done
	}

	t.Run("a request waits until configuration and upstreams are known", func(t *testing.T) {
		c := qt.New(t)
		n, clock := start()
		done := await(n, 0)
		c.Assert(clock.BlockUntilContext(context.Background(), 1), qt.IsNil)
		n.config.Store(&chuteroute.Config{})
		n.signalIfRequiredLoaded()
		c.Assert(done, qt.HasLen, 0)
		n.upstreamsLoaded.Store(true)
		n.signalIfRequiredLoaded()
		<-done
	})

	t.Run("a request waits for a part of its caller's time at most", func(t *testing.T) {
		c := qt.New(t)
		n, clock := start()
		done := await(n, 300*time.Millisecond)
		c.Assert(clock.BlockUntilContext(context.Background(), 1), qt.IsNil)
		clock.Advance(300 * time.Millisecond)
		<-done
	})

	t.Run("a node that still lacks the tables refuses at once", func(*testing.T) {
		n, clock := start()
		clock.Advance(startupWait)
		<-await(n, 0)
	})

	t.Run("a request also waits for the quarantine, but not as long", func(t *testing.T) {
		// The callers of a poison request retry at all nodes at once. Without the store a node
		// can't load the quarantine, and serves all the same.
		c := qt.New(t)
		clock := clockwork.NewFakeClock()
		n := New(Settings{}, clock, zerolog.Nop(), Store{}, Decoders{}, Upstreams{})
		n.config.Store(&chuteroute.Config{})
		n.upstreamsLoaded.Store(true)
		done := await(n, 0)
		c.Assert(clock.BlockUntilContext(context.Background(), 1), qt.IsNil)
		clock.Advance(quarantineWait - 1)
		c.Assert(done, qt.HasLen, 0)
		clock.Advance(1)
		<-done
		<-await(n, 0)
	})
}
