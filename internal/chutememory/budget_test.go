package chutememory

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var startTime = time.Unix(1000, 0)

// acquireBeside begins to acquire bytes in a goroutine and returns where its error arrives.
func acquireBeside(ctx context.Context, h *Hold, bytes int64) <-chan error {
	result := make(chan error, 1)
	go func() { result <- h.Acquire(ctx, bytes, startTime) }()

	return result
}

// expectWaiting checks how many requests wait, once all goroutines have come to rest.
func expectWaiting(c *qt.C, b *Budget, count int) {
	synctest.Wait()
	c.Assert(b.View().Waiting, qt.Equals, count)
}

func noDisconnect() {}

// TestNoLimit guards against a bound on nodes whose settings have none.
func TestNoLimit(t *testing.T) {
	c := qt.New(t)
	b := New(0)
	h := b.Open("w", noDisconnect)
	c.Assert(h.TryAcquire(1<<40), qt.IsTrue)
	c.Assert(h.Acquire(context.Background(), 1<<40, startTime), qt.IsNil)
	h.Offer(1, startTime)
	h.Read(1, startTime)
	h.Release(1 << 40)
	c.Assert(b.Check(startTime), qt.DeepEquals, Shortage{})
	c.Assert(b.View(), qt.IsNil)
	h.Close()
}

// TestShares guards against one workspace that takes all memory, so that the others are refused.
func TestShares(t *testing.T) {
	c := qt.New(t)
	b := New(900)
	loud, other, third := b.Open("loud", noDisconnect), b.Open("other", noDisconnect), b.Open("third", noDisconnect)
	for loud.TryAcquire(1) {
	}
	c.Assert(b.View().Used, qt.Equals, int64(600))
	for other.TryAcquire(1) {
	}
	c.Assert(b.View().Used, qt.Equals, int64(800))
	c.Assert(third.TryAcquire(60), qt.IsTrue)
	c.Assert(third.TryAcquire(60), qt.IsFalse)
}

// TestWaitingOrder guards against a workspace that holds most being served before those that hold less.
func TestWaitingOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		b := New(900)
		loud, second, other := b.Open("loud", noDisconnect), b.Open("loud", noDisconnect), b.Open("other", noDisconnect)
		c.Assert(loud.TryAcquire(600), qt.IsTrue)
		c.Assert(other.TryAcquire(200), qt.IsTrue)
		first := acquireBeside(ctx, second, 50)
		expectWaiting(c, b, 1)
		next := acquireBeside(ctx, other, 100)
		expectWaiting(c, b, 2)
		loud.Release(150)
		c.Assert(<-next, qt.IsNil)
		expectWaiting(c, b, 1)
		loud.Release(150)
		c.Assert(<-first, qt.IsNil)
	})
}

// TestSmallPassesLarge guards against streams whose events wait until there is memory for a large answer.
func TestSmallPassesLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		b := New(3 << 20)
		holder, answer, stream := b.Open("w", noDisconnect), b.Open("w", noDisconnect), b.Open("w", noDisconnect)
		c.Assert(holder.TryAcquire(2<<20), qt.IsTrue)
		large := acquireBeside(ctx, answer, 1<<20)
		expectWaiting(c, b, 1)
		small := acquireBeside(ctx, stream, 100)
		expectWaiting(c, b, 2)
		holder.Release(1000)
		c.Assert(<-small, qt.IsNil)
		holder.Release(2<<20 - 1000)
		c.Assert(<-large, qt.IsNil)
	})
}

