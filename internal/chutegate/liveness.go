package chutegate

import (
	"context"
	"errors"
	"time"
)

const (
	// quiet is how long an upstream may show nothing before it is asked whether it
	// still accepts connections: most first events come sooner, and a pause of 0.8 s
	// in a stream counts as late.
	livenessCheckAfter = 600 * time.Millisecond
	// proofs is how many connections in a row have to fail: one can fail for a lost
	// packet, two hardly.
	requiredFailedChecks = 2
)

// errGone ends a call to an upstream that accepts no connections any more.
var errUpstreamGone = errors.New("the upstream accepts no connections any more")

// touch notes a sign of life.
func (a *attempt) recordActivity() {
	now := a.node.Now()
	a.lastActivity.Store(&now)
}

// guarded returns a context that ends when the upstream is gone without a word.
//
// A VM that lost its power or was cut off closes no connections. The kernel finds
// out after three seconds; a new connection tells in a third of one. Silence alone
// proves nothing, since engines think long over some prompts, and a call that must
// not run twice is left alone in any case.
func (a *attempt) withLivenessCheck(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	a.recordActivity()
	if a.send.Replaceable {
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

// gone says whether nothing accepts connections at the upstream's address.
func (a *attempt) upstreamGone(ctx context.Context) bool {
	for range requiredFailedChecks {
		if a.node.upstreams.AcceptsConnections(ctx, a.send.Upstream.Address) || ctx.Err() != nil {
			return false
		}
	}

	return true
}
