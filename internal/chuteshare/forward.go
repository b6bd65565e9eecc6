package chuteshare

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"

	"azurechute.example/azurechute/internal/chuteshare/chutesharepb"
	"azurechute.example/azurechute/internal/chutestream"
)

const (
	// maxForwardBytes bounds a forwarded request: a body of 4 MB, and its header.
	maxForwardBytes = 6 << 20
	// forwardChunkBytes is the size of a piece of a body. It is small so that no other message on the
	// connection waits long for it.
	forwardChunkBytes = 32 << 10
	// forwardQueue is the number of updates that may wait to be sent.
	forwardQueue = 4
)

// ForwardRequest is a caller's request that another node is to serve.
type ForwardRequest struct {
	ID     string
	Host   string
	Method string
	URI    string
	Path   string
	Header http.Header
	Body   []byte
	Key    string
	// Wait is how long the caller said that it waits; 0 if it did not say.
	Wait time.Duration
	// LastEventID is the number of the last event that the caller has; -1 if it has none.
	LastEventID  int
	Affinity     string
	PromptTokens int64
	PromptParts  []string
	Parts        []int
	PartKey      string
	// Left is the time until the request's deadline, Waited the time since it arrived.
	Left   time.Duration
	Waited time.Duration
	// PossibleRuns is how many upstreams may have run the request before.
	PossibleRuns int
	// ConfigVersion is the version of the configuration by which the request was accepted.
	ConfigVersion uint64
	// Node is the name of the node that forwards the request.
	Node string
	// Counted says that this node has counted the request for the retry budget.
	Counted bool
	// Binding is what the stream is bound to; zero if the caller has no event yet.
	Binding chutestream.Binding
	// MaxOutputTokens, OutputHint and SharedTokens are those of the caller's request; 0 if unknown.
	MaxOutputTokens int64
	OutputHint      int64
	SharedTokens    int64
}

// ForwardRefusal is why the peer does not answer a forwarded request.
type ForwardRefusal struct {
	Kind       string
	Reason     string
	RetryAfter time.Duration
	// Elsewhere says that the request has not run and that another node may serve it.
	Elsewhere bool
}

// ForwardAnswer is the answer to a forwarded request, or a refusal. The caller must close Body.
type ForwardAnswer struct {
	Status  int
	Header  http.Header
	Streams bool
	// Binding is what the stream is bound to; zero if the peer does not say.
	Binding chutestream.Binding
	Body    io.ReadCloser
	Refusal *ForwardRefusal
}

// ForwardOutput sends the answer to a forwarded request. One goroutine uses it at a time.
type ForwardOutput struct {
	updates chan<- *chutesharepb.ForwardUpdate
	ctx     context.Context //nolint:containedctx // the output lives as long as the call
}

// ForwardError is a forwarded request that has no answer.
type ForwardError struct {
	// Unsent is true only if the peer can't have received the request.
	Unsent bool
	// Silent says that nothing came back from the peer.
	Silent bool
	Err    error
}

// Error returns the text of the cause.
func (e *ForwardError) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *ForwardError) Unwrap() error {
	return e.Err
}

// Timeout reports whether nothing came back from the peer.
func (e *ForwardError) Timeout() bool {
	return e.Silent
}

// Forward serves a request that another node has received.
func (s service) Forward(request *chutesharepb.ForwardRequest, stream grpc.ServerStreamingServer[chutesharepb.ForwardUpdate]) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	updates := make(chan *chutesharepb.ForwardUpdate, forwardQueue)
	served := make(chan struct{})
	go func() {
		defer close(served)
		s.handlers.OnForward(ctx, decodeForward(request), ForwardOutput{updates: updates, ctx: ctx})
	}()
	keepaliveTicker := time.NewTicker(jobKeepaliveInterval)
	defer keepaliveTicker.Stop()
	// The request has to end before the call does, and may be waiting for an update to be taken.
	defer func() { <-served }()
	defer cancel()

	for {
		var update *chutesharepb.ForwardUpdate
		select {
		case update = <-updates:
		case <-keepaliveTicker.C:
			update = &chutesharepb.ForwardUpdate{}
		case <-served:
			return sendQueued(updates, stream)
		case <-ctx.Done():
			return nil
		}
		if err := stream.Send(update); err != nil {
			return err
		}
	}
}

