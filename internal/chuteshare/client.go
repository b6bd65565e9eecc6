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
	// firstKeepaliveTimeout is how long a collector may take to its first sign of life, and
	// nextSign to each further one: three of its signs, for a slowed machine.
	firstKeepaliveTimeout = 500 * time.Millisecond
	keepaliveTimeout      = 3 * jobKeepaliveInterval
	// connectTimeout bounds one attempt to connect, and the backoffs the pause after one that failed.
	connectTimeout = 400 * time.Millisecond
	minBackoff     = 100 * time.Millisecond
	maxBackoff     = time.Second
	// maxReplyBytes bounds a reply; a configuration grows by hundreds of routes.
	maxReplyBytes = 16 << 20
)

// Client asks other nodes; it keeps one connection an address.
type Client struct {
	// Dial connects to an address, by TCP if it is nil; it is set before the first call.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu            sync.Mutex
	connByAddress map[string]*grpc.ClientConn
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{connByAddress: map[string]*grpc.ClientConn{}}
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()

	for address, conn := range c.connByAddress {
		_ = conn.Close()
		delete(c.connByAddress, address)
	}
}

func (c *Client) connTo(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if conn, ok := c.connByAddress[address]; ok {
		return conn, nil
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithReadBufferSize(connBufferBytes), grpc.WithWriteBufferSize(connBufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxReplyBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minBackoff, Multiplier: 2, MaxDelay: maxBackoff},
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
	c.connByAddress[address] = conn

	return conn, nil
}

// closeConn closes the connection to an address after it went silent: calls on a
// connection that something between the ends has lost track of never end.
func (c *Client) closeConn(address string, conn *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.connByAddress[address] == conn {
		delete(c.connByAddress, address)
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
	// OverShare says that Wait holds for the job's workspace alone, which is beyond its share.
	OverShare bool
	// Loads are on upstreams that are crowded.
	Loads []chutefleet.LoadReport
}

func decodeWait(update *chutesharepb.MakeUpdate) time.Duration {
	return time.Duration(update.GetWaitMs()) * time.Millisecond
}

// Make runs a job at a peer and holds the lease on its results until ctx ends.
// It calls made once the results are there, and returns how the job ended if
// that was not by ctx.
func (c *Client) Make(
	ctx context.Context, address string, request JobRequest, now time.Time, onResults func(JobUpdate),
) (JobEnd, bool) {
	conn, err := c.connTo(address)
	if err != nil {
		return JobEnd{Lost: true, Reason: err.Error()}, true
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	silenceTimer := time.AfterFunc(firstKeepaliveTimeout, func() { cancel(errPeerSilent) })
	defer silenceTimer.Stop()

	end, err := readJobUpdates(ctx, conn, encodeJobRequest(request, now), silenceTimer, onResults)
	switch {
	case errors.Is(context.Cause(ctx), errPeerSilent):
		c.closeConn(address, conn)

		return JobEnd{Lost: true, Silent: true, Reason: errPeerSilent.Error()}, true
	case ctx.Err() != nil:
		return JobEnd{}, false
	case err != nil:
		return JobEnd{Lost: true, Silent: status.Code(err) == codes.Unavailable, Reason: err.Error()}, true
	}

	return end, true
}

// errPeerSilent ends a call whose peer shows no sign of life.
var errPeerSilent = errors.New("the peer shows no sign of life")

// readJobUpdates reads a job's updates until it fails or the stream ends.
func readJobUpdates(
	ctx context.Context, conn *grpc.ClientConn, request *chutesharepb.MakeRequest, silenceTimer *time.Timer,
	onResults func(JobUpdate),
) (JobEnd, error) {
	stream, err := chutesharepb.NewShareClient(conn).Make(ctx, request)
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
			silenceTimer.Reset(keepaliveTimeout)
		case chutesharepb.MakeUpdate_KIND_MADE:
			silenceTimer.Stop()
			onResults(JobUpdate{
				Results: decodeResults(update.GetResults()), Wait: decodeWait(update), OverShare: update.GetBeyond(),
				Loads: decodeLoads(update.GetLoads()),
			})
		case chutesharepb.MakeUpdate_KIND_FAILED:
			return JobEnd{
				Lost: update.GetLeaving(), Reason: update.GetReason(), Wait: decodeWait(update), OverShare: update.GetBeyond(),
				Loads: decodeLoads(update.GetLoads()),
			}, nil
		}
	}
}
