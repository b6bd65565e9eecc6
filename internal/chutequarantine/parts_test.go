package chutequarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// request returns a request that no other one is like, of a workspace and with parts in its prompt.
func (h *harness) request(workspace string, parts ...string) Suspect {
	h.requestCount++
	s := Suspect{Fingerprint: fmt.Sprint("once", h.requestCount), Workspace: workspace, Pipeline: "p"}
	for _, id := range parts {
		s.Parts = append(s.Parts, PartElement(id))
	}

	return s
}

// crashUnderRequests adds the crash of an upstream of a pool under requests, and returns its id.
func (h *harness) crashUnderRequests(pool string, requests ...Suspect) string {
	h.crashCount++
	upstream := fmt.Sprint("u", h.crashCount)
	h.q, _ = h.q.WithCrash(Crash{Upstream: upstream, Pool: pool, Suspects: requests}, true, h.now)

	return upstream
}

// crashParts adds the crash of an engine under a request with parts in its prompt, and advances the clock until it is
// judged.
func (h *harness) crashParts(parts ...string) {
	h.crashUnderRequests("engines", h.request("team", parts...))
	h.advance(judgeDelay)
}

// answer records that an engine has answered a request, and returns what is announced.
func (h *harness) answer(s Suspect) []Judgement {
	var cleared []Judgement
	h.q, cleared = h.q.WithAnswer(s, "engines", h.now)

	return cleared
}

// isRefused reports whether a new request with parts is quarantined.
func (h *harness) isRefused(workspace, pool string, parts ...string) bool {
	_, _, refused := h.q.VerdictOn(h.request(workspace, parts...), pool)

	return refused
}

func (h *harness) assertRefused(want bool, parts ...string) {
	h.Helper()
	h.Assert(h.isRefused("team", "engines", parts...), qt.Equals, want, qt.Commentf("parts %v", parts))
}

// Guards against requests, no two alike, that crash one upstream after another by a part of their prompts.
func TestCrashingPart(t *testing.T) {
	for _, prompt := range [][]string{{"bad"}, {"bad", "system"}, {"system", "bad"}, {"system", "bad", "tail"}} {
		t.Run(fmt.Sprint("the part is quarantined after three crashes: ", prompt), func(t *testing.T) {
			h := newHarness(t)
			h.answer(h.request("team", "system", "tail"))
			for range minCrashes {
				h.assertRefused(false, prompt...)
				h.crashParts(prompt...)
			}
			h.assertRefused(true, prompt...)
			h.assertRefused(true, "another", "bad")
			h.assertRefused(false, "system", "tail")
		})
	}

	t.Run("two parts in turn are both quarantined", func(t *testing.T) {
		h := newHarness(t)
		for range minCrashes {
			h.crashParts("system", "bad")
			h.crashParts("system", "worse")
			h.answer(h.request("team", "system"))
		}
		h.assertRefused(true, "bad")
		h.assertRefused(true, "worse")
		h.assertRefused(false, "system")
	})

	t.Run("a request that comes again, then others with its part", func(t *testing.T) {
		// Without the crashes of the first request, each new one would cost three.
		h := newHarness(t)
		s := h.request("team", "system", "bad")
		for range minCrashes {
			h.crashUnderRequests("engines", s)
			h.advance(judgeDelay)
		}
		h.assertQuarantined(s.Fingerprint)
		h.answer(h.request("team", "system"))
		h.crashParts("system", "bad")
		h.assertRefused(true, "bad")
		h.assertRefused(false, "system")
	})

	t.Run("requests at many upstreams at once", func(t *testing.T) {
		h := newHarness(t)
		h.answer(h.request("team", "system"))
		for range manyCrashes {
			h.crashUnderRequests("engines", h.request("team", "system", "bad"))
			h.crashUnderRequests("engines", h.request("team", "system"))
		}
		h.advance(judgeDelay)
		h.assertRefused(true, "bad")
		h.assertRefused(false, "system")
	})

	t.Run("parts that were always together are quarantined together", func(t *testing.T) {
		h := newHarness(t)
		for range minCrashes {
			h.crashParts("bad", "companion")
		}
		h.assertRefused(true, "companion", "x", "bad")
		h.assertRefused(false, "companion")
		h.assertRefused(false, "bad")
		h.crashParts("bad", "x")
		h.assertRefused(true, "bad")
		h.assertRefused(false, "companion")
	})

	t.Run("a part beside one that is also alone is quarantined with it first", func(t *testing.T) {
		// The one that is also alone may be the cause or not; a verdict on it alone would be on the most requests.
		h := newHarness(t)
		for range minCrashes {
			h.crashUnderRequests("engines", h.request("team", "new"), h.request("team", "new", "bad"))
			h.advance(judgeDelay)
		}
		h.assertRefused(true, "new", "bad")
		h.assertRefused(false, "new")
	})
}

