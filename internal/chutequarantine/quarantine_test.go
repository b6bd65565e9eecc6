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
type world struct {
	*qt.C

	q     Quarantine
	now   time.Time
	ended int
}

func newWorld(t testing.TB) *world {
	t.Helper()

	return &world{C: qt.New(t), q: New(), now: start}
}

func suspects(fingerprints ...string) []Suspect {
	var all []Suspect
	for _, f := range fingerprints {
		all = append(all, Suspect{Fingerprint: f, Workspace: "team", Pipeline: "p"})
	}

	return all
}

// crash tells that one more upstream has ended, and returns which.
func (w *world) crash(fingerprints ...string) string {
	w.ended++
	upstream := fmt.Sprint("u", w.ended)
	w.q, _ = w.q.WithCrash(Crash{Upstream: upstream, Pool: "engines", Suspects: suspects(fingerprints...)}, true, w.now)

	return upstream
}

// event ends upstreams at one moment, and lets the event settle.
func (w *world) event(crashes ...[]string) {
	for _, c := range crashes {
		w.crash(c...)
	}
	w.pass(settle)
}

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.q, _, _ = w.q.Judge(w.now)
}

// answered tells that an upstream has answered a request.
func (w *world) answered(fingerprint string) {
	if at := w.q.EvidenceAgainst(fingerprint); len(at) > 0 {
		w.q, _ = w.q.WithJudgement(Judgement{
			Suspect: Suspect{Fingerprint: fingerprint}, Verdict: VerdictCleared, Upstreams: at,
		}, w.now)
	}
}

func (w *world) expectHeld(fingerprints ...string) {
	w.Helper()
	var held []string
	for _, j := range w.q.Quarantined(w.now) {
		held = append(held, j.Fingerprint)
	}
	w.Assert(held, qt.ContentEquals, fingerprints)
}

func TestJudge(t *testing.T) {
	t.Run("a request is set aside after three ends", func(t *testing.T) {
		w := newWorld(t)
		w.event([]string{"p"})
		w.event([]string{"p"})
		w.expectHeld()
		w.event([]string{"p"})
		w.expectHeld("p")
	})

	t.Run("those that stood beside it come free", func(t *testing.T) {
		// Each end takes other requests along. One of them was sent again and ran beside
		// the poison request twice; the next end of another cause is its first.
		w := newWorld(t)
		w.event([]string{"a", "p", "b"})
		w.event([]string{"p", "b"})
		w.event([]string{"c", "p"})
		w.expectHeld("p")
		w.Assert(w.q.EvidenceAgainst("b"), qt.HasLen, 0)
		w.event([]string{"b"})
		w.expectHeld("p")
	})

	t.Run("two that were always together are told apart by one end more", func(t *testing.T) {
		w := newWorld(t)
		for range 3 {
			w.event([]string{"a", "p"})
		}
		w.expectHeld()
		w.event([]string{"p"})
		w.expectHeld("p")
	})

	t.Run("a third one is set aside while two can't be told apart", func(t *testing.T) {
		w := newWorld(t)
		for range 3 {
			w.event([]string{"a", "b"})
			w.event([]string{"p"})
		}
		w.expectHeld("p")
	})

	t.Run("two that stay together are both set aside", func(t *testing.T) {
		// Waiting for ever would end upstreams for ever.
		w := newWorld(t)
		for range 4 {
			w.event([]string{"a", "p"})
		}
		w.expectHeld("a", "p")
	})

	t.Run("two poison requests by turns are both found", func(t *testing.T) {
		w := newWorld(t)
		for i := range 3 {
			w.event([]string{"p"})
			w.event([]string{"q", fmt.Sprint("a", i)})
		}
		w.expectHeld("p", "q")
	})

	t.Run("upstreams that end together are one event", func(t *testing.T) {
		// A rack loses its power. A request that many callers send ran at three of ten
		// upstreams; it ended none of them.
		w := newWorld(t)
		w.event([]string{"common", "a"}, []string{"common"}, []string{"common"}, []string{"b"})
		w.expectHeld()
	})

	t.Run("neither do two racks in a row set anybody aside", func(t *testing.T) {
		w := newWorld(t)
		for range 2 {
			w.event([]string{"common", "a"}, []string{"common"}, []string{"b"})
		}
		w.expectHeld()
	})

	t.Run("a pool that ends as a whole sets nobody aside", func(t *testing.T) {
		w := newWorld(t)
		w.event([]string{"common"}, []string{"common"}, []string{"common"})
		w.expectHeld()
	})

	t.Run("a request that is sent to several at once is set aside at its next end", func(t *testing.T) {
		w := newWorld(t)
		w.event([]string{"p"}, []string{"p"}, []string{"p"})
		w.event([]string{"p"})
		w.expectHeld("p")
	})

	t.Run("ends in quick succession do not put the verdict off", func(t *testing.T) {
		// Each end came before the one before it was settled. A verdict that waited for
		// quiet would not fall while it is needed most.
		w := newWorld(t)
		for range 6 {
			w.crash("p")
			w.pass(settle / 2)
		}
		w.expectHeld("p")
	})
}

