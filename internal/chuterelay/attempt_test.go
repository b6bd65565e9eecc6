package chuterelay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroute"
)

func TestAtMostOnce(t *testing.T) {
	for _, end := range []AttemptEnd{EndBroken, EndSilent, EndErrored} {
		t.Run("an unrepeatable call that may have run is never sent again: "+string(end), func(t *testing.T) {
			// A forum post is sent and its answer is lost. The caller is told that the result is
			// unknown: if the call were sent again, the post could be published twice.
			n := newNode(t)
			s := n.submit(plainRequest(1, chuteroute.Unrepeatable))
			n.Assert(s.FreshConnection, qt.IsTrue)
			n.on(AttemptEnded{Handle: 1, Attempt: s.Attempt, End: end})
			expectNo[Send](n)
			n.expectRefused(RefusedFailed)
		})
	}

	for _, end := range []AttemptEnd{EndRefused, EndUnreachable, EndMisaddressed} {
		t.Run("a call that did not run is sent to another upstream: "+string(end), func(t *testing.T) {
			n := newNode(t)
			first := n.submit(plainRequest(1, chuteroute.Unrepeatable))
			n.endCall(first, end)
			second := takeOne[Send](n)
			n.Assert(second.Upstream.ID, qt.Not(qt.Equals), first.Upstream.ID)
			n.endCall(second, EndAnswered)
			n.Assert(takeOne[Deliver](n).Attempt, qt.Equals, second.Attempt)
		})
	}

	t.Run("NotRun is reported only if no attempt can have run", func(t *testing.T) {
		// The first upstream broke the connection, the second one refused. A caller that is
		// told NotRun sends the request again although it may have run.
		n := newNode(t)
		first := n.submit(plainRequest(1, chuteroute.Repeatable))
		n.endCall(first, EndBroken)
		for _, s := range takeAll[Send](n) {
			n.endCall(s, EndRefused)
		}
		for sends := takeAll[Send](n); len(sends) > 0; sends = takeAll[Send](n) {
			n.endCall(sends[0], EndRefused)
		}
		n.expectRefused(RefusedFailed)
	})

	t.Run("refusals by all upstreams end in NotRun with a retry delay", func(t *testing.T) {
		n := newNode(t)
		s := n.submit(plainRequest(1, chuteroute.Unrepeatable))
		n.endCall(s, EndRefused)
		for sends := takeAll[Send](n); len(sends) > 0; sends = takeAll[Send](n) {
			n.endCall(sends[0], EndRefused)
		}
		n.Assert(n.expectRefused(RefusedNotRun).RetryAfter > 0, qt.IsTrue)
	})
}

func TestRepeats(t *testing.T) {
	t.Run("a repeatable call that failed is retried at another upstream", func(t *testing.T) {
		n := newNode(t)
		first := n.submit(plainRequest(1, chuteroute.Repeatable))
		n.endCall(first, EndErrored)
		second := takeOne[Send](n)
		n.Assert(second.Upstream.ID, qt.Not(qt.Equals), first.Upstream.ID)
		n.endCall(second, EndErrored)
		// The upstream's own answer goes to the caller when the attempts are used up.
		n.Assert(takeOne[Deliver](n).Attempt, qt.Equals, second.Attempt)
	})

	t.Run("retries stay within this node's share of the budget", func(t *testing.T) {
		// A pool fails each call. If ten nodes retried all of them, the load of an already
		// failing pool would double. Each node may spend a tenth of the slack, in addition to
		// what its own first calls earn.
		n := newNode(t)
		var nodes []Peer
		for range 9 {
			nodes = append(nodes, Peer{Name: string(rune('a' + len(nodes)))})
		}
		n.on(PeersListed{Peers: append(nodes, self)})
		retries := 0
		for handle := range uint64(20) {
			s := n.submit(plainRequest(handle+1, chuteroute.Repeatable))
			n.endCall(s, EndErrored)
			for _, again := range takeAll[Send](n) {
				retries++
				n.endCall(again, EndErrored)
			}
		}
		n.Assert(retries, qt.Equals, 4)
	})

	t.Run("an upstream whose address belongs to another process stays unavailable", func(t *testing.T) {
		n := newNode(t)
		s := n.submit(plainRequest(1, chuteroute.Repeatable))
		n.endCall(s, EndMisaddressed)
		n.pass(time.Minute)
		n.Assert(n.state.Fleet().Availability(s.Upstream.ID, n.now).IsAvailable(), qt.IsFalse)
	})
}

