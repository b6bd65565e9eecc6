package chutenode

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"azurechute.example/azurechute/internal/chuteclaim"
	"azurechute.example/azurechute/internal/chutecore"
	"azurechute.example/azurechute/internal/chuterequest"
)

const (
	// followPause is the wait between two looks at a claim that another attempt holds.
	followPause = 100 * time.Millisecond
	// claimEndTimeout bounds the writing of a claim's end, which goes on after the caller has its answer.
	claimEndTimeout = 30 * time.Second
)

// takeClaim asks for the durable claim of a request's key.
func (n *Node) takeClaim(t chutecore.TakeClaim) {
	e, ok := n.entries[t.Handle]
	if !ok {
		return
	}
	e.hold()
	n.spawn(func(ctx context.Context) {
		if t.Again {
			n.pause(ctx, followPause)
		}
		ctx, cancel := context.WithTimeout(ctx, min(t.Timeout, max(t.Deadline.Sub(n.clock.Now()), time.Millisecond)))
		defer cancel()
		n.keys.begin(t.Key, n.clock.Now())
		taking := n.claims.Take(ctx, t.Key, n.identity.Incarnation, n.identity.PeerAddress)
		n.reportTaking(t, e, taking)
	})
}

// reportTaking tells the reducer what became of an attempt to claim.
func (n *Node) reportTaking(t chutecore.TakeClaim, e *entry, taking chuteclaim.Taking) {
	over := func() { n.done(t.Handle, e) }
	if taking.Verdict != chuteclaim.VerdictTaken {
		defer n.keys.end(t.Key, time.Time{})
	}
	switch taking.Verdict {
	case chuteclaim.VerdictTaken:
		claim := taking.Claim
		n.sendWith(chutecore.ClaimTaken{Stamp: n.stamp(), Handle: t.Handle}, func() {
			e.claim = &claim
			// The hold stays until the claim is finished or given up.
		})
	case chuteclaim.VerdictHeldByOther:
		n.reportHolder(t.Handle, e, taking.Holder, over)
	case chuteclaim.VerdictNotTaken:
		n.log.Warn().Err(taking.Err).Str("Step", "claim").
			Str("Workspace", t.Key.Workspace).Str("RequestID", t.Key.RequestID).Msg("claim not taken")
		n.reportClaimFailed(t.Handle, t.Key, taking.Unclaimed, taking.Err, over)
	}
}

// reportClaimFailed tells the reducer that the table gave no claim, and whether the key can have run elsewhere:
// by the table's own word if it was read, else by the word of the other nodes.
func (n *Node) reportClaimFailed(handle uint64, key chuterequest.Key, unclaimed bool, err error, over func()) {
	excluded := unclaimed || n.excluded(n.running, key)
	n.sendWith(chutecore.ClaimFailed{
		Stamp: n.stamp(), Handle: handle, Reason: reasonOf(err), NoOtherSubmission: excluded,
	}, over)
}

// lookUpClaim asks whether a key has run, without claiming it.
func (n *Node) lookUpClaim(l chutecore.LookUpClaim) {
	e, ok := n.entries[l.Handle]
	if !ok {
		return
	}
	e.hold()
	n.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, l.Timeout)
		defer cancel()
		n.keys.begin(l.Key, n.clock.Now())
		defer n.keys.end(l.Key, time.Time{})
		record, known, err := n.claims.Status(ctx, l.Key)
		over := func() { n.done(l.Handle, e) }
		switch {
		case err != nil:
			n.reportClaimFailed(l.Handle, l.Key, false, err, over)
		case !known || record.State == chuteclaim.StateGivenUp:
			n.sendWith(chutecore.ClaimAbsent{Stamp: n.stamp(), Handle: l.Handle}, over)
		default:
			n.reportHolder(l.Handle, e, record, over)
		}
	})
}

// reportHolder tells the reducer what another attempt's row says of the key.
func (n *Node) reportHolder(handle uint64, e *entry, holder chuteclaim.Record, over func()) {
	if holder.State != chuteclaim.StateDone {
		n.sendWith(chutecore.ClaimHeld{Stamp: n.stamp(), Handle: handle, Owner: holder.Owner}, over)

		return
	}
	stored := storedAnswer(holder)
	n.sendWith(chutecore.ClaimSettled{Stamp: n.stamp(), Handle: handle, Outcome: stored.Outcome}, func() {
		e.stored = stored
		over()
	})
}

// reasonOf says in a caller's words why a claim was not taken.
func reasonOf(err error) string {
	if errors.Is(err, chuteclaim.ErrNotTaken) {
		return "the platform's table did not answer in time"
	}

	return "the claim failed"
}

