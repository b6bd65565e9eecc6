package chuterelay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chuteroute"
)

// runRequest runs a request whose first event comes after the given time.
func (n *node) runRequest(handle uint64, took time.Duration) {
	n.Helper()
	s := streamRequest(handle, chuteroute.Resumable)
	s.Deadline = n.now.Add(6 * time.Second)
	sent := n.submit(s)
	n.pass(took)
	n.on(AttemptBegan{Handle: sent.Handle, Attempt: sent.Attempt})
	n.endCall(sent, EndAnswered)
	n.effects = nil
}

func TestLearnedCallTimes(t *testing.T) {
	t.Run("a request may wait longer if calls are faster than expected by their size", func(t *testing.T) {
		// Most of the prompt is in the engine's memory already. If the expected time depended
		// on the size alone, requests would count as late a third of a second too early, and
		// yield to others although they could be on time.
		n := newNode(t)
		rest := func() time.Duration {
			s := streamRequest(99, chuteroute.Resumable)

			return n.state.callTimes.expected(request{Submission: s})
		}
		before := rest()
		for i := range uint64(20) {
			n.runRequest(i+1, before/5)
		}
		n.Assert(rest() < before/2, qt.IsTrue, qt.Commentf("%v", rest()))
		n.Assert(rest() >= before/5, qt.IsTrue, qt.Commentf("%v", rest()))
	})

	t.Run("calls with varying times are expected to take longer than their mean", func(t *testing.T) {
		c := qt.New(t)
		var steady, varied callTimeRatio
		for i := range 64 {
			steady = steady.with(0.4)
			varied = varied.with([]float64{0.1, 0.7}[i%2])
		}
		c.Assert(varied.factor() > steady.factor()+0.15, qt.IsTrue, qt.Commentf("%v %v", varied, steady))
	})

	t.Run("slow calls never raise the expected time above that by size", func(t *testing.T) {
		// An engine that hangs for seconds says nothing about the others. If its time raised
		// the expectation, every request would count as late on arrival.
		c := qt.New(t)
		c.Assert(callTimeRatio{}.with(30).factor(), qt.Equals, 1.0)
	})
}

func TestUnderWay(t *testing.T) {
	t.Run("a late request yields at its first stage only", func(t *testing.T) {
		// Its first stage ran late, when nothing else waited. Requests that can still be on
		// time keep arriving at the second stage's queue. If the late one yielded there too,
		// its results would expire and be wasted.
		n := newNode(t)
		late := streamRequest(1, chuteroute.Resumable)
		late.Pipeline.Aim = time.Millisecond
		n.on(Arrived{Submission: late})
		first := takeOne[RunCall](n)
		n.Assert(first.Call.Jobs[0].TargetAt, qt.Equals, n.now.Add(time.Millisecond))
		n.pass(200 * time.Millisecond)
		n.answerCall(first)
		second := takeOne[RunCall](n)
		n.Assert(n.state.collector.IsLate(second.Call.Jobs[0], n.now), qt.IsFalse)
	})
}

func TestPatience(t *testing.T) {
	// A stream's caller leaves after 2 s without an event, although its deadline is in 6 s.
	// The upstreams of all stages are busy when it arrives.
	waiting := func(t *testing.T) (*node, Submission) {
		n := newNode(t)
		for i := range uint64(8) {
			full := streamRequest(10+i, chuteroute.Resumable)
			full.Parts = []int{8, 0}
			n.on(Arrived{Submission: full})
		}
		n.effects = nil
		s := streamRequest(1, chuteroute.Resumable)
		s.Pipeline.Patience = 2 * time.Second
		s.Pipeline.Aim = time.Second

		return n, s
	}

	t.Run("a request is refused with a retry delay before its caller leaves", func(t *testing.T) {
		n, s := waiting(t)
		n.on(Arrived{Submission: s})
		for range 100 {
			n.pass(queueCheckInterval)
			n.on(Ticked{})
		}
		refused := takeAll[Refuse](n)
		sawNotRun := false
		for _, r := range refused {
			if r.Handle == 1 {
				n.Assert(r.Refusal.Kind, qt.Equals, RefusedNotRun)
				n.Assert(r.Refusal.RetryAfter > 0, qt.IsTrue)
				sawNotRun = true
			}
		}
		n.Assert(sawNotRun, qt.IsTrue)
	})

	t.Run("the stages of a stream that has begun may run until the deadline", func(t *testing.T) {
		c := qt.New(t)
		r := request{Submission: streamRequest(1, chuteroute.Resumable), callerLeavesAt: start.Add(2 * time.Second)}
		c.Assert(r.answerBy(), qt.Equals, start.Add(2*time.Second))
		r.answerBegun = true
		c.Assert(r.answerBy(), qt.Equals, r.Deadline)
	})
}
