package chutetable

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"azurechute.example/azurechute/internal/chuteanswer"
)

const (
	idleConnections = 32
	// idleTimeout stays under the times after which devices on the way commonly forget a connection.
	idleTimeout = 30 * time.Second
	// keepAlive is the time between the probes by which the kernel finds a dead idle connection.
	keepAlive = 5 * time.Second

	maxAnswerBytes = 64 << 20
)

// endpoint is one service of the platform, with connections of its own.
type endpoint struct {
	name      string
	base      string
	timeout   time.Duration
	clock     clockwork.Clock
	client    *http.Client
	transport *http.Transport
}

// request is one HTTP request; repeatable ones may be sent again by net/http.
type request struct {
	method     string
	path       string
	header     http.Header
	body       []byte
	repeatable bool
}

// answer is a whole HTTP answer of any status.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func newEndpoint(name, base string, timeout time.Duration, clock clockwork.Clock) *endpoint {
	dialer := &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: 3},
	}
	transport := &http.Transport{
		DialContext:         chuteanswer.WrapDial(dialer.DialContext),
		TLSHandshakeTimeout: timeout,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
	}
	client := &http.Client{
		Transport: transport,
		// The answer to a redirected request is not that to the write: the write may
		// have taken effect where it went first, and a 503 from the second place would
		// be told as certainly not written. So a redirect is an answer like any other.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &endpoint{
		name: name, base: strings.TrimRight(base, "/"), timeout: timeout,
		clock: clock, client: client, transport: transport,
	}
}

// send does one exchange and returns the whole answer, whatever its status but
// 429 and 503, by which the service says that it did nothing.
func (e *endpoint) send(ctx context.Context, req request) (answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := e.clock.AfterFunc(e.timeout, func() { cancel(errTimeout) })
	defer timer.Stop()

	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r, err := e.build(httptrace.WithClientTrace(ctx, trace), req)
	if err != nil {
		return answer{}, notWritten(err)
	}
	got, err := e.exchange(r)
	switch {
	case err == nil && got.refused():
		return answer{}, notWritten(got.statusError())
	case err == nil:
		return got, nil
	case !connected.Load():
		// No connection was got, so no byte of the request was sent: writes are
		// sent once only (see build), so there is no earlier sending either.
		return answer{}, notWritten(cause(ctx, err))
	}
	e.dropIfSilent(ctx)
	if req.repeatable {
		return answer{}, cause(ctx, err)
	}
	return answer{}, unknown(cause(ctx, err))
}

// build makes the request. Without GetBody net/http never sends a request with a body again by itself: a conditional
// write that took effect would then fail its own condition. Repeatable requests carry the mark by which it may (a
// header without values is not sent).
func (e *endpoint) build(ctx context.Context, req request) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, req.method, e.base+req.path, bytes.NewReader(req.body))
	if err != nil {
		return nil, err
	}
	for name, values := range req.header {
		r.Header[name] = values
	}
	if req.repeatable {
		r.Header["Idempotency-Key"] = nil
	} else {
		r.GetBody = nil
	}
	return r, nil
}

// exchange sends the request and reads the whole answer.
func (e *endpoint) exchange(r *http.Request) (answer, error) {
	resp, err := chuteanswer.Checked(e.client.Do(r)) //nolint:bodyclose // closed below
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	got := answer{status: resp.StatusCode, header: resp.Header}
	got.body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil && !got.refused() {
		return answer{}, err
	}
	if len(got.body) > maxAnswerBytes {
		return answer{}, fmt.Errorf("%w: over %d bytes", errMalformed, maxAnswerBytes)
	}
	return got, nil
}

// dropIfSilent drops the idle connections after a call without answer in time.
// Whatever lost track of that call's connection (which net/http has closed)
// has likely lost the idle ones too, and each would cost a later call its
// timeout; without them the next call dials anew.
func (e *endpoint) dropIfSilent(ctx context.Context) {
	why := context.Cause(ctx)
	if errors.Is(why, errTimeout) || errors.Is(why, context.DeadlineExceeded) {
		e.transport.CloseIdleConnections()
	}
}

// cause puts the reason for which the context ended, if it did, before the error that followed from it.
func cause(ctx context.Context, err error) error {
	if why := context.Cause(ctx); why != nil && !errors.Is(err, why) {
		return fmt.Errorf("%w: %w", why, err)
	}
	return err
}

func notWritten(err error) error {
	return fmt.Errorf("%w: %w", ErrNotWritten, err)
}

func unknown(err error) error {
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

// refused says that the service did nothing, which its status alone tells.
func (a answer) refused() bool {
	return a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable
}

// statusError tells of an answer whose status means failure.
func (a answer) statusError() error {
	seconds, err := strconv.Atoi(a.header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		seconds = 0
	}
	return &statusError{status: a.status, retryAfter: time.Duration(seconds) * time.Second}
}
