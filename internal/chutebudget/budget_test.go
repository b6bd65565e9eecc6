package chutebudget

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func TestBudget(t *testing.T) {
	settings := Settings{Ratio: 0.2}

	t.Run("a share of first calls and the slack may be repeated, and no more", func(t *testing.T) {
		c := qt.New(t)
		b := Budget{}.WithFirst(settings, 50, start)
		c.Assert(b.Counts(settings, 3, start), qt.Equals, Counts{First: 50, Allowed: 13, Left: 13})
		b = b.WithSpent(settings, 13, start.Add(time.Second))
		c.Assert(b.Counts(settings, 3, start.Add(time.Second)).Left, qt.Equals, 0)
	})

	t.Run("the budget fills up again as the window moves on", func(t *testing.T) {
		c := qt.New(t)
		s := Settings{Ratio: 0, Slack: 3}
		b := Budget{}.WithSpent(s, 3, start)
		c.Assert(b.Counts(s, 3, start).Left, qt.Equals, 0)
		c.Assert(b.Counts(s, 3, start.Add(DefaultWindow-time.Second)).Left, qt.Equals, 0)
		c.Assert(b.Counts(s, 3, start.Add(DefaultWindow+time.Second)).Left, qt.Equals, 3)
	})

	t.Run("first calls stop to count after the window, repeats later", func(t *testing.T) {
		c := qt.New(t)
		b := Budget{}.WithFirst(settings, 50, start).WithSpent(settings, 2, start)
		c.Assert(b.Counts(settings, 0, start.Add(DefaultWindow)), qt.Equals, Counts{Spent: 2})
		c.Assert(b.Counts(settings, 0, start.Add(settings.Memory())), qt.Equals, Counts{})
	})

	t.Run("a window of another length", func(t *testing.T) {
		c := qt.New(t)
		short := Settings{Ratio: 0.2, Window: 2 * time.Second}
		b := Budget{}.WithSpent(short, 1, start)
		c.Assert(b.Counts(short, 1, start.Add(2*time.Second)).Left, qt.Equals, 0)
		c.Assert(b.Counts(short, 1, start.Add(3*time.Second)).Left, qt.Equals, 1)
	})
}

// TestWindowSlides guards against a window that forgets early: a slack that was spent within a
// moment must not be spent again before the whole window has passed.
func TestWindowSlides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{Window: time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second}
		slack := rapid.IntRange(1, 9).Draw(t, "slack")
		now := start.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "phase")) * time.Millisecond)
		var b Budget
		var spent []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "repeats") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if b.Counts(settings, slack, now).Left == 0 {
				continue
			}
			b = b.WithSpent(settings, 1, now)
			spent = append(spent, now)
		}
		for i := slack; i < len(spent); i++ {
			if spent[i].Sub(spent[i-slack]) <= settings.Span() {
				t.Fatalf("more than %d repeats in the window up to %v", slack, spent[i].Sub(start))
			}
		}
	})
}