// Guards against a workspace that has the parts of others refused, and against a part that is refused where it is
// harmless.
func TestScopeOfVerdict(t *testing.T) {
	t.Run("a verdict from one workspace and one pool holds for them", func(t *testing.T) {
		h := newHarness(t)
		for range minCrashes {
			h.crashParts("x")
		}
		h.Assert(h.isRefused("team", "engines", "x"), qt.IsTrue)
		h.Assert(h.isRefused("others", "engines", "x"), qt.IsFalse)
		h.Assert(h.isRefused("team", "small-engines", "x"), qt.IsFalse)
	})

	t.Run("one crash more in another workspace or pool makes it hold for all", func(t *testing.T) {
		h := newHarness(t)
		for range minCrashes {
			h.crashParts("bad")
		}
		h.crashUnderRequests("engines", h.request("others", "bad"))
		h.advance(judgeDelay)
		h.Assert(h.isRefused("third", "engines", "bad"), qt.IsTrue)
		h.crashUnderRequests("small-engines", h.request("team", "bad"))
		h.advance(judgeDelay)
		h.Assert(h.isRefused("third", "third-engines", "bad"), qt.IsTrue)
	})

	t.Run("crashes of several workspaces count together", func(t *testing.T) {
		h := newHarness(t)
		for i := range minCrashes {
			h.crashUnderRequests("engines", h.request(fmt.Sprint("team", i), "bad"))
			h.advance(judgeDelay)
		}
		h.Assert(h.isRefused("other", "engines", "bad"), qt.IsTrue)
	})

	t.Run("a narrower verdict of another node changes nothing", func(t *testing.T) {
		h := newHarness(t)
		for i := range minCrashes {
			h.crashUnderRequests("engines", h.request(fmt.Sprint("team", i), "bad"))
			h.advance(judgeDelay)
		}
		j := h.q.Quarantined(h.now)[0]
		j.Workspaces = []string{"team0"}
		_, isNew := h.q.WithJudgement(j, h.now)
		h.Assert(isNew, qt.IsFalse)
	})
}

