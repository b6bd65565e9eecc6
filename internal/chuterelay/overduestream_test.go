package chuterelay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chuteroute"
)

// openStream is a stream of a test, with the check of it that is due.
type openStream struct {
	send   Send
	check  CheckAttempt
	events int
	heldUp time.Duration
}

// openStreams submits requests whose first events arrive after the expected time.
func (n *node) openStreams(submissions ...Submission) []*openStream {
	n.Helper()
	var open []*openStream
	for _, s := range submissions {
		n.on(Arrived{Submission: s})
		open = append(open, &openStream{send: takeOne[Send](n)})
	}
	n.pass(80 * time.Millisecond)
	n.effects = nil
	for _, o := range open {
		n.on(AttemptBegan{Handle: o.send.Handle, Attempt: o.send.Attempt})
		o.check, o.events = takeOne[CheckAttempt](n), 1
	}

	return open
}

// usualStreams submits requests of which nothing particular is expected.
func (n *node) usualStreams(count int) []*openStream {
	n.Helper()
	var submissions []Submission
	for range count {
		n.handles++
		submissions = append(submissions, n.engineRequest(firstHandle+n.handles, 500))
	}

	return n.openStreams(submissions...)
}

// checkStreams reports the next check of each stream, which has had some events since the last.
func (n *node) checkStreams(streams []*openStream, events int) {
	n.Helper()
	for _, o := range streams {
		o.events += events
		n.now = o.check.At
		n.on(AttemptChecked{Handle: o.send.Handle, Attempt: o.send.Attempt, DueAt: o.check.At, Events: o.events, HeldUp: o.heldUp})
		for _, next := range takeAll[CheckAttempt](n) {
			o.check = next
		}
	}
}

// usualEvents is the number of events that a usual stream has between two checks.
const usualEvents = 10

// slowNode returns a node with 20 usual streams and one more whose engine becomes slow.
func slowNode(t *testing.T, change func(s *Submission)) (n *node, slow *openStream, others []*openStream) {
	n = newEngineNode(t, true)
	n.runUsual(20)
	s := n.engineRequest(1, 500)
	if change != nil {
		change(&s)
	}
	// Its engine has no other stream, so that the others are at other engines.
	slow = n.openStreams(s)[0]
	others = n.usualStreams(16)
	for i := range others {
		r, _ := n.state.requests.Get(others[i].send.Handle)
		if r.current.upstream.ID == slow.send.Upstream.ID {
			r.current.upstream = engines(8)[7]
			n.state.requests = n.state.requests.Set(r.Handle, r)
		}
	}
	n.effects = nil

	return n, slow, others
}

func TestOverdueStream(t *testing.T) {
	t.Run("a stream that stalls while others go on is continued elsewhere", func(t *testing.T) {
		// Guards against streams that run into their deadlines at an engine that has stalled.
		n, slow, others := slowNode(t, nil)
		n.checkStreams([]*openStream{slow}, 4)
		n.checkStreams(others, usualEvents)
		expectNo[AbandonSend](n)
		n.checkStreams([]*openStream{slow}, 0)
		n.checkStreams(others, usualEvents)
		expectNo[AbandonSend](n)
		n.checkStreams([]*openStream{slow}, 0)
		n.Assert(takeOne[AbandonSend](n), qt.Equals, AbandonSend{Handle: 1, Attempt: slow.send.Attempt, Begun: true})
		step := stepsOf(n, StepOverdue)[0]
		n.Assert(step.Overdue.Stream, qt.IsTrue)
		n.Assert(step.Overdue.Decision, qt.Equals, OverdueMoved)
		n.Assert(step.Overdue.Expected >= 50*time.Millisecond && step.Overdue.Expected < 60*time.Millisecond, qt.IsTrue)
		n.Assert(step.Overdue.Elapsed >= 500*time.Millisecond, qt.IsTrue)
		n.on(AttemptEnded{Handle: 1, Attempt: slow.send.Attempt, End: EndOverdue, Events: 5})
		again := takeOne[Send](n)
		n.Assert(again.Resume, qt.IsTrue)
		n.Assert(again.Upstream.ID, qt.Not(qt.Equals), slow.send.Upstream.ID)
		charge := takeOne[Charge](n)
		n.Assert(charge.Units, qt.Equals, int64(5))
		n.Assert(charge.Wasted, qt.IsTrue)
		// A request is moved once, also for the other reason.
		n.effects = nil
		n.on(AttemptBegan{Handle: 1, Attempt: again.Attempt})
		resumed := &openStream{send: again, check: takeOne[CheckAttempt](n), events: 1}
		for range 3 {
			n.checkStreams(others, usualEvents)
			n.checkStreams([]*openStream{resumed}, 0)
		}
		n.expectLeft(OverdueUnrepeatable)
		n.endCall(again, EndAnswered)
		n.Assert(takeOne[Deliver](n).Attempt, qt.Equals, again.Attempt)
	})

	t.Run("a single pause is no reason", func(t *testing.T) {
		// Guards against streams that are moved because one long prompt was processed beside them.
		n, slow, others := slowNode(t, nil)
		for range 3 {
			n.checkStreams([]*openStream{slow}, 0)
			n.checkStreams(others, usualEvents)
			n.checkStreams([]*openStream{slow}, usualEvents)
			n.checkStreams(others, usualEvents)
		}
		expectNo[AbandonSend](n)
	})

	t.Run("all streams are slow", func(t *testing.T) {
		// Guards against streams that are moved while no engine is faster.
		n, slow, others := slowNode(t, nil)
		for range 4 {
			n.checkStreams([]*openStream{slow}, 2)
			n.checkStreams(others, 2)
		}
		expectNo[AbandonSend](n)
		steps := stepsOf(n, StepOverdue)
		n.Assert(len(steps) > 0 && len(steps) <= 17, qt.IsTrue, qt.Commentf("%d", len(steps)))
		for _, step := range steps {
			n.Assert(step.Overdue.Decision, qt.Equals, OverduePoolSlow)
		}
	})

	t.Run("the caller reads slowly", func(t *testing.T) {
		// Guards against an engine that is given up because the caller does not take its events.
		n, slow, others := slowNode(t, nil)
		for range 4 {
			slow.heldUp += 480 * time.Millisecond
			n.checkStreams([]*openStream{slow}, 0)
			n.checkStreams(others, usualEvents)
		}
		expectNo[AbandonSend](n)
	})
}

