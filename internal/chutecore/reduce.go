package chutecore

import (
	"time"

	"azurechute.example/azurechute/internal/chuterequest"
)

// Reduce applies one event and returns the next state and the effects to carry out.
func Reduce(s State, event Event) (State, []Effect) {
	st := transition{State: s, now: event.When()}
	st.apply(event)

	return st.State, st.effects
}

// transition is the application of one event: the state and the effects so far.
type transition struct {
	State
	now     time.Time
	effects []Effect
}

// apply calls the function that handles the event.
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
	case LedgerRestored:
		st.applyLedgerRestored(e)
	case RelayEvent:
		st.applyRelay(e)
	default:
		st.applyPlatform(event)
	}
}

// emit appends an effect.
func (st *transition) emit(effect Effect) {
	st.effects = append(st.effects, effect)
}

// setRequest stores the new value of a request in the state.
func (st *transition) setRequest(r Request) {
	st.requests = st.requests.Set(r.Handle, r)
}

// queueKey returns the key of a request in the queue. It contains the handle instead
// of the RequestID, since two callers may use one RequestID at the same time.
func queueKey(r Request) chuterequest.Key {
	return chuterequest.Key{Workspace: r.Key.Workspace, RequestID: formatHandle(r.Handle)}
}
