package chutefleet

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chutework"
)

const (
	// homeCandidates is the number of upstreams in an affinity's order that are compared for a prompt. When the first is
	// busy, the same few others take its prompts and cache them.
	homeCandidates = 3
	// drawnCandidates is the number of further upstreams that are drawn at random. Comparing a few keeps nodes with equally old
	// reports from sending to the same least loaded upstream.
	drawnCandidates = 3
	// drawStride makes draws from one random number independent of each other; it is a prime.
	drawStride = 7919
	// callTokens is the work, in prompt tokens, that a penalty of one call counts as, and waitingTokens that of a call for which
	// an upstream has no free slot.
	callTokens    = 500
	waitingTokens = 2000
	// remoteTokens is the work that being in another zone counts as, remoteResultTokens the same if the results of the
	// call's stages are in the zone: they are several megabytes.
	remoteTokens       = 100
	remoteResultTokens = 4000
	// rereadFactor is how many times the shared part of a prompt counts at an upstream that does not cache it: it takes the
	// time of the others there too, and evicts what they share.
	rereadFactor = 2
	// homeSpeedExponent is the power of an upstream's speed by which prompts are distributed. Above 1 the faster ones are
	// used more: waiting and processing are shorter there.
	homeSpeedExponent = 1.5
	// pauseShare is the share of the longest pause from which on prompts that are processed between two events of a stream
	// count as a delay of the streams there, and latePause the share at which they count in full.
	pauseShare, latePause = 0.6, 1.2
	// answerShare is the weight of the time that the answer's events take, beside the time until the first one: callers wait for
	// the first, and a stream that takes long meets more of what delays it.
	answerShare = 0.05
	// lateStreamTime is how much later a call may begin elsewhere to keep one stream from a pause that makes it late.
	lateStreamTime = 150 * time.Millisecond
)

// Choice is an upstream selected for a call, with what decided.
type Choice struct {
	Upstream
	// Tokens is the number of prompt tokens that it is expected to process for the call.
	Tokens int64
	// Outstanding is the number of prompt tokens that it has to process before, as far as known.
	Outstanding int64
	// Speed is its speed relative to its pool's mean, and Pace how long work takes there at the moment as a multiple of the usual
	// time; 0 if the call was not placed by work.
	Speed float64
	Pace  float64
	// Rank is its place in the order for the call's affinity, from 1; 0 if the call has none or it was drawn at random.
	Rank int
	// FirstEvent is the expected time until the first event; 0 if the call was not placed by work.
	FirstEvent time.Duration
}

// ChooseCall selects the upstream for a call like Choose, and returns what decided.
func (f Fleet) ChooseCall(q Query, now time.Time, tieBreak float64) (Choice, bool) {
	if q.Tokens > 0 && q.Use.Side != SideNew && f.PlacesByWork(q.Pool) {
		if c, ok := f.chooseByWork(q, now, tieBreak); ok {
			return c, true
		}
	}
	u, ok := f.chooseByLoad(q, now, tieBreak)

	return Choice{Upstream: u, Tokens: q.Tokens}, ok
}

// chooseByWork selects the upstream that is expected to begin the answer first: its outstanding work and that of the call,
// at its speed and pace. An upstream that caches the shared part of the prompt has that much less to do.
func (f Fleet) chooseByWork(q Query, now time.Time, tieBreak float64) (Choice, bool) {
	candidates, neighbours := f.workCandidates(q, now, tieBreak)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	home := 0
	if q.Affinity != "" {
		home = min(homeCandidates, neighbours)
		f.moveFirstByAffinity(candidates[:neighbours], q.Affinity, home)
	}
	compared := appendDrawn(candidates[:home:home], inResultZone(candidates[home:], q), drawnCandidates, tieBreak)
	best, bestRank, bestCost := 0, 0, math.Inf(1)
	for i := range compared {
		rank := 0
		if i < home {
			rank = i + 1
		}
		if cost := f.workCost(&compared[i], q, rank, now); cost < bestCost {
			best, bestRank, bestCost = i, rank, cost
		}
	}

	return f.choiceOf(&compared[best], q, bestRank, now), true
}

