package chutegate

import (
	"context"
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteshare"
)

// freeTimeout bounds the word to an upstream that results may go; what it misses
// runs out by itself within seconds.
const freeTimeout = time.Second

// perform carries one effect out; whatever blocks runs beside the loop.
func (n *Node) perform(effect chuterelay.Effect) {
	switch e := effect.(type) {
	case chuterelay.SetDeadline:
		n.setDeadline(e)
	case chuterelay.Send:
		n.startSend(e)
	case chuterelay.CancelSend:
		n.cancelSend(e)
	case chuterelay.Deliver:
		n.deliver(e)
	case chuterelay.Refuse:
		n.end(e.Handle, final{refusal: &e.Refusal})
	case chuterelay.Forget:
		n.forget(e.Handle)
	case chuterelay.LogStep:
		n.meter.Note(e)
		n.logNote(e)
	case chuterelay.LogZone:
		n.log.Warn().Str("At", e.Zone).Bool("CutOff", e.CutOff).Strs("Silent", e.Silent).Msg("zone")
	case chuterelay.LogEvacuation:
		n.log.Warn().Str("At", e.Zone).Bool("Evacuated", e.Evacuated).Msg("evacuation")
	default:
		n.performQuarantine(effect)
	}
}

// performParts carries out the effects that concern stages' parts.
func (n *Node) performParts(effect chuterelay.Effect) {
	switch e := effect.(type) {
	case chuterelay.RequestJob:
		n.askParts(e)
	case chuterelay.CancelJob:
		n.dropAsk(e.JobRequestID)
	case chuterelay.ReturnResults:
		n.update(e.Token, chuteshare.Update{Results: e.Results, Wait: e.Wait, Beyond: e.OverShare, Loads: e.Loads})
	case chuterelay.RejectJob:
		n.update(e.Token, chuteshare.Update{
			Failure: e.Reason, Leaving: e.Leaving, Wait: e.Wait, Beyond: e.OverShare, Loads: e.Loads,
		})
	case chuterelay.RunCall:
		n.spawn(func(ctx context.Context) { n.runCall(ctx, e) })
	case chuterelay.FreeResults:
		n.spawn(func(ctx context.Context) { n.free(ctx, e) })
	case chuterelay.DropConnections:
		n.upstreams.Forget(e.Address)
	case chuterelay.Probe:
		n.spawn(func(ctx context.Context) { n.probe(ctx, e) })
	case chuterelay.TickAt:
		n.after(e.At, chuterelay.Ticked{})
	case chuterelay.LogUpstreamLimit:
		n.logLimit(e)
	}
}

// logLimit writes one line for each change of an upstream's limit.
func (n *Node) logLimit(e chuterelay.LogUpstreamLimit) {
	line := n.log.Info()
	if e.Unreadable != "" {
		line = n.log.Warn().Str("Unreadable", e.Unreadable)
	}
	line.Str("Upstream", e.Upstream.ID).Str("Pool", e.Upstream.Pool).Str("Peer", e.Upstream.Address).
		Bool("Limited", e.Limited).Float64("PerSecond", e.Limit.PerSecond).Int("Quota", e.Limit.Quota).
		Dur("SpanMs", e.Limit.Span).Str("From", e.Teller).Msg("upstream's limit")
}

func (n *Node) setDeadline(e chuterelay.SetDeadline) {
	if entry, ok := n.entries[e.Handle]; ok {
		entry.deadline = n.after(e.At, chuterelay.DeadlinePassed{Handle: e.Handle})
	}
}

func (n *Node) cancelSend(e chuterelay.CancelSend) {
	entry, ok := n.entries[e.Handle]
	if !ok {
		return
	}
	if cancel, ok := entry.attempts[e.Attempt]; ok {
		cancel()
	}
}

// deliver gives the caller the attempt's answer; of a stream only the end is left to give.
func (n *Node) deliver(e chuterelay.Deliver) {
	entry, ok := n.entries[e.Handle]
	if !ok {
		return
	}
	answer, ok := entry.answers[e.Attempt]
	if !ok {
		n.end(e.Handle, final{})

		return
	}
	n.end(e.Handle, final{answer: &answer})
}

// end hands a request's end to whoever waits for it; the first end counts.
func (n *Node) end(handle uint64, f final) {
	entry, ok := n.entries[handle]
	if !ok {
		return
	}
	select {
	case entry.final <- f:
	default:
	}
}

// forget drops what is kept of a request.
func (n *Node) forget(handle uint64) {
	entry, ok := n.entries[handle]
	if !ok {
		return
	}
	n.end(handle, final{dropped: true})
	if entry.deadline != nil {
		entry.deadline.Stop()
	}
	for _, cancel := range entry.attempts {
		cancel()
	}
	delete(n.entries, handle)
}

