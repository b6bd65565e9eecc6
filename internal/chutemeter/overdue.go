package chutemeter

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"

	"azurechute.example/azurechute/internal/chuterelay"
)

// overdueSeries names a counter of decisions on overdue calls.
type overdueSeries struct {
	pool     string
	decision chuterelay.OverdueDecision
	stream   bool
}

// noteOverdue counts a decision on an overdue call; the caller holds mu.
func (m *Meter) noteOverdue(n chuterelay.LogStep) {
	if n.Overdue == nil {
		return
	}
	s := overdueSeries{pool: n.Pool, decision: n.Overdue.Decision, stream: n.Overdue.Stream}
	if _, known := m.overdue[s]; !known && len(m.overdue) >= maxSeries {
		s.pool = other
	}
	m.overdue[s]++
}

// writeOverdue writes the decisions on overdue calls by pool.
func (m *Meter) writeOverdue(w io.Writer) error {
	for _, s := range slices.SortedFunc(maps.Keys(m.overdue), compareOverdue) {
		_, err := fmt.Fprintf(w, "azurechute_overdue_total{pool=%q,waits=%q,decision=%q} %d\n", s.pool, s.waits(), string(s.decision), m.overdue[s])
		if err != nil {
			return err
		}
	}

	return nil
}

// waits returns what the calls waited for.
func (s overdueSeries) waits() string {
	if s.stream {
		return "next event"
	}

	return "first event"
}

func compareOverdue(a, b overdueSeries) int {
	return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.waits(), b.waits()), cmp.Compare(a.decision, b.decision))
}
