package chuteupstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"

	"github.com/jonboulle/clockwork"
	"github.com/samber/oops"

	"azurechute.example/azurechute/internal/chuteanswer"
	"azurechute.example/azurechute/internal/chuterequest"
)

const (
	loadPath   = "/v1/load"
	eventsPath = "/v1/cache-events"
	ordersPath = "/v1/orders"
	cancelPath = "/v1/cancel"

	opAdd   = "Add"
	opEvict = "Evict"

	peerKey = "peer"
)

// The refusals of an order that the engine gives by itself; after either the order had no effect.
var (
	// ErrFenced means that the engine has seen a higher fencing number.
	ErrFenced = errors.New("the engine has seen a higher fencing number")
	// ErrRateLimited means that the weight store's rate is used up.
	ErrRateLimited = errors.New("the weight store's rate is used up")
)

var errStatus = errors.New("unexpected status")

// CacheEvent says that an engine's prefix cache gained or lost a block.
type CacheEvent struct {
	Seq   uint64
	Add   bool
	Block uint64
}

// Order tells an engine at which placement to be; it is absolute, so repeating it is harmless.
type Order struct {
	FencingNumber uint64
	Model         string
	Version       string
	Adapter       string
	Role          string
}

type eventsBody struct {
	Next   uint64
	Events []struct {
		Seq   uint64
		Op    string
		Block string
	}
}

type cancelBody struct {
	AttemptID chuterequest.AttemptID
}

type fencedBody struct {
	FencingNumber uint64
}

// Load asks an upstream for its load report, within ControlTimeout.
func (c *Client) Load(ctx context.Context, address string) (chuterequest.Load, error) {
	var load chuterequest.Load
	err := c.get(ctx, address, loadPath, "", &load)

	return load, oops.In("upstream").With("step", "load", peerKey, address).Wrap(err)
}

// CacheEvents asks an engine for the cache events after a sequence number, within ControlTimeout; next is what to ask after the next time.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (events []CacheEvent, next uint64, err error) {
	fail := oops.In("upstream").With("step", "cache-events", peerKey, address)
	query := "after=" + strconv.FormatUint(after, 10)
	var body eventsBody
	if err := c.get(ctx, address, eventsPath, query, &body); err != nil {
		return nil, 0, fail.Wrap(err)
	}
	events = make([]CacheEvent, 0, len(body.Events))
	for _, event := range body.Events {
		block, err := strconv.ParseUint(event.Block, 16, 64)
		if err != nil {
			return nil, 0, fail.Wrap(err)
		}
		if event.Op != opAdd && event.Op != opEvict {
			return nil, 0, fail.Errorf("unknown Op %q", clip(event.Op))
		}
		events = append(events, CacheEvent{Seq: event.Seq, Add: event.Op == opAdd, Block: block})
	}

	return events, body.Next, nil
}

// HasGap says whether events got lost between the sequence number asked after and next, as when the engine started anew.
func HasGap(after uint64, events []CacheEvent, next uint64) bool {
	if next < after {
		return true
	}
	for _, event := range events {
		if event.Seq != after+1 {
			return true
		}
		after = event.Seq
	}

	return next != after
}

// Order sends an order to an engine and returns its load report; errors.Is tells ErrFenced and ErrRateLimited, after any other error it may have taken effect.
//
// The caller's ctx bounds it. When ctx ends, the connection is reset, so that
// the kernel does not deliver the order later.
func (c *Client) Order(ctx context.Context, address string, o Order) (chuterequest.Load, error) {
	fail := oops.In("upstream").With("step", "order", peerKey, address, "fencingNumber", o.FencingNumber)
	var load chuterequest.Load
	body, err := encode(o)
	if err != nil {
		return load, fail.Wrap(err)
	}
	status, read, err := c.roundTrip(c.fresh, newPost(ctx, address, ordersPath, body))
	if err != nil {
		return load, fail.Wrap(err)
	}
	switch status {
	case http.StatusOK:
		return load, fail.Wrap(json.Unmarshal(read, &load))
	case http.StatusConflict:
		return load, fail.With("highest", highestNumber(read)).Wrap(ErrFenced)
	case http.StatusTooManyRequests:
		return load, fail.Wrap(ErrRateLimited)
	default:
		return load, fail.Wrap(statusError(status, read))
	}
}

// highestNumber returns 0 where the engine did not say it.
func highestNumber(read []byte) uint64 {
	var body fencedBody
	if err := json.Unmarshal(read, &body); err != nil {
		return 0
	}

	return body.FencingNumber
}

// cancelAttempt tells an engine in the background to stop generating; best effort.
//
// It dials, as the attempt's connection may be the very thing that is broken.
func (c *Client) cancelAttempt(call Call) {
	c.start(func() {
		ctx, cancel := clockwork.WithTimeout(c.life, c.clock, c.ControlTimeout)
		defer cancel()

		body, err := encode(cancelBody{AttemptID: call.Attempt})
		if err == nil {
			_, _, err = c.roundTrip(c.fresh, newPost(ctx, call.Address, cancelPath, body))
		}
		if err != nil {
			c.log.Debug().
				Str("Step", "cancel").
				Str("Peer", call.Address).
				Str("Attempt", string(call.Attempt)).
				Err(err).
				Msg("cancel not delivered")
		}
	})
}

func (c *Client) get(ctx context.Context, address, path, query string, out any) error {
	ctx, cancel := clockwork.WithTimeout(ctx, c.clock, c.ControlTimeout)
	defer cancel()

	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query}
	r := (&http.Request{Method: http.MethodGet, URL: &target, Header: http.Header{}}).WithContext(ctx)
	status, read, err := c.roundTrip(c.pools.get(address, c.clock.Now()), r)
	if err != nil {
		if ctx.Err() != nil {
			c.pools.dropIdle(address)
		}

		return err
	}
	if status != http.StatusOK {
		return statusError(status, read)
	}

	return json.Unmarshal(read, out)
}

func (c *Client) roundTrip(transport *http.Transport, r *http.Request) (status int, body []byte, err error) {
	var conn *trackedConn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn = asTracked(info.Conn)
		conn.begin(transport == c.fresh)
	}}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	resp, err := chuteanswer.Checked(transport.RoundTrip(r)) //nolint:bodyclose // closed below
	if err != nil {
		return 0, nil, err
	}
	defer closeBody(resp)

	conn.end()
	body, err = readBounded(resp.Body, c.MaxBodyBytes)

	return resp.StatusCode, body, err
}

func statusError(status int, body []byte) error {
	return fmt.Errorf("%w %d: %s", errStatus, status, clip(string(body)))
}
