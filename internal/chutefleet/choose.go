package chutefleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// affinityFactor and affinitySlotShare set the load up to which prompts go to the upstream that caches
	// their prefix: a multiple of the pool's mean, plus a share of the upstream's slots.
	affinityFactor    = 1.5
	affinitySlotShare = 0.1
	// failurePenalty, remotePenalty and fullPenalty are the loads, in calls, that one recent failure, being in
	// another zone and a recent FailureFull count as. remotePenalty only breaks ties.
	failurePenalty = 2.0
	remotePenalty  = 0.2
	fullPenalty    = 4.0
)

// Query states the criteria by which Choose selects an upstream for a call.
type Query struct {
	Pool string
	// Affinity identifies the prefix that the upstream should have cached; empty means
	// no preference.
	Affinity string
	// Exclude lists incarnations that must not be chosen.
	Exclude []string
	// Zone is preferred among upstreams of similar load; empty means the node's own zone.
	Zone string
	// Use is what the call demands of the upstream.
	Use Use
	// Unreachable lists zones whose upstreams are chosen only if there are no others.
	Unreachable []string
	// Tokens is the number of prompt tokens of the call, 0 if it has no prompt; SharedTokens is the number of them that an
	// upstream which caches the prefix does not process.
	Tokens       int64
	SharedTokens int64
	// Events is the number of events that the answer is expected to have; 0 if it is no stream or unknown.
	Events float64
	// Pause is the longest time between two events of a stream of the pool that is not late; 0 if there is no bound.
	Pause time.Duration
}

// candidate is an available member with its estimated load and penalties, in calls.
type candidate struct {
	*member

	load float64
	// affinity is the candidate's place in the order for a prefix; the lowest is first.
	affinity float64
}

func newCandidate(m *member, now time.Time) candidate {
	c := candidate{member: m, load: m.estimatedLoad(now) + failurePenalty*m.recentFailures(now)}
	if now.Before(m.fullUntil) {
		c.load += fullPenalty
	}

	return c
}

// maxScanned is the size up to which all upstreams of a pool are compared for each call.
const maxScanned = 256

// Choose selects the upstream for a call; false if none is available. tieBreak is a random number in [0,1).
func (f Fleet) Choose(q Query, now time.Time, tieBreak float64) (Upstream, bool) {
	c, ok := f.ChooseCall(q, now, tieBreak)

	return c.Upstream, ok
}

// chooseByLoad selects the upstream for a call by the numbers of calls at the upstreams.
func (f Fleet) chooseByLoad(q Query, now time.Time, tieBreak float64) (Upstream, bool) {
	// A version on trial has few upstreams that get calls, and they may be anywhere in the pool.
	if f.index(q.Pool, q.Use).size > maxScanned && q.Use.Side != SideNew {
		if u, ok := f.chooseFromSample(q, now, tieBreak); ok {
			return u, true
		}
	}

	return f.chooseFromAll(q, now, tieBreak)
}

// chooseFromAll compares all upstreams of the pool.
func (f Fleet) chooseFromAll(q Query, now time.Time, tieBreak float64) (Upstream, bool) {
	candidates := withoutUnreachable(f.candidates(q, now), q.Unreachable)
	if q.Use.Side == SideNew {
		candidates = trialCandidates(candidates, f.versionRules[q.Pool].TrialUpstreams)
	}
	if len(candidates) == 0 {
		return Upstream{}, false
	}
	if q.Affinity != "" {
		if u, ok := affinityUpstream(candidates, q.Affinity, meanLoad(candidates)); ok {
			return u, true
		}
	}

	return f.leastLoaded(candidates, q, tieBreak), true
}

// candidates returns the members that the query allows and that are available now.
func (f Fleet) candidates(q Query, now time.Time) []candidate {
	out := make([]candidate, 0, f.index(q.Pool, q.Use).size)
	for m := range f.inPool(q.Pool, q.Use) {
		if f.isCandidate(m, q, now) {
			out = append(out, newCandidate(m, now))
		}
	}

	return out
}

// isCandidate reports whether the query allows a member and it is available now.
func (f Fleet) isCandidate(m *member, q Query, now time.Time) bool {
	return f.availabilityFor(m, q.Use, now).IsAvailable() && !slices.Contains(q.Exclude, m.ID)
}

// withoutUnreachable removes the candidates in unreachable zones, unless there are no others.
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

// affinityUpstream returns the upstream that rendezvous hashing selects for the affinity among those that are not
// overloaded, compared with the mean load; false if all are.
func affinityUpstream(candidates []candidate, affinity string, mean float64) (Upstream, bool) {
	best := -1
	var bestHash uint64
	for i := range candidates {
		if candidates[i].isOverloaded(mean) {
			continue
		}
		if hash := pairHash(affinity, candidates[i].Name); best < 0 || hash > bestHash {
			best, bestHash = i, hash
		}
	}
	if best < 0 {
		return Upstream{}, false
	}

	return candidates[best].Upstream, true
}

// pairHash returns the hash of two texts.
func pairHash(a, b string) uint64 {
	var buffer [128]byte

	return xxhash.Sum64(append(append(append(buffer[:0], a...), '|'), b...))
}

// leastLoaded returns the candidate with the lowest load per slot.
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
