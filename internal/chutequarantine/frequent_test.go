package chutequarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// crashUnderFrequent adds three crashes, one after the other, under one request of which upstreams have survived some
// calls. It returns the ids of the upstreams.
func (h *harness) crashUnderFrequent(survived int) []string {
	var upstreams []string
	for range 3 {
		h.crashCount++
		upstream := fmt.Sprint("u", h.crashCount)
		frequent := Suspect{Fingerprint: "frequent", Survived: survived}
		h.q, _ = h.q.WithCrash(Crash{Upstream: upstream, Suspects: []Suspect{frequent}}, true, h.now)
		h.advance(judgeDelay)
		upstreams = append(upstreams, upstream)
	}

	return upstreams
}

// reportPoison adds another node's reports that a poison request was running at crashes.
func (h *harness) reportPoison(upstreams []string) {
	for _, u := range upstreams {
		h.q, _ = h.q.WithCrash(Crash{Upstream: u, Suspects: suspects("p")}, false, h.now)
	}
}

// crashBeside adds the crash of an upstream under a request that never survived, beside one of which upstreams
// survived many calls, and advances the clock until it is judged.
func (h *harness) crashBeside(poison, frequent string) {
	h.crashCount++
	all := suspects(poison, frequent)
	all[1].Survived = 10 * minFrequentCalls
	h.q, _ = h.q.WithCrash(Crash{Upstream: fmt.Sprint("u", h.crashCount), Pool: "engines", Suspects: all}, true, h.now)
	h.advance(judgeDelay)
}

// Guards against an innocent request that is quarantined because it is so frequent that it runs beside every crash,
// while its pool answers nothing that would clear it.
func TestFrequentRequest(t *testing.T) {
	t.Run("the poison request is found after three crashes", func(t *testing.T) {
		h := newHarness(t)
		for range 3 {
			h.crashBeside("p", "frequent")
		}
		h.assertQuarantined("p")
	})

	t.Run("two poison requests in turn are found", func(t *testing.T) {
		h := newHarness(t)
		for range 3 {
			h.crashBeside("p", "frequent")
			h.crashBeside("q", "frequent")
		}
		h.assertQuarantined("p", "q")
	})

	t.Run("unlike requests beside it change nothing", func(t *testing.T) {
		h := newHarness(t)
		for i := range 5 {
			h.crashBeside(fmt.Sprint("once", i), "frequent")
		}
		h.assertQuarantined()
	})

	t.Run("a frequent request that is alone at three crashes is quarantined", func(t *testing.T) {
		h := newHarness(t)
		h.crashUnderFrequent(10 * minFrequentCalls)
		h.assertQuarantined()
		h.advance(lateReportDelay - judgeDelay)
		h.assertQuarantined("frequent")
	})

	t.Run("it is not quarantined if reports on the others at its crashes come late", func(t *testing.T) {
		h := newHarness(t)
		upstreams := h.crashUnderFrequent(minFrequentCalls)
		h.advance(lateReportDelay - judgeDelay - time.Millisecond)
		h.reportPoison(upstreams)
		h.advance(judgeDelay)
		h.assertQuarantined("p")
	})

	t.Run("a frequent request that crashes upstreams beside others is quarantined in the end", func(t *testing.T) {
		// Without this, a poison request that overloaded upstreams mostly refuse would crash them without end.
		h := newHarness(t)
		for i := range minCrashes * doubtfulCrashes {
			h.assertQuarantined()
			h.crashBeside(fmt.Sprint("once", i), "frequent")
		}
		h.assertQuarantined("frequent")
	})

	t.Run("a verdict that later reports refute is dropped", func(t *testing.T) {
		// Guards against a node that has not heard of the other suspects in time, and judges by what it has.
		h := newHarness(t)
		upstreams := h.crashUnderFrequent(minFrequentCalls)
		h.advance(lateReportDelay - judgeDelay)
		h.assertQuarantined("frequent")
		h.reportPoison(upstreams)
		h.advance(judgeDelay)
		h.assertQuarantined("p")
		_, isNew := h.q.WithJudgement(Judgement{Suspect: suspects("frequent")[0], Verdict: VerdictQuarantined, Upstreams: upstreams}, h.now)
		h.Assert(isNew, qt.IsFalse)
	})

	t.Run("the highest count that nodes report counts", func(t *testing.T) {
		h := newHarness(t)
		for range 3 {
			u := h.crash("p", "frequent")
			all := suspects("frequent")
			all[0].Survived = minFrequentCalls
			h.q, _ = h.q.WithCrash(Crash{Upstream: u, Suspects: all}, false, h.now)
			h.advance(judgeDelay)
		}
		h.assertQuarantined("p")
	})
}

