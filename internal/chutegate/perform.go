package chutegate

import (
	"context"
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteshare"
)

// freeResultsTimeout bounds the call that tells an upstream to free results. Results that it is not
// told of expire by themselves within seconds.
const freeResultsTimeout = time.Second

// performEffect performs one effect; whatever blocks runs in a goroutine of its own.
func (n *Node) performEffect(effect chuterelay.Effect) {
	switch e := effect.(type) {
	case chuterelay.SetDeadline:
		n.setDeadline(e)
	case chuterelay.Send:
		n.startSend(e)
	case chuterelay.CancelSend:
		n.cancelSend(e)
	case chuterelay.Deliver:
		n.deliverAnswer(e)
	case chuterelay.Refuse:
		n.finishRequest(e.Handle, requestResult{refusal: &e.Refusal})
	case chuterelay.Forget:
		n.forgetRequest(e.Handle)
	case chuterelay.LogStep:
		n.meter.Note(e)
		n.logDecision(e)
	case chuterelay.LogZone:
		n.log.Warn().Str("At", e.Zone).Bool("CutOff", e.CutOff).Strs("Silent", e.Silent).Msg("zone")
	case chuterelay.LogEvacuation:
		n.log.Warn().Str("At", e.Zone).Bool("Evacuated", e.Evacuated).Msg("evacuation")
	default:
		n.performOverdueEffect(effect)
	}
}

// performPartsEffect performs the effects that concern the parts of stages, and those on upstreams'
// connections and limits.
func (n *Node) performPartsEffect(effect chuterelay.Effect) {
	switch e := effect.(type) {
	case chuterelay.RequestJob:
		n.requestParts(e)
	case chuterelay.CancelJob:
		n.cancelPartsRequest(e.JobRequestID)
	case chuterelay.ReturnResults:
		n.sendJobUpdate(e.Token, chuteshare.JobUpdate{Results: e.Results, Wait: e.Wait, OverShare: e.OverShare, Loads: e.Loads})
	case chuterelay.RejectJob:
		n.sendJobUpdate(e.Token, chuteshare.JobUpdate{
			Failure: e.Reason, Leaving: e.Leaving, Wait: e.Wait, OverShare: e.OverShare, Loads: e.Loads,
		})
	case chuterelay.RunCall:
		n.spawn(func(ctx context.Context) { n.runPartsCall(ctx, e) })
	case chuterelay.FreeResults:
		n.spawn(func(ctx context.Context) { n.freeResults(ctx, e) })
	case chuterelay.DropConnections:
		n.upstreams.CloseIdle(e.Address)
	case chuterelay.Probe:
		n.spawn(func(ctx context.Context) { n.probeUpstream(ctx, e) })
	case chuterelay.ProbeLinks:
		n.spawn(func(ctx context.Context) { n.probeLinks(ctx, e) })
	case chuterelay.LogLinks:
		n.logLinks(e)
	case chuterelay.TickAt:
		n.sendEventAt(e.At, chuterelay.Ticked{})
	case chuterelay.LogUpstreamLimit:
		n.logLimit(e)
	case chuterelay.LogBrittle:
		n.log.Warn().Str("Upstream", e.Upstream.ID).Str("Pool", e.Upstream.Pool).Str("Peer", e.Upstream.Address).Bool("Brittle", e.Brittle).
			Int("Rejections", e.Rejections).Msg("upstream's room")
	case chuterelay.LogNotice:
		n.logNotice(e)
	}
}

// logLimit logs one line for each change of an upstream's limit.
func (n *Node) logLimit(e chuterelay.LogUpstreamLimit) {
	line := n.log.Info()
	if e.Unreadable != "" {
		line = n.log.Warn().Str("Unreadable", e.Unreadable)
	}
	line.Str("Upstream", e.Upstream.ID).Str("Pool", e.Upstream.Pool).Str("Peer", e.Upstream.Address).
		Bool("Limited", e.Limited).Float64("PerSecond", e.Limit.PerSecond).Int("Quota", e.Limit.Quota).
		Dur("SpanMs", e.Limit.Span).Str("From", e.AnnouncedBy).Msg("upstream's limit")
}

func (n *Node) setDeadline(e chuterelay.SetDeadline) {
	if req, ok := n.requests[e.Handle]; ok {
		req.deadline = n.sendEventAt(e.At, chuterelay.DeadlinePassed{Handle: e.Handle})
	}
}

func (n *Node) cancelSend(e chuterelay.CancelSend) {
	if running, ok := n.runningAttempt(e.Handle, e.Attempt); ok {
		running.stop(nil)
	}
}

