package chutegate

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chuterelay"
)

// heldBody is the body of a stream that goes on, or ends with an error, only when a channel is closed.
type heldBody struct {
	io.Reader

	goOn <-chan struct{}
	// ctx ends the body as a closed connection does.
	ctx context.Context //nolint:containedctx // the call's context, as the transport has it
}

func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 || err != io.EOF {
		return n, err
	}
	select {
	case <-b.goOn:
		return 0, io.EOF
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
}

func (*heldBody) Close() error {
	return nil
}

// newOverdueNode returns a node whose calls are answered by exchange, with a request; its event loop does not run.
func newOverdueNode(t *testing.T, exchange func(ctx context.Context) (Answer, error)) (*Node, *request, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	n := New(Settings{}, clock, zerolog.Nop(), Store{}, Decoders{}, Upstreams{
		Exchange: func(ctx context.Context, _ Call) (Answer, error) { return exchange(ctx) },
	})
	t.Cleanup(n.Stop)
	req := newTestRequest()
	n.requests[1] = req

	return n, req, clock
}

func nextEvent[E chuterelay.Event](c *qt.C, n *Node) E {
	c.Helper()
	select {
	case msg := <-n.messages:
		if msg.prepare != nil {
			msg.prepare()
		}
		event, ok := msg.relayEvent.(E)
		c.Assert(ok, qt.IsTrue, qt.Commentf("%T", msg.relayEvent))

		return event
	case <-time.After(10 * time.Second):
		c.Fatal("no event")
		panic("unreachable")
	}
}

func TestAbandonSend(t *testing.T) {
	t.Run("a call that waits for its first event is given up", func(t *testing.T) {
		// Guards against a request that stays without a call: the reducer waits for this event.
		c := qt.New(t)
		n, _, _ := newOverdueNode(t, func(ctx context.Context) (Answer, error) {
			<-ctx.Done()

			return Answer{}, &SendError{Unsent: true, Err: ctx.Err()}
		})
		n.startSend(chuterelay.Send{Handle: 1, Attempt: 7, Streams: true})
		n.abandonSend(chuterelay.AbandonSend{Handle: 1, Attempt: 7})
		ended := nextEvent[chuterelay.AttemptEnded](c, n)
		c.Assert(ended.End, qt.Equals, chuterelay.EndOverdue)
		c.Assert(ended.Attempt, qt.Equals, uint64(7))
		c.Assert(ended.UpstreamEnded, qt.IsFalse)
	})

	t.Run("a first event that crosses the decision wins", func(t *testing.T) {
		// Guards against a second answer behind the first event of one that was given up.
		c := qt.New(t)
		goOn := make(chan struct{})
		n, req, _ := newOverdueNode(t, func(ctx context.Context) (Answer, error) {
			answer := eventsAnswer("")
			answer.Body = &heldBody{Reader: strings.NewReader("id: 0\ndata: a\n\n"), goOn: goOn, ctx: ctx}

			return answer, nil
		})
		n.startSend(chuterelay.Send{Handle: 1, Attempt: 7, Streams: true})
		nextEvent[chuterelay.AttemptBegan](c, n)
		n.abandonSend(chuterelay.AbandonSend{Handle: 1, Attempt: 7})
		close(goOn)
		c.Assert(nextEvent[chuterelay.AttemptEnded](c, n).End, qt.Equals, chuterelay.EndAnswered)
		c.Assert(req.pieces, qt.HasLen, 2)
	})

	t.Run("a stream that has begun is given up if that is known", func(t *testing.T) {
		// Guards against a stalled stream that is never continued, and against its events being counted as none.
		c := qt.New(t)
		n, _, _ := newOverdueNode(t, func(ctx context.Context) (Answer, error) {
			answer := eventsAnswer("")
			answer.Body = &heldBody{Reader: strings.NewReader("id: 0\ndata: a\n\nid: 1\ndata: b\n\n"), ctx: ctx}

			return answer, nil
		})
		n.startSend(chuterelay.Send{Handle: 1, Attempt: 7, Streams: true})
		nextEvent[chuterelay.AttemptBegan](c, n)
		running, _ := n.runningAttempt(1, 7)
		for events := 0; events < 2; events, _ = running.progress.read(n.Now()) {
			time.Sleep(time.Millisecond)
		}
		n.abandonSend(chuterelay.AbandonSend{Handle: 1, Attempt: 7, Begun: true})
		ended := nextEvent[chuterelay.AttemptEnded](c, n)
		c.Assert(ended.End, qt.Equals, chuterelay.EndOverdue)
		c.Assert(ended.Events, qt.Equals, 2)
	})

	t.Run("nothing of a call that was given up is passed on", func(t *testing.T) {
		// Guards against an event that arrives between the decision and the end of the call.
		c := qt.New(t)
		n, req, _ := newOverdueNode(t, nil)
		a := &attempt{node: n, request: req, progress: &progress{}}
		c.Assert(a.progress.abandon(false), qt.IsTrue)
		ctx, cancel := context.WithCancelCause(context.Background())
		time.AfterFunc(10*time.Millisecond, func() { cancel(errOverdue) })
		_, err := a.relayStream(ctx, eventsAnswer("id: 0\ndata: a\n\n"))
		c.Assert(err, qt.Equals, errOverdue)
		c.Assert(req.pieces, qt.HasLen, 0)
	})

	t.Run("an answer that is complete by then is delivered", func(t *testing.T) {
		// Guards against an answer that is ready and thrown away.
		c := qt.New(t)
		ctx, cancel := context.WithCancelCause(context.Background())
		cancel(errOverdue)
		ended, report := afterCancel(ctx, chuterelay.AttemptEnded{End: chuterelay.EndAnswered})
		c.Assert(report, qt.IsTrue)
		c.Assert(ended.End, qt.Equals, chuterelay.EndAnswered)
	})
}

