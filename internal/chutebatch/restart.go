package chutebatch

import (
	"cmp"
	"slices"
	"time"
)

// WithoutUpstream removes the calls, results and memory of an upstream whose process
// has ended. At most maxRequeued parts are queued again. Jobs that wait for lost inputs
// fail, and so do jobs with lost parts beyond maxRequeued. Completed jobs stay
// unchanged.
func (c Collector) WithoutUpstream(upstream string, maxRequeued int, now time.Time) (Collector, JobChanges) {
	var changes JobChanges
	for _, call := range c.CallsAt(upstream) {
		var callChanges JobChanges
		c, callChanges = c.WithCallEnded(call.ID, CallLost, nil, "", maxRequeued-changes.Requeued, now)
		changes = changes.merged(callChanges)
	}
	for i := c.jobs.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		lost := j.partsStoredAt(upstream)
		switch {
		case j.missingResults == 0:
		case len(j.pending) > 0 && slices.Contains(j.InputUpstreams, upstream):
			c, changes = c.withFailed(j, PartInputGone, changes)
		case changes.Requeued+len(lost) > maxRequeued:
			c, changes = c.withFailed(j, PartErrored, changes)
		case len(lost) > 0:
			changes.Requeued += len(lost)
			c = c.withJobState(j.withResultsLost(lost))
		}
	}
	c.memories = c.memories.Delete(upstream)
	c.foreignUsages = c.foreignUsages.Delete(upstream)
	c.pausedUntil = c.pausedUntil.Delete(upstream)
	c.delayedSince = c.delayedSince.Delete(upstream)

	return c, changes
}

// CallsAt returns the calls in flight at an upstream, sorted by id.
func (c Collector) CallsAt(upstream string) []Call {
	var calls []Call
	for i := c.calls.Iterator(); !i.Done(); {
		if _, call, _ := i.Next(); call.Upstream == upstream {
			calls = append(calls, call)
		}
	}
	slices.SortFunc(calls, func(a, b Call) int { return cmp.Compare(a.ID, b.ID) })

	return calls
}

// partsStoredAt lists the parts whose results are stored at an upstream.
func (j *jobState) partsStoredAt(upstream string) []int {
	var parts []int
	for i, r := range j.results {
		if r.Upstream == upstream {
			parts = append(parts, i)
		}
	}

	return parts
}

// withResultsLost returns the job with the parts whose results are lost pending again.
func (j jobState) withResultsLost(lost []int) jobState {
	j.results = slices.Clone(j.results)
	for _, i := range lost {
		j.results[i] = Result{}
	}
	j.missingResults += len(lost)
	j.pending = append(slices.Clip(j.pending), lost...)

	return j
}
