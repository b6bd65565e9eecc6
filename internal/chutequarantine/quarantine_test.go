package chutequarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// world drives one quarantine as crashes are told.
type harness struct {
	*qt.C

	q          Quarantine
	now        time.Time
	crashCount int
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

// crash tells that one more upstream has ended, and returns which.
func (h *harness) crash(fingerprints ...string) string {
	h.crashCount++
	upstream := fmt.Sprint("u", h.crashCount)
	h.q, _ = h.q.WithCrash(Crash{Upstream: upstream, Pool: "engines", Suspects: suspects(fingerprints...)}, true, h.now)

	return upstream
}

// event ends upstreams at one moment, and lets the event settle.
func (h *harness) incident(crashes ...[]string) {
	for _, c := range crashes {
		h.crash(c...)
	}
	h.advance(judgeDelay)
}

func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.q, _, _ = h.q.Judge(h.now)
}

// answered tells that an upstream has answered a request.
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
	t.Run("a request is set aside after three ends", func(t *testing.T) {
		h := newHarness(t)
		h.incident([]string{"p"})
		h.incident([]string{"p"})
		h.assertQuarantined()
		h.incident([]string{"p"})
		h.assertQuarantined("p")
	})

	t.Run("those that stood beside it come free", func(t *testing.T) {
		// Each end takes other requests along. One of them was sent again and ran beside
		// the poison request twice; the next end of another cause is its first.
		h := newHarness(t)
		h.incident([]string{"a", "p", "b"})
		h.incident([]string{"p", "b"})
		h.incident([]string{"c", "p"})
		h.assertQuarantined("p")
		h.Assert(h.q.EvidenceAgainst("b"), qt.HasLen, 0)
		h.incident([]string{"b"})
		h.assertQuarantined("p")
	})

	t.Run("two that were always together are told apart by one end more", func(t *testing.T) {
		h := newHarness(t)
		for range 3 {
			h.incident([]string{"a", "p"})
		}
		h.assertQuarantined()
		h.incident([]string{"p"})
		h.assertQuarantined("p")
	})

	t.Run("a third one is set aside while two can't be told apart", func(t *testing.T) {
		h := newHarness(t)
		for range 3 {
			h.incident([]string{"a", "b"})
			h.incident([]string{"p"})
		}
		h.assertQuarantined("p")
	})

	t.Run("two that stay together are both set aside", func(t *testing.T) {
		// Waiting for ever would end upstreams for ever.
		h := newHarness(t)
		for range 4 {
			h.incident([]string{"a", "p"})
		}
		h.assertQuarantined("a", "p")
	})

	t.Run("two poison requests by turns are both found", func(t *testing.T) {
		h := newHarness(t)
		for i := range 3 {
			h.incident([]string{"p"})
			h.incident([]string{"q", fmt.Sprint("a", i)})
		}
		h.assertQuarantined("p", "q")
	})

	t.Run("upstreams that end together are one event", func(t *testing.T) {
		// A rack loses its power. A request that many callers send ran at three of ten
		// upstreams; it ended none of them.
		h := newHarness(t)
		h.incident([]string{"common", "a"}, []string{"common"}, []string{"common"}, []string{"b"})
		h.assertQuarantined()
	})

	t.Run("neither do two racks in a row set anybody aside", func(t *testing.T) {
		h := newHarness(t)
		for range 2 {
			h.incident([]string{"common", "a"}, []string{"common"}, []string{"b"})
		}
		h.assertQuarantined()
	})

	t.Run("a pool that ends as a whole sets nobody aside", func(t *testing.T) {
		h := newHarness(t)
		h.incident([]string{"common"}, []string{"common"}, []string{"common"})
		h.assertQuarantined()
	})

	t.Run("a request that is sent to several at once is set aside at its next end", func(t *testing.T) {
		h := newHarness(t)
		h.incident([]string{"p"}, []string{"p"}, []string{"p"})
		h.incident([]string{"p"})
		h.assertQuarantined("p")
	})

	t.Run("ends in quick succession do not put the verdict off", func(t *testing.T) {
		// Each end came before the one before it was settled. A verdict that waited for
		// quiet would not fall while it is needed most.
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

	t.Run("a verdict that comes after the word that cleared it is left out", func(t *testing.T) {
		// One node judges while another one delivers the answer. Taken in by the order in
		// which the words arrive, an innocent request is set aside for an hour at some nodes.
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

	t.Run("further suspects of a known end are taken in", func(t *testing.T) {
		// Nodes tell of the same end one after the other, each what it had there.
		h := newHarness(t)
		for range 3 {
			u := h.crash("a")
			h.q, _ = h.q.WithCrash(Crash{Upstream: u, Suspects: suspects("p")}, false, h.now)
			h.advance(judgeDelay)
			h.addAnswer("a")
		}
		h.assertQuarantined("p")
	})

	t.Run("what is told again is no news", func(t *testing.T) {
		h := newHarness(t)
		u := h.crash("a")
		_, isNew := h.q.WithCrash(Crash{Upstream: u, Suspects: suspects("a")}, false, h.now)
		h.Assert(isNew, qt.IsFalse)
	})

	t.Run("a lifted request needs as many ends again", func(t *testing.T) {
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
	t.Run("crashes and judgements are forgotten in the end", func(t *testing.T) {
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

	t.Run("of too many crashes the oldest goes", func(t *testing.T) {
		h := newHarness(t)
		for i := range maxCrashes + 1 {
			h.crash(fmt.Sprint("f", i))
			h.now = h.now.Add(time.Millisecond)
		}
		h.Assert(h.q.CrashCount(), qt.Equals, maxCrashes)
		h.Assert(h.q.EvidenceAgainst("f0"), qt.HasLen, 0)
		h.Assert(h.q.EvidenceAgainst("f1"), qt.HasLen, 1)
	})

	t.Run("whoever fills the quarantine pushes out its own", func(t *testing.T) {
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

// day is a drawn succession of ends.
type scenario struct {
	*harness

	t *rapid.T
	// events counts the events of each poison request, tries the sendings of an innocent one.
	incidents map[string]int
	sendings  map[string]int
	newest    int
}

// innocents draws requests that stand beside an end.
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

// step draws what happens next; there are so many poison requests.
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

// TestInnocents draws days on which poison requests come again and again, upstreams end
// alone and in racks for other reasons, and innocent requests stand beside all of it. Each
// innocent request is sent twice at most without being answered, as callers do; one that
// many send is answered now and then.
//
// What holds: an innocent request is set aside on none of these days, and a poison request
// after four events at the latest.
func TestInnocents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &scenario{harness: &harness{q: New(), now: start}, t: t, incidents: map[string]int{}, sendings: map[string]int{}}
		poisonCount := rapid.IntRange(1, 3).Draw(t, "poison requests")
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			s.drawStep(poisonCount)
		}
		for _, j := range s.q.Quarantined(s.now) {
			if j.Fingerprint[0] != 'p' {
				t.Fatalf("%s is set aside for %v", j.Fingerprint, j.Upstreams)
			}
		}
		for p, n := range s.incidents {
			if n > minCrashesOfPair {
				t.Fatalf("%s ended upstreams at %d events", p, n)
			}
		}
	})
}
