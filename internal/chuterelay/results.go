package chuterelay

import (
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
)

// resultMargin is how much sooner than the upstream a node counts a result as gone: the
// call that made it ended earlier than the node heard of it, and the next one has to
// fetch it.
const resultMargin = 500 * time.Millisecond

// inputsUntil is when the first of the stages' results runs out, or nobody waits any more.
func (st *step) inputsUntil(r request, stages []int) time.Time {
	until := r.until()
	for _, i := range stages {
		b := st.config.Pools[r.Pipeline.Stages[i].Pool].Batching
		if b == nil || b.ResultTTL <= 0 || r.stages[i].madeAt.IsZero() {
			continue
		}
		if end := r.stages[i].madeAt.Add(b.ResultTTL - resultMargin); end.Before(until) {
			until = end
		}
	}

	return until
}

// inputZone is the zone in which most of the stages' results lie.
//
// Each part of a later stage fetches all results of the stages before it, which
// together outweigh its own result; so it runs beside them.
func (r request) inputZone(stages []int, otherwise string) string {
	count := map[string]int{}
	best := otherwise
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

// releaseUsed gives back results that all stages after them have taken in.
func (st *step) releaseUsed(r request) request {
	leaves := r.Pipeline.Leaves()
	for i := range r.stages {
		if r.stages[i].ask == 0 || !r.stages[i].done || slices.Contains(leaves, i) || !r.used(i) {
			continue
		}
		r = st.release(r, i)
	}

	return r
}

// used says whether every stage after this one is done.
func (r request) used(i int) bool {
	for n := range r.stages {
		if after(r, n, i) && !r.stages[n].done {
			return false
		}
	}

	return true
}

// release gives back one stage's results; the stage stays done.
func (st *step) release(r request, i int) request {
	s := r.stages[i]
	st.dropAsk(s.ask, s.results)
	s.ask = 0
	s.results = nil

	return r.withStage(i, s)
}

// dropAsk ends an ask; whoever made results frees them, or else this node does.
func (st *step) dropAsk(id uint64, results []chutebatch.Result) {
	a, ok := st.asks.Get(id)
	if !ok {
		return
	}
	st.asks = st.asks.Delete(id)
	switch {
	case a.job != 0:
		st.dropJob(a.job)
	case a.orphaned:
		st.freeResults(results)
	default:
		st.do(DropAsk{Ask: id})
	}
}

// freeResults frees results that no collector looks after.
func (st *step) freeResults(results []chutebatch.Result) {
	byUpstream := map[string][]string{}
	var order []string
	for _, result := range results {
		if len(byUpstream[result.Upstream]) == 0 {
			order = append(order, result.Upstream)
		}
		byUpstream[result.Upstream] = append(byUpstream[result.Upstream], result.Ref)
	}
	for _, id := range order {
		st.free(chutebatch.FreeRequest{Upstream: id, Refs: byUpstream[id]})
	}
}

// free tells an upstream which results may go.
func (st *step) free(f chutebatch.FreeRequest) {
	if u, ok := st.fleet.Get(f.Upstream); ok && !st.fleet.Evacuated(u.Zone) {
		st.do(FreeResults{Upstream: u, Refs: f.Refs})
	}
}

// withInputsAgain undoes the stages before one whose inputs were gone.
func (st *step) withInputsAgain(r request, stage int, reason string) request {
	if reason != string(chutebatch.PartInputGone) && reason != string(chutebatch.PartLate) {
		return r
	}
	for _, before := range r.Pipeline.Stages[stage].After {
		r = st.undo(r, before)
	}

	return r
}

// undo makes a stage, and the ones before it whose results are gone, run again.
func (st *step) undo(r request, i int) request {
	if r.parts(i) == 0 {
		return r
	}
	if r.stages[i].ask != 0 {
		r = st.release(r, i)
	}
	s := r.stages[i]
	s.done = false
	s.results = nil
	r = r.withStage(i, s)
	for _, before := range r.Pipeline.Stages[i].After {
		if len(r.stages[before].results) == 0 {
			r = st.undo(r, before)
		}
	}

	return r
}
