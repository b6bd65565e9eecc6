package chutefleet

import (
	"cmp"
	"slices"
	"time"
)

// LoadReport is the load of an upstream as one node reports it to another.
type LoadReport struct {
	// Upstream is the id of the incarnation.
	Upstream string
	// Calls is the number of calls that run or wait there, for all callers.
	Calls int
	// Age is the age of the upstream's own report.
	Age time.Duration
}

// reportSlotShare is the fraction of its slots by which an upstream's load must exceed affinityFactor times the
// pool's mean to be reported to other nodes.
const reportSlotShare = 0.5

// maxReports is the maximum number of reports in a message. If more upstreams are overloaded, the pool is full.
const maxReports = 16

// WithLoadReport records another node's report on an upstream, unless a later one is known or it is too old.
func (f Fleet) WithLoadReport(r LoadReport, now time.Time) Fleet {
	at := now.Add(-r.Age)
	if m, ok := f.members.Get(r.Upstream); !ok || r.Age >= loadReportLifetime || !m.reportedAt.Before(at) {
		return f
	}

	return f.WithLoad(r.Upstream, r.Calls, 0, at)
}

// LoadReport returns this node's report on an upstream; false if it has no recent one.
func (f Fleet) LoadReport(id string, now time.Time) (LoadReport, bool) {
	m, ok := f.members.Get(id)
	if !ok || m.reportedAt.IsZero() || now.Sub(m.reportedAt) >= loadReportLifetime {
		return LoadReport{}, false
	}

	return LoadReport{Upstream: id, Calls: m.otherCalls + m.inFlight, Age: now.Sub(m.reportedAt)}, true
}

// OverloadReports returns reports on the overloaded upstreams of a pool, to send to other nodes, those with the
// most calls first; at most maxReports.
func (f Fleet) OverloadReports(pool string, now time.Time) []LoadReport {
	mean := f.meanPoolLoad(pool, Use{}, now)
	var reports []LoadReport
	for m := range f.observedMembers() {
		if m.Pool != pool || !f.availability(m, false, now).IsAvailable() {
			continue
		}
		c := newCandidate(m, now)
		if !c.exceedsMean(mean, reportSlotShare) {
			continue
		}
		if r, ok := f.LoadReport(m.ID, now); ok {
			reports = append(reports, r)
		}
	}
	slices.SortFunc(reports, func(a, b LoadReport) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Upstream, b.Upstream))
	})

	return reports[:min(len(reports), maxReports)]
}

// meanPoolLoad returns the mean load of the upstreams of a pool that a call with a use may go to, in calls,
// without those that may get no call now. Upstreams of which nothing was observed count as idle.
func (f Fleet) meanPoolLoad(pool string, use Use, now time.Time) float64 {
	total, available := 0.0, f.index(pool, use).size
	for m := range f.observedMembers() {
		switch {
		case m.Pool != pool, use.Bound && m.Version != use.Version:
		case f.availability(m, false, now).IsAvailable():
			total += newCandidate(m, now).load
		default:
			available--
		}
	}

	return total / float64(max(1, available))
}

// meanLoad returns the mean load of the candidates, in calls.
func meanLoad(candidates []candidate) float64 {
	total := 0.0
	for i := range candidates {
		total += candidates[i].load
	}

	return total / float64(max(1, len(candidates)))
}

// isOverloaded reports whether a candidate has too many calls for prompts to follow
// affinity there.
func (c *candidate) isOverloaded(mean float64) bool {
	return c.exceedsMean(mean, affinitySlotShare)
}

// exceedsMean reports whether a candidate's load exceeds affinityFactor times the mean by
// more than the given fraction of its slots.
func (c *candidate) exceedsMean(mean, slotShare float64) bool {
	return c.load > affinityFactor*mean+slotShare*float64(c.Slots)
}
