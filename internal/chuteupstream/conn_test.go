package chuteupstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"azurechute.example/azurechute/internal/chuterequest"
)

// The caller hears "not run" and may safely repeat an enrolment. Nobody listens
// at the address, so no connection came about and no byte left this node.
func TestDialRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := listener.Addr().String()
	qt.Assert(t, listener.Close(), qt.IsNil)
	for _, unrepeatable := range []bool{false, true} {
		call := plainCall(address)
		call.Unrepeatable = unrepeatable
		_, failure := newTestClient(t, clockwork.NewFakeClock()).Run(context.Background(), call, nil)
		expectFailure(t, failure, chuterequest.FailureUnreachable, true)
	}
}

// The caller of a posted reply must not find it posted twice. The upstream
// answers one call, reads the next on the kept-alive connection, runs it and
// dies before it answers. That is where HTTP clients like to send a request
// again by themselves. The call must end as Broken, after one delivery.
func TestPostIsNeverReplayed(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset=%v", reset), func(t *testing.T) {
			var requests, conns atomic.Int32
			address := serveRaw(t, func(conn net.Conn, n int) {
				defer hangUp(conn)
				conns.Store(int32(n))
				for readRequest(conn) {
					if requests.Add(1) > 1 {
						if reset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}

						return
					}
					answerRaw(conn)
				}
			})
			client := newTestClient(t, clockwork.NewFakeClock())
			result, failure := client.Run(context.Background(), plainCall(address), nil)
			expectAnswered(t, result, failure)
			_, failure = client.Run(context.Background(), plainCall(address), nil)
			expectFailure(t, failure, chuterequest.FailureBroken, false)
			qt.Check(t, requests.Load(), qt.Equals, int32(2))
			qt.Check(t, conns.Load(), qt.Equals, int32(1), qt.Commentf("the second call must have used the kept-alive connection"))
		})
	}
}

// deadConn takes no byte once dead is set, as a connection that the peer has reset.
type deadConn struct {
	net.Conn
	dead *atomic.Bool
}

func (c deadConn) Write(b []byte) (int, error) {
	if c.dead.Load() {
		return 0, net.ErrClosed
	}

	return c.Conn.Write(b)
}

// The caller sees no failure when an upstream has restarted between two calls.
// The pooled connection is dead and takes no byte, so sending the call once
// more on a new connection is no second run.
func TestDeadPooledConnection(t *testing.T) {
	var requests atomic.Int32
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		send(w, plainBody(ours))
	})
	client := newTestClient(t, clockwork.NewFakeClock())
	dial, dials, dead := client.Dial, 0, &atomic.Bool{}
	client.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		conn, err := dial(ctx, network, address)
		if dials > 1 {
			return conn, err
		}

		return deadConn{Conn: conn, dead: dead}, err
	}
	for range 2 {
		result, failure := client.Run(context.Background(), plainCall(address), nil)
		expectAnswered(t, result, failure)
		dead.Store(true)
	}
	qt.Check(t, dials, qt.Equals, 2)
	qt.Check(t, requests.Load(), qt.Equals, int32(2))
}

// The caller hears "not run": the connection came about but took no byte.
func TestNothingWritten(t *testing.T) {
	client := newTestClient(t, clockwork.NewFakeClock())
	dial, dead := client.Dial, &atomic.Bool{}
	dead.Store(true)
	client.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)

		return deadConn{Conn: conn, dead: dead}, err
	}
	call := plainCall(serve(t, func(http.ResponseWriter, *http.Request) {}))
	call.Unrepeatable = true
	_, failure := client.Run(context.Background(), call, nil)
	expectFailure(t, failure, chuterequest.FailureUnreachable, true)
}

// The connection comes about just after the caller was told "not run". Nothing
// may be written on it any more.
func TestConnectionAfterNotTaken(t *testing.T) {
	near, far := net.Pipe()
	defer hangUp(far)
	defer hangUp(near)
	a := newAttempt(context.Background(), newTestClient(t, clockwork.NewFakeClock()), plainCall(""), nil)
	a.giveUp(nil)
	_, failure := a.await()
	expectFailure(t, failure, chuterequest.FailureCancelled, true)
	conn := &trackedConn{Conn: near}
	a.gotConn(httptrace.GotConnInfo{Conn: conn}, true)
	_, err := conn.Write([]byte("POST"))
	qt.Check(t, err, qt.ErrorIs, net.ErrClosed)
}

// Streams in a row share a connection: its end is read after Run returned.
func TestStreamConnectionIsReused(t *testing.T) {
	remotes := make(chan string, 2)
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		remotes <- r.RemoteAddr
		writeFrames(w, lastFrame(0, "", 0))
	})
	client := newTestClient(t, clockwork.NewFakeClock())
	for range 2 {
		_, failure := client.Run(context.Background(), streamCall(address), nil)
		qt.Assert(t, failure, qt.IsNil)
		client.running.Wait()
	}
	qt.Check(t, <-remotes, qt.Equals, <-remotes)
}

// The caller gets an answer, not Unknown, even when all pooled connections are
// stale: an unrepeatable call always has a connection of its own.
func TestUnrepeatableDials(t *testing.T) {
	var conns atomic.Int32
	address := serveRaw(t, func(conn net.Conn, n int) {
		defer hangUp(conn)
		conns.Store(int32(n))
		for readRequest(conn) {
			answerRaw(conn)
		}
	})
	client := newTestClient(t, clockwork.NewFakeClock())
	for i, unrepeatable := range []bool{false, false, true, true} {
		call := plainCall(address)
		call.Unrepeatable = unrepeatable
		result, failure := client.Run(context.Background(), call, nil)
		expectAnswered(t, result, failure)
		qt.Check(t, conns.Load(), qt.Equals, int32(max(1, i)))
	}
}

// The caller hears Unknown, not "not run", when the upstream vanishes with the
// request in hand.
func TestBrokenAfterBytesWritten(t *testing.T) {
	partial := "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"AttemptID\""
	for _, answer := range []string{"", "HTTP/1.1 2", partial} {
		address := serveRaw(t, func(conn net.Conn, _ int) {
			defer hangUp(conn)
			if !readRequest(conn) {
				return
			}
			send(conn, answer)
		})
		call := plainCall(address)
		call.Unrepeatable = true
		_, failure := newTestClient(t, clockwork.NewFakeClock()).Run(context.Background(), call, nil)
		expectFailure(t, failure, chuterequest.FailureBroken, false)
	}
}

func TestSeal(t *testing.T) {
	near, far := net.Pipe()
	defer hangUp(far)
	conn := &trackedConn{Conn: near}
	defer hangUp(conn)
	t.Run("an unwritten call stays unwritten", func(t *testing.T) {
		conn.begin(true)
		qt.Assert(t, conn.sealUnwritten(), qt.IsTrue)
		_, err := conn.Write([]byte("POST"))
		qt.Check(t, err, qt.ErrorIs, net.ErrClosed)
	})
	t.Run("a byte on its way counts as written", func(t *testing.T) {
		conn.sealed, conn.writing = false, true
		qt.Check(t, conn.sealUnwritten(), qt.IsFalse)
	})
	t.Run("a connection not dialled here counts as written", func(t *testing.T) {
		qt.Check(t, asTracked(near).sealUnwritten(), qt.IsFalse)
	})
}
