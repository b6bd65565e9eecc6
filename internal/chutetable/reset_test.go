package chutetable

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// Guards against an object that counts as stored though its service has reset the connection while it was still being sent.
func TestResetDuringPut(t *testing.T) {
	const puts = 300
	c := quicktest.New(t)
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
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	c.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	client := newClient(c, "http://"+l.Addr().String(), clockwork.NewRealClock())
	for range puts {
		c.Check(client.PutObject(c.Context(), "o", make([]byte, 256<<10)), quicktest.ErrorIs, ErrOutcomeUnknown)
	}
}
