package chuterelay

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroute"
)

const restTime = 3 * time.Second

// Guards against calls to an upstream that has asked for a rest, before the rest is over.
func TestRestByNotice(t *testing.T) {
	rest := Notice{Rest: restTime}

	t.Run("it gets no requests until the rest is over", func(t *testing.T) {
		n := newNode(t)
		n.say(plainPool+"0", rest)
		n.Assert(n.sendMany(20)[plainPool+"0"], qt.Equals, 0)
		n.pass(restTime - 1)
		n.Assert(n.sendMany(20)[plainPool+"0"], qt.Equals, 0)
		n.pass(restTime)
		n.Assert(n.sendMany(20)[plainPool+"0"] > 0, qt.IsTrue)
	})

	t.Run("a shorter rest does not cut a longer one", func(t *testing.T) {
		n := newNode(t)
		n.say(plainPool+"0", rest)
		n.say(plainPool+"0", Notice{Rest: time.Millisecond})
		n.pass(restTime - 1)
		n.Assert(n.sendMany(20)[plainPool+"0"], qt.Equals, 0)
	})

	t.Run("an answer to an earlier call does not end it", func(t *testing.T) {
		n := newNode(t)
		s := n.submit(plainRequest(1, chuteroute.Repeatable))
		n.say(s.Upstream.ID, rest)
		n.endCall(s, EndAnswered)
		n.Assert(n.sendMany(20)[s.Upstream.ID], qt.Equals, 0)
	})

	t.Run("an entry that went and came back does not end it", func(t *testing.T) {
		n := newNode(t)
		n.say(plainPool+"0", rest)
		n.on(UpstreamsListed{Upstreams: testUpstreams()[4:]})
		n.on(UpstreamsListed{Upstreams: testUpstreams()})
		n.Assert(n.sendMany(20)[plainPool+"0"], qt.Equals, 0)
	})

	t.Run("the entry of a new process that comes late does not end it", func(t *testing.T) {
		// Guards against calls to a process that asked for the rest itself, before this node had its entry.
		n := newNode(t)
		n.say(plainPool+"0", rest)
		id := n.restart(plainPool + "0")[0]
		n.Assert(n.sendMany(20)[id], qt.Equals, 0)
		n.pass(restTime - 1)
		n.Assert(n.sendMany(20)[id], qt.Equals, 0)
		n.pass(restTime)
		n.Assert(n.sendMany(20)[id] > 0, qt.IsTrue)
	})

	t.Run("nor does such an entry after none", func(t *testing.T) {
		n := newNode(t)
		n.say(plainPool+"0", rest)
		n.on(UpstreamsListed{Upstreams: testUpstreams()[4:]})
		id := n.restart(plainPool + "0")[0]
		n.Assert(n.sendMany(20)[id], qt.Equals, 0)
	})

	t.Run("a new process ends it that can't have asked for it", func(t *testing.T) {
		n := newNode(t)
		n.say(plainPool+"0", Notice{Rest: time.Hour})
		n.pass(10 * time.Second)
		id := n.restart(plainPool + "0")[0]
		n.Assert(n.sendMany(20)[id] > 0, qt.IsTrue)
	})

	t.Run("it gets no parts, and no message about results", func(t *testing.T) {
		n := newNode(t)
		n.on(Arrived{Submission: manyPartsRequest(1)})
		calls := takeAll[RunCall](n)
		n.Assert(len(calls) > 1, qt.IsTrue)
		n.say(partPool+"0", rest)
		for _, call := range calls {
			n.answerCall(call)
		}
		for _, call := range takeAll[RunCall](n) {
			n.Assert(call.Upstream.ID, qt.Equals, partPool+"1")
		}
		n.on(CallerLeft{Handle: 1})
		for _, free := range takeAll[FreeResults](n) {
			n.Assert(free.Upstream.ID, qt.Equals, partPool+"1")
		}
	})

	t.Run("if all of a pool rest, callers come back after the shortest rest", func(t *testing.T) {
		n := newNode(t)
		n.say(plainPool+"0", rest)
		n.say(plainPool+"1", Notice{Rest: 2 * restTime})
		n.on(Arrived{Submission: plainRequest(1, chuteroute.Repeatable)})
		after := n.expectRefused(RefusedNotRun).RetryAfter
		n.Assert(after >= restTime && after < 2*restTime, qt.IsTrue, qt.Commentf("%v", after))
	})

	t.Run("parts that would wait beyond their deadline are refused at once", func(t *testing.T) {
		n := newNode(t)
		n.on(Arrived{Submission: manyPartsRequest(1)})
		calls := takeAll[RunCall](n)
		n.say(partPool+"0", Notice{Rest: time.Hour})
		n.say(partPool+"1", Notice{Rest: time.Hour})
		for _, call := range calls {
			n.on(CallEnded{ID: call.Call.ID, End: chutebatch.CallRefused, Failure: chutefleet.FailureFull, Took: time.Millisecond})
		}
		n.expectRefused(RefusedNotRun)
	})

	t.Run("the rests that nodes were asked for at once end at different times", func(t *testing.T) {
		ends := map[time.Time]bool{}
		for seed := range uint64(8) {
			n := newNode(t)
			n.state.random = *rand.NewPCG(seed, seed)
			n.say(plainPool+"0", rest)
			ends[n.state.Fleet().Availability(plainPool+"0", n.now).Until] = true
		}
		qt.Assert(t, len(ends) > 4, qt.IsTrue)
	})
}
