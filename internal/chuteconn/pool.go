package chuteconn

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"azurechute.example/azurechute/internal/chuteanswer"
)

const (
	// dialTimeout bounds the opening of a connection. It covers several round trips inside a
	// region and is short against the target times of callers, who wait for it when an
	// upstream is gone.
	dialTimeout = 350 * time.Millisecond
	// maxIdleTime is how long an idle connection is kept; upstreams that close idle connections
	// sooner announce that in their responses.
	maxIdleTime = 8 * time.Second
	// maxIdlePerAddress bounds the idle connections to one address.
	maxIdlePerAddress = 32
	// unackedTimeout is how long sent bytes may stay unacknowledged. keepaliveIdle,
	// keepaliveInterval and keepaliveCount set the TCP keepalive, which detects a silent peer
	// when no bytes are in flight. A vanished host, or a connection whose state a device on the
	// path has lost, is detected after 3 s instead of hours.
	unackedTimeout    = 2 * time.Second
	keepaliveIdle     = time.Second
	keepaliveInterval = time.Second
	keepaliveCount    = 2
	// readBufferSize is in bytes and suffices for a usual response head.
	readBufferSize = 4 << 10
	// maxHeadBytes bounds the heads of one response, interim ones included; what is read ahead into the buffer does not
	// count.
	maxHeadBytes = 64 << 10
)

// Pool keeps connections to upstreams by address.
type Pool struct {
	// Dial opens connections; it may be replaced before the pool is first used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Now returns the time that the idle time of connections is computed from.
	Now func() time.Time

	mu   sync.Mutex
	idle map[string][]*conn
}

// conn is one connection; one exchange uses it at a time.
type conn struct {
	net.Conn
	pool    *Pool
	address string
	source  *limitedSource
	reader  *bufio.Reader
	// idleSince is when the connection became idle, idleLimit how long it may stay idle.
	idleSince time.Time
	idleLimit time.Duration
	reused    bool
}

// NewPool returns an empty pool that dials TCP; now returns the current time.
func NewPool(now func() time.Time) *Pool {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepaliveIdle, Interval: keepaliveInterval, Count: keepaliveCount,
		},
		Control: setUnackedTimeout,
	}

	return &Pool{Dial: dialer.DialContext, Now: now, idle: map[string][]*conn{}}
}

// setUnackedTimeout makes the kernel close a connection whose sent bytes stay unacknowledged.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}

	return optionErr
}

// acquire returns an idle connection or opens a new one; fresh asks for a new one.
func (p *Pool) acquire(ctx context.Context, address string, fresh bool) (*conn, error) {
	for !fresh {
		c := p.popIdle(address)
		if c == nil {
			break
		}
		if c.isReusable() {
			c.reused = true

			return c, nil
		}
		c.close()
	}
	opened, err := p.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}

	source := &limitedSource{Reader: chuteanswer.NewReader(opened)}

	return &conn{
		Conn: opened, pool: p, address: address, idleLimit: maxIdleTime, source: source,
		reader: bufio.NewReaderSize(source, readBufferSize),
	}, nil
}

// popIdle removes and returns the most recently used idle connection of an address. It returns nil
// if there is none or if that connection has expired.
func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()

	idleConns := p.idle[address]
	if len(idleConns) == 0 {
		return nil
	}
	c := idleConns[len(idleConns)-1]
	p.idle[address] = idleConns[:len(idleConns)-1]
	if p.Now().Sub(c.idleSince) >= c.idleLimit {
		// All others have been idle for longer.
		for _, expired := range idleConns {
			expired.close()
		}
		delete(p.idle, address)

		return nil
	}

	return c
}

// putIdle keeps a connection for the next exchange, or closes it if the address has enough.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if len(p.idle[c.address]) >= maxIdlePerAddress {
		c.close()

		return
	}
	c.idleSince = p.Now()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseIdle closes the idle connections to an address, for instance after one of them went
// silent: a device that has lost the state of one connection may have lost that of all.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, c := range p.idle[address] {
		c.close()
	}
	delete(p.idle, address)
}

// CloseExpired closes the connections that have been idle for their limit or longer.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()

	now := p.Now()
	for address, idleConns := range p.idle {
		var unexpired []*conn
		for _, c := range idleConns {
			if now.Sub(c.idleSince) < c.idleLimit {
				unexpired = append(unexpired, c)
			} else {
				c.close()
			}
		}
		if len(unexpired) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = unexpired
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()

	for address, idleConns := range p.idle {
		for _, c := range idleConns {
			c.close()
		}
		delete(p.idle, address)
	}
}

// isReusable reports whether an idle connection is still open and has no unread bytes.
//
// Bytes that arrive while no response is due belong to no request. Read as the start of the
// next response, they would reach the wrong caller.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	isOpenAndEmpty := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isOpenAndEmpty = recvErr == unix.EAGAIN

		return true
	})

	return err == nil && isOpenAndEmpty
}

// reset closes the connection and discards what the upstream has not received yet. After a plain close the kernel goes
// on sending it: an upstream behind a network partition would get a request that was given up seconds before.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// The connection is given up either way.
		_ = tcp.SetLinger(0)
	}
	c.close()
}

// close closes the connection; its error is ignored because no caller could act on it.
func (c *conn) close() {
	_ = c.Close()
}
