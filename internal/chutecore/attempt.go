package chutecore

import (
	"time"

	"azurechute.example/azurechute/internal/chuteledger"
	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// applyAttemptFinished accepts one result for each stage and starts the next stage.
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
	attempt, isRunning := r.runningAttempt(e.Attempt)
	// An attempt that is not running for the current stage lost to another attempt
	// or was cancelled. Accepting its result would pass a stage's output on twice;
	// it can be discarded, since the accepted result is complete.
	st.chargeUsage(e.Attempt, e.Work, e.Usage, !isRunning)
	if isRunning {
		st.acceptResult(r, attempt, e)
	}
	st.dispatchQueued(e.Work.Pool)
}

// acceptResult makes the attempt's result the stage's result, cancels the other
// attempts of the stage, and ends the request or starts its next stage.
func (st *transition) acceptResult(r Request, accepted Attempt, e AttemptFinished) {
	st.settleQueueCharge(r, accepted, accepted.age(st.now))
	st.retries = st.retries.WithSuccess()
	st.hedges = st.hedges.WithSuccess()
	st.recordCachedBlocks(r, e)
	for _, other := range r.Running {
		if other.ID != accepted.ID {
			st.cancelAttempt(r, other)
		}
	}
	last := r.Stage == len(r.Stages)-1
	if last {
		st.endRequest(r, chuterequest.Outcome{Kind: chuterequest.OutcomeAnswered}, accepted.ID)

		return
	}
	st.startStage(r.WithStageResult(accepted.ID, e.NextBlocks))
}

// recordCachedBlocks records in the routing table which prompt blocks the engine now has cached.
func (st *transition) recordCachedBlocks(r Request, e AttemptFinished) {
	if len(r.Blocks) > 0 {
		st.routing = st.routing.WithCachedPrompt(e.Upstream, r.Blocks, e.Usage.CachedUnits)
	}
}

// cancelAttempt releases the attempt's slot in the routing table, settles its queue
// charge, and stops the call.
func (st *transition) cancelAttempt(r Request, a Attempt) {
	st.routing = st.routing.WithReleased(a.Upstream, st.now)
	st.settleQueueCharge(r, a, a.age(st.now))
	// Cancelling an unrepeatable call does not undo it. If it continues, it ends by its
	// own deadline, and a late answer is stored for the caller's next try.
	if r.runsAtMostOnce() && st.poolOf(r.currentStage()).Kind != chuteconfig.PoolEngine {
		return
	}
	st.emit(CancelAttempt{Handle: r.Handle, Attempt: a.ID})
}

// settleQueueCharge replaces the estimated cost, charged to the workspace when the queue released the request, by the
// time that the attempt took; 0 means that it never ran. A waiter that is not settled would count as in flight for
// ever. A hedge has no charge to settle.
func (st *transition) settleQueueCharge(r Request, a Attempt, took time.Duration) {
	if a.Hedge {
		return
	}
	team := st.config.Workspaces[r.Key.Workspace].Team
	st.queue = st.queue.WithDone(r.currentStage().Pool, team, r.Key.Workspace, took)
}

// busyTime returns how long a failed attempt occupied its upstream; 0 if the upstream did not take it.
func busyTime(a Attempt, f chuterequest.Failure, now time.Time) time.Duration {
	if f.NotTaken {
		return 0
	}

	return a.age(now)
}

// applyAttemptFailed waits if another attempt of the stage is still running, and
// otherwise retries the stage or ends the request.
func (st *transition) applyAttemptFailed(e AttemptFailed) {
	if e.Usage != (chuterequest.Usage{}) {
		st.chargeUsage(e.Attempt, e.Work, e.Usage, true)
	}
	r, ok := st.requests.Get(e.Handle)
	if !ok {
		st.dispatchQueued(e.Work.Pool)

		return
	}
	attempt, isRunning := r.runningAttempt(e.Attempt)
	if !isRunning {
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

// recordLeavingFailure marks the upstream as leaving if it said so in its failure response.
func (st *transition) recordLeavingFailure(a Attempt, f chuterequest.Failure) {
	if f.Leaving {
		st.markLeaving(a.Upstream, st.routing.Incarnation(a.Upstream))
	}
}

// retryOrEnd retries the stage if that is safe and checkRetry allows it, and otherwise
// ends the request at once.
func (st *transition) retryOrEnd(r Request, f chuterequest.Failure) {
	if r.runsAtMostOnce() && !f.NotTaken && !canResume(r) {
		// The call may have run. A second dispatch could enrol a student twice, so
		// the outcome is Unknown and the caller asks again with the same RequestID.
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

// allowTriedUpstreams clears the list of tried upstreams when a connection failure leaves no other candidate:
// connections can stall at several upstreams at once while new ones work. MaxAttempts and the retry budget still
// limit it.
func (st *transition) allowTriedUpstreams(r Request, f chuterequest.Failure) Request {
	connection := f.Kind == chuterequest.FailureStalled || f.Kind == chuterequest.FailureBroken
	if connection && st.routing.CountCandidates(st.routingQuery(r)) == 0 {
		r.Tried = nil
		st.setRequest(r)
	}

	return r
}

// canResume reports whether the stage has produced tokens; resuming after them does not run the call twice.
func canResume(r Request) bool {
	return r.Offset > 0
}

// checkRetry checks the attempts, the deadline, the candidates and the retry budget,
// in this order. It returns the reason if the stage may not be retried, and takes
// from the budget if it may.
//
// A budget in proportion to recent successes keeps retries from multiplying the load of a failing stage.
func (st *transition) checkRetry(r Request, f chuterequest.Failure) (string, bool) {
	if r.Tries >= st.config.Policy.MaxAttempts {
		return "all attempts failed", false
	}
	if !st.now.Before(r.Deadline) {
		return "the deadline passed", false
	}
	if st.routing.CountCandidates(st.routingQuery(r)) == 0 {
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

// chargeUsage adds an attempt's usage to the ledger; the ledger counts each attempt once.
func (st *transition) chargeUsage(id chuterequest.AttemptID, w Work, usage chuterequest.Usage, wasted bool) {
	st.ledger = st.ledger.WithCharge(chuteledger.Charge{
		Attempt: id, Team: w.Team, Workspace: w.Workspace, Pipeline: w.Pipeline, Stage: w.Stage,
		Usage: usage, Cost: chuteledger.Cost(st.config.Pools[w.Pool], usage), Wasted: wasted,
	})
}
