package chuterelay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chutequarantine"
	"azurechute.example/azurechute/internal/chuteroute"
)

// marked gives a submission that comes now a fingerprint.
func (n *node) marked(s Submission, fingerprint string) Submission {
	s.Fingerprint = fingerprint
	s.Deadline = n.now.Add(s.Deadline.Sub(start))

	return s
}

// crashes reports that a call's upstream ended under it.
func (n *node) crashes(s Send) {
	n.on(AttemptEnded{Handle: s.Handle, Attempt: s.Attempt, End: EndBroken, UpstreamEnded: true})
}

// callCrashes reports that an upstream ended under a call with parts.
func (n *node) callCrashes(c RunCall) {
	n.on(CallEnded{
		ID: c.Call.ID, End: chutebatch.CallLost, Failure: chutefleet.FailureBroken, UpstreamEnded: true,
	})
}

// judged lets time go by until what was told is judged.
func (n *node) judged() {
	n.pass(time.Second)
	if len(takeAll[JudgeAt](n)) > 0 {
		n.on(JudgeDue{})
	}
}

// elsewhere reports that upstreams ended under a request at other nodes, one after the other.
func (n *node) elsewhere(fingerprint string, ends ...string) {
	for _, upstream := range ends {
		n.on(QuarantineAnnounced{Crashes: []chutequarantine.Crash{{
			Upstream: upstream, Pool: plainPool, Suspects: []chutequarantine.Suspect{{Fingerprint: fingerprint}},
		}}})
		n.judged()
	}
}

// relist brings the upstreams that have ended back under other names.
func (n *node) relist(round int) {
	list := testUpstreams()
	for i := range list {
		list[i].ID = fmt.Sprintf("%s.%d", list[i].ID, round)
		list[i].Name = list[i].ID
	}
	n.on(UpstreamsListed{Upstreams: list})
}

func (n *node) expectHeld(fingerprint string, want bool) {
	n.Helper()
	_, held := n.state.quarantine.Holds(fingerprint)
	n.Assert(held, qt.Equals, want)
}

