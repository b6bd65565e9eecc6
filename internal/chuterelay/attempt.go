package chuterelay

import (
	"time"

	"azurechute.example/azurechute/internal/chutefleet"
)

// send hands the request to an upstream, now that all stages are done.
func (st *step) send(r request) {
	if refusal, held := st.quarantined(r.Fingerprint); held {
		st.giveUp(r, refusal)

		return
	}
	u, ok := st.choose(r)
	if !ok && len(r.tried) > 0 {
		// All others failed it too, or are gone: one that was tried may have recovered.
		again := r
		again.tried = nil
		u, ok = st.choose(again)
	}
	if !ok {
		st.giveUp(r, st.noneUsable(r.pool))

		return
	}
	if r.reached {
		if !st.mayRepeat(r.pool) {
			st.refuseRepeat(r)

			return
		}
		st.spendRepeats(budgetKey{pool: r.pool}, 1)
	}
	r.sends++
	r.runs++
	r.current = attempt{id: st.newID(), upstream: u, tokens: r.PromptTokens, sentAt: st.now}
	st.fleet = st.fleet.WithCallSent(u.ID, r.PromptTokens, st.now)
	st.put(r)
	st.note(StepSent, r, func(n *Note) {
		n.Upstream, n.Peer, n.Zone = u.ID, u.Address, u.Zone
		if r.reached {
			n.RepeatOf, n.Budget = r.lastEnd, st.budgetNow(r.pool)
		}
	})
	st.do(Send{
		Handle: r.Handle, Attempt: r.current.id, Upstream: u, Workspace: r.Workspace.Name,
		Deadline: r.Deadline, Inputs: r.refs(r.Pipeline.Leaves()), Resume: r.begun,
		Fresh: r.atMostOnce(), Replaceable: !r.atMostOnce(), Streams: r.Pipeline.Streams, Priority: r.priority(),
	})
}

// attemptBegan notes that the caller has part of the answer: the upstream has read all inputs by now.
func (st *step) attemptBegan(e AttemptBegan) {
	r, ok := st.requests.Get(e.Handle)
	if !ok || r.current.id != e.Attempt {
		return
	}
	if !r.begun {
		st.note(StepBegan, r, func(n *Note) { n.Upstream = r.current.upstream.ID })
		st.callTimes = st.callTimes.with(r, st.now.Sub(r.current.sentAt))
	}
	r.begun = true
	st.noteLoad(r.current.upstream.ID, e.Load)
	st.noteLimit(r.current.upstream, e.Limit, r.current.sentAt)
	st.noteHeard(r.current.upstream.Zone)
	st.fleet = st.fleet.WithTokensRead(r.current.upstream.ID, r.current.tokens).WithSuccess(r.current.upstream.ID, st.now)
	r.current.tokens = 0
	for _, i := range r.Pipeline.Leaves() {
		if r.stages[i].ask != 0 {
			r = st.release(r, i)
		}
	}
	st.put(r)
}

// attemptEnded decides what follows from the end of a call.
func (st *step) attemptEnded(e AttemptEnded) {
	r, ok := st.requests.Get(e.Handle)
	if !ok || r.current.id != e.Attempt {
		return
	}
	st.noteAttempt(r, e)
	st.endAttempt(r)
	if e.UpstreamEnded {
		st.crashed(r.current.upstream, e.reason(), r.suspect())
	}
	st.do(Charge{
		Attempt: e.Attempt, Workspace: r.Workspace.Name, Pipeline: r.Pipeline.Name, Stage: r.pool,
		Units: int64(max(1, e.Events)), Wasted: e.End != EndAnswered,
	})
	if e.End == EndAnswered {
		st.clear(r)
		st.note(StepAnswered, r, func(n *Note) { n.Upstream = r.current.upstream.ID })
		st.do(Deliver{Handle: r.Handle, Attempt: e.Attempt})
		st.finish(r)

		return
	}
	st.note(StepCallEnded, r, func(n *Note) {
		n.Fingerprint = r.Fingerprint
		n.Upstream, n.Peer, n.Reason = r.current.upstream.ID, r.current.upstream.Address, e.reason()
	})
	r.tried = append(r.tried[:len(r.tried):len(r.tried)], r.current.upstream.ID)
	if e.HasAnswer {
		r.answer = e.Attempt
	}
	if e.End.notRun() {
		r.runs--
	}
	r.reached = r.reached || e.End != EndUnreachable
	r.current = attempt{}
	r.lastEnd = e.End
	st.put(r)
	st.afterFailure(r, e)
}

