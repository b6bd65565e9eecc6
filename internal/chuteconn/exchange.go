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

	"azurechute.example/azurechute/internal/chuteanswer"
)

const (
	// maxMismatched bounds the mismatched responses that are dropped before the matching one.
	maxMismatched = 2
	// maxMismatchedBytes bounds how much of the body of a mismatched response is read.
	maxMismatchedBytes = 1 << 20
	// maxInlineBody is the size in bytes up to which a body is written before the response is
	// read. Larger bodies are written concurrently, because an upstream may respond before it
	// has read a long body, and then wait until its response is read.
	maxInlineBody = 2 << 10
)

// Options sets how one request is exchanged.
type Options struct {
	// Fresh asks for a new connection.
	Fresh bool
	// Matches reports whether the response with these headers belongs to the request; nil
	// accepts any response.
	Matches func(h http.Header) bool
}

// Error describes a failed exchange.
type Error struct {
	// Step is the step that failed: "dial", "write", "read" or "body".
	Step string
	// Peer is the address of the upstream.
	Peer string
	// Unsent is true only if no byte of the request can have reached the upstream.
	Unsent bool
	// Silent says that the upstream did not respond in time, as opposed to a refused, closed or
	// reset connection.
	Silent bool
	// Err is the cause.
	Err error
}

// Error returns the step, the peer and the text of the cause.
func (e *Error) Error() string {
	return e.Step + " " + e.Peer + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Do sends the request and returns the response that matches it. The caller must read and close
// its body. When ctx ends, the connection is reset, so that the upstream can stop. Errors are of
// type *Error, also those from reading the body.
func (p *Pool) Do(ctx context.Context, address string, r *http.Request, o Options) (*http.Response, error) {
	c, err := p.acquire(ctx, address, o.Fresh)
	if err != nil {
		return nil, &Error{Step: "dial", Peer: address, Unsent: true, Silent: isTimeout(err), Err: err}
	}
	x := &exchange{conn: c, request: r, options: o}
	x.detachContext = context.AfterFunc(ctx, c.reset)
	response, err := x.run()
	if err != nil {
		x.abandon()

		return nil, err
	}

	return response, nil
}

// exchange is one request on one connection.
type exchange struct {
	conn    *conn
	request *http.Request
	options Options
	// detachContext keeps the end of the context from closing the connection; it returns
	// false if the context has ended.
	detachContext func() bool
	// writeDone is closed when writing has ended; writeErr is nil if the whole request was written.
	writeDone chan struct{}
	writeErr  error
	// notReusable says that the connection is closed at the end of the exchange.
	notReusable bool
	endOnce     sync.Once
}

// run writes the request and returns the response that matches it.
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

// writeRequest writes the whole request and records the result.
func (x *exchange) writeRequest() {
	defer close(x.writeDone)
	x.writeErr = x.request.Write(x.conn)
}

// newError returns the error of an exchange on an open connection. Its Unsent is false, because
// the upstream may have seen a request as soon as writing has begun.
func (x *exchange) newError(step string, err error) *Error {
	return &Error{Step: step, Peer: x.conn.address, Silent: isTimeout(err), Err: err}
}

// readMatching returns the first response that matches the request.
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
		if !x.isDelimited(response) {
			return nil, errNoMatch
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxMismatchedBytes+1))
		if err != nil {
			return nil, err
		}
		if n > maxMismatchedBytes {
			return nil, errNoMatch
		}
	}

	return nil, errNoMatch
}

// isDelimited reports whether the end of a mismatched response can be found. One to a request of another method than HEAD has a
// body that one to HEAD does not have.
func (x *exchange) isDelimited(response *http.Response) bool {
	return x.request.Method != http.MethodHead && (response.ContentLength >= 0 || len(response.TransferEncoding) > 0)
}

// readFinalResponse reads the next response and skips interim (1xx) responses. All heads together have at most
// maxHeadBytes.
func (x *exchange) readFinalResponse() (*http.Response, error) {
	x.conn.source.setLimit(maxHeadBytes)
	defer x.conn.source.unlimit()
	for {
		response, err := x.conn.readResponse(x.request)
		if err != nil {
			return nil, err
		}
		if err := chuteanswer.CheckHead(response); err != nil {
			return nil, err
		}
		if !chuteanswer.IsInterim(response) {
			return response, nil
		}
	}
}

// errNoMatch ends an exchange that received only responses to other requests.
var errNoMatch = errors.New("the responses on this connection belong to other requests")

// wrapBody wraps the response's body so that the connection returns to the pool once the body is
// read to its end.
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

// idleLimitFrom returns how long a connection may stay idle: three quarters of the time that the
// upstream announces in Keep-Alive, and at most maxIdleTime.
func idleLimitFrom(h http.Header) time.Duration {
	for _, item := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			// A request that is sent just as the upstream closes the connection is lost.
			return min(maxIdleTime, time.Duration(seconds)*time.Second*3/4)
		}
	}

	return maxIdleTime
}

// release returns the connection to the pool. It resets the connection instead if the context has ended or the request
// is not fully written, and closes it if it is not reusable or unread bytes are left.
func (x *exchange) release() {
	x.endOnce.Do(func() {
		detached := x.detachContext()
		switch {
		case !detached || !x.isRequestWritten():
			x.conn.reset()
		case x.notReusable || x.conn.reader.Buffered() > 0:
			x.conn.close()
		default:
			x.conn.pool.putIdle(x.conn)
		}
	})
}

// isRequestWritten reports whether the whole request was written.
func (x *exchange) isRequestWritten() bool {
	select {
	case <-x.writeDone:
		return x.writeErr == nil
	default:
		return false
	}
}

// abandon ends the exchange before its end and resets the connection.
func (x *exchange) abandon() {
	x.endOnce.Do(func() {
		x.detachContext()
		x.conn.reset()
	})
}

// responseBody is the body of a response; it ends the exchange when it is read to its end or closed.
type responseBody struct {
	io.ReadCloser
	exchange   *exchange
	reachedEnd bool
}

// Read reads from the body. At the end of the body the exchange releases the connection; other
// errors reset it and are of type *Error.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.reachedEnd = true
		b.exchange.release()
	case err != nil:
		b.exchange.abandon()

		return n, b.exchange.newError("body", err)
	}

	return n, err
}

// Close ends the exchange; it resets the connection if the body was not read to its end.
func (b *responseBody) Close() error {
	if !b.reachedEnd {
		b.exchange.abandon()
	}

	return nil
}

// isTimeout reports whether an error is a timeout.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }

	return errors.As(err, &timeout) && timeout.Timeout()
}
