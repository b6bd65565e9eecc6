package chutebatch

import (
	"cmp"
	"slices"
	"time"
)

// WithoutUpstream forgets what an upstream whose process has ended had made and held.
// At most allowed parts are queued again; jobs that wait for lost inputs, and those with
// lost parts beyond that, fail. Finished jobs stay with whoever asked.
func (c Collector) WithoutUpstream(upstream string, allowed int, now time.Time) (Collector, Ended) {
	var out Ended
	for _, call := range c.CallsAt(upstream) {
		var ended Ended
		c, ended = c.WithCallEnded(call.ID, CallLost, nil, "", allowed-out.Requeued, now)
		out = out.with(ended)
	}
	for i := c.jobs.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		lost := j.resultsAt(upstream)
		switch {
		case j.missing == 0:
		case len(j.pending) > 0 && slices.Contains(j.InputsAt, upstream):
			c, out = c.withFailed(j, PartInputGone, out)
		case out.Requeued+len(lost) > allowed:
			c, out = c.withFailed(j, PartErrored, out)
		case len(lost) > 0:
			out.Requeued += len(lost)
			c = c.withJob(j.without(lost))
		}
	}
	c.rooms = c.rooms.Delete(upstream)
	c.strangers = c.strangers.Delete(upstream)
	c.pauses = c.pauses.Delete(upstream)
	c.heldBack = c.heldBack.Delete(upstream)

	return c, out
}

// CallsAt returns the calls in flight at an upstream, in the order of their ids.
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

// resultsAt lists the parts whose results lie at an upstream.
func (j *job) resultsAt(upstream string) []int {
	var at []int
	for i, r := range j.results {
		if r.Upstream == upstream {
			at = append(at, i)
		}
	}

	return at
}

// without returns the job with results that are lost waiting to be made again.
func (j job) without(lost []int) job {
	j.results = slices.Clone(j.results)
	for _, i := range lost {
		j.results[i] = Result{}
	}
	j.missing += len(lost)
	j.pending = append(slices.Clip(j.pending), lost...)

	return j
}
