package chutenode

import (
	"context"
	"encoding/json"

	"azurechute.example/azurechute/internal/chutecore"
	"azurechute.example/azurechute/internal/chuteprompt"
	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/internal/chuteupstream"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// Submit runs a checked submission and blocks until its final outcome; a ctx that ends means that the caller left.
func (n *Node) Submit(ctx context.Context, s chuterequest.Submission, onToken chuterequest.TokenFunc) chuterequest.Answer {
	handle := n.handles.Add(1)
	e := &entry{
		submission: s, relay: newRelay(), inner: map[int]*relay{}, answered: make(chan chuterequest.Answer, 1),
		results: map[chuterequest.AttemptID]chuteupstream.Result{},
		cancels: map[chuterequest.AttemptID]context.CancelFunc{},
	}
	arrived := chutecore.RequestArrived{
		Stamp: n.stamp(), Handle: handle, Key: s.Key, Pipeline: s.Pipeline,
		Deadline: s.Deadline, Unrepeatable: s.Unrepeatable, Blocks: n.firstBlocks(s),
	}
	n.sendWith(arrived, func() { n.entries[handle] = e })

	return n.await(ctx, handle, e, onToken)
}

// firstBlocks hashes the prompt when the first stage is an engine's.
func (n *Node) firstBlocks(s chuterequest.Submission) []uint64 {
	cfg, _, _ := n.Config()
	stages := cfg.Pipelines[s.Pipeline].Stages
	if len(stages) == 0 || cfg.Pools[stages[0].Pool].Kind != chuteconfig.PoolEngine {
		return nil
	}

	return chuteprompt.Blocks(chuteprompt.Prompt(s.Input, nil))
}

// await passes tokens to the caller until the answer is there.
func (n *Node) await(
	ctx context.Context, handle uint64, e *entry, onToken chuterequest.TokenFunc,
) chuterequest.Answer {
	left := ctx.Done()
	told := 0
	for {
		select {
		case answer := <-e.answered:
			if answer.Outcome.Kind == chuterequest.OutcomeAnswered {
				tell(e.relay, told, onToken)
			}

			return answer
		case <-e.relay.more:
			told = tell(e.relay, told, onToken)
		case <-left:
			left = nil
			onToken = nil
			n.send(chutecore.CallerLeft{Stamp: n.stamp(), Handle: handle})
		case <-n.running.Done():
			return chuterequest.Answer{Outcome: chuterequest.Outcome{
				Kind: chuterequest.OutcomeUnknown, Reason: "the process ended",
			}}
		}
	}
}

// tell hands the caller the tokens that it does not have yet.
func tell(r *relay, told int, onToken chuterequest.TokenFunc) int {
	if onToken == nil {
		return told
	}
	for _, text := range r.after(told) {
		onToken(told, text)
		told++
	}

	return told
}

// answer ends a request towards its caller.
func (n *Node) answer(a chutecore.Answer) {
	e, ok := n.entries[a.Handle]
	if !ok {
		return
	}
	answer := chuterequest.Answer{Outcome: a.Outcome}
	switch {
	case a.Stored:
		answer = e.stored
	case a.Result != "":
		answer = answerOf(a.Outcome, e.results[a.Result])
	}
	countOutcome(answer.Outcome.Kind)
	e.answered <- answer
}

// answerOf builds the caller's answer from the last stage's result.
func answerOf(outcome chuterequest.Outcome, result chuteupstream.Result) chuterequest.Answer {
	answer := chuterequest.Answer{Outcome: outcome, Output: result.Output, Length: len(result.Output)}
	if result.Text != "" {
		answer.Length = result.Tokens
		answer.Digest = chuteprompt.Digest(result.Text)

		return answer
	}
	answer.Digest = chuteprompt.Digest(string(result.Output))

	return answer
}

// release drops what is kept of a request as soon as no effect of it is under way.
func (n *Node) release(handle uint64) {
	e, ok := n.entries[handle]
	if !ok {
		return
	}
	e.released = true
	if e.deadline != nil {
		e.deadline.Stop()
	}
	n.dropIfDone(handle, e)
}

// hold keeps the entry while an effect of it is under way.
func (e *entry) hold() {
	e.pending++
}

// done ends one effect's hold.
func (n *Node) done(handle uint64, e *entry) {
	e.pending--
	n.dropIfDone(handle, e)
}

// dropIfDone forgets a released entry that nothing holds.
func (n *Node) dropIfDone(handle uint64, e *entry) {
	if e.released && e.pending == 0 {
		delete(n.entries, handle)
	}
}

// setDeadline wakes the reducer when a request's time is over.
func (n *Node) setDeadline(s chutecore.SetDeadline) {
	e, ok := n.entries[s.Handle]
	if !ok {
		return
	}
	e.deadline = n.after(s.At.Sub(n.clock.Now()), func() chutecore.Event {
		return chutecore.DeadlinePassed{Stamp: n.stamp(), Handle: s.Handle}
	})
}

// setHedge wakes the reducer when an attempt has become slow.
func (n *Node) setHedge(s chutecore.SetHedge) {
	n.after(s.After, func() chutecore.Event {
		return chutecore.HedgeDue{Stamp: n.stamp(), Handle: s.Handle, Attempt: s.Attempt}
	})
}

// payload returns a finished attempt's output as the next stage's context.
func (e *entry) payload(id chuterequest.AttemptID) json.RawMessage {
	if id == "" {
		return nil
	}

	return e.results[id].Output
}
