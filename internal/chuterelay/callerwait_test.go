package chuterelay

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chuteroute"
)

// patientRequest returns a streamed request whose caller states how long it waits.
func patientRequest(handle uint64, wait time.Duration) Submission {
	s := streamRequest(handle, chuteroute.Resumable)
	s.CallerWait = wait

	return s
}

func TestComingBack(t *testing.T) {
	t.Run("a resent request is on time only if it is on time counted from its first sending", func(t *testing.T) {
		// Callers that were refused in a burst resend their requests two seconds later. Their
		// answers are late by then, and must not make others late.
		n := newNode(t)
		n.on(Arrived{Submission: patientRequest(1, 6*time.Second)})
		n.on(Arrived{Submission: patientRequest(2, 3500*time.Millisecond)})
		first, _ := n.state.requests.Get(1)
		back, _ := n.state.requests.Get(2)
		n.Assert(first.targetAt, qt.Equals, n.now.Add(2*time.Second))
		n.Assert(back.targetAt.Before(n.now.Add(200*time.Millisecond)), qt.IsTrue)
	})

	t.Run("parts of a resent request wait for those that can still be on time", func(t *testing.T) {
		n := newNode(t)
		n.on(Arrived{Submission: patientRequest(1, 6*time.Second)})
		// The queue is short enough that no request is refused because of it.
		n.on(JobReceived{Token: 1, Job: peerJob("busy", 8)})
		n.on(JobReceived{Token: 2, Job: peerJob("busy", 4)})
		n.on(Arrived{Submission: patientRequest(2, 3500*time.Millisecond)})
		n.on(Arrived{Submission: patientRequest(3, 6*time.Second)})
		expectNo[Refuse](n)
		var order []string
		for !slices.Contains(order, "r2") {
			calls := takeAll[RunCall](n)
			n.Assert(calls, qt.Not(qt.HasLen), 0)
			for _, call := range calls {
				order = append(order, requestsOf(call.Call)...)
				n.answerCall(call)
			}
		}
		n.Assert(slices.Index(order, "r3") < slices.Index(order, "r2"), qt.IsTrue, qt.Commentf("%v", order))
	})

	t.Run("the wait of a resent request does not cause the refusal of others", func(t *testing.T) {
		// A resent request waits for all that can still be on time. If its wait counted for
		// the whole queue, new requests, which hardly wait, would be refused.
		n := withPeer(t)
		for handle, wait := range []time.Duration{6 * time.Second, 3500 * time.Millisecond} {
			n.on(Arrived{Submission: patientRequest(uint64(handle+1), wait)})
		}
		asks := takeAll[RequestJob](n)
		n.on(JobFailed{JobRequestID: asks[1].JobRequestID, Reason: string(chutebatch.PartOverloaded), Wait: 3 * time.Second})
		n.Assert(takeOne[Refuse](n).Handle, qt.Equals, uint64(2))
		n.on(Arrived{Submission: patientRequest(3, 6*time.Second)})
		expectNo[Refuse](n)
		n.on(JobFailed{JobRequestID: asks[0].JobRequestID, Reason: string(chutebatch.PartOverloaded), Wait: 3 * time.Second})
		takeOne[Refuse](n)
		n.on(Arrived{Submission: patientRequest(4, 6*time.Second)})
		n.Assert(takeOne[Refuse](n).Handle, qt.Equals, uint64(4))
	})

	t.Run("callers that state slightly different waits do not count as resending", func(t *testing.T) {
		c := qt.New(t)
		p := newCallerWaits().with("a", 6*time.Second)
		c.Assert(p.waitedBefore("a", 5200*time.Millisecond), qt.Equals, time.Duration(0))
		c.Assert(p.waitedBefore("a", 4*time.Second) > time.Second, qt.IsTrue)
		c.Assert(p.waitedBefore("b", 4*time.Second), qt.Equals, time.Duration(0))
		c.Assert(p.waitedBefore("a", 0), qt.Equals, time.Duration(0))
	})

	t.Run("the usual wait adapts to the callers", func(t *testing.T) {
		c := qt.New(t)
		p := newCallerWaits().with("a", 60*time.Second)
		for range 300 {
			p = p.with("a", 6*time.Second)
		}
		c.Assert(p.waitedBefore("a", 6*time.Second), qt.Equals, time.Duration(0))
	})
}

// requestsOf returns the distinct requests whose parts a call has.
func requestsOf(call chutebatch.Call) []string {
	var names []string
	for _, job := range call.Jobs {
		if !slices.Contains(names, job.Request) {
			names = append(names, job.Request)
		}
	}

	return names
}
