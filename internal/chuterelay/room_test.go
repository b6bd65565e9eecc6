package chuterelay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroom"
	"azurechute.example/azurechute/internal/chuteroute"
	"azurechute.example/azurechute/internal/chutestream"
	"azurechute.example/azurechute/internal/chutework"
)

// newRoomNode returns a node whose engines report their pace, so that their pool is placed by work.
func newRoomNode(t testing.TB) *node {
	n := newNode(t)
	n.state.fleet = n.state.fleet.WithPace(enginePool+"0", 100, n.now).WithPace(enginePool+"1", 100, n.now)

	return n
}

// occupy lets both engines have prompt tokens of other nodes' calls, which take 40 ms for a thousand.
func (n *node) occupy(tokens int64) {
	var reports []chutework.Report
	for i := range 2 {
		reports = append(reports, chutework.Report{Upstream: fmt.Sprint(enginePool, i), Calls: 4, Tokens: tokens})
	}
	n.state.fleet = n.state.fleet.WithWork(reports, n.now)
}

// roomRequest returns a streamed request without stages, whose caller waits for three seconds.
func (n *node) roomRequest(handle uint64, workspace string, tokens int64) Submission {
	s := streamRequest(handle, chuteroute.Resumable)
	s.Pipeline.Stages, s.Parts = nil, nil
	s.Pipeline.Aim, s.Pipeline.Patience = 750*time.Millisecond, 3*time.Second
	s.Workspace, s.PromptTokens, s.Deadline = chuteroute.Workspace{Name: workspace}, tokens, n.now.Add(6*time.Second)

	return s
}

// stagedRequest returns an roomRequest with the stages of streamRequest.
func (n *node) stagedRequest(handle uint64, tokens int64) Submission {
	s := n.roomRequest(handle, "w", tokens)
	staged := streamRequest(handle, chuteroute.Resumable)
	s.Pipeline.Stages, s.Parts = staged.Pipeline.Stages, staged.Parts

	return s
}

const (
	// aSecond and tooMuch are the outstanding tokens of an engine that take one second, and longer than callers wait.
	aSecond = 25_000
	tooMuch = 100_000
)

