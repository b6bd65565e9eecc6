package chuterelay

import (
	"slices"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
)

// restartedReason is what callers and the log are told of what ended with an upstream's process.
const restartedReason = "the upstream has started again"

// listUpstreams takes in the platform's list.
func (st *step) listUpstreams(e UpstreamsListed) {
	before := st.fleet
	st.fleet = st.fleet.WithList(e.Upstreams, e.Hold, st.now)
	for _, u := range st.fleet.ReplacedSince(before) {
		st.restarted(u)
	}
	st.recallLimits(before)
	st.fillAll()
}

// restarted takes in that an upstream's process has ended and another one has its name.
//
// Results, room, connections and calls have ended with the process. Found out one by
// one, each lost result costs a call that ends for want of it, and an unrepeatable
// call on a connection that went silent would wait for its deadline.
func (st *step) restarted(u chutefleet.Upstream) {
	st.do(DropConnections{Address: u.Address})
	st.paces = st.paces.Delete(u.ID)
	st.probed = st.probed.Delete(u.ID)
	st.endAttemptsAt(u)
	st.loseResultsAt(u)
	if u.State == chutefleet.StateReady {
		for _, call := range st.collector.CallsAt(u.ID) {
			st.endedUnder(u, call, restartedReason)
		}
	}
	repeats := st.collectorAccount(u.Pool, st.now)
	allowed := st.repeatsLeft(repeats)
	var ended chutebatch.JobChanges
	st.collector, ended = st.collector.WithoutUpstream(u.ID, allowed, st.now)
	st.spendRepeats(repeats.budgetKey, ended.Requeued)
	st.settle(ended)
}

// endAttemptsAt ends the relayed calls that were under way at an upstream that is gone.
// They may have run.
func (st *step) endAttemptsAt(u chutefleet.Upstream) {
	for i := st.requests.Iterator(); !i.Done(); {
		_, r, _ := i.Next()
		if r.current.id == 0 || r.current.upstream.ID != u.ID {
			continue
		}
		st.do(CancelSend{Handle: r.Handle, Attempt: r.current.id})
		st.attemptEnded(AttemptEnded{
			Handle: r.Handle, Attempt: r.current.id, End: EndBroken, UpstreamEnded: u.State == chutefleet.StateReady,
			Detail: restartedReason,
		})
	}
}

// loseResultsAt has the stages made again whose results lay at an upstream that is gone
// and are still needed.
func (st *step) loseResultsAt(u chutefleet.Upstream) {
	for i := st.requests.Iterator(); !i.Done(); {
		handle, _, _ := i.Next()
		r, ok := st.requests.Get(handle)
		// A call that is under way has them, or says that it lacks them.
		if !ok || r.current.id != 0 || !r.hasResultsAt(u.ID) {
			continue
		}
		st.makeAgain(r, u)
	}
}

// hasResultsAt says whether the request holds results at an upstream.
func (r request) hasResultsAt(upstream string) bool {
	return slices.ContainsFunc(r.stages, func(s stageState) bool { return s.liesAt(upstream) })
}

// liesAt says whether any of a stage's results lies at an upstream.
func (s stageState) liesAt(upstream string) bool {
	return slices.ContainsFunc(s.results, func(result chutebatch.Result) bool { return result.Upstream == upstream })
}

// makeAgain undoes the stages whose results are lost, and those under way that take
// them in, and starts them anew if the pools' repeats allow it.
func (st *step) makeAgain(r request, u chutefleet.Upstream) {
	before := r
	for i := range r.stages {
		if !before.stages[i].liesAt(u.ID) {
			continue
		}
		r = st.undo(r, i)
		for n := range r.stages {
			if after(r, n, i) && r.stages[n].ask != 0 && !r.stages[n].done {
				r = st.release(r, n)
			}
		}
	}
	st.put(r)
	for i := range r.stages {
		if !before.stages[i].done || r.stages[i].done {
			continue
		}
		pool := r.Pipeline.Stages[i].Pool
		repeats := st.nodeAccount(pool, st.now)
		if st.repeatsLeft(repeats) < r.parts(i) {
			st.giveUp(r, notRun("results were lost and the retry budget is used up: "+restartedReason))

			return
		}
		st.spendRepeats(repeats.budgetKey, r.parts(i))
	}
	st.advance(r)
}
