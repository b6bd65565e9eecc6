package chuterelay

import (
	"time"

	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteoverdue"
)

const (
	// maxCheckLag is how late a check may be. A later one shows that this node stood still or that its clock jumped:
	// events that have arrived meanwhile may not have been handled yet.
	maxCheckLag = 100 * time.Millisecond
	// minCheckInterval is the least time between two checks of a call.
	minCheckInterval = 100 * time.Millisecond
	// recheckShare sets the time until the next check of a call that is overdue and left running, as a share of its age.
	recheckShare = 0.25
	// otherAttemptMargin is the multiple of the likely time until the first event at another upstream that has to be
	// left.
	otherAttemptMargin = 1.5
	// maxExpectedGrowth bounds what work that an upstream got after a call adds to the call's expected time: an engine
	// that interleaves prompts spends half of its time on the later ones at most while there are few.
	maxExpectedGrowth = 2
)

// OverdueDecision is what is done about an overdue call.
type OverdueDecision string

// The decisions. All but OverdueMoved leave the call running.
const (
	// OverdueMoved: it is sent to another upstream.
	OverdueMoved OverdueDecision = "moved"
	// OverdueUnrepeatable: it may not run again, or has been moved before.
	OverdueUnrepeatable OverdueDecision = "left: may not run again"
	// OverdueNoTime: the time left is not enough for another attempt.
	OverdueNoTime OverdueDecision = "left: too little time"
	// OverduePoolSlow: other upstreams of its pool are slow too, or there is too little evidence that they are not.
	OverduePoolSlow OverdueDecision = "left: others are no faster"
	// OverdueNoOther: no other upstream can get it.
	OverdueNoOther OverdueDecision = "left: no other upstream"
	// OverdueNoBudget: the retry budget is used up.
	OverdueNoBudget OverdueDecision = "left: no retry budget"
)

// OverdueView is what a decision on an overdue call was based on.
type OverdueView struct {
	Decision OverdueDecision
	// Stream says that the call has begun and its next event is overdue, not its first.
	Stream bool
	// Expected is the time that was expected until the first event; of a stream, the likely interval between events.
	Expected time.Duration
	// Elapsed is the time since the call was sent; of a stream, the present interval between events.
	Elapsed time.Duration
	// After is the time from which on it is overdue.
	After time.Duration
	// Quantile is the learned quantile of actual to expected times; of a stream, of intervals in milliseconds.
	Quantile float64
}

// attemptChecked decides whether a call is overdue.
func (st *reduction) attemptChecked(e AttemptChecked) {
	r, ok := st.requests.Get(e.Handle)
	if !ok || r.current.id != e.Attempt || r.current.watch.checkAt.IsZero() || !r.current.watch.checkAt.Equal(e.DueAt) {
		return
	}
	r.current.watch.checkAt = time.Time{}
	switch {
	case st.now.Sub(e.DueAt) > maxCheckLag:
		r.current.watch.stream = streamWatch{since: st.now, events: e.Events, heldUp: e.HeldUp}
		st.checkAgain(r, minCheckInterval)
	case r.current.began:
		st.checkStream(r, e)
	case e.Events > 0:
		// The first event has crossed the check, and AttemptBegan follows.
		st.putRequest(r)
	default:
		st.checkFirstEvent(r)
	}
}

// checkFirstEvent decides whether a call is overdue that waits for its first event.
func (st *reduction) checkFirstEvent(r request) {
	elapsed, expected := st.now.Sub(r.current.sentAt), st.expectedNow(r)
	limit, known := st.overdue.FirstEvent(r.overdueKey(), expected, st.now)
	if !known {
		st.putRequest(r)

		return
	}
	recheckAfter := max(minCheckInterval, time.Duration(recheckShare*float64(elapsed)))
	after := limit.After
	if st.overdue.IsSuspect(r.pool, r.current.upstream.ID) {
		after = limit.SuspectAfter
	}
	if elapsed < after {
		st.checkAgain(r, min(recheckAfter, max(minCheckInterval, after-elapsed)))

		return
	}
	othersBegin := st.overdue.OthersBegin(r.pool, r.current.upstream.ID, r.current.sentAt)
	decision := st.decideOverdue(r, othersBegin)
	isNew := !r.current.watch.overdue
	if isNew {
		r.current.watch.overdue = true
		st.overdue = st.overdue.WithOverdue(r.waitFor(elapsed), st.now)
	}
	view := OverdueView{Decision: decision, Expected: expected, Elapsed: elapsed, After: after, Quantile: limit.Quantile}
	st.settleOverdue(r, view, othersBegin, isNew, recheckAfter)
}

