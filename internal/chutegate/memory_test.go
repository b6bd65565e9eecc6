package chutegate

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"azurechute.example/azurechute/internal/chutememory"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteroute"
	"azurechute.example/azurechute/internal/chuteshare"
	"azurechute.example/azurechute/internal/chutestream"
)

// testCallerBytes is the bound of the nodes below, of which one workspace can have two thirds.
const testCallerBytes = 300 << 10

// newMemoryNode returns a node that does not run, with testCallerBytes for two workspaces with keys of their names.
func newMemoryNode() (*Node, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	n := New(Settings{CallerBytes: testCallerBytes}, clock, zerolog.Nop(), Store{}, Decoders{}, Upstreams{})
	n.config.Store(&chuteroute.Config{Workspaces: map[string]chuteroute.Workspace{"loud": {Name: "loud"}, "other": {Name: "other"}}})

	return n, clock
}

// newMemoryRequest returns a request of a workspace whose memory is bounded.
func newMemoryRequest(n *Node, workspace string, disconnect func()) *request {
	req := newTestRequest()
	req.incoming.Memory = n.OpenMemory(workspace, disconnect)

	return req
}

// countingReader counts what is read.
type countingReader struct {
	io.Reader

	count *atomic.Int64
}

func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.count.Add(int64(n))

	return n, err
}

// answerOfLength returns an answer whose reads are counted; its length is stated if known is true.
func answerOfLength(size int, known bool) (Answer, *atomic.Int64) {
	count := new(atomic.Int64)
	answer := Answer{Status: http.StatusOK, Body: io.NopCloser(countingReader{bytes.NewReader(make([]byte, size)), count})}
	if known {
		answer.Length = int64(size)
	}

	return answer, count
}

// waitForWaiting waits until a number of requests wait for memory.
func waitForWaiting(n *Node, count int) {
	for n.memory.View().Waiting != count {
		time.Sleep(time.Millisecond)
	}
}

// TestSlowReader guards against a caller that reads nothing and whose stream takes the memory of all others, and that is
// kept for ever.
func TestSlowReader(t *testing.T) {
	c := qt.New(t)
	n, clock := newMemoryNode()
	defer n.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	disconnected := make(chan struct{})
	req := newMemoryRequest(n, "loud", func() { close(disconnected) })

	const eventBytes = 40 << 10
	var events strings.Builder
	for id := range 100 {
		fmt.Fprintf(&events, "id: %d\n%s\n", id, strings.Repeat("data: "+strings.Repeat("x", 1017)+"\n", eventBytes>>10))
	}
	var read atomic.Int64
	answer := eventsAnswer("")
	answer.Body = io.NopCloser(countingReader{strings.NewReader(events.String()), &read})
	attemptEnded, served := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(attemptEnded)
		a := &attempt{node: n, request: req, progress: new(progress)}
		_, _ = a.relayStream(ctx, answer)
	}()
	go func() {
		defer close(served)
		n.writeAnswer(t.Context(), 1, req, Output{
			BeginStream: func(int, http.Header, chutestream.Binding) {},
			WriteEvent: func([]byte) error {
				<-disconnected

				return io.ErrClosedPipe
			},
			AbortStream: func() {}, Refuse: func(chuterelay.Refusal) {},
		})
	}()
	waitForWaiting(n, 1)
	c.Assert(read.Load() <= testCallerBytes*2/3+eventBytes+8<<10, qt.IsTrue, qt.Commentf("%d bytes read", read.Load()))

	other := newMemoryRequest(n, "other", func() { c.Error("disconnected") })
	c.Assert(other.incoming.Memory.TryAcquire(30<<10), qt.IsTrue)
	c.Assert(n.memory.Check(n.Now()).Dropped, qt.HasLen, 0)
	clock.Advance(chutememory.StallLimit)
	c.Assert(n.memory.Check(n.Now()).Dropped, qt.HasLen, 1)

	left, isLeft := (<-n.messages).relayEvent, false
	for !isLeft {
		if _, isLeft = left.(chuterelay.CallerLeft); !isLeft {
			left = (<-n.messages).relayEvent
		}
	}
	cancel()
	<-attemptEnded
	req.result <- requestResult{abandoned: true}
	<-served
	req.incoming.Memory.Close()
	other.incoming.Memory.Close()
	c.Assert(n.memory.View().Used, qt.Equals, int64(0))
}

