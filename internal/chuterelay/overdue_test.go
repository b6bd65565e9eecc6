package chuterelay

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"azurechute.example/azurechute/internal/chutebudget"
	"azurechute.example/azurechute/internal/chutecanary"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroute"
)

// engines returns the upstreams of a pool of engines.
func engines(count int) []chutefleet.Upstream {
	var all []chutefleet.Upstream
	for i := range count {
		all = append(all, chutefleet.Upstream{
			ID: fmt.Sprint("e", i), Name: fmt.Sprint("e", i), Pool: enginePool, Address: fmt.Sprint("e", i, ":1"), Zone: "z1", Slots: 8,
			State: chutefleet.StateReady,
		})
	}

	return all
}

// newEngineNode returns a node with 8 engines; if they report a pace, their calls are placed by work.
func newEngineNode(t testing.TB, paced bool) *node {
	t.Helper()
	n := newNode(t)
	n.state.settings.Retries = chutebudget.Settings{Ratio: 0.2, Slack: 10}
	n.on(UpstreamsListed{Upstreams: engines(8)})
	if paced {
		n.state.fleet = n.state.fleet.WithPace("e0", 100, n.now)
	}
	n.effects = nil

	return n
}

// engineRequest returns a streamed request without stages that arrives now.
func (n *node) engineRequest(handle uint64, tokens int64) Submission {
	return Submission{
		Handle: handle, ID: fmt.Sprint("r", handle), Deadline: n.now.Add(6 * time.Second), PromptTokens: tokens, Fingerprint: fmt.Sprint("f", handle),
		Pipeline: chuteroute.Pipeline{
			Name: "chat", Repeat: chuteroute.Resumable, Streams: true, MaxAttempts: 2, Aim: time.Second, Patience: 4 * time.Second,
			Targets: []chuteroute.Target{{Pool: enginePool, Weight: 1}},
		},
	}
}

// firstHandle is the first handle of requests whose calls are as expected.
const firstHandle = 1000

// runUsual runs requests whose first events come after 80 ms, as expected, and which are complete 2 s later with 41
// events. The first of them are sent together.
func (n *node) runUsual(count int) {
	n.Helper()
	var sent []Send
	for range count {
		n.handles++
		n.on(Arrived{Submission: n.engineRequest(firstHandle+n.handles, 500)})
		sent = append(sent, takeOne[Send](n))
	}
	n.pass(80 * time.Millisecond)
	for _, s := range sent {
		n.on(AttemptBegan{Handle: s.Handle, Attempt: s.Attempt})
	}
	n.pass(2 * time.Second)
	for _, s := range sent {
		n.on(AttemptEnded{Handle: s.Handle, Attempt: s.Attempt, End: EndAnswered, Events: 41})
	}
	n.effects = nil
}

// beginOthers has calls begin as expected while others wait; they stay open.
func (n *node) beginOthers(count int) {
	n.Helper()
	var sent []Send
	for range count {
		n.handles++
		n.on(Arrived{Submission: n.engineRequest(firstHandle+n.handles, 500)})
		sent = append(sent, takeOne[Send](n))
	}
	n.pass(80 * time.Millisecond)
	for _, s := range sent {
		n.on(AttemptBegan{Handle: s.Handle, Attempt: s.Attempt})
	}
	n.effects = nil
}

// submitEngine submits a request to the engines, and returns its call and when that is checked.
func (n *node) submitEngine(s Submission) (Send, CheckAttempt) {
	n.Helper()
	n.on(Arrived{Submission: s})

	return takeOne[Send](n), takeOne[CheckAttempt](n)
}

// check advances the clock to the time of a check and reports it.
func (n *node) check(c CheckAttempt, events int) {
	if n.now.Before(c.At) {
		n.now = c.At
	}
	n.on(AttemptChecked{Handle: c.Handle, Attempt: c.Attempt, DueAt: c.At, Events: events})
}