// expectedNow returns the expected time until the first event of the current call, with the work that its upstream got
// after it. At one that stands still, later work is no reason to wait.
func (st *reduction) expectedNow(r request) time.Duration {
	atSend := r.current.watch.expected
	if !st.overdue.IsWorking(r.pool, r.current.upstream.ID, r.current.sentAt) {
		return atSend
	}
	now, _ := st.fleet.ExpectedFirstEvent(r.current.upstream.ID, 0, st.now)

	return min(max(atSend, now), maxExpectedGrowth*atSend)
}

// decideOverdue returns what to do about an overdue call.
func (st *reduction) decideOverdue(r request, othersNormal bool) OverdueDecision {
	if !r.mayRunElsewhere() {
		return OverdueUnrepeatable
	}
	until := st.moveBy(r)
	if !st.now.Add(r.callTime() / 2).Before(until) {
		return OverdueNoTime
	}
	if !othersNormal {
		return OverduePoolSlow
	}
	_, quarantined := st.quarantineRefusalFor(r.suspect(), r.pool)
	if quarantined || st.links.cutOff || st.links.suspected(st.now) {
		return OverdueNoOther
	}
	u, ok := st.otherUpstream(r)
	if !ok {
		return OverdueNoOther
	}
	likely, known := st.likelyFirstEvent(r, u)
	if !known || st.now.Add(time.Duration(otherAttemptMargin*float64(likely))).After(until) {
		return OverdueNoTime
	}
	if !st.mayRetry(r.pool) {
		return OverdueNoBudget
	}

	return OverdueMoved
}

// mayRunElsewhere reports whether the request may be sent to another upstream while its current call runs, if there is
// time, budget and an upstream. A stage that has run would have to run again for a stream that has begun.
func (r request) mayRunElsewhere() bool {
	if r.atMostOnce() || r.moved || r.possibleRuns >= r.maxPossibleRuns() || r.sends >= r.maxPossibleRuns()+maxRefusedSends || r.isBindingUnknown() {
		return false
	}

	return !r.answerBegun || r.mayResume() && !r.anyStageRan()
}

// moveBy returns when another attempt has to have its first event. Before the first event, the caller leaves then, or
// the results of the stages expire.
func (st *reduction) moveBy(r request) time.Time {
	if r.answerBegun {
		return r.Deadline
	}

	return st.inputsExpireAt(r, r.Pipeline.Leaves())
}

// otherUpstream returns the best upstream for the request besides those that have had it.
func (st *reduction) otherUpstream(r request) (chutefleet.Upstream, bool) {
	r.triedUpstreams = append(r.triedUpstreams[:len(r.triedUpstreams):len(r.triedUpstreams)], r.current.upstream.ID)

	choice, ok := st.chooseSide(r)

	return choice.Upstream, ok
}

// likelyFirstEvent returns the time that a call of the request at an upstream is likely to take until its first event.
func (st *reduction) likelyFirstEvent(r request, u chutefleet.Upstream) (time.Duration, bool) {
	expected, ok := st.fleet.ExpectedFirstEvent(u.ID, r.PromptTokens, st.now)
	if !ok {
		return 0, false
	}
	limit, known := st.overdue.FirstEvent(r.overdueKey(), expected, st.now)

	return max(expected, limit.Likely), known
}

// settleOverdue carries a decision on an overdue call out. It is logged if it is new or the call is moved.
func (st *reduction) settleOverdue(r request, view OverdueView, othersNormal, isNew bool, recheckAfter time.Duration) {
	if othersNormal {
		st.fleet = st.fleet.WithFailure(r.current.upstream.ID, chutefleet.FailureOverdue, st.now)
	}
	if isNew || view.Decision == OverdueMoved {
		st.logStep(StepOverdue, r, func(n *LogStep) {
			n.Upstream, n.Peer, n.Reason, n.Overdue = r.current.upstream.ID, r.current.upstream.Address, string(view.Decision), &view
		})
	}
	switch {
	case view.Decision == OverdueMoved:
		// The retry is counted here, since others may be decided on before this attempt has ended.
		st.countRetries(budgetKey{pool: r.pool}, 1)
		r.moved, r.retryCounted = true, true
		st.putRequest(r)
		st.emit(AbandonSend{Handle: r.Handle, Attempt: r.current.id, Begun: view.Stream})
	case view.Decision == OverdueUnrepeatable || !st.now.Add(recheckAfter).Before(st.moveBy(r)):
		st.putRequest(r)
	default:
		st.checkAgain(r, recheckAfter)
	}
}

// checkPeriod returns the time between two checks of a stream.
func checkPeriod(limit chuteoverdue.Limit) time.Duration {
	return max(minStreamCheck, eventsPerCheck*limit.After)
}
