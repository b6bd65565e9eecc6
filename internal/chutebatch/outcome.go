package chutebatch

import (
	"slices"
	"time"
)

const (
	// maxFailuresPerPart bounds how often the parts of one job may fail and be queued again.
	maxFailuresPerPart = 3
	// maxEndedUpstreams is the number of upstreams that may end under one job. Tries count parts,
	// and a job of sixteen has 48: enough to end each upstream of a pool several times
	// over, in a second. A job that stood beside such a one runs alone after the first
	// end, and is done by its second call.
	maxEndedUpstreams = 2
	// refusedPause is how long an upstream that refused a call gets no other: its
	// slot is taken by a call of somebody else, which lasts longer than this.
	refusedPause = 60 * time.Millisecond
)

// CallOutcome is how a call ended as a whole.
type CallOutcome string

// The ends of a call.
const (
	// CallAnswered: each part has its own end.
	CallAnswered CallOutcome = "Answered"
	// CallRefused: the upstream certainly did not take the call.
	CallRefused CallOutcome = "Refused"
	// CallLost: the upstream may or may not have worked on it.
	CallLost CallOutcome = "Lost"
)

// JobChanges is what follows from the end of a call.
type JobChanges struct {
	// Completed lists the jobs that have all their results now.
	Completed []uint64
	// Failed lists the jobs that are given up.
	Failed []FailedJob
	// ToFree are results of jobs that nobody waits for any more.
	ToFree []FreeRequest
	// Requeued counts the parts that wait again after an upstream may have worked on
	// them, or refused them, which the pool's repeats are spent on.
	Requeued int
}

// FailedJob is a job without results and why.
type FailedJob struct {
	Job    Job
	Reason PartFailure
}

// Results returns where a job's results lie, in the order of its parts.
func (c Collector) Results(id uint64) []Result {
	j, _ := c.jobs.Get(id)

	return j.results
}

// Job returns a job as it was asked for.
func (c Collector) Job(id uint64) Job {
	j, _ := c.jobs.Get(id)

	return j.Job
}

// Call returns a call in flight.
func (c Collector) Call(id uint64) (Call, bool) {
	return c.calls.Get(id)
}

// WithCallEnded takes in the end of a call; ends has one entry a part if it was answered.
// At most allowed parts are queued again, what fails beyond that fails its job.
func (c Collector) WithCallEnded(id uint64, outcome CallOutcome, partOutcomes []PartOutcome, zone string, maxRequeued int, now time.Time) (Collector, JobChanges) {
	call, ok := c.calls.Get(id)
	if !ok {
		return c, JobChanges{}
	}
	c.calls = c.calls.Delete(id)
	if outcome == CallRefused {
		c.pausedUntil = c.pausedUntil.Set(call.Upstream, now.Add(refusedPause))
	}
	completion := callCompletion{collector: c, call: call, zone: zone, maxRequeued: maxRequeued, now: now}
	for i, part := range call.Parts {
		partOutcome := PartOutcome{Failure: PartErrored}
		if outcome == CallAnswered && i < len(partOutcomes) {
			partOutcome = partOutcomes[i]
		}
		completion.applyOutcome(part, partOutcome, outcome == CallRefused)
	}
	if refusedBytes := call.sumRefusedBytes(partOutcomes); refusedBytes > 0 {
		completion.collector = completion.collector.withMemoryRefused(call, refusedBytes, now)
	}

	return completion.collector, completion.changes
}

// sumRefusedBytes sums the sizes of the parts that found no room.
func (c Call) sumRefusedBytes(partOutcomes []PartOutcome) int64 {
	refusedBytes := int64(0)
	for i := range min(len(partOutcomes), len(c.Jobs)) {
		if partOutcomes[i].Failure == PartNoMemory {
			refusedBytes += c.Jobs[i].ResultBytes
		}
	}

	return refusedBytes
}

// Expire gives up the jobs whose waiting parts can't be done in time any more, and
// those that are late and starve behind others that are not.
//
// Without it they would stand in the queue until their callers' deadlines, and be
// run after their inputs are gone, at the full price of a call.
func (c Collector) Expire(now time.Time) (Collector, JobChanges) {
	var changes JobChanges
	for i := c.jobs.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		reason := c.expiryReason(&j, now)
		if reason == "" {
			continue
		}
		c, changes = c.withFailed(j, reason, changes)
	}

	return c, changes
}

// expiryReason says why a waiting job is to be given up; empty if it is not.
func (c Collector) expiryReason(j *jobState, now time.Time) PartFailure {
	batching := c.pools[j.Pool]
	switch {
	case len(j.pending) == 0:
		return ""
	case !now.Add(batching.CallTime).Before(j.Deadline):
		return PartLate
	case len(j.pending) == j.Parts && j.waitedTooLong(batching, now) && c.hasTimelyJobs(j.Lane(), now):
		return PartOverloaded
	default:
		return ""
	}
}