// reason is the end with what is known besides.
func (e AttemptEnded) reason() string {
	if e.Detail == "" {
		return string(e.End)
	}

	return string(e.End) + ": " + e.Detail
}

// notRun says whether the end proves that the upstream ran nothing.
func (e AttemptEnd) notRun() bool {
	switch e {
	case EndRefused, EndInputGone, EndMisaddressed, EndUnreachable:
		return true
	default:
		return false
	}
}

// noteAttempt takes in what a call's end says of its upstream.
func (st *step) noteAttempt(r request, e AttemptEnded) {
	id := r.current.upstream.ID
	st.noteZone(r.current.upstream, e.Silent, e.End != EndUnreachable && e.End != EndSilent && e.End != EndBroken)
	switch e.End {
	case EndAnswered, EndInputGone:
		st.fleet = st.fleet.WithSuccess(id, st.now)
	case EndErrored:
		st.fleet = st.fleet.WithFailure(id, chutefleet.FailureErrored, st.now)
	case EndRefused:
		st.fleet = st.fleet.WithFailure(id, chutefleet.FailureFull, st.now)
	case EndMisaddressed:
		// Another process has the address: this incarnation is gone for good.
		st.fleet = st.fleet.WithLeaving(id)
	case EndUnreachable, EndSilent:
		st.silent(id)
	case EndBroken:
		st.fleet = st.fleet.WithFailure(id, chutefleet.FailureBroken, st.now)
	}
	if e.Leaving {
		st.fleet = st.fleet.WithLeaving(id)
	}
	if e.Cold > 0 {
		st.fleet = st.fleet.WithCold(id, e.Cold, st.now)
	}
	st.noteLoad(id, e.Load)
	st.noteLimit(r.current.upstream, e.Limit, r.current.sentAt)
}

// noteLoad takes in an upstream's own word on its load, if there is one.
func (st *step) noteLoad(id string, load *Load) {
	if load != nil {
		st.fleet = st.fleet.WithLoad(id, load.Running, load.Waiting, st.now)
		st.loads = st.loads.withHeard(id)
	}
}

// afterFailure sends the request elsewhere where that is allowed, and else gives up at once.
func (st *step) afterFailure(r request, e AttemptEnded) {
	ran := !e.End.notRun()
	switch {
	case ran && r.atMostOnce():
		// It may have run. A second hand-over could publish a post twice.
		st.conclude(r, failed("the call may have run: "+string(e.End)))
	case r.runs >= r.maxRuns():
		st.conclude(r, failed("all attempts failed: "+string(e.End)))
	case r.sends >= r.maxRuns()+extraSends:
		st.conclude(r, notRun("upstreams refused it: "+string(e.End)))
	case !st.now.Add(r.callTime() / 2).Before(r.Deadline):
		st.conclude(r, failed("too little time is left to try again"))
	case r.reached && !st.mayRepeat(r.pool):
		st.refuseRepeat(r)
	default:
		st.again(r, e)
	}
}

// refuseRepeat ends a request that may not be sent once more for want of retry budget.
func (st *step) refuseRepeat(r request) {
	st.note(StepNoRepeat, r, func(n *Note) { n.RepeatOf, n.Budget = r.lastEnd, st.budgetNow(r.pool) })
	refusal := notRun("the retry budget is used up")
	refusal.RetryAfter = time.Duration((1 - retrySpread + 2*retrySpread*st.draw()) * float64(soonRetry))
	st.conclude(r, refusal)
}

// again prepares the next call; results that the last one used up are made anew.
func (st *step) again(r request, e AttemptEnded) {
	for _, i := range r.Pipeline.Leaves() {
		gone := e.End == EndInputGone || r.begun
		if gone && r.parts(i) > 0 {
			r = st.undo(r, i)
		}
	}
	st.put(r)
	st.advance(r)
}

// conclude passes an upstream's own failure on, if there is one, or else refuses.
func (st *step) conclude(r request, refusal Refusal) {
	if r.answer != 0 && !r.begun {
		st.note(StepFailed, r, func(n *Note) { n.Reason = refusal.Reason })
		st.do(Deliver{Handle: r.Handle, Attempt: r.answer})
		st.finish(r)

		return
	}
	st.giveUp(r, refusal)
}
