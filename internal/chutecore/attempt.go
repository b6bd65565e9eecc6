package chutecore

import (
	"time"

	"azurechute.example/azurechute/internal/chuteledger"
	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// attemptFinished takes a stage's result once and goes on to the next stage.
func (st *transition) applyAttemptFinished(e AttemptFinished) {
	st.routing = st.routing.
		WithFinished(e.Upstream, statsKey(e.Work.Pipeline, e.Work.Stage), e.Took, e.Usage.Units, st.now).
		WithReport(e.Upstream, e.Load, st.now)
	st.recordLeavingReport(e.Upstream, e.Load)
	r, ok := st.requests.Get(e.Handle)
	if !ok {
		st.chargeUsage(e.Attempt, e.Work, e.Usage, true)
		st.dispatchQueued(e.Work.Pool)

		return
	}
	attempt, current := r.runningAttempt(e.Attempt)
	// An attempt that is not among the running ones of the present stage lost a
	// race or was given up. Taking its result would hand a stage's output on
	// twice; dropping it is enough, since the one taken is complete.
	st.chargeUsage(e.Attempt, e.Work, e.Usage, !current)
	if current {
		st.acceptResult(r, attempt, e)
	}
	st.dispatchQueued(e.Work.Pool)
}

// takeResult makes the attempt's result the stage's result.
func (st *transition) acceptResult(r Request, taken Attempt, e AttemptFinished) {
	st.settleQueueCharge(r, taken, taken.age(st.now))
	st.retries = st.retries.WithSuccess()
	st.hedges = st.hedges.WithSuccess()
	st.recordCachedBlocks(r, e)
	for _, other := range r.Running {
		if other.ID != taken.ID {
			st.cancelAttempt(r, other)
		}
	}
	last := r.Stage == len(r.Stages)-1
	if last {
		st.endRequest(r, chuterequest.Outcome{Kind: chuterequest.OutcomeAnswered}, taken.ID)

		return
	}
	st.startStage(r.WithStageTaken(taken.ID, e.NextBlocks))
}

// rememberCached tells routing which prompt blocks the engine now holds.
func (st *transition) recordCachedBlocks(r Request, e AttemptFinished) {
	if len(r.Blocks) > 0 {
		st.routing = st.routing.WithCached(e.Upstream, r.Blocks, e.Usage.CachedUnits)
	}
}

// cancel stops an attempt and frees its place in routing and queue.
func (st *transition) cancelAttempt(r Request, a Attempt) {
	st.routing = st.routing.WithReleased(a.Upstream, st.now)
	st.settleQueueCharge(r, a, a.age(st.now))
	// Cutting an unrepeatable call off does not undo it. Left alone it ends by its
	// own deadline, and an answer that is only late is kept for the next question.
	if r.runsAtMostOnce() && st.poolOf(r.currentStage()).Kind != chuteconfig.PoolEngine {
		return
	}
	st.emit(CancelAttempt{Handle: r.Handle, Attempt: a.ID})
}

// settle charges the workspace's share of the pool with the time that an attempt took there; zero where it never ran.
//
// Each waiter that the queue let go is settled once, or the pool would count it
// as in flight for good and predict waits that are too short. A hedge went past
// the queue and has nothing to settle.
func (st *transition) settleQueueCharge(r Request, a Attempt, took time.Duration) {
	if a.Hedge {
		return
	}
	team := st.config.Workspaces[r.Key.Workspace].Team
	st.queue = st.queue.WithDone(r.currentStage().Pool, team, r.Key.Workspace, took)
}

// ranFor is the time that a failed attempt kept its upstream busy.
func busyTime(a Attempt, f chuterequest.Failure, now time.Time) time.Duration {
	if f.NotTaken {
		return 0
	}

	return a.age(now)
}

// attemptFailed decides between waiting for a sibling, another attempt, and giving up.
func (st *transition) applyAttemptFailed(e AttemptFailed) {
	if e.Usage != (chuterequest.Usage{}) {
		st.chargeUsage(e.Attempt, e.Work, e.Usage, true)
	}
	r, ok := st.requests.Get(e.Handle)
	if !ok {
		st.dispatchQueued(e.Work.Pool)

		return
	}
	attempt, current := r.runningAttempt(e.Attempt)
	if !current {
		st.dispatchQueued(e.Work.Pool)

		return
	}
	st.routing = st.routing.WithFailed(e.Upstream, e.Failure, st.now)
	st.settleQueueCharge(r, attempt, busyTime(attempt, e.Failure, st.now))
	st.recordLeavingFailure(attempt, e.Failure)
	r = r.WithoutAttempt(attempt, e.Failure.NotTaken).WithOffset(e.Offset)
	st.setRequest(r)
	if len(r.Running) == 0 {
		st.retryOrEnd(r, e.Failure)
	}
	st.dispatchQueued(e.Work.Pool)
}

// noteRefusal spreads an upstream's own word that it is leaving.
func (st *transition) recordLeavingFailure(a Attempt, f chuterequest.Failure) {
	if f.Leaving {
		st.markLeaving(a.Upstream, st.routing.Incarnation(a.Upstream))
	}
}

// afterFailure retries the stage where that is allowed and worth it, and else gives up at once.
func (st *transition) retryOrEnd(r Request, f chuterequest.Failure) {
	if r.runsAtMostOnce() && !f.NotTaken && !canResume(r) {
		// The call may have run. A second hand-over could enrol a student twice,
		// so the caller hears Unknown and asks again with the same RequestID.
		st.endRequest(r, chuterequest.Outcome{
			Kind: chuterequest.OutcomeUnknown, Reason: "the call may have run: " + string(f.Kind),
			RetryAfter: defaultRetryAfter,
		}, "")

		return
	}
	failedAt := r.Tried[len(r.Tried)-1]
	r = st.allowTriedUpstreams(r, f)
	if reason, ok := st.checkRetry(r, f); !ok {
		st.endWithoutResult(r, reason+" ("+string(f.Kind)+" at "+failedAt+")", max(f.RetryAfter, defaultRetryAfter))

		return
	}
	st.startStage(r)
}

// withWiderChoice lets a stage try an upstream again when all others have failed it too.
//
// Connections to several upstreams can go silent at once, when something between
// the ends has lost track of them, while new connections to the same upstreams
// work: giving up after one stall each would fail requests that the next try
// answers. Only failures of the connection count; attempts and budget still bound it.
func (st *transition) allowTriedUpstreams(r Request, f chuterequest.Failure) Request {
	connection := f.Kind == chuterequest.FailureStalled || f.Kind == chuterequest.FailureBroken
	if connection && st.routing.Candidates(st.routingQuery(r)) == 0 {
		r.Tried = nil
		st.setRequest(r)
	}

	return r
}

// resumable says whether the stage has produced tokens: going on from them is not a second run.
func canResume(r Request) bool {
	return r.Offset > 0
}

// mayRetry asks attempts, deadline, candidates and budget, in this order.
//
// Retries without a budget multiply the load of a failing stage by the number
// of attempts just when it can bear least. A budget in proportion to recent
// successes shrinks to nothing as the stage fails, so the load stays bounded.
func (st *transition) checkRetry(r Request, f chuterequest.Failure) (string, bool) {
	if r.Tries >= st.config.Policy.MaxAttempts {
		return "all attempts failed", false
	}
	if !st.now.Before(r.Deadline) {
		return "the deadline passed", false
	}
	if st.routing.Candidates(st.routingQuery(r)) == 0 {
		return "no other upstream can be used", false
	}
	if f.Kind == chuterequest.FailureUnreachable || f.Leaving || canResume(r) {
		return "", true
	}
	remaining, allowed := st.retries.Take()
	if !allowed {
		return "the retry budget is used up", false
	}
	st.retries = remaining

	return "", true
}

// charge adds an attempt's usage to the ledger, once per attempt.
func (st *transition) chargeUsage(id chuterequest.AttemptID, w Work, usage chuterequest.Usage, wasted bool) {
	st.ledger = st.ledger.WithCharge(chuteledger.Charge{
		Attempt: id, Team: w.Team, Workspace: w.Workspace, Pipeline: w.Pipeline, Stage: w.Stage,
		Usage: usage, Cost: chuteledger.Cost(st.config.Pools[w.Pool], usage), Wasted: wasted,
	})
}