// inResultZone returns the candidates in the zone with the results of the call's stages, or all if there are none. It reorders
// them.
func inResultZone(candidates []candidate, q Query) []candidate {
	if q.Zone == "" {
		return candidates
	}
	n := 0
	for i := range candidates {
		if candidates[i].Zone == q.Zone {
			candidates[n], candidates[i] = candidates[i], candidates[n]
			n++
		}
	}
	if n == 0 {
		return candidates
	}

	return candidates[:n]
}

// appendDrawn appends a number of the rest, or all if there are no more. It begins at a random one, since the first of
// several equal ones is chosen.
func appendDrawn(compared, rest []candidate, count int, tieBreak float64) []candidate {
	draw := func(n int) float64 { return math.Mod(tieBreak*float64(n*drawStride+1), 1) }
	count = min(count, len(rest))
	offset := int(draw(count) * float64(len(rest)))
	for n := range count {
		// Each draw is from a part of its own, so that none is drawn twice.
		first, end := n*len(rest)/count, (n+1)*len(rest)/count
		compared = append(compared, rest[(offset+first+int(draw(n)*float64(end-first)))%len(rest)])
	}

	return compared
}

func (f Fleet) choiceOf(c *candidate, q Query, rank int, now time.Time) Choice {
	w, _ := f.work.Get(c.ID)
	tokens := q.Tokens
	if rank == 1 {
		tokens -= min(q.SharedTokens, q.Tokens)
	}

	firstEvent, _ := f.ExpectedFirstEvent(c.ID, tokens, now)

	return Choice{
		FirstEvent: firstEvent, Upstream: c.Upstream, Tokens: tokens, Outstanding: int64(w.outstandingTokens(c.member, now)),
		Speed: f.speedOf(c.member, w), Pace: w.paceFactor(now), Rank: rank,
	}
}

// workCost returns the cost of a call at an upstream, in prompt tokens at the usual speed: the time until it is expected to
// begin there, and the delay that it causes to the streams that run there.
func (f Fleet) workCost(c *candidate, q Query, rank int, now time.Time) float64 {
	w, _ := f.work.Get(c.ID)
	tokens, shared := float64(q.Tokens), float64(min(q.SharedTokens, q.Tokens))
	if rank == 1 {
		tokens -= shared
	} else {
		tokens += (rereadFactor - 1) * shared
	}
	calls := w.callsAt(c.member, now)
	work := w.outstandingTokens(c.member, now) + tokens + callTokens*c.penalty(now)
	if free := float64(c.Slots) - calls; free < 1 {
		work += waitingTokens * (1 - free)
	}
	speed := f.speedOf(c.member, w)
	slowness := w.paceFactor(now) / speed

	return work*slowness + f.remoteWork(c, q) + f.streamDelay(q, calls, work*slowness) + f.answerWork(q)/speed
}

// answerWork returns what the events of the answer count as at an upstream of the pool's mean speed.
func (f Fleet) answerWork(q Query) float64 {
	pool := f.workPools[q.Pool]
	if q.Events <= 0 || pool.known == 0 {
		return 0
	}

	return answerShare * q.Events * math.Exp(pool.logSum/float64(pool.known)) * f.rate(q.Pool)
}

// remoteWork returns the work that the distance of an upstream counts as.
func (f Fleet) remoteWork(c *candidate, q Query) float64 {
	switch zone := cmp.Or(q.Zone, f.zone); {
	case c.Zone == zone:
		return 0
	case q.Zone != "":
		return remoteResultTokens
	default:
		return remoteTokens
	}
}

// streamDelay returns what the delay of an upstream's streams counts as, if it has tokens to process that take some time at the
// usual speed.
func (f Fleet) streamDelay(q Query, streams, tokens float64) float64 {
	if q.Pause <= 0 {
		return 0
	}
	rate := f.rate(q.Pool)
	pauses := tokens / rate / float64(q.Pause/time.Millisecond)
	late := min(max(0, (pauses-pauseShare)/(latePause-pauseShare)), 1)

	return late * streams * rate * float64(lateStreamTime/time.Millisecond)
}

