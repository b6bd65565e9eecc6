package chutefleet

import (
	"cmp"
	"slices"
	"time"
)

// LoadReport is what one node tells another of an upstream's load.
type LoadReport struct {
	// Upstream is the incarnation's id.
	Upstream string
	// Calls is the number that run or wait there, for all callers.
	Calls int
	// Age is how old the upstream's own report is.
	Age time.Duration
}

// reportSlotShare is the part of its slots by which an upstream is above the pool's mean load when
// others are told: below that a prompt is served sooner where it is kept.
const reportSlotShare = 0.5

// maxReports bounds the reports in one message: 16 take some 400 bytes. A popular prompt
// crowds a few upstreams; where more are crowded, the pool is full and none is better.
const maxReports = 16

// WithLoadReport takes in another node's report on an upstream, unless a later one is known.
func (f Fleet) WithLoadReport(r LoadReport, now time.Time) Fleet {
	at := now.Add(-r.Age)
	if m, ok := f.members.Get(r.Upstream); !ok || r.Age >= loadReportLifetime || !m.reportedAt.Before(at) {
		return f
	}

	return f.WithLoad(r.Upstream, r.Calls, 0, at)
}

// LoadReport returns what this node knows of an upstream's load, and false if that is nothing recent.
func (f Fleet) LoadReport(id string, now time.Time) (LoadReport, bool) {
	m, ok := f.members.Get(id)
	if !ok || m.reportedAt.IsZero() || now.Sub(m.reportedAt) >= loadReportLifetime {
		return LoadReport{}, false
	}

	return LoadReport{Upstream: id, Calls: m.otherCalls + m.inFlight, Age: now.Sub(m.reportedAt)}, true
}

// OverloadReports returns the loads of the upstreams of a pool that have too many calls for prompts
// to stay there, the most crowded ones first.
//
// A node of hundreds hears from one upstream less than once in ten seconds. Without a
// report from others it sends a popular prompt to the upstream that holds it, however many
// wait there.
func (f Fleet) OverloadReports(pool string, now time.Time) []LoadReport {
	candidates := f.candidates(Query{Pool: pool}, now)
	mean := meanLoad(candidates)
	var reports []LoadReport
	for i := range candidates {
		if !candidates[i].exceedsMean(mean, reportSlotShare) {
			continue
		}
		if r, ok := f.LoadReport(candidates[i].ID, now); ok {
			reports = append(reports, r)
		}
	}
	slices.SortFunc(reports, func(a, b LoadReport) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Upstream, b.Upstream))
	})

	return reports[:min(len(reports), maxReports)]
}

// meanLoad is the mean load of the candidates.
func meanLoad(candidates []candidate) float64 {
	total := 0.0
	for i := range candidates {
		total += candidates[i].load
	}

	return total / float64(max(1, len(candidates)))
}

// isOverloaded says whether a candidate has too many calls for prompts to stay there.
func (c *candidate) isOverloaded(mean float64) bool {
	return c.exceedsMean(mean, affinitySlotShare)
}

// exceedsMean says whether a candidate's load is well above the mean, by a part of its slots.
func (c *candidate) exceedsMean(mean, slotShare float64) bool {
	return c.load > affinityFactor*mean+slotShare*float64(c.Slots)
}
