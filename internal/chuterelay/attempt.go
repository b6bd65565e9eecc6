package chuterelay

import (
	"time"

	"azurechute.example/azurechute/internal/chutecanary"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chutestream"
)

// sendCall sends the request to an upstream, after all its stages are done.
func (st *reduction) sendCall(r request) {
	if refusal, quarantined := st.quarantineRefusalFor(r.suspect(), r.pool); quarantined {
		st.giveUp(r, refusal)

		return
	}
	if st.links.cutOff {
		st.forwardOrRefuse(r, cutOffRefusal())

		return
	}
	choice, ok := st.chooseSide(r)
	if !ok && len(r.triedUpstreams) > 0 {
		// All other upstreams failed the request too, or are gone: one that was tried may have
		// recovered.
		untried := r
		untried.triedUpstreams = nil
		choice, ok = st.chooseSide(untried)
	}
	if !ok {
		st.noneUsable(r)

		return
	}
	u := choice.Upstream
	r, refusal, refused := st.recheckRoom(r, u)
	if refused {
		st.endUnanswered(r, refusal)

		return
	}
	if r.maybeReached && !r.retryCounted {
		if !st.mayRetry(r.pool) {
			st.refuseRetry(r)

			return
		}
		st.countRetries(budgetKey{pool: r.pool}, 1)
	}
	r.retryCounted = false
	r.sends++
	r.possibleRuns++
	r.current = attempt{
		id: st.newID(), upstream: u, tokens: choice.Tokens, outstanding: choice.Outstanding, sentAt: st.now, bound: !r.Binding.IsZero(), watch: st.newWatch(r, choice),
	}
	st.fleet = st.fleet.WithCallSent(u.ID, choice.Tokens, st.now)
	st.countRolloutCall(u, r.Pipeline.Name, r.atMostOnce())
	st.putRequest(r)
	st.logStep(StepSent, r, func(n *LogStep) {
		n.Upstream, n.UpstreamVersion, n.Peer, n.Zone = u.ID, u.Version, u.Address, u.Zone
		n.Placement = placementOf(choice)
		if r.maybeReached {
			n.RepeatOf, n.Budget = r.lastEnd, st.budgetForLog(r.pool)
		}
	})
	st.emit(Send{
		Handle: r.Handle, Attempt: r.current.id, Upstream: u, Workspace: r.Workspace.Name,
		Deadline: r.Deadline, Inputs: r.resultRefs(r.Pipeline.Leaves()), Resume: r.answerBegun,
		FreshConnection: r.atMostOnce() || st.zoneSilence.suspected(u.Zone, st.now), Replaceable: !r.atMostOnce(), Streams: r.Pipeline.Streams, Priority: r.priority(),
	})
	st.emitCheck(r)
}

// placementOf returns what decided on an upstream; nil unless the call was placed by work.
func placementOf(c chutefleet.Choice) *Placement {
	if c.Speed == 0 {
		return nil
	}

	return &Placement{Tokens: c.Tokens, Outstanding: c.Outstanding, Speed: c.Speed, Pace: c.Pace, Rank: c.Rank, FirstEvent: c.FirstEvent}
}

// noneUsable hands a request to another node if this one can't reach any upstream of its pool, which may be
// a fault of its own links, and refuses it otherwise.
func (st *reduction) noneUsable(r request) {
	refusal := st.noUsableUpstreamRefusal(r)
	silent := st.fleet.IsPoolSilent(r.pool, r.use(), st.now)
	brittle := st.fleet.IsShortOfBrittleRoom(r.pool, r.use(), st.now)
	refusal.Elsewhere = r.isForwarded && (silent || brittle || st.links.suspected(st.now))
	if brittle && st.forwardBrittle(r, refusal) {
		return
	}
	if st.links.suspected(st.now) || silent && r.forwards == 0 {
		st.forwardOrRefuse(r, refusal)

		return
	}
	st.giveUp(r, refusal)
}