// checkUntilOverdue reports checks of a waiting call until there is a decision on it.
func (n *node) checkUntilOverdue(c CheckAttempt) {
	n.Helper()
	for {
		n.check(c, 0)
		decided := slices.ContainsFunc(n.effects, func(e Effect) bool {
			step, ok := e.(LogStep)

			return ok && step.Step == StepOverdue
		})
		if decided {
			return
		}
		c = takeOne[CheckAttempt](n)
	}
}

// expectLeft fails unless the last decision on an overdue call was this one, and the call goes on.
func (n *node) expectLeft(decision OverdueDecision) {
	n.Helper()
	expectNo[AbandonSend](n)
	expectNo[CancelSend](n)
	expectNo[Refuse](n)
	steps := stepsOf(n, StepOverdue)
	n.Assert(steps, qt.HasLen, 1)
	n.Assert(steps[0].Overdue.Decision, qt.Equals, decision)
	n.Assert(steps[0].Reason, qt.Equals, string(decision))
}

func stepsOf(n *node, step Step) []LogStep {
	var found []LogStep
	for _, s := range takeAll[LogStep](n) {
		if s.Step == step {
			found = append(found, s)
		}
	}

	return found
}

func TestOverdueFirstEvent(t *testing.T) {
	t.Run("a call that stalls while others begin is moved", func(t *testing.T) {
		// Guards against calls that wait at a stalled engine until their callers leave, although others are free.
		n := newEngineNode(t, true)
		n.runUsual(20)
		first, check := n.submitEngine(n.engineRequest(1, 500))
		n.beginOthers(8)
		n.checkUntilOverdue(check)
		n.Assert(takeOne[AbandonSend](n), qt.Equals, AbandonSend{Handle: 1, Attempt: first.Attempt})
		step := stepsOf(n, StepOverdue)[0]
		n.Assert(step.Overdue.Decision, qt.Equals, OverdueMoved)
		n.Assert(step.Overdue.Expected, qt.Equals, 80*time.Millisecond)
		n.Assert(step.Overdue.Elapsed >= step.Overdue.After, qt.IsTrue)
		n.Assert(step.Overdue.Quantile > 0.9 && step.Overdue.Quantile < 1.3, qt.IsTrue)
		inFlight := n.state.fleet.InFlight(enginePool)
		n.on(AttemptEnded{Handle: 1, Attempt: first.Attempt, End: EndOverdue})
		second := takeOne[Send](n)
		n.Assert(second.Upstream.ID, qt.Not(qt.Equals), first.Upstream.ID)
		charge := takeOne[Charge](n)
		n.Assert(charge.Attempt, qt.Equals, first.Attempt)
		n.Assert(charge.Wasted, qt.IsTrue)
		n.Assert(n.state.fleet.InFlight(enginePool), qt.Equals, inFlight)
		n.Assert(n.state.fleet.Availability(first.Upstream.ID, n.now).IsAvailable(), qt.IsTrue)
		n.Assert(n.state.survived.count("f1", n.now), qt.Equals, 0)
		n.on(AttemptBegan{Handle: 1, Attempt: second.Attempt})
		n.endCall(second, EndAnswered)
		n.Assert(takeOne[Deliver](n).Attempt, qt.Equals, second.Attempt)
	})

	t.Run("a request is moved once", func(t *testing.T) {
		// Guards against a request that wanders from engine to engine and has none long enough.
		n := newEngineNode(t, true)
		n.runUsual(20)
		s := n.engineRequest(1, 500)
		s.Pipeline.MaxAttempts = 4
		first, check := n.submitEngine(s)
		n.beginOthers(8)
		n.checkUntilOverdue(check)
		n.on(AttemptEnded{Handle: 1, Attempt: first.Attempt, End: EndOverdue})
		n.effects = nil
		second, _ := n.state.requests.Get(1)
		n.beginOthers(8)
		n.checkUntilOverdue(CheckAttempt{Handle: 1, Attempt: second.current.id, At: second.current.watch.checkAt})
		n.expectLeft(OverdueUnrepeatable)
		expectNo[CheckAttempt](n)
	})

	t.Run("heavy calls have their own time", func(t *testing.T) {
		// Guards against prompts of 20,000 tokens that are given up by what 500 tokens take.
		n := newEngineNode(t, true)
		n.runUsual(20)
		sentAt := n.now
		_, check := n.submitEngine(n.engineRequest(1, 20_000))
		n.beginOthers(8)
		n.checkUntilOverdue(check)
		n.Assert(n.now.Sub(sentAt) >= 2*860*time.Millisecond, qt.IsTrue, qt.Commentf("%v", n.now.Sub(sentAt)))
	})

	for name, change := range map[string]func(s *Submission){
		"MaxAttempts 1": func(s *Submission) { s.Pipeline.MaxAttempts = 1 },
		// Guards against a post that is published twice.
		"unrepeatable": func(s *Submission) { s.Pipeline.Repeat = chuteroute.Unrepeatable },
	} {
		t.Run("a call that may not run again is left running: "+name, func(t *testing.T) {
			// Guards against calls that are cancelled although nothing can take their place.
			n := newEngineNode(t, true)
			n.runUsual(20)
			s := n.engineRequest(1, 500)
			change(&s)
			first, check := n.submitEngine(s)
			n.beginOthers(8)
			n.checkUntilOverdue(check)
			n.expectLeft(OverdueUnrepeatable)
			expectNo[CheckAttempt](n)
			n.pass(3 * time.Second)
			n.on(AttemptEnded{Handle: 1, Attempt: first.Attempt, End: EndAnswered, HasAnswer: true})
			n.Assert(takeOne[Deliver](n).Attempt, qt.Equals, first.Attempt)
		})
	}

	t.Run("without budget a call is left running, and moved once there is some", func(t *testing.T) {
		// Guards against moves that add to the load of a pool that fails, and against refusals of calls that only wait.
		n := newEngineNode(t, true)
		n.runUsual(20)
		st := reduction{State: n.state, now: n.now}
		for st.mayRetry(enginePool) {
			st.countRetries(budgetKey{pool: enginePool}, 1)
		}
		n.state = st.State
		first, check := n.submitEngine(n.engineRequest(1, 500))
		n.beginOthers(3)
		n.checkUntilOverdue(check)
		n.expectLeft(OverdueNoBudget)
		again := takeOne[CheckAttempt](n)
		n.beginOthers(8)
		n.now = again.At
		n.check(again, 0)
		n.Assert(takeOne[AbandonSend](n).Attempt, qt.Equals, first.Attempt)
	})

	t.Run("calls that are moved together stay within the budget", func(t *testing.T) {
		// Guards against 20 calls at one engine that all see the same last retry, of which all but one are then refused.
		n := newEngineNode(t, true)
		n.runUsual(20)
		var checks []CheckAttempt
		for i := range uint64(20) {
			_, check := n.submitEngine(n.engineRequest(1+i, 500))
			checks = append(checks, check)
		}
		for i := range uint64(20) {
			r, _ := n.state.requests.Get(1 + i)
			r.current.upstream = engines(1)[0]
			n.state.requests = n.state.requests.Set(1+i, r)
		}
		n.beginOthers(8)
		until := n.now.Add(time.Second)
		for len(checks) > 0 && checks[0].At.Before(until) {
			n.check(checks[0], 0)
			checks = append(checks[1:], takeAll[CheckAttempt](n)...)
			slices.SortFunc(checks, func(a, b CheckAttempt) int { return a.At.Compare(b.At) })
		}
		moved, left := takeAll[AbandonSend](n), 0
		for _, step := range stepsOf(n, StepOverdue) {
			if step.Overdue.Decision == OverdueNoBudget {
				left++
			}
		}
		n.Assert(len(moved) > 0 && left > 0 && len(moved)+left == 20, qt.IsTrue, qt.Commentf("%d moved, %d left", len(moved), left))
		for _, m := range moved {
			n.on(AttemptEnded{Handle: m.Handle, Attempt: m.Attempt, End: EndOverdue})
		}
		n.Assert(takeAll[Send](n), qt.HasLen, len(moved))
		expectNo[Refuse](n)
		st := reduction{State: n.state, now: n.now}
		n.Assert(st.mayRetry(enginePool), qt.IsFalse)
	})

	t.Run("too little time is left", func(t *testing.T) {
		// Guards against an answer that would have come just in time and is given up for one that can't.
		n := newEngineNode(t, true)
		n.runUsual(20)
		s := n.engineRequest(1, 500)
		s.Deadline = n.now.Add(400 * time.Millisecond)
		first, check := n.submitEngine(s)
		n.beginOthers(8)
		n.checkUntilOverdue(check)
		n.expectLeft(OverdueNoTime)
		n.on(AttemptBegan{Handle: 1, Attempt: first.Attempt})
		n.endCall(first, EndAnswered)
		n.Assert(takeOne[Deliver](n).Attempt, qt.Equals, first.Attempt)
	})

	t.Run("nothing is known after a restart", func(t *testing.T) {
		// Guards against calls of a process that has just started and that are compared with nothing.
		n := newEngineNode(t, true)
		n.on(Arrived{Submission: n.engineRequest(1, 500)})
		expectNo[CheckAttempt](n)
		r, _ := n.state.requests.Get(1)
		n.on(AttemptChecked{Handle: 1, Attempt: r.current.id, DueAt: n.now.Add(time.Second)})
		expectNo[AbandonSend](n)
	})

	t.Run("no other upstream is left", func(t *testing.T) {
		// Guards against a call that is cancelled and sent to the same upstream again.
		n := newEngineNode(t, true)
		n.runUsual(20)
		_, check := n.submitEngine(n.engineRequest(1, 500))
		n.beginOthers(8)
		r, _ := n.state.requests.Get(1)
		n.on(UpstreamsListed{Upstreams: []chutefleet.Upstream{r.current.upstream}})
		n.effects = nil
		n.checkUntilOverdue(check)
		n.expectLeft(OverdueNoOther)
	})
}

