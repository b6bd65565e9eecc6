package chutemeter

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"

	"azurechute.example/azurechute/internal/chuterelay"
)

// placementSeries names a counter of calls that were placed by work.
type placementSeries struct {
	pool string
	// rank is the upstream's place in the order for the prompt's prefix, from 1; 0 if it was drawn at random.
	rank int
}

// notePlacement counts a call that was placed by work; the caller holds mu.
func (m *Meter) notePlacement(n chuterelay.LogStep) {
	if n.Placement == nil {
		return
	}
	s := placementSeries{pool: n.Pool, rank: n.Placement.Rank}
	if _, known := m.placements[s]; !known && len(m.placements) >= maxSeries {
		s.pool = other
	}
	m.placements[s]++
}

// writePlacements writes the calls that were placed by work, by pool and rank.
func (m *Meter) writePlacements(w io.Writer) error {
	for _, s := range slices.SortedFunc(maps.Keys(m.placements), comparePlacements) {
		if _, err := fmt.Fprintf(w, "azurechute_placed_by_work_total{pool=%q,rank=%q} %d\n", s.pool, s.rankName(), m.placements[s]); err != nil {
			return err
		}
	}

	return nil
}

// rankName returns the rank as it is written.
func (s placementSeries) rankName() string {
	if s.rank == 0 {
		return "drawn"
	}

	return strconv.Itoa(s.rank)
}

func comparePlacements(a, b placementSeries) int {
	return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.rank, b.rank))
}
