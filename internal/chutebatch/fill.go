package chutebatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chuteroute"
)

const (
	// largeDataBytes is the result size from which a job waits for an upstream in the zone
	// where its results are needed: a tenth of what a zone's link carries in a second.
	largeDataBytes = 100_000
	// slowThreshold is the ratio of measured to expected call time above which an upstream
	// gets parts only if the others can't run them.
	slowThreshold = 2.2
)

// Candidate is an upstream that may get calls.
type Candidate struct {
	Upstream string
	Zone     string
	// Slowness is the ratio of measured to expected call time; 0 if unknown.
	Slowness float64
}

// FillSlots starts a call in each free slot of the candidates while parts wait in the
// lane, and returns the calls.
func (c Collector) FillSlots(l Lane, candidates []Candidate, now time.Time) (Collector, []Call) {
	batching, ok := c.pools[l.Pool]
	if !ok || c.WaitingParts(l) == 0 {
		return c, nil
	}
	round := fillRound{collector: c, lane: l, batching: batching, now: now, candidates: c.freeCandidates(l.Pool, candidates, now)}
	round.freeBytes = make([]int64, len(round.candidates))
	for i, s := range round.candidates {
		round.freeBytes[i] = math.MaxInt64
		if batching.Room > 0 {
			round.freeBytes[i] = c.freeBytes(l.Pool, s.Upstream, now)
		}
	}
	var calls []Call
	for len(round.candidates) > 0 {
		candidateIndex, found := round.nextCandidate()
		if !found {
			break
		}
		if call, ok := round.startCall(candidateIndex); ok {
			calls = append(calls, call)
		}
	}

	return round.collector, calls
}

// freeCandidates lists the candidates that have a free slot and are not paused, slow
// ones last.
func (c Collector) freeCandidates(pool string, candidates []Candidate, now time.Time) []Candidate {
	callsInFlight := map[string]int{}
	for i := c.calls.Iterator(); !i.Done(); {
		_, call, _ := i.Next()
		callsInFlight[call.Upstream]++
	}
	var free []Candidate
	for _, s := range candidates {
		pausedUntil, _ := c.pausedUntil.Get(s.Upstream)
		if callsInFlight[s.Upstream] < c.pools[pool].Slots && !now.Before(pausedUntil) {
			free = append(free, s)
		}
	}
	slices.SortStableFunc(free, func(a, b Candidate) int { return cmp.Compare(a.slowClass(), b.slowClass()) })

	return free
}

// slowClass returns 1 for a slow candidate, else 0.
func (s Candidate) slowClass() int {
	if s.Slowness > slowThreshold {
		return 1
	}

	return 0
}

// fillRound is the state of one run of FillSlots.
type fillRound struct {
	collector  Collector
	lane       Lane
	batching   chuteroute.Batching
	now        time.Time
	candidates []Candidate
	// freeBytes is the free result memory at each candidate.
	freeBytes []int64
}

// canFinish reports whether a call that starts now can end before the job's deadline.
func (f *fillRound) canFinish(j *jobState) bool {
	return f.now.Add(f.batching.CallTime).Before(j.Deadline)
}

// nextCandidate returns the index of the candidate for the first waiting job that can
// run at one; false if there is none.
func (f *fillRound) nextCandidate() (int, bool) {
	candidateIndex := -1
	f.collector.visitWaiting(f.lane, f.now, func(j *jobState) bool {
		if f.canFinish(j) {
			candidateIndex = f.candidateFor(j)
		}

		return candidateIndex < 0
	})

	return candidateIndex, candidateIndex >= 0
}

// candidateFor returns the index of a candidate for the job, preferably in the zone where
// its results are needed; -1 if there is none.
func (f *fillRound) candidateFor(j *jobState) int {
	fallback := -1
	for i, s := range f.candidates {
		if f.freeBytes[i] < j.ResultBytes {
			continue
		}
		if s.Zone == j.Zone && s.slowClass() == 0 {
			return i
		}
		if fallback < 0 && f.mayRunAt(j, s) {
			fallback = i
		}
	}

	return fallback
}

// startCall removes the candidate from the round and starts a call of waiting parts
// there, in queue order; false means that the slot stays free for now.
func (f *fillRound) startCall(candidateIndex int) (Call, bool) {
	var parts []Part
	freeBytes := f.freeBytes[candidateIndex]
	notFitting := 0
	f.collector.visitWaiting(f.lane, f.now, func(j *jobState) bool {
		if !f.canFinish(j) || !f.mayRunAt(j, f.candidates[candidateIndex]) || j.Isolated && len(parts) > 0 {
			return true
		}
		for _, partIndex := range j.pending {
			if len(parts) == f.batching.BatchSize {
				return false
			}
			if freeBytes < j.ResultBytes {
				notFitting++

				continue
			}
			parts = append(parts, Part{Job: j.ID, Index: partIndex})
			freeBytes -= j.ResultBytes
		}

		return !j.Isolated || len(parts) == 0
	})
	upstream := f.candidates[candidateIndex].Upstream
	f.candidates = slices.Delete(f.candidates, candidateIndex, candidateIndex+1)
	f.freeBytes = slices.Delete(f.freeBytes, candidateIndex, candidateIndex+1)
	if f.shouldDelayCall(upstream, len(parts), notFitting) {
		return Call{}, false
	}
	f.collector.lastCallID++
	call := Call{ID: f.collector.lastCallID, Pool: f.lane.Pool, Lane: f.lane, Upstream: upstream, Parts: parts, freeBytes: freeBytes}
	f.collector, call = f.collector.withCallStarted(call)

	return call, true
}

