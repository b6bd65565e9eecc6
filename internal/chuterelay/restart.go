package chuterelay

import (
	"slices"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chutestream"
)

// restartedReason is the reason in refusals and in the log for what ended with an upstream's
// process.
const restartedReason = "the upstream has started again"

// changeUpstreams applies a change of the platform's list of upstreams.
func (st *reduction) changeUpstreams(change chutefleet.ListChange, hold bool) {
	before := st.fleet
	var replaced []chutefleet.Upstream
	st.fleet, replaced = st.fleet.WithListChange(change, hold, st.now)
	for _, u := range replaced {
		st.upstreamRestarted(u)
	}
	st.applyLimitsOfNewUpstreams(change.Entries, before)
	st.endStreamsWithoutVersion()
	st.fillAllLanes()
}

// upstreamRestarted applies the restart of an upstream: its process has ended and another one has
// its name.
//
// Found out one by one, each lost result would cost a call, and a silent connection its deadline.
func (st *reduction) upstreamRestarted(u chutefleet.Upstream) {
	st.emit(DropConnections{Address: u.Address})
	st.upstreamPaces = st.upstreamPaces.Delete(u.ID)
	st.probing = st.probing.Delete(u.ID)
	st.endAttemptsAt(u)
	st.remakeResultsOf(u)
	if u.State == chutefleet.StateReady {
		for _, call := range st.collector.CallsAt(u.ID) {
			for _, suspect := range callSuspects(call) {
				st.strays = st.strays.with(u.Name, suspect, st.now)
			}
			st.recordCallCrash(u, call, restartedReason)
		}
	}
	budgetAccount := st.collectorAccount(u.Pool, st.now)
	allowedRetries := st.retriesLeft(budgetAccount)
	var ended chutebatch.JobChanges
	st.collector, ended = st.collector.WithoutUpstream(u.ID, allowedRetries, st.now)
	st.countRetries(budgetAccount.budgetKey, ended.Requeued)
	st.settleJobs(ended)
}

// endAttemptsAt ends the relayed calls in progress at an upstream that is gone. They may have run.
func (st *reduction) endAttemptsAt(u chutefleet.Upstream) {
	for i := st.requests.Iterator(); !i.Done(); {
		_, r, _ := i.Next()
		if r.current.id == 0 || r.current.upstream.ID != u.ID {
			continue
		}
		st.strays = st.strays.with(u.Name, r.suspect(), st.now)
		if next, listed := st.fleet.Current(u.Name); listed && next.Version != u.Version && r.current.began && !r.current.bound {
			// Its events may be those of the next process, which took calls before its entry came.
			r.Binding = chutestream.Binding{}
			st.putRequest(r)
		}
		st.emit(CancelSend{Handle: r.Handle, Attempt: r.current.id})
		st.attemptEnded(AttemptEnded{
			Handle: r.Handle, Attempt: r.current.id, End: EndBroken, UpstreamEnded: u.State == chutefleet.StateReady,
			Detail: restartedReason,
		})
	}
}

// remakeResultsOf runs the stages again whose results were held by an upstream that is gone and
// are still needed.
func (st *reduction) remakeResultsOf(u chutefleet.Upstream) {
	for i := st.requests.Iterator(); !i.Done(); {
		handle, _, _ := i.Next()
		r, ok := st.requests.Get(handle)
		// A call in progress has its inputs, or reports that they are gone.
		if !ok || r.current.id != 0 || !r.hasResultsAt(u.ID) {
			continue
		}
		st.remakeStages(r, u)
	}
}

// hasResultsAt reports whether the request holds results at an upstream.
func (r request) hasResultsAt(upstream string) bool {
	return slices.ContainsFunc(r.stages, func(s stageState) bool { return s.hasResultsAt(upstream) })
}

// hasResultsAt reports whether any of a stage's results is held by an upstream.
func (s stageState) hasResultsAt(upstream string) bool {
	return slices.ContainsFunc(s.results, func(result chutebatch.Result) bool { return result.Upstream == upstream })
}

// remakeStages resets the stages whose results are lost, cancels the requested stages that take
// them as inputs, and starts them again if the pools' retry budgets allow it.
func (st *reduction) remakeStages(r request, u chutefleet.Upstream) {
	original := r
	for i := range r.stages {
		if !original.stages[i].hasResultsAt(u.ID) {
			continue
		}
		r = st.resetStage(r, i)
		for n := range r.stages {
			if dependsOn(r, n, i) && r.stages[n].jobRequestID != 0 && !r.stages[n].done {
				r = st.releaseResults(r, n)
			}
		}
	}
	st.putRequest(r)
	for i := range r.stages {
		if !original.stages[i].done || r.stages[i].done {
			continue
		}
		pool := r.Pipeline.Stages[i].Pool
		budgetAccount := st.nodeAccount(pool, st.now)
		if st.retriesLeft(budgetAccount) < r.parts(i) {
			st.giveUp(r, notRunRefusal("results were lost and the retry budget is used up: "+restartedReason))

			return
		}
		st.countRetries(budgetAccount.budgetKey, r.parts(i))
	}
	st.advance(r)
}
