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

// words is what this node passes on of upstreams' loads.
//
// Hundreds of nodes send a pool's upstreams one call each in seconds, so none of them
// knows the loads. A zone's collector hears from all nodes of its zone many times a
// second: jobs bring it what they have heard, and its answers name who is crowded.
type words struct {
	// unsaid are the upstreams that were heard of since the last job for a peer.
	unsaid []string
	// crowded was worked out at a time; it is replaced, never changed.
	crowded   []chutefleet.LoadWord
	crowdedAt time.Time
}

// withHeard notes that an upstream has told its load.
func (w words) withHeard(id string) words {
	if len(w.unsaid) < maxUnsaid && !slices.Contains(w.unsaid, id) {
		w.unsaid = append(slices.Clone(w.unsaid), id)
	}

	return w
}

// tell returns what was heard since the last job for a peer.
func (st *step) tell() []chutefleet.LoadWord {
	var said []chutefleet.LoadWord
	for _, id := range st.words.unsaid {
		if w, ok := st.fleet.Word(id, st.now); ok {
			said = append(said, w)
		}
	}
	st.words.unsaid = nil

	return said
}

// hear takes in what another node tells of loads.
func (st *step) hear(told []chutefleet.LoadWord) {
	for _, w := range told {
		st.fleet = st.fleet.WithWord(w, st.now)
	}
}

// crowded returns words on the engines that have too many calls for prompts to stay there.
func (st *step) crowded() []chutefleet.LoadWord {
	if !st.words.crowdedAt.IsZero() && st.now.Sub(st.words.crowdedAt) < crowdedFresh {
		return st.words.crowded
	}
	var crowded []chutefleet.LoadWord
	for name, pool := range st.config.Pools {
		if pool.Engine != nil {
			crowded = append(crowded, st.fleet.Crowded(name, st.now)...)
		}
	}
	st.words.crowded, st.words.crowdedAt = crowded, st.now

	return crowded
}
