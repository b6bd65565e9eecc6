package chuteconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// maxReadAhead is the number of bytes above maxHeadBytes that an upstream may have sent when its connection ends: what
// the sockets of both sides hold. An endless head ends only there.
const maxReadAhead = 16 << 20

// startEndless starts an upstream that answers each request with a start and then a text again and again, up to
// maxReadAhead bytes. sent counts the bytes.
func startEndless(t testing.TB, start, repeated string) (u *upstream, sent *atomic.Int64) {
	t.Helper()
	sent = &atomic.Int64{}
	block := strings.Repeat(repeated, 1+4096/len(repeated))
	u = startUpstream(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		if _, err := r.ReadString('\n'); err != nil {
			return
		}
		_, err := io.WriteString(conn, start)
		for err == nil && sent.Load() < maxReadAhead {
			var n int
			n, err = io.WriteString(conn, block)
			sent.Add(int64(n))
		}
		_, _ = io.WriteString(conn, "\r\n\r\n")
	})

	return u, sent
}

// Guards against an upstream that ends nodes by their memory, or holds calls to their deadline, with bytes that come
// without end where the head of an answer is due.
func TestEndlessHead(t *testing.T) {
	for name, text := range map[string][2]string{
		"no status line":        {"", "x"},
		"one field":             {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"fields":                {"HTTP/1.1 200 OK\r\n", "A: x\r\n"},
		"interim heads":         {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"fields of a stream":    {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n", "A: x\r\n"},
		"no end of a line":      {"HTTP/1.1 200 ", "OK"},
		"empty lines of a head": {"HTTP/1.1 200 OK\r\nA: x", "\r\n "},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			u, sent := startEndless(t, text[0], text[1])
			_, err := newPool(t).Do(t.Context(), u.address, request("1", nil), Options{})
			var failure *Error
			c.Assert(errors.As(err, &failure), qt.IsTrue)
			c.Assert(failure.Step, qt.Equals, "read")
			c.Assert(failure.Silent || failure.Unsent, qt.IsFalse)
			c.Assert(sent.Load() < maxReadAhead, qt.IsTrue, qt.Commentf("%d bytes were read", sent.Load()))
		})
	}

	t.Run("a long head that ends is read, and the connection is kept", func(t *testing.T) {
		c := qt.New(t)
		long := "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", maxHeadBytes/2) + "\r\nContent-Length: 2\r\n\r\nok"
		u := startAnswering(t, func(string) string { return long })
		pool := newPool(t)
		for range 3 {
			response, err := pool.Do(t.Context(), u.address, request("1", nil), Options{})
			c.Assert(err, qt.IsNil)
			body, err := io.ReadAll(response.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(string(body), qt.Equals, "ok")
		}
		c.Assert(u.conns.Load(), qt.Equals, int64(1))
	})

	t.Run("a body may be longer than a head", func(t *testing.T) {
		c := qt.New(t)
		body := strings.Repeat("x", 4*maxHeadBytes)
		u := startAnswering(t, func(string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 262144\r\n\r\n" + body })
		response, err := newPool(t).Do(t.Context(), u.address, request("1", nil), Options{})
		c.Assert(err, qt.IsNil)
		got, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(len(got), qt.Equals, len(body))
	})
}
