package chuteroom

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// shortOf returns a call of a workspace that meets a pool short of capacity.
func shortOf(workspace string, tokens int64) Call {
	return Call{
		Workspace: workspace, Tokens: tokens, Wait: 600 * time.Millisecond, FirstEvent: 650 * time.Millisecond,
		UntilLeft: 3 * time.Second, UntilTarget: 750 * time.Millisecond,
	}
}

// busyPool returns a pool in which one workspace has ten times the work of each of four others, and demanded four times
// that.
func busyPool() Pool {
	p := NewPool().WithWork("large", 100_000, start).withDemand("large", 300_000, start)
	for i := range 4 {
		p = p.WithWork(fmt.Sprint("small", i), 10_000, start)
	}

	return p
}

func TestEmptyTables(t *testing.T) {
	// A node has just started and all upstreams are busy with other nodes' calls. Guards against refusing all that it gets
	// since nothing has been admitted, and against shares that are no numbers.
	c := qt.New(t)
	p, d := NewPool().Decide(shortOf("w", 500), start, 0.5)
	c.Assert(d.Admitted(), qt.IsTrue)
	c.Assert(math.IsNaN(d.Share), qt.IsFalse)
	c.Assert(p.Work("w", start), qt.Equals, 500.0)
	c.Assert(NewPool().View("p", start).Workspaces, qt.Equals, 0)
}

func TestShares(t *testing.T) {
	t.Run("the workspace above its share is refused, the others are not", func(t *testing.T) {
		c := qt.New(t)
		p, d := busyPool().Decide(shortOf("large", 500), start, 0.5)
		c.Assert(d.Reason, qt.Equals, ReasonOverShare)
		for _, name := range []string{"small0", "new"} {
			_, d = p.Decide(shortOf(name, 20_000), start, 0.5)
			c.Assert(d.Admitted(), qt.IsTrue)
		}
	})

	t.Run("a workspace that demands little more than its share is refused at a longer wait than a loud one", func(t *testing.T) {
		// Guards against usual workspaces that are refused in a moment of many requests, beside a loud one that causes the
		// shortage.
		c := qt.New(t)
		p := busyPool().WithWork("usual", 120_000, start)
		call := shortOf("usual", 500)
		_, d := p.Decide(call, start, 0.5)
		c.Assert(d.Admitted(), qt.IsTrue)
		call.Wait, call.FirstEvent = 800*time.Millisecond, 850*time.Millisecond
		_, d = p.Decide(call, start, 0.5)
		c.Assert(d.Reason, qt.Equals, ReasonOverShare)
	})

	t.Run("what others don't use is available to one workspace", func(t *testing.T) {
		// Guards against equal shares that leave capacity idle: the fifth of 140,000 tokens would be 28,000.
		c := qt.New(t)
		_, d := busyPool().Decide(shortOf("large", 500), start, 0.5)
		c.Assert(d.Share > 80_000, qt.IsTrue, qt.Commentf("%f", d.Share))
	})

	t.Run("a request larger than the share is admitted if the workspace has little in progress", func(t *testing.T) {
		// Guards against heavy requests that no retry can bring in, since they exceed the share by themselves.
		c := qt.New(t)
		p := NewPool()
		for i := range 100 {
			p = p.WithWork(fmt.Sprint("w", i), 1000, start)
		}
		_, d := p.Decide(shortOf("heavy", 40_000), start, 0.5)
		c.Assert(d.Admitted(), qt.IsTrue)
	})

	t.Run("the work of a burst is forgotten within some seconds", func(t *testing.T) {
		// Guards against a workspace that is refused long after its burst.
		c := qt.New(t)
		p := busyPool()
		later := start.Add(15 * time.Second)
		for i := range 4 {
			p = p.WithWork(fmt.Sprint("small", i), 10_000, later)
		}
		_, d := p.Decide(shortOf("large", 500), later, 0.5)
		c.Assert(d.Admitted(), qt.IsTrue, qt.Commentf("%f of %f", d.Work, d.Share))
	})

	t.Run("less urgent calls are refused at a shorter wait", func(t *testing.T) {
		c := qt.New(t)
		call := shortOf("large", 500)
		call.Wait = 300 * time.Millisecond
		_, urgent := busyPool().Decide(call, start, 0.5)
		c.Assert(urgent.Admitted(), qt.IsTrue)
		call.Rank = 20
		_, other := busyPool().Decide(call, start, 0.5)
		c.Assert(other.Reason, qt.Equals, ReasonOverShare)
	})

	t.Run("a call without a target time is short of capacity by the time for which its caller waits", func(t *testing.T) {
		// Guards against pipelines without an aim that are refused at the least wait.
		c := qt.New(t)
		call := shortOf("large", 500)
		call.UntilTarget, call.Wait = 0, 200*time.Millisecond
		_, d := busyPool().Decide(call, start, 0.5)
		c.Assert(d.Admitted(), qt.IsTrue)
		call.Wait = 600 * time.Millisecond
		_, d = busyPool().Decide(call, start, 0.5)
		c.Assert(d.Reason, qt.Equals, ReasonOverShare)
	})

	t.Run("calls with a long target time leave room for those with a short one", func(t *testing.T) {
		// Guards against a pool whose queue is as long as the most patient pipeline tolerates, so that others miss their
		// target times.
		c := qt.New(t)
		p, _ := busyPool().Decide(shortOf("small0", 500), start, 0.5)
		call := shortOf("large", 500)
		call.UntilTarget = 10 * time.Second
		_, d := p.Decide(call, start, 0.5)
		c.Assert(d.Reason, qt.Equals, ReasonOverShare)
		_, d = p.Decide(call, start.Add(targetWindow), 0.5)
		c.Assert(d.Admitted(), qt.IsTrue)
	})
}