// ForwardBound serves a request that another node has received and that is bound to a software version.
func (s service) ForwardBound(request *chutesharepb.ForwardRequest, stream grpc.ServerStreamingServer[chutesharepb.ForwardUpdate]) error {
	return s.Forward(request, stream)
}

// sendQueued sends the updates that are left once the request has ended.
func sendQueued(updates <-chan *chutesharepb.ForwardUpdate, stream grpc.ServerStreamingServer[chutesharepb.ForwardUpdate]) error {
	for len(updates) > 0 {
		if err := stream.Send(<-updates); err != nil {
			return err
		}
	}

	return nil
}

// WithContext returns the output with the context whose end makes its methods fail; ctx must be derived from that
// of the call.
func (o ForwardOutput) WithContext(ctx context.Context) ForwardOutput {
	o.ctx = ctx

	return o
}

// send queues an update; its error is that of a call that has ended.
func (o ForwardOutput) send(update *chutesharepb.ForwardUpdate) error {
	select {
	case o.updates <- update:
		return nil
	case <-o.ctx.Done():
		return o.ctx.Err()
	}
}

// Begin sends the status and the header. Its error, like that of the other methods, is that of a call that
// has ended.
func (o ForwardOutput) Begin(status int, header http.Header) error {
	return o.send(&chutesharepb.ForwardUpdate{
		Kind: chutesharepb.ForwardUpdate_KIND_HEAD, Status: int32(status), Header: encodeHeader(header), //nolint:gosec // an HTTP status
	})
}

// BeginStream sends the status and the header of a stream, and what it is bound to.
func (o ForwardOutput) BeginStream(status int, header http.Header, b chutestream.Binding) error {
	return o.send(&chutesharepb.ForwardUpdate{
		Kind: chutesharepb.ForwardUpdate_KIND_HEAD, Status: int32(status), Header: encodeHeader(header), Streams: true, //nolint:gosec // an HTTP status
		Binding: encodeBinding(b),
	})
}

// Write sends bytes of the body.
func (o ForwardOutput) Write(data []byte) error {
	for len(data) > 0 {
		n := min(len(data), forwardChunkBytes)
		if err := o.send(&chutesharepb.ForwardUpdate{Kind: chutesharepb.ForwardUpdate_KIND_DATA, Data: data[:n:n]}); err != nil {
			return err
		}
		data = data[n:]
	}

	return nil
}

// End says that the body is whole.
func (o ForwardOutput) End() error {
	return o.send(&chutesharepb.ForwardUpdate{Kind: chutesharepb.ForwardUpdate_KIND_END})
}

// Refuse says that there is no answer, and why.
func (o ForwardOutput) Refuse(r ForwardRefusal) error {
	return o.send(&chutesharepb.ForwardUpdate{Kind: chutesharepb.ForwardUpdate_KIND_REFUSED, Refusal: &chutesharepb.ForwardRefusal{
		Kind: r.Kind, Reason: r.Reason, RetryMs: r.RetryAfter.Milliseconds(), Elsewhere: r.Elsewhere,
	}})
}

