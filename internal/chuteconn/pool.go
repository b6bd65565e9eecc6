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
	// idleLife is how long a connection is kept without use; upstreams that close
	// sooner say so in their responses.
	idleLife = 8 * time.Second
	// maxIdle bounds the kept connections to one address.
	maxIdle = 32
	// unackedLife is how long sent bytes may stay without acknowledgement, and
	// probeIdle, probeGap and probeCount how a silent peer is found out when nothing
	// is on its way: a host that vanished or a connection that something between
	// the ends has lost track of shows after 3 s in place of hours.
	unackedLife = 2 * time.Second
	probeIdle   = time.Second
	probeGap    = time.Second
	probeCount  = 2
	// bufferSize holds a usual response head.
	bufferSize = 4 << 10
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
	// usedAt is when the connection became idle, life how long it may stay so.
	usedAt time.Time
	life   time.Duration
	reused bool
}

// NewPool returns an empty pool.
func NewPool(now func() time.Time) *Pool {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeGap, Count: probeCount,
		},
		Control: boundUnacknowledged,
	}

	return &Pool{Dial: dialer.DialContext, Now: now, idle: map[string][]*conn{}}
}

// boundUnacknowledged makes the kernel give a connection up whose bytes are not acknowledged.
func boundUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLife.Milliseconds()))
	})
	if err != nil {
		return err
	}

	return failure
}

// get returns a kept connection, or opens one.
func (p *Pool) get(ctx context.Context, address string, fresh bool) (*conn, error) {
	for !fresh {
		c := p.take(address)
		if c == nil {
			break
		}
		if c.clean() {
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
		Conn: opened, pool: p, address: address, life: idleLife,
		reader: bufio.NewReaderSize(opened, bufferSize),
	}, nil
}

// take removes the connection that was used last, and drops those that are too old.
func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()

	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
	if p.Now().Sub(c.usedAt) >= c.life {
		// The others were used even longer ago.
		for _, old := range kept {
			old.close()
		}
		delete(p.idle, address)

		return nil
	}

	return c
}

// put keeps a connection for the next exchange.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if len(p.idle[c.address]) >= maxIdle {
		c.close()

		return
	}
	c.usedAt = p.Now()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Forget closes the idle connections to an address, for instance after one of
// them went silent: what lost track of one may have lost track of all.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, c := range p.idle[address] {
		c.close()
	}
	delete(p.idle, address)
}

// Trim closes the connections that were idle for too long.
func (p *Pool) Trim() {
	p.mu.Lock()
	defer p.mu.Unlock()

	now := p.Now()
	for address, kept := range p.idle {
		var young []*conn
		for _, c := range kept {
			if now.Sub(c.usedAt) < c.life {
				young = append(young, c)
			} else {
				c.close()
			}
		}
		if len(young) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = young
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()

	for address, kept := range p.idle {
		for _, c := range kept {
			c.close()
		}
		delete(p.idle, address)
	}
}

// clean says whether an idle connection is still open and has brought nothing unasked.
//
// Bytes that arrive while no response is due belong to no request; taken as the
// next response's beginning they would reach the wrong caller.
func (c *conn) clean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failure := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = failure == unix.EAGAIN

		return true
	})

	return err == nil && quiet
}

// close ends the connection; an error on the way out changes nothing for anyone.
func (c *conn) close() {
	_ = c.Close()
}
