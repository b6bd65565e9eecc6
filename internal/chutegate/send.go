package chutegate

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"azurechute.example/azurechute/internal/chuterelay"
)

const (
	// maxAnswer bounds a whole answer that is held in memory until it is known to
	// be complete.
	maxAnswerBytes = 16 << 20
	// maxEvent bounds one event of a stream.
	maxEventBytes = 1 << 20
)

// startSend begins a call beside the loop.
func (n *Node) startSend(s chuterelay.Send) {
	req, ok := n.requests[s.Handle]
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(n.runContext)
	req.attempts[s.Attempt] = cancel
	n.spawn(func(context.Context) {
		defer cancel()
		// A cancelled attempt may still hand an event over, while the next one asks to go on
		// after the last that the caller has.
		req.streamLock.Lock()
		defer req.streamLock.Unlock()
		a := &attempt{node: n, request: req, send: s}
		ended := a.run(ctx)
		if ctx.Err() != nil {
			return
		}
		n.sendEventWith(ended, func() { a.keepAnswer() })
	})
}

// attempt is one call under way.
type attempt struct {
	node     *Node
	request  *request
	send     chuterelay.Send
	buffered *bufferedAnswer
	// heard is when the upstream last showed a sign of life.
	lastActivity atomic.Pointer[time.Time]
}

// file keeps a whole answer for Deliver; the loop calls it.
func (a *attempt) keepAnswer() {
	if a.buffered != nil {
		a.request.bufferedAnswers[a.send.Attempt] = *a.buffered
	}
}

func (a *attempt) run(ctx context.Context) chuterelay.AttemptEnded {
	s := a.send
	ctx, release := a.withLivenessCheck(ctx)
	defer release()
	ended := chuterelay.AttemptEnded{Handle: s.Handle, Attempt: s.Attempt}
	answer, err := a.node.upstreams.Exchange(ctx, Call{
		Incoming: a.request.incoming, Upstream: s.Upstream, Workspace: s.Workspace,
		TimeLeft: s.Deadline.Sub(a.node.Now()), Inputs: s.Inputs, LastEventID: a.request.lastEventID,
		Fresh: s.Fresh, Priority: s.Priority,
	})
	if err != nil {
		ended = a.withFailure(ctx, ended, err)
		ended.Silent = ended.End == chuterelay.EndSilent || asSendError(err).Silent

		return ended
	}
	a.recordActivity()
	defer func() { _ = answer.Body.Close() }()
	ended.Leaving = answer.Leaving
	ended.Load, ended.Cold, ended.Limit = answer.Load, answer.Cold, answer.Limit
	if answer.Misaddressed {
		// Another incarnation has the address; its limit is none of this one.
		ended.Limit = nil
	}
	if s.Streams && answer.Status == http.StatusOK && answer.Signed && answer.IsEventStream && !answer.Altered {
		// Load and limit were told with the first event; by its end they are old.
		ended.Load, ended.Limit = nil, nil
		ended.Events, err = a.relayStream(ctx, answer)
		ended.End = chuterelay.EndAnswered
		if err != nil {
			return a.withFailure(ctx, ended, err)
		}

		return ended
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errAnswerTooLong
	}
	if err != nil {
		return a.withFailure(ctx, ended, err)
	}
	ended.End, ended.HasAnswer = classifyAnswer(answer, a.request.headSent)
	if ended.HasAnswer {
		a.buffered = &bufferedAnswer{status: answer.Status, header: answer.Header, body: body}
	}
	if ended.End != chuterelay.EndAnswered {
		ended.Detail = "status " + strconv.Itoa(answer.Status)
	}

	return ended
}

// broken says what a failed exchange means, and whether the upstream has ended with it.
func (a *attempt) withFailure(ctx context.Context, ended chuterelay.AttemptEnded, err error) chuterelay.AttemptEnded {
	ended.End = a.classifyError(ctx, err)
	ended.Detail = err.Error()
	ended.UpstreamEnded = ended.End == chuterelay.EndBroken && a.node.upstreamHasEnded(ctx, a.send.Upstream)

	return ended
}

var (
	errAnswerTooLong = errors.New("the answer is longer than this node holds")
	errEventOrder    = errors.New("an event is missing, doubled or cut off")
)

// judge says what a whole answer means, and whether it may be passed on.
func classifyAnswer(answer Answer, headSent bool) (chuterelay.AttemptEnd, bool) {
	switch {
	case answer.InputGone:
		return chuterelay.EndInputGone, false
	case answer.Misaddressed:
		return chuterelay.EndMisaddressed, false
	case answer.NotRun:
		return chuterelay.EndRefused, false
	case headSent:
		// The caller has the beginning of a stream; nothing but its events can follow.
		return chuterelay.EndErrored, false
	case answer.Status < http.StatusBadRequest:
		// Success that the upstream does not vouch for may be anybody's bytes.
		if !answer.Signed || answer.Altered {
			return chuterelay.EndBroken, false
		}

		return chuterelay.EndAnswered, true
	case impliesNotRun(answer.Status):
		return chuterelay.EndErrored, false
	case answer.Status >= http.StatusInternalServerError:
		return chuterelay.EndErrored, true
	default:
		return chuterelay.EndAnswered, true
	}
}

// promisesNotRun lists the statuses from which callers conclude that nothing ran.
// Passed on from an upstream that does not say so itself they could be false.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// pass hands a stream's events to the caller as they come, and returns how many.
func (a *attempt) relayStream(ctx context.Context, answer Answer) (int, error) {
	reader := newEventReader(bufio.NewReader(answer.Body), maxEventBytes)
	count := 0
	for {
		event, err := reader.next()
		if err == io.EOF && count > 0 {
			return count, nil
		}
		if err != nil {
			return count, err
		}
		a.recordActivity()
		if a.request.lastEventID >= 0 && event.id != a.request.lastEventID+1 {
			return count, errEventOrder
		}
		if !a.request.headSent {
			if !a.emit(ctx, streamPiece{isHead: true, status: answer.Status, header: answer.Header}) {
				return count, ctx.Err()
			}
			a.request.headSent = true
		}
		if !a.emit(ctx, streamPiece{event: event.bytes}) {
			return count, ctx.Err()
		}
		a.request.lastEventID = event.id
		if count == 0 {
			a.node.sendEvent(chuterelay.AttemptBegan{
				Handle: a.send.Handle, Attempt: a.send.Attempt, Load: answer.Load, Limit: answer.Limit,
			})
		}
		count++
	}
}

// move hands one piece to the caller's goroutine; false means that the attempt was cancelled.
func (a *attempt) emit(ctx context.Context, piece streamPiece) bool {
	if ctx.Err() != nil {
		// Where both are possible a select takes either: the head of an answer could be
		// dropped and the event behind it handed over.
		return false
	}
	select {
	case a.request.pieces <- piece:
		return true
	case <-ctx.Done():
		return false
	}
}

// endOf says what a failed exchange means.
func (a *attempt) classifyError(ctx context.Context, err error) chuterelay.AttemptEnd {
	failure := asSendError(err)
	switch {
	case errors.Is(context.Cause(ctx), errUpstreamGone):
		return chuterelay.EndSilent
	case failure.Unsent:
		return chuterelay.EndUnreachable
	case failure.Silent:
		return chuterelay.EndSilent
	default:
		return chuterelay.EndBroken
	}
}

// asSendError returns the typed error; one of unknown type proves nothing.
func asSendError(err error) *SendError {
	var failure *SendError
	if errors.As(err, &failure) {
		return failure
	}

	return &SendError{Err: err}
}
