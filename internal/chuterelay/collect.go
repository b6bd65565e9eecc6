package chuterelay

import (
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chutequarantine"
)

const (
	// queueCheckInterval is how often waiting parts are checked when no call ends in the meantime.
	queueCheckInterval = 20 * time.Millisecond
	// callTimeoutFactor and callTimeoutMargin bound a call with parts: one that takes longer than
	// 2.2 times its expected time plus 150 ms counts as lost, so that parts on a dead upstream can
	// still meet their target time elsewhere.
	callTimeoutFactor = 2.2
	callTimeoutMargin = 150 * time.Millisecond
	// slowCallTimeoutFactor is the same for an upstream that is known to be slow, as a multiple of
	// its own usual time. assumedSlowness is the slowness assumed of an upstream after
	// overdueCallsUntilSlow overdue calls in a row: upstreams slow down by a factor of four to
	// five.
	slowCallTimeoutFactor = 1.5
	assumedSlowness       = 4
	overdueCallsUntilSlow = 2
	// newestSlownessWeight is the weight of the newest call in an upstream's measured slowness.
	newestSlownessWeight = 0.4
)

// jobReceived queues a peer's job at this node's collector.
func (st *reduction) jobReceived(e JobReceived) {
	if st.draining || st.links.cutOff {
		reason := leavingReason
		if st.links.cutOff {
			reason = cutOffReason
		}
		st.emit(RejectJob{Token: e.Token, Reason: reason, Leaving: true})

		return
	}
	st.applyLoads(e.Loads)
	job := e.Job
	job.ID = st.newID()
	job.QueuedAt = st.now
	st.origins = st.origins.Set(job.ID, jobOrigin{token: e.Token})
	st.tokens = st.tokens.Set(e.Token, job.ID)
	st.queueJob(job)
}

// drain returns the waiting jobs, so that the nodes that requested them go to the next collector
// at once.
//
// The calls of the next collector take the slots, so that jobs left here would get none.
func (st *reduction) drain() {
	st.draining = true
	st.peers.shuttingDown = true
	for _, job := range st.collector.WaitingJobs() {
		st.returnJob(job, leavingReason)
	}
}

// returnJob gives up a job that another node will run, for a reason.
func (st *reduction) returnJob(job chutebatch.Job, reason string) {
	o, ok := st.origins.Get(job.ID)
	if !ok {
		return
	}
	st.dropJob(job.ID)
	if o.jobRequestID != 0 {
		st.jobFailed(JobFailed{JobRequestID: o.jobRequestID, Reason: reason})

		return
	}
	st.tokens = st.tokens.Delete(o.token)
	st.emit(RejectJob{Token: o.token, Reason: reason, Leaving: true})
}

// leavingReason is the reason why a node that is shutting down does not run a job.
const leavingReason = "this VM is shutting down"

// queueJob adds a job to this node's collector, or rejects it.
func (st *reduction) queueJob(job chutebatch.Job) {
	if slices.ContainsFunc(job.InputUpstreams, st.fleet.IsReplaced) {
		// The requesting node does not know yet that an upstream has restarted. A call would only
		// find the inputs gone.
		st.rejectJob(chutebatch.FailedJob{Job: job, Reason: chutebatch.PartInputGone})

		return
	}
	if _, quarantined := st.quarantineRefusalFor(chutequarantine.Suspect{Fingerprint: job.Fingerprint}, job.Pool); quarantined {
		st.rejectJob(chutebatch.FailedJob{Job: job, Reason: chutebatch.PartQuarantined})

		return
	}
	if st.blockedBeyond(job) {
		st.rejectJob(chutebatch.FailedJob{Job: job, Reason: chutebatch.PartOverloaded})

		return
	}
	job.Isolated = len(st.quarantine.EvidenceAgainst(job.Fingerprint)) > 0
	if !st.collector.Admits(job, st.waitsAhead(job), st.now) {
		st.rejectJob(chutebatch.FailedJob{Job: job, Reason: chutebatch.PartOverloaded})

		return
	}
	st.countFirstCalls(budgetKey{pool: job.Pool, collecting: true}, job.Parts)
	st.collector = st.collector.WithJob(job)
	st.fillCalls(job.Lane())
}

// jobCancelled ends a peer's lease on a job and its results.
func (st *reduction) jobCancelled(e JobCancelled) {
	if id, ok := st.tokens.Get(e.Token); ok {
		st.tokens = st.tokens.Delete(e.Token)
		st.dropJob(id)
	}
}

// dropJob removes a job from this node's collector and frees its results.
func (st *reduction) dropJob(id uint64) {
	st.origins = st.origins.Delete(id)
	var frees []chutebatch.FreeRequest
	st.collector, frees = st.collector.WithoutJob(id)
	for _, f := range frees {
		st.freeOnUpstream(f)
	}
	if len(frees) > 0 {
		st.fillAllLanes()
	}
}

