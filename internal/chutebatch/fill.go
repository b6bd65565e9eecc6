package chutebatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chuteroute"
)

const (
	// largeDataBytes is the size of a stage's inputs and results from which on they are
	// worth keeping in one zone: a tenth of a second's share of a zone's link.
	largeDataBytes = 100_000
	// slowThreshold is the measured time of calls, against the expected one, from which
	// on an upstream gets parts only if the others can't take them.
	slowThreshold = 2.2
)

// Candidate is an upstream that may get calls.
type Candidate struct {
	Upstream string
	Zone     string
	// Slowness is the measured time of its calls against the expected one; 0 if unknown.
	Slowness float64
}

// FillSlots gives each free slot of the lane's upstreams a call, while parts wait, and returns the calls.
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

// freeCandidates lists the seats with a free slot, the quick ones first.
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

// slowClass is 1 for a slow seat, else 0.
func (s Candidate) slowClass() int {
	if s.Slowness > slowThreshold {
		return 1
	}

	return 0
}

// fillRound is one round of Fill.
type fillRound struct {
	collector  Collector
	lane       Lane
	batching   chuteroute.Batching
	now        time.Time
	candidates []Candidate
	// freeBytes is the room at each seat.
	freeBytes []int64
}

// canFinish says whether the job's parts can be done before nobody waits any more.
func (f *fillRound) canFinish(j *jobState) bool {
	return f.now.Add(f.batching.CallTime).Before(j.Deadline)
}

// nextCandidate returns the seat for the first waiting job that any free seat suits.
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

// candidateFor returns a seat for the job, at best one where its results are needed; -1 if there is none.
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

// startCall takes the parts of one call, in the order of their jobs, and the seat out of the
// round; false means that the seat is better left free for now.
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

// smallCallShare is the part of a full call below which a call is small: its fixed cost is
// then well above that of its parts.
const smallCallShare = 0.5

// shouldDelayCall says whether a call is small only for want of room that comes free soon.
//
// Each call has a fixed cost of several times that of a part. Where room for
// results binds, a call of three parts takes the slot for 0.16 s while the room for
// twenty comes free: pools whose calls came out full and tiny by turns made 30 of
// 42 parts a call under load. Where the room stays taken, small calls go on after a
// while, so that parts that need little room do not wait for it.
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
		// The small call would have ended by now.
		f.collector.delayedSince = f.collector.delayedSince.Delete(upstream)

		return false
	}

	return true
}

// hasExpiringResults says whether results at an upstream are known that will be freed.
func (c Collector) hasExpiringResults(upstream string, now time.Time) bool {
	memory, _ := c.memories.Get(upstream)

	return slices.ContainsFunc(memory.allocations, func(h allocation) bool { return !h.expiresAt.IsZero() && now.Before(h.expiresAt) })
}

// mayRunAt says whether the job's parts may run at the seat by now.
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

// preferenceWait is how long heavy parts wait for an upstream in the zone where their data
// is, and all parts for a quick upstream before a slow one: a full call, after which it
// is free again. Sooner, data crosses zones that could have stayed; later, the answer is late.
func (f *fillRound) preferenceWait() time.Duration {
	return f.batching.FullCall()
}

// finishesInTime says whether a full call at a slow seat ends in time to be of use.
func (f *fillRound) finishesInTime(j *jobState, s Candidate) bool {
	fullCallTime := f.batching.FullCall()
	callEnd := f.now.Add(time.Duration(s.Slowness*float64(fullCallTime)) + j.TimeAfterStage)
	if j.queueKey().dueBy < fullCallEnd(f.batching, f.now) {
		return callEnd.Before(j.Deadline)
	}

	return callEnd.Before(j.TargetAt)
}

// hasLargeData says whether the job's data should not cross zones.
//
// Each part fetches all inputs, so several of them outweigh the rest. Results weigh
// only if the call fetches them: those for another stage are fetched where that stage
// is then made, beside them. Waiting for a zone with them as well would take time from the
// aim of each request with a chain of stages, for nothing.
func (j *jobState) hasLargeData() bool {
	isLastStage := len(j.FollowingPools) == 0

	return isLastStage && j.ResultBytes*int64(j.Parts) >= largeDataBytes || len(j.Inputs) > 1
}

// withCallStarted takes the call's parts out of the queue and reserves room for their results.
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
