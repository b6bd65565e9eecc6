package chutequarantine

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a sound request that is quarantined with a part that crashes upstreams, because all calls of a small
// pool run beside all crashes, while upstreams have survived calls of the request and none of the part.
func TestRequestBesidePart(t *testing.T) {
	for _, survived := range []int{1, minFrequentCalls - 1} {
		h := newHarness(t)
		for range minCrashesOfPair + 1 {
			sound := suspects("sound")[0]
			sound.Survived = survived
			bad := h.request("team", "system", "bad")
			if !h.isRefused("team", "engines", "system", "bad") {
				h.crashUnderRequests("engines", sound, bad)
			}
			h.advance(lateReportDelay)
		}
		h.assertRefused(true, "system", "bad")
		_, quarantined := h.q.QuarantinedUntil("sound")
		h.Check(quarantined, qt.IsFalse)
	}
}