// TestAcquireEnds guards against requests that wait after they have ended, and against bytes booked for them.
func TestAcquireEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := New(900)
		holder, h := b.Open("w", noDisconnect), b.Open("w", noDisconnect)
		c.Assert(holder.TryAcquire(600), qt.IsTrue)
		c.Assert(h.Acquire(context.Background(), 601, startTime), qt.Equals, ErrTooLarge)
		// A stream's events are freed as its caller reads them, so the next one waits.
		stream := New(900).Open("w", noDisconnect)
		c.Assert(stream.Acquire(context.Background(), 500, startTime), qt.IsNil)
		stream.Offer(500, startTime)
		next := acquireBeside(context.Background(), stream, 200)
		synctest.Wait()
		c.Assert(next, qt.HasLen, 0)
		stream.Read(500, startTime)
		stream.Release(500)
		c.Assert(<-next, qt.IsNil)

		ctx, cancel := context.WithCancel(context.Background())
		result := acquireBeside(ctx, h, 10)
		expectWaiting(c, b, 1)
		cancel()
		c.Assert(<-result, qt.Equals, context.Canceled)
		expectWaiting(c, b, 0)

		result = acquireBeside(context.Background(), h, 10)
		expectWaiting(c, b, 1)
		h.Close()
		c.Assert(<-result, qt.Equals, ErrClosed)
		c.Assert(h.Acquire(context.Background(), 10, startTime), qt.Equals, ErrClosed)
		h.Release(10)
		c.Assert(b.View().Used, qt.Equals, int64(600))
	})
}

// TestCheck guards against slow readers that keep memory from all others, and against callers disconnected without need.
func TestCheck(t *testing.T) {
	late := startTime.Add(StallLimit)
	// open returns a hold with bytes that its caller has not read, and whether it was disconnected.
	open := func(c *qt.C, b *Budget, workspace string, bytes int64) (*Hold, *bool) {
		disconnected := new(bool)
		h := b.Open(workspace, func() { *disconnected = true })
		c.Assert(h.Acquire(context.Background(), bytes, startTime), qt.IsNil)
		h.Offer(bytes, startTime)

		return h, disconnected
	}

	t.Run("nobody is disconnected while there is memory", func(t *testing.T) {
		c := qt.New(t)
		b := New(900)
		_, disconnected := open(c, b, "w", 500)
		c.Assert(b.Check(late), qt.DeepEquals, Shortage{})
		c.Assert(*disconnected, qt.IsFalse)
	})

	t.Run("the largest of the workspace that holds most goes first, until enough is free", func(t *testing.T) {
		c := qt.New(t)
		b := New(900)
		_, small := open(c, b, "loud", 200)
		_, large := open(c, b, "loud", 300)
		_, other := open(c, b, "other", 210)
		c.Assert(b.Open("third", noDisconnect).TryAcquire(250), qt.IsFalse)
		c.Assert(b.Check(late), qt.DeepEquals, Shortage{Short: true, Dropped: []Dropped{{Workspace: "loud", Bytes: 300}}})
		c.Assert([]bool{*small, *large, *other}, qt.DeepEquals, []bool{false, true, false})
		c.Assert(b.Check(late), qt.DeepEquals, Shortage{})
	})

	t.Run("a caller that reads is not disconnected, nor one that waits for its upstream", func(t *testing.T) {
		c := qt.New(t)
		b := New(900)
		reads, disconnected := open(c, b, "w", 300)
		reads.Read(1, late.Add(-time.Millisecond))
		waits := b.Open("w", func() { c.Error("disconnected") })
		c.Assert(waits.TryAcquire(300), qt.IsTrue)
		c.Assert(waits.TryAcquire(300), qt.IsFalse)
		c.Assert(b.Check(late), qt.DeepEquals, Shortage{Short: true})
		c.Assert(*disconnected, qt.IsFalse)
	})

	t.Run("answers that wait for each other's memory don't wait for ever", func(t *testing.T) {
		// Two answers of unknown length are received in part, and neither can be received whole.
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			b := New(900)
			dropped := 0
			var holds []*Hold
			for range 2 {
				h := b.Open("w", func() { dropped++ })
				c.Assert(h.Acquire(context.Background(), 250, startTime), qt.IsNil)
				holds = append(holds, h)
			}
			for _, h := range holds {
				go func() {
					if err := h.Acquire(context.Background(), 300, startTime); err != nil {
						h.Close()
					}
				}()
			}
			expectWaiting(c, b, 2)
			c.Assert(b.Check(late.Add(-time.Millisecond)).Dropped, qt.HasLen, 0)
			c.Assert(b.Check(late).Dropped, qt.HasLen, 1)
			expectWaiting(c, b, 0)
			c.Assert(dropped, qt.Equals, 1)
			c.Assert(b.View().Used, qt.Equals, int64(550))
		})
	})
}

// model is a budget with what a test has done with it.
type model struct {
	budget *Budget
	holds  []*Hold
	held   []int64
	now    time.Time
}

