package chutecost

import (
	"cmp"
	"slices"
	"time"
)

// maxSummaryPipelines bounds the pipelines in a Summary.
const maxSummaryPipelines = 32

// Counts are totals of an estimator.
type Counts struct {
	// Keys is the number of keys with samples, of pipelines or of workspaces in one.
	Keys int
	// Evicted counts the keys that were dropped to make room for others.
	Evicted uint64
	// Answers counts the answers learned from, Exceeded those of them with more events than the upper estimate: about
	// one in ten if estimates are right.
	Answers  uint64
	Exceeded uint64
}

// Summary describes what an estimator has learned.
type Summary struct {
	Counts

	// Pipelines are those with most samples.
	Pipelines []PipelineSummary `json:",omitempty"`
}

// PipelineSummary describes what is expected of the requests of one pipeline whose workspaces have no samples.
type PipelineSummary struct {
	Pipeline string
	// Hinted says that the factors are relative to callers' hints, otherwise to a usual number of events.
	Hinted bool
	// Samples is the number of answers, less for older ones.
	Samples float64
	// Median and Upper are quantiles of the factor.
	Median float64
	Upper  float64
}

// Counts returns the estimator's totals.
func (e Estimator) Counts() Counts {
	return Counts{Keys: e.table.rows.Len(), Evicted: e.table.evicted, Answers: e.answers, Exceeded: e.exceeded}
}

// Summary describes what the estimator has learned. It iterates over all keys.
func (e Estimator) Summary(now time.Time) Summary {
	s := Summary{Counts: e.Counts()}
	for i := e.table.rows.Iterator(); !i.Done(); {
		k, found, _ := i.Next()
		if k.workspace != "" {
			continue
		}
		for _, hinted := range []bool{true, false} {
			samples := found.samples(hinted)
			if samples.total == 0 {
				continue
			}
			median, upper, _ := e.factors(k, hinted, now)
			s.Pipelines = append(s.Pipelines, PipelineSummary{
				Pipeline: k.pipeline, Hinted: hinted, Samples: float64(samples.total) * samples.decay(now), Median: median, Upper: upper,
			})
		}
	}
	slices.SortStableFunc(s.Pipelines, func(a, b PipelineSummary) int {
		return cmp.Or(cmp.Compare(b.Samples, a.Samples), cmp.Compare(a.Pipeline, b.Pipeline))
	})
	s.Pipelines = s.Pipelines[:min(len(s.Pipelines), maxSummaryPipelines)]

	return s
}