func TestOverdueCrossings(t *testing.T) {
	t.Run("a first event crosses the check", func(t *testing.T) {
		// Guards against a caller that gets the beginning of two answers.
		n := newEngineNode(t, true)
		n.runUsual(20)
		first, check := n.submitEngine(n.engineRequest(1, 500))
		n.beginOthers(8)
		n.check(check, 1)
		expectNo[AbandonSend](n)
		expectNo[CheckAttempt](n)
		n.on(AttemptBegan{Handle: 1, Attempt: first.Attempt})
		takeOne[CheckAttempt](n)
	})

	t.Run("a first event crosses the decision", func(t *testing.T) {
		// Guards against a request that stays without a call: the gate does not give up an attempt that has begun, so
		// that AttemptBegan and its end follow, not EndOverdue.
		n := newEngineNode(t, true)
		n.runUsual(20)
		first, check := n.submitEngine(n.engineRequest(1, 500))
		n.beginOthers(8)
		n.checkUntilOverdue(check)
		takeOne[AbandonSend](n)
		n.on(AttemptBegan{Handle: 1, Attempt: first.Attempt})
		n.endCall(first, EndAnswered)
		n.Assert(takeOne[Deliver](n).Attempt, qt.Equals, first.Attempt)
		_, found := n.state.requests.Get(1)
		n.Assert(found, qt.IsFalse)
	})

	t.Run("the call fails between decision and end", func(t *testing.T) {
		// Guards against a retry that is counted twice, or refused although it was counted.
		n := newEngineNode(t, true)
		n.runUsual(20)
		first, check := n.submitEngine(n.engineRequest(1, 500))
		n.beginOthers(8)
		n.checkUntilOverdue(check)
		left := n.state.nodeBudget(enginePool, n.now).Left
		n.endCall(first, EndErrored)
		takeOne[Send](n)
		n.Assert(n.state.nodeBudget(enginePool, n.now).Left, qt.Equals, left)
	})

	t.Run("the caller leaves between decision and end", func(t *testing.T) {
		// Guards against a call for a caller who has gone, and against work that is charged twice.
		n := newEngineNode(t, true)
		n.runUsual(20)
		first, check := n.submitEngine(n.engineRequest(1, 500))
		n.beginOthers(8)
		n.checkUntilOverdue(check)
		n.on(CallerLeft{Handle: 1})
		takeOne[Charge](n)
		n.on(AttemptEnded{Handle: 1, Attempt: first.Attempt, End: EndOverdue})
		expectNo[Send](n)
		expectNo[Charge](n)
	})

	t.Run("a check of an earlier attempt, or an earlier one of this attempt", func(t *testing.T) {
		// Guards against the second attempt being judged by the time of the first.
		n := newEngineNode(t, true)
		n.runUsual(20)
		first, check := n.submitEngine(n.engineRequest(1, 500))
		n.endCall(first, EndErrored)
		n.effects = nil
		n.beginOthers(8)
		n.check(check, 0)
		r, _ := n.state.requests.Get(1)
		n.on(AttemptChecked{Handle: 1, Attempt: r.current.id, DueAt: n.now.Add(-time.Second)})
		n.Assert(n.effects, qt.HasLen, 0)
	})
}

