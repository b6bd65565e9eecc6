package chutegate

import (
	"context"
	"time"
)

// startHold is how long after its start a node lets requests wait until it knows the
// configuration and the upstreams. It mostly takes 0.1 s, with thousands of upstreams
// 0.5 s. Refused at once, their callers go to another node that has started as late.
const startupWait = time.Second

// quarantineHold is how long after its start a node lets requests wait until it knows which
// are set aside. It mostly takes some milliseconds more than the rest. When all nodes start
// at once, the callers of a poison request come back to all of them at once, and each node
// that knows nothing ends an upstream. Without the store a node serves without that knowledge.
const quarantineWait = 300 * time.Millisecond

// Ready says whether the node can serve new callers.
func (n *Node) Ready() bool {
	return n.hasRequiredTables() && !n.draining.Load()
}

// knowsAll says whether the node knows what it needs to serve anybody.
func (n *Node) hasRequiredTables() bool {
	return n.config.Load() != nil && n.upstreamsLoaded.Load()
}

// noteKnown lets requests go on that wait for the node to know what it needs.
func (n *Node) signalIfRequiredLoaded() {
	if n.hasRequiredTables() {
		n.requiredLoadedOnce.Do(func() { close(n.requiredLoaded) })
	}
}

// awaitKnown lets a request of a node that has just started wait until the node knows
// what it needs, up to a part of the caller's time; 0 is no bound. A node that knows
// nothing for longer refuses at once.
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
}

// hold waits until something is known, up to a time after the start and the bound.
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
