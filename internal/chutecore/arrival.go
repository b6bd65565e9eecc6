package chutecore

import (
	"strconv"
	"time"

	"azurechute.example/azurechute/internal/chuteadmission"
	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// defaultRetryAfter is the delay before a caller may try again; by then the balancer
// sends no more requests to a node that is not ready.
const defaultRetryAfter = time.Second

// formatHandle returns the handle in base 36.
func formatHandle(handle uint64) string {
	return strconv.FormatUint(handle, 36)
}

// parseHandle parses a handle formatted by formatHandle; it returns 0 for any other text.
func parseHandle(key chuterequest.Key) uint64 {
	handle, err := strconv.ParseUint(key.RequestID, 36, 64)
	if err != nil {
		return 0
	}

	return handle
}

// applyRequestArrived admits a request or refuses it before any stage of it runs.
func (st *transition) applyRequestArrived(e RequestArrived) {
	r := st.newRequest(e)
	refusal, refused := st.checkArrival(e)
	if !refused {
		refusal, refused = st.checkAdmission(r)
	}
	switch {
	case !refused:
		st.emit(SetDeadline{Handle: r.Handle, At: r.Deadline})
		st.startStage(r)
	case r.hasUnrepeatableWork():
		st.refuseUnlessAlreadyRun(r, refusal)
	default:
		st.emit(Answer{Handle: e.Handle, Outcome: refusal})
		st.emit(ReleaseRequest{Handle: e.Handle})
	}
}

// refuseUnlessAlreadyRun looks up the claim of the request's key before it refuses the request: it may be a resend of
// one that ran, of which NotRun would be false. Whatever runs has written its claim row first.
func (st *transition) refuseUnlessAlreadyRun(r Request, refusal chuterequest.Outcome) {
	r.Refusal = &refusal
	st.setRequest(r.WithPhase(PhaseRefusing))
	st.emit(LookUpClaim{Handle: r.Handle, Key: r.Key, Timeout: claimTimeout(st.config)})
}

// claimTimeout returns the timeout of a claim operation; a node without a configuration uses the default policy's.
func claimTimeout(cfg chuteconfig.Config) time.Duration {
	if timeout := cfg.Policy.ClaimTimeout.Std(); timeout > 0 {
		return timeout
	}

	return chuteconfig.DefaultPolicy().ClaimTimeout.Std()
}

// checkArrival refuses a request that this node can't accept regardless of its queues:
// without a configuration, for an unknown pipeline, after the deadline, or above
// MaxInFlight.
func (st *transition) checkArrival(e RequestArrived) (chuterequest.Outcome, bool) {
	pipeline, known := st.config.Pipelines[e.Pipeline]
	switch {
	case st.version == 0:
		return notRunOutcome("this VM has no configuration yet", defaultRetryAfter), true
	case !known || len(pipeline.Stages) == 0:
		return chuterequest.Outcome{
			Kind: chuterequest.OutcomeNotRun, Reason: "no such pipeline", Field: "Pipeline", Value: e.Pipeline,
		}, true
	case !st.now.Before(e.Deadline):
		return chuterequest.Outcome{
			Kind: chuterequest.OutcomeNotRun, Reason: "the deadline has passed", Field: "Deadline",
		}, true
	case st.requests.Len() >= st.config.Limits.MaxInFlight:
		return overloadedOutcome("this VM is at its limit of requests in flight", defaultRetryAfter), true
	}

	return chuterequest.Outcome{}, false
}

// newRequest builds a request from its arrival. The request keeps the stages of the
// configuration that was in force at arrival until it ends.
func (st *transition) newRequest(e RequestArrived) Request {
	pipeline := st.config.Pipelines[e.Pipeline]

	return Request{
		Handle: e.Handle, Key: e.Key, Team: pipeline.Team, Pipeline: e.Pipeline,
		Stages: pipeline.Stages, Priority: pipeline.Priority,
		ArrivedAt: st.now, Deadline: e.Deadline, Unrepeatable: e.Unrepeatable, Blocks: e.Blocks,
	}
}

// checkAdmission refuses a request if the queue of its pool is full or if it is predicted to miss its deadline,
// before its early stages are paid for. The prediction errs towards admitting; Queue.RemoveUnfinishable corrects
// that.
func (st *transition) checkAdmission(r Request) (refusal chuterequest.Outcome, refused bool) {
	pool := r.currentStage().Pool
	if st.queue.Len(pool) >= st.config.Limits.MaxQueued {
		return overloadedOutcome("the queue for pool "+pool+" is full", defaultRetryAfter), true
	}
	if !st.config.Policy.Admission {
		return chuterequest.Outcome{}, false
	}
	waiter := st.waiterFor(r)
	waiter.RemainingTime += st.laterStageWaits(r)
	prediction := st.queue.Predict(waiter, st.freeSlots(r), st.now)
	if prediction.CanFinish || prediction.Wait == 0 && st.drawProbe() {
		return chuterequest.Outcome{}, false
	}

	return overloadedOutcome("pool "+pool+" can't finish this within its deadline", prediction.RetryAfter), true
}

// waiterFor returns the queue entry of a request for the pool of its current stage.
func (st *transition) waiterFor(r Request) chuteadmission.Waiter {
	workspace := st.config.Workspaces[r.Key.Workspace]

	return chuteadmission.Waiter{
		Key: queueKey(r), Stage: r.Stage, Pool: r.currentStage().Pool,
		Team: workspace.Team, Workspace: r.Key.Workspace,
		TeamWeight: max(1, st.config.Teams[workspace.Team].Weight), WorkspaceWeight: max(1, workspace.Weight),
		Deadline: r.Deadline, RemainingTime: st.remainingServiceTime(r), WaitingSince: st.now, Started: r.HandedOver > 0,
	}
}

// probeInterval sets the share of probes: of the requests that would be refused only
// for their learned service times, about one in probeInterval is admitted.
const probeInterval = 16

// drawProbe reports, at random, whether to admit a request that would be refused
// only for its learned service times.
//
// After a slow period the learned times can exceed the deadline. If every request
// were refused for that, no call would run to correct the times, and the pipeline
// would keep refusing long after its upstreams have recovered.
func (st *transition) drawProbe() bool {
	random := newGenerator(st.random)
	isProbe := random.intN(probeInterval) == 0
	st.random = random.source

	return isProbe
}

// freeSlots counts the free slots for a prediction. With an empty queue it returns 1
// for any number above 0, since one free slot is enough for the request.
func (st *transition) freeSlots(r Request) int {
	query := st.routingQuery(r)
	if st.queue.Len(r.currentStage().Pool) == 0 && st.routing.HasFreeSlot(query) {
		return 1
	}

	return st.routing.FreeSlots(query)
}

// laterStageWaits sums the waits expected in the queues of the later stages.
//
// Without them a request is admitted to a free first stage, is charged for it,
// and then misses its deadline in the queue of a saturated later stage: on opening
// morning the encoders are idle while the rerankers are not.
func (st *transition) laterStageWaits(r Request) time.Duration {
	total := time.Duration(0)
	for i := r.Stage + 1; i < len(r.Stages); i++ {
		later := r
		later.Stage = i
		later.Blocks = nil
		if st.queue.Len(later.currentStage().Pool) > 0 {
			total += st.queue.ExpectedWait(st.waiterFor(later), st.freeSlots(later))
		}
	}

	return total
}

// remainingServiceTime sums the learned service times of the current and all later stages.
func (st *transition) remainingServiceTime(r Request) time.Duration {
	total := time.Duration(0)
	for _, stage := range r.Stages[r.Stage:] {
		total += st.routing.ServiceTime(stage.Pool, statsKey(r.Pipeline, stage.Name))
	}

	return total
}

// notRunOutcome returns the outcome of a request of which nothing ran.
func notRunOutcome(reason string, retryAfter time.Duration) chuterequest.Outcome {
	return chuterequest.Outcome{
		Kind: chuterequest.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter, SafeToRepeat: true,
	}
}

// overloadedOutcome returns the outcome of a request that is refused because of overload;
// RetryAfter is at least defaultRetryAfter.
func overloadedOutcome(reason string, retryAfter time.Duration) chuterequest.Outcome {
	outcome := notRunOutcome(reason, max(retryAfter, defaultRetryAfter))
	outcome.Overloaded = true

	return outcome
}