func TestOverdueClockJumps(t *testing.T) {
	t.Run("forward", func(t *testing.T) {
		// Guards against a node that stood still and gives all its calls up before it has looked at their events.
		n := newEngineNode(t, true)
		n.runUsual(20)
		_, check := n.submitEngine(n.engineRequest(1, 500))
		n.beginOthers(8)
		n.now = check.At.Add(1500 * time.Millisecond)
		n.check(check, 0)
		expectNo[AbandonSend](n)
		again := takeOne[CheckAttempt](n)
		n.Assert(again.At.Sub(n.now), qt.Equals, minCheckInterval)
		// Those that were late come now, and the call is judged by the next check.
		n.check(again, 0)
		takeOne[AbandonSend](n)
	})

	t.Run("backward", func(t *testing.T) {
		// Guards against a call that is never checked again, or checked without pause.
		n := newEngineNode(t, true)
		n.runUsual(20)
		_, check := n.submitEngine(n.engineRequest(1, 500))
		n.beginOthers(8)
		n.now = check.At.Add(-time.Hour)
		n.on(AttemptChecked{Handle: 1, Attempt: check.Attempt, DueAt: check.At})
		expectNo[AbandonSend](n)
		again := takeOne[CheckAttempt](n)
		n.Assert(again.At.Sub(n.now) >= minCheckInterval, qt.IsTrue)
	})
}

