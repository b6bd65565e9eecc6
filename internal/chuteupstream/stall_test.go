package chuteupstream

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"azurechute.example/azurechute/internal/chuterequest"
)

const (
	stallTimeout = 2 * time.Second
	callTime     = time.Minute
)

// silentServer sends the frames and then holds every request but cancels; arrived tells of each.
func silentServer(t *testing.T, frames ...string) (address string, arrived chan string, cancelled chan string) {
	arrived = make(chan string, 9)
	cancelled = make(chan string, 1)
	address = serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == cancelPath {
			noteCancel(r, cancelled)

			return
		}
		if len(frames) > 0 {
			writeFrames(w, frames...)
		}
		arrived <- r.RemoteAddr
		<-r.Context().Done()
	})

	return address, arrived, cancelled
}

func timed(clock clockwork.Clock, call Call) Call {
	call.Deadline = clock.Now().Add(callTime)
	call.StallTimeout = stallTimeout

	return call
}

// The caller sees its stream go on elsewhere. The engine sends tokens, slowly
// but each within the stall timeout, and then goes silent with the connection
// open; TCP has nothing to complain about. The Result says where to resume.
func TestSilentStream(t *testing.T) {
	clock := clockwork.NewFakeClock()
	frames, cancelled := make(chan string), make(chan string, 1)
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == cancelPath {
			noteCancel(r, cancelled)

			return
		}
		for {
			select {
			case frame := <-frames:
				writeFrames(w, frame)
			case <-r.Context().Done():
				return
			}
		}
	})
	tokens := make(chan Token, 1)
	ended := runInBackground(context.Background(), newTestClient(t, clock), timed(clock, streamCall(address)), func(token Token) { tokens <- token })
	for i, text := range []string{"a", "b", "c"} {
		frames <- tokenFrame(ours, i, text)
		receive(t, tokens)
		qt.Assert(t, clock.BlockUntilContext(context.Background(), 2), qt.IsNil)
		clock.Advance(stallTimeout - 1)
	}
	clock.Advance(1)
	end := receive(t, ended)
	expectFailure(t, end.failure, chuterequest.FailureStalled, false)
	qt.Check(t, end.result, qt.DeepEquals, Result{Text: "abc", Tokens: 3, Usage: chuterequest.Usage{Units: 3}})
	qt.Check(t, receive(t, cancelled), qt.Equals, string(ours))
}

// A caller that reads slowly must not have its upstream blamed: onToken blocks
// for longer than the stall timeout, and the stream still ends well.
func TestSlowCallerIsNoStall(t *testing.T) {
	clock := clockwork.NewFakeClock()
	proceed := make(chan bool, 1)
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		writeFrames(w, tokenFrame(ours, 0, "a"))
		<-proceed
		writeFrames(w, lastFrame(1, "a", 1))
	})
	result, failure := newTestClient(t, clock).Run(context.Background(), timed(clock, streamCall(address)), func(Token) {
		clock.Advance(2 * stallTimeout)
		proceed <- true
	})
	qt.Assert(t, failure, qt.IsNil)
	qt.Check(t, result.Text, qt.Equals, "a")
}

// The caller of a repeatable plain call is served by another upstream after the
// stall timeout.
func TestSilentPlainCall(t *testing.T) {
	clock := clockwork.NewFakeClock()
	address, arrived, _ := silentServer(t)
	ended := runInBackground(context.Background(), newTestClient(t, clock), timed(clock, plainCall(address)), nil)
	receive(t, arrived)
	clock.Advance(stallTimeout)
	expectFailure(t, receive(t, ended).failure, chuterequest.FailureStalled, false)
}

// The registrar gets the answer of a slow publication. It can't be sent again,
// so giving it up after the stall timeout would only turn it into Unknown.
func TestSlowUnrepeatableCall(t *testing.T) {
	clock := clockwork.NewFakeClock()
	arrived, proceed := make(chan bool, 1), make(chan bool)
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		arrived <- true
		<-proceed
		send(w, plainBody(ours))
	})
	call := timed(clock, plainCall(address))
	call.Unrepeatable = true
	ended := runInBackground(context.Background(), newTestClient(t, clock), call, nil)
	receive(t, arrived)
	clock.Advance(callTime - 1)
	close(proceed)
	end := receive(t, ended)
	expectAnswered(t, end.result, end.failure)
}

// The next caller must not lose a stall timeout too. Two connections are idle
// when a third goes silent: the idle ones may have been lost track of as well,
// so the next call dials.
func TestStallDropsIdleConnections(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var silent atomic.Bool
	remotes := make(chan string, 9)
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		remotes <- r.RemoteAddr
		if silent.CompareAndSwap(true, false) {
			<-r.Context().Done()

			return
		}
		for len(remotes) == 1 {
			time.Sleep(time.Millisecond) // until the two calls of the start are side by side
		}
		send(w, plainBody(ours))
	})
	client := newTestClient(t, clock)
	first := runInBackground(context.Background(), client, plainCall(address), nil)
	second := runInBackground(context.Background(), client, plainCall(address), nil)
	qt.Assert(t, receive(t, first).failure, qt.IsNil)
	qt.Assert(t, receive(t, second).failure, qt.IsNil)
	pooled := map[string]bool{<-remotes: true, <-remotes: true}

	silent.Store(true)
	third := runInBackground(context.Background(), client, timed(clock, plainCall(address)), nil)
	qt.Check(t, pooled[receive(t, remotes)], qt.IsTrue)
	clock.Advance(stallTimeout)
	expectFailure(t, receive(t, third).failure, chuterequest.FailureStalled, false)

	remotes <- "makes the handler wait for nobody"
	result, failure := client.Run(context.Background(), plainCall(address), nil)
	expectAnswered(t, result, failure)
	<-remotes
	qt.Check(t, pooled[receive(t, remotes)], qt.IsFalse)
}

