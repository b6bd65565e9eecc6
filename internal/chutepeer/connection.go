package chutepeer

import (
	"context"
	"net"
	"sync"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

// connection is the library's connection to one address with its use.
type connection struct {
	address string
	grpc    *grpc.ClientConn
	// calls, proven and retired are guarded by connections.mu.
	calls   int
	proven  bool
	retired bool
}

// connections holds one connection an address, and retired ones until their last call ends.
type connections struct {
	settings Settings
	dialer   net.Dialer

	mu     sync.Mutex
	closed bool
	byAddr map[string]*connection
	all    map[*connection]struct{}
}

func newConnections(settings Settings) *connections {
	return &connections{
		settings: settings,
		byAddr:   make(map[string]*connection),
		all:      make(map[*connection]struct{}),
	}
}

// acquire returns the address's connection for one call, which release ends.
func (c *connections) acquire(address string) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	conn, ok := c.byAddr[address]
	if !ok {
		cc, err := c.open(address)
		if err != nil {
			return nil, err
		}
		conn = &connection{address: address, grpc: cc}
		c.byAddr[address] = conn
		c.all[conn] = struct{}{}
	}
	conn.calls++
	return conn, nil
}

// release ends a call and tells whether the connection had worked before.
func (c *connections) release(conn *connection, worked bool) (proven bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	proven = conn.proven
	conn.proven = conn.proven || worked
	conn.calls--
	c.closeUnused(conn)
	return proven
}

// retire takes a connection out of use: new calls get another, and it is closed
// when its last call ends, so that slow calls which do get answers are not cut off.
func (c *connections) retire(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.retired = true
	if c.byAddr[conn.address] == conn {
		delete(c.byAddr, conn.address)
	}
	c.closeUnused(conn)
}

// closeUnused closes a retired connection without calls; the caller holds mu.
func (c *connections) closeUnused(conn *connection) {
	if !conn.retired || conn.calls > 0 {
		return
	}
	if _, ok := c.all[conn]; ok {
		delete(c.all, conn)
		_ = conn.grpc.Close() // errs only when closed already
	}
}

func (c *connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.all {
		_ = conn.grpc.Close()
	}
	clear(c.all)
	clear(c.byAddr)
}

// open prepares a connection; the library dials at the first call.
func (c *connections) open(address string) (*grpc.ClientConn, error) {
	cc, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(c.dial),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(c.settings.IdleTimeout),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithSharedWriteBuffer(true),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(c.settings.MaxBytes), grpc.MaxCallSendMsgSize(c.settings.MaxBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:                c.settings.KeepaliveTime,
			Timeout:             c.settings.KeepaliveTimeout,
			PermitWithoutStream: true,
		}),
	)
	if err != nil {
		return nil, oops.In("peer").With("step", "open", "peer", address).Wrap(err)
	}
	return cc, nil
}

func (c *connections) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return countedConn{conn}, nil
}
