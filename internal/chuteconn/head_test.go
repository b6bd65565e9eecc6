package chuteconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
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
		_ = r.Body.Close()
		c.Fatalf("%d %v", r.StatusCode, r.Header)
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

// Guards against a field whose name is no token: it is passed on, or hides the length or the coding of the body.
func TestInvalidFields(t *testing.T) {
	const length, ok = "Content-Length: 2\r\n", "ok"
	for name, fields := range map[string]string{
		"a blank in a name":              "A B: x\r\n" + length,
		"a blank before the colon":       "A : x\r\n" + length,
		"a length behind a blank":        "Content-Length : 2\r\n",
		"a coding behind a blank":        "Transfer-Encoding : chunked\r\n" + length,
		"an id behind a blank":           "Id : 2\r\n" + length,
		"a tab in a name":                "A\tB: x\r\n" + length,
		"a control byte in a name":       "A\x01B: x\r\n" + length,
		"a NUL in a name":                "A\x00: x\r\n" + length,
		"a carriage return in a name":    "A\rB: x\r\n" + length,
		"a byte over 127 in a name":      "A\xffB: x\r\n" + length,
		"an empty name":                  ": x\r\n" + length,
		"no colon":                       "A\r\n" + length,
		"a folded name":                  "A\r\n B: x\r\n" + length,
		"a NUL in a value":               "A: x\x00\r\n" + length,
		"a carriage return in a value":   "A: x\rB: y\r\n" + length,
		"a control byte in a value":      "A: \x01\r\n" + length,
		"two lengths":                    length + "Content-Length: 3\r\n",
		"a list of lengths":              "Content-Length: 2, 3\r\n",
		"a signed length":                "Content-Length: +2\r\n",
		"an unknown coding":              "Transfer-Encoding: gzip, chunked\r\n",
		"two codings":                    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"a blank before the first field": " A: x\r\n" + length,
	} {
		t.Run(name, func(t *testing.T) {
			expectMalformed(qt.New(t), "HTTP/1.1 200 OK\r\n"+fields+"Id: 1\r\n\r\n"+ok)
		})
	}

	t.Run("in an interim head", func(t *testing.T) {
		expectMalformed(qt.New(t), "HTTP/1.1 103 Early Hints\r\nA B: x\r\n\r\n"+response("1", ok))
	})

	t.Run("in an answer to another request", func(t *testing.T) {
		expectMalformed(qt.New(t), "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length : 40\r\nContent-Length: 0\r\n\r\n"+response("1", ok))
	})
}

// Guards against the body of an answer to another request that is read on as the next head.
func TestDroppedBody(t *testing.T) {
	for name, dropped := range map[string]string{
		"longer than what is dropped": "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 2000000\r\n\r\n" + strings.Repeat("x", maxMismatchedBytes),
		"in chunks, longer than what is dropped": "HTTP/1.1 200 OK\r\nId: old\r\nTransfer-Encoding: chunked\r\n\r\n1E8480\r\n" +
			strings.Repeat("x", maxMismatchedBytes),
	} {
		t.Run(name, func(t *testing.T) {
			expectMalformed(qt.New(t), dropped+response("1", "ok"))
		})
	}

	t.Run("of a request without HEAD, before the answer to HEAD", func(t *testing.T) {
		c := qt.New(t)
		pool := newPool(t)
		u := startSending(t, "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 41\r\n\r\n"+response("1", "ok"))
		r := request("1", nil)
		r.Method = http.MethodHead
		c.Assert(expectFailure(c, pool, u, r, Options{Matches: matchesID("1")}).Step, qt.Equals, "read")
	})
}

// Guards against an answer in a version of the protocol that has no chunks, or that is not spoken, and whose body is passed
// on with its framing.
func TestOtherVersions(t *testing.T) {
	const chunked = "Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	for name, text := range map[string]string{
		"HTTP/1.0 with a coding":                 "HTTP/1.0 200 OK\r\n" + chunked,
		"HTTP/1.0 with a coding, behind a field": "HTTP/1.0 200 OK\r\nA: " + strings.Repeat("x", 2*readBufferSize) + "\r\n" + chunked,
		"HTTP/1.0 with a length and a coding":    "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n" + chunked,
		"HTTP/1.0 behind an interim head":        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\n" + chunked,
		"HTTP/2.0":                               "HTTP/2.0 200 OK\r\nContent-Length: 2\r\nId: 1\r\n\r\nok",
		"HTTP/0.9":                               "HTTP/0.9 200 OK\r\nContent-Length: 2\r\nId: 1\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			expectMalformed(qt.New(t), text)
		})
	}

	for name, text := range map[string]string{
		"HTTP/1.0 with a length":    "HTTP/1.0 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.0 without a length": "HTTP/1.0 200 OK\r\nId: 1\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			u := startEarly(t, text, func(conn *net.TCPConn, _ *bufio.Reader) { _ = conn.CloseWrite() })
			expectBody(c, newPool(t), u, "1", "ok")
		})
	}
}