// Forward has a peer serve a request, and returns its answer with the body unread, or its refusal. Errors
// are of type *ForwardError, also those from reading the body. With abandonSilent the call is given up
// when the peer shows no sign of life.
func (c *Client) Forward(ctx context.Context, address string, request ForwardRequest, abandonSilent bool) (ForwardAnswer, error) {
	conn, err := c.connTo(address)
	if err != nil {
		return ForwardAnswer{}, &ForwardError{Unsent: true, Err: err}
	}
	if err := awaitConnected(ctx, conn); err != nil {
		return ForwardAnswer{}, &ForwardError{Unsent: true, Silent: true, Err: oops.In("share").With("step", "connect", "peer", address).Wrap(err)}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	body := &forwardBody{cancel: cancel}
	if abandonSilent {
		body.silence = time.AfterFunc(firstKeepaliveTimeout, func() {
			cancel(errPeerSilent)
			c.closeConn(address, conn)
		})
	}
	forward := chutesharepb.NewShareClient(conn).Forward
	if !request.Binding.IsZero() {
		forward = chutesharepb.NewShareClient(conn).ForwardBound
	}
	body.stream, err = forward(ctx, encodeForward(request), grpc.MaxCallSendMsgSize(maxForwardBytes))
	if err != nil {
		return ForwardAnswer{}, body.fail(ctx, address, err)
	}
	update, err := body.next()
	if err != nil {
		return ForwardAnswer{}, body.fail(ctx, address, err)
	}
	if refusal := update.GetRefusal(); refusal != nil {
		_ = body.Close()

		return ForwardAnswer{Refusal: &ForwardRefusal{
			Kind: refusal.GetKind(), Reason: refusal.GetReason(), RetryAfter: time.Duration(refusal.GetRetryMs()) * time.Millisecond,
			Elsewhere: refusal.GetElsewhere(),
		}}, nil
	}

	binding, _ := decodeBinding(update.GetBinding()) // one that is too long matches no upstream

	return ForwardAnswer{
		Status: int(update.GetStatus()), Header: decodeHeader(update.GetHeader()), Streams: update.GetStreams(), Binding: binding, Body: body,
	}, nil
}

// errNotConnected reports that no connection to a peer could be opened.
var errNotConnected = errors.New("no connection to the peer")

// awaitConnected waits until a connection is established, for connectTimeout at most.
func awaitConnected(ctx context.Context, conn *grpc.ClientConn) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	awaitReady(ctx, conn)
	if conn.GetState() != connectivity.Ready {
		return errNotConnected
	}

	return nil
}

// forwardBody reads the body of the answer to a forwarded request.
type forwardBody struct {
	stream grpc.ServerStreamingClient[chutesharepb.ForwardUpdate]
	cancel context.CancelCauseFunc
	// silence gives the call up; nil if it waits as long as it takes.
	silence *time.Timer
	data    []byte
	ended   bool
}

// next returns the next update that is no sign of life.
func (b *forwardBody) next() (*chutesharepb.ForwardUpdate, error) {
	for {
		update, err := b.receive()
		if err != nil {
			return nil, err
		}
		if update.GetKind() != chutesharepb.ForwardUpdate_KIND_WAITING {
			return update, nil
		}
	}
}

// receive returns the next update. The peer's silence counts only while this node waits for it: a slow caller
// leaves updates unread for as long as it likes.
func (b *forwardBody) receive() (*chutesharepb.ForwardUpdate, error) {
	if b.silence == nil {
		return b.stream.Recv()
	}
	b.silence.Reset(keepaliveTimeout)
	defer b.silence.Stop()

	return b.stream.Recv()
}

// fail ends the call before any answer and returns its error.
func (b *forwardBody) fail(ctx context.Context, address string, err error) error {
	silent := errors.Is(context.Cause(ctx), errPeerSilent)
	_ = b.Close()
	// A peer of an earlier build has no such method, and a request that is too large is not read.
	code := status.Code(err)
	unsent := code == codes.Unimplemented || code == codes.ResourceExhausted

	return &ForwardError{Unsent: unsent, Silent: silent, Err: oops.In("share").With("step", "forward", "peer", address).Wrap(err)}
}

// Read returns io.EOF only after the peer has said that the body is whole.
func (b *forwardBody) Read(p []byte) (int, error) {
	for len(b.data) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		update, err := b.next()
		switch {
		case err == io.EOF:
			return 0, &ForwardError{Err: io.ErrUnexpectedEOF}
		case err != nil:
			return 0, &ForwardError{Silent: errors.Is(context.Cause(b.stream.Context()), errPeerSilent), Err: err}
		case update.GetRefusal() != nil:
			return 0, &ForwardError{Err: oops.In("share").With("step", "forward").Errorf("the peer broke its answer off: %s", update.GetRefusal().GetReason())}
		}
		b.ended = update.GetKind() == chutesharepb.ForwardUpdate_KIND_END
		b.data = update.GetData()
	}
	n := copy(p, b.data)
	b.data = b.data[n:]

	return n, nil
}

// Close ends the call, and with it the request at the peer.
func (b *forwardBody) Close() error {
	if b.silence != nil {
		b.silence.Stop()
	}
	b.cancel(nil)

	return nil
}
