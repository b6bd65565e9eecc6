package chutequarantine

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// crashTwice adds two crashes under one request, which are judged one after the other.
func (h *harness) crashTwice(s Suspect) {
	for range 2 {
		h.crashUnderRequests("engines", s)
		h.advance(judgeDelay)
	}
}

// crashOfTwoCauses has a request that crashes upstreams by itself, and another one by a part of its prompt, share a part that
// crashes nothing.
func (h *harness) crashOfTwoCauses() (poison Suspect) {
	h.answer(h.request("team", "system"))
	poison = h.request("team", "system", "chance")
	h.crashTwice(poison)
	h.crashTwice(h.request("team", "system", "bad", "chance"))
	h.assertRefused(true, "system", "chance")

	return poison
}

// showCauses has both causes crash upstreams without the part that they have shared.
func (h *harness) showCauses(poison Suspect) {
	for _, beside := range []string{"a", "b", "c"} {
		h.crashParts("system", "bad", beside)
		poison.Parts = []string{PartElement("system"), PartElement(beside)}
		h.crashUnderRequests("engines", poison)
		h.advance(judgeDelay)
	}
}

// Guards against sound requests that are refused for an hour because one of their parts was in the prompts of two causes.
func TestPartOfTwoCauses(t *testing.T) {
	t.Run("it is free once both causes are known", func(t *testing.T) {
		h := newHarness(t)
		poison := h.crashOfTwoCauses()
		h.showCauses(poison)
		h.assertRefused(true, "bad")
		_, quarantined := h.q.QuarantinedUntil(poison.Fingerprint)
		h.Assert(quarantined, qt.IsTrue)
		h.assertRefused(false, "system", "chance")
		h.assertRefused(false, "system")
	})

	t.Run("another node's late verdict on it does not count", func(t *testing.T) {
		h := newHarness(t)
		poison := h.crashOfTwoCauses()
		late := h.q.Quarantined(h.now)
		h.Assert(late, qt.HasLen, 1)
		h.showCauses(poison)
		var isNew bool
		h.q, isNew = h.q.WithJudgement(late[0], h.now)
		h.Assert(isNew, qt.IsFalse)
		h.assertRefused(false, "system", "chance")
	})

	t.Run("it is refused again after three crashes without them", func(t *testing.T) {
		h := newHarness(t)
		h.showCauses(h.crashOfTwoCauses())
		for range minCrashes {
			h.assertRefused(false, "system", "chance")
			h.crashParts("system", "chance")
		}
		h.assertRefused(true, "system", "chance")
	})

	t.Run("requests that come again explain no part by themselves", func(t *testing.T) {
		h := newHarness(t)
		h.answer(h.request("team", "system"))
		for range 2 {
			s := h.request("team", "system", "bad")
			for range minCrashes {
				h.crashUnderRequests("engines", s)
				h.advance(judgeDelay)
			}
		}
		h.assertRefused(true, "bad")
	})
}
