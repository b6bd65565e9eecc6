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

	t.Run("allows a share of the first calls and the slack, and no more", func(t *testing.T) {
		c := qt.New(t)
		b := Budget{}.WithFirstCalls(settings, 60, start)
		c.Assert(b.Counts(settings, 3, start), qt.Equals, Counts{First: 60, Slack: 3, Left: 13})
		b = b.WithRetries(settings, 13, start.Add(time.Second))
		c.Assert(b.Counts(settings, 3, start.Add(time.Second)).Left, qt.Equals, 0)
	})

	t.Run("credit for less than one retry saves slack", func(t *testing.T) {
		c := qt.New(t)
		var b Budget
		retries := 0
		for n := range 10 {
			now := start.Add(time.Duration(n) * time.Second)
			b = b.WithFirstCalls(settings, 3, now)
			if b.Counts(settings, 5, now).Left > 0 {
				b = b.WithRetries(settings, 1, now)
				retries++
			}
		}
		c.Assert(retries, qt.Equals, 10)
	})

	t.Run("retries that have left the window no longer count", func(t *testing.T) {
		c := qt.New(t)
		s := Settings{Ratio: 0, Slack: 3}
		b := Budget{}.WithRetries(s, 3, start)
		c.Assert(b.Counts(s, 3, start).Left, qt.Equals, 0)
		c.Assert(b.Counts(s, 3, start.Add(DefaultWindow-time.Second)).Left, qt.Equals, 0)
		c.Assert(b.Counts(s, 3, start.Add(DefaultWindow+time.Second)).Left, qt.Equals, 3)
	})

	t.Run("credit expires early, first calls and retries are counted for a window", func(t *testing.T) {
		c := qt.New(t)
		b := Budget{}.WithFirstCalls(settings, 60, start).WithRetries(settings, 2, start)
		later := start.Add(2 * time.Second)
		c.Assert(b.Counts(settings, 0, later), qt.Equals, Counts{First: 60, Spent: 2})
		c.Assert(b.Counts(settings, 0, start.Add(settings.RetentionTime())), qt.Equals, Counts{})
	})

	t.Run("a window other than the default", func(t *testing.T) {
		c := qt.New(t)
		short := Settings{Ratio: 0.2, Window: 2 * time.Second}
		b := Budget{}.WithRetries(short, 1, start)
		c.Assert(b.Counts(short, 1, start.Add(2*time.Second)).Left, qt.Equals, 0)
		c.Assert(b.Counts(short, 1, start.Add(3*time.Second)).Left, qt.Equals, 1)
	})
}

// TestWindowSlides guards against retries that stop counting too early: slack that was spent at one
// time must not be spent again before the window and maxSendDelay have passed.
func TestWindowSlides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{Window: time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second}
		slack := rapid.IntRange(1, 9).Draw(t, "slack")
		now := start.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "phase")) * time.Millisecond)
		var b Budget
		var retriedAt []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "retries") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if b.Counts(settings, slack, now).Left == 0 {
				continue
			}
			b = b.WithRetries(settings, 1, now)
			retriedAt = append(retriedAt, now)
		}
		for i := slack; i < len(retriedAt); i++ {
			if retriedAt[i].Sub(retriedAt[i-slack]) < settings.WindowLength()+maxSendDelay {
				t.Fatalf("more than %d retries in the window up to %v", slack, retriedAt[i].Sub(start))
			}
		}
	})
}

// TestCallersMove guards against nodes that together allow more retries than the bound. That comes
// about when callers move from node to node within a window, and each node has counted many first
// calls.
func TestCallersMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const callInterval = 40 * time.Millisecond
		settings := Settings{Ratio: 0.2}
		nodes := make([]Budget, rapid.IntRange(1, 6).Draw(t, "nodes"))
		var firstCalls, retriedAt []time.Time
		current, failing := 0, false
		for n := range 1500 {
			now := start.Add(time.Duration(n) * callInterval)
			if n%25 == 0 {
				current = rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
				failing = rapid.Bool().Draw(t, "failing")
			}
			nodes[current] = nodes[current].WithFirstCalls(settings, 1, now)
			firstCalls = append(firstCalls, now)
			for failing && nodes[current].Counts(settings, 0, now).Left > 0 {
				nodes[current] = nodes[current].WithRetries(settings, 1, now)
				retriedAt = append(retriedAt, now)
			}
		}
		allowed := int(settings.Ratio * float64(DefaultWindow/callInterval))
		for i := allowed; i < len(retriedAt); i++ {
			if retriedAt[i].Sub(retriedAt[i-allowed]) < DefaultWindow {
				t.Fatalf("more than %d retries in the window up to %v, %d first calls", allowed, retriedAt[i].Sub(start), len(firstCalls))
			}
		}
	})
}
