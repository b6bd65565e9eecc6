package chutefleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutequota"
)

func TestLimitHeard(t *testing.T) {
	now := time.Unix(1000, 0)
	fleet := New("z1").WithList([]Upstream{{ID: "u", Name: "u", Pool: "p", State: StateReady}}, false, now)
	at := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	expectLimitOf := func(t *testing.T, f Fleet, id string, perSecond float64, limited bool) {
		t.Helper()
		l, isSet := f.Limit(id)
		qt.Assert(t, isSet, qt.Equals, limited)
		qt.Assert(t, l.PerSecond, qt.Equals, perSecond)
	}
	expectLimit := func(t *testing.T, f Fleet, perSecond float64, limited bool) {
		t.Helper()
		expectLimitOf(t, f, "u", perSecond, limited)
	}
	limited := fleet.WithLimit("u", 2, at(0), at(1))

	t.Run("the answer to a call sent before the limit was received does not remove it", func(t *testing.T) {
		expectLimit(t, limited.WithoutLimit("u", at(0.5)), 2, true)
		expectLimit(t, limited.WithoutLimit("u", at(1)), 0, false)
	})

	t.Run("the answer to an earlier call lowers a limit, but does not raise it", func(t *testing.T) {
		expectLimit(t, limited.WithLimit("u", 5, at(0.5), at(2)), 2, true)
		expectLimit(t, limited.WithLimit("u", 5, at(1.5), at(2)), 5, true)
		expectLimit(t, limited.WithLimit("u", 1, at(0.5), at(2)), 1, true)
	})

	t.Run("a restarted process has the limit until one of its answers says otherwise", func(t *testing.T) {
		// Guards against nodes that all send freely to a new process until they have its answer.
		again := Upstream{ID: "u2", Name: "u", Pool: "p", State: StateReady, StartedAt: now}
		restarted := limited.WithList([]Upstream{again}, false, at(2))
		expectLimitOf(t, restarted, "u2", 2, true)
		expectLimitOf(t, restarted.WithLimit("u2", 5, at(2), at(3)), "u2", 5, true)
		expectLimitOf(t, restarted.WithLimit("u2", 1, at(2), at(3)), "u2", 1, true)
		expectLimitOf(t, restarted.WithoutLimit("u2", at(2)), "u2", 0, false)
	})

	t.Run("a process that starts after its entry was gone or unreadable has the limit too", func(t *testing.T) {
		again := Upstream{ID: "u2", Name: "u", Pool: "p", State: StateReady, StartedAt: now}
		gone := limited.WithList(nil, false, at(2))
		expectLimitOf(t, gone.WithList([]Upstream{again}, false, at(3)), "u2", 2, true)
		expectLimitOf(t, gone.WithList([]Upstream{again}, false, at(3).Add(departedLifetime)), "u2", 0, false)
		unreadable := limited.WithList([]Upstream{{Name: "u", State: StateUnreadable}}, false, at(2))
		expectLimitOf(t, unreadable.WithList([]Upstream{again}, false, at(3)), "u2", 2, true)
	})

	t.Run("calls to the process before count against the limit", func(t *testing.T) {
		c := qt.New(t)
		again := Upstream{ID: "u2", Name: "u", Pool: "p", State: StateReady, StartedAt: now}
		f := limited.WithLimitOwners(chutequota.NewAllocator("n0", []string{"n0"}))
		for f.Availability("u", at(1)).IsAvailable() {
			f = f.WithCallSent("u", 0, at(1))
		}
		f = f.WithList([]Upstream{again}, false, at(1))
		c.Assert(f.Availability("u2", at(1)).Reason, qt.Equals, BlockLimited)
		c.Assert(f.Availability("u2", at(1).Add(minLimitSpan)).IsAvailable(), qt.IsTrue)
	})

	t.Run("the upstreams without an entry that are kept are bounded", func(t *testing.T) {
		f := New("z1")
		for i := range maxDeparted + 10 {
			u := Upstream{ID: fmt.Sprint(i), Name: fmt.Sprint(i), Pool: "p", State: StateReady}
			f = f.WithList([]Upstream{u}, false, at(float64(i))).WithLimit(u.ID, 2, now, now).WithList(nil, false, at(float64(i)))
		}
		qt.Assert(t, f.departed.Len(), qt.Equals, maxDeparted)
		_, known := f.departed.Get("0")
		qt.Assert(t, known, qt.IsFalse)
	})
}
