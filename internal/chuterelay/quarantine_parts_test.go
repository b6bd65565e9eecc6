package chuterelay

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutequarantine"
	"azurechute.example/azurechute/internal/chuteroute"
)

// withBadPart returns a submission of a request that no other one is like, with a part that crashes upstreams.
func (n *node) withBadPart(s Submission) Submission {
	s = n.withFingerprint(s, fmt.Sprint("unlike", s.Handle))
	s.PromptParts, s.Workspace.Name = []string{badPart}, "team"

	return s
}

// reportRemotePartCrashes reports, one by one, that upstreams of a pool ended while they ran requests of other nodes with
// the bad part.
func (n *node) reportRemotePartCrashes(pool string, ends ...string) {
	for _, upstream := range ends {
		n.on(QuarantineAnnounced{Crashes: []chutequarantine.Crash{{
			Upstream: upstream, Pool: pool, Suspects: []chutequarantine.Suspect{
				{Fingerprint: "f-" + upstream, Workspace: "team", Parts: []string{badPart}},
			},
		}}})
		n.judgeCrashes()
	}
}

// Guards against requests that go on to upstreams, from wherever they are on their way, after the verdict on a part of
// their prompts.
func TestQuarantineOfParts(t *testing.T) {
	ends := []string{"a", "b", "c"}

	t.Run("a request that arrives is refused at once, by the verdict that the log names", func(t *testing.T) {
		n := newNode(t)
		n.reportRemotePartCrashes(plainPool, ends...)
		n.on(Arrived{Submission: n.withBadPart(plainRequest(1, chuteroute.Unrepeatable))})
		r := n.expectRefused(RefusedNotRun)
		n.Assert(r.Verdict, qt.Equals, badPart)
		n.Assert(r.RetryAfter > 0, qt.IsTrue)
		for _, step := range takeAll[LogStep](n) {
			if step.Step == StepRefused {
				n.Assert(step.Verdict, qt.Equals, badPart)
			}
		}
	})

	t.Run("one that waits for its stages is refused, and its job ends", func(t *testing.T) {
		n := newNode(t)
		n.on(Arrived{Submission: n.withBadPart(streamRequest(1, chuteroute.Resumable))})
		takeOne[RunCall](n)
		n.reportRemotePartCrashes(enginePool, ends...)
		n.expectRefused(RefusedNotRun)
	})

	t.Run("a call that has not been answered is cancelled", func(t *testing.T) {
		n := newNode(t)
		s := n.submit(n.withBadPart(streamRequest(1, chuteroute.Resumable)))
		n.reportRemotePartCrashes(enginePool, ends...)
		n.Assert(takeOne[CancelSend](n).Attempt, qt.Equals, s.Attempt)
		n.expectRefused(RefusedFailed)
	})

	t.Run("a stream that has begun goes on, and its answer lifts the quarantine", func(t *testing.T) {
		n := newNode(t)
		s := n.submit(n.withBadPart(streamRequest(1, chuteroute.Resumable)))
		n.on(AttemptBegan{Handle: s.Handle, Attempt: s.Attempt})
		n.reportRemotePartCrashes(enginePool, ends...)
		expectNo[CancelSend](n)
		n.expectHeld(badPart, true)
		n.endCall(s, EndAnswered)
		n.Assert(takeOne[AnnounceJudgement](n).Judgement.Verdict, qt.Equals, chutequarantine.VerdictCleared)
		n.expectHeld(badPart, false)
	})

	t.Run("a stream that has begun is not resumed", func(t *testing.T) {
		n := newNode(t)
		s := n.submit(n.withBadPart(streamRequest(1, chuteroute.Resumable)))
		n.on(AttemptBegan{Handle: s.Handle, Attempt: s.Attempt})
		n.reportRemotePartCrashes(enginePool, ends...)
		n.endCall(s, EndBroken)
		n.answerParts()
		expectNo[Send](n)
	})

	t.Run("one that another node forwards is refused", func(t *testing.T) {
		n := newNode(t)
		n.reportRemotePartCrashes(plainPool, ends...)
		submission := n.withBadPart(plainRequest(1, chuteroute.Unrepeatable))
		submission.Forwarded = &Forwarded{Node: "n2"}
		n.on(Arrived{Submission: submission})
		n.expectRefused(RefusedNotRun)
	})
}

// Guards against ends of calls that count as answers of a part though they say nothing of it.
func TestSurvivalOfParts(t *testing.T) {
	answeredAt := func(n *node, handle uint64) []string {
		n.Helper()
		n.reportCrash(n.submit(n.withBadPart(streamRequest(handle, chuteroute.Resumable))))

		return takeOne[AnnounceCrash](n).Crash.Suspects[0].Answered
	}
	for _, end := range []AttemptEnd{EndRefused, EndErrored, EndBroken, EndSilent, EndUnreachable, EndMisaddressed, EndInputGone} {
		t.Run(string(end)+" is no answer", func(t *testing.T) {
			n := newNode(t)
			n.state.settings.Retries.Slack = 1000
			s := n.submit(n.withBadPart(streamRequest(1, chuteroute.Resumable)))
			n.endCall(s, end)
			n.on(CallerLeft{Handle: 1})
			n.effects = nil
			n.Assert(answeredAt(n, 2), qt.HasLen, 0)
		})
	}

	t.Run("an answer is", func(t *testing.T) {
		n := newNode(t)
		n.endCall(n.submit(n.withBadPart(streamRequest(1, chuteroute.Resumable))), EndAnswered)
		n.effects = nil
		n.Assert(answeredAt(n, 2), qt.DeepEquals, []string{badPart})
	})

	for name, goesOn := range map[string]bool{"a crash right after the first event": false, "a crash long after the first event": true} {
		t.Run(name, func(t *testing.T) {
			n := newNode(t)
			s := n.submit(n.withBadPart(streamRequest(1, chuteroute.Resumable)))
			n.on(AttemptBegan{Handle: s.Handle, Attempt: s.Attempt})
			if goesOn {
				n.pass(chutequarantine.AnswerStartTime)
			}
			n.reportCrash(s)
			n.Assert(len(takeOne[AnnounceCrash](n).Crash.Suspects[0].Answered) > 0, qt.Equals, goesOn)
		})
	}
}
