package chuterelay

import (
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
)

const (
	// maxAsks bounds how often one stage of a request is asked for.
	maxAsks = 4
	// resumePriority and resumeAim put the stages of a broken stream, which are made
	// again, ahead of all others: its caller has part of the answer and sees a pause.
	resumePriority = -1
	resumeAim      = 3 * time.Second
)

// askStage asks the pool's collector for all parts of a stage.
func (st *step) askStage(r request, i int) {
	stage := r.Pipeline.Stages[i]
	id := st.newID()
	rest, then := st.restOf(r, i)
	job := chutebatch.Job{
		Request: r.ID, Pool: stage.Pool, Stage: i, Parts: r.parts(i),
		ResultBytes: stage.ResultBytes, Priority: r.rank(), TargetAt: r.aimAt, Deadline: r.until(),
		TimeAfterStage: rest, FollowingPools: then, Zone: r.zone, QueuedAt: st.now, Workspace: r.Workspace.Name,
		Pipeline: r.Pipeline.Name, Fingerprint: r.Fingerprint,
	}
	if len(stage.After) == 0 {
		job.Key = r.PartKey
	} else {
		job.Inputs = r.refs(stage.After)
		job.InputUpstreams = r.keepers(stage.After)
		job.Zone = r.inputZone(stage.After, r.zone)
		job.Deadline = st.inputsUntil(r, stage.After)
	}
	if r.underWay() {
		job.TargetAt = later(job.TargetAt, st.now.Add(rest+st.soon(stage.Pool)))
	}
	if r.begun {
		job.Priority, job.TargetAt = resumePriority, st.now.Add(resumeAim)
	}
	job.Zone = st.placeable(job.Zone)
	job.Shard = st.shard(job)
	peer := st.peers.collector(job.Lane(), st.zones.allCutOff(st.now), st.now)
	a := ask{
		handle: r.Handle, stage: i, peer: peer, queue: queueKey{
			lane: job.Lane(), priority: r.rank(), workspace: r.Workspace.Name,
		},
	}
	s := r.stages[i]
	s.ask = id
	st.put(r.withStage(i, s))
	st.note(StepAsked, r, func(n *Note) {
		n.Pool, n.Stage, n.Peer, n.Zone, n.Wait = stage.Pool, i, peer.Name, job.Zone, st.wait(st.queueOf(r, i))
	})
	if peer.Name == st.settings.Self.Name {
		job.ID = st.newID()
		a.job = job.ID
		st.asks = st.asks.Set(id, a)
		st.origins = st.origins.Set(job.ID, origin{ask: id})
		st.takeJob(job)

		return
	}
	st.asks = st.asks.Set(id, a)
	st.do(AskParts{Ask: id, Peer: peer, Job: job, Loads: st.tell()})
}

// soonCalls is the number of calls in which a stage of a request that is under way is
// due: the one that runs now, and its own.
const soonCalls = 2

