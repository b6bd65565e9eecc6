package chuterelay

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutequarantine"
	"azurechute.example/azurechute/internal/chuteroute"
)

func TestSurvivedCalls(t *testing.T) {
	t.Run("a crash's suspect carries the calls that upstreams survived", func(t *testing.T) {
		// Guards against nodes that can't tell the most frequent request from one that crashes upstreams.
		for _, end := range []AttemptEnd{EndErrored, EndRefused} {
			n := newNode(t)
			n.endCall(n.submit(n.withFingerprint(plainRequest(1, chuteroute.Unrepeatable), "p")), end)
			takeAll[Send](n)
			n.reportCrash(n.submit(n.withFingerprint(plainRequest(2, chuteroute.Unrepeatable), "p")))
			n.Assert(takeOne[AnnounceCrash](n).Crash.Suspects[0].Survived, qt.Equals, 1)
		}
	})

	t.Run("a call that broke counts if the upstream goes on", func(t *testing.T) {
		n := newNode(t)
		s := n.submit(n.withFingerprint(plainRequest(1, chuteroute.Unrepeatable), "p"))
		n.on(AttemptEnded{Handle: s.Handle, Attempt: s.Attempt, End: EndBroken, UpstreamAlive: true})
		n.Assert(n.state.survived.count("p", n.now), qt.Equals, 1)
	})

	t.Run("other calls without an answer do not count", func(t *testing.T) {
		n := newNode(t)
		n.endCall(n.submit(n.withFingerprint(plainRequest(1, chuteroute.Unrepeatable), "p")), EndBroken)
		n.reportCrash(n.submit(n.withFingerprint(plainRequest(2, chuteroute.Unrepeatable), "p")))
		n.Assert(takeOne[AnnounceCrash](n).Crash.Suspects[0].Survived, qt.Equals, 0)
	})

	t.Run("parts that upstreams ran count", func(t *testing.T) {
		n := newNode(t)
		n.on(Arrived{Submission: n.withFingerprint(manyPartsRequest(1), "p")})
		for _, call := range takeAll[RunCall](n) {
			n.answerCall(call)
		}
		n.Assert(n.state.survived.count("p", n.now) > 0, qt.IsTrue)
	})

	t.Run("counts are forgotten after two windows", func(t *testing.T) {
		c := qt.New(t)
		s := newSurvivedCalls().with("p", start)
		c.Assert(s.count("p", start.Add(chutequarantine.SurvivalWindow)), qt.Equals, 1)
		c.Assert(s.count("p", start.Add(2*chutequarantine.SurvivalWindow)), qt.Equals, 0)
	})

	t.Run("the requests that are counted are bounded", func(t *testing.T) {
		s := newSurvivedCalls().with("first", start)
		for i := range 2 * maxSurvivedRequests {
			s = s.with(fmt.Sprint(i), start)
		}
		qt.Assert(t, s.current.Len(), qt.Equals, maxSurvivedRequests)
		qt.Assert(t, s.with("first", start).count("first", start), qt.Equals, 2)
	})
}