// askParts runs a job at a peer's collector; the lease ends with dropAsk.
func (n *Node) askParts(e chuterelay.RequestJob) {
	ctx, cancel := context.WithCancel(n.running)
	n.asks[e.JobRequestID] = cancel
	n.spawn(func(context.Context) {
		defer cancel()
		end, ended := n.peers.Make(ctx, e.Peer.Address, chuteshare.Ask{Job: e.Job, Loads: e.Loads}, n.Now(), func(u chuteshare.Update) {
			n.send(chuterelay.JobDone{JobRequestID: e.JobRequestID, Results: u.Results, Wait: u.Wait, OverShare: u.Beyond, Loads: u.Loads})
		})
		if !ended {
			return
		}
		n.send(chuterelay.JobFailed{
			JobRequestID: e.JobRequestID, PeerLost: end.Lost, PeerSilent: end.Silent, Reason: end.Reason, Wait: end.Wait,
			OverShare: end.Beyond, Loads: end.Loads,
		})
	})
}

func (n *Node) dropAsk(id uint64) {
	if cancel, ok := n.asks[id]; ok {
		cancel()
		delete(n.asks, id)
	}
}

// update tells a peer what became of its job; the channel has room for the one update there is.
func (n *Node) update(token uint64, u chuteshare.Update) {
	if updates, ok := n.jobs[token]; ok {
		updates <- u
		delete(n.jobs, token)
	}
}

// runCall hands a batch of parts to an upstream.
func (n *Node) runCall(ctx context.Context, e chuterelay.RunCall) {
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	now := n.Now()
	parts := make([]PartWork, 0, len(e.Call.Parts))
	for i, p := range e.Call.Parts {
		job := e.Call.Jobs[i]
		parts = append(parts, PartWork{
			Request: job.Request, Stage: job.Stage, Index: p.Index,
			Left: job.Deadline.Sub(now), Key: job.Key, Inputs: job.Inputs,
		})
	}
	answer, err := n.upstreams.RunParts(ctx, e.Upstream, parts)
	ended := chuterelay.CallEnded{
		ID: e.Call.ID, End: chutebatch.CallAnswered, PartEnds: answer.Ends,
		Took: n.Now().Sub(now), Leaving: answer.Leaving, Limit: answer.Limit,
	}
	switch {
	case err != nil:
		ended.End, ended.Failure = lostCall(err)
		ended.Silent = asSendError(err).Silent
		ended.UpstreamEnded = ended.End == chutebatch.CallLost && !ended.Silent && n.upstreamEnded(ctx, e.Upstream)
		n.log.Debug().Err(err).Str("Upstream", e.Upstream.ID).Str("Pool", e.Upstream.Pool).
			Int("Parts", len(parts)).Msg("call with parts failed")
	case answer.Refused:
		ended.End, ended.Failure = chutebatch.CallRefused, chutefleet.FailureFull
	}
	n.send(ended)
}

// lostCall says what a failed call with parts means.
func lostCall(err error) (chutebatch.CallOutcome, chutefleet.FailureKind) {
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

// probe asks whether a silent upstream accepts connections again.
func (n *Node) probe(ctx context.Context, e chuterelay.Probe) {
	if !n.pause(ctx, e.At.Sub(n.Now())) {
		return
	}
	n.send(chuterelay.ProbeEnded{Upstream: e.Upstream.ID, Alive: n.upstreams.Alive(ctx, e.Upstream.Address)})
}

// free tells an upstream that results may go.
func (n *Node) free(ctx context.Context, e chuterelay.FreeResults) {
	ctx, cancel := context.WithTimeout(ctx, freeTimeout)
	defer cancel()
	if err := n.upstreams.Free(ctx, e.Upstream, e.Refs); err != nil {
		n.log.Debug().Err(err).Str("Upstream", e.Upstream.ID).Int("Results", len(e.Refs)).
			Msg("results not freed; they run out by themselves")
	}
}

// takeJob takes a peer's job to the own collector.
func (n *Node) takeJob(token uint64, asked chuteshare.Ask, updates chan<- chuteshare.Update) {
	n.sendWith(chuterelay.JobReceived{Token: token, Job: asked.Job, Loads: asked.Loads}, func() { n.jobs[token] = updates })
}

// workspaceOf returns whose request a line is about. Only the first line and the last one
// say it: the others are most of the log, and their request's id leads to these two.
func workspaceOf(e chuterelay.LogStep) string {
	switch e.Step {
	case chuterelay.StepAdmitted, chuterelay.StepRefused, chuterelay.StepAnswered, chuterelay.StepFailureDelivered, chuterelay.StepCancelled:
		return e.Workspace
	default:
		return ""
	}
}

// logNote writes one decision on a request.
func (n *Node) logNote(e chuterelay.LogStep) {
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
		{"Fingerprint", e.Fingerprint}, {"Workspace", workspaceOf(e)}, {"Upstream", e.Upstream}, {"Peer", e.Peer}, {"At", e.Zone}, {"Reason", e.Reason},
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
