package chutequarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// harness drives one quarantine with crashes, judgements and a clock.
type harness struct {
	*qt.C

	q            Quarantine
	now          time.Time
	crashCount   int
	requestCount int
}

func newHarness(t testing.TB) *harness {
	t.Helper()

	return &harness{C: qt.New(t), q: New(), now: start}
}

func suspects(fingerprints ...string) []Suspect {
	var all []Suspect
	for _, f := range fingerprints {
		all = append(all, Suspect{Fingerprint: f, Workspace: "team", Pipeline: "p"})
	}

	return all
}

// crash adds the crash of one more upstream and returns its id.
func (h *harness) crash(fingerprints ...string) string {
	h.crashCount++
	upstream := fmt.Sprint("u", h.crashCount)
	h.q, _ = h.q.WithCrash(Crash{Upstream: upstream, Pool: "engines", Suspects: suspects(fingerprints...)}, true, h.now)

	return upstream
}

// incident adds crashes that happen at the same time, and advances the clock until they are judged.
func (h *harness) incident(crashes ...[]string) {
	for _, c := range crashes {
		h.crash(c...)
	}
	h.advance(judgeDelay)
}

// advance moves the clock and judges what is due.
func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.q, _, _ = h.q.Judge(h.now)
}

// addAnswer adds the judgement that clears a request, as after an answer of an upstream.
func (h *harness) addAnswer(fingerprint string) {
	if upstreams := h.q.EvidenceAgainst(fingerprint); len(upstreams) > 0 {
		h.q, _ = h.q.WithJudgement(Judgement{
			Suspect: Suspect{Fingerprint: fingerprint}, Verdict: VerdictCleared, Upstreams: upstreams,
		}, h.now)
	}
}

func (h *harness) assertQuarantined(fingerprints ...string) {
	h.Helper()
	var quarantined []string
	for _, j := range h.q.Quarantined(h.now) {
		quarantined = append(quarantined, j.Fingerprint)
	}
	h.Assert(quarantined, qt.ContentEquals, fingerprints)
}

func TestJudge(t *testing.T) {
	t.Run("a request is quarantined after three crashes", func(t *testing.T) {
		h := newHarness(t)
		h.incident([]string{"p"})
		h.incident([]string{"p"})
		h.assertQuarantined()
		h.incident([]string{"p"})
		h.assertQuarantined("p")
	})

	t.Run("requests that ran beside a quarantined one are no longer suspected", func(t *testing.T) {
		// Other requests are running at each crash. One of them was sent again and ran beside the
		// poison request twice. A later crash with another cause counts as its first.
		h := newHarness(t)
		h.incident([]string{"a", "p", "b"})
		h.incident([]string{"p", "b"})
		h.incident([]string{"c", "p"})
		h.assertQuarantined("p")
		h.Assert(h.q.EvidenceAgainst("b"), qt.HasLen, 0)
		h.incident([]string{"b"})
		h.assertQuarantined("p")
	})

	t.Run("two requests with the same crashes are told apart by one more crash", func(t *testing.T) {
		h := newHarness(t)
		for range 3 {
			h.incident([]string{"a", "p"})
		}
		h.assertQuarantined()
		h.incident([]string{"p"})
		h.assertQuarantined("p")
	})

	t.Run("another request is quarantined while two can't be told apart", func(t *testing.T) {
		h := newHarness(t)
		for range 3 {
			h.incident([]string{"a", "b"})
			h.incident([]string{"p"})
		}
		h.assertQuarantined("p")
	})

	t.Run("two requests that are never told apart are both quarantined", func(t *testing.T) {
		// Without a limit, upstreams would go on crashing.
		h := newHarness(t)
		for range 4 {
			h.incident([]string{"a", "p"})
		}
		h.assertQuarantined("a", "p")
	})

	t.Run("two poison requests that alternate are both quarantined", func(t *testing.T) {
		h := newHarness(t)
		for i := range 3 {
			h.incident([]string{"p"})
			h.incident([]string{"q", fmt.Sprint("a", i)})
		}
		h.assertQuarantined("p", "q")
	})

	t.Run("crashes at the same time are one incident", func(t *testing.T) {
		// A rack loses power. A request that many callers send was running at three of ten
		// upstreams and caused none of the crashes.
		h := newHarness(t)
		h.incident([]string{"common", "a"}, []string{"common"}, []string{"common"}, []string{"b"})
		h.assertQuarantined()
	})

	t.Run("two racks that lose power in turn quarantine no request", func(t *testing.T) {
		h := newHarness(t)
		for range 2 {
			h.incident([]string{"common", "a"}, []string{"common"}, []string{"b"})
		}
		h.assertQuarantined()
	})

	t.Run("the crash of a whole pool quarantines no request", func(t *testing.T) {
		h := newHarness(t)
		h.incident([]string{"common"}, []string{"common"}, []string{"common"})
		h.assertQuarantined()
	})

	t.Run("a request that was sent to several upstreams at once is quarantined at its next crash", func(t *testing.T) {
		h := newHarness(t)
		h.incident([]string{"p"}, []string{"p"}, []string{"p"})
		h.incident([]string{"p"})
		h.assertQuarantined("p")
	})

	t.Run("crashes in quick succession do not delay the judgement", func(t *testing.T) {
		// Each crash comes before the previous one can be judged. If a judgement waited for a time
		// without crashes, there would be none while it is needed most.
		h := newHarness(t)
		for range 6 {
			h.crash("p")
			h.advance(judgeDelay / 2)
		}
		h.assertQuarantined("p")
	})
}