// callsAt returns the number of calls at an upstream, those of other nodes as last reported.
func (w work) callsAt(m *member, now time.Time) float64 {
	if now.Sub(w.othersAt) >= chutework.ReportLifetime {
		return m.estimatedLoad(now)
	}

	return float64(m.inFlight + w.calls)
}

// penalty returns the load, in calls, that recent failures count as.
func (c *candidate) penalty(now time.Time) float64 {
	penalty := failurePenalty * c.recentFailures(now)
	if now.Before(c.fullUntil) {
		penalty += fullPenalty
	}

	return penalty
}

// workCandidates returns the upstreams that may get the call: all of a small pool, and of a large one the neighbours of the
// affinity in the ring of its zone, and a random part of the preferred zone. The first of them, by the returned number, are
// those that may cache the affinity's prompts; they don't depend on tieBreak.
func (f Fleet) workCandidates(q Query, now time.Time, tieBreak float64) ([]candidate, int) {
	if f.index(q.Pool, q.Use).size <= maxScanned {
		candidates := withoutUnreachable(f.candidates(q, now), q.Unreachable)

		return candidates, len(candidates)
	}
	candidates := make([]candidate, 0, affinityWindow+otherZoneSample)
	if q.Affinity != "" {
		for _, zone := range f.zonesByAffinity(q) {
			candidates = f.appendSample(candidates, q, zone, affinityPosition(q.Affinity), affinityWindow, now)
			if len(candidates) > 0 {
				break
			}
		}
	}
	neighbours := len(candidates)
	random := rand.NewPCG(math.Float64bits(tieBreak), 0)
	for _, zone := range f.zonesByPreference(q, tieBreak) {
		candidates = f.appendRandom(candidates, q, zone, random, now)
		if len(candidates) >= otherZoneSample {
			break
		}
	}

	// The neighbours are in reachable zones, so they stay the first.
	return withoutUnreachable(candidates, q.Unreachable), neighbours
}

// appendRandom appends up to otherZoneSample candidates of a zone that are drawn at random and are not among the candidates.
func (f Fleet) appendRandom(candidates []candidate, q Query, zone string, random *rand.PCG, now time.Time) []candidate {
	known := len(candidates)
	r := f.index(q.Pool, q.Use).zoneRing(zone)
	if r.size <= otherZoneSample {
		// Draws could miss some of so few.
		for id := range r.from(0) {
			candidates = f.appendNew(candidates, q, id, now)
		}

		return candidates
	}
	for looked := 0; looked < maxLooked && len(candidates) < known+otherZoneSample; looked++ {
		candidates = f.appendNew(candidates, q, r.draw(random), now)
	}

	return candidates
}

// appendNew appends an upstream if it is a candidate and not among the candidates.
func (f Fleet) appendNew(candidates []candidate, q Query, id string, now time.Time) []candidate {
	m, ok := f.members.Get(id)
	if !ok || slices.ContainsFunc(candidates, func(c candidate) bool { return c.member == m }) || !f.isCandidate(m, q, now) {
		return candidates
	}

	return append(candidates, newCandidate(m, now))
}

// moveFirstByAffinity moves the first candidates in the order of an affinity to the front: rendezvous hashing weighted by their
// speeds, so that faster upstreams cache more prompts. A whole sort would take longer than all the rest of a choice.
func (f Fleet) moveFirstByAffinity(candidates []candidate, affinity string, count int) {
	for i := range candidates {
		uniform := (float64(pairHash(affinity, candidates[i].Name)) + 1) / (math.MaxUint64 + 2)
		w, _ := f.work.Get(candidates[i].ID)
		candidates[i].affinity = -math.Log(uniform) / homeWeights[f.speedClass(candidates[i].member, w)+maxSpeedClass]
	}
	for n := range count {
		first := n
		for i := n + 1; i < len(candidates); i++ {
			if candidates[i].affinity < candidates[first].affinity {
				first = i
			}
		}
		candidates[n], candidates[first] = candidates[first], candidates[n]
	}
}
