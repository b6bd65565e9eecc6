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

// withFingerprint returns a submission that arrives now, with a fingerprint.
func (n *node) withFingerprint(s Submission, fingerprint string) Submission {
	s.Fingerprint = fingerprint
	s.Deadline = n.now.Add(s.Deadline.Sub(start))

	return s
}

// reportCrash reports that a call's upstream ended while it ran.
func (n *node) reportCrash(s Send) {
	n.on(AttemptEnded{Handle: s.Handle, Attempt: s.Attempt, End: EndBroken, UpstreamEnded: true})
}

// reportCallCrash reports that an upstream ended while it ran a batched call.
func (n *node) reportCallCrash(c RunCall) {
	n.on(CallEnded{
		ID: c.Call.ID, End: chutebatch.CallLost, Failure: chutefleet.FailureBroken, UpstreamEnded: true,
	})
}

// judgeCrashes advances the clock until reported crashes are judged.
func (n *node) judgeCrashes() {
	n.pass(time.Second)
	if len(takeAll[JudgeAt](n)) > 0 {
		n.on(JudgeDue{})
	}
}

// reportRemoteCrashes reports, one by one, that upstreams ended while they ran a request of other nodes.
func (n *node) reportRemoteCrashes(fingerprint string, ends ...string) {
	for _, upstream := range ends {
		n.on(QuarantineAnnounced{Crashes: []chutequarantine.Crash{{
			Upstream: upstream, Pool: plainPool, Suspects: []chutequarantine.Suspect{{Fingerprint: fingerprint}},
		}}})
		n.judgeCrashes()
	}
}

// relistRestarted lists all upstreams under new names, as after a restart.
func (n *node) relistRestarted(round int) {
	list := testUpstreams()
	for i := range list {
		list[i].ID = fmt.Sprintf("%s.%d", list[i].ID, round)
		list[i].Name = list[i].ID
	}
	n.on(UpstreamsListed{Upstreams: list})
}

func (n *node) expectHeld(fingerprint string, want bool) {
	n.Helper()
	_, held := n.state.quarantine.QuarantinedUntil(fingerprint)
	n.Assert(held, qt.Equals, want)
}

// Guards against a crash that is judged late because another judgement waits for late reports.
func TestJudgementDuringWait(t *testing.T) {
	n := newNode(t)
	report := func(upstream string, suspects ...chutequarantine.Suspect) {
		n.on(QuarantineAnnounced{Crashes: []chutequarantine.Crash{{Upstream: upstream, Pool: plainPool, Suspects: suspects}}})
	}
	innocent, poison := chutequarantine.Suspect{Fingerprint: "i", Survived: 1}, chutequarantine.Suspect{Fingerprint: "p"}
	report("a", innocent, poison)
	n.judgeCrashes()
	report("b", innocent, poison)
	n.judgeCrashes()
	report("c", innocent)
	n.judgeCrashes()
	n.expectHeld("i", false)
	waitsUntil := n.state.judgeAt
	n.Assert(waitsUntil.After(n.now), qt.IsTrue)
	report("d", poison)
	n.Assert(n.state.judgeAt.Before(waitsUntil), qt.IsTrue)
	n.judgeCrashes()
	n.expectHeld("p", true)
	n.expectHeld("i", false)
}

