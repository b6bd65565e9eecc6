package chutemeter

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chuterelay"
)

// Guards against placements that can't be told apart in the metrics: at the upstream that caches the prefix, or elsewhere.
func TestPlacements(t *testing.T) {
	m := New()
	for _, rank := range []int{1, 1, 0} {
		m.Note(chuterelay.LogStep{Step: chuterelay.StepSent, Pool: "engine", Placement: &chuterelay.Placement{Rank: rank}})
	}
	var out strings.Builder
	qt.Assert(t, m.writePlacements(&out), qt.IsNil)
	qt.Assert(t, out.String(), qt.Equals,
		"azurechute_placed_by_work_total{pool=\"engine\",rank=\"drawn\"} 1\nazurechute_placed_by_work_total{pool=\"engine\",rank=\"1\"} 2\n")
}
