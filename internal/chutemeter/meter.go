package chutemeter

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"azurechute.example/azurechute/internal/chuterelay"
)

const (
	// slowest is the longest time that a histogram tells apart, and digits its
	// precision: one part in a hundred, some 10 KB a histogram.
	slowest = int64(time.Minute / time.Millisecond)
	digits  = 2
	// maxSeries bounds the series of one figure: pipelines come and go by
	// the hundred with the configuration. What is beyond counts as other.
	maxSeries = 200
	other     = "(other)"
)

// quantiles are the parts of a histogram that are written.
var quantiles = []float64{50, 90, 99}

// series names one counter or histogram.
type series struct {
	step     chuterelay.Step
	pipeline string
	pool     string
	cause    string
}

// Meter counts.
type Meter struct {
	mu     sync.Mutex
	counts map[series]int64
	ages   map[series]*hdrhistogram.Histogram
	// workspaces counts the ends of each workspace's requests.
	workspaces map[string]map[chuterelay.Step]int64
	repeats    map[repeatSeries]int64
	overdue    map[overdueSeries]int64
	placements map[placementSeries]int64
	// gauges are read when the figures are written.
	gauges []gauge
}

type gauge struct {
	name string
	read func() float64
}

// New returns a meter without counts.
func New() *Meter {
	return &Meter{
		counts: map[series]int64{}, ages: map[series]*hdrhistogram.Histogram{},
		workspaces: map[string]map[chuterelay.Step]int64{}, repeats: map[repeatSeries]int64{},
		overdue: map[overdueSeries]int64{}, placements: map[placementSeries]int64{},
	}
}

// Gauge adds a figure that is read when the figures are written.
func (m *Meter) Gauge(name string, read func() float64) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.gauges = append(m.gauges, gauge{name: name, read: read})
}

// Note counts one decision.
func (m *Meter) Note(n chuterelay.LogStep) {
	s := series{step: n.Step, pipeline: n.Pipeline, pool: n.Pool, cause: cause(n.Reason)}
	m.mu.Lock()
	defer m.mu.Unlock()

	m.noteWorkspace(n)
	m.noteRepeat(n)
	m.noteOverdue(n)
	m.notePlacement(n)
	if _, known := m.counts[s]; !known && len(m.counts) >= maxSeries {
		s.pipeline, s.pool = other, other
	}
	m.counts[s]++
	age := series{step: n.Step, pipeline: s.pipeline, pool: s.pool}
	h, ok := m.ages[age]
	if !ok {
		h = hdrhistogram.New(1, slowest, digits)
		m.ages[age] = h
	}
	// A time beyond the histogram counts as its longest.
	_ = h.RecordValue(min(slowest, max(1, n.Age.Milliseconds())))
}

// cause is the kind of a reason, without what is particular to one request.
func cause(reason string) string {
	kind, _, _ := strings.Cut(reason, ":")
	kind, _, _ = strings.Cut(kind, " = ")

	return strings.TrimSpace(kind)
}

// Write writes all figures, sorted, one a line.
func (m *Meter) Write(w io.Writer) error {
	m.mu.Lock()
	defer m.mu.Unlock()

	for _, s := range slices.SortedFunc(maps.Keys(m.counts), compare) {
		if _, err := fmt.Fprintf(w, "azurechute_steps_total{%s} %d\n", s.labels(), m.counts[s]); err != nil {
			return err
		}
	}
	for _, s := range slices.SortedFunc(maps.Keys(m.ages), compare) {
		for _, q := range quantiles {
			_, err := fmt.Fprintf(w, "azurechute_step_age_ms{%s,quantile=\"%g\"} %d\n", s.labels(), q/100, m.ages[s].ValueAtPercentile(q))
			if err != nil {
				return err
			}
		}
	}
	if err := m.writeWorkspaces(w); err != nil {
		return err
	}
	if err := m.writeRepeats(w); err != nil {
		return err
	}
	if err := m.writePlacements(w); err != nil {
		return err
	}
	if err := m.writeOverdue(w); err != nil {
		return err
	}
	for _, g := range m.gauges {
		if _, err := fmt.Fprintf(w, "azurechute_%s %g\n", g.name, g.read()); err != nil {
			return err
		}
	}

	return nil
}

func (s series) labels() string {
	return fmt.Sprintf("step=%q,pipeline=%q,pool=%q,cause=%q", string(s.step), s.pipeline, s.pool, s.cause)
}

func compare(a, b series) int {
	return cmp.Or(
		cmp.Compare(a.step, b.step), cmp.Compare(a.pipeline, b.pipeline),
		cmp.Compare(a.pool, b.pool), cmp.Compare(a.cause, b.cause),
	)
}