// crashUnder adds the crash of an upstream under requests, of which upstreams have survived one call of the request
// "innocent", and returns its id.
func (h *harness) crashUnder(fingerprints ...string) string {
	h.crashCount++
	upstream := fmt.Sprint("u", h.crashCount)
	h.reportCrash(upstream, fingerprints...)

	return upstream
}

// reportCrash adds a report on the crash of an upstream, as crashUnder does.
func (h *harness) reportCrash(upstream string, fingerprints ...string) {
	all := suspects(fingerprints...)
	for i := range all {
		if all[i].Fingerprint == "innocent" {
			all[i].Survived = 1
		}
	}
	h.q, _ = h.q.WithCrash(Crash{Upstream: upstream, Suspects: all}, true, h.now)
}

// crashUnderPair adds three crashes under a poison request and an innocent one, with the poison request missing in
// the reports on the last one. It returns the ids of the upstreams.
func (h *harness) crashUnderPair() []string {
	var upstreams []string
	for range 2 {
		upstreams = append(upstreams, h.crashUnder("p", "innocent"))
		h.advance(judgeDelay)
	}

	return append(upstreams, h.crashUnder("innocent"))
}

// Guards against an innocent request that is quarantined because the report that another one was running at the same
// crash comes late: its node was frozen or cut off for a moment.
func TestLateReport(t *testing.T) {
	t.Run("a report that comes in time makes the two a pair", func(t *testing.T) {
		h := newHarness(t)
		upstreams := h.crashUnderPair()
		h.advance(lateReportDelay - time.Millisecond)
		h.assertQuarantined()
		h.reportCrash(upstreams[2], "p")
		h.advance(lateReportDelay)
		h.assertQuarantined()
		h.crashUnder("p")
		h.advance(judgeDelay)
		h.assertQuarantined("p")
	})

	t.Run("without one the request is quarantined", func(t *testing.T) {
		h := newHarness(t)
		h.crashUnderPair()
		h.advance(judgeDelay)
		h.assertQuarantined()
		h.Assert(h.q.JudgeAt().Sub(h.now), qt.Equals, lateReportDelay-judgeDelay)
		h.advance(lateReportDelay - judgeDelay)
		h.assertQuarantined("innocent")
		h.Assert(h.q.JudgeAt().IsZero(), qt.IsTrue)
	})

	t.Run("a crash meanwhile is judged without delay", func(t *testing.T) {
		h := newHarness(t)
		h.crashUnderPair()
		h.advance(judgeDelay)
		h.crashUnder("p")
		h.advance(judgeDelay)
		h.assertQuarantined("p")
	})

	t.Run("of two with as many crashes the one that upstreams survived less often is judged first", func(t *testing.T) {
		h := newHarness(t)
		h.crashUnderPair()
		h.advance(lateReportDelay - judgeDelay)
		h.crashUnder("p")
		h.advance(judgeDelay)
		h.assertQuarantined("p")
	})

	t.Run("the poison request beside it is found without delay", func(t *testing.T) {
		h := newHarness(t)
		h.crashUnder("p", "innocent")
		h.advance(judgeDelay)
		h.crashUnder("p", "innocent")
		h.advance(judgeDelay)
		h.crashUnder("p")
		h.advance(judgeDelay)
		h.assertQuarantined("p")
	})

	t.Run("a report that comes later voids the verdict", func(t *testing.T) {
		h := newHarness(t)
		upstreams := h.crashUnderPair()
		h.advance(lateReportDelay)
		h.assertQuarantined("innocent")
		h.reportCrash(upstreams[2], "p")
		h.assertQuarantined()
		_, isNew := h.q.WithJudgement(Judgement{Suspect: suspects("innocent")[0], Verdict: VerdictQuarantined, Upstreams: upstreams}, h.now)
		h.Assert(isNew, qt.IsFalse)
	})
}
