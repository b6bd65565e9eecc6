package chutebatch

import (
	"slices"
	"time"
)

const (
	// maxFailuresPerPart is the number of failures after which a job fails, as an average
	// over its parts.
	maxFailuresPerPart = 3
	// maxEndedUpstreams is the number of upstreams that may end while they run one job; maxFailuresPerPart would
	// allow a job of 16 parts 48. A job that only shared a call with the cause is isolated after the first end.
	maxEndedUpstreams = 2
	// refusedPause is how long an upstream that refused a call gets no other call: its
	// slot is taken by another collector's call, which lasts longer than this.
	refusedPause = 60 * time.Millisecond
)

// CallOutcome is how a call ended as a whole.
type CallOutcome string

// The outcomes of a call.
const (
	// CallAnswered: the upstream answered, and each part has its own outcome.
	CallAnswered CallOutcome = "Answered"
	// CallRefused: the upstream certainly did not run the call.
	CallRefused CallOutcome = "Refused"
	// CallLost: the upstream may or may not have run the call.
	CallLost CallOutcome = "Lost"
)

// JobChanges lists what the end of a call or of an upstream, or the passing of time,
// changed in the jobs.
type JobChanges struct {
	// Completed lists the ids of the jobs that now have all their results.
	Completed []uint64
	// Failed lists the jobs that have failed and are removed.
	Failed []FailedJob
	// ToFree lists results that are no longer needed.
	ToFree []FreeRequest
	// Requeued counts the parts that are queued again after an upstream may have run
	// them or refused them. They count against the retry budget of the pool.
	Requeued int
}

// FailedJob is a job that failed, with the reason.
type FailedJob struct {
	Job    Job
	Reason PartFailure
}

// Results returns the locations of a job's results, in the order of its parts.
func (c Collector) Results(id uint64) []Result {
	j, _ := c.jobs.Get(id)

	return j.results
}

// Job returns a job that the collector holds, the zero Job if it does not.
func (c Collector) Job(id uint64) Job {
	j, _ := c.jobs.Get(id)

	return j.Job
}

// Call returns a call in flight; false if there is none with this id.
func (c Collector) Call(id uint64) (Call, bool) {
	return c.calls.Get(id)
}

// WithCallEnded applies the outcome of a call that ran in the zone; partOutcomes has one
// entry for each part if the call was answered. At most maxRequeued failed parts are
// queued again; each further one fails its job. Parts that the upstream had no memory for
// are queued again without limit.
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

// sumRefusedBytes returns the expected size of the results that the upstream had no
// memory for.
func (c Call) sumRefusedBytes(partOutcomes []PartOutcome) int64 {
	refusedBytes := int64(0)
	for i := range min(len(partOutcomes), len(c.Jobs)) {
		if partOutcomes[i].Failure == PartNoMemory {
			refusedBytes += c.Jobs[i].ResultBytes
		}
	}

	return refusedBytes
}

// Expire fails the jobs whose waiting parts can't finish before their deadline, and
// late jobs that have waited too long behind jobs that are not late.
//
// Without it such jobs would wait in the queue until their callers' deadlines, and run
// after their inputs are gone, at the full cost of a call.
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

// expiryReason returns why a waiting job fails now; empty if it does not.
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

// hasTimelyJobs reports whether jobs that are not late wait in a lane.
func (c Collector) hasTimelyJobs(l Lane, now time.Time) bool {
	earliestEnd := fullCallEnd(c.pools[l.Pool], now)
	timely := false
	c.visitWaiting(l, now, func(j *jobState) bool {
		timely = j.queueKey().dueBy >= earliestEnd

		return false
	})

	return timely
}

// merged returns the changes of both values.
func (e JobChanges) merged(other JobChanges) JobChanges {
	return JobChanges{
		Completed: append(e.Completed, other.Completed...), Failed: append(e.Failed, other.Failed...),
		ToFree: append(e.ToFree, other.ToFree...), Requeued: e.Requeued + other.Requeued,
	}
}

// withFailed removes a job and adds its failure and its results to the changes.
func (c Collector) withFailed(j jobState, reason PartFailure, changes JobChanges) (Collector, JobChanges) {
	c, toFree := c.WithoutJob(j.ID)
	changes.ToFree = append(changes.ToFree, toFree...)
	changes.Failed = append(changes.Failed, FailedJob{Job: j.Job, Reason: reason})

	return c, changes
}

// callCompletion applies the outcomes of the parts of one call.
type callCompletion struct {
	collector   Collector
	call        Call
	zone        string
	maxRequeued int
	now         time.Time
	changes     JobChanges
}

// applyOutcome applies the outcome of one part.
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

// storeResult records a part's result, or frees it if its job is gone.
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

// requeuePart queues a part again that its upstream had no memory for. It does not count as a failure: after all
// nodes were killed, results that no node frees fill the memory for seconds. The estimate of free memory bounds how
// often the parts are sent.
func (e *callCompletion) requeuePart(p Part) {
	e.collector = e.collector.withoutReservation(e.call.Upstream, p)
	if j, ok := e.collector.jobs.Get(p.Job); ok {
		j.pending = append(slices.Clip(j.pending), p.Index)
		e.collector = e.collector.withJobState(j)
	}
}

// retryPart queues a failed part again, or fails its job if a limit is reached. A
// refused call does not count as a failure.
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

// failJob fails the job of a part.
func (e *callCompletion) failJob(p Part, reason PartFailure) {
	e.collector = e.collector.withoutReservation(e.call.Upstream, p)
	j, ok := e.collector.jobs.Get(p.Job)
	if !ok {
		return
	}
	e.collector, e.changes = e.collector.withFailed(j, reason, e.changes)
}

// withResultStored turns the memory reserved for a part into memory that its result
// takes until it expires.
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

// withoutReservation releases the memory reserved for a part.
func (c Collector) withoutReservation(upstream string, p Part) Collector {
	memory, _ := c.memories.Get(upstream)
	c.memories = c.memories.Set(upstream, memory.without(func(h allocation) bool { return h.part == p && h.ref == "" }))

	return c
}
