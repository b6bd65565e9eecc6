package chuterelay

import (
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutecanary"
	"azurechute.example/azurechute/internal/chutefleet"
)

// usualPartsTime is what a call with parts counts as that takes as long as the configuration states:
// calls of different sizes are compared by how much longer they take.
const usualPartsTime = 100 * time.Millisecond

// partsSide returns the side of a pool that calls with parts go to.
func (st *reduction) partsSide(pool string) chutefleet.Side {
	if st.fleet.VersionRules()[pool].Trial == "" {
		return chutefleet.SideAny
	}
	if st.rollouts.records[pool].Phase == chutecanary.PhaseClosing && st.rolloutCall(pool, "", true).Fresh {
		return chutefleet.SideNew
	}

	return chutefleet.SideOld
}

// fillTrialCalls sends calls with parts to new upstreams, beside a number of calls that were just sent
// to old ones: each is one call to a new upstream with the chance that the share calls for.
func (st *reduction) fillTrialCalls(lane chutebatch.Lane, sentToOld int) {
	record := st.rollouts.records[lane.Pool]
	call := st.rolloutCall(lane.Pool, "", true)
	for range sentToOld {
		if record.Draw(call, st.randomFraction()) != chutefleet.SideNew {
			continue
		}
		if candidates := st.laneCandidates(lane, chutefleet.SideNew); len(candidates) > 0 {
			i := int(st.randomFraction() * float64(len(candidates)))
			st.fillCallsAt(lane, candidates[i:i+1])
		}
	}
}

// countPartsCall counts the end of a call with parts to an upstream whose pool is being moved.
func (st *reduction) countPartsCall(u chutefleet.Upstream, call chutebatch.Call, e CallEnded) {
	if e.End != chutebatch.CallAnswered {
		return
	}
	change := chutecanary.Counts.WithFailure
	isFailed := func(part chutebatch.PartOutcome) bool { return part.Failure == chutebatch.PartErrored }
	if !slices.ContainsFunc(e.PartEnds, isFailed) {
		slowness := float64(e.Took) / float64(max(time.Millisecond, st.expectedCallTime(call)))
		change = func(c chutecanary.Counts) chutecanary.Counts {
			return c.WithAnswer(time.Duration(slowness * float64(usualPartsTime)))
		}
	}
	st.countRolloutAnswer(u, "", change)
}