// hasTimelyJobs says whether jobs that are not late wait in a lane.
func (c Collector) hasTimelyJobs(l Lane, now time.Time) bool {
	earliestEnd := fullCallEnd(c.pools[l.Pool], now)
	timely := false
	c.visitWaiting(l, now, func(j *jobState) bool {
		timely = j.queueKey().dueBy >= earliestEnd

		return false
	})

	return timely
}

// merged adds up what follows from two ends.
func (e JobChanges) merged(other JobChanges) JobChanges {
	return JobChanges{
		Completed: append(e.Completed, other.Completed...), Failed: append(e.Failed, other.Failed...),
		ToFree: append(e.ToFree, other.ToFree...), Requeued: e.Requeued + other.Requeued,
	}
}

// withFailed gives a job up.
func (c Collector) withFailed(j jobState, reason PartFailure, changes JobChanges) (Collector, JobChanges) {
	c, toFree := c.WithoutJob(j.ID)
	changes.ToFree = append(changes.ToFree, toFree...)
	changes.Failed = append(changes.Failed, FailedJob{Job: j.Job, Reason: reason})

	return c, changes
}

// callCompletion is one pass over the parts of a call that ended.
type callCompletion struct {
	collector   Collector
	call        Call
	zone        string
	maxRequeued int
	now         time.Time
	changes     JobChanges
}

// applyOutcome takes in the end of one part.
func (e *callCompletion) applyOutcome(p Part, outcome PartOutcome, refused bool) {
	switch outcome.Failure {
	case "":
		e.storeResult(p, outcome.Ref)
	case PartNoMemory:
		e.requeuePart(p)
	case PartErrored:
		e.retryPart(p, outcome.Failure, refused)
	default:
		e.failJob(p, outcome.Failure)
	}
}

// storeResult files a part's result, or frees it if its job is gone.
func (e *callCompletion) storeResult(p Part, ref string) {
	j, ok := e.collector.jobs.Get(p.Job)
	if !ok {
		e.collector = e.collector.withoutReservation(e.call.Upstream, p)
		e.changes.ToFree = appendFree(e.changes.ToFree, Result{Ref: ref, Upstream: e.call.Upstream})

		return
	}
	e.collector = e.collector.withResultStored(e.call, p, ref, e.now)
	j.results = slices.Clone(j.results)
	j.results[p.Index] = Result{Ref: ref, Upstream: e.call.Upstream, Zone: e.zone}
	j.missingResults--
	e.collector = e.collector.withJobState(j)
	if j.missingResults == 0 {
		e.changes.Completed = append(e.changes.Completed, j.ID)
	}
}

// requeuePart queues a part once more that its upstream had no room for.
//
// After all nodes were killed the room is full of what nobody frees, for seconds.
// Counted as failures, such parts used up their jobs' tries within milliseconds, and
// requests with seconds left were refused. How often they are sent is bounded by the
// room that is believed to come free.
func (e *callCompletion) requeuePart(p Part) {
	e.collector = e.collector.withoutReservation(e.call.Upstream, p)
	if j, ok := e.collector.jobs.Get(p.Job); ok {
		j.pending = append(slices.Clip(j.pending), p.Index)
		e.collector = e.collector.withJobState(j)
	}
}

// retryPart queues a part once more; a refused call costs no try.
func (e *callCompletion) retryPart(p Part, reason PartFailure, refused bool) {
	e.collector = e.collector.withoutReservation(e.call.Upstream, p)
	j, ok := e.collector.jobs.Get(p.Job)
	if !ok {
		return
	}
	if !refused {
		j.failures++
	}
	if j.endedUpstreams >= maxEndedUpstreams {
		e.failJob(p, PartUpstreamsEnded)

		return
	}
	if j.failures > maxFailuresPerPart*j.Parts || e.changes.Requeued >= e.maxRequeued {
		e.failJob(p, reason)

		return
	}
	e.changes.Requeued++
	j.pending = append(slices.Clip(j.pending), p.Index)
	e.collector = e.collector.withJobState(j)
}

// failJob gives up the part's job.
func (e *callCompletion) failJob(p Part, reason PartFailure) {
	e.collector = e.collector.withoutReservation(e.call.Upstream, p)
	j, ok := e.collector.jobs.Get(p.Job)
	if !ok {
		return
	}
	e.collector, e.changes = e.collector.withFailed(j, reason, e.changes)
}

// withResultStored turns the room reserved for a part into room held until its time is over.
func (c Collector) withResultStored(call Call, p Part, ref string, now time.Time) Collector {
	memory, _ := c.memories.Get(call.Upstream)
	allocations := slices.Clone(memory.allocations)
	for i := range allocations {
		if allocations[i].part == p && allocations[i].ref == "" {
			allocations[i].ref = ref
			allocations[i].expiresAt = now.Add(c.pools[call.Pool].ResultTTL)
		}
	}
	c.memories = c.memories.Set(call.Upstream, newResultMemory(allocations).at(now))

	return c
}

// withoutReservation gives back the room reserved for a part.
func (c Collector) withoutReservation(upstream string, p Part) Collector {
	memory, _ := c.memories.Get(upstream)
	c.memories = c.memories.Set(upstream, memory.without(func(h allocation) bool { return h.part == p && h.ref == "" }))

	return c
}
