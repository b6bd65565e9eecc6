package chutecore

import (
	"strconv"
	"time"

	"azurechute.example/azurechute/internal/chuteadmission"
	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// unreadyRetryAfter is when a caller may try again at a node that can't take work; the balancer will have moved on by then.
const defaultRetryAfter = time.Second

// handleText writes a handle in its short form.
func formatHandle(handle uint64) string {
	return strconv.FormatUint(handle, 36)
}

// handleOf reads what handleText wrote.
func parseHandle(key chuterequest.Key) uint64 {
	handle, err := strconv.ParseUint(key.RequestID, 36, 64)
	if err != nil {
		return 0
	}

	return handle
}

// arrive admits a request or turns it away before anything of it runs.
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

// refuseUnlessRun looks the key up before the request is turned away.
//
// The request may be a resend: a balancer sends an enrolment again after its
// first node died, or a caller asks again with the same RequestID. Telling it
// NotRun for want of room here would be false if the first sending ran. The
// look-up is enough, since whatever ran has its row in the table first.
func (st *transition) refuseUnlessAlreadyRun(r Request, refusal chuterequest.Outcome) {
	r.Refusal = &refusal
	st.setRequest(r.WithPhase(PhaseRefusing))
	st.emit(LookUpClaim{Handle: r.Handle, Key: r.Key, Timeout: claimTimeout(st.config)})
}

// claimTimeout bounds a call for a claim; a node without a configuration takes the default.
func claimTimeout(cfg chuteconfig.Config) time.Duration {
	if timeout := cfg.Policy.ClaimTimeout.Std(); timeout > 0 {
		return timeout
	}

	return chuteconfig.DefaultPolicy().ClaimTimeout.Std()
}

// refusal says why the node can't take the request at all.
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

// newRequest builds the request; it keeps the stages of the configuration at arrival to its end.
func (st *transition) newRequest(e RequestArrived) Request {
	pipeline := st.config.Pipelines[e.Pipeline]

	return Request{
		Handle: e.Handle, Key: e.Key, Team: pipeline.Team, Pipeline: e.Pipeline,
		Stages: pipeline.Stages, Priority: pipeline.Priority,
		ArrivedAt: st.now, Deadline: e.Deadline, Unrepeatable: e.Unrepeatable, Blocks: e.Blocks,
	}
}

// admit asks whether the request can finish in time.
//
// Without this check an overloaded node starts work that it abandons later: the
// early stages are paid for and the caller hears of it only near the deadline.
// The prediction errs on the side of admitting, and Hopeless catches the rest.
func (st *transition) checkAdmission(r Request) (refusal chuterequest.Outcome, refused bool) {
	pool := r.currentStage().Pool
	if st.queue.Len(pool) >= st.config.Limits.MaxQueued {
		return overloadedOutcome("the queue for pool "+pool+" is full", defaultRetryAfter), true
	}
	if !st.config.Policy.Admission {
		return chuterequest.Outcome{}, false
	}
	waiter := st.waiterFor(r)
	waiter.Needs += st.laterStageWaits(r)
	prediction := st.queue.Predict(waiter, st.freeSlots(r), st.now)
	if prediction.CanFinish || prediction.Wait == 0 && st.drawProbe() {
		return chuterequest.Outcome{}, false
	}

	return overloadedOutcome("pool "+pool+" can't finish this within its deadline", prediction.RetryAfter), true
}

// waiter describes a request to the queue of its present stage's pool.
func (st *transition) waiterFor(r Request) chuteadmission.Waiter {
	workspace := st.config.Workspaces[r.Key.Workspace]

	return chuteadmission.Waiter{
		Key: queueKey(r), Stage: r.Stage, Pool: r.currentStage().Pool,
		Team: workspace.Team, Workspace: r.Key.Workspace,
		TeamWeight: max(1, st.config.Teams[workspace.Team].Weight), WorkspaceWeight: max(1, workspace.Weight),
		Deadline: r.Deadline, Needs: st.remainingServiceTime(r), Since: st.now, Started: r.HandedOver > 0,
	}
}

// probeOneIn is how many requests, turned away for their learned times alone, one is let in for.
const probeInterval = 16

// probe lets a few requests in that nothing but the learned service times speaks against.
//
// A slow spell teaches times longer than the deadline. With every request turned
// away for them no call would ever run to correct them, and the pipeline would
// stay shut long after its upstreams have recovered.
func (st *transition) drawProbe() bool {
	random := newGenerator(st.random)
	isProbe := random.intN(probeInterval) == 0
	st.random = random.source

	return isProbe
}

// free counts the free slots that matter for a prediction: with nobody waiting, one is as good as many.
func (st *transition) freeSlots(r Request) int {
	query := st.routingQuery(r)
	if st.queue.Len(r.currentStage().Pool) == 0 && st.routing.HasFree(query) {
		return 1
	}

	return st.routing.Free(query)
}

// laterWaits sums the waits expected in the queues of the later stages.
//
// Without them a request is let in to a free first stage and dies, paid for, in
// the queue of a saturated later one: on opening morning the encoders are idle
// while the rerankers are not.
func (st *transition) laterStageWaits(r Request) time.Duration {
	total := time.Duration(0)
	for i := r.Stage + 1; i < len(r.Stages); i++ {
		later := r
		later.Stage = i
		later.Blocks = nil
		if st.queue.Len(later.currentStage().Pool) > 0 {
			total += st.queue.Wait(st.waiterFor(later), st.freeSlots(later))
		}
	}

	return total
}

// needs sums the learned service times of the present and all later stages.
func (st *transition) remainingServiceTime(r Request) time.Duration {
	total := time.Duration(0)
	for _, stage := range r.Stages[r.Stage:] {
		total += st.routing.ServiceTime(stage.Pool, statsKey(r.Pipeline, stage.Name))
	}

	return total
}

// notRun builds the outcome of a request of which nothing ran.
func notRunOutcome(reason string, retryAfter time.Duration) chuterequest.Outcome {
	return chuterequest.Outcome{
		Kind: chuterequest.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter, SafeToRepeat: true,
	}
}

// overloaded builds the outcome of a request that was turned away for too much work.
func overloadedOutcome(reason string, retryAfter time.Duration) chuterequest.Outcome {
	outcome := notRunOutcome(reason, max(retryAfter, defaultRetryAfter))
	outcome.Overloaded = true

	return outcome
}
