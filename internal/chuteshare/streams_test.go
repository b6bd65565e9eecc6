package chuteshare

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"

	"azurechute.example/azurechute/internal/chuteshare/chutesharepb"
	"azurechute.example/azurechute/internal/chutestream"
)

func testRecord(n int) chutestream.Record {
	return chutestream.Record{
		ID:      chutestream.NewID("w", "p", fmt.Sprint(n), fmt.Sprint(n)),
		Binding: chutestream.Binding{Pool: "reef-llm", Version: "v1.1", Upstream: "i-ae34ab937d"}, Until: startTime.Add(8 * time.Second),
	}
}

// newPatientClient returns a client that is connected to an address, and whose calls have no time limit. What a
// call carries doesn't depend on how soon a busy machine connects and answers.
func newPatientClient(c *qt.C, client *Client, address string) *Client {
	client.limitCall = func(ctx context.Context, _ time.Duration) (context.Context, context.CancelFunc) {
		return context.WithCancel(ctx)
	}
	conn, err := client.connTo(address)
	c.Assert(err, qt.IsNil)
	for state := conn.GetState(); state != connectivity.Ready; state = conn.GetState() {
		conn.Connect()
		conn.WaitForStateChange(context.Background(), state)
	}

	return client
}

// slowFirstDial connects by TCP, the first time after a delay, as on a busy machine.
func slowFirstDial(delay time.Duration) func(ctx context.Context, address string) (net.Conn, error) {
	var delayed sync.Once

	return func(_ context.Context, address string) (net.Conn, error) {
		delayed.Do(func() { time.Sleep(delay + delay/2) })

		return net.Dial("tcp", address)
	}
}

// TestStreams guards against records of streams that change on their way, and against invalid ones that are taken.
func TestStreams(t *testing.T) {
	t.Run("a record arrives as announced, and is found", func(t *testing.T) {
		c := qt.New(t)
		s, client := startServer(t), newClient(t)
		client.Dial = slowFirstDial(announceStreamsTimeout)
		client = newPatientClient(c, client, s.address)
		c.Assert(client.AnnounceStreams(context.Background(), s.address, []chutestream.Record{testRecord(1), testRecord(2)}, startTime), qt.IsNil)
		c.Assert(s.records, qt.HasLen, 2)
		got, known, err := client.FindStream(context.Background(), s.address, testRecord(2).ID, startTime)
		c.Assert(err, qt.IsNil)
		c.Assert(known, qt.IsTrue)
		c.Assert(got.Binding, qt.Equals, testRecord(2).Binding)
		c.Assert(got.Until, qt.Equals, testRecord(2).Until)
	})

	t.Run("a stream that is not known is no error", func(t *testing.T) {
		c := qt.New(t)
		s := startServer(t)
		_, known, err := newPatientClient(c, newClient(t), s.address).FindStream(context.Background(), s.address, testRecord(1).ID, startTime)
		c.Assert(err, qt.IsNil)
		c.Assert(known, qt.IsFalse)
	})

	t.Run("calls end at their time limits", func(t *testing.T) {
		// A peer accepts connections and never answers. The caller of a stream waits for the question.
		c := qt.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		t.Cleanup(func() { _ = l.Close() })
		client := newClient(t)
		var limits []time.Duration
		client.limitCall = func(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
			limits = append(limits, limit)

			return context.WithTimeout(ctx, time.Millisecond)
		}
		err = client.AnnounceStreams(context.Background(), l.Addr().String(), []chutestream.Record{testRecord(1)}, startTime)
		c.Assert(status.Code(err), qt.Equals, codes.DeadlineExceeded)
		_, _, err = client.FindStream(context.Background(), l.Addr().String(), testRecord(1).ID, startTime)
		c.Assert(status.Code(err), qt.Equals, codes.DeadlineExceeded)
		c.Assert(limits, qt.DeepEquals, []time.Duration{announceStreamsTimeout, findStreamTimeout})
	})

	t.Run("malformed records are rejected as a whole", func(t *testing.T) {
		c := qt.New(t)
		s := startServer(t)
		client := newPatientClient(c, newClient(t), s.address)
		long, empty := testRecord(1), testRecord(2)
		long.Binding.Version = strings.Repeat("v", maxBindingText+1)
		empty.Binding = chutestream.Binding{}
		for _, records := range [][]chutestream.Record{{long}, {testRecord(3), empty}, make([]chutestream.Record, chutestream.MaxRecordsPerCall+1)} {
			err := client.AnnounceStreams(context.Background(), s.address, records, startTime)
			c.Assert(status.Code(err), qt.Equals, codes.InvalidArgument)
			c.Assert(s.records, qt.HasLen, 0)
		}
		conn, err := client.connTo(s.address)
		c.Assert(err, qt.IsNil)
		_, err = chutesharepb.NewShareClient(conn).FindStream(context.Background(), &chutesharepb.FindStreamRequest{Id: []byte("short")})
		c.Assert(status.Code(err), qt.Equals, codes.InvalidArgument)
	})
}

// countingConn counts the bytes that a connection carries in both directions.
type countingConn struct {
	net.Conn

	count *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.Add(int64(n))

	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.Add(int64(n))

	return n, err
}

// TestAnnounceStreamsBytes guards against records of streams that take more than a third of the 8 KB a second that a node
// has for control, at 5 records a second that it announces and as many that it receives.
func TestAnnounceStreamsBytes(t *testing.T) {
	const calls = 200
	const callsPerSecond = 10
	const maxBytes = (8 << 10) / 3 / callsPerSecond
	c := qt.New(t)
	s, client := startServer(t), newClient(t)
	var count atomic.Int64
	client.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)

		return countingConn{Conn: conn, count: &count}, err
	}
	client = newPatientClient(c, client, s.address)
	for n := range calls {
		c.Assert(client.AnnounceStreams(context.Background(), s.address, []chutestream.Record{testRecord(n)}, startTime), qt.IsNil)
	}
	bytes := count.Load() / calls
	c.Logf("%d bytes a call in both directions, without the headers of packets", bytes)
	c.Assert(bytes <= maxBytes, qt.IsTrue, qt.Commentf("%d bytes", bytes))
}

func BenchmarkAnnounceStreams(b *testing.B) {
	s, client := startServer(b), newClient(b)
	for n := range b.N {
		if err := client.AnnounceStreams(context.Background(), s.address, []chutestream.Record{testRecord(n)}, startTime); err != nil {
			b.Fatal(err)
		}
	}
}
