package chuteconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// upstream is a listener that counts its connections.
type upstream struct {
	address string
	conns   atomic.Int64
}

// startUpstream starts an upstream that calls serve for each connection, with n counting from 1.
func startUpstream(t testing.TB, serve func(n int64, conn net.Conn, r *bufio.Reader)) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	u := &upstream{address: l.Addr().String()}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			n := u.conns.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				serve(n, conn, bufio.NewReader(conn))
			}()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})

	return u
}

// startAnswering starts an upstream that sends the text responseFor returns for each request's id.
func startAnswering(t testing.TB, responseFor func(id string) string) *upstream {
	return startUpstream(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if _, err := io.WriteString(conn, responseFor(request.Header.Get("Id"))); err != nil {
				return
			}
		}
	})
}

// response returns the text of a response; its body has at most nine bytes.
func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func request(id string, body []byte) *http.Request {
	r := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Opaque: "/a//b?x=%2f"}, Host: "h", Header: http.Header{"Id": {id}},
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
	}
	if len(body) == 0 {
		r.Body = nil
	}

	return r
}

func matchesID(id string) func(h http.Header) bool {
	return func(h http.Header) bool { return h.Get("Id") == id }
}

func newPool(t testing.TB) *Pool {
	p := NewPool(time.Now)
	t.Cleanup(p.Close)

	return p
}

// expectBody fails the test unless the exchange returns exactly this body.
func expectBody(c *qt.C, p *Pool, u *upstream, id, want string) {
	c.Helper()
	r, err := p.Do(context.Background(), u.address, request(id, nil), Options{Matches: matchesID(id)})
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(r.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Body.Close(), qt.IsNil)
	c.Assert(string(body), qt.Equals, want)
}

// expectFailure fails the test unless the exchange fails, and returns its error.
func expectFailure(c *qt.C, p *Pool, u *upstream, r *http.Request, o Options) *Error {
	c.Helper()
	response, err := p.Do(context.Background(), u.address, r, o)
	if err == nil {
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	var failure *Error
	c.Assert(errors.As(err, &failure), qt.IsTrue, qt.Commentf("%v", err))

	return failure
}

func TestKeptConnections(t *testing.T) {
	t.Run("exchanges share a connection", func(t *testing.T) {
		c := qt.New(t)
		p := newPool(t)
		u := startAnswering(t, func(id string) string { return response(id, id) })
		expectBody(c, p, u, "1", "1")
		expectBody(c, p, u, "2", "2")
		c.Assert(u.conns.Load(), qt.Equals, int64(1))
	})

	t.Run("path and query are sent byte for byte", func(t *testing.T) {
		c := qt.New(t)
		uris := make(chan string, 1)
		u := startUpstream(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
			line, _ := r.ReadString('\n')
			uris <- line
			_, _ = io.WriteString(conn, response("1", ""))
		})
		expectBody(c, newPool(t), u, "1", "")
		c.Assert(<-uris, qt.Equals, "POST /a//b?x=%2f HTTP/1.1\r\n")
	})

	t.Run("a connection that the upstream has closed is not reused", func(t *testing.T) {
		// A request sent on it would be lost, and it would be unknown whether the upstream
		// had read it.
		c := qt.New(t)
		p := newPool(t)
		u := startUpstream(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
			if request, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(conn, response(request.Header.Get("Id"), ""))
			}
		})
		expectBody(c, p, u, "1", "")
		waitUntil(func() bool { return !p.isIdleReusable(u.address) })
		expectBody(c, p, u, "2", "")
		c.Assert(u.conns.Load(), qt.Equals, int64(2))
	})

	t.Run("a connection with unsolicited bytes is not reused", func(t *testing.T) {
		// An upstream sends a second response after the first. Read as the response to the
		// next request, it would reach the wrong caller.
		c := qt.New(t)
		p := newPool(t)
		u := startAnswering(t, func(id string) string { return response(id, id) + response(id, "x") })
		expectBody(c, p, u, "1", "1")
		waitUntil(func() bool { return !p.isIdleReusable(u.address) })
		expectBody(c, p, u, "2", "2")
		c.Assert(u.conns.Load(), qt.Equals, int64(2))
	})
}

// waitUntil polls until done returns true, for states that the kernel or another goroutine sets.
func waitUntil(done func() bool) {
	for !done() {
		time.Sleep(time.Millisecond)
	}
}

// isIdleReusable reports whether the most recently used idle connection is reusable.
func (p *Pool) isIdleReusable(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idleConns := p.idle[address]

	return len(idleConns) > 0 && idleConns[len(idleConns)-1].isReusable()
}

func TestMismatchedResponses(t *testing.T) {
	t.Run("a response to another request is dropped and the matching one is read", func(t *testing.T) {
		// The response to a cancelled request arrives late, before the next one. The id
		// distinguishes them; the connection is not reused.
		c := qt.New(t)
		p := newPool(t)
		u := startAnswering(t, func(id string) string { return response("old", "theirs") + response(id, id) })
		expectBody(c, p, u, "1", "1")
		expectBody(c, p, u, "2", "2")
		c.Assert(u.conns.Load(), qt.Equals, int64(2))
	})

	t.Run("the exchange fails if no matching response arrives", func(t *testing.T) {
		c := qt.New(t)
		u := startAnswering(t, func(string) string { return strings.Repeat(response("old", "x"), 9) })
		failure := expectFailure(c, newPool(t), u, request("1", nil), Options{Matches: matchesID("1")})
		c.Assert(failure.Unsent, qt.IsFalse)
	})

	t.Run("bytes that are not a response fail the exchange", func(t *testing.T) {
		c := qt.New(t)
		u := startAnswering(t, func(string) string { return "\x00\x01garbage\r\n\r\n" })
		c.Assert(expectFailure(c, newPool(t), u, request("1", nil), Options{}).Step, qt.Equals, "read")
	})
}

