package chutelease_test

import (
	"testing"
	"time"
	"unsafe"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutelease"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func settings(node string) chutelease.Settings {
	return chutelease.Settings{
		Zone: "z1", Node: node, Incarnation: node + "-1",
		Duration: 3 * time.Second, Margin: 300 * time.Millisecond, OrderTimeout: 400 * time.Millisecond,
	}
}

// acquired returns a machine that got the absent row by a write sent at start and answered 100 ms later.
func acquired(c *qt.C) chutelease.Machine {
	m, wants := chutelease.New(settings("a")).WithDue(start)
	m, wants = m.WithRowRead(chutelease.RowRead{ID: wants.Read.ID, At: start})
	c.Assert(wants.Write.Row.Epoch, qt.Equals, uint64(1))
	m, _ = m.WithWriteCommitted(chutelease.WriteCommitted{ID: wants.Write.ID, Version: 7, At: start.Add(100 * time.Millisecond)})

	return m
}

func expectHeldUntil(c *qt.C, m chutelease.Machine, until time.Duration) {
	c.Helper()
	c.Assert(m.Held(start.Add(until-time.Millisecond)), qt.IsTrue)
	c.Assert(m.Held(start.Add(until)), qt.IsFalse)
}

// withWallAhead moves the wall clock reading of a time and leaves its monotonic reading; package time offers no way
// to build such a time, so this writes to the seconds in its first word.
func withWallAhead(c *qt.C, t time.Time, ahead time.Duration) time.Time {
	moved := t
	*(*uint64)(unsafe.Pointer(&moved)) += uint64(ahead/time.Second) << 30
	c.Assert(moved.Sub(t), qt.Equals, time.Duration(0))
	c.Assert(moved.Round(0).Sub(t.Round(0)), qt.Equals, ahead)

	return moved
}

func TestHold(t *testing.T) {
	c := qt.New(t)

	c.Run("counts from before the sending, less the margin", func(c *qt.C) {
		expectHeldUntil(c, acquired(c), 2700*time.Millisecond)
	})

	c.Run("an order must wait out the predecessor's and end within the hold", func(c *qt.C) {
		m := acquired(c)
		timeout := 400 * time.Millisecond
		c.Assert(m.SendAllowed(start.Add(499*time.Millisecond), timeout), qt.IsFalse)
		c.Assert(m.SendAllowed(start.Add(500*time.Millisecond), timeout), qt.IsTrue)
		c.Assert(m.SendAllowed(start.Add(2300*time.Millisecond), timeout), qt.IsFalse)
		c.Assert(m.Remaining(start.Add(2300*time.Millisecond)), qt.Equals, timeout)
	})

	c.Run("ends by the wall clock when the monotonic clock stood still", func(c *qt.C) {
		// The VM is suspended; its monotonic clock stands still, its wall clock is right again on waking.
		// A holder that asked the monotonic clock alone would go on ordering beside its successor.
		now := time.Now()
		m, wants := chutelease.New(settings("a")).WithDue(now)
		m, wants = m.WithRowRead(chutelease.RowRead{ID: wants.Read.ID, At: now})
		m, _ = m.WithWriteCommitted(chutelease.WriteCommitted{ID: wants.Write.ID, Version: 7, At: now})
		c.Assert(m.Held(now), qt.IsTrue)
		c.Assert(m.Held(withWallAhead(c, now, time.Hour)), qt.IsFalse)
	})

	c.Run("ends when an engine knows a later epoch, and the next is above it", func(c *qt.C) {
		m := acquired(c).WithFencingSeen(1)
		expectHeldUntil(c, m, 2700*time.Millisecond)
		m = m.WithFencingSeen(9)
		c.Assert(m.Held(start.Add(time.Second)), qt.IsFalse)
		_, wants := m.WithDue(start.Add(time.Second))
		c.Assert(wants.Write.Row.Epoch, qt.Equals, uint64(10))
	})
}

