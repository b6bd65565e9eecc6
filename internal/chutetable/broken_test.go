package chutetable

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"azurechute.example/azurechute/internal/chuteanswer"
)

// serveEach answers the first request of each connection with a text, once it has read the head, and then ends the connection
// with end. It returns the URL.
func serveEach(c *quicktest.C, text string, end func(conn *net.TCPConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, text)
			end(conn.(*net.TCPConn))
			_ = conn.Close()
		}
	}()
	c.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return "http://" + l.Addr().String()
}

// Guards against an object that counts as stored though its service has reset the connection while it was still being sent.
func TestResetDuringPut(t *testing.T) {
	const puts = 300
	c := quicktest.New(t)
	url := serveEach(c, "HTTP/1.1 200 OK\r\n\r\npart", func(conn *net.TCPConn) { _ = conn.SetLinger(0) })
	client := newClient(c, url, clockwork.NewRealClock())
	for range puts {
		c.Check(client.PutObject(c.Context(), "o", make([]byte, 256<<10)), quicktest.ErrorIs, ErrOutcomeUnknown)
	}
}

// Guards against an object with bytes that follow its end, as the name of the field with its length is no token.
func TestMalformedObjectHead(t *testing.T) {
	c := quicktest.New(t)
	url := serveEach(c, "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}HTTP/1.1 200 OK\r\n", func(*net.TCPConn) {})
	_, err := newClient(c, url, clockwork.NewRealClock()).GetObject(c.Context(), "o")
	c.Assert(err, quicktest.ErrorIs, chuteanswer.ErrMalformed)
}
