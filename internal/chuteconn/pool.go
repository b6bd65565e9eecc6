package chuteconn

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds a new connection: several round trips inside a region, and
	// short against the aims of callers, who wait for it when an upstream is gone.
	dialTimeout = 350 * time.Millisecond
	// maxIdleTime is how long a connection is kept without use; upstreams that close
	// sooner say so in their responses.
	maxIdleTime = 8 * time.Second
	// maxIdlePerAddress bounds the kept connections to one address.
	maxIdlePerAddress = 32
	// unackedTimeout is how long sent bytes may stay without acknowledgement, and
	// probeIdle, probeGap and probeCount how a silent peer is found out when nothing
	// is on its way: a host that vanished or a connection that something between
	// the ends has lost track of shows after 3 s in place of hours.
	unackedTimeout    = 2 * time.Second
	keepaliveIdle     = time.Second
	keepaliveInterval = time.Second
	keepaliveCount    = 2
	// readBufferSize holds a usual response head.
	readBufferSize = 4 << 10
)

// Pool keeps connections to upstreams by address.
type Pool struct {
	// Dial opens connections; it may be replaced before the first use.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Now tells the time by which idle connections age.
	Now func() time.Time

	mu   sync.Mutex
	idle map[string][]*conn
}

// conn is one connection; one exchange uses it at a time.
type conn struct {
	net.Conn
	pool    *Pool
	address string
	reader  *bufio.Reader
	// idleSince is when the connection became idle, life how long it may stay so.
	idleSince time.Time
	idleLimit time.Duration
	reused    bool
}

// NewPool returns an empty pool.
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

// setUnackedTimeout makes the kernel give a connection up whose bytes are not acknowledged.
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

// acquire returns a kept connection, or opens one.
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

	return &conn{
		Conn: opened, pool: p, address: address, idleLimit: maxIdleTime,
		reader: bufio.NewReaderSize(opened, readBufferSize),
	}, nil
}

// popIdle removes the connection that was used last, and drops those that are too old.
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
		// The others were used even longer ago.
		for _, expired := range idleConns {
			expired.close()
		}
		delete(p.idle, address)

		return nil
	}

	return c
}

// putIdle keeps a connection for the next exchange.
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

// CloseIdle closes the idle connections to an address, for instance after one of
// them went silent: what lost track of one may have lost track of all.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, c := range p.idle[address] {
		c.close()
	}
	delete(p.idle, address)
}

// CloseExpired closes the connections that were idle for too long.
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

// isReusable says whether an idle connection is still open and has brought nothing unasked.
//
// Bytes that arrive while no response is due belong to no request; taken as the
// next response's beginning they would reach the wrong caller.
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

// close ends the connection; an error on the way out changes nothing for anyone.
func (c *conn) close() {
	_ = c.Close()
}