func TestOverdueAndQuarantine(t *testing.T) {
	// Guards against a request that is quarantined because upstreams end that have run it and were slow: a call that was
	// given up is no suspect of a crash that follows.
	n := newEngineNode(t, true)
	n.runUsual(20)
	first, check := n.submitEngine(n.engineRequest(1, 500))
	n.beginOthers(8)
	n.checkUntilOverdue(check)
	n.on(AttemptEnded{Handle: 1, Attempt: first.Attempt, End: EndOverdue})
	n.effects = nil
	expectNo[AnnounceCrash](n)
	for i := range n.handles {
		if r, ok := n.state.requests.Get(firstHandle + 1 + i); ok && r.current.upstream.ID == first.Upstream.ID {
			n.on(AttemptEnded{Handle: r.Handle, Attempt: r.current.id, End: EndBroken, UpstreamEnded: true})
		}
	}
	for _, crash := range takeAll[AnnounceCrash](n) {
		for _, suspect := range crash.Crash.Suspects {
			n.Assert(suspect.Fingerprint, qt.Not(qt.Equals), "f1")
		}
	}
}

func TestOverdueAndRollouts(t *testing.T) {
	// Guards against a version that stalls and seems fast, since its slow calls are moved: they count as calls that took
	// at least so long.
	n := newEngineNode(t, true)
	n.runUsual(20)
	order := chutecanary.Order{Pool: enginePool, Version: "v2", Revision: 1, Duration: time.Minute}
	first, check := n.submitEngine(n.engineRequest(1, 500))
	n.beginOthers(8)
	n.on(RolloutsOrdered{Orders: []chutecanary.Order{order}})
	n.effects = nil
	n.checkUntilOverdue(check)
	n.on(AttemptEnded{Handle: 1, Attempt: first.Attempt, End: EndOverdue})
	old := n.state.RolloutTallies()[enginePool]["chat"].Old
	n.Assert(old.Failures, qt.Equals, 0)
	times := 0
	for _, count := range old.Times {
		times += count
	}
	n.Assert(times, qt.Equals, 1)
}