func TestReports(t *testing.T) {
	t.Run("an answered request is cleared", func(t *testing.T) {
		h := newHarness(t)
		h.incident([]string{"a"})
		h.incident([]string{"a"})
		h.addAnswer("a")
		h.incident([]string{"a"})
		h.incident([]string{"a"})
		h.assertQuarantined()
		h.Assert(h.q.EvidenceAgainst("a"), qt.HasLen, 2)
	})

	t.Run("a quarantine that arrives after its evidence was voided is ignored", func(t *testing.T) {
		// One node quarantines a request while another one delivers the answer to it. If the last
		// judgement to arrive counted, an innocent request would be quarantined for an hour at some
		// nodes.
		h := newHarness(t)
		at := []string{"u1", "u2", "u3"}
		cleared := Judgement{Suspect: Suspect{Fingerprint: "a"}, Verdict: VerdictCleared, Upstreams: at}
		quarantined := Judgement{Suspect: Suspect{Fingerprint: "a"}, Verdict: VerdictQuarantined, Upstreams: at}
		for _, judgements := range [][]Judgement{{cleared, quarantined}, {quarantined, cleared}} {
			h.q = New()
			for _, j := range judgements {
				h.q, _ = h.q.WithJudgement(j, h.now)
			}
			h.assertQuarantined()
		}
	})

	t.Run("further suspects of a known crash are added", func(t *testing.T) {
		// Nodes report the same crash one after the other, each with its own requests.
		h := newHarness(t)
		for range 3 {
			u := h.crash("a")
			h.q, _ = h.q.WithCrash(Crash{Upstream: u, Suspects: suspects("p")}, false, h.now)
			h.advance(judgeDelay)
			h.addAnswer("a")
		}
		h.assertQuarantined("p")
	})

	t.Run("a repeated report is not new", func(t *testing.T) {
		h := newHarness(t)
		u := h.crash("a")
		_, isNew := h.q.WithCrash(Crash{Upstream: u, Suspects: suspects("a")}, false, h.now)
		h.Assert(isNew, qt.IsFalse)
	})

	t.Run("a request whose quarantine was lifted needs as many crashes again", func(t *testing.T) {
		h := newHarness(t)
		for range 3 {
			h.incident([]string{"p"})
		}
		h.q, _ = h.q.WithJudgement(Judgement{
			Suspect: Suspect{Fingerprint: "p"}, Verdict: VerdictLifted, Upstreams: h.q.EvidenceAgainst("p"),
		}, h.now)
		h.assertQuarantined()
		h.incident([]string{"p"})
		h.incident([]string{"p"})
		h.assertQuarantined()
		h.incident([]string{"p"})
		h.assertQuarantined("p")
	})
}