func TestQuarantine(t *testing.T) {
	t.Run("a request is refused at once when upstreams have ended while they ran it for other nodes", func(t *testing.T) {
		// Three nodes saw one end each. The caller's request arrives at a fourth node, which
		// sends it to no upstream and refuses it as not run, with a retry delay.
		n := newNode(t)
		n.reportRemoteCrashes("p", "a", "b", "c")
		n.on(Arrived{Submission: n.withFingerprint(plainRequest(1, chuteroute.Unrepeatable), "p")})
		r := n.expectRefused(RefusedNotRun)
		n.Assert(r.RetryAfter > time.Minute, qt.IsTrue)
		expectNo[Send](n)
		for _, note := range takeAll[LogStep](n) {
			n.Assert(note.Step, qt.Equals, StepRefused)
		}
		n.submit(n.withFingerprint(plainRequest(2, chuteroute.Unrepeatable), "other"))
	})

	t.Run("two ends at other nodes and one here are enough, and the verdict is announced", func(t *testing.T) {
		n := newNode(t)
		n.reportRemoteCrashes("p", "a", "b")
		n.reportCrash(n.submit(n.withFingerprint(plainRequest(1, chuteroute.Unrepeatable), "p")))
		n.expectRefused(RefusedFailed)
		n.Assert(takeOne[AnnounceCrash](n).Crash.Suspects[0].Fingerprint, qt.Equals, "p")
		n.judgeCrashes()
		n.Assert(takeOne[AnnounceJudgement](n).Judgement.Verdict, qt.Equals, chutequarantine.VerdictQuarantined)
		n.expectHeld("p", true)
	})

	t.Run("an announced verdict is applied and not announced again", func(t *testing.T) {
		n := newNode(t)
		n.on(QuarantineAnnounced{Judgements: []chutequarantine.Judgement{{
			Suspect: chutequarantine.Suspect{Fingerprint: "p"}, Verdict: chutequarantine.VerdictQuarantined,
		}}})
		n.expectHeld("p", true)
		expectNo[AnnounceJudgement](n)
	})

	t.Run("after an hour the request is admitted again", func(t *testing.T) {
		n := newNode(t)
		n.reportRemoteCrashes("p", "a", "b", "c")
		n.pass(chutequarantine.TTL)
		n.submit(n.withFingerprint(plainRequest(1, chuteroute.Unrepeatable), "p"))
	})

	t.Run("this node does not retry a request after the verdict", func(t *testing.T) {
		// The request is repeatable and has attempts left when the verdict is reached.
		n := newNode(t)
		n.reportRemoteCrashes("p", "a", "b")
		first := n.submit(n.withFingerprint(plainRequest(1, chuteroute.Repeatable), "p"))
		n.reportRemoteCrashes("p", "c")
		n.Assert(takeOne[CancelSend](n).Attempt, qt.Equals, first.Attempt)
		n.expectRefused(RefusedFailed)
		expectNo[Send](n)
	})

	t.Run("a request whose stages run is refused after the verdict", func(t *testing.T) {
		n := newNode(t)
		n.on(Arrived{Submission: n.withFingerprint(streamRequest(1, chuteroute.Resumable), "p")})
		n.reportRemoteCrashes("p", "a", "b", "c")
		n.expectRefused(RefusedNotRun)
		n.answerParts()
		expectNo[Send](n)
	})

	t.Run("a stream that has begun continues, and is not resumed", func(t *testing.T) {
		n := newNode(t)
		s := n.submit(n.withFingerprint(streamRequest(1, chuteroute.Resumable), "p"))
		n.on(AttemptBegan{Handle: s.Handle, Attempt: s.Attempt})
		n.reportRemoteCrashes("p", "a", "b", "c")
		expectNo[CancelSend](n)
		n.endCall(s, EndBroken)
		n.answerParts()
		n.answerParts()
		expectNo[Send](n)
		n.expectRefused(RefusedFailed)
	})

	t.Run("a stream without stages is not resumed either", func(t *testing.T) {
		n := newNode(t)
		bare := streamRequest(1, chuteroute.Resumable)
		bare.Pipeline.Stages, bare.Parts = nil, nil
		s := n.submit(n.withFingerprint(bare, "p"))
		n.on(AttemptBegan{Handle: s.Handle, Attempt: s.Attempt})
		n.reportRemoteCrashes("p", "a", "b", "c")
		n.endCall(s, EndBroken)
		expectNo[Send](n)
		n.expectRefused(RefusedFailed)
	})

	t.Run("the end of an upstream that was leaving is no crash", func(t *testing.T) {
		n := newNode(t)
		s := n.submit(n.withFingerprint(plainRequest(1, chuteroute.Unrepeatable), "a"))
		list := testUpstreams()
		for i := range list {
			list[i].State = chutefleet.StateLeaving
		}
		n.on(UpstreamsListed{Upstreams: list})
		n.reportCrash(s)
		expectNo[AnnounceCrash](n)
	})

	t.Run("the end of an upstream that is no longer listed is no crash", func(t *testing.T) {
		// Some upstreams never report that they leave: their entries are removed, they serve
		// for a while, and end.
		n := newNode(t)
		s := n.submit(n.withFingerprint(plainRequest(1, chuteroute.Unrepeatable), "a"))
		n.relistRestarted(1)
		n.reportCrash(s)
		expectNo[AnnounceCrash](n)
	})

	t.Run("the restart of an upstream that was leaving is no crash", func(t *testing.T) {
		n := newNode(t)
		s := n.submit(n.withFingerprint(plainRequest(1, chuteroute.Unrepeatable), "a"))
		n.state.fleet = n.state.fleet.WithLeaving(s.Upstream.ID, n.now)
		n.restart(s.Upstream.Name)
		expectNo[AnnounceCrash](n)
	})

	t.Run("the restart of an upstream that was not leaving is a crash", func(t *testing.T) {
		// The connection went silent when the process ended. The list has a later start time
		// under the same name.
		n := newNode(t)
		s := n.submit(n.withFingerprint(plainRequest(1, chuteroute.Unrepeatable), "a"))
		n.restart(s.Upstream.Name)
		n.Assert(takeOne[AnnounceCrash](n).Crash.Upstream, qt.Equals, s.Upstream.ID)
	})

	t.Run("a broken connection alone is no crash", func(t *testing.T) {
		n := newNode(t)
		n.endCall(n.submit(n.withFingerprint(plainRequest(1, chuteroute.Unrepeatable), "a")), EndBroken)
		expectNo[AnnounceCrash](n)
	})

	t.Run("an answer clears a request at all nodes", func(t *testing.T) {
		n := newNode(t)
		n.reportRemoteCrashes("a", "x", "y")
		n.endCall(n.submit(n.withFingerprint(plainRequest(1, chuteroute.Unrepeatable), "a")), EndAnswered)
		j := takeOne[AnnounceJudgement](n).Judgement
		n.Assert(j.Verdict, qt.Equals, chutequarantine.VerdictCleared)
		n.Assert(j.Upstreams, qt.ContentEquals, []string{"x", "y"})
		n.reportRemoteCrashes("a", "z")
		n.expectHeld("a", false)
		other := newNode(t)
		other.reportRemoteCrashes("a", "x", "y")
		other.on(QuarantineAnnounced{Judgements: []chutequarantine.Judgement{j}})
		other.reportRemoteCrashes("a", "z")
		other.expectHeld("a", false)
	})

	t.Run("an answered request that is not suspected is not announced", func(t *testing.T) {
		n := newNode(t)
		n.endCall(n.submit(n.withFingerprint(plainRequest(1, chuteroute.Unrepeatable), "a")), EndAnswered)
		expectNo[AnnounceJudgement](n)
	})
}

