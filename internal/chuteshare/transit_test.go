package chuteshare

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestTransitMeter(t *testing.T) {
	openedAt := time.Unix(1000, 0)
	at := func(ms int) time.Time { return openedAt.Add(time.Duration(ms) * time.Millisecond) }

	t.Run("the first message took at most as long as the stream is open", func(t *testing.T) {
		m := newTransitMeter(openedAt)
		qt.Assert(t, m.observe(1, at(4)), qt.Equals, Transit{Max: 4 * time.Millisecond})
	})

	t.Run("a message that was held up took longer than the fastest one", func(t *testing.T) {
		m := newTransitMeter(openedAt)
		m.observe(1, at(4))
		got := m.observe(301, at(1104))
		qt.Assert(t, got, qt.Equals, Transit{Min: 800 * time.Millisecond, Max: 804 * time.Millisecond})
	})

	t.Run("a faster message than the first one narrows the bounds", func(t *testing.T) {
		m := newTransitMeter(openedAt)
		m.observe(1, at(500))
		qt.Assert(t, m.observe(301, at(310)), qt.Equals, Transit{Max: 10 * time.Millisecond})
		qt.Assert(t, m.observe(601, at(1100)).Min, qt.Equals, 490*time.Millisecond)
	})

	t.Run("a message of an earlier build has no bounds", func(t *testing.T) {
		qt.Assert(t, newTransitMeter(openedAt).observe(0, at(900)), qt.Equals, Transit{})
	})
}
