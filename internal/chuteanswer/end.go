package chuteanswer

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewReader returns a reader of a connection that returns io.EOF only if the peer has ended its side regularly.
//
// The kernel reports a reset once, to whichever of reader and writer asks first. If the writer does, reads return io.EOF, and
// a body that ends with its connection would look whole.
func NewReader(conn net.Conn) io.Reader {
	return &reader{conn: conn}
}

// WrapDial returns a function that dials as dial does; the connections are read as by NewReader.
func WrapDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}

		return &conn{Conn: opened, reader: reader{conn: opened}}, nil
	}
}

// conn is a connection whose reads tell a reset from an end.
type conn struct {
	net.Conn

	reader reader
}

func (c *conn) Read(p []byte) (int, error) {
	return c.reader.Read(p)
}

// reader tells a reset of a connection from its end.
type reader struct {
	conn net.Conn
	// received counts the bytes read.
	received uint64
}

func (r *reader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	r.received += uint64(n) //nolint:gosec // never negative
	if err == io.EOF && !r.hasFinished() {
		err = &net.OpError{
			Op: "read", Net: "tcp", Source: r.conn.LocalAddr(), Addr: r.conn.RemoteAddr(), Err: os.NewSyscallError("read", syscall.ECONNRESET),
		}
	}

	return n, err
}

// hasFinished reports whether the peer of a connection that has reached its end has sent a FIN. Connections that are no sockets
// have no other end.
func (r *reader) hasFinished() bool {
	socket, ok := r.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return false
	}

	// The kernel counts a FIN as one byte received, which tells a reset after the FIN from one in its place.
	return info.State != unix.BPF_TCP_CLOSE || info.Bytes_received > r.received
}
