package chutegate

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chuterelay"
)

// eventsAnswer is a stream of some events.
func eventsAnswer(text string) Answer {
	return Answer{Status: http.StatusOK, Signed: true, Events: true, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(text))}
}

func newEntry() *entry {
	return &entry{
		incoming: &Incoming{}, moves: make(chan move, eventBacklog), final: make(chan final, 1),
		attempts: map[uint64]context.CancelFunc{}, answers: map[uint64]whole{}, lastEvent: -1,
	}
}

func TestCancelledAttempt(t *testing.T) {
	t.Run("nothing of a cancelled attempt reaches the caller", func(t *testing.T) {
		// An upstream starts again just as its first event is there. The call is cancelled
		// and goes on elsewhere. If the head of the answer is dropped and the event is not,
		// the caller gets events under a status and headers that no upstream gave.
		c := qt.New(t)
		n := New(Settings{}, clockwork.NewFakeClock(), zerolog.Nop(), Store{}, Decoders{}, Upstreams{})
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		for range 100 {
			e := newEntry()
			a := &attempt{node: n, entry: e}
			_, err := a.pass(ctx, eventsAnswer("id: 0\ndata: a\n\n"))
			c.Assert(err, qt.IsNotNil)
			c.Assert(e.moves, qt.HasLen, 0)
			c.Assert(e.begun, qt.IsFalse)
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
		n.entries[1] = newEntry()
		n.startSend(chuterelay.Send{Handle: 1, Attempt: 1, Priority: 1})
		<-begun
		n.cancelSend(chuterelay.CancelSend{Handle: 1, Attempt: 1})
		n.startSend(chuterelay.Send{Handle: 1, Attempt: 2, Priority: 2})
		time.AfterFunc(20*time.Millisecond, func() { close(held) })
		c.Assert(<-second, qt.IsTrue)
	})
}
