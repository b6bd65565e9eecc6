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
			// A forum post goes out and its answer is lost. The caller hears that
			// nothing is certain. Sent again it could stand in the forum twice.
			n := newNode(t)
			s := n.sent(plain(1, chuteroute.Unrepeatable))
			n.Assert(s.FreshConnection, qt.IsTrue)
			n.on(AttemptEnded{Handle: 1, Attempt: s.Attempt, End: end})
			expectNo[Send](n)
			n.expectRefused(RefusedFailed)
		})
	}

	for _, end := range []AttemptEnd{EndRefused, EndUnreachable, EndMisaddressed} {
		t.Run("one that certainly did not run goes elsewhere: "+string(end), func(t *testing.T) {
			n := newNode(t)
			first := n.sent(plain(1, chuteroute.Unrepeatable))
			n.ends(first, end)
			second := only[Send](n)
			n.Assert(second.Upstream.ID, qt.Not(qt.Equals), first.Upstream.ID)
			n.ends(second, EndAnswered)
			n.Assert(only[Deliver](n).Attempt, qt.Equals, second.Attempt)
		})
	}

	t.Run("NotRun is only said if no attempt can have run", func(t *testing.T) {
		// The first upstream broke off, the second one refused. A caller that
		// heard NotRun would send the request again although it may have run.
		n := newNode(t)
		first := n.sent(plain(1, chuteroute.Repeatable))
		n.ends(first, EndBroken)
		for _, s := range take[Send](n) {
			n.ends(s, EndRefused)
		}
		for sends := take[Send](n); len(sends) > 0; sends = take[Send](n) {
			n.ends(sends[0], EndRefused)
		}
		n.expectRefused(RefusedFailed)
	})

	t.Run("refusals by all upstreams end in NotRun with a time to come back", func(t *testing.T) {
		n := newNode(t)
		s := n.sent(plain(1, chuteroute.Unrepeatable))
		n.ends(s, EndRefused)
		for sends := take[Send](n); len(sends) > 0; sends = take[Send](n) {
			n.ends(sends[0], EndRefused)
		}
		n.Assert(n.expectRefused(RefusedNotRun).RetryAfter > 0, qt.IsTrue)
	})
}

func TestRepeats(t *testing.T) {
	t.Run("a repeatable call that failed runs once more, elsewhere", func(t *testing.T) {
		n := newNode(t)
		first := n.sent(plain(1, chuteroute.Repeatable))
		n.ends(first, EndErrored)
		second := only[Send](n)
		n.Assert(second.Upstream.ID, qt.Not(qt.Equals), first.Upstream.ID)
		n.ends(second, EndErrored)
		// The upstream's own answer goes to the caller when attempts are used up.
		n.Assert(only[Deliver](n).Attempt, qt.Equals, second.Attempt)
	})

	t.Run("repeats keep to this node's share of the budget", func(t *testing.T) {
		// A pool fails each call. Ten nodes that all repeated would double its load
		// just when it can bear least; each may add a tenth of the slack to the credit of
		// its own first calls.
		n := newNode(t)
		var nodes []Peer
		for range 9 {
			nodes = append(nodes, Peer{Name: string(rune('a' + len(nodes)))})
		}
		n.on(PeersListed{Peers: append(nodes, self)})
		repeats := 0
		for handle := range uint64(20) {
			s := n.sent(plain(handle+1, chuteroute.Repeatable))
			n.ends(s, EndErrored)
			for _, again := range take[Send](n) {
				repeats++
				n.ends(again, EndErrored)
			}
		}
		n.Assert(repeats, qt.Equals, 4)
	})

	t.Run("an address with another process behind it is given up for good", func(t *testing.T) {
		n := newNode(t)
		s := n.sent(plain(1, chuteroute.Repeatable))
		n.ends(s, EndMisaddressed)
		n.pass(time.Minute)
		n.Assert(n.state.Fleet().Availability(s.Upstream.ID, n.now).IsAvailable(), qt.IsFalse)
	})
}

func TestUpstreamsFailure(t *testing.T) {
	// Both upstreams answer 500. The caller gets the second answer, and the log says
	// so: without the line the request's last trace would be a failed call, as if the
	// node had ended.
	n := newNode(t)
	n.ends(n.sent(plain(1, chuteroute.Repeatable)), EndErrored)
	second := only[Send](n)
	n.ends(second, EndErrored)
	n.Assert(only[Deliver](n).Attempt, qt.Equals, second.Attempt)
	notes := take[LogStep](n)
	last := notes[len(notes)-1]
	n.Assert(last.Step, qt.Equals, StepFailureDelivered)
	n.Assert(last.Reason, qt.Contains, "all attempts failed")
}

func TestStreams(t *testing.T) {
	t.Run("a broken stream goes on at another upstream with fresh inputs", func(t *testing.T) {
		// Half of a diagnosis is out when its engine dies. The stages' results were
		// freed at the first event, so they are made again; then another engine goes
		// on after the last event that the caller has.
		n := newNode(t)
		first := n.sent(stream(1, chuteroute.Resumable))
		n.on(AttemptBegan{Handle: 1, Attempt: first.Attempt})
		n.Assert(len(take[FreeResults](n)) > 0, qt.IsTrue)
		n.ends(first, EndBroken)
		n.makeParts()
		n.makeParts()
		second := only[Send](n)
		n.Assert(second.Resume, qt.IsTrue)
		n.Assert(second.Inputs, qt.HasLen, 2)
		n.Assert(second.Upstream.ID, qt.Not(qt.Equals), first.Upstream.ID)
	})

	t.Run("one that can't be resumed is broken off", func(t *testing.T) {
		n := newNode(t)
		s := n.sent(stream(1, chuteroute.Unrepeatable))
		n.on(AttemptBegan{Handle: 1, Attempt: s.Attempt})
		n.ends(s, EndBroken)
		n.expectRefused(RefusedFailed)
	})

	t.Run("an upstream's failure answer never follows the beginning of a stream", func(t *testing.T) {
		n := newNode(t)
		s := n.sent(stream(1, chuteroute.Resumable))
		n.on(AttemptBegan{Handle: 1, Attempt: s.Attempt})
		n.ends(s, EndErrored)
		n.makeParts()
		n.makeParts()
		n.ends(only[Send](n), EndErrored)
		expectNo[Deliver](n)
		n.expectRefused(RefusedFailed)
	})
}