// Guards against parts that are quarantined because requests with them run beside crashes.
func TestInnocentPart(t *testing.T) {
	t.Run("a part of most prompts that was answered minutes ago", func(t *testing.T) {
		// All of the pool's calls fail since, so that nothing is answered, and each crash has another cause.
		h := newHarness(t)
		h.answer(h.request("team", "system"))
		for i := range minCrashes * 3 {
			h.now = h.now.Add(10 * time.Second)
			h.crashParts("system", fmt.Sprint("conversation", i))
		}
		h.assertRefused(false, "system")
	})

	t.Run("a part that was answered once crashes upstreams later", func(t *testing.T) {
		// Without a limit, a part that a new version of a model can't bear would crash upstreams without end.
		h := newHarness(t)
		h.answer(h.request("team", "system", "bad"))
		for range minCrashes * doubtfulCrashes {
			h.assertRefused(false, "system", "bad")
			h.now = h.now.Add(time.Second)
			h.crashParts("system", "bad")
			h.now = h.now.Add(time.Second)
			h.answer(h.request("team", "system"))
			h.advance(judgeDelay)
		}
		h.crashParts("system", "bad")
		h.assertRefused(true, "system", "bad")
		h.assertRefused(false, "system")
	})

	t.Run("nodes that have answered none vouch for nothing, and one that has does", func(t *testing.T) {
		h, other := newHarness(t), newHarness(t)
		other.answer(other.request("team", "system"))
		for i := range minCrashes {
			u := h.crashUnderRequests("engines", h.request("team", "system"))
			other.q, _ = other.q.WithCrash(h.q.KnownCrash(u), false, h.now)
			other.Assert(other.q.MustVouch(), qt.Equals, i > 0)
			var reports []Crash
			other.q, reports = other.q.Vouch()
			for _, c := range reports {
				h.q, _ = h.q.WithCrash(c, false, h.now)
			}
			h.advance(judgeDelay)
			h.Assert(h.q.MustVouch(), qt.IsFalse)
		}
		h.assertRefused(false, "system")
	})

	t.Run("a node does not vouch for what another one has vouched for meanwhile", func(t *testing.T) {
		h := newHarness(t)
		h.answer(h.request("team", "system"))
		for range watchWeight {
			s := h.request("team", "system")
			u := fmt.Sprint("u", h.requestCount)
			h.q, _ = h.q.WithCrash(Crash{Upstream: u, Pool: "engines", Suspects: []Suspect{s}}, false, h.now)
			s.Answered = s.Parts
			h.q, _ = h.q.WithCrash(Crash{Upstream: u, Pool: "engines", Suspects: []Suspect{s}}, false, h.now)
		}
		_, reports := h.q.Vouch()
		h.Assert(reports, qt.HasLen, 0)
	})

	t.Run("another node's report tells that it was answered", func(t *testing.T) {
		h := newHarness(t)
		for range minCrashes {
			s := h.request("team", "system")
			u := h.crashUnderRequests("engines", s)
			s.Answered = s.Parts
			h.q, _ = h.q.WithCrash(Crash{Upstream: u, Pool: "engines", Suspects: []Suspect{s}}, false, h.now)
			h.advance(judgeDelay)
		}
		h.assertRefused(false, "system")
	})

	t.Run("parts that run at the upstreams of a rack", func(t *testing.T) {
		h := newHarness(t)
		for range 2 {
			for i := range 8 {
				h.crashUnderRequests("engines", h.request("team", "system", fmt.Sprint("conversation", i%4)), h.request("team", "new"))
			}
			h.crashUnderRequests("engines", h.request("team"))
			h.advance(judgeDelay)
			h.answer(h.request("team", "new"))
			h.answer(h.request("team", "system"))
		}
		h.Assert(h.q.Quarantined(h.now), qt.HasLen, 0)
	})
}

