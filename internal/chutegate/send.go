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
	// maxAnswerBytes bounds an answer that is buffered in memory until it is known to be complete.
	maxAnswerBytes = 16 << 20
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
)

// startSend starts a call to an upstream in a goroutine of its own.
func (n *Node) startSend(s chuterelay.Send) {
	req, ok := n.requests[s.Handle]
	if !ok {
		return
	}
	ctx, cancel := context.WithCancelCause(n.runContext)
	running := &runningAttempt{cancel: cancel, progress: &progress{}}
	req.attempts[s.Attempt] = running
	n.spawn(func(context.Context) {
		defer cancel(nil)
		// A cancelled attempt may still emit an event while the next attempt reads lastEventID to
		// ask the upstream to continue after that event. The lock lets the next one start only
		// after the cancelled one has ended.
		req.streamLock.Lock()
		defer req.streamLock.Unlock()
		a := &attempt{node: n, request: req, send: s, progress: running.progress}
		ended, report := afterCancel(ctx, a.run(ctx))
		if !report {
			a.dropAnswer()

			return
		}
		n.sendEventWith(ended, func() {
			running.stop(nil)
			a.keepAnswer()
		})
	})
}

// attempt is one call to an upstream in progress.
type attempt struct {
	node     *Node
	request  *request
	send     chuterelay.Send
	progress *progress
	buffered *bufferedAnswer
	// lastActivity is when the upstream last showed that it is alive.
	lastActivity atomic.Pointer[time.Time]
	intervals    eventIntervals
}

// keepAnswer stores a buffered answer for deliverAnswer; the event loop calls it.
func (a *attempt) keepAnswer() {
	if a.buffered != nil {
		a.request.bufferedAnswers[a.send.Attempt] = *a.buffered
	}
}

// dropAnswer frees the memory of a buffered answer that is not kept.
func (a *attempt) dropAnswer() {
	if a.buffered != nil {
		a.request.incoming.Memory.Release(int64(cap(a.buffered.body)))
		a.buffered = nil
	}
}

func (a *attempt) run(ctx context.Context) chuterelay.AttemptEnded {
	s := a.send
	ctx, release := a.withLivenessCheck(ctx)
	defer release()
	ended := chuterelay.AttemptEnded{Handle: s.Handle, Attempt: s.Attempt}
	answer, refusal, err := a.exchange(ctx)
	if refusal != nil {
		ended.End, ended.Refusal, ended.Detail = chuterelay.EndRefused, refusal, refusal.Reason

		return ended
	}
	if err != nil {
		return a.withFailure(ctx, ended, err)
	}
	a.recordActivity()
	defer func() { _ = answer.Body.Close() }()
	ended.Load, ended.Cold, ended.Limit, ended.Brittle = answer.Load, answer.Cold, answer.Limit, answer.Brittle
	switch {
	case s.Peer.Name != "":
	case answer.Misaddressed:
		// Another incarnation has the address, so limit and notice are not those of the intended one.
		ended.Limit, ended.Brittle = nil, nil
	default:
		a.node.reportNotice(s.Upstream, answer.Notice)
	}
	if s.Streams && answer.Status == http.StatusOK && answer.Signed && answer.IsEventStream && !answer.Altered {
		// Load and limit were reported with the first event; by the end of the stream they are out
		// of date.
		ended.Load, ended.Limit, ended.Brittle = nil, nil, nil
		ended.Events, err = a.relayStream(ctx, answer)
		ended.End, ended.EventInterval = chuterelay.EndAnswered, a.intervals.lowerQuartile()
		if err != nil {
			return a.withFailure(ctx, ended, err)
		}

		return ended
	}
	// An answer that has begun is not given up any more.
	a.progress.begin(a.node.Now())
	a.progress.passedOn(a.node.Now())
	body, err := a.readAnswer(ctx, answer)
	if err != nil {
		return a.withFailure(ctx, ended, err)
	}
	a.buffered = &bufferedAnswer{status: answer.Status, header: answer.Header, body: body}
	if ended.End, ended.HasAnswer = classifyAnswer(answer, a.request.headSent); !ended.HasAnswer {
		a.dropAnswer()
	}
	if ended.End != chuterelay.EndAnswered {
		ended.Detail = "status " + strconv.Itoa(answer.Status)
	}

	return ended
}

// exchange sends the request to its upstream, or to the peer that is to serve it.
func (a *attempt) exchange(ctx context.Context) (Answer, *chuterelay.Refusal, error) {
	s := a.send
	if s.Peer.Name != "" {
		return a.forwardExchange(ctx)
	}
	if !a.request.binding.Allows(a.upstreamBinding()) {
		// An attempt that was cancelled has passed events on before the reducer heard of them.
		return Answer{}, nil, errOtherVersion
	}
	answer, err := a.node.upstreams.Exchange(ctx, Call{
		Incoming: a.request.incoming, Upstream: s.Upstream, Workspace: s.Workspace,
		TimeLeft: s.Deadline.Sub(a.node.Now()), Inputs: s.Inputs, LastEventID: a.request.lastEventID,
		Fresh: s.FreshConnection, Priority: s.Priority,
	})

	return answer, nil, err
}

