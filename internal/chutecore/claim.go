package chutecore

// claiming returns the request if it waits for its claim.
func (st *step) claiming(handle uint64) (Request, bool) {
	r, ok := st.requests.Get(handle)

	return r, ok && (r.Phase == PhaseClaiming || r.Phase == PhaseFollowing || r.Phase == PhaseRefusing)
}

// claimTaken goes on with the stage; a claim that comes after the request ended is given up by the node.
func (st *step) claimTaken(handle uint64) {
	r, ok := st.claiming(handle)
	if !ok {
		// The request was answered NotRun meanwhile. Running it now would break
		// that word; giving the claim up lets the caller safely send it again.
		st.do(GiveUpClaim{Handle: handle})

		return
	}
	st.startStage(r.WithClaim())
}

// claimAbsent turns the request away as decided on its arrival: its key has not run.
func (st *step) claimAbsent(handle uint64) {
	if r, ok := st.claiming(handle); ok {
		st.finish(r, *r.Refusal, "")
	}
}

// claimHeld waits for the other attempt's result and asks again.
func (st *step) claimHeld(e ClaimHeld) {
	r, ok := st.claiming(e.Handle)
	if !ok {
		return
	}
	if r.Phase == PhaseRefusing {
		st.do(SetDeadline{Handle: r.Handle, At: r.Deadline})
	}
	st.put(r.WithPhase(PhaseFollowing))
	st.do(TakeClaim{
		Handle: r.Handle, Key: r.Key, Deadline: r.Deadline, Timeout: st.config.Policy.ClaimTimeout.Std(), Again: true,
	})
}

// claimSettled gives the caller the result that the key's first run left in the table.
func (st *step) claimSettled(e ClaimSettled) {
	r, ok := st.claiming(e.Handle)
	if !ok {
		return
	}
	st.drop(r)
	st.do(Answer{Handle: r.Handle, Outcome: e.Outcome, Stored: true})
	st.do(Release{Handle: r.Handle})
}

// claimFailed answers at once: without the claim the unrepeatable work can't be handed over.
func (st *step) claimFailed(e ClaimFailed) {
	r, ok := st.claiming(e.Handle)
	if !ok {
		return
	}
	if r.Phase == PhaseRefusing {
		st.finish(r, *r.Refusal, "")

		return
	}
	st.giveUp(r, "the claim could not be taken: "+e.Reason, unreadyRetryAfter)
}
