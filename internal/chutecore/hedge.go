package chutecore

import (
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// hedgeFactor times the learned service time is when a call counts as slow; about the p95 of a service whose times spread little.
const hedgeFactor = 3

// hedgeable says whether a second attempt may run beside the first: never for
// work that must run at most once, and not for engines, whose stream is resumed
// from its offset instead, which costs less than a second generation.
func (st *step) hedgeable(r Request) bool {
	return st.config.Policy.HedgeBudget > 0 &&
		!r.atMostOnce() &&
		st.pool(r.stage()).Kind != chuteconfig.PoolEngine
}

// planHedge asks to be woken if the first attempt of a stage is slow.
func (st *step) planHedge(r Request, attempt Attempt) {
	if attempt.Hedge || !st.hedgeable(r) {
		return
	}
	after := hedgeFactor * st.routing.ServiceTime(r.stage().Pool, r.stage().Name)
	if after <= 0 || st.now.Add(after).After(r.Deadline) {
		return
	}
	st.do(SetHedge{Handle: r.Handle, Attempt: attempt.ID, After: after})
}

// hedgeDue starts a second attempt elsewhere if the first is still alone and the budget allows.
func (st *step) hedgeDue(e HedgeDue) {
	r, ok := st.requests.Get(e.Handle)
	if !ok || len(r.Running) != 1 || r.Running[0].ID != e.Attempt || !st.hedgeable(r) {
		return
	}
	query := st.query(r)
	query.Exclude = append(append([]string{}, r.Tried...), r.Running[0].Upstream)
	if !st.routing.HasFree(query) {
		return
	}
	budget, allowed := st.hedges.Take()
	if !allowed {
		return
	}
	st.hedges = budget
	// The slow upstream is excluded for the hedge only by this copy: it has not failed.
	slow := r
	slow.Tried = query.Exclude
	st.dispatchHedge(slow, r.Tried)
}

// dispatchHedge dispatches beside the running attempt and restores the list of failed upstreams.
func (st *step) dispatchHedge(r Request, tried []string) {
	st.dispatch(r, true)
	if started, ok := st.requests.Get(r.Handle); ok {
		started.Tried = tried
		st.put(started)
	}
}