func TestLostRenewal(t *testing.T) {
	// The holder's renewal takes effect but its answer is lost; a second renewal, sent later on the old condition,
	// is refused by the first. The hold may count from the first only: a contender has watched the row since then.
	c := qt.New(t)
	m := acquired(c)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	m, first := m.WithDue(at(1000))
	c.Assert(first.Write.Row.Epoch, qt.Equals, uint64(1))
	m, read := m.WithWriteUnknown(first.Write.ID, at(1200))
	expectHeldUntil(c, m, 2700*time.Millisecond)
	// The read overtakes the write.
	row, _ := m.Holder()
	m, second := m.WithRowRead(chutelease.RowRead{ID: read.Read.ID, Row: row, Version: 7, At: at(1300)})
	c.Assert(second.Write.Version, qt.Equals, uint64(7))
	m, _ = m.WithWriteRefused(chutelease.WriteRefused{ID: second.Write.ID, Row: first.Write.Row, Version: 8, At: at(1400)})
	expectHeldUntil(c, m, 3700*time.Millisecond)
}

func TestLateRead(t *testing.T) {
	// A read is given up, the next one is under way, and then the first one's answer comes. It may show a row from
	// long ago and must not end the wait for the second.
	c := qt.New(t)
	m, first := chutelease.New(settings("a")).WithDue(start)
	m, second := m.WithDue(start.Add(3 * time.Second))
	c.Assert(second.Read, qt.IsNotNil)
	m, wants := m.WithRowRead(chutelease.RowRead{ID: first.Read.ID, At: start.Add(4 * time.Second)})
	c.Assert(wants, qt.Equals, chutelease.Wants{})
	_, known := m.Holder()
	c.Assert(known, qt.IsFalse)
}

func TestPausedHolder(t *testing.T) {
	// The holder is paused past its lease and wakes believing it is in charge. It sees its own lapse before anything
	// else; here nobody took over meanwhile, so it gets the lease again, but under a new epoch.
	c := qt.New(t)
	m := acquired(c)
	woken := start.Add(time.Minute)
	c.Assert(m.SendAllowed(woken, time.Millisecond), qt.IsFalse)
	m, wants := m.WithDue(woken)
	c.Assert(wants.Write.Row.Epoch, qt.Equals, uint64(2))
	m, _ = m.WithWriteCommitted(chutelease.WriteCommitted{ID: wants.Write.ID, Version: 8, At: woken})
	c.Assert(m.Epoch(), qt.Equals, uint64(2))
}

func TestContender(t *testing.T) {
	c := qt.New(t)
	foreign := chutelease.Row{Holder: "b", HolderIncarnation: "b-1", Epoch: 4, DurationMilliseconds: 5000, OrderTimeoutMilliseconds: 900}
	m, wants := chutelease.New(settings("a")).WithDue(start)
	m, _ = m.WithRowRead(chutelease.RowRead{ID: wants.Read.ID, Row: foreign, Version: 3, At: start})

	c.Run("watches for the holder's own duration and the margin", func(c *qt.C) {
		_, wants := m.WithDue(start.Add(5299 * time.Millisecond))
		c.Assert(wants.Write, qt.IsNil)
		taking, wants := m.WithDue(start.Add(5300 * time.Millisecond))
		c.Assert(wants.Write.Row.Epoch, qt.Equals, uint64(5))
		c.Assert(wants.Write.Version, qt.Equals, uint64(3))
		committed := start.Add(5400 * time.Millisecond)
		taking, _ = taking.WithWriteCommitted(chutelease.WriteCommitted{ID: wants.Write.ID, Version: 4, At: committed})
		c.Assert(taking.SendAllowed(committed.Add(899*time.Millisecond), time.Millisecond), qt.IsFalse)
		c.Assert(taking.SendAllowed(committed.Add(900*time.Millisecond), time.Millisecond), qt.IsTrue)
	})

	c.Run("begins to watch anew at another version", func(c *qt.C) {
		m, wants := m.WithDue(start.Add(5 * time.Second))
		m, _ = m.WithRowRead(chutelease.RowRead{ID: wants.Read.ID, Row: foreign, Version: 4, At: start.Add(5 * time.Second)})
		_, wants = m.WithDue(start.Add(10299 * time.Millisecond))
		c.Assert(wants.Write, qt.IsNil)
	})

	c.Run("stays out while not contending", func(c *qt.C) {
		_, wants := m.WithContending(false).WithDue(start.Add(time.Hour))
		c.Assert(wants, qt.Equals, chutelease.Wants{})
	})
}