func TestScheduleCheck(t *testing.T) {
	t.Run("a later check replaces an earlier one, and an end all of them", func(t *testing.T) {
		// Guards against timers that outlive their calls: at hundreds of calls a second they would be most of the events.
		c := qt.New(t)
		n, req, clock := newOverdueNode(t, func(ctx context.Context) (Answer, error) {
			<-ctx.Done()

			return Answer{}, &SendError{Unsent: true, Err: ctx.Err()}
		})
		n.startSend(chuterelay.Send{Handle: 1, Attempt: 7, Streams: true})
		first, second := n.Now().Add(time.Second), n.Now().Add(2*time.Second)
		n.scheduleCheck(chuterelay.CheckAttempt{Handle: 1, Attempt: 7, At: first})
		n.scheduleCheck(chuterelay.CheckAttempt{Handle: 1, Attempt: 7, At: second})
		req.attempts[7].progress.begin(n.Now())
		clock.Advance(2 * time.Second)
		checked := nextEvent[chuterelay.AttemptChecked](c, n)
		c.Assert(checked, qt.Equals, chuterelay.AttemptChecked{Handle: 1, Attempt: 7, DueAt: second, Events: 1, HeldUp: 2 * time.Second})
		n.scheduleCheck(chuterelay.CheckAttempt{Handle: 1, Attempt: 7, At: n.Now().Add(time.Second)})
		n.forgetRequest(1)
		clock.Advance(time.Minute)
		time.Sleep(10 * time.Millisecond)
		c.Assert(n.messages, qt.HasLen, 0)
		n.scheduleCheck(chuterelay.CheckAttempt{Handle: 1, Attempt: 7, At: n.Now()})
		c.Assert(n.messages, qt.HasLen, 0)
	})

	t.Run("the time that the caller takes is told apart", func(t *testing.T) {
		// Guards against an engine that is blamed for a caller who reads slowly.
		c := qt.New(t)
		now := time.Unix(1000, 0)
		p := &progress{}
		c.Assert(p.begin(now), qt.IsTrue)
		_, heldUp := p.read(now.Add(time.Second))
		c.Assert(heldUp, qt.Equals, time.Second)
		p.passedOn(now.Add(2 * time.Second))
		c.Assert(p.begin(now.Add(3*time.Second)), qt.IsTrue)
		// A clock that goes back takes nothing away.
		p.passedOn(now)
		events, heldUp := p.read(now.Add(9 * time.Second))
		c.Assert(events, qt.Equals, 2)
		c.Assert(heldUp, qt.Equals, 2*time.Second)
	})
}
