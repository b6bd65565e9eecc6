package chutebatch

import (
	"slices"
	"time"
)

const (
	// maxTries bounds how often the parts of one job may fail and be queued again.
	maxTries = 3
	// maxEnded is the number of upstreams that may end under one job. Tries count parts,
	// and a job of sixteen has 48: enough to end each upstream of a pool several times
	// over, in a second. A job that stood beside such a one runs alone after the first
	// end, and is done by its second call.
	maxEnded = 2
	// refusedPause is how long an upstream that refused a call gets no other: its
	// slot is taken by a call of somebody else, which lasts longer than this.
	refusedPause = 60 * time.Millisecond
)

// CallEnd is how a call ended as a whole.
type CallEnd string

// The ends of a call.
const (
	// CallAnswered: each part has its own end.
	CallAnswered CallEnd = "Answered"
	// CallRefused: the upstream certainly did not take the call.
	CallRefused CallEnd = "Refused"
	// CallLost: the upstream may or may not have worked on it.
	CallLost CallEnd = "Lost"
)

// Ended is what follows from the end of a call.
type Ended struct {
	// Made lists the jobs that have all their results now.
	Made []uint64
	// Failed lists the jobs that are given up.
	Failed []FailedJob
	// Frees are results of jobs that nobody waits for any more.
	Frees []Free
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
func (c Collector) WithCallEnded(id uint64, end CallEnd, ends []PartEnd, zone string, allowed int, now time.Time) (Collector, Ended) {
	call, ok := c.calls.Get(id)
	if !ok {
		return c, Ended{}
	}
	c.calls = c.calls.Delete(id)
	if end == CallRefused {
		c.pauses = c.pauses.Set(call.Upstream, now.Add(refusedPause))
	}
	e := ending{c: c, call: call, zone: zone, allowed: allowed, now: now}
	for i, part := range call.Parts {
		partEnd := PartEnd{Failure: PartErrored}
		if end == CallAnswered && i < len(ends) {
			partEnd = ends[i]
		}
		e.file(part, partEnd, end == CallRefused)
	}
	if missing := call.withoutRoom(ends); missing > 0 {
		e.c = e.c.withoutRoom(call, missing, now)
	}

	return e.c, e.out
}

// withoutRoom sums the sizes of the parts that found no room.
func (c Call) withoutRoom(ends []PartEnd) int64 {
	missing := int64(0)
	for i := range min(len(ends), len(c.Jobs)) {
		if ends[i].Failure == PartNoRoom {
			missing += c.Jobs[i].ResultBytes
		}
	}

	return missing
}

// Expire gives up the jobs whose waiting parts can't be done in time any more, and
// those that are late and starve behind others that are not.
//
// Without it they would stand in the queue until their callers' deadlines, and be
// run after their inputs are gone, at the full price of a call.
func (c Collector) Expire(now time.Time) (Collector, Ended) {
	var out Ended
	for i := c.jobs.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		reason := c.hopeless(&j, now)
		if reason == "" {
			continue
		}
		c, out = c.withFailed(j, reason, out)
	}

	return c, out
}

// hopeless says why a waiting job is to be given up; empty if it is not.
func (c Collector) hopeless(j *job, now time.Time) PartFailure {
	batching := c.pools[j.Pool]
	switch {
	case len(j.pending) == 0:
		return ""
	case !now.Add(batching.CallTime).Before(j.Deadline):
		return PartLate
	case len(j.pending) == j.Parts && j.overstays(batching, now) && c.timelyWait(j.Lane(), now):
		return PartOverloaded
	default:
		return ""
	}
}

// timelyWait says whether jobs that are not late wait in a lane.
func (c Collector) timelyWait(l Lane, now time.Time) bool {
	bound := lateAfter(c.pools[l.Pool], now)
	timely := false
	c.walk(l, now, func(j *job) bool {
		timely = j.place().startBy >= bound

		return false
	})

	return timely
}

// with adds up what follows from two ends.
func (e Ended) with(more Ended) Ended {
	return Ended{
		Made: append(e.Made, more.Made...), Failed: append(e.Failed, more.Failed...),
		Frees: append(e.Frees, more.Frees...), Requeued: e.Requeued + more.Requeued,
	}
}