// soon is when the stages of a request under way are due, from now.
//
// A late request yields to those that are not late, but at its first stage alone. In
// the midst its results take room that the others need, run out after some seconds,
// and are lost with their node: there it yields no more, so that it is soon over.
func (st *step) soon(pool string) time.Duration {
	b := st.config.Pools[pool].Batching
	if b == nil {
		return 0
	}

	return soonCalls * b.FullCall()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

// shardAbove is the number of upstreams from which on a pool has a collector a
// zone: with three or more upstreams each, calls are filled as well, nothing
// crosses zones, and no single node carries the whole pool.
const shardAbove = 8

// shard returns the zone whose upstreams the job is for, or empty for the whole pool.
func (st *step) shard(job chutebatch.Job) string {
	if st.fleet.PoolSize(job.Pool, st.now) <= shardAbove || !st.fleet.HasAvailableInZone(job.Pool, job.Zone, st.now) {
		return ""
	}

	return job.Zone
}

// partsMade takes a stage's results and goes on.
func (st *step) partsMade(e PartsMade) {
	a, ok := st.asks.Get(e.Ask)
	if !ok {
		return
	}
	r, ok := st.requests.Get(a.handle)
	if !ok || r.stages[a.stage].ask != e.Ask {
		return
	}
	st.noteHeard(a.peer.Zone)
	st.peers = st.peers.withHeard(a.peer.Name)
	st.hear(e.Loads)
	st.noteWait(r, a.queue, e.Wait, e.Beyond)
	s := r.stages[a.stage]
	s.done = true
	s.results = e.Results
	s.madeAt = st.now
	r = r.withStage(a.stage, s)
	st.note(StepMade, r, func(n *Note) {
		n.Pool, n.Stage, n.Peer, n.Wait = r.Pipeline.Stages[a.stage].Pool, a.stage, a.peer.Name, e.Wait
		n.Parts = len(e.Results)
		n.Zone = r.inputZone([]int{a.stage}, "")
	})
	st.do(Charge{
		Attempt: e.Ask, Workspace: r.Workspace.Name, Pipeline: r.Pipeline.Name,
		Stage: r.Pipeline.Stages[a.stage].Pool, Units: int64(len(e.Results)),
	})
	r = st.releaseUsed(r)
	st.put(r)
	st.advance(r)
}

// partsFailed asks again, at another collector if the peer was lost, or gives the request up.
//
// Parts may be made twice without harm, so the next collector is asked at once;
// what the lost one still makes is dropped there when its lease ends.
func (st *step) partsFailed(e PartsFailed) {
	a, ok := st.asks.Get(e.Ask)
	if !ok {
		return
	}
	st.hear(e.Loads)
	if e.PeerLost {
		st.peers = st.peers.withSilent(a.peer.Name, e.PeerSilent, st.now)
	}
	if e.PeerSilent {
		st.noteSilent(a.peer.Zone, a.peer.Name)
	}
	r, ok := st.requests.Get(a.handle)
	if !ok || r.stages[a.stage].ask != e.Ask {
		return
	}
	if r.stages[a.stage].done {
		a.orphaned = true
		st.asks = st.asks.Set(e.Ask, a)

		return
	}
	st.note(StepNotMade, r, func(n *Note) {
		n.Pool, n.Stage, n.Peer, n.Reason = r.Pipeline.Stages[a.stage].Pool, a.stage, a.peer.Name, e.Reason
	})
	if !e.PeerLost {
		st.noteWait(r, a.queue, e.Wait, e.Beyond)
	}
	st.asks = st.asks.Delete(e.Ask)
	s := r.stages[a.stage]
	s.ask = 0
	s.tries++
	r = r.withStage(a.stage, s)
	gone := e.Reason == string(chutebatch.PartInputGone) || e.Reason == string(chutebatch.PartLate)
	overloaded := e.Reason == string(chutebatch.PartOverloaded)
	if e.Reason == string(chutebatch.PartQuarantined) || e.Reason == string(chutebatch.PartUpstreamsEnded) {
		refusal, held := st.quarantined(r.Fingerprint)
		if !held {
			refusal = Refusal{Kind: RefusedNotRun, Reason: "upstreams ended while they ran its stage", RetryAfter: endedRetry}
		}
		st.giveUp(r, refusal)

		return
	}
	tooLate := st.now.Add(st.callTimes.of(r)).After(r.until()) || gone && r.lateBy(st.now) > 0
	if overloaded || tooLate || s.tries >= maxAsks {
		own := time.Duration(0)
		if e.Beyond {
			own = e.Wait
		}
		st.giveUp(r, stageRefusal(r.Pipeline.Stages[a.stage].Pool, e.Reason, own))

		return
	}
	st.put(st.withInputsAgain(r, a.stage, e.Reason))
	st.advance(r)
}

// stageRefusal is what a caller hears whose stage failed; queue is that of its workspace
// alone, if that is beyond its share.
func stageRefusal(pool, reason string, queue time.Duration) Refusal {
	text := "its stage in pool " + pool + " failed: " + reason
	if reason == string(chutebatch.PartOverloaded) || reason == string(chutebatch.PartLate) {
		return overloaded(text, queue)
	}

	return notRun(text)
}

// giveUp ends a request without an answer.
func (st *step) giveUp(r request, refusal Refusal) {
	if r.runs > 0 && refusal.Kind == RefusedNotRun {
		refusal.Kind = RefusedFailed
	}
	st.note(StepRefused, r, func(n *Note) {
		n.Fingerprint, n.Reason, n.Wait = r.Fingerprint, string(refusal.Kind)+": "+refusal.Reason, refusal.RetryAfter
	})
	st.do(Refuse{Handle: r.Handle, Refusal: refusal})
	st.finish(r)
}

// lateBy is how far past its aim a request is expected to be.
func (r request) lateBy(now time.Time) time.Duration {
	return now.Add(r.callTime()).Sub(r.aimAt)
}
