package chuteshare

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chutestream"
)

var startTime = time.Unix(1000, 0)

// testServer is a collector whose updates and table are set by a test.
type testServer struct {
	address string
	jobs    chan JobRequest
	updates chan chan<- JobUpdate
	dropped chan uint64
	tokens  atomic.Uint64
	table   atomic.Pointer[TableState]
	changed chan struct{}
	// records are those of the last AnnounceStreams.
	records []chutestream.Record
	// forward serves forwarded requests.
	forward func(ctx context.Context, request ForwardRequest, out ForwardOutput)
	// work begins exchanges of work; nil stands for an older build.
	work func(peer WorkPeer) WorkSession
}

// setTable replaces the server's table and notifies the followers of the previous one.
func (c *testServer) setTable(table chutefeed.Table, current bool) {
	changed := make(chan struct{})
	last := c.table.Swap(&TableState{Table: table, Current: current, Changed: changed})
	if last != nil {
		close(c.changed)
	}
	c.changed = changed
}

func startServer(t testing.TB) *testServer {
	t.Helper()

	return startServerWithWork(t, nil)
}

// startServerWithWork starts a server that exchanges work.
func startServerWithWork(t testing.TB, work func(peer WorkPeer) WorkSession) *testServer {
	t.Helper()
	c := &testServer{
		work: work,
		jobs: make(chan JobRequest, 8), updates: make(chan chan<- JobUpdate, 8), dropped: make(chan uint64, 8),
	}
	c.setTable(chutefeed.Table{}, false)
	s := NewServer(Handlers{
		Now:      func() time.Time { return startTime },
		NewToken: func() uint64 { return c.tokens.Add(1) },
		OnJob: func(_ uint64, request JobRequest, updates chan<- JobUpdate) {
			c.jobs <- request
			c.updates <- updates
		},
		OnLeaseEnd:         func(token uint64) { c.dropped <- token },
		OnTable:            func(string) TableState { return *c.table.Load() },
		OnForward:          func(ctx context.Context, request ForwardRequest, out ForwardOutput) { c.forward(ctx, request, out) },
		OnWork:             c.work,
		OnStreamsAnnounced: func(records []chutestream.Record) { c.records = records },
		OnFindStream: func(id chutestream.ID) (chutestream.Record, bool) {
			for _, r := range c.records {
				if r.ID == id {
					return r, true
				}
			}

			return chutestream.Record{}, false
		},
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	c.address = l.Addr().String()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	t.Cleanup(func() {
		s.Stop()
		<-done
	})

	return c
}

func newClient(t testing.TB) *Client {
	c := NewClient()
	t.Cleanup(c.Close)

	return c
}

func newJobRequest() JobRequest {
	return JobRequest{Loads: []chutefleet.LoadReport{{Upstream: "u", Calls: 9, Age: 30 * time.Millisecond}}, Job: chutebatch.Job{
		Request: "r", Pool: "p", Shard: "z", Stage: 2, Parts: 3, Inputs: []string{"a", "b"}, ResultBytes: 9,
		Priority: 1, TargetAt: startTime.Add(time.Second), Deadline: startTime.Add(2 * time.Second), TimeAfterStage: 300 * time.Millisecond, Zone: "z",
	}}
}

func TestMake(t *testing.T) {
	t.Run("a job arrives as sent, its results come back, and its lease lasts until the caller ends it", func(t *testing.T) {
		c := qt.New(t)
		s := startServer(t)
		ctx, cancel := context.WithCancel(context.Background())
		made := make(chan JobUpdate, 1)
		ended := make(chan bool, 1)
		client := newClient(t)
		go func() {
			_, failed := client.Make(ctx, s.address, newJobRequest(), startTime, func(update JobUpdate) { made <- update })
			ended <- failed
		}()
		c.Assert(<-s.jobs, qt.DeepEquals, newJobRequest())
		results := []chutebatch.Result{{Ref: "x", Upstream: "u", Zone: "z"}}
		<-s.updates <- JobUpdate{Results: results, Wait: time.Second}
		update := <-made
		c.Assert(update.Results, qt.DeepEquals, results)
		c.Assert(update.Wait, qt.Equals, time.Second)
		c.Assert(s.dropped, qt.HasLen, 0)
		cancel()
		<-s.dropped
		c.Assert(<-ended, qt.IsFalse)
	})

	t.Run("a refusal is returned with its reason", func(t *testing.T) {
		c := qt.New(t)
		s := startServer(t)
		go func() { <-s.updates <- JobUpdate{Failure: "Late"} }()
		end, failed := newClient(t).Make(context.Background(), s.address, newJobRequest(), startTime, func(JobUpdate) {})
		c.Assert(failed, qt.IsTrue)
		c.Assert(end, qt.DeepEquals, JobEnd{Reason: "Late"})
	})

	t.Run("a peer that sends no keepalive is lost", func(t *testing.T) {
		// The peer is a frozen node: its kernel accepts the connection, but the process never
		// answers.
		c := qt.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		defer func() { _ = l.Close() }()
		end, failed := newClient(t).Make(context.Background(), l.Addr().String(), newJobRequest(), startTime, func(JobUpdate) {})
		c.Assert(failed, qt.IsTrue)
		c.Assert(end.Lost, qt.IsTrue)
	})

	t.Run("a peer that refuses the connection is lost", func(t *testing.T) {
		c := qt.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		_ = l.Close()
		end, failed := newClient(t).Make(context.Background(), l.Addr().String(), newJobRequest(), startTime, func(JobUpdate) {})
		c.Assert(failed, qt.IsTrue)
		c.Assert(end.Lost, qt.IsTrue)
	})

	t.Run("a job without parts is refused with the name of the field", func(t *testing.T) {
		c := qt.New(t)
		bad := newJobRequest()
		bad.Job.Parts = 0
		end, failed := newClient(t).Make(context.Background(), startServer(t).address, bad, startTime, func(JobUpdate) {})
		c.Assert(failed, qt.IsTrue)
		c.Assert(end.Reason, qt.Contains, "Parts")
	})
}
