package chuteconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxMismatched bounds the foreign responses that are dropped in front of the own one.
	maxMismatched = 2
	// maxMismatchedBytes bounds what is read of a foreign response's body.
	maxMismatchedBytes = 1 << 20
	// maxInlineBody is the size up to which a body is written before reading begins.
	// Larger ones are written beside the reading, since an upstream may answer
	// before it has taken in a long body, and wait for its answer to be read.
	maxInlineBody = 2 << 10
)

// Options are how one request is to be exchanged.
type Options struct {
	// Fresh asks for a connection that was not used before.
	Fresh bool
	// Matches says whether a response belongs to the request; nil takes any.
	Matches func(h http.Header) bool
}

// Error is a failed exchange.
type Error struct {
	// Step is where it failed: "dial", "write", "read" or "body".
	Step string
	Peer string
	// Unsent is true only if no byte of the request can have reached the upstream.
	Unsent bool
	// Silent says that there was no sign of life, rather than a sign of an end.
	Silent bool
	Err    error
}

// Error describes the failure with its step and peer.
func (e *Error) Error() string {
	return e.Step + " " + e.Peer + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Do sends the request and returns the response that is its own; the caller reads and closes its body.
// When ctx ends the connection is closed, which is how an upstream learns that nobody waits.
func (p *Pool) Do(ctx context.Context, address string, r *http.Request, o Options) (*http.Response, error) {
	c, err := p.acquire(ctx, address, o.Fresh)
	if err != nil {
		return nil, &Error{Step: "dial", Peer: address, Unsent: true, Silent: isTimeout(err), Err: err}
	}
	x := &exchange{conn: c, request: r, options: o}
	x.detachContext = context.AfterFunc(ctx, c.close)
	response, err := x.run()
	if err != nil {
		x.closeConn()

		return nil, err
	}

	return response, nil
}

// exchange is one request on one connection.
type exchange struct {
	conn          *conn
	request       *http.Request
	options       Options
	detachContext func() bool
	// writeDone is closed when the request is out, or can't be; writeErr says which.
	writeDone   chan struct{}
	writeErr    error
	notReusable bool
	endOnce     sync.Once
}

func (x *exchange) run() (*http.Response, error) {
	x.writeDone = make(chan struct{})
	if x.request.ContentLength > maxInlineBody {
		go x.writeRequest()
	} else {
		x.writeRequest()
	}
	response, err := x.readMatching()
	if err != nil {
		return nil, x.newError("read", err)
	}
	x.wrapBody(response)

	return response, nil
}

func (x *exchange) writeRequest() {
	defer close(x.writeDone)
	x.writeErr = x.request.Write(x.conn)
}

// newError makes an error of what ended the exchange; a request may have been seen as soon as it was begun.
func (x *exchange) newError(step string, err error) *Error {
	return &Error{Step: step, Peer: x.conn.address, Silent: isTimeout(err), Err: err}
}

// readMatching returns the first response that is the request's own.
func (x *exchange) readMatching() (*http.Response, error) {
	for range maxMismatched + 1 {
		response, err := x.readFinalResponse()
		if err != nil {
			return nil, err
		}
		if x.options.Matches == nil || x.options.Matches(response.Header) {
			return response, nil
		}
		x.notReusable = true
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, errNoMatch
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxMismatchedBytes)); err != nil {
			return nil, err
		}
	}

	return nil, errNoMatch
}

// readFinalResponse skips interim responses.
func (x *exchange) readFinalResponse() (*http.Response, error) {
	for {
		response, err := http.ReadResponse(x.conn.reader, x.request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// errNoMatch is the end of an exchange that met only responses to other requests.
var errNoMatch = errors.New("the responses on this connection belong to other requests")

// wrapBody makes the response's body give the connection back once it is read to its end.
func (x *exchange) wrapBody(response *http.Response) {
	isDelimited := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if !isDelimited || response.Close {
		x.notReusable = true
	}
	x.conn.idleLimit = idleLimitFrom(response.Header)
	response.Body = &responseBody{ReadCloser: response.Body, exchange: x}
	if response.ContentLength == 0 {
		x.release()
	}
}

// idleLimitFrom returns how long the upstream says that it keeps an idle connection, less a margin.
func idleLimitFrom(h http.Header) time.Duration {
	for _, item := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			// A connection that closes just as a request goes out loses it.
			return min(maxIdleTime, time.Duration(seconds)*time.Second*3/4)
		}
	}

	return maxIdleTime
}

// release gives the connection back, or closes it if anything is left on it.
func (x *exchange) release() {
	x.endOnce.Do(func() {
		detached := x.detachContext()
		if !detached || x.notReusable || !x.isRequestWritten() || x.conn.reader.Buffered() > 0 {
			x.conn.close()

			return
		}
		x.conn.pool.putIdle(x.conn)
	})
}

// isRequestWritten says whether the whole request went out.
func (x *exchange) isRequestWritten() bool {
	select {
	case <-x.writeDone:
		return x.writeErr == nil
	default:
		return false
	}
}

// closeConn closes the connection.
func (x *exchange) closeConn() {
	x.endOnce.Do(func() {
		x.detachContext()
		x.conn.close()
	})
}

// responseBody is a response's body that knows its exchange.
type responseBody struct {
	io.ReadCloser
	exchange   *exchange
	reachedEnd bool
}

// Read reads on; at the end of the body the connection is free again.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.reachedEnd = true
		b.exchange.release()
	case err != nil:
		b.exchange.closeConn()

		return n, b.exchange.newError("body", err)
	}

	return n, err
}

// Close ends the exchange; a body that was not read to its end takes the connection with it.
func (b *responseBody) Close() error {
	if !b.reachedEnd {
		b.exchange.closeConn()
	}

	return nil
}

// isTimeout says whether an error is the lack of any sign of life.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }

	return errors.As(err, &timeout) && timeout.Timeout()
}
