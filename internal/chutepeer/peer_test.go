package chutepeer

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/samber/oops"
	"go.uber.org/goleak"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"azurechute.example/azurechute/internal/chutemember"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// answers are handlers with fixed answers.
func answers() Handlers {
	return Handlers{
		OnExchange: func(_ context.Context, from string, digest chutemember.Digest, delta chutemember.Delta) chutemember.Delta {
			delta.Marks = append(delta.Marks, chutemember.MarkNews{
				LeavingMark: chutemember.LeavingMark{Upstream: from, Incarnation: string(digest.Scope)},
			})
			return delta
		},
		OnFetchConfig: func(_ context.Context, version uint64) ([]byte, bool) {
			return []byte(strings.Repeat("body ", 10_000)), version == 7
		},
		OnClaimStatus: func(_ context.Context, workspace, requestID string) (string, bool) {
			return "Done " + workspace + "/" + requestID, requestID == "r"
		},
	}
}

func startServer(t testing.TB, settings Settings, handlers Handlers) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := NewServer(settings, handlers, zerolog.Nop())
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		server.Close(ended)
		qt.Assert(t, <-served, qt.IsNil)
	})
	return listener.Addr().String()
}

func startClient(t testing.TB, settings Settings) (*Client, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	client := NewClient(settings, clock, zerolog.Nop())
	t.Cleanup(client.Close)
	return client, clock
}

// bounded ends a hanging test; nothing is expected to come near it.
func bounded(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

func expectAnswer(ctx context.Context, t testing.TB, client *Client, address string) {
	t.Helper()
	from, reply, err := client.Exchange(ctx, address, chutemember.Digest{Scope: chutemember.ScopeNews}, chutemember.Delta{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, from, qt.Equals, "callee")
	qt.Assert(t, reply.Marks[0].LeavingMark, qt.Equals, chutemember.LeavingMark{Upstream: "caller", Incarnation: "News"})
}

func TestCalls(t *testing.T) {
	address := startServer(t, DefaultSettings("kura", "callee"), answers())
	client, _ := startClient(t, DefaultSettings("kura", "caller"))
	ctx := bounded(t)
	t.Run("exchange", func(t *testing.T) {
		expectAnswer(ctx, t, client, address)
	})
	t.Run("fetch config", func(t *testing.T) {
		body, ok, err := client.FetchConfig(ctx, address, 7)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, len(body), qt.Equals, 50_000)
		_, ok, err = client.FetchConfig(ctx, address, 8)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, ok, qt.IsFalse)
	})
	t.Run("claim status", func(t *testing.T) {
		state, known, err := client.ClaimStatus(ctx, address, "w", "r")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, known, qt.IsTrue)
		qt.Assert(t, state, qt.Equals, "Done w/r")
	})
	t.Run("closed", func(t *testing.T) {
		client.Close()
		_, _, err := client.ClaimStatus(ctx, address, "w", "r")
		qt.Assert(t, err, qt.ErrorIs, ErrClosed)
	})
}

func TestOtherSite(t *testing.T) {
	// A node is given an address of another site by mistake. Both would merge
	// members, configuration and ledgers of the two; instead nothing of the call
	// reaches the callee's handlers, and the caller is told.
	handlers := answers()
	handlers.OnExchange = func(context.Context, string, chutemember.Digest, chutemember.Delta) chutemember.Delta {
		t.Error("the call was let in")
		return chutemember.Delta{}
	}
	address := startServer(t, DefaultSettings("kura", "callee"), handlers)
	client, _ := startClient(t, DefaultSettings("hivatal", "caller"))
	_, _, err := client.Exchange(bounded(t), address, chutemember.Digest{}, chutemember.Delta{})
	qt.Assert(t, err, qt.ErrorIs, ErrOtherSite)
}

