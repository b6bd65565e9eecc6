package chuterouting

import (
	"slices"
	"time"

	"azurechute.example/azurechute/pkg/chuteconfig"
)

const (
	// maxSample bounds the candidates that are weighed for one call.
	maxSample = 16
	// hotQuantile is the part of the sample that is not hot.
	hotQuantile = 0.75
	// hotOccupancy is the part of the slots in use below which no upstream counts as hot.
	hotOccupancy = 0.75
	// busySlope is how much longer, as a part of the service time, a call is ranked
	// to take in a full upstream than in an empty one: engines slow down as their
	// batch grows. It breaks ties between upstreams that both have a free slot.
	busySlope = 0.3
)

// candidate is an upstream with what one query expects of it.
type candidate struct {
	entry     *entry
	occupancy float64
	expected  time.Duration
	// rank is what candidates are compared by, in nanoseconds.
	rank   float64
	cached float64
}

// Choose picks the upstream for a call, or reports false when there is none; random(n) returns a number in [0,n).
//
// Of a random sample the hot ones are left out, then two random ones and the one
// with the longest cached prefix are compared by expected finish. Taking the best
// of all instead would send every node with the same stale reports to the same
// upstream.
func (t Table) Choose(q Query, random func(n int) int) (Choice, bool) {
	group := t.group(q.Pool)
	if group == nil {
		return Choice{}, false
	}
	if t.settings.Balancing == chuteconfig.BalancingRoundRobin {
		return t.turn(group, &q)
	}
	weigh := weighing{table: t, query: &q, times: t.poolTimes(q.Pool), limit: t.settings.reportAgeLimit()}
	weigh.service = float64(weigh.times.service(q.Stage, t.settings.typical(q.Pool)))
	weigh.work = float64(weigh.times.work(t.settings.typical(q.Pool)))
	var room [maxSample + 1]candidate
	filter := filter{table: &t, query: &q, limit: weigh.limit}
	for _, filter.tier = range tiers {
		if filter.tier.anyVersion && q.Version == "" {
			continue
		}
		sample := weigh.sample(group, &filter, random, room[:0])
		if len(sample) == 0 {
			continue
		}
		if filter.tier.aside {
			return weigh.choice(leastRank(sample)), true
		}

		return weigh.choice(pick(sample, random)), true
	}

	return Choice{}, false
}

// weighing is what the candidates of one query have in common.
type weighing struct {
	table Table
	query *Query
	times *poolTimes
	limit time.Duration
	// service and work are the usual times of this call and of those already there, in nanoseconds.
	service float64
	work    float64
}

// sample weighs up to maxSample random members of the tier, and the likely holder of the prompt's prefix.
func (w *weighing) sample(group *poolGroup, f *filter, random func(n int) int, into []candidate) []candidate {
	skipped := false
	for _, part := range group.members(f.tier) {
		for visit := newVisit(len(part), random); visit.left > 0; {
			e := part[visit.next()]
			if !f.admits(e) {
				continue
			}
			if len(into) == maxSample {
				skipped = true

				break
			}
			into = append(into, w.candidate(e))
		}
	}
	if skipped && len(w.query.Blocks) > 0 {
		return w.withHolder(f, into)
	}

	return into
}

// withHolder adds the upstream that is believed to hold the prompt's prefix, unless it is in the sample.
func (w *weighing) withHolder(f *filter, into []candidate) []candidate {
	name, ok := w.table.holder(w.query.Blocks)
	if !ok {
		return into
	}
	place, ok := w.table.index[name]
	if !ok || place.other && !f.tier.other || !place.other && !f.tier.own {
		return into
	}
	e := w.table.entry(name)
	present := slices.ContainsFunc(into, func(c candidate) bool { return c.entry == e })
	if present || e.upstream.Pool != w.query.Pool || !f.admits(e) {
		return into
	}

	return append(into, w.candidate(e))
}

func (w *weighing) candidate(e *entry) candidate {
	now := w.query.Now
	slots := float64(e.slots(w.table.settings))
	ahead := float64(e.inFlight) + e.othersNow(now, w.limit)
	slowness := e.slownessNow(w.times, now)
	c := candidate{entry: e, occupancy: ahead / slots}
	service := w.service * slowness
	if len(w.query.Blocks) > 0 {
		c.cached = float64(e.cache.held(w.query.Blocks)) * e.cache.belief()
		prefill := w.table.settings.Pools[w.query.Pool].PrefillShare
		service *= 1 - prefill*c.cached/float64(len(w.query.Blocks))
	}
	waiting := max(0, ahead+1-slots) / slots * w.work * slowness
	c.expected = time.Duration(waiting + service)
	c.rank = waiting + service*(1+busySlope*min(c.occupancy, 1))
	// Only matters when all are set aside: what failed is then worse than what is slow.
	if e.aside.waiting(now) && e.aside.reason != AsideSlow {
		c.rank += float64(e.aside.until.Sub(now))
	}

	return c
}

func (w *weighing) choice(c candidate) Choice {
	return Choice{Upstream: c.entry.upstream, Expected: c.expected, CachedBlocks: int(c.cached)}
}

// pick compares two random cold candidates and the one with the most cached blocks.
func pick(sample []candidate, random func(n int) int) candidate {
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
	if cold[second].rank < best.rank {
		best = cold[second]
	}
	holder := cold[0]
	for _, c := range cold[1:] {
		if c.cached > holder.cached {
			holder = c
		}
	}
	if holder.cached > 0 && holder.rank < best.rank {
		best = holder
	}

	return best
}

// withoutHot drops the candidates with the most work in place; at least one stays.
func withoutHot(sample []candidate) []candidate {
	var room [maxSample + 1]float64
	occupancies := room[:0]
	for _, c := range sample {
		occupancies = append(occupancies, c.occupancy)
	}
	slices.Sort(occupancies)
	limit := max(hotOccupancy, occupancies[int(hotQuantile*float64(len(sample)-1))])

	return slices.DeleteFunc(sample, func(c candidate) bool { return c.occupancy > limit })
}

func leastRank(sample []candidate) candidate {
	best := sample[0]
	for _, c := range sample[1:] {
		if c.rank < best.rank {
			best = c
		}
	}

	return best
}

// visit walks the numbers below n once each, from a random start by a random stride.
type visit struct {
	n, at, stride, left int
}

func newVisit(n int, random func(n int) int) visit {
	if n < 2 {
		return visit{n: max(n, 1), left: n}
	}
	stride := 1 + random(n-1)
	for gcd(stride, n) != 1 {
		stride = 1 + stride%(n-1)
	}

	return visit{n: n, at: random(n), stride: stride, left: n}
}

func (v *visit) next() int {
	at := v.at
	v.at = (v.at + v.stride) % v.n
	v.left--

	return at
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}

	return a
}
