package chutefleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// affinityFactor and affinitySlots bound the load up to which prompts stay at the
	// upstream that holds their prefix: 1.5 times the pool's mean, and a tenth of the
	// upstream's slots besides. Reading a prefix again takes longer than a few more calls
	// beside a prompt slow it, and in a burst all upstreams have more calls.
	affinityFactor    = 1.5
	affinitySlotShare = 0.1
	// failurePenalty is the load that one recent failure counts for.
	failurePenalty = 2.0
	// remotePenalty is the load that another zone counts for; it breaks ties only.
	remotePenalty = 0.2
	// fullPenalty is the load that a recent refusal for want of room counts for.
	fullPenalty = 4.0
)

// Query asks for an upstream for one call.
type Query struct {
	Pool string
	// Affinity names what the upstream should have in memory; empty means that any will do.
	Affinity string
	// Exclude lists incarnations that must not be chosen.
	Exclude []string
	// Zone is preferred where loads are alike; empty means the node's own.
	Zone string
	// Unreachable lists zones that are only chosen from if no other is left.
	Unreachable []string
}

// candidate is a usable member with its believed load.
type candidate struct {
	member
	load float64
}

// Choose picks the upstream for a call; draw is a number in [0,1) that breaks ties.
func (f Fleet) Choose(q Query, now time.Time, tieBreak float64) (Upstream, bool) {
	candidates := withoutUnreachable(f.candidates(q, now), q.Unreachable)
	if len(candidates) == 0 {
		return Upstream{}, false
	}
	if q.Affinity != "" {
		if u, ok := affinityUpstream(candidates, q.Affinity); ok {
			return u, true
		}
	}

	return f.leastLoaded(candidates, q, tieBreak), true
}

func (f Fleet) candidates(q Query, now time.Time) []candidate {
	var out []candidate
	for _, id := range f.pools[q.Pool] {
		m, _ := f.members.Get(id)
		if !f.availability(&m, now).IsAvailable() || slices.Contains(q.Exclude, id) {
			continue
		}
		load := m.estimatedLoad(now) + failurePenalty*m.recentFailures(now)
		if now.Before(m.fullUntil) {
			load += fullPenalty
		}
		out = append(out, candidate{member: m, load: load})
	}

	return out
}

// withoutUnreachable leaves out the candidates of unreachable zones, unless there are no others.
func withoutUnreachable(all []candidate, unreachable []string) []candidate {
	if len(unreachable) == 0 {
		return all
	}
	var reachable []candidate
	for i := range all {
		if !slices.Contains(unreachable, all[i].Zone) {
			reachable = append(reachable, all[i])
		}
	}
	if len(reachable) == 0 {
		return all
	}

	return reachable
}

// affinityUpstream returns the first upstream in the affinity's own order that is not overloaded.
//
// Each node works out the same order from the list alone, so that requests with
// one prefix meet at one upstream without the nodes talking about it. The bound
// on load keeps a popular prefix from crushing its holder.
func affinityUpstream(candidates []candidate, affinity string) (Upstream, bool) {
	mean := meanLoad(candidates)
	best := -1
	var bestHash uint64
	for i := range candidates {
		if candidates[i].isOverloaded(mean) {
			continue
		}
		if hash := xxhash.Sum64String(affinity + "|" + candidates[i].Name); best < 0 || hash > bestHash {
			best, bestHash = i, hash
		}
	}
	if best < 0 {
		return Upstream{}, false
	}

	return candidates[best].Upstream, true
}

// leastLoaded returns the candidate with the least load for its slots.
func (f Fleet) leastLoaded(candidates []candidate, q Query, tieBreak float64) Upstream {
	zone := cmp.Or(q.Zone, f.zone)
	firstIndex := int(tieBreak * float64(len(candidates)))
	best, bestCost := -1, 0.0
	for n := range candidates {
		i := (firstIndex + n) % len(candidates)
		c := &candidates[i]
		cost := c.load
		if c.Zone != zone {
			cost += remotePenalty
		}
		cost /= float64(max(1, c.Slots))
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}

	return candidates[best].Upstream
}