func TestQuarantine(t *testing.T) {
	t.Run("a request is refused at once when upstreams have ended under it elsewhere", func(t *testing.T) {
		// Three nodes saw one end each. The caller comes to a fourth one, which hands it
		// to nobody, says truly that it has not run, and when coming back may help.
		n := newNode(t)
		n.elsewhere("p", "a", "b", "c")
		n.on(Arrived{Submission: n.marked(plainRequest(1, chuteroute.Unrepeatable), "p")})
		r := n.expectRefused(RefusedNotRun)
		n.Assert(r.RetryAfter > time.Minute, qt.IsTrue)
		expectNo[Send](n)
		for _, note := range takeAll[LogStep](n) {
			n.Assert(note.Step, qt.Equals, StepRefused)
		}
		n.submit(n.marked(plainRequest(2, chuteroute.Unrepeatable), "other"))
	})

	t.Run("two ends elsewhere and an own one are enough, and that is told", func(t *testing.T) {
		n := newNode(t)
		n.elsewhere("p", "a", "b")
		n.crashes(n.submit(n.marked(plainRequest(1, chuteroute.Unrepeatable), "p")))
		n.expectRefused(RefusedFailed)
		n.Assert(takeOne[AnnounceCrash](n).Crash.Suspects[0].Fingerprint, qt.Equals, "p")
		n.judged()
		n.Assert(takeOne[AnnounceJudgement](n).Judgement.Verdict, qt.Equals, chutequarantine.VerdictQuarantined)
		n.expectHeld("p", true)
	})

	t.Run("a verdict that is heard of is taken over and not told again", func(t *testing.T) {
		n := newNode(t)
		n.on(QuarantineAnnounced{Judgements: []chutequarantine.Judgement{{
			Suspect: chutequarantine.Suspect{Fingerprint: "p"}, Verdict: chutequarantine.VerdictQuarantined,
		}}})
		n.expectHeld("p", true)
		expectNo[AnnounceJudgement](n)
	})

	t.Run("after an hour it is taken in again", func(t *testing.T) {
		n := newNode(t)
		n.elsewhere("p", "a", "b", "c")
		n.pass(chutequarantine.Life)
		n.submit(n.marked(plainRequest(1, chuteroute.Unrepeatable), "p"))
	})

	t.Run("its repeats by this node end with the verdict", func(t *testing.T) {
		// The request may be repeated and has attempts left when the verdict falls.
		n := newNode(t)
		n.elsewhere("p", "a", "b")
		first := n.submit(n.marked(plainRequest(1, chuteroute.Repeatable), "p"))
		n.elsewhere("p", "c")
		n.Assert(takeOne[CancelSend](n).Attempt, qt.Equals, first.Attempt)
		n.expectRefused(RefusedFailed)
		expectNo[Send](n)
	})

	t.Run("it ends while its stages run", func(t *testing.T) {
		n := newNode(t)
		n.on(Arrived{Submission: n.marked(streamRequest(1, chuteroute.Resumable), "p")})
		n.elsewhere("p", "a", "b", "c")
		n.expectRefused(RefusedNotRun)
		n.answerParts()
		expectNo[Send](n)
	})

	t.Run("a stream that has begun runs on, and is not resumed", func(t *testing.T) {
		n := newNode(t)
		s := n.submit(n.marked(streamRequest(1, chuteroute.Resumable), "p"))
		n.on(AttemptBegan{Handle: s.Handle, Attempt: s.Attempt})
		n.elsewhere("p", "a", "b", "c")
		expectNo[CancelSend](n)
		n.endCall(s, EndBroken)
		n.answerParts()
		n.answerParts()
		expectNo[Send](n)
		n.expectRefused(RefusedFailed)
	})

	t.Run("neither is one without stages", func(t *testing.T) {
		n := newNode(t)
		bare := streamRequest(1, chuteroute.Resumable)
		bare.Pipeline.Stages, bare.Parts = nil, nil
		s := n.submit(n.marked(bare, "p"))
		n.on(AttemptBegan{Handle: s.Handle, Attempt: s.Attempt})
		n.elsewhere("p", "a", "b", "c")
		n.endCall(s, EndBroken)
		expectNo[Send](n)
		n.expectRefused(RefusedFailed)
	})

	t.Run("an upstream that was leaving has ended as it was told to", func(t *testing.T) {
		n := newNode(t)
		s := n.submit(n.marked(plainRequest(1, chuteroute.Unrepeatable), "a"))
		list := testUpstreams()
		for i := range list {
			list[i].State = chutefleet.StateLeaving
		}
		n.on(UpstreamsListed{Upstreams: list})
		n.crashes(s)
		expectNo[AnnounceCrash](n)
	})

	t.Run("so has one that has left the list without a word", func(t *testing.T) {
		// Some upstreams never say that they leave: their entries go, they serve on for a
		// while, and end.
		n := newNode(t)
		s := n.submit(n.marked(plainRequest(1, chuteroute.Unrepeatable), "a"))
		n.relist(1)
		n.crashes(s)
		expectNo[AnnounceCrash](n)
	})

	t.Run("so has one that started again after it", func(t *testing.T) {
		n := newNode(t)
		s := n.submit(n.marked(plainRequest(1, chuteroute.Unrepeatable), "a"))
		n.on(AttemptEnded{Handle: s.Handle, Attempt: 0, Leaving: true})
		n.state.fleet = n.state.fleet.WithLeaving(s.Upstream.ID)
		n.restart(s.Upstream.Name)
		expectNo[AnnounceCrash](n)
	})

	t.Run("one that started again without leaving ended under its calls", func(t *testing.T) {
		// The connection went silent with the process. The list tells of a later start
		// under the same name.
		n := newNode(t)
		s := n.submit(n.marked(plainRequest(1, chuteroute.Unrepeatable), "a"))
		n.restart(s.Upstream.Name)
		n.Assert(takeOne[AnnounceCrash](n).Crash.Upstream, qt.Equals, s.Upstream.ID)
	})

	t.Run("a connection that broke alone says nothing", func(t *testing.T) {
		n := newNode(t)
		n.endCall(n.submit(n.marked(plainRequest(1, chuteroute.Unrepeatable), "a")), EndBroken)
		expectNo[AnnounceCrash](n)
	})

	t.Run("an answer clears a request, at all nodes", func(t *testing.T) {
		n := newNode(t)
		n.elsewhere("a", "x", "y")
		n.endCall(n.submit(n.marked(plainRequest(1, chuteroute.Unrepeatable), "a")), EndAnswered)
		j := takeOne[AnnounceJudgement](n).Judgement
		n.Assert(j.Verdict, qt.Equals, chutequarantine.VerdictCleared)
		n.Assert(j.Upstreams, qt.ContentEquals, []string{"x", "y"})
		n.elsewhere("a", "z")
		n.expectHeld("a", false)
		other := newNode(t)
		other.elsewhere("a", "x", "y")
		other.on(QuarantineAnnounced{Judgements: []chutequarantine.Judgement{j}})
		other.elsewhere("a", "z")
		other.expectHeld("a", false)
	})

	t.Run("a request that nothing speaks against tells nothing when it is answered", func(t *testing.T) {
		n := newNode(t)
		n.endCall(n.submit(n.marked(plainRequest(1, chuteroute.Unrepeatable), "a")), EndAnswered)
		expectNo[AnnounceJudgement](n)
	})
}