func TestUpstreamsFailure(t *testing.T) {
	// Both upstreams answer 500. The caller gets the second answer, and this is logged:
	// otherwise the last log line of the request would be a failed call, as if the node had
	// ended.
	n := newNode(t)
	n.endCall(n.submit(plainRequest(1, chuteroute.Repeatable)), EndErrored)
	second := takeOne[Send](n)
	n.endCall(second, EndErrored)
	n.Assert(takeOne[Deliver](n).Attempt, qt.Equals, second.Attempt)
	notes := takeAll[LogStep](n)
	last := notes[len(notes)-1]
	n.Assert(last.Step, qt.Equals, StepFailureDelivered)
	n.Assert(last.Reason, qt.Contains, "all attempts failed")
}

func TestStreams(t *testing.T) {
	t.Run("a broken stream resumes at another upstream with new inputs", func(t *testing.T) {
		// An engine ends when half of a diagnosis is delivered. The stages' results were freed
		// at the first event, so the stages run again. Then another engine resumes after the
		// last event that the caller has.
		n := newNode(t)
		first := n.submit(streamRequest(1, chuteroute.Resumable))
		n.on(AttemptBegan{Handle: 1, Attempt: first.Attempt})
		n.Assert(len(takeAll[FreeResults](n)) > 0, qt.IsTrue)
		n.endCall(first, EndBroken)
		n.answerParts()
		n.answerParts()
		second := takeOne[Send](n)
		n.Assert(second.Resume, qt.IsTrue)
		n.Assert(second.Inputs, qt.HasLen, 2)
		n.Assert(second.Upstream.ID, qt.Not(qt.Equals), first.Upstream.ID)
	})

	t.Run("a broken stream that can't be resumed fails", func(t *testing.T) {
		n := newNode(t)
		s := n.submit(streamRequest(1, chuteroute.Unrepeatable))
		n.on(AttemptBegan{Handle: 1, Attempt: s.Attempt})
		n.endCall(s, EndBroken)
		n.expectRefused(RefusedFailed)
	})

	t.Run("an upstream's failure answer is not delivered after a stream has begun", func(t *testing.T) {
		n := newNode(t)
		s := n.submit(streamRequest(1, chuteroute.Resumable))
		n.on(AttemptBegan{Handle: 1, Attempt: s.Attempt})
		n.endCall(s, EndErrored)
		n.answerParts()
		n.answerParts()
		n.endCall(takeOne[Send](n), EndErrored)
		expectNo[Deliver](n)
		n.expectRefused(RefusedFailed)
	})
}

func TestCallerGone(t *testing.T) {
	t.Run("the call is cancelled and the stages' results are freed", func(t *testing.T) {
		n := newNode(t)
		s := n.submit(streamRequest(1, chuteroute.Resumable))
		n.on(CallerLeft{Handle: 1})
		n.Assert(takeOne[CancelSend](n).Attempt, qt.Equals, s.Attempt)
		n.Assert(len(takeAll[FreeResults](n)) > 0, qt.IsTrue)
		n.Assert(n.state.Idle(), qt.IsTrue)
		n.Assert(n.state.Fleet().InFlight(enginePool), qt.Equals, 0)
	})

	t.Run("a call that ends after its caller left has no effect", func(t *testing.T) {
		n := newNode(t)
		s := n.submit(plainRequest(1, chuteroute.Repeatable))
		n.on(CallerLeft{Handle: 1})
		n.effects = nil
		n.endCall(s, EndAnswered)
		n.Assert(n.effects, qt.HasLen, 0)
	})
}

