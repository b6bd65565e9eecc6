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
)

var start = time.Unix(1000, 0)

// collector is a server whose answers a test decides.
type collector struct {
	address string
	jobs    chan Ask
	updates chan chan<- Update
	dropped chan uint64
	tokens  atomic.Uint64
	table   atomic.Pointer[Followed]
	changed chan struct{}
}

// setTable makes the server's table known, and tells followers of the last one.
func (c *collector) setTable(table chutefeed.Table, current bool) {
	changed := make(chan struct{})
	last := c.table.Swap(&Followed{Table: table, Current: current, Changed: changed})
	if last != nil {
		close(c.changed)
	}
	c.changed = changed
}

func serve(t testing.TB) *collector {
	t.Helper()
	c := &collector{
		jobs: make(chan Ask, 8), updates: make(chan chan<- Update, 8), dropped: make(chan uint64, 8),
	}
	c.setTable(chutefeed.Table{}, false)
	s := NewServer(Handlers{
		Now:      func() time.Time { return start },
		NewToken: func() uint64 { return c.tokens.Add(1) },
		OnJob: func(_ uint64, asked Ask, updates chan<- Update) {
			c.jobs <- asked
			c.updates <- updates
		},
		OnDrop:  func(token uint64) { c.dropped <- token },
		OnTable: func(string) Followed { return *c.table.Load() },
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

func job() Ask {
	return Ask{Loads: []chutefleet.LoadReport{{Upstream: "u", Calls: 9, Age: 30 * time.Millisecond}}, Job: chutebatch.Job{
		Request: "r", Pool: "p", Shard: "z", Stage: 2, Parts: 3, Inputs: []string{"a", "b"}, ResultBytes: 9,
		Priority: 1, TargetAt: start.Add(time.Second), Deadline: start.Add(2 * time.Second), TimeAfterStage: 300 * time.Millisecond, Zone: "z",
	}}
}

func TestMake(t *testing.T) {
	t.Run("a job arrives as it was sent, its results come back, and its lease lasts until it is ended", func(t *testing.T) {
		c := qt.New(t)
		s := serve(t)
		ctx, cancel := context.WithCancel(context.Background())
		made := make(chan Update, 1)
		ended := make(chan bool, 1)
		client := newClient(t)
		go func() {
			_, failed := client.Make(ctx, s.address, job(), start, func(u Update) { made <- u })
			ended <- failed
		}()
		c.Assert(<-s.jobs, qt.DeepEquals, job())
		results := []chutebatch.Result{{Ref: "x", Upstream: "u", Zone: "z"}}
		<-s.updates <- Update{Results: results, Wait: time.Second}
		u := <-made
		c.Assert(u.Results, qt.DeepEquals, results)
		c.Assert(u.Wait, qt.Equals, time.Second)
		c.Assert(s.dropped, qt.HasLen, 0)
		cancel()
		<-s.dropped
		c.Assert(<-ended, qt.IsFalse)
	})

	t.Run("a refusal is told with its reason", func(t *testing.T) {
		c := qt.New(t)
		s := serve(t)
		go func() { <-s.updates <- Update{Failure: "Late"} }()
		end, failed := newClient(t).Make(context.Background(), s.address, job(), start, func(Update) {})
		c.Assert(failed, qt.IsTrue)
		c.Assert(end, qt.DeepEquals, JobEnd{Reason: "Late"})
	})

	t.Run("a peer that shows no sign of life is lost, not waited for", func(t *testing.T) {
		// A node froze: its kernel accepts the connection, nobody answers.
		c := qt.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		defer func() { _ = l.Close() }()
		end, failed := newClient(t).Make(context.Background(), l.Addr().String(), job(), start, func(Update) {})
		c.Assert(failed, qt.IsTrue)
		c.Assert(end.Lost, qt.IsTrue)
	})

	t.Run("a peer that is gone is lost", func(t *testing.T) {
		c := qt.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		_ = l.Close()
		end, failed := newClient(t).Make(context.Background(), l.Addr().String(), job(), start, func(Update) {})
		c.Assert(failed, qt.IsTrue)
		c.Assert(end.Lost, qt.IsTrue)
	})

	t.Run("a job without parts is refused by name", func(t *testing.T) {
		c := qt.New(t)
		bad := job()
		bad.Job.Parts = 0
		end, failed := newClient(t).Make(context.Background(), serve(t).address, bad, start, func(Update) {})
		c.Assert(failed, qt.IsTrue)
		c.Assert(end.Reason, qt.Contains, "Parts")
	})
}
