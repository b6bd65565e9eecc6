package chuteshare

import (
	"context"
	"net"
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
