package chuterelay

import (
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chutefleet"
)

const (
	// maxPendingLoads bounds the upstreams whose loads are sent with the next job. A node learns
	// of one to three between two jobs.
	maxPendingLoads = 8
	// overloadReportsTTL is how long the reports on overloaded upstreams are reused: checking
	// hundreds of upstreams for each of hundreds of jobs a second would cost more than the fresher
	// reports are worth.
	overloadReportsTTL = 100 * time.Millisecond
)

// loadReports holds the upstream loads that this node passes on to others.
//
// One node of hundreds calls an upstream once in seconds. So jobs carry the loads that their nodes know to the
// collector, and its answers name the overloaded upstreams.
type loadReports struct {
	// pending are the upstreams that have reported a load since the last job for a peer.
	pending []string
	// overloaded are the reports on overloaded upstreams, computed at overloadedAt. The slice is
	// replaced, never modified.
	overloaded   []chutefleet.LoadReport
	overloadedAt time.Time
}

// withPending adds an upstream that has reported its load.
func (l loadReports) withPending(id string) loadReports {
	if len(l.pending) < maxPendingLoads && !slices.Contains(l.pending, id) {
		l.pending = append(slices.Clone(l.pending), id)
	}

	return l
}

// takePendingLoads returns and clears the loads learned since the last job for a peer.
func (st *reduction) takePendingLoads() []chutefleet.LoadReport {
	var reports []chutefleet.LoadReport
	for _, id := range st.loadReports.pending {
		if r, ok := st.fleet.LoadReport(id, st.now); ok {
			reports = append(reports, r)
		}
	}
	st.loadReports.pending = nil

	return reports
}

// applyLoads applies the loads that another node has sent.
func (st *reduction) applyLoads(reports []chutefleet.LoadReport) {
	for _, r := range reports {
		st.fleet = st.fleet.WithLoadReport(r, st.now)
	}
}

// overloadReports returns reports on the overloaded engines: those that have too many calls for
// prompts to stay there.
func (st *reduction) overloadReports() []chutefleet.LoadReport {
	if !st.loadReports.overloadedAt.IsZero() && st.now.Sub(st.loadReports.overloadedAt) < overloadReportsTTL {
		return st.loadReports.overloaded
	}
	var overloaded []chutefleet.LoadReport
	for name, pool := range st.config.Pools {
		if pool.Engine != nil {
			overloaded = append(overloaded, st.fleet.OverloadReports(name, st.now)...)
		}
	}
	st.loadReports.overloaded, st.loadReports.overloadedAt = overloaded, st.now

	return overloaded
}
