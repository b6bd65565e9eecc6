package chuteadmission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"azurechute.example/azurechute/internal/chuterequest"
)

const callTime = 100 * time.Millisecond

var testStart = benchStart

func testWaiter(team, workspace string, n int) Waiter {
	return Waiter{
		Key:  chuterequest.Key{Workspace: workspace, RequestID: fmt.Sprint(n)},
		Team: team, Workspace: workspace, Pool: "p",
		Deadline: testStart.Add(5*time.Second + time.Duration(n)*time.Millisecond), RemainingTime: callTime,
	}
}

func addWaiters(q Queue, n int, w Waiter) Queue {
	for i := range n {
		w.Key.RequestID = fmt.Sprint(i)
		q = q.WithWaiter(w)
	}

	return q
}

// runCalls runs n calls in sequence and counts them by workspace.
func runCalls(q Queue, n int, took func(w Waiter) time.Duration) (Queue, map[string]int) {
	counts := map[string]int{}
	for range n {
		w, next, ok := q.Next("p")
		if !ok {
			break
		}
		counts[w.Workspace]++
		q = next.WithDone("p", w.Team, w.Workspace, took(w))
	}

	return q, counts
}

func usualTime(Waiter) time.Duration { return callTime }

// expectOrder fails unless Next returns exactly these requests in this order.
func expectOrder(c *qt.C, q Queue, want ...string) {
	c.Helper()
	var got []string
	for w, next, ok := q.Next("p"); ok; w, next, ok = next.Next("p") {
		got = append(got, w.Key.RequestID)
	}
	c.Assert(got, qt.DeepEquals, want)
}

func TestFairShare(t *testing.T) {
	t.Run("one huge workspace does not starve small ones", func(t *testing.T) {
		// A workspace has 3,000 calls waiting when one call each of two other
		// workspaces is added, one of them of the same team. In order of arrival they
		// would wait for minutes and miss their deadline; here they are among the next 4.
		c := qt.New(t)
		q, _ := runCalls(addWaiters(NewQueue(true), 3000, testWaiter("t", "huge", 0)), 50, usualTime)
		q = q.WithWaiter(testWaiter("t", "small", 0)).WithWaiter(testWaiter("other", "lone", 0))
		_, counts := runCalls(q, 4, usualTime)
		c.Assert(counts, qt.DeepEquals, map[string]int{"huge": 2, "small": 1, "lone": 1})
	})
	t.Run("by weight of team, then of workspace", func(t *testing.T) {
		c := qt.New(t)
		heavy, light, other := testWaiter("t", "heavy", 0), testWaiter("t", "light", 0), testWaiter("u", "other", 0)
		heavy.TeamWeight, light.TeamWeight, heavy.WorkspaceWeight = 3, 3, 2
		q := addWaiters(addWaiters(addWaiters(NewQueue(true), 500, heavy), 500, light), 500, other)
		_, counts := runCalls(q, 400, usualTime)
		for name, want := range map[string]int{"heavy": 200, "light": 100, "other": 100} {
			c.Assert(counts[name] >= want-2 && counts[name] <= want+2, qt.IsTrue, qt.Commentf("%v", counts))
		}
	})
	t.Run("by time used, not by calls", func(t *testing.T) {
		c := qt.New(t)
		q := addWaiters(addWaiters(NewQueue(true), 500, testWaiter("t", "long", 0)), 500, testWaiter("u", "short", 0))
		_, counts := runCalls(q, 220, func(w Waiter) time.Duration {
			if w.Workspace == "long" {
				return 10 * callTime
			}

			return callTime
		})
		c.Assert(counts["long"] >= 18 && counts["long"] <= 24, qt.IsTrue, qt.Commentf("%v", counts))
	})
	t.Run("idle time earns no extra share", func(t *testing.T) {
		// The workspace has one call running meanwhile, so its flow stays in the scheduler.
		c := qt.New(t)
		_, q, _ := NewQueue(true).WithWaiter(testWaiter("t", "late", 0)).Next("p")
		q, _ = runCalls(addWaiters(q, 500, testWaiter("t", "busy", 0)), 200, usualTime)
		_, counts := runCalls(addWaiters(q, 100, testWaiter("t", "late", 0)), 40, usualTime)
		c.Assert(counts["late"] <= 21, qt.IsTrue, qt.Commentf("%v", counts))
	})
	t.Run("idle workspaces are removed", func(t *testing.T) {
		q := addWaiters(NewQueue(true), 2000, testWaiter("t", "busy", 0))
		for n := range 500 {
			q, _ = runCalls(q.WithWaiter(testWaiter("t", fmt.Sprint("w", n), n)), 2, usualTime)
		}
		qt.Assert(t, q.poolQueue("p").teams.nextFlow().content.workspaces.flows.size < 10, qt.IsTrue)
	})
	t.Run("earliest deadline inside a workspace, started work first", func(t *testing.T) {
		started := testWaiter("t", "w", 2)
		started.Started, started.Key.RequestID = true, "started"
		q := NewQueue(true).WithWaiter(testWaiter("t", "w", 3)).WithWaiter(testWaiter("t", "w", 2)).WithWaiter(started)
		expectOrder(qt.New(t), q.WithWaiter(testWaiter("t", "w", 1)), "1", "started", "2", "3")
	})
	t.Run("first come, first served when not fair", func(t *testing.T) {
		q := NewQueue(false).WithWaiter(testWaiter("t", "a", 3)).WithWaiter(testWaiter("u", "b", 2)).WithWaiter(testWaiter("t", "a", 1))
		expectOrder(qt.New(t), q, "3", "2", "1")
		expectOrder(qt.New(t), q.WithFair(true).WithFair(false), "3", "2", "1")
		w, _ := q.Peek("p")
		qt.Assert(t, w, qt.DeepEquals, testWaiter("t", "a", 3))
	})
}

