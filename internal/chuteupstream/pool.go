package chuteupstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxIdlePerAddress keeps a connection for each call that an upstream runs side by side.
	maxIdlePerAddress = 64
	idleTimeout       = 30 * time.Second
	maxHeaderBytes    = 64 << 10
	// maxUnusedPools is how many addresses are kept before unused ones are forgotten.
	maxUnusedPools = 512

	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

// newDialer turns on TCP keepalive, the ping of HTTP/1.1 connections.
//
// A peer whose host vanished sends nothing, not even a reset, and a call to it
// would hang until its deadline. Unanswered probes end the connection instead.
// They cannot see a silence above TCP; the stall timeout is there for that.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: defaultDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
}

// newTransport uses no proxy from the environment and no HTTP/2, whose many streams on one connection would stall together.
func newTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerAddress,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// dial wraps the connection so that it can tell whether a request's bytes left it.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(c.life, cancel)
	defer stop()

	conn, err := c.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}

	return &trackedConn{Conn: conn}, nil
}

// pools holds one transport per address, so that one address's idle connections can be dropped alone.
type pools struct {
	newTransport func() *http.Transport

	mu        sync.Mutex
	byAddress map[string]*pool
}

type pool struct {
	transport *http.Transport
	usedAt    time.Time
}

func (p *pools) get(address string, now time.Time) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()

	if known, ok := p.byAddress[address]; ok {
		known.usedAt = now

		return known.transport
	}
	if p.byAddress == nil {
		p.byAddress = make(map[string]*pool)
	}
	if len(p.byAddress) >= maxUnusedPools {
		p.forgetUnused(now)
	}
	added := &pool{transport: p.newTransport(), usedAt: now}
	p.byAddress[address] = added

	return added.transport
}

// forgetUnused drops addresses of replaced VMs; a call still in flight there keeps its own connection.
func (p *pools) forgetUnused(now time.Time) {
	for address, known := range p.byAddress {
		if now.Sub(known.usedAt) > idleTimeout {
			known.transport.CloseIdleConnections()
			delete(p.byAddress, address)
		}
	}
}

// dropIdle closes the idle connections to an address.
//
// Whatever made one connection go silent may have hit the others too, and each
// would cost a call its stall timeout. Connections in use are left alone: they
// return to the pool only after a whole answer, which shows that they work.
func (p *pools) dropIdle(address string) {
	p.mu.Lock()
	known, ok := p.byAddress[address]
	p.mu.Unlock()

	if ok {
		metrics.Add("IdleDropped", 1)
		known.transport.CloseIdleConnections()
	}
}

func (p *pools) close() {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, known := range p.byAddress {
		known.transport.CloseIdleConnections()
	}
}
