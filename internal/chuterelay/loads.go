package chuterelay

import (
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chutefleet"
)

const (
	// maxPendingLoads bounds the upstreams whose loads are told with the next job; a node hears
	// of one to three between two jobs.
	maxPendingLoads = 8
	// crowdedTTL is how long the list of crowded upstreams is told again: a look at
	// hundreds of upstreams for each of hundreds of jobs a second would cost more than it
	// tells.
	crowdedTTL = 100 * time.Millisecond
)

// loadReports is what this node passes on of upstreams' loads.
//
// Hundreds of nodes send a pool's upstreams one call each in seconds, so none of them
// knows the loads. A zone's collector hears from all nodes of its zone many times a
// second: jobs bring it what they have heard, and its answers name who is crowded.
type loadReports struct {
	// pending are the upstreams that were heard of since the last job for a peer.
	pending []string
	// crowded was worked out at a time; it is replaced, never changed.
	crowded   []chutefleet.LoadReport
	crowdedAt time.Time
}

// withPending notes that an upstream has told its load.
func (l loadReports) withPending(id string) loadReports {
	if len(l.pending) < maxPendingLoads && !slices.Contains(l.pending, id) {
		l.pending = append(slices.Clone(l.pending), id)
	}

	return l
}

// takePendingLoads returns what was heard since the last job for a peer.
func (st *reduction) takePendingLoads() []chutefleet.LoadReport {
	var reports []chutefleet.LoadReport
	for _, id := range st.loadReports.pending {
		if r, ok := st.fleet.Report(id, st.now); ok {
			reports = append(reports, r)
		}
	}
	st.loadReports.pending = nil

	return reports
}

// applyLoads takes in what another node tells of loads.
func (st *reduction) applyLoads(reports []chutefleet.LoadReport) {
	for _, r := range reports {
		st.fleet = st.fleet.WithReport(r, st.now)
	}
}

// crowdedUpstreams returns the loads of the engines that have too many calls for prompts to stay there.
func (st *reduction) crowdedUpstreams() []chutefleet.LoadReport {
	if !st.loadReports.crowdedAt.IsZero() && st.now.Sub(st.loadReports.crowdedAt) < crowdedTTL {
		return st.loadReports.crowded
	}
	var crowded []chutefleet.LoadReport
	for name, pool := range st.config.Pools {
		if pool.Engine != nil {
			crowded = append(crowded, st.fleet.Crowded(name, st.now)...)
		}
	}
	st.loadReports.crowded, st.loadReports.crowdedAt = crowded, st.now

	return crowded
}