func TestRoomOnArrival(t *testing.T) {
	t.Run("a request whose first event would come too late is refused in the event of its arrival", func(t *testing.T) {
		// Guards against callers that wait until their deadlines for an answer that can't come.
		n := newRoomNode(t)
		n.occupy(tooMuch)
		n.on(Arrived{Submission: n.roomRequest(1, "w", 500)})
		expectNo[Send](n)
		refusal := n.expectRefused(RefusedNotRun)
		n.Assert(refusal.RetryAfter >= 100*time.Millisecond && refusal.RetryAfter <= time.Second, qt.IsTrue)
	})

	t.Run("the refusal's log step has what decided", func(t *testing.T) {
		n := newRoomNode(t)
		n.occupy(tooMuch)
		n.on(Arrived{Submission: n.roomRequest(1, "w", 500)})
		refused := takeOne[LogStep](n)
		n.Assert(refused.Step, qt.Equals, StepRefused)
		n.Assert(refused.Room.Cause, qt.Equals, chuteroom.ReasonTooLate)
		n.Assert(refused.Room.Wait > 4*time.Second, qt.IsTrue)
		n.Assert(refused.Room.Tokens, qt.Equals, int64(500))
		n.Assert(refused.Wait, qt.Equals, takeOne[Refuse](n).Refusal.RetryAfter)
		n.Assert(n.state.RoomCounts(), qt.Equals, chuteroom.Counts{TooLate: 1})
		n.Assert(n.state.View(n.now).Rooms[0].TooLate, qt.Equals, uint64(1))
	})

	t.Run("nothing is refused while there is capacity", func(t *testing.T) {
		n := newRoomNode(t)
		for i := range uint64(20) {
			s := n.submit(n.roomRequest(i+1, "w", 20_000))
			n.on(AttemptBegan{Handle: s.Handle, Attempt: s.Attempt})
		}
		n.Assert(n.state.RoomCounts(), qt.Equals, chuteroom.Counts{Admitted: 20})
	})

	t.Run("a loud workspace is refused while the pool is short, another one is not", func(t *testing.T) {
		// Guards against one workspace that takes the capacity of all.
		n := newRoomNode(t)
		for i := range uint64(40) {
			s := n.submit(n.roomRequest(i+1, "loud", 20_000))
			n.on(AttemptBegan{Handle: s.Handle, Attempt: s.Attempt})
		}
		n.submit(n.roomRequest(100, "usual", 20_000))
		n.occupy(aSecond)
		n.on(Arrived{Submission: n.roomRequest(101, "loud", 500)})
		n.Assert(takeOne[Refuse](n).Refusal.Kind, qt.Equals, RefusedNotRun)
		n.submit(n.roomRequest(102, "usual", 500))
		n.Assert(n.state.View(n.now).Rooms[0].Most[0].Workspace, qt.Equals, "loud")
	})

	t.Run("a request with stages is refused before any of them runs", func(t *testing.T) {
		// Guards against stages that run for a call which is refused then.
		n := newRoomNode(t)
		n.occupy(tooMuch)
		n.on(Arrived{Submission: n.stagedRequest(1, 500)})
		expectNo[RunCall](n)
		n.expectRefused(RefusedNotRun)
	})

	t.Run("the time of the stages counts", func(t *testing.T) {
		// The call alone would be in time, after the stages it is not.
		n := newRoomNode(t)
		n.occupy(aSecond)
		s := n.stagedRequest(1, 500)
		s.Pipeline.Patience = 2300 * time.Millisecond
		n.on(Arrived{Submission: s})
		n.expectRefused(RefusedNotRun)
		s = n.roomRequest(2, "w", 500)
		s.Pipeline.Patience = 2300 * time.Millisecond
		n.submit(s)
	})

	t.Run("a forwarded request is refused alike", func(t *testing.T) {
		n := newRoomNode(t)
		n.occupy(tooMuch)
		s := n.roomRequest(1, "w", 500)
		s.Forwarded = &Forwarded{Node: "n2", Counted: true}
		n.on(Arrived{Submission: s})
		n.Assert(n.expectRefused(RefusedNotRun).Elsewhere, qt.IsFalse)
	})
}

func TestRoomLater(t *testing.T) {
	t.Run("a request whose stages have run is sent, though the pool is short by then", func(t *testing.T) {
		// Guards against stages that have run for nothing.
		n := newRoomNode(t)
		n.on(Arrived{Submission: n.stagedRequest(1, 500)})
		n.answerParts()
		n.pass(100 * time.Millisecond)
		n.occupy(2 * aSecond)
		n.answerParts()
		takeOne[Send](n)
		expectNo[Refuse](n)
	})

	t.Run("it is refused if its caller would have left", func(t *testing.T) {
		n := newRoomNode(t)
		n.on(Arrived{Submission: n.stagedRequest(1, 500)})
		n.answerParts()
		n.pass(100 * time.Millisecond)
		n.occupy(tooMuch)
		n.answerParts()
		expectNo[Send](n)
		n.expectRefused(RefusedNotRun)
	})

	t.Run("a request that may have run is sent again, and never refused as not run", func(t *testing.T) {
		// Guards against a caller that is told that nothing has run, and sends a post again.
		n := newRoomNode(t)
		s := n.submit(n.roomRequest(1, "w", 500))
		n.pass(10 * time.Millisecond)
		n.occupy(tooMuch)
		n.endCall(s, EndBroken)
		takeOne[Send](n)
		expectNo[Refuse](n)
	})

	t.Run("a forwarded request that may have run at the other node is sent", func(t *testing.T) {
		n := newRoomNode(t)
		n.occupy(tooMuch)
		s := n.roomRequest(1, "w", 500)
		s.Forwarded = &Forwarded{Node: "n2", PossibleRuns: 1, Counted: true}
		n.submit(s)
	})

	t.Run("a call that an upstream has refused is refused here if no other one is in time", func(t *testing.T) {
		n := newRoomNode(t)
		s := n.submit(n.roomRequest(1, "w", 500))
		n.pass(10 * time.Millisecond)
		n.occupy(tooMuch)
		n.on(AttemptEnded{Handle: s.Handle, Attempt: s.Attempt, End: EndRefused})
		expectNo[Send](n)
		n.expectRefused(RefusedNotRun)
	})

	t.Run("resumed streams are sent whatever the capacity, and their work counts", func(t *testing.T) {
		// Guards against a caller that has half of an answer and gets no more of it.
		n := newRoomNode(t)
		n.occupy(tooMuch)
		s := n.roomRequest(1, "w", 500)
		s.Binding = chutestream.Binding{Pool: enginePool, Upstream: enginePool + "0"}
		sent := n.submit(s)
		n.Assert(n.state.View(n.now).Rooms[0].Work, qt.Equals, int64(500))
		n.on(AttemptBegan{Handle: 1, Attempt: sent.Attempt})
		n.pass(10 * time.Millisecond)
		n.occupy(tooMuch)
		n.endCall(sent, EndBroken)
		n.Assert(takeOne[Send](n).Resume, qt.IsTrue)
	})
}

