package chutenode

import (
	"context"

	"azurechute.example/azurechute/internal/chutecore"
	"azurechute.example/azurechute/internal/chuteprompt"
	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/internal/chuteupstream"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// dispatch hands one stage to an upstream beside the loop.
func (n *Node) dispatch(d chutecore.Dispatch) {
	e, ok := n.entries[d.Handle]
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(n.running)
	e.cancels[d.Attempt] = cancel
	e.hold()
	text := e.relayOf(d)
	call := n.call(e, d, text)
	claim := e.claim
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		defer cancel()
		n.run(ctx, e, d, call, text, claim != nil && d.Unrepeatable)
	}()
}

// call builds the upstream call out of the effect and the payloads kept.
func (n *Node) call(e *entry, d chutecore.Dispatch, text *relay) chuteupstream.Call {
	call := chuteupstream.Call{
		Attempt: d.Attempt, Key: d.Key, Pipeline: d.Work.Pipeline, Stage: d.Stage.Name,
		Upstream: d.Upstream, Address: d.Address, Kind: d.Kind,
		Model: d.Stage.Model, Version: d.Model.Version, Adapter: d.Model.Adapter,
		MaxTokens: d.Stage.MaxTokens, Priority: d.Priority,
		Deadline: d.Deadline, StallTimeout: d.Stall, Unrepeatable: d.Unrepeatable,
	}
	input := e.submission.Input
	output := e.payload(d.Context)
	if d.Kind != chuteconfig.PoolEngine {
		call.Input, call.Context = input, output

		return call
	}
	call.Prompt = chuteprompt.Prompt(input, output)
	call.ResumeOffset, call.ResumeText = text.start(d.Attempt, d.Resume)

	return call
}

// run makes the call and reports how it ended.
func (n *Node) run(
	ctx context.Context, e *entry, d chutecore.Dispatch, call chuteupstream.Call, text *relay, claimed bool,
) {
	started := n.clock.Now()
	if claimed {
		if failure := n.beginDispatch(e); failure != nil {
			n.reportFailure(e, d, failure, chuteupstream.Result{}, text)

			return
		}
	}
	result, failure := n.upstreams.Run(ctx, call, func(t chuteupstream.Token) { text.add(d.Attempt, t) })
	if failure != nil {
		if claimed && failure.NotTaken {
			n.claims.UndoDispatch(*e.claim)
		}
		n.reportFailure(e, d, failure, result, text)

		return
	}
	finished := chutecore.AttemptFinished{
		Stamp: n.stamp(), Handle: d.Handle, Attempt: d.Attempt, Upstream: d.Upstream, Work: d.Work,
		Took: n.clock.Since(started), Usage: result.Usage, Load: result.Load,
	}
	if d.Next == chuteconfig.PoolEngine {
		finished.NextBlocks = chuteprompt.Blocks(chuteprompt.Prompt(e.submission.Input, result.Output))
	}
	n.sendWith(finished, func() {
		e.results[d.Attempt] = result
		n.attemptOver(e, d)
	})
}

// reportFailure tells the reducer how an attempt failed.
func (n *Node) reportFailure(
	e *entry, d chutecore.Dispatch, failure *chuterequest.Failure, partial chuteupstream.Result, text *relay,
) {
	n.log.Warn().Str("Step", d.Stage.Name).Str("Peer", d.Upstream).
		Str("Workspace", d.Key.Workspace).Str("RequestID", d.Key.RequestID).Str("Attempt", string(d.Attempt)).
		Str("Failure", string(failure.Kind)).Bool("NotTaken", failure.NotTaken).Str("Detail", failure.Detail).
		Msg("attempt failed")
	failed := chutecore.AttemptFailed{
		Stamp: n.stamp(), Handle: d.Handle, Attempt: d.Attempt, Upstream: d.Upstream, Work: d.Work,
		Failure: *failure, Usage: partial.Usage,
	}
	if d.Kind == chuteconfig.PoolEngine {
		failed.Offset = text.length()
	}
	n.sendWith(failed, func() { n.attemptOver(e, d) })
}

// attemptOver drops an attempt's hold on the entry; it runs in the loop.
func (n *Node) attemptOver(e *entry, d chutecore.Dispatch) {
	delete(e.cancels, d.Attempt)
	n.done(d.Handle, e)
}

// cancelAttempt stops an attempt whose result is no longer wanted.
func (n *Node) cancelAttempt(c chutecore.CancelAttempt) {
	if e, ok := n.entries[c.Handle]; ok {
		if cancel, running := e.cancels[c.Attempt]; running {
			cancel()
		}
	}
}

// lateUsage is told what an abandoned attempt used after it was given up.
func (n *Node) lateUsage(attempt chuterequest.AttemptID, usage chuterequest.Usage) {
	countLateUsage(usage)
	n.log.Debug().Str("Attempt", string(attempt)).Int64("Units", usage.Units).Msg("late usage of an abandoned attempt")
}
