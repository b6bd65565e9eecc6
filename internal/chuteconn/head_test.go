package chuteconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// startSending starts an upstream that sends a text to each connection once it has read a request, and then keeps the
// connection open.
func startSending(t testing.TB, text string) *upstream {
	return startUpstream(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, text)
		_, _ = io.Copy(io.Discard, r)
	})
}

// expectMalformed fails the test unless the exchange fails at the head that an upstream sends.
func expectMalformed(c *qt.C, text string) {
	c.Helper()
	pool := newPool(c.TB)
	u := startSending(c.TB, text)
	r, err := pool.Do(c.Context(), u.address, request("1", nil), Options{Matches: matchesID("1")})
	if err == nil {
		body, bodyErr := io.ReadAll(r.Body)
		c.Fatalf("%d %v %q %v", r.StatusCode, r.Header, body, bodyErr)
	}
	var failure *Error
	c.Assert(errors.As(err, &failure), qt.IsTrue)
	c.Assert(failure.Step, qt.Equals, "read")
	c.Assert(failure.Unsent || failure.Silent, qt.IsFalse)
	c.Assert(pool.idle[u.address], qt.HasLen, 0)
}

// Guards against a head with an invalid status that is passed on, or skipped like an interim one, so that the bytes behind it
// count as the answer.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "-01", "101", "600", "999", "2OO", "20", "2000"} {
		t.Run(status, func(t *testing.T) {
			expectMalformed(qt.New(t), "HTTP/1.1 "+status+" X\r\nId: 1\r\nContent-Length: 0\r\n\r\n"+response("1", "ok"))
		})
	}

	t.Run("in an answer to another request", func(t *testing.T) {
		expectMalformed(qt.New(t), "HTTP/1.1 999 X\r\nId: old\r\nContent-Length: 0\r\n\r\n"+response("1", "ok"))
	})

	for name, framing := range map[string]string{"a length": "Content-Length: 41", "chunks": "Transfer-Encoding: chunked"} {
		t.Run("an interim head with "+name, func(t *testing.T) {
			expectMalformed(qt.New(t), "HTTP/1.1 103 Early Hints\r\n"+framing+"\r\n\r\n"+response("1", "ok"))
		})
	}
}
