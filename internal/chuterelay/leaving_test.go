package chuterelay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chuteroute"
)

// say reports what an upstream says about itself.
func (n *node) say(id string, notice Notice) {
	u, _ := n.state.Fleet().Get(id)
	n.on(NoticeReceived{Upstream: u, Notice: notice})
}

// sendMany submits plain requests and returns the upstreams that they go to.
func (n *node) sendMany(count int) map[string]int {
	n.Helper()
	to := map[string]int{}
	for range count {
		n.handles++
		request := plainRequest(1000+n.handles, chuteroute.Repeatable)
		request.Deadline = n.now.Add(3 * time.Second)
		s := n.submit(request)
		to[s.Upstream.ID]++
		n.endCall(s, EndAnswered)
	}

	return to
}

// Guards against calls to an upstream that has said that it leaves, by any way out.
func TestLeavingByNotice(t *testing.T) {
	leaving := Notice{Leaving: true}

	t.Run("it gets no new requests", func(t *testing.T) {
		n := newNode(t)
		n.say(plainPool+"0", leaving)
		n.Assert(n.sendMany(20)[plainPool+"0"], qt.Equals, 0)
	})

	t.Run("it gets no retry", func(t *testing.T) {
		n := newNode(t)
		s := n.submit(plainRequest(1, chuteroute.Repeatable))
		other := plainPool + "0"
		if s.Upstream.ID == other {
			other = plainPool + "1"
		}
		n.say(other, leaving)
		n.endCall(s, EndRefused)
		for _, again := range takeAll[Send](n) {
			n.Assert(again.Upstream.ID, qt.Not(qt.Equals), other)
		}
	})

	t.Run("it gets no parts", func(t *testing.T) {
		n := newNode(t)
		n.say(partPool+"0", leaving)
		n.on(Arrived{Submission: manyPartsRequest(1)})
		for _, call := range takeAll[RunCall](n) {
			n.Assert(call.Upstream.ID, qt.Equals, partPool+"1")
		}
	})

	t.Run("a later entry of the same process does not clear it", func(t *testing.T) {
		n := newNode(t)
		n.say(plainPool+"0", leaving)
		n.on(UpstreamsListed{Upstreams: testUpstreams()})
		n.Assert(n.sendMany(20)[plainPool+"0"], qt.Equals, 0)
	})

	t.Run("an entry that went and came back does not clear it", func(t *testing.T) {
		n := newNode(t)
		n.say(plainPool+"0", leaving)
		n.on(UpstreamsListed{Upstreams: testUpstreams()[4:]})
		n.on(UpstreamsListed{Upstreams: testUpstreams()})
		n.Assert(n.sendMany(20)[plainPool+"0"], qt.Equals, 0)
	})

	t.Run("a new process of the same name starts clean", func(t *testing.T) {
		n := newNode(t)
		n.say(plainPool+"0", leaving)
		n.restart(plainPool + "0")
		to := n.sendMany(20)
		n.Assert(len(to), qt.Equals, 2, qt.Commentf("%v", to))
	})

	t.Run("if all of a pool leave, callers are told at once", func(t *testing.T) {
		n := newNode(t)
		n.say(plainPool+"0", leaving)
		n.say(plainPool+"1", leaving)
		n.on(Arrived{Submission: plainRequest(1, chuteroute.Repeatable)})
		n.expectRefused(RefusedNotRun)
	})

	t.Run("a request whose stages run is told at once when the last one leaves", func(t *testing.T) {
		n := newNode(t)
		n.on(Arrived{Submission: streamRequest(1, chuteroute.Resumable)})
		n.say(enginePool+"0", leaving)
		n.say(enginePool+"1", leaving)
		n.expectRefused(RefusedNotRun)
	})
}
