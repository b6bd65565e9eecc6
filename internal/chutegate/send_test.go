package chutegate

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chutestream"
)

// eventsAnswer returns an answer that is a stream of events.
func eventsAnswer(text string) Answer {
	return Answer{Status: http.StatusOK, Signed: true, IsEventStream: true, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(text))}
}

func newTestRequest() *request {
	return &request{
		incoming: &IncomingRequest{}, pieces: make(chan streamPiece, maxQueuedPieces), result: make(chan requestResult, 1),
		attempts: map[uint64]*runningAttempt{}, bufferedAnswers: map[uint64]bufferedAnswer{}, lastEventID: -1,
	}
}

func TestCancelledAttempt(t *testing.T) {
	t.Run("nothing of a cancelled attempt reaches the caller", func(t *testing.T) {
		// An upstream restarts just as its first event arrives. The call is cancelled and repeated
		// at another upstream. If the head of the answer is dropped but the event is not, the
		// caller gets events under a status and headers that no upstream sent.
		c := qt.New(t)
		n := New(Settings{}, clockwork.NewFakeClock(), zerolog.Nop(), Store{}, Decoders{}, Upstreams{})
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		for range 100 {
			req := newTestRequest()
			a := &attempt{node: n, request: req, progress: &progress{}}
			_, err := a.relayStream(ctx, eventsAnswer("id: 0\ndata: a\n\n"))
			c.Assert(err, qt.IsNotNil)
			c.Assert(req.pieces, qt.HasLen, 0)
			c.Assert(req.headSent, qt.IsFalse)
		}
	})

	t.Run("the next attempt begins when the cancelled one has ended", func(t *testing.T) {
		// Both would write the number of the last event that the caller has.
		c := qt.New(t)
		held, begun, second := make(chan struct{}), make(chan struct{}), make(chan bool, 1)
		var ended atomic.Bool
		n := New(Settings{}, clockwork.NewFakeClock(), zerolog.Nop(), Store{}, Decoders{}, Upstreams{
			Exchange: func(_ context.Context, call Call) (Answer, error) {
				if call.Priority == 1 {
					close(begun)
					<-held
					ended.Store(true)
				} else {
					second <- ended.Load()
				}

				return Answer{}, &SendError{Unsent: true, Err: io.EOF}
			},
		})
		defer n.Stop()
		n.requests[1] = newTestRequest()
		n.startSend(chuterelay.Send{Handle: 1, Attempt: 1, Priority: 1})
		<-begun
		n.cancelSend(chuterelay.CancelSend{Handle: 1, Attempt: 1})
		n.startSend(chuterelay.Send{Handle: 1, Attempt: 2, Priority: 2})
		time.AfterFunc(20*time.Millisecond, func() { close(held) })
		c.Assert(<-second, qt.IsTrue)
	})
}

// TestBoundAttempt guards against events of a second version behind those that the caller has, whatever the
// reducer decided.
func TestBoundAttempt(t *testing.T) {
	bound := chutestream.Binding{Pool: "p", Version: "v1", Upstream: "u1"}

	t.Run("no call is sent to an upstream of another version", func(t *testing.T) {
		c := qt.New(t)
		n := New(Settings{}, clockwork.NewFakeClock(), zerolog.Nop(), Store{}, Decoders{}, Upstreams{
			Exchange: func(context.Context, Call) (Answer, error) {
				c.Error("sent")

				return Answer{}, &SendError{Err: io.EOF}
			},
		})
		defer n.Stop()
		req := newTestRequest()
		req.binding = bound
		a := &attempt{node: n, request: req, progress: &progress{}, send: chuterelay.Send{Upstream: chutefleet.Upstream{Pool: "p", Version: "v2"}}}
		ended := a.run(context.Background())
		c.Assert(ended.End, qt.Equals, chuterelay.EndOtherVersion)
		c.Assert(ended.Binding, qt.Equals, bound)
	})

	t.Run("events of another version are not passed on from a peer", func(t *testing.T) {
		c := qt.New(t)
		n := New(Settings{}, clockwork.NewFakeClock(), zerolog.Nop(), Store{}, Decoders{}, Upstreams{})
		defer n.Stop()
		for _, other := range []chutestream.Binding{{}, {Pool: "p", Version: "v2"}, {Pool: "q", Version: "v1"}} {
			req := newTestRequest()
			req.binding = bound
			a := &attempt{node: n, request: req, progress: &progress{}, send: chuterelay.Send{Peer: chuterelay.Peer{Name: "n2"}}}
			answer := eventsAnswer("id: 0\ndata: a\n\n")
			answer.Binding = other
			_, err := a.relayStream(context.Background(), answer)
			c.Assert(err, qt.Equals, errOtherVersion)
			c.Assert(req.pieces, qt.HasLen, 0)
		}
	})

	t.Run("the first event binds the stream", func(t *testing.T) {
		c := qt.New(t)
		n := New(Settings{}, clockwork.NewFakeClock(), zerolog.Nop(), Store{}, Decoders{}, Upstreams{})
		defer n.Stop()
		req := newTestRequest()
		id := chutestream.NewID("w", "p", "r", "r")
		req.stream = &id
		a := &attempt{node: n, request: req, progress: &progress{}, send: chuterelay.Send{
			Upstream: chutefleet.Upstream{Name: "u1", Pool: "p", Version: "v1"}, Deadline: n.Now().Add(time.Second),
		}}
		_, err := a.relayStream(context.Background(), eventsAnswer("id: 0\ndata: a\n\n"))
		c.Assert(err, qt.IsNil)
		c.Assert(req.binding, qt.Equals, bound)
		record, known := n.streams.find(id, n.Now())
		c.Assert(known, qt.IsTrue)
		c.Assert(record.Binding, qt.Equals, bound)
	})
}

// silentBody is the body of a stream whose connection goes silent after some text.
type silentBody struct {
	text io.Reader
}

func (b silentBody) Read(p []byte) (int, error) {
	n, err := b.text.Read(p)
	if err == io.EOF {
		return n, &SendError{Silent: true, Err: os.ErrDeadlineExceeded}
	}

	return n, err
}

func (silentBody) Close() error {
	return nil
}

func TestSilentStream(t *testing.T) {
	// Guards against calls to a zone that is cut off: what is written to kept connections is delivered once the cut
	// is over, also to upstreams that have left meanwhile.
	c := qt.New(t)
	answer := eventsAnswer("")
	answer.Body = silentBody{text: strings.NewReader("id: 0\ndata: a\n\n")}
	n := New(Settings{}, clockwork.NewFakeClock(), zerolog.Nop(), Store{}, Decoders{}, Upstreams{
		Exchange: func(context.Context, Call) (Answer, error) { return answer, nil },
	})
	defer n.Stop()
	a := &attempt{node: n, request: newTestRequest(), progress: &progress{}, send: chuterelay.Send{Streams: true}}
	ended := a.run(context.Background())
	c.Assert(ended.End, qt.Equals, chuterelay.EndSilent)
	c.Assert(ended.Silent, qt.IsTrue)
}