func TestTruncatedResponses(t *testing.T) {
	t.Run("a body that ends early is an error", func(t *testing.T) {
		c := qt.New(t)
		u := startUpstream(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf")
		})
		failure := expectFailure(c, newPool(t), u, request("1", nil), Options{})
		c.Assert(failure.Step, qt.Equals, "body")
	})

	t.Run("a body without a length whose connection is reset is an error", func(t *testing.T) {
		c := qt.New(t)
		u := startUpstream(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf")
			_ = conn.(*net.TCPConn).SetLinger(0)
		})
		c.Assert(expectFailure(c, newPool(t), u, request("1", nil), Options{}).Step, qt.Equals, "body")
	})

	t.Run("a body without a length whose connection is closed is complete", func(t *testing.T) {
		c := qt.New(t)
		u := startUpstream(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
		})
		expectBody(c, newPool(t), u, "1", "whole")
	})

	t.Run("a response before the end of a long request body closes the connection", func(t *testing.T) {
		// The upstream rejects a long request after its head and stops reading. If the
		// connection were reused, the rest of this body would precede the next request.
		c := qt.New(t)
		p := newPool(t)
		release := make(chan struct{})
		u := startUpstream(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
			_, _ = r.ReadString('\n')
			_, _ = io.WriteString(conn, response("1", ""))
			<-release
		})
		defer close(release)
		r, err := p.Do(context.Background(), u.address, request("1", make([]byte, 32<<20)), Options{})
		c.Assert(err, qt.IsNil)
		_, err = io.ReadAll(r.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(p.idle, qt.HasLen, 0)
	})
}

func TestErrorDetails(t *testing.T) {
	t.Run("a refused connection means that nothing was sent", func(t *testing.T) {
		c := qt.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		_ = l.Close()
		u := &upstream{address: l.Addr().String()}
		c.Assert(expectFailure(c, newPool(t), u, request("1", nil), Options{}).Unsent, qt.IsTrue)
	})

	t.Run("on an open connection the request may have been read", func(t *testing.T) {
		c := qt.New(t)
		u := startUpstream(t, func(_ int64, _ net.Conn, r *bufio.Reader) { _, _ = r.ReadString('\n') })
		c.Assert(expectFailure(c, newPool(t), u, request("1", nil), Options{}).Unsent, qt.IsFalse)
	})

	t.Run("a timeout is distinguished from a refused connection", func(t *testing.T) {
		// A vanished host does not answer a connection attempt; a stopped process's host refuses it.
		c := qt.New(t)
		p := newPool(t)
		p.Dial = func(context.Context, string, string) (net.Conn, error) { return nil, context.DeadlineExceeded }
		failure := expectFailure(c, p, &upstream{address: "192.0.2.1:1"}, request("1", nil), Options{})
		c.Assert(failure.Silent, qt.IsTrue)
		c.Assert(failure.Unsent, qt.IsTrue)
	})

	t.Run("cancellation closes the connection, so that the upstream can stop", func(t *testing.T) {
		c := qt.New(t)
		closed := make(chan struct{})
		u := startUpstream(t, func(_ int64, _ net.Conn, r *bufio.Reader) {
			_, _ = io.Copy(io.Discard, r)
			close(closed)
		})
		ctx, cancel := context.WithCancel(context.Background())
		p := newPool(t)
		ended := make(chan error, 1)
		go func() {
			_, err := p.Do(ctx, u.address, request("1", nil), Options{})
			ended <- err
		}()
		waitUntil(func() bool { return u.conns.Load() == 1 })
		cancel()
		<-closed
		c.Assert(<-ended, qt.IsNotNil)
	})
}

// Guards against a request that reaches its upstream after it was given up: the kernel goes on sending what it has
// buffered once a network partition is over, unless the connection is reset.
func TestGivenUpRequestIsDiscarded(t *testing.T) {
	for _, test := range []struct {
		name string
		// answer is what the upstream sends before the request is given up.
		answer string
		giveUp func(cancel context.CancelFunc, r *http.Response)
	}{
		{"the caller's context ends before an answer", "", func(cancel context.CancelFunc, _ *http.Response) { cancel() }},
		{"the caller's context ends within the body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbo", func(cancel context.CancelFunc, _ *http.Response) { cancel() }},
		{"the body is closed before its end", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbo", func(_ context.CancelFunc, r *http.Response) { _ = r.Body.Close() }},
		{"an answer ends before the request", response("1", ""), func(context.CancelFunc, *http.Response) {}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			received, givenUp, readError := make(chan struct{}), make(chan struct{}), make(chan error, 1)
			u := startUpstream(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				_, _ = r.ReadString('\n')
				_, _ = io.WriteString(conn, test.answer)
				close(received)
				<-givenUp
				_, err := io.Copy(io.Discard, r)
				readError <- err
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if test.answer == "" {
				go func() {
					<-received
					cancel()
				}()
			}
			r, err := newPool(t).Do(ctx, u.address, request("1", make([]byte, 32<<20)), Options{})
			c.Assert(err == nil, qt.Equals, test.answer != "")
			test.giveUp(cancel, r)
			close(givenUp)
			c.Assert(<-readError, qt.ErrorIs, syscall.ECONNRESET)
		})
	}
}
