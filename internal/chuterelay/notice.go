package chuterelay

import (
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
)

// restSpread is the part of a rest by which it is prolonged at random, up to maxRestSpread: an
// upstream under pressure asks many nodes at once, and all that they hold back would come together.
const (
	restSpread    = 0.1
	maxRestSpread = 500 * time.Millisecond
)

// noticeReceived applies what an upstream says about itself.
func (st *reduction) noticeReceived(e NoticeReceived) {
	id := e.Upstream.ID
	leavesNow := e.Leaving && !st.fleet.SaysLeaving(id)
	restsNow := e.Rest > 0 && !st.now.Before(st.fleet.RestUntil(id))
	if leavesNow {
		st.fleet = st.fleet.WithLeaving(id, st.now)
	}
	if e.Rest > 0 {
		spread := min(maxRestSpread, time.Duration(restSpread*st.randomFraction()*float64(e.Rest)))
		st.fleet = st.fleet.WithRest(id, st.now.Add(e.Rest+spread), st.now)
	}
	if leavesNow || restsNow || e.Malformed != "" {
		st.emit(LogNotice(e))
	}
	if leavesNow {
		st.refuseUnservable()
	}
	if restsNow {
		st.rejectJobsBeyondRest(e.Upstream.Pool)
	}
	if leavesNow || restsNow {
		st.fillAllLanes()
	}
}

// rejectJobsBeyondRest rejects the waiting jobs of a pool that can't be done because all its
// upstreams are blocked for longer than the jobs can wait.
func (st *reduction) rejectJobsBeyondRest(pool string) {
	for _, job := range st.collector.WaitingJobs() {
		if job.Pool != pool || !st.blockedBeyond(job) {
			continue
		}
		var frees []chutebatch.FreeRequest
		st.collector, frees = st.collector.WithoutJob(job.ID)
		for _, f := range frees {
			st.freeOnUpstream(f)
		}
		st.rejectJob(chutebatch.FailedJob{Job: job, Reason: chutebatch.PartOverloaded})
	}
}

// blockedBeyond reports whether all upstreams that may run a job rest or are at their limits until its
// deadline or longer.
func (st *reduction) blockedBeyond(job chutebatch.Job) bool {
	blocked, ok := st.fleet.PoolAvailability(job.Pool, chutefleet.Use{Regions: job.Regions}, st.now)

	return ok && !blocked.Until.Before(job.Deadline)
}

// blockedWhenStagesDone reports whether all upstreams of the request's pool will still rest, or be
// at this node's share of their limits, when the request's stages are done. The stages would then
// run for nothing.
func (st *reduction) blockedWhenStagesDone(r request) bool {
	blocked, ok := st.fleet.PoolAvailability(r.pool, r.use(), st.now)
	stagesTime := time.Duration(0)
	for i := range r.stages {
		if !r.stages[i].done {
			stagesTime += st.stageTime(r, i)
		}
	}

	return ok && blocked.Until.After(st.now.Add(stagesTime))
}

// noUsableUpstreamRefusal refuses a request because no upstream can be used. If rests and limits are the only reason,
// the caller may retry when this node may send the next call; a limited upstream may have calls left at another node.
func (st *reduction) noUsableUpstreamRefusal(r request) Refusal {
	use := r.use()
	refusal := notRunRefusal("no upstream of pool " + r.pool + " can be used now: " + st.fleet.DescribeBlocked(r.pool, use, st.now))
	blocked, ok := st.fleet.PoolAvailability(r.pool, use, st.now)
	if !ok {
		return refusal
	}
	refusal.sameForAll = false
	wait := max(defaultRetryAfter, blocked.Until.Sub(st.now))
	if blocked.Reason == chutefleet.BlockResting {
		refusal.RetryAfter = time.Duration((1 + retryAfterSpread*st.randomFraction()) * float64(wait))

		return refusal
	}
	refusal.RetryAfter = time.Duration((1 - retryAfterSpread + 2*retryAfterSpread*st.randomFraction()) * float64(min(maxLimitRetryAfter, wait)))

	return refusal
}
