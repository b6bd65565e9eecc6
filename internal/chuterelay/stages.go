package chuterelay

import (
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
)

const (
	// maxStageFailures bounds how often one stage of a request is requested.
	maxStageFailures = 4
	// resumePriority and resumeTargetDelay, the time from now to the target time, put the stages
	// of a broken stream, which are run again, ahead of all others: its caller has part of the
	// answer and sees a pause.
	resumePriority    = -1
	resumeTargetDelay = 3 * time.Second
)

// requestStage requests all parts of a stage from the pool's collector.
func (st *reduction) requestStage(r request, i int) {
	stage := r.Pipeline.Stages[i]
	id := st.newID()
	remaining, laterPools := st.longestPath(r, i)
	job := chutebatch.Job{
		Request: r.ID, Pool: stage.Pool, Stage: i, Parts: r.parts(i),
		ResultBytes: stage.ResultBytes, Priority: r.rank(), TargetAt: r.targetAt, Deadline: r.answerBy(),
		TimeAfterStage: remaining, FollowingPools: laterPools, Zone: r.zone, QueuedAt: st.now, Workspace: r.Workspace.Name,
		Pipeline: r.Pipeline.Name, Fingerprint: r.Fingerprint, Regions: r.regions,
	}
	if len(stage.After) == 0 {
		job.Key = r.PartKey
	} else {
		job.Inputs = r.resultRefs(stage.After)
		job.InputUpstreams = r.resultUpstreams(stage.After)
		job.Zone = r.inputZone(stage.After, r.zone)
		job.Deadline = st.inputsExpireAt(r, stage.After)
	}
	if r.anyStageRan() {
		job.TargetAt = laterOf(job.TargetAt, st.now.Add(remaining+st.dueTime(stage.Pool)))
	}
	if r.answerBegun {
		job.Priority, job.TargetAt = resumePriority, st.now.Add(resumeTargetDelay)
	}
	job.Zone = st.placementZone(job.Zone)
	job.Shard = st.shard(job)
	peer, ok := st.peers.collector(job.Lane(), st.zoneSilence.allCutOff(st.now), st.now)
	if !ok {
		st.giveUp(r, notRunRefusal("no VM that can be reached in the allowed regions "+r.regions.String()+" collects parts"))

		return
	}
	jr := jobRequest{
		handle: r.Handle, stage: i, peer: peer, queue: queueKey{
			lane: job.Lane(), priority: r.rank(), workspace: r.Workspace.Name,
		},
	}
	s := r.stages[i]
	s.jobRequestID = id
	st.putRequest(r.withStage(i, s))
	st.logStep(StepStageRequested, r, func(n *LogStep) {
		n.Pool, n.Stage, n.Peer, n.Zone, n.Wait = stage.Pool, i, peer.Name, job.Zone, st.expectedWait(st.stageQueue(r, i))
	})
	if peer.Name == st.settings.Self.Name {
		job.ID = st.newID()
		jr.job = job.ID
		st.jobRequests = st.jobRequests.Set(id, jr)
		st.origins = st.origins.Set(job.ID, jobOrigin{jobRequestID: id})
		st.queueJob(job)

		return
	}
	st.jobRequests = st.jobRequests.Set(id, jr)
	st.emit(RequestJob{JobRequestID: id, Peer: peer, Job: job, Loads: st.takePendingLoads()})
}

// dueCalls is the number of calls within which a stage of a request with finished stages is due:
// the one that runs now, and its own.
const dueCalls = 2