// withFailure adds to ended what a failed exchange means, and whether the upstream has ended or goes on.
func (a *attempt) withFailure(ctx context.Context, ended chuterelay.AttemptEnded, err error) chuterelay.AttemptEnded {
	ended.Detail = err.Error()
	if errors.Is(context.Cause(ctx), errOverdue) {
		// The connection was closed by this node, which says nothing about the upstream.
		ended.End = chuterelay.EndOverdue

		return ended
	}
	if errors.Is(err, errOtherVersion) && a.send.Peer.Name == "" {
		ended.End, ended.Binding = chuterelay.EndOtherVersion, a.request.binding

		return ended
	}
	ended.End = a.classifyError(ctx, err)
	ended.Silent = ended.End == chuterelay.EndSilent || asSendError(err).Silent
	if a.send.Peer.Name == "" && ended.End == chuterelay.EndBroken {
		state := a.node.checkUpstream(ctx, a.send.Upstream)
		ended.UpstreamEnded, ended.UpstreamAlive = state == AddressRefuses, state == AddressAccepts
	}

	return ended
}

var (
	errAnswerTooLong = errors.New("the answer is longer than this node holds")
	errEventOrder    = errors.New("an event is missing, doubled or cut off")
	errOtherVersion  = errors.New("the caller has events of another software version")
)

// classifyAnswer returns what a complete answer means, and whether it may be passed on.
func classifyAnswer(answer Answer, headSent bool) (chuterelay.AttemptEnd, bool) {
	switch {
	case answer.InputGone:
		return chuterelay.EndInputGone, false
	case answer.Misaddressed:
		return chuterelay.EndMisaddressed, false
	case answer.NotRun:
		return chuterelay.EndRefused, false
	case headSent:
		// The caller has received the head of a stream, which only the stream's events can follow.
		return chuterelay.EndErrored, false
	case answer.Status < http.StatusBadRequest:
		// A success that the upstream has not signed may come from anybody.
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

// impliesNotRun reports whether callers conclude from a status that nothing ran. If the upstream
// has not stated that itself, the conclusion may be false, so such a status is not passed on.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// relayStream passes a stream's events to the caller as they arrive, measures the times between them, and returns their
// number.
func (a *attempt) relayStream(ctx context.Context, answer Answer) (int, error) {
	reader := newEventReader(bufio.NewReader(answer.Body), maxEventBytes, func(bytes int64) error { return a.acquire(ctx, bytes) })
	// Of an event that is passed on, all bytes are freed once it is written.
	defer func() { a.request.incoming.Memory.Release(reader.booked) }()
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
		a.intervals.add(a.node.Now())
		if a.request.lastEventID >= 0 && event.id != a.request.lastEventID+1 {
			return count, errEventOrder
		}
		if count == 0 && !a.bind(answer) {
			return count, errOtherVersion
		}
		if err := a.passOn(ctx, answer, event.bytes, reader.booked); err != nil {
			return count, err
		}
		reader.booked = 0
		a.request.lastEventID = event.id
		if count == 0 {
			a.node.sendEvent(chuterelay.AttemptBegan{
				Handle: a.send.Handle, Attempt: a.send.Attempt, Binding: answer.Binding, Load: answer.Load, Limit: answer.Limit, Brittle: answer.Brittle,
			})
		}
		count++
	}
}

// passOn passes an event of a stream to the caller, once there is memory for what is not booked of it, unless the call was given
// up before. What was booked stays so if it fails.
func (a *attempt) passOn(ctx context.Context, answer Answer, event []byte, booked int64) error {
	if !a.progress.begin(a.node.Now()) {
		<-ctx.Done()

		return errOverdue
	}
	unbooked := int64(len(event)) - booked
	if err := a.acquire(ctx, unbooked); err != nil {
		return err
	}
	if !a.emitHead(ctx, answer) || !a.emit(ctx, streamPiece{event: event}) {
		a.request.incoming.Memory.Release(unbooked)

		return ctx.Err()
	}
	a.progress.passedOn(a.node.Now())

	return nil
}

// emitHead passes the head of the answer on unless that has been done; false means that the attempt was cancelled.
func (a *attempt) emitHead(ctx context.Context, answer Answer) bool {
	if !a.request.headSent {
		a.request.headSent = a.emit(ctx, streamPiece{isHead: true, status: answer.Status, header: answer.Header, binding: a.request.binding})
	}

	return a.request.headSent
}

// emit passes one piece to the goroutine that serves the caller; false means that the attempt was
// cancelled.
func (a *attempt) emit(ctx context.Context, piece streamPiece) bool {
	if ctx.Err() != nil {
		// If both cases are ready, select picks either: it could drop the head of an answer and
		// still pass on the event after it.
		return false
	}
	memory, bytes := a.request.incoming.Memory, int64(len(piece.event))
	memory.Offer(bytes, a.node.Now())
	select {
	case a.request.pieces <- piece:
		return true
	case <-ctx.Done():
		memory.Read(bytes, a.node.Now())

		return false
	}
}

// classifyError returns what a failed exchange means.
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

// asSendError returns the *SendError in err's chain. Any other error is wrapped as one that proves
// neither that the call was not sent nor that the upstream is silent.
func asSendError(err error) *SendError {
	var failure *SendError
	if errors.As(err, &failure) {
		return failure
	}

	return &SendError{Err: err}
}