func TestTooLate(t *testing.T) {
	t.Run("a call that can't begin before its caller leaves is refused, whoever sends it", func(t *testing.T) {
		// Guards against callers that wait until their deadlines for nothing.
		c := qt.New(t)
		call := shortOf("new", 500)
		call.Wait, call.FirstEvent = 2*time.Second, 2017*time.Millisecond
		_, d := NewPool().Decide(call, start, 0.5)
		c.Assert(d.Reason, qt.Equals, ReasonTooLate)
	})

	t.Run("an idle pool tries a call that is expected to take somewhat too long", func(t *testing.T) {
		// Guards against refusals by a bad estimate while nobody waits.
		c := qt.New(t)
		call := shortOf("new", 40_000)
		call.Wait, call.FirstEvent = 60*time.Millisecond, 4*time.Second
		_, d := NewPool().Decide(call, start, 0.5)
		c.Assert(d.Admitted(), qt.IsTrue)
		call.FirstEvent = 7 * time.Second
		_, d = NewPool().Decide(call, start, 0.5)
		c.Assert(d.Reason, qt.Equals, ReasonTooLate)
	})
}

func TestBoundedWorkspaces(t *testing.T) {
	// 37,000 workspaces send one call each, and one sends many. Guards against memory that grows with their number, and
	// against forgetting the one that matters.
	c := qt.New(t)
	p := NewPool()
	now := start
	for i := range 37_000 {
		now = now.Add(100 * time.Microsecond)
		p = p.WithWork(fmt.Sprint("w", i), 500, now)
		if i%100 == 0 {
			p = p.WithWork("loud", 20_000, now)
		}
	}
	c.Assert(p.workspaces.Len() <= maxWorkspaces, qt.IsTrue)
	call := shortOf("loud", 500)
	call.Wait, call.FirstEvent = 800*time.Millisecond, 850*time.Millisecond
	_, d := p.Decide(call, now, 0.5)
	c.Assert(d.Reason, qt.Equals, ReasonOverShare)
	c.Assert(p.View("p", now).Most[0].Workspace, qt.Equals, "loud")
	c.Assert(p.View("p", now).Most, qt.HasLen, maxViewed)
}

// drawPool draws a pool after some calls, and the time then.
func drawPool(t *rapid.T) (Pool, time.Time) {
	p, now := NewPool(), start
	for range rapid.IntRange(0, 40).Draw(t, "calls") {
		now = now.Add(time.Duration(rapid.IntRange(-50, 500).Draw(t, "pause")) * time.Millisecond)
		p, _ = p.Decide(drawCall(t), now, rapid.Float64Range(0, 0.999).Draw(t, "random"))
	}

	return p, now
}