// attemptBegan records that the caller has part of the answer. The upstream has read all inputs by
// then, so their results are released.
func (st *reduction) attemptBegan(e AttemptBegan) {
	r, ok := st.requests.Get(e.Handle)
	if !ok || r.current.id != e.Attempt {
		return
	}
	if r.current.peer.Name != "" {
		if r.Binding.IsZero() {
			r.Binding = e.Binding
		}
		r.answerBegun, r.current.began = true, true
		st.putRequest(r)

		return
	}
	if r.Binding.IsZero() {
		r.Binding = chutestream.Binding{Pool: r.pool, Version: r.current.upstream.Version, Upstream: r.current.upstream.Name}
	}
	if !r.answerBegun {
		st.logStep(StepAnswerBegun, r, func(n *LogStep) { n.Upstream = r.current.upstream.ID })
		st.callTimes = st.callTimes.with(r, st.now.Sub(r.current.sentAt))
	}
	r.answerBegun = true
	r.current.began, r.current.beganAt = true, st.now
	took := st.now.Sub(r.current.sentAt)
	if !r.current.bound {
		st.countRolloutAnswer(r.current.upstream, r.Pipeline.Name, func(c chutecanary.Counts) chutecanary.Counts { return c.WithAnswer(took) })
	}
	st.recordLoad(r.current.upstream.ID, e.Load)
	st.recordLimit(r.current.upstream, e.Limit, r.current.sentAt)
	st.recordBrittle(r.current.upstream, e.Brittle, r.current.sentAt)
	st.recordReply(r.current.upstream.Zone)
	st.fleet = st.fleet.WithFirstEvent(r.current.upstream.ID, r.current.tokens, r.current.outstanding, took)
	st.fleet = st.fleet.WithTokensRead(r.current.upstream.ID, r.current.tokens).WithSuccess(r.current.upstream.ID, st.now)
	r.current.tokens = 0
	r = st.watchBegan(r)
	for _, i := range r.Pipeline.Leaves() {
		if r.stages[i].jobRequestID != 0 {
			r = st.releaseResults(r, i)
		}
	}
	st.putRequest(r)
}

// attemptEnded decides how a request goes on after its call has ended.
func (st *reduction) attemptEnded(e AttemptEnded) {
	r, ok := st.requests.Get(e.Handle)
	if !ok || r.current.id != e.Attempt {
		return
	}
	if r.current.peer.Name != "" {
		st.forwardEnded(r, e)

		return
	}
	st.recordAttemptEnd(r, e)
	st.learnCost(r, e)
	st.countRolloutEnd(r, e)
	st.watchEnded(r, e)
	st.uncountAttempt(r)
	if e.UpstreamEnded {
		st.recordRequestCrash(r, e.describe())
	} else if e.UpstreamAlive || e.End.isFromUpstream() {
		st.survived = st.survived.with(r.Fingerprint, st.now)
	}
	st.emit(Charge{
		Attempt: e.Attempt, Workspace: r.Workspace.Name, Pipeline: r.Pipeline.Name, Stage: r.pool,
		Units: int64(max(1, e.Events)), Wasted: e.End != EndAnswered,
	})
	if e.End == EndAnswered {
		st.clearSuspicion(r)
		st.logStep(StepAnswered, r, func(n *LogStep) { n.Upstream = r.current.upstream.ID })
		st.emit(Deliver{Handle: r.Handle, Attempt: e.Attempt})
		st.finish(r)

		return
	}
	st.logStep(StepCallFailed, r, func(n *LogStep) {
		n.Fingerprint = r.Fingerprint
		n.Upstream, n.Peer, n.Reason = r.current.upstream.ID, r.current.upstream.Address, e.describe()
	})
	r.triedUpstreams = append(r.triedUpstreams[:len(r.triedUpstreams):len(r.triedUpstreams)], r.current.upstream.ID)
	if e.HasAnswer {
		r.failureAttempt = e.Attempt
	}
	if e.End.provesNotRun() {
		r.possibleRuns--
	}
	r.maybeReached = r.maybeReached || e.End != EndUnreachable && e.End != EndOtherVersion
	if e.End == EndOtherVersion {
		r.answerBegun, r.Binding = true, e.Binding
	}
	r.current = attempt{}
	r.lastEnd = e.End
	st.putRequest(r)
	st.afterFailure(r, e)
}

// describe returns the end and its detail, if there is one, for the log.
func (e AttemptEnded) describe() string {
	if e.Detail == "" {
		return string(e.End)
	}

	return string(e.End) + ": " + e.Detail
}

// provesNotRun reports whether the end proves that the upstream ran nothing.
func (e AttemptEnd) provesNotRun() bool {
	switch e {
	case EndRefused, EndInputGone, EndMisaddressed, EndUnreachable, EndOtherVersion:
		return true
	default:
		return false
	}
}

// isFromUpstream reports whether the end is an answer or a refusal of the upstream itself.
func (e AttemptEnd) isFromUpstream() bool {
	switch e {
	case EndAnswered, EndErrored, EndRefused, EndInputGone:
		return true
	default:
		return false
	}
}