func TestSilentConnection(t *testing.T) {
	// A connection has worked; then something between the two nodes loses track
	// of it: it stays open, and neither end hears anything again, while new ones
	// work. The next call runs out of time on it, is tried again on a new
	// connection and gets its answer; the silent one takes no further call.
	address := startServer(t, DefaultSettings("kura", "callee"), answers())
	relay := newRelay(t, address)
	client, clock := startClient(t, DefaultSettings("kura", "caller"))
	ctx := bounded(t)
	expectAnswer(ctx, t, client, relay.address())
	relay.silence()

	done := make(chan struct{})
	go func() {
		defer close(done)
		expectAnswer(ctx, t, client, relay.address())
	}()
	qt.Assert(t, clock.BlockUntilContext(ctx, 1), qt.IsNil)
	clock.Advance(client.settings.Timeout)
	<-done
	expectAnswer(ctx, t, client, relay.address())
	qt.Assert(t, relay.accepted.Load(), qt.Equals, int32(2))
}

func TestSlowCallSurvivesReplacement(t *testing.T) {
	// Two calls share a connection to a slow peer. The one with the shorter
	// timeout gives up on the connection; the other is still being worked on
	// there and must get its answer, not an error for a closed connection.
	handlers := answers()
	finish, started := make(chan struct{}), make(chan struct{})
	handlers.OnFetchConfig = func(context.Context, uint64) ([]byte, bool) {
		close(started)
		<-finish
		return []byte("late"), true
	}
	stalled := make(chan struct{}, 1)
	var calls atomic.Int32
	handlers.OnClaimStatus = func(ctx context.Context, _, _ string) (string, bool) {
		if calls.Add(1) == 1 {
			stalled <- struct{}{}
			<-ctx.Done()
		}
		return "Done", true
	}
	address := startServer(t, DefaultSettings("kura", "callee"), handlers)
	client, clock := startClient(t, DefaultSettings("kura", "caller"))
	ctx := bounded(t)
	expectAnswer(ctx, t, client, address)

	late := make(chan string, 1)
	go func() {
		body, _, err := client.FetchConfig(ctx, address, 7)
		qt.Check(t, err, qt.IsNil)
		late <- string(body)
	}()
	<-started
	quick := make(chan string, 1)
	go func() {
		state, _, err := client.ClaimStatus(ctx, address, "w", "r")
		qt.Check(t, err, qt.IsNil)
		quick <- state
	}()
	<-stalled
	clock.Advance(client.settings.Timeout)
	qt.Assert(t, <-quick, qt.Equals, "Done")
	close(finish)
	qt.Assert(t, <-late, qt.Equals, "late")
}

func TestFailedCalls(t *testing.T) {
	ctx := bounded(t)
	client, clock := startClient(t, DefaultSettings("kura", "caller"))
	t.Run("peer is down", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		address := listener.Addr().String()
		qt.Assert(t, listener.Close(), qt.IsNil)
		_, _, err = client.ClaimStatus(ctx, address, "w", "r")
		problem, ok := oops.AsOops(err)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, problem.Context(), qt.DeepEquals, map[string]any{"step": "claim status", "peer": address})
	})
	t.Run("peer never answers", func(t *testing.T) {
		// The listener takes connections and says nothing, as a frozen process does.
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = listener.Close() }()
		failed := make(chan error, 1)
		go func() {
			_, _, err := client.ClaimStatus(ctx, listener.Addr().String(), "w", "r")
			failed <- err
		}()
		qt.Assert(t, clock.BlockUntilContext(ctx, 1), qt.IsNil)
		clock.Advance(client.settings.Timeout)
		qt.Assert(t, <-failed, qt.ErrorIs, ErrTimeout)
	})
	t.Run("message too large", func(t *testing.T) {
		handlers := answers()
		handlers.OnFetchConfig = func(context.Context, uint64) ([]byte, bool) {
			return bytes.Repeat([]byte{0}, DefaultSettings("", "").MaxConfigBytes+1), true
		}
		address := startServer(t, DefaultSettings("kura", "callee"), handlers)
		rows := chutemember.Delta{Rows: []chutemember.LedgerRow{{Body: make([]byte, 1<<20)}}}
		_, _, err := client.Exchange(ctx, address, chutemember.Digest{}, rows)
		qt.Assert(t, status.Code(err), qt.Equals, codes.ResourceExhausted)
		_, _, err = client.FetchConfig(ctx, address, 7)
		qt.Assert(t, status.Code(err), qt.Equals, codes.ResourceExhausted)
	})
}