// fillAllLanes fills calls from the waiting parts of all lanes.
func (st *reduction) fillAllLanes() {
	for _, lane := range st.collector.WaitingLanes() {
		st.fillCalls(lane)
	}
}

// fillCalls sends calls to free upstreams of a lane as long as parts wait.
func (st *reduction) fillCalls(lane chutebatch.Lane) {
	if st.collector.WaitingParts(lane) == 0 {
		return
	}
	side := st.partsSide(lane.Pool)
	sent := st.fillCallsAt(lane, st.laneCandidates(lane, side))
	if side == chutefleet.SideOld {
		st.fillTrialCalls(lane, sent)
	}
	if st.tickAt.IsZero() && st.collector.WaitingParts(lane) > 0 {
		st.tickAt = st.now.Add(queueCheckInterval)
		st.emit(TickAt{At: st.tickAt})
	}
}

// fillCallsAt sends calls to the free ones of some upstreams as long as parts wait, and returns the
// number of calls.
func (st *reduction) fillCallsAt(lane chutebatch.Lane, candidates []chutebatch.Candidate) int {
	var calls []chutebatch.Call
	st.collector, calls = st.collector.FillSlots(lane, candidates, st.now)
	for _, call := range calls {
		u, ok := st.fleet.Get(call.Upstream)
		if !ok {
			continue
		}
		st.fleet = st.fleet.WithCallSent(u.ID, 0, st.now)
		st.countRolloutCall(u, "", false)
		st.emit(RunCall{Call: call, Upstream: u, Timeout: st.callTimeout(call)})
	}

	return len(calls)
}

// laneCandidates lists the lane's upstreams on a side of the pool that may get calls.
//
// A shard without healthy upstreams is served by those of other zones.
func (st *reduction) laneCandidates(lane chutebatch.Lane, side chutefleet.Side) []chutebatch.Candidate {
	use := chutefleet.Use{Side: side, Regions: lane.Regions, Collecting: true}
	if lane.Shard != "" && !st.zoneSilence.cutOff(lane.Shard, st.now) {
		if inShard := st.candidatesOf(st.fleet.AvailableInPool(lane.Pool, lane.Shard, use, st.now)); len(inShard) > 0 {
			return inShard
		}
	}
	all := st.candidatesOf(st.fleet.AvailableInPool(lane.Pool, "", use, st.now))
	var reachable []chutebatch.Candidate
	for _, candidate := range all {
		if !st.zoneSilence.cutOff(candidate.Zone, st.now) {
			reachable = append(reachable, candidate)
		}
	}
	if len(reachable) > 0 {
		return reachable
	}

	return all
}

// candidatesOf returns upstreams as candidates for calls with parts.
func (st *reduction) candidatesOf(upstreams []chutefleet.Upstream) []chutebatch.Candidate {
	candidates := make([]chutebatch.Candidate, 0, len(upstreams))
	for i := range upstreams {
		u := &upstreams[i]
		pace, _ := st.upstreamPaces.Get(u.ID)
		candidates = append(candidates, chutebatch.Candidate{Upstream: u.ID, Zone: u.Zone, Slowness: pace.slowness})
	}

	return candidates
}

// expectedCallTime returns the time of a call by the operator's configuration, or 0 if the pool
// has no batching.
func (st *reduction) expectedCallTime(call chutebatch.Call) time.Duration {
	b := st.config.Pools[call.Pool].Batching
	if b == nil {
		return 0
	}

	return b.CallTime + time.Duration(len(call.Parts))*b.PartTime
}

// callTimeout returns the time limit of a call. An upstream that is known to be slow gets the time
// it needs: cutting its calls off would only have their parts made twice.
func (st *reduction) callTimeout(call chutebatch.Call) time.Duration {
	pace, _ := st.upstreamPaces.Get(call.Upstream)
	factor := max(callTimeoutFactor, slowCallTimeoutFactor*pace.slowness)

	return time.Duration(factor*float64(st.expectedCallTime(call))) + callTimeoutMargin
}

// callEnded records the results of a call and returns them to the nodes that requested them.
func (st *reduction) callEnded(e CallEnded) {
	call, ok := st.collector.Call(e.ID)
	if !ok {
		return
	}
	u, _ := st.fleet.Get(call.Upstream)
	st.recordCallEnd(call, e)
	st.countPartsCall(u, call, e)
	switch {
	case e.UpstreamEnded:
		st.recordCallCrash(u, call, "a call with parts broke")
	case e.End == chutebatch.CallAnswered, e.End == chutebatch.CallRefused:
		for _, suspect := range callSuspects(call) {
			st.survived = st.survived.with(suspect.Fingerprint, st.now)
		}
	}
	budgetAccount := st.collectorAccount(call.Pool, st.now)
	allowedRetries := st.retriesLeft(budgetAccount)
	var ended chutebatch.JobChanges
	st.collector, ended = st.collector.WithCallEnded(e.ID, e.End, e.PartEnds, u.Zone, allowedRetries, st.now)
	st.countRetries(budgetAccount.budgetKey, ended.Requeued)
	st.settleJobs(ended)
	st.fillCalls(call.Lane)
}