func TestRoomWithoutUpstreams(t *testing.T) {
	// All engines of a busy pool vanish from the list. Guards against decisions by upstreams that are not there, and against
	// callers that all come back at once when the pool returns.
	n := newRoomNode(t)
	n.submit(n.roomRequest(1, "w", 500))
	n.on(CallerLeft{Handle: 1})
	n.on(UpstreamsListed{})
	delays := map[time.Duration]bool{}
	for i := range uint64(20) {
		n.on(Arrived{Submission: n.roomRequest(i+2, "w", 500)})
		delays[n.expectRefused(RefusedNotRun).RetryAfter] = true
	}
	n.Assert(len(delays) > 15, qt.IsTrue)
	n.on(UpstreamsListed{Upstreams: testUpstreams()})
	n.submit(n.roomRequest(100, "w", 500))
}

func TestVariedDelays(t *testing.T) {
	// All upstreams of a pool are gone. Guards against constant retry delays, after which all callers come back together.
	refuse := func(n *node, handle uint64) time.Duration {
		n.on(Arrived{Submission: n.roomRequest(handle, "w", 500)})

		return n.expectRefused(RefusedNotRun).RetryAfter
	}
	without := func(n *node) *node {
		var others []chutefleet.Upstream
		for _, u := range testUpstreams() {
			if u.Pool != enginePool {
				others = append(others, u)
			}
		}
		n.on(UpstreamsListed{Upstreams: others})

		return n
	}

	t.Run("they vary by a quarter either way in a pool that is placed by work", func(t *testing.T) {
		n := without(newRoomNode(t))
		shortest, longest := time.Hour, time.Duration(0)
		for i := range uint64(100) {
			delay := refuse(n, i+1)
			shortest, longest = min(shortest, delay), max(longest, delay)
		}
		n.Assert(shortest >= 300*time.Millisecond && shortest < 320*time.Millisecond, qt.IsTrue, qt.Commentf("%v", shortest))
		n.Assert(longest <= 500*time.Millisecond && longest > 480*time.Millisecond, qt.IsTrue, qt.Commentf("%v", longest))
	})

	t.Run("elsewhere they are as before", func(t *testing.T) {
		n := without(newNode(t))
		n.Assert(refuse(n, 1), qt.Equals, defaultRetryAfter)
		n.Assert(refuse(n, 2), qt.Equals, defaultRetryAfter)
	})

	t.Run("that of a queue of stages varies too", func(t *testing.T) {
		n := newRoomNode(t)
		n.state.waitReports = n.state.waitReports.Set(partQueue, waitReport{wait: 3 * time.Second, at: n.now})
		s := n.stagedRequest(1, 500)
		s.Pipeline.Patience = 0
		n.on(Arrived{Submission: s})
		delay := n.expectRefused(RefusedNotRun).RetryAfter
		n.Assert(delay != overloadRetryAfter && delay <= 2*time.Second, qt.IsTrue, qt.Commentf("%v", delay))
	})
}
