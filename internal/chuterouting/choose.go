package chuterouting

import (
	"slices"
	"time"

	"azurechute.example/azurechute/pkg/chuteconfig"
)

const (
	// maxSample is the maximum number of candidates sampled for one call.
	maxSample = 16
	// hotQuantile is the quantile of the sample's occupancy above which a candidate is
	// hot.
	hotQuantile = 0.75
	// hotOccupancy is the occupancy up to which no candidate is hot.
	hotOccupancy = 0.75
	// busyPenalty is the share of the service time that the cost of a call grows by from
	// an empty upstream to a full one, because engines slow down as their batch grows. It
	// breaks ties between upstreams that both have a free slot.
	busyPenalty = 0.3
)

// candidate is an upstream with its estimates for one query.
type candidate struct {
	entry            *entry
	occupancy        float64
	expectedDuration time.Duration
	// cost is the value by which candidates are compared, in nanoseconds; lower is
	// better.
	cost         float64
	cachedBlocks float64
}

// Choose returns the upstream for a call, or false if there is none. random(n) returns a number in [0,n).
//
// Of a random sample without hot candidates it compares two at random and the one with the longest cached prefix by
// cost. The best of all would get the calls of every node with the same stale reports.
func (t Table) Choose(q Query, random func(n int) int) (Choice, bool) {
	group := t.group(q.Pool)
	if group == nil {
		return Choice{}, false
	}
	if t.settings.Balancing == chuteconfig.BalancingRoundRobin {
		return t.chooseRoundRobin(group, &q)
	}
	scorer := candidateScorer{table: t, query: &q, times: t.poolTimes(q.Pool), reportAgeLimit: t.settings.reportAgeLimit()}
	scorer.serviceTime = float64(scorer.times.serviceTime(q.Stage, t.settings.typicalServiceTime(q.Pool)))
	scorer.meanCallTime = float64(scorer.times.meanCallTime(t.settings.typicalServiceTime(q.Pool)))
	var buffer [maxSample + 1]candidate
	tierFilter := filter{table: &t, query: &q, reportAgeLimit: scorer.reportAgeLimit}
	for _, tierFilter.tier = range tiers {
		if tierFilter.tier.otherVersion && q.Version == "" {
			continue
		}
		sample := scorer.sampleCandidates(group, &tierFilter, random, buffer[:0])
		if len(sample) == 0 {
			continue
		}
		if tierFilter.tier.suspended {
			return scorer.newChoice(lowestCost(sample)), true
		}

		return scorer.newChoice(pickCandidate(sample, random)), true
	}

	return Choice{}, false
}

// candidateScorer holds what the candidates of one query have in common.
type candidateScorer struct {
	table          Table
	query          *Query
	times          *poolTimes
	reportAgeLimit time.Duration
	// serviceTime is the usual time of the query's call, and meanCallTime that of the
	// calls already at the upstream, in nanoseconds.
	serviceTime  float64
	meanCallTime float64
}

// sampleCandidates appends up to maxSample random upstreams of the tier, and the likely
// holder of the prompt's prefix.
func (s *candidateScorer) sampleCandidates(group *poolGroup, f *filter, random func(n int) int, candidates []candidate) []candidate {
	isTruncated := false
	for _, part := range group.tierEntries(f.tier) {
		for order := newRandomOrder(len(part), random); order.remaining > 0; {
			e := part[order.next()]
			if !f.admits(e) {
				continue
			}
			if len(candidates) == maxSample {
				isTruncated = true

				break
			}
			candidates = append(candidates, s.newCandidate(e))
		}
	}
	if isTruncated && len(s.query.Blocks) > 0 {
		return s.withCacheHolder(f, candidates)
	}

	return candidates
}

// withCacheHolder appends the upstream that probably has the prompt's prefix cached,
// unless it is already in the sample.
func (s *candidateScorer) withCacheHolder(f *filter, candidates []candidate) []candidate {
	name, ok := s.table.cacheHolder(s.query.Blocks)
	if !ok {
		return candidates
	}
	location, ok := s.table.locations[name]
	if !ok || location.inOtherZone && !f.tier.otherZones || !location.inOtherZone && !f.tier.ownZone {
		return candidates
	}
	e := s.table.entry(name)
	isPresent := slices.ContainsFunc(candidates, func(c candidate) bool { return c.entry == e })
	if isPresent || e.upstream.Pool != s.query.Pool || !f.admits(e) {
		return candidates
	}

	return append(candidates, s.newCandidate(e))
}

