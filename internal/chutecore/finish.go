package chutecore

import (
	"time"

	"azurechute.example/azurechute/internal/chuterequest"
)

// drop forgets a request and what it holds in the queue.
func (st *step) drop(r Request) {
	st.requests = st.requests.Delete(r.Handle)
	if r.Phase == PhaseQueued {
		st.queue = st.queue.Without(queueKey(r))
	}
}

// finish ends a request with its one outcome.
func (st *step) finish(r Request, outcome chuterequest.Outcome, result chuterequest.AttemptID) {
	st.drop(r)
	st.do(Answer{Handle: r.Handle, Outcome: outcome, Result: result})
	if r.ClaimHeld {
		st.endClaim(r, outcome, result)
	}
	st.do(Release{Handle: r.Handle})
}

// endClaim records the outcome under the key, or frees the key when nothing unrepeatable was handed over.
func (st *step) endClaim(r Request, outcome chuterequest.Outcome, result chuterequest.AttemptID) {
	if r.UnrepeatableHandedOver == 0 {
		st.do(GiveUpClaim{Handle: r.Handle})

		return
	}
	st.do(FinishClaim{Handle: r.Handle, Outcome: outcome, Result: result})
}

// giveUp ends a request that has no result, with the strongest word that is true.
func (st *step) giveUp(r Request, reason string, retryAfter time.Duration) {
	for _, a := range r.Running {
		st.cancel(r, a)
	}
	st.finish(r, withoutResult(r, reason, retryAfter), "")
}

// giveUpOverloaded ends a queued request for which there is too much work ahead.
func (st *step) giveUpOverloaded(r Request, reason string, retryAfter time.Duration) {
	outcome := withoutResult(r, reason, retryAfter)
	outcome.Overloaded = true
	st.finish(r, outcome, "")
}

// withoutResult says what may truly be told of a request that has no result.
func withoutResult(r Request, reason string, retryAfter time.Duration) chuterequest.Outcome {
	switch {
	case r.Phase == PhaseFollowing:
		return chuterequest.Outcome{
			Kind:   chuterequest.OutcomeUnknown,
			Reason: "another attempt of this RequestID may have run: " + reason, RetryAfter: retryAfter,
		}
	case r.UnrepeatableHandedOver > 0:
		return chuterequest.Outcome{
			Kind: chuterequest.OutcomeUnknown, Reason: "an unrepeatable call may have run: " + reason, RetryAfter: retryAfter,
		}
	case r.HandedOver > 0:
		return chuterequest.Outcome{
			Kind: chuterequest.OutcomeFailed, Reason: reason, RetryAfter: retryAfter, SafeToRepeat: true,
		}
	default:
		return notRun(reason, retryAfter)
	}
}

// deadlinePassed ends a request whose time is over.
func (st *step) deadlinePassed(handle uint64) {
	r, ok := st.requests.Get(handle)
	if !ok {
		return
	}
	pool := r.stage().Pool
	st.giveUp(r, "the deadline passed in stage "+r.stage().Name, unreadyRetryAfter)
	st.pump(pool)
}

// callerLeft stops work that nobody waits for, unless it must not be left half known.
func (st *step) callerLeft(handle uint64) {
	r, ok := st.requests.Get(handle)
	if !ok || r.UnrepeatableHandedOver > 0 {
		// An unrepeatable call goes on: cutting it off would leave it unknown
		// whether it ran, and its result answers the caller's next try.
		return
	}
	pool := r.stage().Pool
	st.giveUp(r, "the caller left", 0)
	st.pump(pool)
}