// partsJob returns a peer's job with the given number of parts.
func partsJob(n *node, token uint64, fingerprint string, parts int) JobReceived {
	return JobReceived{Token: token, Job: chutebatch.Job{
		Request: fmt.Sprint("r", token), Fingerprint: fingerprint, Pool: partPool, Parts: parts, Key: "k",
		TargetAt: n.now.Add(2 * time.Second), Deadline: n.now.Add(3 * time.Second),
	}}
}

func TestQuarantineOfStages(t *testing.T) {
	t.Run("a request that ends upstreams is found among others in shared calls", func(t *testing.T) {
		// The parts of three requests share a call, and its upstream ends. When they are queued
		// again, they run in separate calls: two succeed, and the next crash has one suspect.
		// Its job is rejected then, so that no request ends a whole pool in one sending.
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
		n.reportCallCrash(shared)
		n.Assert(takeOne[AnnounceCrash](n).Crash.Suspects, qt.HasLen, 3)
		n.relistRestarted(1)
		ended := n.runCallsWithPoison("p")
		n.Assert(ended, qt.Equals, 1)
		n.Assert(takeAll[ReturnResults](n), qt.HasLen, 2)
		n.Assert(takeOne[RejectJob](n).Reason, qt.Equals, string(chutebatch.PartUpstreamsEnded))
	})

	t.Run("a peer's waiting job is rejected by the verdict, and new ones after it", func(t *testing.T) {
		n := newNode(t)
		n.startCall(t, 8)
		n.startCall(t, 9)
		n.on(partsJob(n, 1, "p", 2))
		n.reportRemoteCrashes("p", "a", "b", "c")
		n.Assert(takeOne[RejectJob](n).Reason, qt.Equals, string(chutebatch.PartQuarantined))
		n.on(partsJob(n, 2, "p", 2))
		n.Assert(takeOne[RejectJob](n).Reason, qt.Equals, string(chutebatch.PartQuarantined))
	})

	t.Run("a request whose stage ended upstreams is refused at once", func(t *testing.T) {
		n := newNode(t)
		n.state.settings.Retries.Slack = 1000
		n.on(Arrived{Submission: n.withFingerprint(streamRequest(1, chuteroute.Resumable), "p")})
		n.reportCallCrash(takeOne[RunCall](n))
		n.reportCallCrash(takeOne[RunCall](n))
		r := n.expectRefused(RefusedNotRun)
		n.Assert(r.RetryAfter, qt.Equals, crashRetryAfter)
		expectNo[RunCall](n)
	})

	for _, order := range [][]string{{"a", "p"}, {"p", "a"}} {
		t.Run("the parts of a suspected request share no call from the start", func(t *testing.T) {
			n := newNode(t)
			n.reportRemoteCrashes("p", "u")
			blocked := n.startCall(t, 9)
			n.startCall(t, 8)
			for i, f := range order {
				n.on(partsJob(n, uint64(i+1), f, 2))
			}
			n.answerCall(blocked)
			n.Assert(takeOne[RunCall](n).Call.Parts, qt.HasLen, 2)
		})
	}

	t.Run("a restart makes the requests that ran there suspects", func(t *testing.T) {
		n := newNode(t)
		n.state.settings.Retries.Slack = 1000
		n.on(partsJob(n, 1, "p", 2))
		lost := takeOne[RunCall](n)
		n.restart(lost.Upstream.Name)
		n.Assert(takeOne[AnnounceCrash](n).Crash.Suspects[0].Fingerprint, qt.Equals, "p")
	})
}

