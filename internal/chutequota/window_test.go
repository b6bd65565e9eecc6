package chutequota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestWindow(t *testing.T) {
	const span = 1200 * time.Millisecond
	start := time.Unix(1000, 0)

	t.Run("no span has more units than the quota, whenever calls arrive", rapid.MakeCheck(func(t *rapid.T) {
		quota := rapid.IntRange(1, 4).Draw(t, "quota")
		var w Window
		var spentAt []time.Time
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if w.NextAt(quota, span, now).After(now) {
				continue
			}
			w = w.WithSpent(span, now)
			spentAt = append(spentAt, now)
		}
		for i := quota; i < len(spentAt); i++ {
			if spentAt[i].Sub(spentAt[i-quota]) < span {
				t.Fatalf("more than %d units in the span up to %v", quota, spentAt[i])
			}
		}
	}))

	t.Run("returns the time of the next unit", func(t *testing.T) {
		c := qt.New(t)
		w := Window{}.WithSpent(span, start)
		c.Assert(w.NextAt(2, span, start), qt.Equals, start)
		c.Assert(w.WithSpent(span, start.Add(time.Millisecond)).NextAt(2, span, start), qt.Equals, start.Add(span))
	})
}
