package chuteshare

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
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
	// firstKeepaliveTimeout is how long a collector may take to send its first keepalive, and
	// keepaliveTimeout how long for each further one: three intervals, to tolerate a slow machine.
	firstKeepaliveTimeout = 500 * time.Millisecond
	keepaliveTimeout      = 3 * jobKeepaliveInterval
	// connectTimeout bounds one attempt to connect; minBackoff and maxBackoff bound the pause
	// after a failed attempt.
	connectTimeout = 400 * time.Millisecond
	minBackoff     = 100 * time.Millisecond
	maxBackoff     = time.Second
	// maxReplyBytes bounds one received message and an unpacked table; a configuration may
	// grow by hundreds of routes.
	maxReplyBytes = 16 << 20
)

// Client calls other nodes; it keeps one connection for each address.
type Client struct {
	// Dial connects to an address; nil means TCP. It must be set before the first call.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Clock measures how long messages were on their way. It must be set before the first call.
	Clock clockwork.Clock
	// Traffic counts the bytes of all messages. It must not be replaced after the first call.
	Traffic *Traffic

	// limitCall bounds one call by its time limit. It is replaced in tests that judge what calls carry.
	limitCall func(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc)

	mu            sync.Mutex
	connByAddress map[string]*grpc.ClientConn
	// closing counts the connections that are being closed.
	closing sync.WaitGroup
}

// NewClient returns a client without open connections.
func NewClient() *Client {
	return &Client{
		Clock: clockwork.NewRealClock(), Traffic: &Traffic{}, limitCall: context.WithTimeout, connByAddress: map[string]*grpc.ClientConn{},
	}
}

// Close closes all connections; calls that still run on them fail.
func (c *Client) Close() {
	defer c.closing.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()

	for address, conn := range c.connByAddress {
		_ = conn.Close()
		delete(c.connByAddress, address)
	}
}

// connTo returns the connection to an address and creates it if there is none.
func (c *Client) connTo(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if conn, ok := c.connByAddress[address]; ok {
		return conn, nil
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithStatsHandler(c.Traffic),
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

// closeConn closes a connection whose peer went silent, so that the next call opens a new one.
// If a device between the nodes has lost the state of a connection, calls on it never end.
func (c *Client) closeConn(address string, conn *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.connByAddress[address] == conn {
		delete(c.connByAddress, address)
	}
	// It takes up to 5 s to close a connection whose peer reads nothing.
	c.closing.Go(func() { _ = conn.Close() })
}

// JobEnd says how a job at a peer ended.
type JobEnd struct {
	// Lost says that the peer is gone, silent or shutting down.
	Lost bool
	// Silent says that no connection could be opened, or that the peer sent nothing in time.
	Silent bool
	// Reason is the reason that the peer gave, or the text of the error that ended the call.
	Reason string
	// Wait is how long a job of the same kind would currently wait at the peer.
	Wait time.Duration
	// OverShare says that the job's workspace is over its share, so that Wait holds only for
	// that workspace.
	OverShare bool
	// Loads reports on overloaded upstreams.
	Loads []chutefleet.LoadReport
}

// decodeWait returns the wait time that an update announces.
func decodeWait(update *chutesharepb.MakeUpdate) time.Duration {
	return time.Duration(update.GetWaitMs()) * time.Millisecond
}

// Make runs a job at a peer and holds the lease on its results until ctx ends. The times of
// the job are sent relative to now. It calls onResults once the results are there. It returns
// true and how the job ended if something other than ctx ended it, and false otherwise.
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

// errPeerSilent is the cause of a call that is cancelled because the peer sends no keepalive.
var errPeerSilent = errors.New("the peer shows no sign of life")

// readJobUpdates sends a job request and reads its updates until the job fails or the stream
// ends. Keepalives restart silenceTimer; the results stop it, because the peer sends nothing
// after them.
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
