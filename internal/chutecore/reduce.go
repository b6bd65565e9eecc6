package chutecore

import (
	"time"

	"azurechute.example/azurechute/internal/chuterequest"
)

// Reduce takes one event into account and returns the next state and what is to be done.
func Reduce(s State, event Event) (State, []Effect) {
	st := transition{State: s, now: event.When()}
	st.apply(event)

	return st.State, st.effects
}

// step collects one reduction: the state so far and the effects so far.
type transition struct {
	State
	now     time.Time
	effects []Effect
}

// apply sends the event to the function that decides on it.
func (st *transition) apply(event Event) {
	switch e := event.(type) {
	case RequestArrived:
		st.applyRequestArrived(e)
	case CallerLeft:
		st.applyCallerLeft(e.Handle)
	case DeadlinePassed:
		st.applyDeadlinePassed(e.Handle)
	case HedgeDue:
		st.applyHedgeDue(e)
	case ClaimTaken:
		st.applyClaimTaken(e.Handle)
	case ClaimHeld:
		st.applyClaimHeld(e)
	case ClaimSettled:
		st.applyClaimSettled(e)
	case ClaimAbsent:
		st.applyClaimAbsent(e.Handle)
	case ClaimFailed:
		st.applyClaimFailed(e)
	case AttemptFinished:
		st.applyAttemptFinished(e)
	case AttemptFailed:
		st.applyAttemptFailed(e)
	case LateUsage:
		st.chargeUsage(e.Attempt, e.Work, e.Usage, true)
	case LedgerDue:
		st.applyLedgerDue(e)
	case RelayEvent:
		st.applyRelay(e)
	default:
		st.applyPlatform(event)
	}
}

// do adds an effect.
func (st *transition) emit(effect Effect) {
	st.effects = append(st.effects, effect)
}

// put keeps the new value of a request.
func (st *transition) setRequest(r Request) {
	st.requests = st.requests.Set(r.Handle, r)
}

// queueKey is how the queue names a request: by handle, since two callers may use one RequestID at a time.
func queueKey(r Request) chuterequest.Key {
	return chuterequest.Key{Workspace: r.Key.Workspace, RequestID: formatHandle(r.Handle)}
}
