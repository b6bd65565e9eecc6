package chutecore

import (
	"azurechute.example/azurechute/internal/chuteadmission"
	"azurechute.example/azurechute/internal/chuterequest"
)

// applyPlatform takes the events that do not belong to one request.
func (st *step) applyPlatform(event Event) {
	switch e := event.(type) {
	case UpstreamsListed:
		st.routing = st.routing.WithList(e.Upstreams, st.now)
		st.pumpAll()
	case LoadReported:
		st.applyReport(e.Upstream, e.Load)
	case CacheReported:
		st.routing = st.routing.WithCacheEvents(e.Upstream, e.Events, e.Gap)
	case DrainStarted:
		st.drain()
	case Ticked:
		st.tick()
	default:
		st.applyControl(event)
	}
}

// noteLeaving takes an upstream's own word that it is leaving.
func (st *step) noteLeaving(upstream string, load chuterequest.Load) {
	if load.Leaving {
		st.markLeaving(upstream, load.Incarnation)
	}
}

// markLeaving stops new work for an upstream's incarnation and tells the peers once.
//
// The platform's list lags, so waiting for it would send work to an upstream
// that is about to end. The first sign counts, and it stays for the
// incarnation; a restarted upstream has a new one and is welcome again.
func (st *step) markLeaving(upstream, incarnation string) {
	if st.routing.IsLeaving(upstream, incarnation) {
		return
	}
	st.routing = st.routing.WithLeaving(upstream, incarnation)
	st.members = st.members.WithLeavingMark(upstream, incarnation)
	st.spread()
}

// lookOver ends the queued requests that can't finish any more, at once rather than at their deadline.
func (st *step) lookOver() {
	if st.config.Policy.Admission {
		var hopeless []chuteadmission.Waiter
		hopeless, st.queue = st.queue.Hopeless(st.now)
		for _, waiter := range hopeless {
			r, ok := st.requests.Get(handleOf(waiter.Key))
			if !ok {
				continue
			}
			retryAfter := max(unreadyRetryAfter, st.queue.Predict(waiter, 0, st.now).RetryAfter)
			st.giveUpOverloaded(r, "pool "+waiter.Pool+" can't finish this within its deadline", retryAfter)
		}
	}
	st.pumpAll()
}

// pumpAll looks for room in every pool.
func (st *step) pumpAll() {
	for _, pool := range sortedNames(st.config.Pools) {
		st.pump(pool)
	}
}
