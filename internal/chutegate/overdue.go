package chutegate

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chuterelay"
)

// errOverdue cancels a call that the reducer has given up for being overdue.
var errOverdue = errors.New("the call is overdue")

// runningAttempt is what the event loop keeps of a call in progress.
type runningAttempt struct {
	cancel   context.CancelCauseFunc
	progress *progress
	// check reports the next check of the call; nil if none is due.
	check clockwork.Timer
}

// stop cancels the call, and the check of it.
func (r *runningAttempt) stop(cause error) {
	r.cancel(cause)
	if r.check != nil {
		r.check.Stop()
	}
}

// progress is how far a call has come. The goroutine of the call writes it, checks read it.
type progress struct {
	mu sync.Mutex
	// events counts the events that were passed on to the caller. It is 1 for an answer that is passed on whole.
	events int
	// heldUp is how long the caller has kept events waiting; waitsSince is since when it does, zero if it does not.
	heldUp     time.Duration
	waitsSince time.Time
	abandoned  bool
}

// begin notes that an event is about to be passed on; false if the call was abandoned before its first event.
//
// Without it, the caller could get the first event of a call that is given up meanwhile, and a second answer behind it.
func (p *progress) begin(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.abandoned && p.events == 0 {
		return false
	}
	p.events++
	p.waitsSince = now

	return true
}

// passedOn notes that the caller has taken the last event.
func (p *progress) passedOn(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heldUp += max(0, now.Sub(p.waitsSince))
	p.waitsSince = time.Time{}
}

// abandon notes that the call is given up; false if it has passed on its first event although begun is false.
func (p *progress) abandon(begun bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.events > 0 && !begun {
		return false
	}
	p.abandoned = true

	return true
}

// read returns the number of events passed on, and how long the caller has kept events waiting.
func (p *progress) read(now time.Time) (int, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	heldUp := p.heldUp
	if !p.waitsSince.IsZero() {
		heldUp += max(0, now.Sub(p.waitsSince))
	}

	return p.events, heldUp
}

// performOverdueEffect performs the effects that concern overdue calls, and all that no other function performs.
func (n *Node) performOverdueEffect(effect chuterelay.Effect) {
	switch e := effect.(type) {
	case chuterelay.CheckAttempt:
		n.scheduleCheck(e)
	case chuterelay.AbandonSend:
		n.abandonSend(e)
	default:
		n.performQuarantineEffect(effect)
	}
}

// scheduleCheck reports the progress of a call once, at the time given.
func (n *Node) scheduleCheck(e chuterelay.CheckAttempt) {
	running, ok := n.runningAttempt(e.Handle, e.Attempt)
	if !ok {
		return
	}
	if running.check != nil {
		running.check.Stop()
	}
	running.check = n.clock.AfterFunc(e.At.Sub(n.Now()), func() {
		events, heldUp := running.progress.read(n.Now())
		n.sendEvent(chuterelay.AttemptChecked{Handle: e.Handle, Attempt: e.Attempt, DueAt: e.At, Events: events, HeldUp: heldUp})
	})
}

// abandonSend cancels a call that is given up for being overdue, unless its first event has crossed the decision.
func (n *Node) abandonSend(e chuterelay.AbandonSend) {
	if running, ok := n.runningAttempt(e.Handle, e.Attempt); ok && running.progress.abandon(e.Begun) {
		running.stop(errOverdue)
	}
}

func (n *Node) runningAttempt(handle, attempt uint64) (*runningAttempt, bool) {
	req, ok := n.requests[handle]
	if !ok {
		return nil, false
	}
	running, ok := req.attempts[attempt]

	return running, ok
}

// overdueFields writes what a decision on an overdue call was based on as a log object.
type overdueFields chuterelay.OverdueView

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (o overdueFields) MarshalZerologObject(e *zerolog.Event) {
	e.Bool("Stream", o.Stream).Int64("ExpectedMs", o.Expected.Milliseconds()).Int64("ElapsedMs", o.Elapsed.Milliseconds()).
		Int64("AfterMs", o.After.Milliseconds()).Float64("Quantile", o.Quantile)
}

// afterCancel returns what to report of a call that has ended, and false if that is nothing because it was cancelled.
// An answer that was complete by then is reported, also if the call was given up.
func afterCancel(ctx context.Context, ended chuterelay.AttemptEnded) (chuterelay.AttemptEnded, bool) {
	switch {
	case ctx.Err() == nil:
		return ended, true
	case !errors.Is(context.Cause(ctx), errOverdue):
		return ended, false
	case ended.End == chuterelay.EndAnswered:
		return ended, true
	default:
		return chuterelay.AttemptEnded{
			Handle: ended.Handle, Attempt: ended.Attempt, End: chuterelay.EndOverdue, Events: ended.Events, Detail: errOverdue.Error(),
		}, true
	}
}