// The caller's node stops waiting (a hedge won, or the caller left). The engine
// is told by name, a plain service by its connection closing.
func TestCancel(t *testing.T) {
	t.Run("stream", func(t *testing.T) {
		address, arrived, cancelled := silentServer(t, tokenFrame(ours, 0, "a"))
		ctx, cancel := context.WithCancel(context.Background())
		ended := runInBackground(ctx, newTestClient(t, clockwork.NewFakeClock()), streamCall(address), nil)
		receive(t, arrived)
		cancel()
		expectFailure(t, receive(t, ended).failure, chuterequest.FailureCancelled, false)
		qt.Check(t, receive(t, cancelled), qt.Equals, string(ours))
	})
	t.Run("plain", func(t *testing.T) {
		arrived, closed := make(chan bool, 1), make(chan bool, 1)
		address := serve(t, func(_ http.ResponseWriter, r *http.Request) {
			arrived <- true
			<-r.Context().Done()
			closed <- true
		})
		ctx, cancel := context.WithCancel(context.Background())
		ended := runInBackground(ctx, newTestClient(t, clockwork.NewFakeClock()), plainCall(address), nil)
		receive(t, arrived)
		cancel()
		expectFailure(t, receive(t, ended).failure, chuterequest.FailureCancelled, false)
		receive(t, closed)
	})
	t.Run("before anything was sent", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, failure := newTestClient(t, clockwork.NewFakeClock()).Run(ctx, plainCall("127.0.0.1:1"), nil)
		expectFailure(t, failure, chuterequest.FailureCancelled, true)
	})
	t.Run("client closed", func(t *testing.T) {
		address, arrived, _ := silentServer(t)
		client := newTestClient(t, clockwork.NewFakeClock())
		ended := runInBackground(context.Background(), client, plainCall(address), nil)
		receive(t, arrived)
		client.Close()
		expectFailure(t, receive(t, ended).failure, chuterequest.FailureCancelled, false)
		_, failure := client.Run(context.Background(), plainCall(address), nil)
		expectFailure(t, failure, chuterequest.FailureCancelled, true)
	})
}

// Teams must see what abandoned work cost. The engine hears the cancel and ends
// its stream with its usage; the token counted in Run's Result is not told twice.
func TestLateUsage(t *testing.T) {
	cancelled, arrived := make(chan string, 1), make(chan bool, 1)
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == cancelPath {
			noteCancel(r, cancelled)

			return
		}
		writeFrames(w, tokenFrame(ours, 0, "a"))
		arrived <- true
		<-cancelled
		writeFrames(w, tokenFrame(ours, 1, "b"), lastFrame(2, "ab", 2))
	})
	late := make(chan chuterequest.Usage, 2)
	client := newTestClient(t, clockwork.NewFakeClock())
	client.OnLateUsage = func(_ chuterequest.AttemptID, usage chuterequest.Usage) { late <- usage }
	ctx, cancel := context.WithCancel(context.Background())
	tokens := make(chan Token, 9)
	ended := runInBackground(ctx, client, streamCall(address), func(token Token) { tokens <- token })
	receive(t, arrived)
	receive(t, tokens)
	cancel()
	end := receive(t, ended)
	expectFailure(t, end.failure, chuterequest.FailureCancelled, false)
	qt.Check(t, end.result.Usage, qt.Equals, chuterequest.Usage{Units: 1})
	qt.Check(t, receive(t, late), qt.Equals, chuterequest.Usage{Units: 1, PromptUnits: 8, CachedUnits: 5})
	client.Close()
	qt.Check(t, tokens, qt.HasLen, 0, qt.Commentf("no token may come after Run returned"))
	qt.Check(t, late, qt.HasLen, 0)
}

// A registrar was told Unknown at the deadline. The publication's answer comes
// a moment later and is handed on, so that asking again can be answered.
func TestLateResult(t *testing.T) {
	clock := clockwork.NewFakeClock()
	arrived, proceed := make(chan bool, 1), make(chan bool)
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		arrived <- true
		<-proceed
		send(w, plainBody(ours))
	})
	late := make(chan Result, 1)
	client := newTestClient(t, clock)
	client.OnLateResult = func(_ Call, result Result) { late <- result }
	call := timed(clock, plainCall(address))
	call.Unrepeatable = true
	ended := runInBackground(context.Background(), client, call, nil)
	receive(t, arrived)
	clock.Advance(callTime)
	expectFailure(t, receive(t, ended).failure, chuterequest.FailureExpired, false)
	close(proceed)
	expectAnswered(t, receive(t, late), nil)
}