func drawCall(t *rapid.T) Call {
	milliseconds := func(name string, from, to int) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(t, name)) * time.Millisecond
	}
	wait := milliseconds("wait", 0, 5000)

	return Call{
		Workspace: fmt.Sprint("w", rapid.IntRange(0, 4).Draw(t, "workspace")), Tokens: int64(rapid.IntRange(0, 40_000).Draw(t, "tokens")),
		Wait: wait, FirstEvent: wait + milliseconds("own", 0, 3000), UntilLeft: milliseconds("untilLeft", -100, 10_000),
		UntilTarget: milliseconds("untilTarget", -100, 5000), Rank: rapid.IntRange(0, 99).Draw(t, "rank"),
	}
}

func TestDecideProperties(t *testing.T) {
	t.Run("nothing that can be served is refused while there is capacity", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			p, now := drawPool(t)
			call := drawCall(t)
			call.Wait = min(call.Wait, minShortWait)
			call.UntilLeft = max(call.UntilLeft, call.Wait)
			call.FirstEvent = min(max(call.Wait, call.FirstEvent), call.UntilLeft)
			if _, d := p.Decide(call, now, 0.5); !d.Admitted() {
				t.Fatalf("%+v", d)
			}
		})
	})

	t.Run("a workspace with nothing in progress is refused only if it is too late", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			p, now := drawPool(t)
			call := drawCall(t)
			call.Workspace = "new"
			if _, d := p.Decide(call, now, 0.5); !d.Admitted() && d.Reason != ReasonTooLate {
				t.Fatalf("%+v", d)
			}
		})
	})

	t.Run("a retry delay is 100 ms at least and a third of the caller's time at most", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			p, now := drawPool(t)
			call := drawCall(t)
			_, d := p.Decide(call, now, rapid.Float64Range(0, 0.999).Draw(t, "random"))
			longest := max(call.UntilLeft/3, minRetryAfter*5/3)
			if !d.Admitted() && (d.RetryAfter < minRetryAfter || d.RetryAfter > longest+time.Millisecond) {
				t.Fatalf("%v of %v", d.RetryAfter, call.UntilLeft)
			}
		})
	})

	t.Run("the shares of all add up to what is shared", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			p, now := drawPool(t)
			part := rapid.Float64Range(0.1, 1).Draw(t, "part")
			d := p.withDemands(now).demands
			share, sum := d.share(part), 0.0
			for _, demand := range d.sorted {
				sum += min(share, demand)
			}
			if want := part * d.admitted; math.Abs(sum-want) > 1e-6*(1+want) && !math.IsInf(share, 1) {
				t.Fatalf("%f of %f", sum, want)
			}
		})
	})
}

func TestRetryOrder(t *testing.T) {
	// Two workspaces are refused at the same wait, one of them above its share. Guards against loud callers that come back
	// first and take the capacity that the others wait for.
	c := qt.New(t)
	call := shortOf("large", 500)
	_, over := busyPool().Decide(call, start, 0.5)
	c.Assert(over.Reason, qt.Equals, ReasonOverShare)
	call.Workspace, call.UntilLeft = "small0", 1100*time.Millisecond
	_, within := busyPool().Decide(call, start, 0.5)
	c.Assert(within.Reason, qt.Equals, ReasonTooLate)
	c.Assert(within.RetryAfter < over.RetryAfter, qt.IsTrue, qt.Commentf("%v, %v", within.RetryAfter, over.RetryAfter))
}

func BenchmarkDecide(b *testing.B) {
	p := NewPool()
	for i := range maxWorkspaces {
		p = p.WithWork(fmt.Sprint("w", i), 500, start)
	}
	b.ReportAllocs()
	for i := range b.N {
		p, _ = p.Decide(shortOf(fmt.Sprint("w", i%maxWorkspaces), 500), start.Add(time.Duration(i)*50*time.Microsecond), 0.5)
	}
}