func TestCallerGone(t *testing.T) {
	t.Run("the call is cancelled and the stages' results are freed", func(t *testing.T) {
		n := newNode(t)
		s := n.sent(stream(1, chuteroute.Resumable))
		n.on(CallerLeft{Handle: 1})
		n.Assert(only[CancelSend](n).Attempt, qt.Equals, s.Attempt)
		n.Assert(len(take[FreeResults](n)) > 0, qt.IsTrue)
		n.Assert(n.state.Idle(), qt.IsTrue)
		n.Assert(n.state.Fleet().InFlight(enginePool), qt.Equals, 0)
	})

	t.Run("an end that comes after that changes nothing", func(t *testing.T) {
		n := newNode(t)
		s := n.sent(plain(1, chuteroute.Repeatable))
		n.on(CallerLeft{Handle: 1})
		n.effects = nil
		n.ends(s, EndAnswered)
		n.Assert(n.effects, qt.HasLen, 0)
	})
}

func TestDeadline(t *testing.T) {
	t.Run("a call under way is cancelled; it may have run", func(t *testing.T) {
		n := newNode(t)
		n.sent(plain(1, chuteroute.Unrepeatable))
		n.on(DeadlinePassed{Handle: 1})
		n.Assert(take[CancelSend](n), qt.HasLen, 1)
		n.expectRefused(RefusedExpired)
	})

	t.Run("a request whose stages did not end in time has not run", func(t *testing.T) {
		n := newNode(t)
		n.on(Arrived{Submission: stream(1, chuteroute.Resumable)})
		n.on(DeadlinePassed{Handle: 1})
		n.expectRefused(RefusedNotRun)
	})
}

func TestConfigNeverGoesBack(t *testing.T) {
	// A node froze with a read of the store under way. It wakes, learns version 3
	// from a peer, and then the old read brings version 2.
	n := newNode(t)
	n.on(ConfigAdopted{Config: testConfig(3)})
	n.on(ConfigAdopted{Config: testConfig(2)})
	n.Assert(n.state.Config().Version, qt.Equals, uint64(3))
}

func TestNothingUsable(t *testing.T) {
	t.Run("a pool without upstreams refuses at once", func(t *testing.T) {
		n := newNode(t)
		n.on(UpstreamsListed{})
		n.on(Arrived{Submission: plain(1, chuteroute.Repeatable)})
		n.expectRefused(RefusedNotRun)
	})

	t.Run("so does one whose upstreams are all suspended", func(t *testing.T) {
		n := newNode(t)
		for _, u := range testUpstreams() {
			n.state.fleet = n.state.fleet.WithFailure(u.ID, chutefleet.FailureSilent, n.now)
		}
		n.on(Arrived{Submission: plain(1, chuteroute.Repeatable)})
		n.expectRefused(RefusedNotRun)
	})
}

func TestProbes(t *testing.T) {
	t.Run("a silent upstream gets no call until it accepts connections again", func(t *testing.T) {
		// A zone is cut off for seconds. After the first loss no request is tried there;
		// the upstream is asked by connections of the node's own.
		n := newNode(t)
		s := n.sent(plain(1, chuteroute.Repeatable))
		n.ends(s, EndUnreachable)
		probe := only[Probe](n)
		n.Assert(probe.Upstream.ID, qt.Equals, s.Upstream.ID)
		for range 5 {
			n.pass(probe.At.Sub(n.now))
			n.on(ProbeEnded{Upstream: s.Upstream.ID})
			n.Assert(n.state.Fleet().Availability(s.Upstream.ID, n.now).IsAvailable(), qt.IsFalse)
			probe = only[Probe](n)
		}
		n.on(ProbeEnded{Upstream: s.Upstream.ID, Alive: true})
		n.Assert(n.state.Fleet().Availability(s.Upstream.ID, n.now).IsAvailable(), qt.IsTrue)
		expectNo[Probe](n)
	})

	t.Run("one that is not listed any more is not asked again", func(t *testing.T) {
		n := newNode(t)
		s := n.sent(plain(1, chuteroute.Repeatable))
		n.ends(s, EndUnreachable)
		only[Probe](n)
		n.on(UpstreamsListed{})
		n.on(ProbeEnded{Upstream: s.Upstream.ID})
		expectNo[Probe](n)
	})
}

func TestDrainEnding(t *testing.T) {
	// The process ends in two seconds. One request is at an upstream and may finish;
	// one waits for its stages and would be cut off.
	n := newNode(t)
	sent := n.sent(plain(1, chuteroute.Unrepeatable))
	n.on(Arrived{Submission: stream(2, chuteroute.Resumable)})
	n.on(DrainEnding{})
	refused := only[Refuse](n)
	n.Assert(refused.Handle, qt.Equals, uint64(2))
	n.Assert(refused.Refusal.Kind, qt.Equals, RefusedNotRun)
	n.ends(sent, EndAnswered)
	n.Assert(only[Deliver](n).Handle, qt.Equals, uint64(1))
}
