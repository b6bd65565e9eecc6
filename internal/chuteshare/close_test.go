package chuteshare

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutefeed"
)

// stuckConn is a connection whose writes stop once stuck is closed, until it is closed itself.
type stuckConn struct {
	net.Conn

	stuck, closed chan struct{}
	closeOnce     func()
}

func (c *stuckConn) Write(p []byte) (int, error) {
	select {
	case <-c.stuck:
		<-c.closed

		return 0, net.ErrClosed
	default:
		return c.Conn.Write(p)
	}
}

func (c *stuckConn) Close() error {
	c.closeOnce()

	return c.Conn.Close()
}

// Guards against calls that wait for seconds because the connection to one peer, which reads nothing
// any more, takes that long to close.
func TestClosingStuckConnectionDelaysNoCall(t *testing.T) {
	c := qt.New(t)
	frozen, sound := startServer(t), startServer(t)
	client := newClient(t)
	stuck, closed := make(chan struct{}), make(chan struct{})
	client.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if address != frozen.address || err != nil {
			return conn, err
		}

		return &stuckConn{Conn: conn, stuck: stuck, closed: closed, closeOnce: sync.OnceFunc(func() { close(closed) })}, nil
	}
	expectAnswer := func(address string) {
		_, _, err := client.ReadTable(context.Background(), address, "t", chutefeed.Table{})
		c.Assert(err, qt.IsNil)
	}
	expectAnswer(frozen.address)
	conn, err := client.connTo(frozen.address)
	c.Assert(err, qt.IsNil)
	close(stuck)
	client.closeConn(frozen.address, conn)
	expectAnswer(sound.address)
	select {
	case <-closed:
		c.Fatal("the calls have waited until the connection was closed")
	default:
	}
}

// silentConn is a connection that carries nothing any more once lost is closed, as if a device between its ends had
// forgotten it. Closing it ends its reads.
type silentConn struct {
	net.Conn

	lost, closed chan struct{}
	closeOnce    func()
}

func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.lost:
		<-c.closed

		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *silentConn) Close() error {
	c.closeOnce()

	return c.Conn.Close()
}

// loseFirstConnection has the first connection of a client carry nothing any more once lost is closed, and counts the
// connections.
func loseFirstConnection(client *Client, lost chan struct{}) *int {
	connections := 0
	client.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if connections++; connections > 1 || err != nil {
			return conn, err
		}
		closed := make(chan struct{})

		return &silentConn{Conn: conn, lost: lost, closed: closed, closeOnce: sync.OnceFunc(func() { close(closed) })}, nil
	}

	return &connections
}

// Guards against forwarded requests that all fail by the same connection, which carries nothing any more: before the answer
// of one, and in its body.
func TestForwardAfterSilentConnection(t *testing.T) {
	for _, begun := range []bool{false, true} {
		t.Run(fmt.Sprint("the answer has begun: ", begun), func(t *testing.T) {
			c := qt.New(t)
			peer, client := startServer(t), newClient(t)
			lost := make(chan struct{})
			connections := loseFirstConnection(client, lost)
			peer.forward = func(ctx context.Context, r ForwardRequest, out ForwardOutput) {
				if r.ID == "next" || begun {
					_ = out.Begin(http.StatusOK, http.Header{})
				}
				if r.ID == "next" {
					_ = out.End()

					return
				}
				<-ctx.Done()
			}
			if !begun {
				_, _, err := client.ReadTable(context.Background(), peer.address, "t", chutefeed.Table{})
				c.Assert(err, qt.IsNil)
				close(lost)
			}
			answer, err := client.Forward(context.Background(), peer.address, ForwardRequest{ID: "lost"}, true)
			if begun {
				c.Assert(err, qt.IsNil)
				close(lost)
				_, err = io.ReadAll(answer.Body)
			}
			var failed *ForwardError
			c.Assert(errors.As(err, &failed), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(failed.Silent, qt.IsTrue)

			answer, err = client.Forward(context.Background(), peer.address, ForwardRequest{ID: "next"}, true)
			c.Assert(err, qt.IsNil)
			_, err = io.ReadAll(answer.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(*connections, qt.Equals, 2)
		})
	}
}
