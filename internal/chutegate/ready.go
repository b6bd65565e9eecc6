package chutegate

import (
	"context"
	"time"
)

// startupWait is how long after its start a node lets requests wait for the configuration and the
// list of upstreams. Loading them usually takes 0.1 s, with thousands of upstreams 0.5 s. If the
// node refused them at once, the callers would go to another node that has started just as late.
const startupWait = time.Second

// quarantineWait is how long after its start a node lets requests wait for the list of quarantined requests. When all
// nodes start at once, callers of a poison request would otherwise crash an upstream from each. Without the store,
// the node serves without the list.
const quarantineWait = 300 * time.Millisecond

// Ready reports whether the node can serve new callers.
func (n *Node) Ready() bool {
	return n.hasRequiredTables() && !n.draining.Load()
}

// hasRequiredTables reports whether the node has the configuration and the list of upstreams,
// without which it serves nobody.
func (n *Node) hasRequiredTables() bool {
	return n.config.Load() != nil && n.upstreamsLoaded.Load()
}

// signalIfRequiredLoaded releases the requests that wait for the required tables, once the node has
// them.
func (n *Node) signalIfRequiredLoaded() {
	if n.hasRequiredTables() {
		n.requiredLoadedOnce.Do(func() { close(n.requiredLoaded) })
	}
}

// awaitRequiredTables lets a request wait for the tables that a node needs, if the node has just
// started. bound limits the wait to a part of the caller's time; 0 is no limit. A node that still
// lacks the tables after startupWait does not let requests wait any longer.
func (n *Node) awaitRequiredTables(ctx context.Context, bound time.Duration) {
	began := n.clock.Now()
	if !n.hasRequiredTables() {
		n.awaitSignal(ctx, startupWait, bound, n.requiredLoaded)
	}
	if bound > 0 {
		if bound -= n.clock.Since(began); bound <= 0 {
			return
		}
	}
	n.awaitSignal(ctx, quarantineWait, bound, n.quarantineLoaded)
	n.awaitRollouts(ctx, bound)
}

// awaitSignal waits until signal is closed, until the node has run for maxAge, or for the bound if
// that is above 0.
func (n *Node) awaitSignal(ctx context.Context, maxAge, bound time.Duration, signal <-chan struct{}) {
	left := maxAge - n.clock.Since(n.started)
	if bound > 0 {
		left = min(left, bound)
	}
	if left <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-signal:
	case <-n.clock.After(left):
	}
}