func TestPredict(t *testing.T) {
	// 10 calls run and 1,000 of one workspace wait, 100 ms each. A new call of that
	// workspace would finish long after its deadline, and admitting it would waste the
	// cost of the earlier stages. Other workspaces have their own share.
	c := qt.New(t)
	q, _ := runCalls(addWaiters(NewQueue(true), 1020, testWaiter("t", "huge", 0)), 10, usualTime)
	for range 10 {
		_, q, _ = q.Next("p")
	}
	c.Assert(q.All(), qt.HasLen, 1)
	c.Assert([]int{q.All()[0].InFlight, q.All()[0].Teams[0].Waiting}, qt.DeepEquals, []int{10, 1000})
	late := q.Predict(testWaiter("t", "huge", 2000), 0, testStart)
	c.Assert(late.CanFinish, qt.IsFalse)
	c.Assert(late.Wait > 9*time.Second && late.Wait < 11*time.Second, qt.IsTrue, qt.Commentf("%v", late.Wait))
	c.Assert(late.RetryAfter > 2*time.Second && late.RetryAfter <= late.Wait, qt.IsTrue, qt.Commentf("%v", late.RetryAfter))
	c.Assert(q.Predict(testWaiter("t", "small", 0), 0, testStart).CanFinish, qt.IsTrue)

	long := addWaiters(NewQueue(true).WithTypicalTime("p", time.Minute), 1, testWaiter("t", "w", 0))
	c.Assert(long.Predict(testWaiter("t", "w", 1), 0, testStart).CanFinish, qt.IsFalse)

	unfinishable := testWaiter("t", "small", 0)
	unfinishable.RemainingTime = time.Hour
	p := q.Predict(unfinishable, 2000, testStart)
	c.Assert([]any{p.CanFinish, p.Wait, p.RetryAfter}, qt.DeepEquals, []any{false, time.Duration(0), time.Duration(0)})
}