// Guards against a part that stays suspected or quarantined at any node though an upstream has answered it.
func TestAnsweredPart(t *testing.T) {
	t.Run("an answer clears a part that a few more crashes would quarantine", func(t *testing.T) {
		h := newHarness(t)
		h.crashParts("x")
		h.Assert(h.answer(h.request("team", "x")), qt.HasLen, 0)
		other := newHarness(t)
		for range watchWeight {
			other.crashParts("x")
		}
		cleared := other.answer(other.request("team", "x"))
		other.Assert(cleared, qt.HasLen, 1)
		other.Assert(cleared[0].Upstreams, qt.HasLen, watchWeight)
		other.crashParts("x")
		other.crashParts("x")
		other.assertRefused(false, "x")
	})

	t.Run("an answer to a stream that has begun ends the quarantine at all nodes", func(t *testing.T) {
		h := newHarness(t)
		for range minCrashes {
			h.crashParts("x", "y")
		}
		h.assertRefused(true, "x", "y")
		other := h.q
		cleared := h.answer(h.request("team", "x"))
		h.assertRefused(false, "x", "y")
		h.q = other
		for _, j := range cleared {
			h.q, _ = h.q.WithJudgement(j, h.now)
		}
		h.assertRefused(false, "x", "y")
	})

	t.Run("a verdict that this node has reason to doubt is cleared by its next answer", func(t *testing.T) {
		h := newHarness(t)
		h.answer(h.request("team", "system"))
		var upstreams []string
		for range minCrashes {
			upstreams = append(upstreams, h.crashUnderRequests("engines", h.request("team", "system")))
			h.advance(judgeDelay)
		}
		var isNew bool
		h.q, isNew = h.q.WithJudgement(Judgement{
			Suspect: Suspect{Fingerprint: PartElement("system")}, Verdict: VerdictQuarantined, Elements: []string{PartElement("system")}, Upstreams: upstreams,
		}, h.now)
		h.Assert(isNew, qt.IsFalse)
		h.Assert(h.answer(h.request("team", "system")), qt.HasLen, 1)
	})

	t.Run("upstreams that crash before anything was answered", func(t *testing.T) {
		// All nodes have just started, and a rack loses power.
		h := newHarness(t)
		for range 8 {
			h.crashUnderRequests("engines", h.request("team", "system", "tail"))
		}
		h.advance(judgeDelay)
		h.Assert(h.q.Quarantined(h.now), qt.HasLen, 0)
	})

	t.Run("an answer in another pool clears nothing", func(t *testing.T) {
		h := newHarness(t)
		for range minCrashes {
			h.crashParts("bad")
		}
		var cleared []Judgement
		h.q, cleared = h.q.WithAnswer(h.request("team", "bad"), "small-engines", h.now)
		h.Assert(cleared, qt.HasLen, 0)
		h.assertRefused(true, "bad")
	})

	t.Run("a part whose evidence is enough by its weight and too doubtful by its crashes", func(t *testing.T) {
		// Without an end of the judgement here, the node hangs.
		h := newHarness(t)
		s := h.request("team", "new", "system")
		s.Answered = s.Parts
		h.crashUnderRequests("engines", s)
		h.advance(judgeDelay)
		for range minCrashes {
			h.crashParts("bad")
		}
		h.answer(h.request("team", "system"))
		for range minCrashes {
			h.crashUnderRequests("engines", h.request("team", "bad"), h.request("team", "new", "system"))
		}
		for range 2 {
			h.crashUnderRequests("engines", h.request("team", "new", "system"))
		}
		h.advance(judgeDelay)
		h.assertRefused(true, "bad")
		h.assertRefused(false, "new", "system")
	})

	t.Run("a rare part beside a part that crashes", func(t *testing.T) {
		h := newHarness(t)
		for range minCrashes - 1 {
			h.crashUnderRequests("engines", h.request("team", "bad"), h.request("team", "rare"))
			h.advance(judgeDelay)
		}
		h.crashParts("bad")
		h.assertRefused(true, "bad")
		h.assertRefused(false, "rare")
		h.crashParts("rare")
		h.assertRefused(false, "rare")
	})
}

// Guards against callers that fill the memory of nodes with parts that they invent.
func TestBoundsOfParts(t *testing.T) {
	inventedParts := func(h *harness, count int) []string {
		var parts []string
		for range count {
			h.requestCount++
			parts = append(parts, fmt.Sprint("invented", h.requestCount))
		}

		return parts
	}

	t.Run("of one crash", func(t *testing.T) {
		h := newHarness(t)
		var requests []Suspect
		for range maxSuspects {
			requests = append(requests, h.request("team", inventedParts(h, 64)...))
		}
		c := h.q.KnownCrash(h.crashUnderRequests("engines", requests...))
		h.Assert(c.Suspects, qt.HasLen, maxSuspects)
		h.Assert(c.partCount(), qt.Equals, maxCrashParts)
	})

	t.Run("of all crashes", func(t *testing.T) {
		h := newHarness(t)
		for range 2 * maxParts / maxCrashParts {
			var requests []Suspect
			for range 16 {
				requests = append(requests, h.request("team", inventedParts(h, 64)...))
			}
			h.crashUnderRequests("engines", requests...)
			h.now = h.now.Add(time.Second)
		}
		h.Assert(h.q.partCount <= maxParts, qt.IsTrue)
		h.Assert(h.q.CrashCount(), qt.Equals, maxParts/maxCrashParts)
	})

	t.Run("nothing is left of crashes that expire", func(t *testing.T) {
		h := newHarness(t)
		for range minCrashes {
			h.crashParts("x", "y")
		}
		h.q = h.q.Expire(h.now.Add(TTL))
		h.Assert(h.q.partCount+h.q.upstreamsBySuspect.Len()+h.q.verdictsByPart.Len()+h.q.watched.Len(), qt.Equals, 0)
	})

	t.Run("of answered parts", func(t *testing.T) {
		h := newHarness(t)
		for range 3 * maxAnsweredParts {
			h.answer(h.request("team", inventedParts(h, 1)...))
		}
		h.Assert(h.q.answered.current.Len()+h.q.answered.previous.Len() <= 2*maxAnsweredParts, qt.IsTrue)
	})
}