// settleJobs reports jobs that are done or failed to the nodes that requested them, and frees
// their results.
func (st *reduction) settleJobs(ended chutebatch.JobChanges) {
	for _, f := range ended.ToFree {
		st.freeOnUpstream(f)
	}
	for _, id := range ended.Completed {
		st.returnResults(id)
	}
	for _, failed := range ended.Failed {
		st.rejectJob(failed)
	}
}

// checkQueues gives up jobs that can't be done in time, and fills free slots.
func (st *reduction) checkQueues() {
	var expired chutebatch.JobChanges
	st.collector, expired = st.collector.Expire(st.now)
	st.settleJobs(expired)
	st.fillAllLanes()
}

// recordCallEnd updates the state of an upstream from the end of a call with parts.
func (st *reduction) recordCallEnd(call chutebatch.Call, e CallEnded) {
	st.fleet = st.fleet.WithCallDone(call.Upstream)
	switch {
	case e.Failure == chutefleet.FailureSilent || e.UpstreamEnded:
		st.linkFailed(call.Upstream)
	case e.End == chutebatch.CallAnswered:
		// Each call with parts has a new connection.
		st.linkOpened()
	}
	if st.links.cutOff {
		return
	}
	if u, ok := st.fleet.Get(call.Upstream); ok {
		st.recordZoneReply(u, e.Silent, e.End == chutebatch.CallAnswered)
	}
	switch {
	case e.Failure != "":
		st.recordFailure(call.Upstream, e.Failure)
	default:
		st.fleet = st.fleet.WithSuccess(call.Upstream, st.now)
	}
	if e.Leaving {
		st.fleet = st.fleet.WithLeaving(call.Upstream, st.now)
	}
	if u, ok := st.fleet.Get(call.Upstream); ok {
		st.recordLimit(u, e.Limit, st.now.Add(-e.Took))
		st.recordBrittle(u, e.Brittle, st.now.Add(-e.Took))
	}
	pace, _ := st.upstreamPaces.Get(call.Upstream)
	st.upstreamPaces = st.upstreamPaces.Set(call.Upstream, pace.with(e, st.expectedCallTime(call)))
}

// upstreamPace tracks how fast an upstream runs calls with parts.
type upstreamPace struct {
	// slowness is the measured time of calls divided by the expected one; 0 if unknown.
	slowness float64
	// overdue counts the calls in a row that did not end in time.
	overdue int
}

// with adds the end of one call.
//
// At the timeout a lost answer looks like a slow call, so only two in a row count as slowness.
func (p upstreamPace) with(e CallEnded, expected time.Duration) upstreamPace {
	switch {
	case expected <= 0 || e.End == chutebatch.CallRefused:
		return p
	case e.End == chutebatch.CallLost:
		p.overdue++
		if p.overdue >= overdueCallsUntilSlow {
			p.slowness = max(p.slowness, assumedSlowness)
		}

		return p
	}
	ratio := float64(e.Took) / float64(expected)
	if p.slowness > 0 && p.overdue < overdueCallsUntilSlow {
		ratio = p.slowness + newestSlownessWeight*(ratio-p.slowness)
	}

	return upstreamPace{slowness: ratio}
}

// returnResults passes a job's results to the request or peer that the job is for.
func (st *reduction) returnResults(id uint64) {
	o, ok := st.origins.Get(id)
	if !ok {
		return
	}
	results := st.collector.Results(id)
	wait, overShare := st.localWait(st.collector.Job(id))
	if o.jobRequestID != 0 {
		st.jobDone(JobDone{JobRequestID: o.jobRequestID, Results: results, Wait: wait, OverShare: overShare})

		return
	}
	st.emit(ReturnResults{Token: o.token, Results: results, Wait: wait, OverShare: overShare, Loads: st.overloadReports()})
}

// rejectJob reports to the request or peer that a job failed.
func (st *reduction) rejectJob(failed chutebatch.FailedJob) {
	wait, overShare := time.Duration(0), false
	if failed.Job.Pool != "" {
		wait, overShare = st.localWait(failed.Job)
	}
	o, ok := st.origins.Get(failed.Job.ID)
	if !ok {
		return
	}
	st.origins = st.origins.Delete(failed.Job.ID)
	if o.jobRequestID != 0 {
		st.jobFailed(JobFailed{JobRequestID: o.jobRequestID, Reason: string(failed.Reason), Wait: wait, OverShare: overShare})

		return
	}
	st.tokens = st.tokens.Delete(o.token)
	st.emit(RejectJob{
		Token: o.token, Reason: string(failed.Reason), Wait: wait, OverShare: overShare, Loads: st.overloadReports(),
	})
}
