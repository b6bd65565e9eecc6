package chutemeter

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"

	"azurechute.example/azurechute/internal/chuterelay"
)

// repeatSeries names a counter of repeats.
type repeatSeries struct {
	pool string
	// after is how the call before ended.
	after   string
	refused bool
}

// noteRepeat counts a call that was sent once more, or was not for want of budget; the
// caller holds mu.
func (m *Meter) noteRepeat(n chuterelay.LogStep) {
	if n.RepeatOf == "" {
		return
	}
	s := repeatSeries{pool: n.Pool, after: string(n.RepeatOf), refused: n.Step == chuterelay.StepRetryRefused}
	if _, known := m.repeats[s]; !known && len(m.repeats) >= maxSeries {
		s.pool = other
	}
	m.repeats[s]++
}

// writeRepeats writes the repeats by pool and by how the call before ended.
func (m *Meter) writeRepeats(w io.Writer) error {
	for _, s := range slices.SortedFunc(maps.Keys(m.repeats), compareRepeats) {
		if _, err := fmt.Fprintf(w, "azurechute_%s{pool=%q,after=%q} %d\n", s.name(), s.pool, s.after, m.repeats[s]); err != nil {
			return err
		}
	}

	return nil
}

// name is the figure that the counter belongs to.
func (s repeatSeries) name() string {
	if s.refused {
		return "repeats_refused_total"
	}

	return "repeats_total"
}

func compareRepeats(a, b repeatSeries) int {
	return cmp.Or(cmp.Compare(a.name(), b.name()), cmp.Compare(a.pool, b.pool), cmp.Compare(a.after, b.after))
}
