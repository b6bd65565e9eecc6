package chuterelay

import (
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chutefleet"
)

const (
	// maxUnsaid bounds the upstreams whose loads are told with the next job; a node hears
	// of one to three between two jobs.
	maxUnsaid = 8
	// crowdedFresh is how long the list of crowded upstreams is told again: a look at
	// hundreds of upstreams for each of hundreds of jobs a second would cost more than it
	// tells.
	crowdedFresh = 100 * time.Millisecond
)

// loads is what this node passes on of upstreams' loads.
//
// Hundreds of nodes send a pool's upstreams one call each in seconds, so none of them
// knows the loads. A zone's collector hears from all nodes of its zone many times a
// second: jobs bring it what they have heard, and its answers name who is crowded.
type loads struct {
	// unsaid are the upstreams that were heard of since the last job for a peer.
	unsaid []string
	// crowded was worked out at a time; it is replaced, never changed.
	crowded   []chutefleet.LoadReport
	crowdedAt time.Time
}

// withHeard notes that an upstream has told its load.
func (l loads) withHeard(id string) loads {
	if len(l.unsaid) < maxUnsaid && !slices.Contains(l.unsaid, id) {
		l.unsaid = append(slices.Clone(l.unsaid), id)
	}

	return l
}

// tell returns what was heard since the last job for a peer.
func (st *step) tell() []chutefleet.LoadReport {
	var said []chutefleet.LoadReport
	for _, id := range st.loads.unsaid {
		if r, ok := st.fleet.LoadReport(id, st.now); ok {
			said = append(said, r)
		}
	}
	st.loads.unsaid = nil

	return said
}

// hear takes in what another node tells of loads.
func (st *step) hear(told []chutefleet.LoadReport) {
	for _, r := range told {
		st.fleet = st.fleet.WithLoadReport(r, st.now)
	}
}

// crowded returns the loads of the engines that have too many calls for prompts to stay there.
func (st *step) crowded() []chutefleet.LoadReport {
	if !st.loads.crowdedAt.IsZero() && st.now.Sub(st.loads.crowdedAt) < crowdedFresh {
		return st.loads.crowded
	}
	var crowded []chutefleet.LoadReport
	for name, pool := range st.config.Pools {
		if pool.Engine != nil {
			crowded = append(crowded, st.fleet.OverloadReports(name, st.now)...)
		}
	}
	st.loads.crowded, st.loads.crowdedAt = crowded, st.now

	return crowded
}