// deliverAnswer gives the caller the attempt's buffered answer. Without one the answer was
// streamed, and only its end is left to write.
func (n *Node) deliverAnswer(e chuterelay.Deliver) {
	req, ok := n.requests[e.Handle]
	if !ok {
		return
	}
	answer, ok := req.bufferedAnswers[e.Attempt]
	if !ok {
		n.finishRequest(e.Handle, requestResult{})

		return
	}
	n.finishRequest(e.Handle, requestResult{answer: &answer})
}

// finishRequest passes a request's result to the goroutine that serves the caller; only the first
// result counts.
func (n *Node) finishRequest(handle uint64, result requestResult) {
	req, ok := n.requests[handle]
	if !ok {
		return
	}
	select {
	case req.result <- result:
	default:
	}
}

// forgetRequest deletes what the node keeps of a request, and cancels its attempts.
func (n *Node) forgetRequest(handle uint64) {
	req, ok := n.requests[handle]
	if !ok {
		return
	}
	n.finishRequest(handle, requestResult{abandoned: true})
	if req.deadline != nil {
		req.deadline.Stop()
	}
	for _, running := range req.attempts {
		running.stop(nil)
	}
	delete(n.requests, handle)
}

// requestParts runs a job at a peer's collector. cancelPartsRequest ends the lease on its results.
func (n *Node) requestParts(e chuterelay.RequestJob) {
	ctx, cancel := context.WithCancel(n.runContext)
	n.partsRequestCancels[e.JobRequestID] = cancel
	n.spawn(func(context.Context) {
		defer cancel()
		end, ended := n.peers.Make(ctx, e.Peer.Address, chuteshare.JobRequest{Job: e.Job, Loads: e.Loads}, n.Now(), func(u chuteshare.JobUpdate) {
			n.sendEvent(chuterelay.JobDone{JobRequestID: e.JobRequestID, Results: u.Results, Wait: u.Wait, OverShare: u.OverShare, Loads: u.Loads})
		})
		if !ended {
			return
		}
		n.sendEvent(chuterelay.JobFailed{
			JobRequestID: e.JobRequestID, PeerLost: end.Lost, PeerSilent: end.Silent, Reason: end.Reason, Wait: end.Wait,
			OverShare: end.OverShare, Loads: end.Loads,
		})
	})
}

func (n *Node) cancelPartsRequest(id uint64) {
	if cancel, ok := n.partsRequestCancels[id]; ok {
		cancel()
		delete(n.partsRequestCancels, id)
	}
}

// sendJobUpdate tells a peer the outcome of its job. It never blocks: a job has one update, and the
// channel has room for it.
func (n *Node) sendJobUpdate(token uint64, u chuteshare.JobUpdate) {
	if updates, ok := n.jobUpdates[token]; ok {
		updates <- u
		delete(n.jobUpdates, token)
	}
}

// runPartsCall sends a batch of parts to an upstream.
func (n *Node) runPartsCall(ctx context.Context, e chuterelay.RunCall) {
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	now := n.Now()
	parts := make([]PartRequest, 0, len(e.Call.Parts))
	for i, p := range e.Call.Parts {
		job := e.Call.Jobs[i]
		parts = append(parts, PartRequest{
			Request: job.Request, Stage: job.Stage, Index: p.Index,
			TimeLeft: job.Deadline.Sub(now), Key: job.Key, Inputs: job.Inputs,
		})
	}
	answer, err := n.upstreams.RunParts(ctx, e.Upstream, parts)
	n.reportNotice(e.Upstream, answer.Notice)
	ended := chuterelay.CallEnded{
		ID: e.Call.ID, End: chutebatch.CallAnswered, PartEnds: answer.Ends,
		Took: n.Now().Sub(now), Leaving: answer.Leaving, Limit: answer.Limit, Brittle: answer.Brittle,
	}
	switch {
	case err != nil:
		ended.End, ended.Failure = classifyPartsFailure(err)
		ended.Silent = asSendError(err).Silent
		ended.UpstreamEnded = ended.End == chutebatch.CallLost && !ended.Silent && n.checkUpstream(ctx, e.Upstream) == AddressRefuses
		n.log.Debug().Err(err).Str("Upstream", e.Upstream.ID).Str("Pool", e.Upstream.Pool).
			Int("Parts", len(parts)).Msg("call with parts failed")
	case answer.Refused:
		ended.End, ended.Failure = chutebatch.CallRefused, chutefleet.FailureFull
	}
	n.sendEvent(ended)
}

