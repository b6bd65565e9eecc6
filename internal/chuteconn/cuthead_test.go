package chuteconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// startCutting starts an upstream that answers the first request of a connection as a whole if answersFirst, and the next
// one with a text that it ends by a close or a reset.
func startCutting(t testing.TB, answersFirst bool, text string, reset bool) *upstream {
	return startUpstream(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		texts := []string{text}
		if answersFirst {
			texts = []string{response("first", "out"), text}
		}
		for _, text := range texts {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, text)
		}
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	})
}

// looksWhole reports whether an exchange returns a response and its body without an error.
func looksWhole(c *qt.C, u *upstream, answersFirst bool) bool {
	p := newPool(c.TB)
	if answersFirst {
		expectBody(c, p, u, "first", "out")
	}
	r, err := p.Do(context.Background(), u.address, request("a", nil), Options{Matches: matchesID("a")})
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	_, err = io.ReadAll(r.Body)

	return err == nil
}

// Guards against a response that was cut off, in its head above all, and is taken for whole with an empty or a short body.
func TestCutHead(t *testing.T) {
	const body = "hello"
	for _, test := range []struct{ name, text string }{
		{"length", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\n" + body},
		{"length of two digits", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 05\r\n\r\n" + body},
		{"chunks", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
		{"neither", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/plain\r\n\r\n" + body},
		{"after an interim response", "HTTP/1.1 102 Processing\r\nId: a\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\n" + body},
		{"bare line feeds", "HTTP/1.1 200 OK\nId: a\nContent-Length: 5\n\n" + body},
	} {
		cuts := len(test.text)
		if test.name == "neither" {
			// A close ends such a body, so that only a cut in its head shows.
			cuts -= len(body)
		}
		for _, answersFirst := range []bool{false, true} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, kept %t, reset %t", test.name, answersFirst, reset), func(t *testing.T) {
					c := qt.New(t)
					for n := range cuts {
						u := startCutting(t, answersFirst, test.text[:n], reset)
						c.Check(looksWhole(c, u, answersFirst), qt.IsFalse, qt.Commentf("%q", test.text[:n]))
					}
					if !reset {
						c.Check(looksWhole(c, startCutting(t, answersFirst, test.text, reset), answersFirst), qt.IsTrue)
					}
				})
			}
		}
	}
}