// dueTime returns the time from now in which the next stage of a request with finished stages is
// due.
//
// A late request yields to others at its first stage alone: later its results take space that others need.
func (st *reduction) dueTime(pool string) time.Duration {
	b := st.config.Pools[pool].Batching
	if b == nil {
		return 0
	}

	return dueCalls * b.FullCall()
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

// maxUnshardedUpstreams is the number of upstreams above which a pool has one collector per zone.
// With three or more upstreams per zone calls are filled as well, no traffic crosses zones, and no
// single node collects for the whole pool.
const maxUnshardedUpstreams = 8

// shard returns the zone whose upstreams the job is for, or an empty string for the whole pool.
func (st *reduction) shard(job chutebatch.Job) string {
	use := chutefleet.Use{Regions: job.Regions}
	if !st.fleet.HasMoreThan(job.Pool, maxUnshardedUpstreams, use, st.now) || !st.fleet.HasAvailableInZone(job.Pool, job.Zone, use, st.now) {
		return ""
	}

	return job.Zone
}

// jobDone records a stage's results and continues the request.
func (st *reduction) jobDone(e JobDone) {
	jr, ok := st.jobRequests.Get(e.JobRequestID)
	if !ok {
		return
	}
	r, ok := st.requests.Get(jr.handle)
	if !ok || r.stages[jr.stage].jobRequestID != e.JobRequestID {
		return
	}
	st.recordReply(jr.peer.Zone)
	st.peers = st.peers.withReachable(jr.peer.Name)
	st.applyLoads(e.Loads)
	st.recordWait(r, jr.queue, e.Wait, e.OverShare)
	s := r.stages[jr.stage]
	s.done = true
	s.results = e.Results
	s.doneAt = st.now
	r = r.withStage(jr.stage, s)
	st.logStep(StepStageDone, r, func(n *LogStep) {
		n.Pool, n.Stage, n.Peer, n.Wait = r.Pipeline.Stages[jr.stage].Pool, jr.stage, jr.peer.Name, e.Wait
		n.Parts = len(e.Results)
		n.Zone = r.inputZone([]int{jr.stage}, "")
	})
	st.emit(Charge{
		Attempt: e.JobRequestID, Workspace: r.Workspace.Name, Pipeline: r.Pipeline.Name,
		Stage: r.Pipeline.Stages[jr.stage].Pool, Units: int64(len(e.Results)),
	})
	r = st.releaseConsumed(r)
	st.putRequest(r)
	st.advance(r)
}

// jobFailed requests the stage again, from another collector if the peer was lost, or gives the
// request up.
//
// Parts may be made twice without harm, so the next collector is asked at once.
func (st *reduction) jobFailed(e JobFailed) {
	jr, ok := st.jobRequests.Get(e.JobRequestID)
	if !ok {
		return
	}
	st.applyLoads(e.Loads)
	if e.PeerLost {
		st.peers = st.peers.withLost(jr.peer.Name, e.PeerSilent, st.now)
	}
	if e.PeerSilent {
		st.recordSilence(jr.peer.Zone, jr.peer.Name)
	}
	r, ok := st.requests.Get(jr.handle)
	if !ok || r.stages[jr.stage].jobRequestID != e.JobRequestID {
		return
	}
	if r.stages[jr.stage].done {
		jr.orphaned = true
		st.jobRequests = st.jobRequests.Set(e.JobRequestID, jr)

		return
	}
	st.logStep(StepStageFailed, r, func(n *LogStep) {
		n.Pool, n.Stage, n.Peer, n.Reason = r.Pipeline.Stages[jr.stage].Pool, jr.stage, jr.peer.Name, e.Reason
	})
	if !e.PeerLost {
		st.recordWait(r, jr.queue, e.Wait, e.OverShare)
	}
	st.jobRequests = st.jobRequests.Delete(e.JobRequestID)
	s := r.stages[jr.stage]
	s.jobRequestID = 0
	s.failures++
	r = r.withStage(jr.stage, s)
	inputsGone := e.Reason == string(chutebatch.PartInputGone) || e.Reason == string(chutebatch.PartLate)
	isOverloaded := e.Reason == string(chutebatch.PartOverloaded)
	if e.Reason == string(chutebatch.PartQuarantined) || e.Reason == string(chutebatch.PartUpstreamsEnded) {
		refusal, quarantined := st.quarantineRefusalFor(r.suspect(), r.pool)
		if !quarantined {
			refusal = Refusal{Kind: RefusedNotRun, Reason: "upstreams ended while they ran its stage", RetryAfter: crashRetryAfter}
		}
		st.giveUp(r, refusal)

		return
	}
	tooLate := st.now.Add(st.callTimes.expected(r)).After(r.answerBy()) || inputsGone && r.expectedLateness(st.now) > 0
	if isOverloaded || tooLate || s.failures >= maxStageFailures {
		ownQueueWait := time.Duration(0)
		if e.OverShare {
			ownQueueWait = e.Wait
		}
		st.giveUp(r, stageRefusal(r.Pipeline.Stages[jr.stage].Pool, e.Reason, ownQueueWait))

		return
	}
	st.putRequest(st.resetInputs(r, jr.stage, e.Reason))
	st.advance(r)
}

// stageRefusal refuses a request whose stage failed. ownQueueWait is the wait of its workspace
// alone if that is over its share, and 0 otherwise.
func stageRefusal(pool, reason string, ownQueueWait time.Duration) Refusal {
	text := "its stage in pool " + pool + " failed: " + reason
	if reason == string(chutebatch.PartOverloaded) || reason == string(chutebatch.PartLate) {
		return overloadRefusal(text, ownQueueWait)
	}

	return notRunRefusal(text)
}

// giveUp ends a request without an answer.
func (st *reduction) giveUp(r request, refusal Refusal) {
	if r.mayHaveRun() && refusal.Kind == RefusedNotRun {
		refusal.Kind = RefusedFailed
	}
	refusal.Elsewhere = refusal.Elsewhere && refusal.Kind == RefusedNotRun
	refusal = st.withVariedDelay(r, refusal)
	st.logStep(StepRefused, r, func(n *LogStep) {
		n.Verdict, n.Room = refusal.Verdict, refusal.room
		n.Fingerprint, n.Reason, n.Wait = r.Fingerprint, string(refusal.Kind)+": "+refusal.Reason, refusal.RetryAfter
	})
	st.emit(Refuse{Handle: r.Handle, Refusal: refusal})
	st.finish(r)
}

// expectedLateness returns how long after its target time a request is expected to be answered.
func (r request) expectedLateness(now time.Time) time.Duration {
	return now.Add(r.callTime()).Sub(r.targetAt)
}