// classifyPartsFailure returns how a failed call with parts ended, and the kind of the failure.
func classifyPartsFailure(err error) (chutebatch.CallOutcome, chutefleet.FailureKind) {
	failure := asSendError(err)
	kind := chutefleet.FailureBroken
	if failure.Silent {
		kind = chutefleet.FailureSilent
	}
	if failure.Unsent {
		return chutebatch.CallRefused, chutefleet.FailureSilent
	}

	return chutebatch.CallLost, kind
}

// probeUpstream checks, at the time given, whether a silent upstream accepts connections again.
func (n *Node) probeUpstream(ctx context.Context, e chuterelay.Probe) {
	if !n.sleep(ctx, e.At.Sub(n.Now())) {
		return
	}
	n.sendEvent(chuterelay.ProbeEnded{Upstream: e.Upstream.ID, Alive: n.upstreams.acceptsConnections(ctx, e.Upstream.Address)})
}

// freeResults tells an upstream that results are no longer needed.
func (n *Node) freeResults(ctx context.Context, e chuterelay.FreeResults) {
	ctx, cancel := context.WithTimeout(ctx, freeResultsTimeout)
	defer cancel()
	notice, err := n.upstreams.FreeResults(ctx, e.Upstream, e.Refs)
	n.reportNotice(e.Upstream, notice)
	if err != nil {
		n.log.Debug().Err(err).Str("Upstream", e.Upstream.ID).Int("Results", len(e.Refs)).
			Msg("results could not be freed; they expire by themselves")
	}
}

// acceptJob hands a peer's job to this node's own collector.
func (n *Node) acceptJob(token uint64, asked chuteshare.JobRequest, updates chan<- chuteshare.JobUpdate) {
	n.sendEventWith(chuterelay.JobReceived{Token: token, Job: asked.Job, Loads: asked.Loads}, func() { n.jobUpdates[token] = updates })
}

// workspaceForLog returns the workspace for a log line about a request, empty for most lines. Only
// a request's first and last line name it: the other lines are most of the log, and their request
// ID leads to these two.
func workspaceForLog(e chuterelay.LogStep) string {
	switch e.Step {
	case chuterelay.StepAdmitted, chuterelay.StepRefused, chuterelay.StepAnswered, chuterelay.StepFailureDelivered, chuterelay.StepCancelled:
		return e.Workspace
	default:
		return ""
	}
}

// logDecision logs one decision on a request.
func (n *Node) logDecision(e chuterelay.LogStep) {
	line := n.log.Info().Str("Request", e.Request).Str("Pipeline", e.Pipeline).Str("Pool", e.Pool)
	if e.Stage >= 0 {
		line = line.Int("Stage", e.Stage)
	}
	if e.Parts > 0 {
		line = line.Int("Parts", e.Parts)
	}
	if e.Aim != 0 {
		line = line.Int64("AimMs", e.Aim.Milliseconds())
	}
	for _, field := range []struct{ name, value string }{
		{"Fingerprint", e.Fingerprint}, {"Workspace", workspaceForLog(e)}, {"Upstream", e.Upstream}, {"UpstreamVersion", e.UpstreamVersion}, {"Peer", e.Peer}, {"At", e.Zone}, {"Reason", e.Reason}, {"Verdict", e.Verdict},
	} {
		if field.value != "" {
			line = line.Str(field.name, field.value)
		}
	}
	if e.RepeatOf != "" {
		line = line.Str("RepeatOf", string(e.RepeatOf))
	}
	if e.Budget != nil {
		line = line.Object("Budget", budgetFields(*e.Budget))
	}
	if e.Placement != nil {
		line = line.Object("Placement", placementFields(*e.Placement))
	}
	if e.Room != nil {
		line = line.Object("Room", roomFields(*e.Room))
	}
	if e.Overdue != nil {
		line = line.Object("Overdue", overdueFields(*e.Overdue))
	}
	if len(e.PromptParts) > 0 {
		line = line.Strs("PromptParts", partsForLog(e.PromptParts))
	}
	if len(e.Evacuated) > 0 {
		line = line.Strs("Evacuated", e.Evacuated)
	}
	if e.Attempt > 0 {
		line = line.Int("Attempt", e.Attempt)
	}
	if e.Waited > 0 {
		line = line.Int64("WaitedMs", e.Waited.Milliseconds())
	}
	if e.Wait > 0 {
		line = line.Int64("WaitMs", e.Wait.Milliseconds())
	}
	line.Int64("AgeMs", e.Age.Milliseconds()).Int64("LeftMs", e.Left.Milliseconds()).
		Uint64("Version", e.Version).Msg(string(e.Step))
}