// startCall starts another request's call, which occupies one of the parts' upstreams.
func (n *node) startCall(t *testing.T, token uint64) RunCall {
	t.Helper()
	n.on(partsJob(n, token, fmt.Sprint("busy", token), 1))

	return takeOne[RunCall](n)
}

// runCallsWithPoison answers calls until none is left, except that calls with parts of the poison request
// end their upstream. It returns the number of these, and fails if a call has parts of several
// requests.
func (n *node) runCallsWithPoison(poison string) int {
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
			n.reportCallCrash(call)
			n.Assert(takeOne[AnnounceCrash](n).Crash.Suspects, qt.HasLen, 1)
			n.relistRestarted(1 + ended)
		}
	}

	return ended
}

func TestFallOfBrittleUpstream(t *testing.T) {
	// Guards against innocent requests that are suspected because a brittle upstream fell over, and the list had
	// its next process before the calls broke.
	n := newNode(t)
	s := n.submit(n.withFingerprint(plainRequest(1, chuteroute.Unrepeatable), "p"))
	n.on(LimitsAnnounced{Limits: []chutefleet.LimitRecord{{Upstream: s.Upstream.ID, Brittle: true, Rejections: 4, Teller: "n2"}}})
	n.restart(s.Upstream.Name)
	expectNo[AnnounceCrash](n)
}

func TestStrayCalls(t *testing.T) {
	// Guards against innocent requests that are the only suspects of a crash: the call of the request that caused it
	// reached the upstream's next process under the id of the one before.
	restartUnder := func(t *testing.T, fingerprint string) (*node, string) {
		n := newNode(t)
		s := n.submit(n.withFingerprint(plainRequest(1, chuteroute.Unrepeatable), fingerprint))
		id := n.restart(s.Upstream.Name)[0]
		takeAll[AnnounceCrash](n)

		return n, id
	}
	expectSuspects := func(n *node, upstream string, fingerprints ...string) {
		n.Helper()
		var got []string
		crash := takeOne[AnnounceCrash](n).Crash
		for _, s := range crash.Suspects {
			got = append(got, s.Fingerprint)
		}
		n.Assert(crash.Upstream, qt.Equals, upstream)
		n.Assert(got, qt.ContentEquals, fingerprints)
	}
	crashOf := func(upstream string) QuarantineAnnounced {
		return QuarantineAnnounced{Crashes: []chutequarantine.Crash{{
			Upstream: upstream, Pool: plainPool, Suspects: []chutequarantine.Suspect{{Fingerprint: "innocent"}},
		}}}
	}

	t.Run("a crash that this node sees", func(t *testing.T) {
		n, id := restartUnder(t, "poison")
		for handle := uint64(2); ; handle++ {
			s := n.submit(n.withFingerprint(plainRequest(handle, chuteroute.Unrepeatable), "innocent"))
			if s.Upstream.ID == id {
				n.reportCrash(s)

				break
			}
		}
		expectSuspects(n, id, "innocent", "poison")
	})

	t.Run("a crash that another node announces", func(t *testing.T) {
		n, id := restartUnder(t, "poison")
		n.on(crashOf(id))
		expectSuspects(n, id, "innocent", "poison")
		n.on(crashOf(id))
		expectNo[AnnounceCrash](n)
	})

	t.Run("a crash long after the restart", func(t *testing.T) {
		n, id := restartUnder(t, "poison")
		n.pass(strayCallTime)
		n.on(crashOf(id))
		expectNo[AnnounceCrash](n)
	})

	t.Run("upstreams whose calls have ended are dropped", func(t *testing.T) {
		calls := newStrayCalls()
		for i := range 2 * maxStrayUpstreams {
			calls = calls.with(fmt.Sprint(i), chutequarantine.Suspect{}, start.Add(time.Duration(i)*strayCallTime))
		}
		qt.Assert(t, calls.byName.Len() <= maxStrayUpstreams, qt.IsTrue)
	})
}