func TestBudget(t *testing.T) {
	c := qt.New(t)
	_, ok := NewBudget(0).WithSuccess().Take()
	c.Assert(ok, qt.IsFalse)
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		b, successes, taken := NewBudget(share), 0, 0
		for _, success := range rapid.SliceOf(rapid.Bool()).Draw(t, "events") {
			if success {
				b, successes = b.WithSuccess(), successes+1
			} else if next, ok := b.Take(); ok {
				b, taken = next, taken+1
			}
			if bound := initialCredits + share*float64(successes) + 0.001; float64(taken) > bound {
				t.Fatalf("took %d, allowed %f", taken, bound)
			}
		}
	})
}

// TestRandomEvents compares the queue with a model, a slice of waiters, under random events.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(rapid.Bool().Draw(t, "fair"))
		var model, running []Waiter
		check := func(holds bool, what string) {
			if !holds {
				t.Fatalf("%s; the model has %v", what, model)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			n := rapid.IntRange(0, 40).Draw(t, "n")
			w := testWaiter(fmt.Sprint("t", n%3), fmt.Sprint("w", n%7), n)
			hasSameKey := func(other Waiter) bool { return other.Key == w.Key }
			before, peeked := q, fmt.Sprint(q.Peek("p"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				q, model = q.WithWaiter(w), append(slices.DeleteFunc(slices.Clone(model), hasSameKey), w)
			case 2:
				q, model = q.Without(w.Key), slices.DeleteFunc(slices.Clone(model), hasSameKey)
			case 3:
				got, next, ok := q.Next("p")
				check(ok == (len(model) > 0), "Next and the model differ")
				w = got
				check(!ok || slices.ContainsFunc(model, hasSameKey), "Next returned a waiter that the model does not have")
				q, model = next, slices.DeleteFunc(slices.Clone(model), hasSameKey)
				if ok {
					running = append(running, got)
				}
			case 4:
				if len(running) > 0 {
					q = q.WithDone("p", running[0].Team, running[0].Workspace, time.Duration(n)*callTime)
					running = running[1:]
				}
			default:
				var removed []Waiter
				now := w.Deadline.Add(-callTime + time.Duration(len(model)%2))
				removed, q = q.RemoveUnfinishable(now)
				kept := slices.DeleteFunc(slices.Clone(model), func(w Waiter) bool { return now.Add(w.RemainingTime).After(w.Deadline) })
				check(len(removed) == len(model)-len(kept), "RemoveUnfinishable and the model differ")
				model = kept
			}
			check(q.Len("p") == len(model), "Len and the model differ")
			check(fmt.Sprint(before.Peek("p")) == peeked, "an event changed the queue value before it")
		}
	})
}

// A call that bypasses an empty queue is charged like one that waited. Otherwise a
// workspace whose calls always bypass the queue would have no charge when others arrive.
func TestBypassIsChargedLikePicked(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		picked, bypassed := NewQueue(true), NewQueue(true)
		n := rapid.IntRange(1, 8).Draw(rt, "n")
		for i := range n {
			w := Waiter{
				Key: chuterequest.Key{RequestID: fmt.Sprint(i)}, Pool: "pool", TeamWeight: 1, WorkspaceWeight: 1,
				Team:      rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "team"),
				Workspace: rapid.SampledFrom([]string{"w", "x"}).Draw(rt, "workspace"),
			}
			_, picked, _ = picked.WithWaiter(w).Next("pool")
			bypassed = bypassed.WithBypass(w)
		}
		for i := range n {
			w := Waiter{
				Key: chuterequest.Key{RequestID: fmt.Sprint("later-", i)}, Pool: "pool", TeamWeight: 1, WorkspaceWeight: 1,
				Team: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "later team"), Workspace: "w",
			}
			picked, bypassed = picked.WithWaiter(w), bypassed.WithWaiter(w)
		}
		for range n {
			first, rest, _ := picked.Next("pool")
			second, others, _ := bypassed.Next("pool")
			if second.Key != first.Key {
				rt.Fatalf("Next returned %v after waiting, %v after bypass", first.Key, second.Key)
			}
			picked, bypassed = rest, others
		}
	})
}