// withFailed gives a job up.
func (c Collector) withFailed(j job, reason PartFailure, out Ended) (Collector, Ended) {
	c, frees := c.WithoutJob(j.ID)
	out.Frees = append(out.Frees, frees...)
	out.Failed = append(out.Failed, FailedJob{Job: j.Job, Reason: reason})

	return c, out
}

// ending is one pass over the parts of a call that ended.
type ending struct {
	c       Collector
	call    Call
	zone    string
	allowed int
	now     time.Time
	out     Ended
}

// file takes in the end of one part.
func (e *ending) file(p Part, end PartEnd, refused bool) {
	switch end.Failure {
	case "":
		e.made(p, end.Ref)
	case PartNoRoom:
		e.wait(p)
	case PartErrored:
		e.again(p, end.Failure, refused)
	default:
		e.fail(p, end.Failure)
	}
}

// made files a part's result, or frees it if its job is gone.
func (e *ending) made(p Part, ref string) {
	j, ok := e.c.jobs.Get(p.Job)
	if !ok {
		e.c = e.c.withoutReserved(e.call.Upstream, p)
		e.out.Frees = addFree(e.out.Frees, Result{Ref: ref, Upstream: e.call.Upstream})

		return
	}
	e.c = e.c.withHeld(e.call, p, ref, e.now)
	j.results = slices.Clone(j.results)
	j.results[p.Index] = Result{Ref: ref, Upstream: e.call.Upstream, Zone: e.zone}
	j.missing--
	e.c = e.c.withJob(j)
	if j.missing == 0 {
		e.out.Made = append(e.out.Made, j.ID)
	}
}

// wait queues a part once more that its upstream had no room for.
//
// After all nodes were killed the room is full of what nobody frees, for seconds.
// Counted as failures, such parts used up their jobs' tries within milliseconds, and
// requests with seconds left were refused. How often they are sent is bounded by the
// room that is believed to come free.
func (e *ending) wait(p Part) {
	e.c = e.c.withoutReserved(e.call.Upstream, p)
	if j, ok := e.c.jobs.Get(p.Job); ok {
		j.pending = append(slices.Clip(j.pending), p.Index)
		e.c = e.c.withJob(j)
	}
}

// again queues a part once more; a refused call costs no try.
func (e *ending) again(p Part, reason PartFailure, refused bool) {
	e.c = e.c.withoutReserved(e.call.Upstream, p)
	j, ok := e.c.jobs.Get(p.Job)
	if !ok {
		return
	}
	if !refused {
		j.tries++
	}
	if j.ended >= maxEnded {
		e.fail(p, PartEnded)

		return
	}
	if j.tries > maxTries*j.Parts || e.out.Requeued >= e.allowed {
		e.fail(p, reason)

		return
	}
	e.out.Requeued++
	j.pending = append(slices.Clip(j.pending), p.Index)
	e.c = e.c.withJob(j)
}

// fail gives up the part's job.
func (e *ending) fail(p Part, reason PartFailure) {
	e.c = e.c.withoutReserved(e.call.Upstream, p)
	j, ok := e.c.jobs.Get(p.Job)
	if !ok {
		return
	}
	e.c, e.out = e.c.withFailed(j, reason, e.out)
}

// withHeld turns the room reserved for a part into room held until its time is over.
func (c Collector) withHeld(call Call, p Part, ref string, now time.Time) Collector {
	r, _ := c.rooms.Get(call.Upstream)
	all := slices.Clone(r.held)
	for i := range all {
		if all[i].part == p && all[i].ref == "" {
			all[i].ref = ref
			all[i].until = now.Add(c.pools[call.Pool].ResultTTL)
		}
	}
	c.rooms = c.rooms.Set(call.Upstream, newRoom(all).at(now))

	return c
}

// withoutReserved gives back the room reserved for a part.
func (c Collector) withoutReserved(upstream string, p Part) Collector {
	r, _ := c.rooms.Get(upstream)
	c.rooms = c.rooms.Set(upstream, r.without(func(h held) bool { return h.part == p && h.ref == "" }))

	return c
}