func TestOverdueStreamLeft(t *testing.T) {
	t.Run("the events that are left arrive in time", func(t *testing.T) {
		// Guards against streams that would have been complete soon: a quarter of the usual 41 at most is left, at
		// 250 ms each.
		n, slow, others := slowNode(t, nil)
		slow.events = 31
		for range 3 {
			n.checkStreams([]*openStream{slow}, 2)
			n.checkStreams(others, usualEvents)
		}
		expectNo[AbandonSend](n)
	})

	t.Run("too little time is left", func(t *testing.T) {
		// Guards against a stream that loses its last events for an upstream that has no time to send any.
		n, slow, others := slowNode(t, func(s *Submission) { s.Deadline = s.Deadline.Add(-4850 * time.Millisecond) })
		for range 2 {
			n.checkStreams(others, usualEvents)
			n.checkStreams([]*openStream{slow}, 0)
		}
		n.expectLeft(OverdueNoTime)
	})

	t.Run("streams that may not be resumed are not checked", func(t *testing.T) {
		// Guards against a caller that gets the beginning of an answer twice.
		for _, repeat := range []chuteroute.Repeatability{chuteroute.Repeatable, chuteroute.Unrepeatable} {
			n := newEngineNode(t, true)
			n.runUsual(20)
			s := n.engineRequest(1, 500)
			s.Pipeline.Repeat = repeat
			n.on(Arrived{Submission: s})
			sent := takeOne[Send](n)
			n.effects = nil
			n.pass(80 * time.Millisecond)
			n.on(AttemptBegan{Handle: 1, Attempt: sent.Attempt})
			expectNo[CheckAttempt](n)
		}
	})

	t.Run("a stream whose stages would have to run again is left", func(t *testing.T) {
		// Guards against stages that run twice because a stream paused: their results were released at its first event.
		n, slow, others := slowNode(t, nil)
		r, _ := n.state.requests.Get(1)
		r.Parts = []int{1}
		r.Pipeline.Stages = []chuteroute.Stage{{Pool: partPool}}
		r.stages = []stageState{{done: true}}
		n.state.requests = n.state.requests.Set(1, r)
		for range 2 {
			n.checkStreams(others, usualEvents)
			n.checkStreams([]*openStream{slow}, 0)
		}
		n.expectLeft(OverdueUnrepeatable)
	})
}

func TestOverdueStreamUnknown(t *testing.T) {
	t.Run("the node stood still", func(t *testing.T) {
		// Guards against streams that are moved by a node which has not read their events.
		n, slow, others := slowNode(t, nil)
		for range 4 {
			n.checkStreams(others, usualEvents)
			n.now = slow.check.At.Add(2 * time.Second)
			n.on(AttemptChecked{Handle: 1, Attempt: slow.send.Attempt, DueAt: slow.check.At, Events: slow.events})
			slow.check = takeOne[CheckAttempt](n)
			for _, o := range others {
				o.check.At = n.now
				r, _ := n.state.requests.Get(o.send.Handle)
				r.current.watch.checkAt = n.now
				n.state.requests = n.state.requests.Set(r.Handle, r)
			}
		}
		expectNo[AbandonSend](n)
	})

	t.Run("few streams are known", func(t *testing.T) {
		// Guards against streams that are compared with nothing after a restart.
		n := newEngineNode(t, true)
		n.runUsual(15)
		n.on(Arrived{Submission: n.engineRequest(1, 500)})
		sent := takeOne[Send](n)
		n.effects = nil
		n.on(AttemptBegan{Handle: 1, Attempt: sent.Attempt})
		expectNo[CheckAttempt](n)
	})
}