// storedAnswer is the answer that a claim's row holds.
func storedAnswer(r chuteclaim.Record) chuterequest.Answer {
	var answer chuterequest.Answer
	if r.Complete() && json.Unmarshal(r.Result, &answer) == nil && answer.Outcome.Kind != "" {
		return answer
	}
	outcome := r.Outcome
	if outcome.Kind == chuterequest.OutcomeAnswered {
		// It ran, but its result was too long for the row: the caller must not
		// take an empty answer for the whole one.
		outcome = chuterequest.Outcome{
			Kind:   chuterequest.OutcomeUnknown,
			Reason: "this RequestID has run and was answered; its result is too long to be kept",
		}
	}

	return chuterequest.Answer{Outcome: outcome, Digest: r.ResultDigest}
}

// beginDispatch checks right before a hand-over that the claim may still be used.
func (n *Node) beginDispatch(e *entry) *chuterequest.Failure {
	err := n.claims.BeginDispatch(*e.claim)
	if err == nil {
		return nil
	}

	return &chuterequest.Failure{Kind: chuterequest.FailureExpired, NotTaken: true, Detail: err.Error()}
}

// finishClaim writes the outcome under the key, so that a resend gets it.
func (n *Node) finishClaim(f chutecore.FinishClaim) {
	e, ok := n.entries[f.Handle]
	if !ok || e.claim == nil {
		return
	}
	answer := chuterequest.Answer{Outcome: f.Outcome}
	if f.Result != "" {
		answer = answerOf(f.Outcome, e.results[f.Result])
	}
	n.keys.end(e.submission.Key, n.clock.Now().Add(n.keySpan()))
	n.endClaim(f.Handle, e, func(ctx context.Context) error {
		if f.Outcome.Kind == chuterequest.OutcomeUnknown {
			if late, ok := n.lateAnswer(ctx, e.last); ok {
				answer = late
			}
		}
		body, err := json.Marshal(answer)
		if err != nil {
			return err
		}

		return n.claims.Finish(ctx, *e.claim, answer.Outcome, body)
	})
}

// giveUpClaim frees the key after a request of which nothing unrepeatable was handed over.
func (n *Node) giveUpClaim(handle uint64) {
	e, ok := n.entries[handle]
	if !ok || e.claim == nil {
		return
	}
	n.keys.end(e.submission.Key, time.Time{})
	n.endClaim(handle, e, func(ctx context.Context) error { return n.claims.GiveUp(ctx, *e.claim) })
}

// endClaim writes a claim's end beside the loop and drops the claim's hold on the entry.
func (n *Node) endClaim(handle uint64, e *entry, end func(ctx context.Context) error) {
	n.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, claimEndTimeout)
		defer cancel()
		if err := end(ctx); err != nil {
			n.log.Error().Err(err).Str("Step", "claim end").
				Str("Workspace", e.submission.Key.Workspace).Str("RequestID", e.submission.Key.RequestID).
				Msg("the claim's end could not be written; others will answer Unknown for this request")
		}
		n.sendWith(chutecore.Ticked{Stamp: n.stamp()}, func() { n.done(handle, e) })
	})
}

// Status tells what is known of an unrepeatable request.
func (n *Node) Status(ctx context.Context, key chuterequest.Key) (chuterequest.Answer, bool, error) {
	record, known, err := n.claims.Status(ctx, key)
	if err != nil || !known {
		return chuterequest.Answer{}, false, err
	}
	switch record.State {
	case chuteclaim.StateDone:
		return storedAnswer(record), true, nil
	case chuteclaim.StateGivenUp:
		return chuterequest.Answer{Outcome: chuterequest.Outcome{
			Kind: chuterequest.OutcomeNotRun, Reason: "this RequestID was not run and may be sent again", SafeToRepeat: true,
		}}, true, nil
	case chuteclaim.StateClaimed:
	}

	return chuterequest.Answer{Outcome: chuterequest.Outcome{
		Kind: chuterequest.OutcomeUnknown, Reason: "it is running, or its node ended before it told", RetryAfter: time.Second,
	}}, true, nil
}

// askOwner asks the node that owns a claim what it knows of it.
func (n *Node) askOwner(ctx context.Context, record chuteclaim.Record) (chuteclaim.Word, error) {
	word, known, err := n.peers.ClaimStatus(ctx, record.OwnerAddress, "", record.Token)
	if err != nil || !known {
		return chuteclaim.WordUnknown, err
	}

	return chuteclaim.Word(word), nil
}

// pause waits on the node's clock.
func (n *Node) pause(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-n.clock.After(span):
	}
}