func TestWords(t *testing.T) {
	t.Run("an answered request is cleared", func(t *testing.T) {
		w := newWorld(t)
		w.event([]string{"a"})
		w.event([]string{"a"})
		w.answered("a")
		w.event([]string{"a"})
		w.event([]string{"a"})
		w.expectHeld()
		w.Assert(w.q.EvidenceAgainst("a"), qt.HasLen, 2)
	})

	t.Run("a verdict that comes after the word that cleared it is left out", func(t *testing.T) {
		// One node judges while another one delivers the answer. Taken in by the order in
		// which the words arrive, an innocent request is set aside for an hour at some nodes.
		w := newWorld(t)
		at := []string{"u1", "u2", "u3"}
		cleared := Judgement{Suspect: Suspect{Fingerprint: "a"}, Verdict: VerdictCleared, Upstreams: at}
		guilty := Judgement{Suspect: Suspect{Fingerprint: "a"}, Verdict: VerdictQuarantined, Upstreams: at}
		for _, words := range [][]Judgement{{cleared, guilty}, {guilty, cleared}} {
			w.q = New()
			for _, j := range words {
				w.q, _ = w.q.WithJudgement(j, w.now)
			}
			w.expectHeld()
		}
	})

	t.Run("further suspects of a known end are taken in", func(t *testing.T) {
		// Nodes tell of the same end one after the other, each what it had there.
		w := newWorld(t)
		for range 3 {
			u := w.crash("a")
			w.q, _ = w.q.WithCrash(Crash{Upstream: u, Suspects: suspects("p")}, false, w.now)
			w.pass(settle)
			w.answered("a")
		}
		w.expectHeld("p")
	})

	t.Run("what is told again is no news", func(t *testing.T) {
		w := newWorld(t)
		u := w.crash("a")
		_, news := w.q.WithCrash(Crash{Upstream: u, Suspects: suspects("a")}, false, w.now)
		w.Assert(news, qt.IsFalse)
	})

	t.Run("a lifted request needs as many ends again", func(t *testing.T) {
		w := newWorld(t)
		for range 3 {
			w.event([]string{"p"})
		}
		w.q, _ = w.q.WithJudgement(Judgement{
			Suspect: Suspect{Fingerprint: "p"}, Verdict: VerdictLifted, Upstreams: w.q.EvidenceAgainst("p"),
		}, w.now)
		w.expectHeld()
		w.event([]string{"p"})
		w.event([]string{"p"})
		w.expectHeld()
		w.event([]string{"p"})
		w.expectHeld("p")
	})
}

func TestBounds(t *testing.T) {
	t.Run("crashes and judgements are forgotten in the end", func(t *testing.T) {
		w := newWorld(t)
		for range 3 {
			w.event([]string{"p"})
		}
		w.pass(TTL)
		w.q = w.q.Expire(w.now)
		w.expectHeld()
		w.Assert(w.q.CrashCount(), qt.Equals, 0)
		w.Assert(w.q.EvidenceAgainst("p"), qt.HasLen, 0)
	})

	t.Run("of too many crashes the oldest goes", func(t *testing.T) {
		w := newWorld(t)
		for i := range maxCrashes + 1 {
			w.crash(fmt.Sprint("f", i))
			w.now = w.now.Add(time.Millisecond)
		}
		w.Assert(w.q.CrashCount(), qt.Equals, maxCrashes)
		w.Assert(w.q.EvidenceAgainst("f0"), qt.HasLen, 0)
		w.Assert(w.q.EvidenceAgainst("f1"), qt.HasLen, 1)
	})

	t.Run("whoever fills the quarantine pushes out its own", func(t *testing.T) {
		w := newWorld(t)
		held := func(workspace, fingerprint string) {
			w.q, _ = w.q.WithJudgement(Judgement{
				Suspect: Suspect{Fingerprint: fingerprint, Workspace: workspace}, Verdict: VerdictQuarantined,
			}, w.now)
			w.now = w.now.Add(time.Millisecond)
		}
		held("quiet", "q")
		for i := range maxJudgements + 20 {
			held("loud", fmt.Sprint("f", i))
		}
		w.Assert(len(w.q.Judgements()), qt.Equals, maxJudgements)
		_, ok := w.q.QuarantinedUntil("q")
		w.Assert(ok, qt.IsTrue)
	})
}

// day is a drawn succession of ends.
type day struct {
	*world

	t *rapid.T
	// events counts the events of each poison request, tries the sendings of an innocent one.
	events map[string]int
	tries  map[string]int
	next   int
}

// innocents draws requests that stand beside an end.
func (d *day) innocents() []string {
	var some []string
	for range rapid.IntRange(0, 4).Draw(d.t, "beside") {
		f := fmt.Sprint("i", rapid.IntRange(max(0, d.next-2), d.next).Draw(d.t, "which"))
		d.next++
		if d.tries[f] < 2 {
			d.tries[f]++
			some = append(some, f)
		}
	}

	return some
}

// step draws what happens next; there are so many poison requests.
func (d *day) step(poison int) {
	switch rapid.SampledFrom([]string{"poison", "poison", "plain", "rack", "answer"}).Draw(d.t, "what") {
	case "poison":
		p := fmt.Sprint("p", rapid.IntRange(1, poison).Draw(d.t, "which"))
		if _, held := d.q.QuarantinedUntil(p); !held {
			d.events[p]++
			d.event(append(d.innocents(), p))
		}
	case "plain":
		d.event(d.innocents())
	case "rack":
		d.event(append(d.innocents(), "common"), d.innocents(), append(d.innocents(), "common"), []string{"common"})
		d.answered("common")
	case "answer":
		d.answered("common")
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
		d := &day{world: &world{q: New(), now: start}, t: t, events: map[string]int{}, tries: map[string]int{}}
		poison := rapid.IntRange(1, 3).Draw(t, "poison requests")
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			d.step(poison)
		}
		for _, j := range d.q.Quarantined(d.now) {
			if j.Fingerprint[0] != 'p' {
				t.Fatalf("%s is set aside for %v", j.Fingerprint, j.Upstreams)
			}
		}
		for p, n := range d.events {
			if n > surePair {
				t.Fatalf("%s ended upstreams at %d events", p, n)
			}
		}
	})
}