func TestDeadline(t *testing.T) {
	t.Run("a running call is cancelled and may have run", func(t *testing.T) {
		n := newNode(t)
		n.submit(plainRequest(1, chuteroute.Unrepeatable))
		n.on(DeadlinePassed{Handle: 1})
		n.Assert(takeAll[CancelSend](n), qt.HasLen, 1)
		n.expectRefused(RefusedExpired)
	})

	t.Run("a request whose stages did not end in time has not run", func(t *testing.T) {
		n := newNode(t)
		n.on(Arrived{Submission: streamRequest(1, chuteroute.Resumable)})
		n.on(DeadlinePassed{Handle: 1})
		n.expectRefused(RefusedNotRun)
	})
}

func TestConfigNeverGoesBack(t *testing.T) {
	// A node is suspended during a read of the store. When it continues, it gets version 3
	// from a peer, and then the old read returns version 2.
	n := newNode(t)
	n.on(ConfigAdopted{Config: testConfig(3)})
	n.on(ConfigAdopted{Config: testConfig(2)})
	n.Assert(n.state.Config().Version, qt.Equals, uint64(3))
}

func TestNothingUsable(t *testing.T) {
	t.Run("a request for a pool without upstreams is refused at once", func(t *testing.T) {
		n := newNode(t)
		n.on(UpstreamsListed{})
		n.on(Arrived{Submission: plainRequest(1, chuteroute.Repeatable)})
		n.expectRefused(RefusedNotRun)
	})

	t.Run("a request for a pool without available upstreams is refused at once", func(t *testing.T) {
		n := newNode(t)
		for _, u := range testUpstreams() {
			n.state.fleet = n.state.fleet.WithFailure(u.ID, chutefleet.FailureSilent, n.now)
		}
		n.on(Arrived{Submission: plainRequest(1, chuteroute.Repeatable)})
		n.expectRefused(RefusedNotRun)
	})
}

func TestProbes(t *testing.T) {
	t.Run("a silent upstream gets no call until it accepts connections again", func(t *testing.T) {
		// A zone is cut off for seconds. After the first lost call no request is sent there;
		// the node probes the upstream with connections of its own.
		n := newNode(t)
		s := n.submit(plainRequest(1, chuteroute.Repeatable))
		n.endCall(s, EndUnreachable)
		probe := takeOne[Probe](n)
		n.Assert(probe.Upstream.ID, qt.Equals, s.Upstream.ID)
		for range 5 {
			n.pass(probe.At.Sub(n.now))
			n.on(ProbeEnded{Upstream: s.Upstream.ID})
			n.Assert(n.state.Fleet().Availability(s.Upstream.ID, n.now).IsAvailable(), qt.IsFalse)
			probe = takeOne[Probe](n)
		}
		n.on(ProbeEnded{Upstream: s.Upstream.ID, Alive: true})
		n.Assert(n.state.Fleet().Availability(s.Upstream.ID, n.now).IsAvailable(), qt.IsTrue)
		expectNo[Probe](n)
	})

	t.Run("an upstream that is no longer listed is not probed again", func(t *testing.T) {
		n := newNode(t)
		s := n.submit(plainRequest(1, chuteroute.Repeatable))
		n.endCall(s, EndUnreachable)
		takeOne[Probe](n)
		n.on(UpstreamsListed{})
		n.on(ProbeEnded{Upstream: s.Upstream.ID})
		expectNo[Probe](n)
	})
}

func TestDrainEnding(t *testing.T) {
	// The process ends in two seconds. One request is running at an upstream and may finish;
	// the other waits for its stages and would be interrupted.
	n := newNode(t)
	sent := n.submit(plainRequest(1, chuteroute.Unrepeatable))
	n.on(Arrived{Submission: streamRequest(2, chuteroute.Resumable)})
	n.on(DrainEnding{})
	refused := takeOne[Refuse](n)
	n.Assert(refused.Handle, qt.Equals, uint64(2))
	n.Assert(refused.Refusal.Kind, qt.Equals, RefusedNotRun)
	n.endCall(sent, EndAnswered)
	n.Assert(takeOne[Deliver](n).Handle, qt.Equals, uint64(1))
}