// smallCallShare is the fraction of a full batch below which a call is small: its fixed
// cost is then well above that of its parts.
const smallCallShare = 0.5

// shouldDelayCall reports whether a call is small only because result memory is short,
// and memory will be released soon.
//
// The fixed cost of a call is several times that of a part. If no memory is released within CallTime, the
// small call goes out.
func (f *fillRound) shouldDelayCall(upstream string, parts, notFitting int) bool {
	smallSize := int(smallCallShare * float64(f.batching.BatchSize))
	if parts >= smallSize || parts+notFitting < smallSize || !f.collector.hasExpiringResults(upstream, f.now) {
		f.collector.delayedSince = f.collector.delayedSince.Delete(upstream)

		return false
	}
	since, delayed := f.collector.delayedSince.Get(upstream)
	switch {
	case !delayed:
		f.collector.delayedSince = f.collector.delayedSince.Set(upstream, f.now)
	case f.now.Sub(since) >= f.batching.CallTime:
		// A small call sent at once would have ended by now.
		f.collector.delayedSince = f.collector.delayedSince.Delete(upstream)

		return false
	}

	return true
}

// hasExpiringResults reports whether the upstream stores results of this collector that
// will be freed or expire.
func (c Collector) hasExpiringResults(upstream string, now time.Time) bool {
	memory, _ := c.memories.Get(upstream)

	return slices.ContainsFunc(memory.allocations, func(h allocation) bool { return !h.expiresAt.IsZero() && now.Before(h.expiresAt) })
}

// mayRunAt reports whether the job's parts may run at the candidate now.
func (f *fillRound) mayRunAt(j *jobState, s Candidate) bool {
	waited := f.now.Sub(j.QueuedAt)
	if s.slowClass() > 0 && (waited < f.preferenceWait() || !f.finishesInTime(j, s)) {
		return false
	}
	if j.Zone == "" || j.Zone == s.Zone || !j.hasLargeData() {
		return true
	}

	return waited >= f.preferenceWait()
}

// preferenceWait returns how long jobs with large data wait for an upstream in their
// zone, and all jobs for an upstream that is not slow: the time of a full call, after
// which such an upstream is free again. A shorter wait sends data to other zones without
// need, a longer one makes answers late.
func (f *fillRound) preferenceWait() time.Duration {
	return f.batching.FullCall()
}

// finishesInTime reports whether a full call at a slow candidate ends early enough for
// the job: before its target time, or before its deadline if it is late already.
func (f *fillRound) finishesInTime(j *jobState, s Candidate) bool {
	fullCallTime := f.batching.FullCall()
	callEnd := f.now.Add(time.Duration(s.Slowness*float64(fullCallTime)) + j.TimeAfterStage)
	if j.queueKey().dueBy < fullCallEnd(f.batching, f.now) {
		return callEnd.Before(j.Deadline)
	}

	return callEnd.Before(j.TargetAt)
}

// hasLargeData reports whether the job's data should not cross zones.
//
// Each part fetches all inputs, so several inputs outweigh the results, which count only at the last stage: those of
// other stages are fetched near by. A chain that waited for a zone at each stage would gain nothing.
func (j *jobState) hasLargeData() bool {
	isLastStage := len(j.FollowingPools) == 0

	return isLastStage && j.ResultBytes*int64(j.Parts) >= largeDataBytes || len(j.Inputs) > 1
}

// withCallStarted removes the call's parts from the queue and reserves memory for their
// results.
func (c Collector) withCallStarted(call Call) (Collector, Call) {
	var reservations []allocation
	for _, p := range call.Parts {
		j, _ := c.jobs.Get(p.Job)
		j.pending = slices.DeleteFunc(slices.Clone(j.pending), func(i int) bool { return i == p.Index })
		c = c.withJobState(j)
		call.Jobs = append(call.Jobs, j.Job)
		reservations = append(reservations, allocation{part: p, bytes: j.ResultBytes})
	}
	memory, _ := c.memories.Get(call.Upstream)
	c.memories = c.memories.Set(call.Upstream, memory.with(reservations...))
	c.calls = c.calls.Set(call.ID, call)

	return c, call
}