// expectSound checks what holds between any two steps: sums, the limit, and that nobody waits for what fits.
func (m *model) expectSound(t *rapid.T) {
	b := m.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	sum, byWorkspace := int64(0), map[string]int64{}
	for h := range b.holds {
		sum += h.bytes
		byWorkspace[h.workspace] += h.bytes
		if h.bytes < 0 || h.received < 0 {
			t.Fatalf("a hold has %d bytes, %d of answers", h.bytes, h.received)
		}
	}
	if sum != b.used || b.used > b.limit {
		t.Fatalf("holds have %d, the budget %d of %d", sum, b.used, b.limit)
	}
	waiting := 0
	for name, acc := range b.accounts {
		if acc.used != byWorkspace[name] {
			t.Fatalf("%s has %d, its holds %d", name, acc.used, byWorkspace[name])
		}
		waiting += len(acc.small) + len(acc.large)
		if w := b.nextOf(acc); w != nil {
			t.Fatalf("%s waits for %d bytes that fit", name, w.bytes)
		}
	}
	if waiting != b.waiting {
		t.Fatalf("%d wait, not %d", waiting, b.waiting)
	}
}

// step does one random thing to the budget.
func (m *model) step(t *rapid.T) {
	const maxBytes = 200 << 10
	if len(m.holds) == 0 || rapid.IntRange(0, 4).Draw(t, "open") == 0 {
		m.holds = append(m.holds, m.budget.Open(fmt.Sprint("w", rapid.IntRange(0, 3).Draw(t, "workspace")), noDisconnect))
		m.held = append(m.held, 0)
	}
	i := rapid.IntRange(0, len(m.holds)-1).Draw(t, "hold")
	h, bytes := m.holds[i], rapid.Int64Range(1, maxBytes).Draw(t, "bytes")
	switch rapid.IntRange(0, 5).Draw(t, "step") {
	case 0:
		h.TryAcquire(bytes)
	case 1:
		m.acquire(h, i, bytes)
	case 2:
		if n := min(m.held[i], bytes); n > 0 {
			h.Offer(n, m.now)
			h.Read(n, m.now)
			h.Release(n)
			m.held[i] -= n
		}
	case 3:
		h.Offer(bytes, m.now)
	case 4:
		m.now = m.now.Add(time.Second)
		m.budget.Check(m.now)
	case 5:
		h.Close()
	}
}

// acquire acquires bytes, and leaves them waiting if they don't fit.
func (m *model) acquire(h *Hold, i int, bytes int64) {
	if m.isWaiting(h) {
		return
	}
	if w, err := h.acquireOrWait(bytes, m.now); w == nil && err == nil {
		m.held[i] += bytes
	}
}

func (m *model) isWaiting(h *Hold) bool {
	m.budget.mu.Lock()
	defer m.budget.mu.Unlock()

	return h.waiter != nil
}

// TestAllIsReleased guards against bytes that stay booked after the requests that held them have ended, by which a
// node would come to refuse all bodies, and against waiters that are forgotten.
func TestAllIsReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{budget: New(1 << 20), now: startTime}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step(t)
			m.expectSound(t)
		}
		for _, h := range m.holds {
			h.Close()
		}
		view := m.budget.View()
		if view.Used != 0 || view.Holds != 0 || view.Waiting != 0 || len(view.Largest) != 0 || len(m.budget.queued) != 0 {
			t.Fatalf("after the end of all requests: %+v", view)
		}
	})
}

// BenchmarkEvent is what each event of a stream costs.
func BenchmarkEvent(b *testing.B) {
	for _, waiting := range []int{0, 1000} {
		b.Run(fmt.Sprint(waiting, " workspaces wait"), func(b *testing.B) {
			budget := New(36 << 20)
			h := budget.Open("w", noDisconnect)
			if waiting > 0 {
				budget.Open("loud", noDisconnect).TryAcquire(24 << 20)
			}
			for i := range waiting {
				if _, err := budget.Open(fmt.Sprint("w", i), noDisconnect).acquireOrWait(20<<20, startTime); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				_ = h.Acquire(context.Background(), 100, startTime)
				h.Offer(100, startTime)
				h.Read(100, startTime)
				h.Release(100)
			}
		})
	}
}
