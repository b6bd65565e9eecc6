package chutecore

import (
	"time"

	"azurechute.example/azurechute/internal/chuterequest"
)

// Reduce takes one event into account and returns the next state and what is to be done.
func Reduce(s State, event Event) (State, []Effect) {
	st := step{State: s, now: event.When()}
	st.apply(event)

	return st.State, st.effects
}

// step collects one reduction: the state so far and the effects so far.
type step struct {
	State
	now     time.Time
	effects []Effect
}

// apply sends the event to the function that decides on it.
func (st *step) apply(event Event) {
	switch e := event.(type) {
	case RequestArrived:
		st.arrive(e)
	case CallerLeft:
		st.callerLeft(e.Handle)
	case DeadlinePassed:
		st.deadlinePassed(e.Handle)
	case HedgeDue:
		st.hedgeDue(e)
	case ClaimTaken:
		st.claimTaken(e.Handle)
	case ClaimHeld:
		st.claimHeld(e)
	case ClaimSettled:
		st.claimSettled(e)
	case ClaimAbsent:
		st.claimAbsent(e.Handle)
	case ClaimFailed:
		st.claimFailed(e)
	case AttemptFinished:
		st.attemptFinished(e)
	case AttemptFailed:
		st.attemptFailed(e)
	case LateUsage:
		st.charge(e.Attempt, e.Work, e.Usage, true)
	case LedgerDue:
		st.ledgerDue(e)
	case RelayEvent:
		st.applyRelay(e)
	default:
		st.applyPlatform(event)
	}
}

// do adds an effect.
func (st *step) do(effect Effect) {
	st.effects = append(st.effects, effect)
}

// put keeps the new value of a request.
func (st *step) put(r Request) {
	st.requests = st.requests.Set(r.Handle, r)
}

// queueKey is how the queue names a request: by handle, since two callers may use one RequestID at a time.
func queueKey(r Request) chuterequest.Key {
	return chuterequest.Key{Workspace: r.Key.Workspace, RequestID: handleText(r.Handle)}
}
