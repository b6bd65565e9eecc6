package chutefleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLimitHeard(t *testing.T) {
	now := time.Unix(1000, 0)
	fleet := New("z1").WithList([]Upstream{{ID: "u", Name: "u", Pool: "p", State: StateReady}}, false, now)
	at := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	expectLimit := func(t *testing.T, f Fleet, perSecond float64, limited bool) {
		t.Helper()
		l, isSet := f.Limit("u")
		qt.Assert(t, isSet, qt.Equals, limited)
		qt.Assert(t, l.PerSecond, qt.Equals, perSecond)
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

	t.Run("a restarted process has no limit", func(t *testing.T) {
		again := Upstream{ID: "u2", Name: "u", Pool: "p", State: StateReady, StartedAt: now}
		_, isSet := limited.WithList([]Upstream{again}, false, at(2)).Limit("u2")
		qt.Assert(t, isSet, qt.IsFalse)
	})
}