// partsJob is a peer's job of a few parts.
func partsJob(n *node, token uint64, fingerprint string, parts int) JobReceived {
	return JobReceived{Token: token, Job: chutebatch.Job{
		Request: fmt.Sprint("r", token), Fingerprint: fingerprint, Pool: partPool, Parts: parts, Key: "k",
		TargetAt: n.now.Add(2 * time.Second), Deadline: n.now.Add(3 * time.Second),
	}}
}

func TestQuarantineOfStages(t *testing.T) {
	t.Run("one that ends what makes its parts is found among others in its calls", func(t *testing.T) {
		// Three requests' parts share a call, and its upstream ends. Queued again they run
		// apart from each other: two are made, and the next end accuses one alone. Its job is
		// given up there, so that no request ends a pool in one sending.
		n := newNode(t)
		n.state.settings.Retries.Slack = 1000
		blocked := n.startCall(t, 9)
		n.startCall(t, 8)
		for i, f := range []string{"a", "p", "b"} {
			n.on(partsJob(n, uint64(i+1), f, 2))
		}
		n.answerCall(blocked)
		takeOne[ReturnResults](n)
		shared := takeOne[RunCall](n)
		n.Assert(shared.Call.Parts, qt.HasLen, 6)
		n.callCrashes(shared)
		n.Assert(takeOne[AnnounceCrash](n).Crash.Suspects, qt.HasLen, 3)
		n.relist(1)
		ended := n.runAlone("p")
		n.Assert(ended, qt.Equals, 1)
		n.Assert(takeAll[ReturnResults](n), qt.HasLen, 2)
		n.Assert(takeOne[RejectJob](n).Reason, qt.Equals, string(chutebatch.PartUpstreamsEnded))
	})

	t.Run("a peer's job is refused after the verdict, and taken back when it falls", func(t *testing.T) {
		n := newNode(t)
		n.startCall(t, 8)
		n.startCall(t, 9)
		n.on(partsJob(n, 1, "p", 2))
		n.elsewhere("p", "a", "b", "c")
		n.Assert(takeOne[RejectJob](n).Reason, qt.Equals, string(chutebatch.PartQuarantined))
		n.on(partsJob(n, 2, "p", 2))
		n.Assert(takeOne[RejectJob](n).Reason, qt.Equals, string(chutebatch.PartQuarantined))
	})

	t.Run("a caller whose stage ended upstreams hears it at once", func(t *testing.T) {
		n := newNode(t)
		n.state.settings.Retries.Slack = 1000
		n.on(Arrived{Submission: n.marked(streamRequest(1, chuteroute.Resumable), "p")})
		n.callCrashes(takeOne[RunCall](n))
		n.callCrashes(takeOne[RunCall](n))
		r := n.expectRefused(RefusedNotRun)
		n.Assert(r.RetryAfter, qt.Equals, crashRetryAfter)
		expectNo[RunCall](n)
	})

	for _, order := range [][]string{{"a", "p"}, {"p", "a"}} {
		t.Run("the parts of one that is suspected share no call from the start", func(t *testing.T) {
			n := newNode(t)
			n.elsewhere("p", "u")
			blocked := n.startCall(t, 9)
			n.startCall(t, 8)
			for i, f := range order {
				n.on(partsJob(n, uint64(i+1), f, 2))
			}
			n.answerCall(blocked)
			n.Assert(takeOne[RunCall](n).Call.Parts, qt.HasLen, 2)
		})
	}

	t.Run("a restart accuses what was under way there", func(t *testing.T) {
		n := newNode(t)
		n.state.settings.Retries.Slack = 1000
		n.on(partsJob(n, 1, "p", 2))
		lost := takeOne[RunCall](n)
		n.restart(lost.Upstream.Name)
		n.Assert(takeOne[AnnounceCrash](n).Crash.Suspects[0].Fingerprint, qt.Equals, "p")
	})
}

// startCall takes one of the parts' upstreams for another request's call.
func (n *node) startCall(t *testing.T, token uint64) RunCall {
	t.Helper()
	n.on(partsJob(n, token, fmt.Sprint("busy", token), 1))

	return takeOne[RunCall](n)
}

// runAlone answers calls until none is left, but those with parts of a poison request end
// their upstream; it returns how many, and fails if any of these had others' parts.
func (n *node) runAlone(poison string) int {
	n.Helper()
	ended := 0
	for calls := takeAll[RunCall](n); len(calls) > 0; calls = takeAll[RunCall](n) {
		for _, call := range calls {
			deadly := false
			for _, j := range call.Call.Jobs {
				n.Assert(j.Fingerprint, qt.Equals, call.Call.Jobs[0].Fingerprint)
				deadly = deadly || j.Fingerprint == poison
			}
			if !deadly {
				n.answerCall(call)

				continue
			}
			ended++
			n.callCrashes(call)
			n.Assert(takeOne[AnnounceCrash](n).Crash.Suspects, qt.HasLen, 1)
			n.relist(1 + ended)
		}
	}

	return ended
}
