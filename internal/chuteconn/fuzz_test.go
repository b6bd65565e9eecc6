package chuteconn

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/net/http/httpguts"
)

// exchangeBytes returns the answer and the body that an exchange makes of what an upstream sends before it closes.
func exchangeBytes(t testing.TB, sent []byte) (*http.Response, []byte, error) {
	pool := NewPool(time.Now)
	defer pool.Close()
	pool.Dial = func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			_, _ = far.Read(make([]byte, 1<<10)) // the request
			_, _ = far.Write(sent)
		}()

		return near, nil
	}
	r, err := pool.Do(t.Context(), "h", request("1", nil), Options{})
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(r.Body)
	_ = r.Body.Close()

	return r, body, err
}

// FuzzHead guards against an answer that is delivered and that a strict reader takes for another one, or for none.
func FuzzHead(f *testing.F) {
	for _, text := range []string{
		response("1", "ok"),
		unframedHead + "ok",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nA: x\r\n\r\n" + response("1", "ok"),
		"HTTP/1.1 000 X\r\n\r\n" + response("1", "ok"),
		"HTTP/1.1 200 OK\r\nA B: x\r\nContent-Length : 1\r\n\r\nok",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\nA: x\n y\nContent-Length: 2\n\nok",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		c := qt.New(t)
		r, body, err := exchangeBytes(t, sent)
		if err != nil {
			return
		}
		c.Assert(r.StatusCode >= 200 && r.StatusCode <= 599, qt.IsTrue, qt.Commentf("%d", r.StatusCode))
		r.Header.Del("Content-Length")
		var again bytes.Buffer
		_, _ = fmt.Fprintf(&again, "HTTP/1.1 %d X\r\n", r.StatusCode)
		for name, values := range r.Header {
			c.Assert(httpguts.ValidHeaderFieldName(name), qt.IsTrue, qt.Commentf("%q", name))
			for i, value := range values {
				values[i] = textproto.TrimString(value) // optional whitespace is no part of a value
				_, _ = fmt.Fprintf(&again, "%s: %s\r\n", name, value)
			}
		}
		_, _ = fmt.Fprintf(&again, "Content-Length: %d\r\n\r\n%s", len(body), body)
		second, secondBody, err := exchangeBytes(t, again.Bytes())
		c.Assert(err, qt.IsNil)
		second.Header.Del("Content-Length")
		c.Assert(second.StatusCode, qt.Equals, r.StatusCode)
		c.Assert(second.Header, qt.DeepEquals, r.Header)
		c.Assert(bytes.Equal(secondBody, body), qt.IsTrue)
	})
}