// TestAnswersWait guards against buffered answers that exceed the bound together.
func TestAnswersWait(t *testing.T) {
	t.Run("an answer of known length is not read before it fits as a whole", func(t *testing.T) {
		c := qt.New(t)
		n, _ := newMemoryNode()
		defer n.Stop()
		first, second := newMemoryRequest(n, "loud", func() {}), newMemoryRequest(n, "loud", func() {})
		answer, _ := answerOfLength(150<<10, true)
		_, err := (&attempt{node: n, request: first}).readAnswer(context.Background(), answer)
		c.Assert(err, qt.IsNil)
		answer, read := answerOfLength(150<<10, true)
		body := make(chan []byte, 1)
		go func() {
			b, _ := (&attempt{node: n, request: second}).readAnswer(context.Background(), answer)
			body <- b
		}()
		waitForWaiting(n, 1)
		c.Assert(read.Load(), qt.Equals, int64(0))
		first.incoming.Memory.Close()
		c.Assert(<-body, qt.HasLen, 150<<10)
	})

	t.Run("an answer that never fits is an error", func(t *testing.T) {
		c := qt.New(t)
		n, _ := newMemoryNode()
		defer n.Stop()
		for _, known := range []bool{true, false} {
			req := newMemoryRequest(n, "loud", func() {})
			answer, _ := answerOfLength(testCallerBytes, known)
			_, err := (&attempt{node: n, request: req}).readAnswer(context.Background(), answer)
			c.Assert(err, qt.Equals, errAnswerTooLong)
			c.Assert(n.memory.View().Used, qt.Equals, int64(0))
		}
	})

	t.Run("an answer is read whole, whether its length is known or not", func(t *testing.T) {
		c := qt.New(t)
		n, _ := newMemoryNode()
		defer n.Stop()
		text := strings.Repeat("0123456789", 5_000)
		for _, length := range []int64{0, int64(len(text)), 10} {
			req := newMemoryRequest(n, "loud", func() {})
			body, err := (&attempt{node: n, request: req}).readAnswer(context.Background(), Answer{
				Length: length, Body: io.NopCloser(iotest.HalfReader(strings.NewReader(text))),
			})
			c.Assert(err, qt.IsNil)
			c.Assert(string(body) == text, qt.IsTrue)
			c.Assert(n.memory.View().Used >= int64(cap(body)), qt.IsTrue)
			req.incoming.Memory.Close()
		}
	})

	t.Run("the memory of an answer that is not kept is free at once", func(t *testing.T) {
		// An upstream refuses a call; the next attempt may wait for the same memory.
		c := qt.New(t)
		n, _ := newMemoryNode()
		defer n.Stop()
		answer, _ := answerOfLength(1000, true)
		answer.NotRun = true
		n.upstreams.Exchange = func(context.Context, Call) (Answer, error) { return answer, nil }
		ended := (&attempt{node: n, progress: new(progress), request: newMemoryRequest(n, "loud", func() {})}).run(context.Background())
		c.Assert(ended.End, qt.Equals, chuterelay.EndRefused)
		c.Assert(n.memory.View().Used, qt.Equals, int64(0))
	})

	t.Run("a dropped request ends with its context, which no upstream is blamed for", func(t *testing.T) {
		c := qt.New(t)
		n, clock := newMemoryNode()
		defer n.Stop()
		n.memory.Open("loud", func() {}).TryAcquire(testCallerBytes * 2 / 3)
		ctx, cancel := context.WithCancel(context.Background())
		req := newMemoryRequest(n, "loud", cancel)
		req.incoming.Memory.Offer(1, n.Now())
		answer, _ := answerOfLength(1000, true)
		result := make(chan error, 1)
		go func() {
			_, err := (&attempt{node: n, request: req}).readAnswer(ctx, answer)
			result <- err
		}()
		waitForWaiting(n, 1)
		clock.Advance(chutememory.StallLimit)
		n.memory.Check(n.Now())
		c.Assert(<-result, qt.Equals, context.Canceled)
	})
}

// TestReadBody guards against bodies that are held beyond the bound, and against refusals that leave bytes booked.
func TestReadBody(t *testing.T) {
	for _, known := range []bool{true, false} {
		c := qt.New(t)
		n, _ := newMemoryNode()
		defer n.Stop()
		length := func(size int) int64 {
			if known {
				return int64(size)
			}

			return -1
		}
		text := strings.Repeat("x", 150<<10)
		first, second := n.OpenMemory("loud", func() {}), n.OpenMemory("loud", func() {})
		body, refusal, err := ReadBody(first, strings.NewReader(text), length(len(text)))
		c.Assert(err, qt.IsNil)
		c.Assert(refusal, qt.IsNil)
		c.Assert(string(body) == text, qt.IsTrue)
		_, refusal, err = ReadBody(second, strings.NewReader(text), length(len(text)))
		c.Assert(err, qt.IsNil)
		c.Assert(refusal.Kind, qt.Equals, chuterelay.RefusedNotRun)
		c.Assert(refusal.RetryAfter >= memoryRetryAfter*3/4 && refusal.RetryAfter <= memoryRetryAfter*5/4, qt.IsTrue)
		second.Close()
		c.Assert(n.memory.View().Used, qt.Equals, int64(len(text)))
		first.Close()
		_, _, err = ReadBody(n.OpenMemory("loud", func() {}), iotest.ErrReader(io.ErrUnexpectedEOF), length(10))
		c.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
	}
}

