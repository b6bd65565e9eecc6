package chuteupstream

import (
	"context"
	"errors"
	"sync"

	"github.com/jonboulle/clockwork"

	"azurechute.example/azurechute/internal/chuterequest"
)

var (
	errStalled = errors.New("no progress within the stall timeout")
	errExpired = errors.New("the deadline passed")
	errClosed  = errors.New("the client was closed")
)

// attempt is one call in flight: Run waits in await while work does the exchange in a goroutine.
//
// The two meet under mu. Either work ends first and await returns its ending,
// or await gives up first and work may only report what came late.
type attempt struct {
	client  *Client
	call    Call
	onToken func(Token)

	// waiting ends when Run must return; its cause says why.
	waiting context.Context
	giveUp  context.CancelCauseFunc
	// exchange is the context of the HTTP exchange; it outlives waiting when the exchange lingers.
	exchange context.Context
	abort    context.CancelFunc

	// stall and deadline are nil where they do not apply.
	stall    clockwork.Timer
	deadline clockwork.Timer
	ended    chan ending
	// cancelOnce guards the cancel sent to an engine.
	cancelOnce sync.Once

	mu sync.Mutex
	// conn carries, or last carried, the request; nil until one was had.
	conn   *trackedConn
	reused bool
	// finished and abandoned exclude each other.
	finished  bool
	abandoned bool
	// reported is the usage that Run returned for an abandoned attempt.
	reported chuterequest.Usage
	// text holds next tokens.
	text []byte
	next int
	// received counts token frames, repeated ones included.
	received int64
}

type ending struct {
	result  Result
	failure *chuterequest.Failure
}

func newAttempt(ctx context.Context, c *Client, call Call, onToken func(Token)) *attempt {
	a := &attempt{
		client:  c,
		call:    call,
		onToken: onToken,
		ended:   make(chan ending, 1),
		text:    []byte(call.ResumeText),
		next:    call.ResumeOffset,
	}
	a.waiting, a.giveUp = context.WithCancelCause(ctx)
	a.exchange, a.abort = context.WithCancel(c.life)
	// doc.go says why unrepeatable plain calls are not watched.
	if call.StallTimeout > 0 && (call.isStream() || !call.Unrepeatable) {
		a.stall = c.clock.AfterFunc(call.StallTimeout, func() { a.giveUp(errStalled) })
	}
	if !call.Deadline.IsZero() {
		left := call.Deadline.Sub(c.clock.Now())
		a.deadline = c.clock.AfterFunc(left, func() { a.giveUp(errExpired) })
	}

	return a
}

// release frees what belongs to the waiting side; the exchange has its own context.
func (a *attempt) release() {
	a.giveUp(nil)
	if a.stall != nil {
		a.stall.Stop()
	}
	if a.deadline != nil {
		a.deadline.Stop()
	}
}

func (a *attempt) progress() {
	if a.stall != nil {
		a.stall.Reset(a.call.StallTimeout)
	}
}

func (a *attempt) await() (Result, *chuterequest.Failure) {
	select {
	case end := <-a.ended:
		return end.result, end.failure
	case <-a.waiting.Done():
	case <-a.client.life.Done():
	}
	if !a.abandon() {
		end := <-a.ended

		return end.result, end.failure
	}

	return a.leave()
}

// abandon returns false if the exchange ended first.
func (a *attempt) abandon() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.finished {
		return false
	}
	a.abandoned = true
	a.reported = chuterequest.Usage{Units: a.received}

	return true
}

// leave says how an abandoned attempt ended and what becomes of its exchange.
func (a *attempt) leave() (Result, *chuterequest.Failure) {
	cause := context.Cause(a.waiting)
	if cause == nil {
		cause = errClosed
	}
	kind := causeKind(cause)
	notTaken := a.sealUnwritten()
	if notTaken && kind == chuterequest.FailureStalled {
		kind = chuterequest.FailureUnreachable
	}
	if kind == chuterequest.FailureStalled {
		a.client.pools.dropIdle(a.call.Address)
	}
	a.linger(kind, notTaken)

	return a.partial(), &chuterequest.Failure{Kind: kind, NotTaken: notTaken, Detail: a.offsetDetail(cause.Error())}
}

// linger lets the exchange go on where a late answer is still worth something.
//
// Closing the connection is what cancels a plain call, so a cancelled one is
// closed at once. An engine is told by name and may still report its usage.
func (a *attempt) linger(kind chuterequest.FailureKind, notTaken bool) {
	if notTaken {
		a.abort()

		return
	}
	if !a.call.isStream() && kind == chuterequest.FailureCancelled {
		a.abort()

		return
	}
	a.cancelEngine()
	if a.client.lingering.Add(1) > maxLingering {
		a.client.lingering.Add(-1)
		a.abort()

		return
	}
	timer := a.client.clock.AfterFunc(a.client.LateWait, a.abort)
	context.AfterFunc(a.exchange, func() {
		timer.Stop()
		a.client.lingering.Add(-1)
	})
}

// finish hands the ending to await, or reports what came too late for it.
func (a *attempt) finish(result Result, failure *chuterequest.Failure) {
	a.mu.Lock()
	abandoned := a.abandoned
	a.finished = !abandoned
	reported := a.reported
	a.mu.Unlock()

	if !abandoned {
		a.ended <- ending{result: result, failure: failure}

		return
	}
	a.reportLate(result, failure, reported)
}

func (a *attempt) reportLate(result Result, failure *chuterequest.Failure, reported chuterequest.Usage) {
	rest := chuterequest.Usage{
		Units:       max(0, result.Usage.Units-reported.Units),
		PromptUnits: result.Usage.PromptUnits,
		CachedUnits: result.Usage.CachedUnits,
	}
	if failure == nil {
		metrics.Add("LateAnswers", 1)
	}
	if a.client.OnLateUsage != nil && rest != (chuterequest.Usage{}) {
		a.client.OnLateUsage(a.call.Attempt, rest)
	}
	late := failure == nil && a.call.Unrepeatable && !a.call.isStream()
	if a.client.OnLateResult != nil && late {
		a.client.OnLateResult(a.call, result)
	}
}

// partial returns what was had so far.
func (a *attempt) partial() Result {
	a.mu.Lock()
	defer a.mu.Unlock()

	usage := chuterequest.Usage{Units: a.received}
	if a.abandoned {
		usage = a.reported
	}

	return Result{Text: string(a.text), Tokens: a.next, Usage: usage}
}

func causeKind(cause error) chuterequest.FailureKind {
	switch {
	case errors.Is(cause, errStalled):
		return chuterequest.FailureStalled
	case errors.Is(cause, errExpired), errors.Is(cause, context.DeadlineExceeded):
		return chuterequest.FailureExpired
	default:
		return chuterequest.FailureCancelled
	}
}
