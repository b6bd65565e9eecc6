package chuterelay

import (
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
)

// resultExpiryMargin is how much sooner than the upstream a node considers a result expired. The
// call that made it ended before this node learned of it, and the next call has to fetch it.
const resultExpiryMargin = 500 * time.Millisecond

// inputsExpireAt returns when the first of the stages' results expires, or when the caller stops
// waiting if that is sooner.
func (st *reduction) inputsExpireAt(r request, stages []int) time.Time {
	expiry := r.answerBy()
	for _, i := range stages {
		b := st.config.Pools[r.Pipeline.Stages[i].Pool].Batching
		if b == nil || b.ResultTTL <= 0 || r.stages[i].doneAt.IsZero() {
			continue
		}
		if end := r.stages[i].doneAt.Add(b.ResultTTL - resultExpiryMargin); end.Before(expiry) {
			expiry = end
		}
	}

	return expiry
}

// inputZone returns the zone that holds most of the stages' results.
//
// Each part of a later stage fetches all of them.
func (r request) inputZone(stages []int, fallback string) string {
	count := map[string]int{}
	best := fallback
	for _, i := range stages {
		for _, result := range r.stages[i].results {
			count[result.Zone]++
			if count[result.Zone] > count[best] {
				best = result.Zone
			}
		}
	}

	return best
}

// releaseConsumed releases results that all stages after them have taken in.
func (st *reduction) releaseConsumed(r request) request {
	leaves := r.Pipeline.Leaves()
	for i := range r.stages {
		if r.stages[i].jobRequestID == 0 || !r.stages[i].done || slices.Contains(leaves, i) || !r.allDependentsDone(i) {
			continue
		}
		r = st.releaseResults(r, i)
	}

	return r
}

// allDependentsDone reports whether every stage that depends on this one is done.
func (r request) allDependentsDone(i int) bool {
	for n := range r.stages {
		if dependsOn(r, n, i) && !r.stages[n].done {
			return false
		}
	}

	return true
}

// releaseResults releases one stage's results; the stage stays done.
func (st *reduction) releaseResults(r request, i int) request {
	s := r.stages[i]
	st.dropJobRequest(s.jobRequestID, s.results)
	s.jobRequestID = 0
	s.results = nil

	return r.withStage(i, s)
}

// dropJobRequest ends a job request. The collector that made the results frees them; if it was
// lost, this node does.
func (st *reduction) dropJobRequest(id uint64, results []chutebatch.Result) {
	jr, ok := st.jobRequests.Get(id)
	if !ok {
		return
	}
	st.jobRequests = st.jobRequests.Delete(id)
	switch {
	case jr.job != 0:
		st.dropJob(jr.job)
	case jr.orphaned:
		st.freeResults(results)
	default:
		st.emit(CancelJob{JobRequestID: id})
	}
}

// freeResults frees results that no collector manages.
func (st *reduction) freeResults(results []chutebatch.Result) {
	byUpstream := map[string][]string{}
	var order []string
	for _, result := range results {
		if len(byUpstream[result.Upstream]) == 0 {
			order = append(order, result.Upstream)
		}
		byUpstream[result.Upstream] = append(byUpstream[result.Upstream], result.Ref)
	}
	for _, id := range order {
		st.freeOnUpstream(chutebatch.FreeRequest{Upstream: id, Refs: byUpstream[id]})
	}
}

// freeOnUpstream reports to an upstream which results are not needed any more, unless its zone is
// evacuated or it rests. Results expire by themselves.
func (st *reduction) freeOnUpstream(f chutebatch.FreeRequest) {
	if u, ok := st.fleet.Get(f.Upstream); ok && !st.fleet.Evacuated(u.Zone) && !st.now.Before(st.fleet.RestUntil(u.ID)) {
		st.emit(FreeResults{Upstream: u, Refs: f.Refs})
	}
}

// resetInputs resets the stages before one whose inputs were gone.
func (st *reduction) resetInputs(r request, stage int, reason string) request {
	if reason != string(chutebatch.PartInputGone) && reason != string(chutebatch.PartLate) {
		return r
	}
	for _, predecessor := range r.Pipeline.Stages[stage].After {
		r = st.resetStage(r, predecessor)
	}

	return r
}

// resetStage marks a stage to be run again, with the stages before it whose results are gone.
func (st *reduction) resetStage(r request, i int) request {
	if r.parts(i) == 0 {
		return r
	}
	if r.stages[i].jobRequestID != 0 {
		r = st.releaseResults(r, i)
	}
	s := r.stages[i]
	s.done = false
	s.results = nil
	r = r.withStage(i, s)
	for _, predecessor := range r.Pipeline.Stages[i].After {
		if len(r.stages[predecessor].results) == 0 {
			r = st.resetStage(r, predecessor)
		}
	}

	return r
}
