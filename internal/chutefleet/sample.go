package chutefleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// zoneSample and otherZoneSample are the numbers of upstreams of the preferred zone and of another one that
	// are compared for a call in a large pool.
	zoneSample      = 24
	otherZoneSample = 8
	// affinityWindow is the number of neighbours in the ring among which rendezvous hashing selects one for a
	// prompt. With one alone, the upstreams' shares of the prompts would vary as the distances between them.
	affinityWindow = 16
	// maxLooked bounds the upstreams of one zone that are looked at for a call.
	maxLooked = 96
)

// chooseFromSample selects the upstream for a call in a large pool. It returns false if none of those
// that it looks at is available.
func (f Fleet) chooseFromSample(q Query, now time.Time, tieBreak float64) (Upstream, bool) {
	if q.Affinity != "" {
		if u, ok := f.affinityFromSample(q, now); ok {
			return u, true
		}
	}
	position := uint64(tieBreak * (1 << 63))
	var candidates []candidate
	for i, zone := range f.zonesByPreference(q, tieBreak) {
		count := otherZoneSample
		if i == 0 {
			count = zoneSample
		}
		// The two halves of the ring are drawn from alike.
		candidates = f.appendSample(candidates, q, zone, position*2, count, now)
		if i > 0 && len(candidates) > 0 {
			break
		}
	}
	if len(candidates) == 0 {
		return Upstream{}, false
	}

	return f.leastLoaded(candidates, q, tieBreak), true
}

// appendSample appends up to count candidates of a zone, beginning at a position of its ring.
func (f Fleet) appendSample(candidates []candidate, q Query, zone string, position uint64, count int, now time.Time) []candidate {
	looked := 0
	for id := range f.index(q.Pool, q.Use).zoneRing(zone).from(position) {
		if m, ok := f.members.Get(id); ok && f.isCandidate(m, q, now) {
			candidates = append(candidates, newCandidate(m, now))
			count--
		}
		if looked++; count == 0 || looked >= maxLooked {
			break
		}
	}

	return candidates
}

// zonesByPreference returns the zones of the query's pool in which calls may run: the preferred zone
// first, then the others in an order by a random number, and unreachable ones at the end.
func (f Fleet) zonesByPreference(q Query, tieBreak float64) []string {
	preferred := cmp.Or(q.Zone, f.zone)
	all := f.index(q.Pool, q.Use).zones
	zones := make([]string, 0, len(all))
	for i := range all {
		zone := all[(i+int(tieBreak*float64(len(all))))%len(all)].zone
		if !f.evacuated[zone] && f.allowsZone(q.Use, zone) {
			zones = append(zones, zone)
		}
	}
	rank := func(zone string) int {
		switch {
		case slices.Contains(q.Unreachable, zone):
			return 2
		case zone != preferred:
			return 1
		default:
			return 0
		}
	}
	slices.SortStableFunc(zones, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })

	return zones
}

// affinityFromSample returns the upstream of a large pool that is selected for the affinity: by rendezvous hashing
// a zone, weighted by its number of upstreams, and one of some neighbours in the zone's ring.
func (f Fleet) affinityFromSample(q Query, now time.Time) (Upstream, bool) {
	mean := f.meanPoolLoad(q.Pool, q.Use, now)
	var window [affinityWindow]candidate
	for _, zone := range f.zonesByAffinity(q) {
		candidates, looked := window[:0], 0
		for id := range f.index(q.Pool, q.Use).zoneRing(zone).from(affinityPosition(q.Affinity)) {
			if m, ok := f.members.Get(id); ok && f.isCandidate(m, q, now) {
				candidates = append(candidates, newCandidate(m, now))
			}
			if looked++; looked%affinityWindow != 0 {
				continue
			}
			if u, ok := affinityUpstream(candidates, q.Affinity, mean); ok {
				return u, true
			}
			if candidates = window[:0]; looked >= maxLooked {
				break
			}
		}
		if u, ok := affinityUpstream(candidates, q.Affinity, mean); ok {
			return u, true
		}
	}

	return Upstream{}, false
}

// affinityPosition returns the place of an affinity in a ring.
func affinityPosition(affinity string) uint64 {
	return xxhash.Sum64String(affinity)
}

// zonesByAffinity returns the zones in which the query's calls may run, in the order of weighted
// rendezvous hashing.
func (f Fleet) zonesByAffinity(q Query) []string {
	type scored struct {
		zone  string
		score float64
	}
	all := f.index(q.Pool, q.Use).zones
	zones := make([]scored, 0, len(all))
	for i := range all {
		zone := all[i].zone
		if f.evacuated[zone] || !f.allowsZone(q.Use, zone) || slices.Contains(q.Unreachable, zone) {
			continue
		}
		uniform := (float64(pairHash(q.Affinity, zone)) + 1) / (math.MaxUint64 + 2)
		zones = append(zones, scored{zone: zone, score: -math.Log(uniform) / float64(all[i].size)})
	}
	slices.SortFunc(zones, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	names := make([]string, 0, len(zones))
	for i := range zones {
		names = append(names, zones[i].zone)
	}

	return names
}

// RandomUpstreams returns up to n ready upstreams of zones that are not evacuated, spread over pools and zones: one of each
// pool in turn, in another zone each time, beginning at a place given by a random number. They may be unavailable.
func (f Fleet) RandomUpstreams(n int, random float64) []Upstream {
	var chosen []Upstream
	position := uint64(random*(1<<63)) * 2
	rings := f.ringsByTurn(random)
	for added := true; added; {
		added = false
		for _, r := range rings {
			if len(chosen) == n {
				return chosen
			}
			if u, ok := f.readyFrom(r, position, chosen); ok {
				chosen, added = append(chosen, u), true
			}
		}
	}

	return chosen
}

// ringsByTurn returns the rings of all pools and zones that are not evacuated: first one of each pool, in a different zone
// each, then the next one of each.
func (f Fleet) ringsByTurn(random float64) []ring {
	names := slices.Sorted(maps.Keys(f.pools))
	mostZones := 0
	for _, name := range names {
		mostZones = max(mostZones, len(f.pools[name].zones))
	}
	var rings []ring
	for turn := range mostZones {
		for i := range names {
			at := i + int(random*float64(len(names)))
			zones := f.pools[names[at%len(names)]].zones
			if turn >= len(zones) {
				continue
			}
			if z := zones[(turn+at)%len(zones)]; !f.evacuated[z.zone] {
				rings = append(rings, z.ring)
			}
		}
	}

	return rings
}

// readyFrom returns the first ready upstream of a ring from a position on that is not among others; false if there is none.
func (f Fleet) readyFrom(r ring, position uint64, others []Upstream) (Upstream, bool) {
	for id := range r.from(position) {
		m, ok := f.members.Get(id)
		if ok && m.State == StateReady && !slices.ContainsFunc(others, func(u Upstream) bool { return u.ID == id }) {
			return m.Upstream, true
		}
	}

	return Upstream{}, false
}