// newCandidate estimates the duration and the cost of the query's call at the upstream.
func (s *candidateScorer) newCandidate(e *entry) candidate {
	now := s.query.Now
	slots := float64(e.slots(s.table.settings))
	ahead := float64(e.inFlight) + e.othersInFlightAt(now, s.reportAgeLimit)
	slowness := e.slownessAt(s.times, now)
	c := candidate{entry: e, occupancy: ahead / slots}
	serviceTime := s.serviceTime * slowness
	if len(s.query.Blocks) > 0 {
		c.cachedBlocks = float64(e.cache.countCachedBlocks(s.query.Blocks)) * e.cache.belief()
		prefill := s.table.settings.Pools[s.query.Pool].PrefillShare
		serviceTime *= 1 - prefill*c.cachedBlocks/float64(len(s.query.Blocks))
	}
	waitTime := max(0, ahead+1-slots) / slots * s.meanCallTime * slowness
	c.expectedDuration = time.Duration(waitTime + serviceTime)
	c.cost = waitTime + serviceTime*(1+busyPenalty*min(c.occupancy, 1))
	// This matters only when all upstreams are suspended: one that failed or refused then
	// costs more than one that is slow.
	if e.suspension.isBackingOff(now) && e.suspension.reason != SuspendedSlow {
		c.cost += float64(e.suspension.until.Sub(now))
	}

	return c
}

func (s *candidateScorer) newChoice(c candidate) Choice {
	return Choice{Upstream: c.entry.upstream, ExpectedDuration: c.expectedDuration, CachedBlocks: int(c.cachedBlocks)}
}

// pickCandidate returns the candidate with the lowest cost among two random ones that
// are not hot and the one with the most cached blocks.
func pickCandidate(sample []candidate, random func(n int) int) candidate {
	cold := withoutHot(sample)
	if len(cold) == 1 {
		return cold[0]
	}
	first := random(len(cold))
	second := random(len(cold) - 1)
	if second >= first {
		second++
	}
	best := cold[first]
	if cold[second].cost < best.cost {
		best = cold[second]
	}
	holder := cold[0]
	for _, c := range cold[1:] {
		if c.cachedBlocks > holder.cachedBlocks {
			holder = c
		}
	}
	if holder.cachedBlocks > 0 && holder.cost < best.cost {
		best = holder
	}

	return best
}

// withoutHot removes the candidates with the highest occupancy; at least one remains.
func withoutHot(sample []candidate) []candidate {
	var buffer [maxSample + 1]float64
	occupancies := buffer[:0]
	for _, c := range sample {
		occupancies = append(occupancies, c.occupancy)
	}
	slices.Sort(occupancies)
	limit := max(hotOccupancy, occupancies[int(hotQuantile*float64(len(sample)-1))])

	return slices.DeleteFunc(sample, func(c candidate) bool { return c.occupancy > limit })
}

// lowestCost returns the candidate with the lowest cost.
func lowestCost(sample []candidate) candidate {
	best := sample[0]
	for _, c := range sample[1:] {
		if c.cost < best.cost {
			best = c
		}
	}

	return best
}

// randomOrder visits each of the numbers 0 to n-1 once, from a random start with a
// random stride that is coprime to n.
type randomOrder struct {
	n, position, stride, remaining int
}

func newRandomOrder(n int, random func(n int) int) randomOrder {
	if n < 2 {
		return randomOrder{n: max(n, 1), remaining: n}
	}
	stride := 1 + random(n-1)
	for gcd(stride, n) != 1 {
		stride = 1 + stride%(n-1)
	}

	return randomOrder{n: n, position: random(n), stride: stride, remaining: n}
}

func (o *randomOrder) next() int {
	position := o.position
	o.position = (o.position + o.stride) % o.n
	o.remaining--

	return position
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}

	return a
}