// TestNothingIsOverdueWithoutPace guards against any other decision in pools whose upstreams report no pace, whatever
// was learned and whatever checks come.
func TestNothingIsOverdueWithoutPace(t *testing.T) {
	taught := newEngineNode(t, true)
	taught.runUsual(40)
	rapid.Check(t, func(t *rapid.T) {
		plain, changed := newEngineNode(taught.TB, false), newEngineNode(taught.TB, false)
		changed.state.overdue = taught.state.overdue
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for i := range steps {
			passed := time.Duration(rapid.Int64Range(-10, 2000).Draw(t, "ms")) * time.Millisecond
			plain.pass(passed)
			changed.pass(passed)
			event := drawEvent(t, plain, uint64(i+1))
			plain.on(event)
			changed.on(event)
			if r, ok := changed.state.requests.Get(rapid.Uint64Range(1, uint64(i+1)).Draw(t, "checked")); ok {
				changed.on(AttemptChecked{
					Handle: r.Handle, Attempt: r.current.id, DueAt: changed.now, Events: rapid.IntRange(0, 2).Draw(t, "events"),
				})
			}
			if diff := describeDifference(plain.effects, changed.effects); diff != "" {
				t.Fatal(diff)
			}
			plain.effects, changed.effects = nil, nil
		}
	})
}

// describeDifference returns how two lists of effects differ; empty if they don't, and no effect is about overdue calls.
func describeDifference(a, b []Effect) string {
	if len(a) != len(b) {
		return fmt.Sprintf("%v and %v", a, b)
	}
	for i := range a {
		switch a[i].(type) {
		case CheckAttempt, AbandonSend:
			return fmt.Sprintf("%v", a[i])
		}
		if !reflect.DeepEqual(a[i], b[i]) {
			return fmt.Sprintf("%+v and %+v", a[i], b[i])
		}
	}

	return ""
}

// drawEvent draws an event that can happen to a node now.
func drawEvent(t *rapid.T, n *node, handle uint64) Event {
	r, ok := n.state.requests.Get(rapid.Uint64Range(1, handle).Draw(t, "handle"))
	if !ok {
		s := n.engineRequest(handle, rapid.SampledFrom([]int64{0, 500, 20_000}).Draw(t, "tokens"))
		s.Pipeline.Repeat = rapid.SampledFrom([]chuteroute.Repeatability{
			chuteroute.Repeatable, chuteroute.Unrepeatable, chuteroute.Resumable,
		}).Draw(t, "repeat")
		s.Pipeline.MaxAttempts = rapid.IntRange(1, 3).Draw(t, "attempts")

		return Arrived{Submission: s}
	}
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return AttemptBegan{Handle: r.Handle, Attempt: r.current.id}
	case 1:
		return CallerLeft{Handle: r.Handle}
	case 2:
		return DeadlinePassed{Handle: r.Handle}
	default:
		end := rapid.SampledFrom([]AttemptEnd{EndAnswered, EndErrored, EndRefused, EndBroken, EndSilent, EndUnreachable}).Draw(t, "end")

		return AttemptEnded{Handle: r.Handle, Attempt: r.current.id, End: end, Events: 3, HasAnswer: end == EndErrored}
	}
}
