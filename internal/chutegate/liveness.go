package chutegate

import (
	"context"
	"errors"
	"time"
)

const (
	// livenessCheckAfter is how long an upstream may be silent before this node checks whether it
	// still accepts connections. Most first events come sooner, and a pause of 0.8 s in a stream
	// counts as late.
	livenessCheckAfter = 600 * time.Millisecond
	// requiredFailedChecks is the number of connection attempts in a row that have to fail. One can
	// fail because of a lost packet; that two do is unlikely.
	requiredFailedChecks = 2
)

// errUpstreamGone cancels a call to an upstream that no longer accepts connections.
var errUpstreamGone = errors.New("the upstream accepts no connections any more")

// recordActivity records that the upstream has just shown that it is alive.
func (a *attempt) recordActivity() {
	now := a.node.Now()
	a.lastActivity.Store(&now)
}

// withLivenessCheck returns a context that is cancelled when the upstream disappears without
// closing its connections. The returned function ends the check.
//
// A VM that lost power closes no connections; a new connection attempt shows it. Silence proves nothing, since
// engines take long over some prompts. A call that must not run twice is never cancelled.
func (a *attempt) withLivenessCheck(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	a.recordActivity()
	if a.send.Replaceable && a.send.Peer.Name == "" {
		a.node.spawn(func(context.Context) {
			for a.node.sleep(ctx, livenessCheckAfter) {
				if a.node.Now().Sub(*a.lastActivity.Load()) >= livenessCheckAfter && a.upstreamGone(ctx) {
					cancel(errUpstreamGone)

					return
				}
			}
		})
	}

	return ctx, func() { cancel(nil) }
}

// upstreamGone reports whether requiredFailedChecks connection attempts to the upstream's address
// failed in a row.
func (a *attempt) upstreamGone(ctx context.Context) bool {
	for range requiredFailedChecks {
		if a.node.upstreams.acceptsConnections(ctx, a.send.Upstream.Address) || ctx.Err() != nil {
			return false
		}
	}

	return true
}
