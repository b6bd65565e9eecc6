package chutefleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// homeCandidates is the number of upstreams in an affinity's order that are compared for a prompt. When the first is
	// busy, the same few others take its prompts and cache them.
	homeCandidates = 3
	// drawnCandidates is the number of further upstreams that are drawn at random. Comparing a few keeps nodes with
	// equally old reports from sending to the same least loaded upstream.
	drawnCandidates = 3
	// callTokens is the work, in prompt tokens, that a penalty of one call counts as, and waitingTokens that of a call for which
	// an upstream has no free slot.
	callTokens    = 500
	waitingTokens = 2000
	// remoteTokens is the work that being in another zone than the results of the call's stages counts as.
	remoteTokens = 250
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
	candidates := f.workCandidates(q, now, tieBreak)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	home := len(candidates)
	if q.Affinity != "" {
		f.sortByAffinity(candidates, q.Affinity)
		home = min(homeCandidates, len(candidates))
	}
	compared := candidates[:home:home]
	for n := range min(drawnCandidates, len(candidates)-home) {
		// Each draw is from a part of its own, so that none is drawn twice.
		rest := candidates[home:]
		first, end := n*len(rest)/drawnCandidates, (n+1)*len(rest)/drawnCandidates
		if len(rest) <= drawnCandidates {
			first, end = n, n+1
		}
		draw := math.Mod(tieBreak*float64(n*7919+1), 1)
		compared = append(compared, rest[first+int(draw*float64(end-first))])
	}
	var best Choice
	bestCost := math.Inf(1)
	for i := range compared {
		tokens, rank := q.Tokens, 0
		if q.Affinity != "" && i < home {
			rank = i + 1
		}
		if rank == 1 {
			tokens -= min(q.SharedTokens, q.Tokens)
		}
		if cost := f.workCost(&compared[i], q, tokens, now); cost < bestCost {
			best, bestCost = f.choiceOf(&compared[i], tokens, rank, now), cost
		}
	}

	return best, true
}

func (f Fleet) choiceOf(c *candidate, tokens int64, rank int, now time.Time) Choice {
	w, _ := f.work.Get(c.ID)

	return Choice{
		Upstream: c.Upstream, Tokens: tokens, Outstanding: int64(f.outstandingTokens(c.member, now)),
		Speed: f.speed(c.member), Pace: w.paceFactor(now), Rank: rank,
	}
}

// workCost returns the time until an upstream is expected to begin a call with tokens to process, in prompt tokens at the
// usual speed.
func (f Fleet) workCost(c *candidate, q Query, tokens int64, now time.Time) float64 {
	w, _ := f.work.Get(c.ID)
	work := f.outstandingTokens(c.member, now) + float64(tokens) + callTokens*c.penalty(now)
	if free := float64(c.Slots) - c.load; free < 1 {
		work += waitingTokens * (1 - free)
	}
	if q.Zone != "" && c.Zone != q.Zone {
		work += remoteTokens
	}

	return work * w.paceFactor(now) / f.speed(c.member)
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
// affinity in the ring of its zone, and a random part of the preferred zone.
func (f Fleet) workCandidates(q Query, now time.Time, tieBreak float64) []candidate {
	if f.index(q.Pool, q.Use).size <= maxScanned {
		return withoutUnreachable(f.candidates(q, now), q.Unreachable)
	}
	var candidates []candidate
	if q.Affinity != "" {
		for _, zone := range f.zonesByAffinity(q) {
			candidates = f.appendSample(candidates, q, zone, affinityPosition(q.Affinity), affinityWindow, now)
			if len(candidates) > 0 {
				break
			}
		}
	}
	for _, zone := range f.zonesByPreference(q, tieBreak) {
		drawn := f.appendSample(nil, q, zone, uint64(tieBreak*(1<<63))*2, otherZoneSample, now)
		for i := range drawn {
			if !slices.ContainsFunc(candidates, func(c candidate) bool { return c.ID == drawn[i].ID }) {
				candidates = append(candidates, drawn[i])
			}
		}
		if len(candidates) >= otherZoneSample {
			break
		}
	}

	return candidates
}

// sortByAffinity sorts candidates by rendezvous hashing weighted by their speeds, so that faster upstreams cache more prompts.
func (f Fleet) sortByAffinity(candidates []candidate, affinity string) {
	for i := range candidates {
		uniform := (float64(pairHash(affinity, candidates[i].Name)) + 1) / (math.MaxUint64 + 2)
		candidates[i].affinity = -math.Log(uniform) / f.speed(candidates[i].member)
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.affinity, b.affinity) })
}
