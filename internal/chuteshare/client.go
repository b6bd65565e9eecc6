package chuteshare

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteshare/chutesharepb"
)

const (
	// firstSign is how long a collector may take to its first sign of life, and
	// nextSign to each further one: three of its signs, for a slowed machine.
	firstSign = 500 * time.Millisecond
	nextSign  = 3 * aliveEvery
	// connectTimeout bounds one attempt to connect, and the backoffs the pause after one that failed.
	connectTimeout = 400 * time.Millisecond
	firstBackoff   = 100 * time.Millisecond
	longestBackoff = time.Second
	// maxReply bounds a reply; a configuration grows by hundreds of routes.
	maxReply = 16 << 20
)

// Client asks other nodes; it keeps one connection an address.
type Client struct {
	// Dial connects to an address, by TCP if it is nil; it is set before the first call.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu     sync.Mutex
	byAddr map[string]*grpc.ClientConn
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{byAddr: map[string]*grpc.ClientConn{}}
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()

	for address, conn := range c.byAddr {
		_ = conn.Close()
		delete(c.byAddr, address)
	}
}

func (c *Client) connection(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if conn, ok := c.byAddr[address]; ok {
		return conn, nil
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxReply)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: firstBackoff, Multiplier: 2, MaxDelay: longestBackoff},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithDisableServiceConfig(),
	}
	if c.Dial != nil {
		options = append(options, grpc.WithContextDialer(c.Dial))
	}
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, oops.In("share").With("step", "connect", "peer", address).Wrap(err)
	}
	c.byAddr[address] = conn

	return conn, nil
}

// forget closes the connection to an address after it went silent: calls on a
// connection that something between the ends has lost track of never end.
func (c *Client) forget(address string, conn *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.byAddr[address] == conn {
		delete(c.byAddr, address)
	}
	_ = conn.Close()
}

// JobEnd is how a job at a peer ended.
type JobEnd struct {
	// Lost says that the peer is gone, silent or shutting down.
	Lost bool
	// Silent says that no connection came about, or that nothing came back on one.
	Silent bool
	Reason string
	// Wait is how long a job of the same kind would wait there now.
	Wait time.Duration
	// Beyond says that Wait holds for the job's workspace alone, which is beyond its share.
	Beyond bool
	// Loads are on upstreams that are crowded.
	Loads []chutefleet.LoadReport
}

func waitOf(u *chutesharepb.MakeUpdate) time.Duration {
	return time.Duration(u.GetWaitMs()) * time.Millisecond
}

// Make runs a job at a peer and holds the lease on its results until ctx ends.
// It calls made once the results are there, and returns how the job ended if
// that was not by ctx.
func (c *Client) Make(
	ctx context.Context, address string, asked Ask, now time.Time, made func(Update),
) (JobEnd, bool) {
	conn, err := c.connection(address)
	if err != nil {
		return JobEnd{Lost: true, Reason: err.Error()}, true
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	watch := time.AfterFunc(firstSign, func() { cancel(errSilent) })
	defer watch.Stop()

	end, err := follow(ctx, conn, encodeAsk(asked, now), watch, made)
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		c.forget(address, conn)

		return JobEnd{Lost: true, Silent: true, Reason: errSilent.Error()}, true
	case ctx.Err() != nil:
		return JobEnd{}, false
	case err != nil:
		return JobEnd{Lost: true, Silent: status.Code(err) == codes.Unavailable, Reason: err.Error()}, true
	}

	return end, true
}

// errSilent ends a call whose peer shows no sign of life.
var errSilent = errors.New("the peer shows no sign of life")

// follow reads a job's updates until it fails or the stream ends.
func follow(
	ctx context.Context, conn *grpc.ClientConn, m *chutesharepb.MakeRequest, watch *time.Timer,
	made func(Update),
) (JobEnd, error) {
	stream, err := chutesharepb.NewShareClient(conn).Make(ctx, m)
	if err != nil {
		return JobEnd{}, err
	}
	for {
		update, err := stream.Recv()
		if err != nil {
			return JobEnd{}, err
		}
		switch update.GetKind() {
		case chutesharepb.MakeUpdate_KIND_WAITING:
			watch.Reset(nextSign)
		case chutesharepb.MakeUpdate_KIND_MADE:
			watch.Stop()
			made(Update{
				Results: decodeResults(update.GetResults()), Wait: waitOf(update), Beyond: update.GetBeyond(),
				Loads: decodeLoads(update.GetLoads()),
			})
		case chutesharepb.MakeUpdate_KIND_FAILED:
			return JobEnd{
				Lost: update.GetLeaving(), Reason: update.GetReason(), Wait: waitOf(update), Beyond: update.GetBeyond(),
				Loads: decodeLoads(update.GetLoads()),
			}, nil
		}
	}
}