// partScenario is a random sequence of crashes and answers of requests with parts.
type partScenario struct {
	*harness

	t *rapid.T
	// crashes counts the crashes that each bad part caused.
	crashes map[string]int
	// conversation is the number of the newest conversation, each of which has a part of its own.
	conversation int
}

// drawSound draws the sound requests that are running at a crash. Each conversation comes twice at most before its
// first answer.
func (s *partScenario) drawSound() []Suspect {
	var requests []Suspect
	for range rapid.IntRange(0, 4).Draw(s.t, "beside") {
		s.conversation++
		c := fmt.Sprint("conversation", s.conversation-rapid.IntRange(0, 1).Draw(s.t, "which"))
		requests = append(requests, s.request("team", "system", c))
	}

	return requests
}

// drawStep draws and applies what happens next.
func (s *partScenario) drawStep(badCount int) {
	switch rapid.SampledFrom([]string{"bad", "bad", "plain", "rack", "answer"}).Draw(s.t, "what") {
	case "bad":
		id := fmt.Sprint("bad", rapid.IntRange(1, badCount).Draw(s.t, "which"))
		parts := slices.Insert([]string{"system", fmt.Sprint("beside", s.requestCount)}, rapid.IntRange(0, 2).Draw(s.t, "place"), id)
		if !s.isRefused("team", "engines", parts...) {
			s.crashes[id]++
			s.crashUnderRequests("engines", append(s.drawSound(), s.request("team", parts...))...)
			s.advance(judgeDelay)
		}
	case "plain":
		s.crashUnderRequests("engines", s.drawSound()...)
		s.advance(judgeDelay)
	case "rack":
		for range rapid.IntRange(2, 8).Draw(s.t, "upstreams") {
			s.crashUnderRequests("engines", s.drawSound()...)
		}
		s.advance(judgeDelay)
	case "answer":
		s.answer(s.request("team", "system", fmt.Sprint("conversation", s.conversation)))
	}
}

// TestInnocentParts guards against parts that are quarantined though they crash nothing, and against parts that crash
// upstreams and are not. In random scenarios upstreams crash under bad parts, alone and in racks for other reasons,
// while sound requests with a common part and with parts of their conversations are running. The common part is answered
// before the first crash and from time to time.
//
// No sound request may be refused, and no bad part may crash more than five upstreams.
func TestInnocentParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &partScenario{harness: &harness{q: New(), now: start}, t: t, crashes: map[string]int{}}
		s.answer(s.request("team", "system"))
		badCount := rapid.IntRange(1, 3).Draw(t, "bad parts")
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			s.drawStep(badCount)
		}
		for _, parts := range [][]string{{"system"}, {"system", fmt.Sprint("conversation", s.conversation)}} {
			if s.isRefused("team", "engines", parts...) {
				t.Fatalf("a sound request with the parts %v is refused: %v", parts, s.q.Quarantined(s.now))
			}
		}
		for id, n := range s.crashes {
			if n > 5 {
				t.Fatalf("%s crashed %d upstreams", id, n)
			}
		}
	})
}