// recordAttemptEnd updates the state of an upstream and its zone from the end of a call.
func (st *reduction) recordAttemptEnd(r request, e AttemptEnded) {
	if e.End == EndOtherVersion || e.End == EndOverdue {
		return
	}
	id := r.current.upstream.ID
	st.recordLink(r, e)
	if st.links.cutOff && e.End.isConnectionFailure() {
		return
	}
	st.recordZoneReply(r.current.upstream, e.Silent, e.End != EndUnreachable && e.End != EndSilent && e.End != EndBroken)
	switch e.End {
	case EndAnswered, EndInputGone:
		st.fleet = st.fleet.WithSuccess(id, st.now).WithEventInterval(id, e.EventInterval)
	case EndErrored:
		st.fleet = st.fleet.WithFailure(id, chutefleet.FailureErrored, st.now)
	case EndRefused:
		st.fleet = st.fleet.WithFailure(id, chutefleet.FailureFull, st.now)
	case EndMisaddressed:
		// Another process has the address: this incarnation is gone for good.
		st.fleet = st.fleet.WithLeaving(id, st.now)
	case EndUnreachable, EndSilent:
		st.suspendSilent(id)
	case EndBroken:
		st.fleet = st.fleet.WithFailure(id, chutefleet.FailureBroken, st.now)
	}
	if e.Cold > 0 {
		st.fleet = st.fleet.WithCold(id, e.Cold, st.now)
	}
	st.recordLoad(id, e.Load)
	st.recordLimit(r.current.upstream, e.Limit, r.current.sentAt)
	st.recordBrittle(r.current.upstream, e.Brittle, r.current.sentAt)
}

// isConnectionFailure reports whether the end may be due to the connection alone.
func (e AttemptEnd) isConnectionFailure() bool {
	return e == EndUnreachable || e == EndSilent || e == EndBroken
}

// recordLink records what the end of a call shows about this node's links to upstreams.
func (st *reduction) recordLink(r request, e AttemptEnded) {
	switch {
	case e.End == EndUnreachable, e.End == EndSilent, e.UpstreamEnded:
		st.linkFailed(r.current.upstream.ID)
	case r.atMostOnce() && !e.End.isConnectionFailure():
		// Its connection was a new one.
		st.linkOpened()
	}
}

// recordLoad stores the load that an upstream reported, if it did.
func (st *reduction) recordLoad(id string, load *Load) {
	if load != nil {
		st.fleet = st.fleet.WithLoad(id, load.Running, load.Waiting, st.now).WithPace(id, load.Pace, st.now)
		st.loadReports = st.loadReports.withPending(id)
	}
}

// afterFailure sends the request to another upstream where that is allowed, and ends it otherwise.
func (st *reduction) afterFailure(r request, e AttemptEnded) {
	ran := !e.End.provesNotRun()
	switch {
	case ran && r.atMostOnce():
		// The call may have run. Sending it again could publish a post twice.
		st.endUnanswered(r, failedRefusal("the call may have run: "+string(e.End)))
	case r.isBindingUnknown():
		st.endUnanswered(r, unknownBindingRefusal())
	case r.possibleRuns >= r.maxPossibleRuns():
		st.endUnanswered(r, failedRefusal("all attempts failed: "+string(e.End)))
	case r.sends >= r.maxPossibleRuns()+maxRefusedSends:
		st.endUnanswered(r, notRunRefusal("upstreams refused it: "+string(e.End)))
	case !st.now.Add(r.callTime() / 2).Before(r.Deadline):
		st.endUnanswered(r, failedRefusal("too little time is left to try again"))
	case !ran && st.links.suspected(st.now) && r.possibleRuns == 0:
		refusal := notRunRefusal("upstreams can't be reached: " + string(e.End))
		refusal.Elsewhere = r.isForwarded
		st.forwardOrRefuse(r, refusal)
	case r.maybeReached && !r.retryCounted && !st.mayRetry(r.pool):
		st.refuseRetry(r)
	default:
		st.retry(r, e)
	}
}

// refuseRetry ends a request that may not be sent again because the retry budget is used up.
func (st *reduction) refuseRetry(r request) {
	st.logStep(StepRetryRefused, r, func(n *LogStep) { n.RepeatOf, n.Budget = r.lastEnd, st.budgetForLog(r.pool) })
	refusal := notRunRefusal("the retry budget is used up")
	refusal.sameForAll = false
	refusal.RetryAfter = time.Duration((1 - retryAfterSpread + 2*retryAfterSpread*st.randomFraction()) * float64(defaultRetryAfter))
	st.endUnanswered(r, refusal)
}

// retry prepares the next call; the stages whose results the last call used up are run again.
func (st *reduction) retry(r request, e AttemptEnded) {
	for _, i := range r.Pipeline.Leaves() {
		resultsGone := e.End == EndInputGone || r.answerBegun
		if resultsGone && r.parts(i) > 0 {
			r = st.resetStage(r, i)
		}
	}
	st.putRequest(r)
	st.advance(r)
}

// endUnanswered delivers an upstream's own failure to the caller if there is one and no part of an
// answer was sent, and refuses the request otherwise.
func (st *reduction) endUnanswered(r request, refusal Refusal) {
	if r.failureAttempt != 0 && !r.answerBegun {
		st.logStep(StepFailureDelivered, r, func(n *LogStep) { n.Reason = refusal.Reason })
		st.emit(Deliver{Handle: r.Handle, Attempt: r.failureAttempt})
		st.finish(r)

		return
	}
	st.giveUp(r, refusal)
}