// TestWholeAnswerProgress guards against callers that read a large answer slowly and are taken for ones that read nothing.
func TestWholeAnswerProgress(t *testing.T) {
	c := qt.New(t)
	n, clock := newMemoryNode()
	defer n.Stop()
	memory := n.OpenMemory("loud", func() { c.Error("disconnected") })
	body := make([]byte, 10*CallerChunkBytes)
	c.Assert(memory.TryAcquire(int64(len(body))), qt.IsTrue)
	memory.Offer(int64(len(body)), n.Now())
	pieces := 0
	err := WriteWatched(memory, n.Now, body, func(piece []byte) error {
		pieces += len(piece)
		memory.TryAcquire(testCallerBytes)
		clock.Advance(chutememory.StallLimit - time.Millisecond)
		n.memory.Check(n.Now())

		return nil
	})
	c.Assert(err, qt.IsNil)
	c.Assert(pieces, qt.Equals, len(body))
}

var errTestBody = errors.New("the connection broke")

// TestNothingStaysBooked guards against bytes that stay booked after the end of a request, however it ended; a node would
// refuse all bodies in the end.
func TestNothingStaysBooked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, _ := newMemoryNode()
		defer n.Stop()
		for range rapid.IntRange(1, 5).Draw(t, "requests") {
			ctx, cancel := context.WithCancel(context.Background())
			req := newMemoryRequest(n, rapid.SampledFrom([]string{"loud", "other", ""}).Draw(t, "key"), cancel)
			text := strings.Repeat("x", rapid.IntRange(0, 100<<10).Draw(t, "body"))
			_, _, _ = ReadBody(req.incoming.Memory, strings.NewReader(text), rapid.SampledFrom([]int64{-1, int64(len(text)), 10}).Draw(t, "length"))
			booked := n.memory.View().Used
			for range rapid.IntRange(0, 3).Draw(t, "attempts") {
				size := rapid.IntRange(0, 250<<10).Draw(t, "answer")
				reader := io.Reader(bytes.NewReader(make([]byte, size)))
				if rapid.Bool().Draw(t, "breaks") {
					reader = io.MultiReader(reader, iotest.ErrReader(errTestBody))
				}
				answer := Answer{Body: io.NopCloser(reader), Length: rapid.SampledFrom([]int64{0, int64(size)}).Draw(t, "stated")}
				body, err := (&attempt{node: n, request: req}).readAnswer(ctx, answer)
				if err == nil {
					booked += int64(cap(body))
				}
				if used := n.memory.View().Used; used != booked {
					t.Fatalf("%d bytes are booked, %d held", used, booked)
				}
			}
			req.incoming.Memory.Close()
			cancel()
			if used := n.memory.View().Used; used != 0 {
				t.Fatalf("%d bytes are booked after the end", used)
			}
		}
	})
}

// TestForwardedOverMemory guards against requests of other nodes that are held beyond the bound, or refused in a way that
// keeps them from being served by a third node.
func TestForwardedOverMemory(t *testing.T) {
	c := qt.New(t)
	n, _ := newMemoryNode()
	defer n.Stop()
	n.upstreamsLoaded.Store(true)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := chuteshare.NewServer(n.Handlers())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l)
	}()
	defer func() {
		server.Stop()
		<-done
	}()
	client := chuteshare.NewClient()
	defer client.Close()
	answer, err := client.Forward(t.Context(), l.Addr().String(), chuteshare.ForwardRequest{
		ID: "r", Key: "loud", Body: make([]byte, testCallerBytes), Left: time.Second,
	}, false)
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Refusal, qt.IsNotNil)
	c.Assert(answer.Refusal.Kind, qt.Equals, string(chuterelay.RefusedNotRun))
	c.Assert(answer.Refusal.Reason, qt.Equals, errShortOfMemory.Error())
	c.Assert(answer.Refusal.Elsewhere, qt.IsTrue)
	for n.memory.View().Holds != 0 {
		time.Sleep(time.Millisecond)
	}
	c.Assert(n.memory.View().Used, qt.Equals, int64(0))
}
