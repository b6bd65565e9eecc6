package chuterelay

import (
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
)

// resultExpiryMargin is how much sooner than the upstream a node counts a result as gone: the
// call that made it ended earlier than the node heard of it, and the next one has to
// fetch it.
const resultExpiryMargin = 500 * time.Millisecond

// inputsExpireAt is when the first of the stages' results runs out, or nobody waits any more.
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

// inputZone is the zone in which most of the stages' results lie.
//
// Each part of a later stage fetches all results of the stages before it, which
// together outweigh its own result; so it runs beside them.
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

// releaseConsumed gives back results that all stages after them have taken in.
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

// allDependentsDone says whether every stage after this one is done.
func (r request) allDependentsDone(i int) bool {
	for n := range r.stages {
		if dependsOn(r, n, i) && !r.stages[n].done {
			return false
		}
	}

	return true
}

// releaseResults gives back one stage's results; the stage stays done.
func (st *reduction) releaseResults(r request, i int) request {
	s := r.stages[i]
	st.dropJobRequest(s.jobRequestID, s.results)
	s.jobRequestID = 0
	s.results = nil

	return r.withStage(i, s)
}

// dropJobRequest ends an ask; whoever made results frees them, or else this node does.
func (st *reduction) dropJobRequest(id uint64, results []chutebatch.Result) {
	a, ok := st.jobRequests.Get(id)
	if !ok {
		return
	}
	st.jobRequests = st.jobRequests.Delete(id)
	switch {
	case a.job != 0:
		st.dropJob(a.job)
	case a.orphaned:
		st.freeResults(results)
	default:
		st.emit(CancelJob{JobRequestID: id})
	}
}

// freeResults frees results that no collector looks after.
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
		st.freeOnUpstream(chutebatch.Free{Upstream: id, Refs: byUpstream[id]})
	}
}

// freeOnUpstream tells an upstream which results may go.
func (st *reduction) freeOnUpstream(f chutebatch.Free) {
	if u, ok := st.fleet.Get(f.Upstream); ok && !st.fleet.Evacuated(u.Zone) {
		st.emit(FreeResults{Upstream: u, Refs: f.Refs})
	}
}

// resetInputs undoes the stages before one whose inputs were gone.
func (st *reduction) resetInputs(r request, stage int, reason string) request {
	if reason != string(chutebatch.PartInputGone) && reason != string(chutebatch.PartLate) {
		return r
	}
	for _, predecessor := range r.Pipeline.Stages[stage].After {
		r = st.resetStage(r, predecessor)
	}

	return r
}

// resetStage makes a stage, and the ones before it whose results are gone, run again.
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
