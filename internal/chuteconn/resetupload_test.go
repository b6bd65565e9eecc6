package chuteconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

const (
	// blockedUpload is more than the sockets of both sides hold, smallUpload is written before the answer is read.
	blockedUpload = 32 << 20
	longUpload    = 256 << 10
	smallUpload   = 1 << 10
	// uploadAttempts repeats an exchange whose outcome depends on the order of two goroutines.
	uploadAttempts = 30
)

// unframedHead begins an answer without a length, which ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"

// startEarly starts an upstream that answers with a text once it has read the head of a request, and then ends the connection.
func startEarly(t testing.TB, text string, end func(conn *net.TCPConn, r *bufio.Reader)) *upstream {
	return startUpstream(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		end(conn.(*net.TCPConn), r)
	})
}

func reset(conn *net.TCPConn, _ *bufio.Reader) {
	_ = conn.SetLinger(0)
}

// hasUnread reports whether the kernel holds bytes that have not been read from a connection.
func hasUnread(conn *net.TCPConn) bool {
	n := 0
	if raw, err := conn.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	}

	return n > 0
}

// Guards against a part of a body without a length that is taken for the whole one, because the connection was reset while
// the request was still being written.
func TestResetDuringUpload(t *testing.T) {
	for _, test := range []struct {
		name  string
		end   func(conn *net.TCPConn, r *bufio.Reader)
		sizes []int
	}{
		{"reset", reset, []int{smallUpload, longUpload, blockedUpload}},
		{"reset a while later", func(conn *net.TCPConn, r *bufio.Reader) {
			time.Sleep(2 * time.Millisecond)
			reset(conn, r)
		}, []int{smallUpload, longUpload, blockedUpload}},
		{"reset after the upload", func(conn *net.TCPConn, r *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, r, longUpload)
			reset(conn, r)
		}, []int{longUpload}},
		// The kernel resets a connection that is closed with unread bytes.
		{"closed with bytes of the upload unread", func(conn *net.TCPConn, _ *bufio.Reader) {
			waitUntil(func() bool { return hasUnread(conn) })
		}, []int{longUpload, blockedUpload}},
	} {
		for _, size := range test.sizes {
			for _, body := range []string{"", "part", strings.Repeat("part", 16<<10)} {
				t.Run(fmt.Sprintf("%s, upload of %d bytes, %d of the answer", test.name, size, len(body)), func(t *testing.T) {
					c := qt.New(t)
					u := startEarly(t, unframedHead+body, test.end)
					for range uploadAttempts {
						failure := expectFailure(c, newPool(t), u, request("1", make([]byte, size)), Options{})
						c.Assert(failure.Unsent || failure.Silent, qt.IsFalse)
					}
				})
			}
		}
	}
}

// Guards against an answer that is lost or late because its upstream ended it regularly and never read the whole upload.
func TestEarlyAnswer(t *testing.T) {
	const body = "refused early"
	for name, end := range map[string]func(conn *net.TCPConn, r *bufio.Reader){
		"half-closed": func(conn *net.TCPConn, r *bufio.Reader) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, r)
		},
		"half-closed, the upload unread": func(conn *net.TCPConn, _ *bufio.Reader) {
			_ = conn.CloseWrite()
			<-t.Context().Done()
		},
		"half-closed and then reset": func(conn *net.TCPConn, r *bufio.Reader) {
			_ = conn.CloseWrite()
			reset(conn, r)
		},
	} {
		for _, size := range []int{smallUpload, longUpload, blockedUpload} {
			t.Run(fmt.Sprintf("%s, upload of %d bytes", name, size), func(t *testing.T) {
				c := qt.New(t)
				u := startEarly(t, unframedHead+body, end)
				for range uploadAttempts {
					r, err := newPool(t).Do(t.Context(), u.address, request("1", make([]byte, size)), Options{})
					c.Assert(err, qt.IsNil)
					got, err := io.ReadAll(r.Body)
					c.Assert(err, qt.IsNil)
					c.Assert(string(got), qt.Equals, body)
				}
			})
		}
	}
}
