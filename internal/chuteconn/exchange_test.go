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
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// upstream is a listener that hands each connection, with its number from 1, to a function.
type upstream struct {
	address string
	conns   atomic.Int64
}

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

// startAnswering serves each request on a connection with the text that answer returns for its id.
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

// expectBody fails unless the exchange brings exactly this body.
func expectBody(c *qt.C, p *Pool, u *upstream, id, want string) {
	c.Helper()
	r, err := p.Do(context.Background(), u.address, request(id, nil), Options{Matches: matchesID(id)})
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(r.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Body.Close(), qt.IsNil)
	c.Assert(string(body), qt.Equals, want)
}

// expectFailure fails unless the exchange fails, and returns how.
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

	t.Run("path and query go out byte for byte", func(t *testing.T) {
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

	t.Run("one that the upstream closed meanwhile is not used", func(t *testing.T) {
		// Used all the same, it would lose the request, and nobody could say whether
		// the upstream had read it.
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

	t.Run("one with bytes that nobody asked for is not used", func(t *testing.T) {
		// An upstream sends a second answer behind the first. Taken for the next
		// request's, it would reach the wrong caller.
		c := qt.New(t)
		p := newPool(t)
		u := startAnswering(t, func(id string) string { return response(id, id) + response(id, "x") })
		expectBody(c, p, u, "1", "1")
		waitUntil(func() bool { return !p.isIdleReusable(u.address) })
		expectBody(c, p, u, "2", "2")
		c.Assert(u.conns.Load(), qt.Equals, int64(2))
	})
}

// waitUntil polls a state that another process, here the kernel, brings about.
func waitUntil(done func() bool) {
	for !done() {
		time.Sleep(time.Millisecond)
	}
}

// isIdleReusable says whether the newest idle connection could be used.
func (p *Pool) isIdleReusable(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idleConns := p.idle[address]

	return len(idleConns) > 0 && idleConns[len(idleConns)-1].isReusable()
}

func TestMismatchedResponses(t *testing.T) {
	t.Run("an answer to another request is dropped and the own one read", func(t *testing.T) {
		// The answer to a request that was given up arrives late, in front of the
		// next one. The id tells them apart; the connection is not used again.
		c := qt.New(t)
		p := newPool(t)
		u := startAnswering(t, func(id string) string { return response("old", "theirs") + response(id, id) })
		expectBody(c, p, u, "1", "1")
		expectBody(c, p, u, "2", "2")
		c.Assert(u.conns.Load(), qt.Equals, int64(2))
	})

	t.Run("where the own one never comes the exchange fails", func(t *testing.T) {
		c := qt.New(t)
		u := startAnswering(t, func(string) string { return strings.Repeat(response("old", "x"), 9) })
		failure := expectFailure(c, newPool(t), u, request("1", nil), Options{Matches: matchesID("1")})
		c.Assert(failure.Unsent, qt.IsFalse)
	})

	t.Run("bytes that are no answer fail the exchange", func(t *testing.T) {
		c := qt.New(t)
		u := startAnswering(t, func(string) string { return "\x00\x01garbage\r\n\r\n" })
		c.Assert(expectFailure(c, newPool(t), u, request("1", nil), Options{}).Step, qt.Equals, "read")
	})
}

func TestTruncatedResponses(t *testing.T) {
	t.Run("a body that ends early is an error, not an end", func(t *testing.T) {
		c := qt.New(t)
		u := startUpstream(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf")
		})
		failure := expectFailure(c, newPool(t), u, request("1", nil), Options{})
		c.Assert(failure.Step, qt.Equals, "body")
	})

	t.Run("so is a body without a length whose connection is reset", func(t *testing.T) {
		c := qt.New(t)
		u := startUpstream(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf")
			_ = conn.(*net.TCPConn).SetLinger(0)
		})
		c.Assert(expectFailure(c, newPool(t), u, request("1", nil), Options{}).Step, qt.Equals, "body")
	})

	t.Run("one without a length that is closed properly is whole", func(t *testing.T) {
		c := qt.New(t)
		u := startUpstream(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
		})
		expectBody(c, newPool(t), u, "1", "whole")
	})

	t.Run("an answer ahead of the end of a long body leaves the connection unused", func(t *testing.T) {
		// The upstream refuses a long request after its head and does not read on. Kept,
		// the connection would bring the rest of this body in front of the next request.
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
	t.Run("where no connection comes about nothing was sent", func(t *testing.T) {
		c := qt.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		_ = l.Close()
		u := &upstream{address: l.Addr().String()}
		c.Assert(expectFailure(c, newPool(t), u, request("1", nil), Options{}).Unsent, qt.IsTrue)
	})

	t.Run("once a connection stands the request may have been read", func(t *testing.T) {
		c := qt.New(t)
		u := startUpstream(t, func(_ int64, _ net.Conn, r *bufio.Reader) { _, _ = r.ReadString('\n') })
		c.Assert(expectFailure(c, newPool(t), u, request("1", nil), Options{}).Unsent, qt.IsFalse)
	})

	t.Run("silence is told from an end", func(t *testing.T) {
		// A host that vanished answers no connection attempt; one that ended refuses it.
		c := qt.New(t)
		p := newPool(t)
		p.Dial = func(context.Context, string, string) (net.Conn, error) { return nil, context.DeadlineExceeded }
		failure := expectFailure(c, p, &upstream{address: "192.0.2.1:1"}, request("1", nil), Options{})
		c.Assert(failure.Silent, qt.IsTrue)
		c.Assert(failure.Unsent, qt.IsTrue)
	})

	t.Run("cancelling closes the connection, so that the upstream can stop", func(t *testing.T) {
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
