package chuteupstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chuterequest"
)

// The bounds that New sets.
const (
	defaultDialTimeout    = 2 * time.Second
	defaultControlTimeout = 5 * time.Second
	defaultLateWait       = 5 * time.Second
	defaultMaxBodyBytes   = 16 << 20
	defaultMaxFrameBytes  = 64 << 10

	// maxLingering bounds the abandoned exchanges that go on in the background.
	maxLingering = 256
)

// Client calls upstreams; its exported fields may be set before the first call only.
type Client struct {
	// Dial opens connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnLateUsage is told, from another goroutine, what an abandoned attempt used
	// beyond the Usage that Run returned; may be nil.
	OnLateUsage func(attempt chuterequest.AttemptID, usage chuterequest.Usage)
	// OnLateResult is told, from another goroutine, the answer of an unrepeatable
	// plain call that came after Run gave up; may be nil.
	OnLateResult func(call Call, result Result)
	// ControlTimeout bounds load reports, cache events and cancels.
	ControlTimeout time.Duration
	// LateWait is how long an abandoned exchange may go on in the background.
	LateWait time.Duration
	// MaxBodyBytes bounds an answer's body and an engine's whole text.
	MaxBodyBytes int64
	// MaxFrameBytes bounds one frame of a stream.
	MaxFrameBytes int

	clock clockwork.Clock
	log   zerolog.Logger

	// life ends with Close.
	life    context.Context
	endLife context.CancelFunc
	// fresh dials for every request.
	fresh     *http.Transport
	pools     pools
	lingering atomic.Int64

	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// New returns a client; Close releases its connections.
func New(clock clockwork.Clock, log zerolog.Logger) *Client {
	life, endLife := context.WithCancel(context.Background())
	c := &Client{
		Dial:           newDialer().DialContext,
		ControlTimeout: defaultControlTimeout,
		LateWait:       defaultLateWait,
		MaxBodyBytes:   defaultMaxBodyBytes,
		MaxFrameBytes:  defaultMaxFrameBytes,
		clock:          clock,
		log:            log,
		life:           life,
		endLife:        endLife,
	}
	c.fresh = newTransport(c.dial)
	c.fresh.DisableKeepAlives = true
	c.pools.newTransport = func() *http.Transport { return newTransport(c.dial) }

	return c
}

// Close ends calls in flight as cancelled, waits for them and closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()

	c.endLife()
	c.running.Wait()
	c.fresh.CloseIdleConnections()
	c.pools.close()
}

// start runs f in a goroutine that Close waits for; false means that the client is closed.
func (c *Client) start(f func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.closed {
		return false
	}
	c.running.Go(f)

	return true
}

// Run hands one call to its upstream and returns its whole answer, or how the attempt failed.
//
// onToken (may be nil) gets an engine's tokens in order, from ResumeOffset on
// without gaps or repeats, and is never called after Run returned; the stall
// timer rests meanwhile. When ctx ends, Run returns FailureCancelled as soon as
// onToken, if it is running, has returned.
func (c *Client) Run(ctx context.Context, call Call, onToken func(Token)) (Result, *chuterequest.Failure) {
	metrics.Add("Calls", 1)
	result, failure := c.run(ctx, call, onToken)
	if failure == nil {
		metrics.Add("Answered", 1)

		return result, nil
	}
	metrics.Add(string(failure.Kind), 1)
	c.logFailure(call, failure)

	return result, failure
}

func (c *Client) run(ctx context.Context, call Call, onToken func(Token)) (Result, *chuterequest.Failure) {
	if ctx.Err() != nil {
		return Result{}, notSent(causeKind(ctx.Err()), ctx.Err().Error())
	}
	if !call.Deadline.IsZero() && !call.Deadline.After(c.clock.Now()) {
		return Result{}, notSent(chuterequest.FailureExpired, errExpired.Error())
	}
	a := newAttempt(ctx, c, call, onToken)
	defer a.release()

	if !c.start(a.work) {
		return Result{}, notSent(chuterequest.FailureCancelled, errClosed.Error())
	}

	return a.await() //nolint:contextcheck // the cancel to the engine must outlive ctx
}

func notSent(kind chuterequest.FailureKind, detail string) *chuterequest.Failure {
	return &chuterequest.Failure{Kind: kind, NotTaken: true, Detail: detail}
}

func (c *Client) logFailure(call Call, failure *chuterequest.Failure) {
	level := zerolog.DebugLevel
	switch failure.Kind {
	case chuterequest.FailureCrossed, chuterequest.FailureMalformed:
		level = zerolog.WarnLevel
	case chuterequest.FailureStalled, chuterequest.FailureBroken, chuterequest.FailureUnreachable:
		level = zerolog.InfoLevel
	}
	c.log.WithLevel(level).
		Str("Step", "run").
		Str("Peer", call.Address).
		Str("Upstream", call.Upstream).
		Str("Stage", call.Stage).
		Str("Attempt", string(call.Attempt)).
		Str("Request", call.Key.String()).
		Str("Kind", string(failure.Kind)).
		Bool("NotTaken", failure.NotTaken).
		Str("Detail", failure.Detail).
		Msg("attempt failed")
}