func TestBounds(t *testing.T) {
	t.Run("crashes and judgements expire", func(t *testing.T) {
		h := newHarness(t)
		for range 3 {
			h.incident([]string{"p"})
		}
		h.advance(TTL)
		h.q = h.q.Expire(h.now)
		h.assertQuarantined()
		h.Assert(h.q.CrashCount(), qt.Equals, 0)
		h.Assert(h.q.EvidenceAgainst("p"), qt.HasLen, 0)
	})

	t.Run("the oldest crash is dropped if there are too many", func(t *testing.T) {
		h := newHarness(t)
		for i := range maxCrashes + 1 {
			h.crash(fmt.Sprint("f", i))
			h.now = h.now.Add(time.Millisecond)
		}
		h.Assert(h.q.CrashCount(), qt.Equals, maxCrashes)
		h.Assert(h.q.EvidenceAgainst("f0"), qt.HasLen, 0)
		h.Assert(h.q.EvidenceAgainst("f1"), qt.HasLen, 1)
	})

	t.Run("a workspace with too many judgements displaces only its own", func(t *testing.T) {
		h := newHarness(t)
		quarantine := func(workspace, fingerprint string) {
			h.q, _ = h.q.WithJudgement(Judgement{
				Suspect: Suspect{Fingerprint: fingerprint, Workspace: workspace}, Verdict: VerdictQuarantined,
			}, h.now)
			h.now = h.now.Add(time.Millisecond)
		}
		quarantine("quiet", "q")
		for i := range maxJudgements + 20 {
			quarantine("loud", fmt.Sprint("f", i))
		}
		h.Assert(len(h.q.Judgements()), qt.Equals, maxJudgements)
		_, ok := h.q.QuarantinedUntil("q")
		h.Assert(ok, qt.IsTrue)
	})
}

// scenario is a random sequence of crashes and answers.
type scenario struct {
	*harness

	t *rapid.T
	// incidents counts the incidents that each poison request caused.
	incidents map[string]int
	// sendings counts how often each innocent request was sent.
	sendings map[string]int
	// newest is the highest number that an innocent request can have at the next draw.
	newest int
}

// drawInnocents draws the innocent requests that are running at a crash.
func (s *scenario) drawInnocents() []string {
	var innocents []string
	for range rapid.IntRange(0, 4).Draw(s.t, "beside") {
		f := fmt.Sprint("i", rapid.IntRange(max(0, s.newest-2), s.newest).Draw(s.t, "which"))
		s.newest++
		if s.sendings[f] < 2 {
			s.sendings[f]++
			innocents = append(innocents, f)
		}
	}

	return innocents
}

// drawStep draws and applies what happens next, with the given number of poison requests.
func (s *scenario) drawStep(poisonCount int) {
	switch rapid.SampledFrom([]string{"poison", "poison", "plain", "rack", "answer"}).Draw(s.t, "what") {
	case "poison":
		p := fmt.Sprint("p", rapid.IntRange(1, poisonCount).Draw(s.t, "which"))
		if _, quarantined := s.q.QuarantinedUntil(p); !quarantined {
			s.incidents[p]++
			s.incident(append(s.drawInnocents(), p))
		}
	case "plain":
		s.incident(s.drawInnocents())
	case "rack":
		s.incident(append(s.drawInnocents(), "common"), s.drawInnocents(), append(s.drawInnocents(), "common"), []string{"common"})
		s.addAnswer("common")
	case "answer":
		s.addAnswer("common")
	}
}

// TestInnocents guards against innocent requests that are quarantined, and against poison requests
// that are not. In random scenarios poison requests are sent again and again, upstreams end alone
// and in racks for other reasons, and innocent requests are running at all of these crashes. Each
// innocent request is sent at most twice without an answer, as callers do; a common one, which many
// callers send, is answered from time to time.
//
// No innocent request may be quarantined, and each poison request must be after four incidents at the
// latest.
func TestInnocents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &scenario{harness: &harness{q: New(), now: start}, t: t, incidents: map[string]int{}, sendings: map[string]int{}}
		poisonCount := rapid.IntRange(1, 3).Draw(t, "poison requests")
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			s.drawStep(poisonCount)
		}
		for _, j := range s.q.Quarantined(s.now) {
			if j.Fingerprint[0] != 'p' {
				t.Fatalf("%s is quarantined because of %v", j.Fingerprint, j.Upstreams)
			}
		}
		for p, n := range s.incidents {
			if n > minCrashesOfPair {
				t.Fatalf("%s made upstreams crash in %d incidents", p, n)
			}
		}
	})
}
