package chuterelay

import (
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
)

const (
	// tick is how often waiting parts are looked over when no call ends meanwhile.
	tick = 20 * time.Millisecond
	// callPatience and callMargin bound a call with parts: one that takes longer
	// than 2.2 times the expected time and 150 ms is taken as lost, so that parts
	// on a dead upstream still make their aim elsewhere.
	callPatience = 2.2
	callMargin   = 150 * time.Millisecond
	// slowPatience is the same for an upstream that is known to be slow, in times
	// of its own usual time, and assumedSlowness what one is taken for whose calls
	// were overdue twice in a row: upstreams slow down by four to five times.
	slowPatience    = 1.5
	assumedSlowness = 4
	overdueTwice    = 2
	// slownessWeight is the weight of the newest call in an upstream's measured slowness.
	slownessWeight = 0.4
)

// jobAsked takes a peer's job into the own collector.
func (st *step) jobAsked(e JobAsked) {
	if st.draining {
		st.do(RefuseParts{Token: e.Token, Reason: leavingReason, Leaving: true})

		return
	}
	st.hear(e.Loads)
	job := e.Job
	job.ID = st.newID()
	job.QueuedAt = st.now
	st.origins = st.origins.Set(job.ID, origin{token: e.Token})
	st.tokens = st.tokens.Set(e.Token, job.ID)
	st.takeJob(job)
}

// drain hands the waiting jobs back, so that whoever asked goes to the next collector at once.
//
// New jobs go to another node from now on, and its calls take the upstreams'
// slots. Jobs left waiting here would get none until their time is over.
func (st *step) drain() {
	st.draining = true
	st.peers.leaving = true
	for _, job := range st.collector.WaitingJobs() {
		st.handBack(job)
	}
}

// handBack gives up a job that another node will run.
func (st *step) handBack(job chutebatch.Job) {
	o, ok := st.origins.Get(job.ID)
	if !ok {
		return
	}
	st.dropJob(job.ID)
	if o.ask != 0 {
		st.partsFailed(PartsFailed{Ask: o.ask, Reason: leavingReason})

		return
	}
	st.tokens = st.tokens.Delete(o.token)
	st.do(RefuseParts{Token: o.token, Reason: leavingReason, Leaving: true})
}

// leavingReason is why a node that is shutting down does not run a job.
const leavingReason = "this VM is shutting down"

// takeJob queues a job at the own collector.
func (st *step) takeJob(job chutebatch.Job) {
	if slices.ContainsFunc(job.InputUpstreams, st.fleet.IsReplaced) {
		// Whoever asks has not heard yet that an upstream has started again. A call
		// would only find the inputs gone.
		st.refuseJob(chutebatch.FailedJob{Job: job, Reason: chutebatch.PartInputGone})

		return
	}
	if _, held := st.quarantined(job.Fingerprint); held {
		st.refuseJob(chutebatch.FailedJob{Job: job, Reason: chutebatch.PartQuarantined})

		return
	}
	job.Isolated = len(st.quarantine.Suspected(job.Fingerprint)) > 0
	if !st.collector.Admits(job, st.waitsAhead(job), st.now) {
		st.refuseJob(chutebatch.FailedJob{Job: job, Reason: chutebatch.PartOverloaded})

		return
	}
	st.countFirst(budgetKey{pool: job.Pool, collecting: true}, job.Parts)
	st.collector = st.collector.WithJob(job)
	st.fill(job.Lane())
}

// jobDropped ends a peer's lease on a job and its results.
func (st *step) jobDropped(e JobDropped) {
	if id, ok := st.tokens.Get(e.Token); ok {
		st.tokens = st.tokens.Delete(e.Token)
		st.dropJob(id)
	}
}

// dropJob forgets a job of the own collector and frees its results.
func (st *step) dropJob(id uint64) {
	st.origins = st.origins.Delete(id)
	var frees []chutebatch.FreeRequest
	st.collector, frees = st.collector.WithoutJob(id)
	for _, f := range frees {
		st.free(f)
	}
	if len(frees) > 0 {
		st.fillAll()
	}
}

// fillAll looks over the waiting parts of all lanes.
func (st *step) fillAll() {
	for _, lane := range st.collector.WaitingLanes() {
		st.fill(lane)
	}
}

// fill gives free upstreams of a lane calls, as long as parts wait.
func (st *step) fill(lane chutebatch.Lane) {
	if st.collector.WaitingParts(lane) == 0 {
		return
	}
	var calls []chutebatch.Call
	st.collector, calls = st.collector.FillSlots(lane, st.seats(lane), st.now)
	for _, call := range calls {
		u, ok := st.fleet.Get(call.Upstream)
		if !ok {
			continue
		}
		st.fleet = st.fleet.WithCallSent(u.ID, 0, st.now)
		st.do(RunCall{Call: call, Upstream: u, Timeout: st.callTimeout(call)})
	}
	if st.tickAt.IsZero() && st.collector.WaitingParts(lane) > 0 {
		st.tickAt = st.now.Add(tick)
		st.do(TickAt{At: st.tickAt})
	}
}

// seats lists the lane's upstreams that may get calls.
//
// A shard whose upstreams are all gone or set aside is served by the others, so
// that a zone without healthy upstreams of a pool does not fail its requests.
func (st *step) seats(lane chutebatch.Lane) []chutebatch.Candidate {
	var all, own, reached []chutebatch.Candidate
	for _, u := range st.fleet.AvailableInPool(lane.Pool, st.now) {
		pace, _ := st.paces.Get(u.ID)
		seat := chutebatch.Candidate{Upstream: u.ID, Zone: u.Zone, Slowness: pace.slowness}
		all = append(all, seat)
		if st.zones.cutOff(u.Zone, st.now) {
			continue
		}
		reached = append(reached, seat)
		if u.Zone == lane.Shard {
			own = append(own, seat)
		}
	}
	for _, seats := range [][]chutebatch.Candidate{own, reached} {
		if len(seats) > 0 {
			return seats
		}
	}

	return all
}

// expected is the time that the operator's figures give for a call.
func (st *step) expected(call chutebatch.Call) time.Duration {
	b := st.config.Pools[call.Pool].Batching
	if b == nil {
		return 0
	}

	return b.CallTime + time.Duration(len(call.Parts))*b.PartTime
}

// callTimeout allows an upstream that is known to be slow the time that it takes;
// cutting its calls off would only have their parts made twice.
func (st *step) callTimeout(call chutebatch.Call) time.Duration {
	pace, _ := st.paces.Get(call.Upstream)
	patience := max(callPatience, slowPatience*pace.slowness)

	return time.Duration(patience*float64(st.expected(call))) + callMargin
}

// callEnded files the results of a call and hands them to whoever asked.
func (st *step) callEnded(e CallEnded) {
	call, ok := st.collector.Call(e.ID)
	if !ok {
		return
	}
	u, _ := st.fleet.Get(call.Upstream)
	st.noteCall(call, e)
	if e.UpstreamEnded {
		st.endedUnder(u, call, "a call with parts broke")
	}
	repeats := st.collectorAccount(call.Pool, st.now)
	allowed := st.repeatsLeft(repeats)
	var ended chutebatch.JobChanges
	st.collector, ended = st.collector.WithCallEnded(e.ID, e.End, e.Ends, u.Zone, allowed, st.now)
	st.spendRepeats(repeats.budgetKey, ended.Requeued)
	st.settle(ended)
	st.fill(call.Lane)
}

// settle passes on what became of jobs.
func (st *step) settle(ended chutebatch.JobChanges) {
	for _, f := range ended.ToFree {
		st.free(f)
	}
	for _, id := range ended.Completed {
		st.give(id)
	}
	for _, failed := range ended.Failed {
		st.refuseJob(failed)
	}
}

// lookOver gives up jobs that can't be done in time, and fills free slots.
func (st *step) lookOver() {
	var expired chutebatch.JobChanges
	st.collector, expired = st.collector.Expire(st.now)
	st.settle(expired)
	st.fillAll()
}

// noteCall takes in what a call's end says of its upstream.
func (st *step) noteCall(call chutebatch.Call, e CallEnded) {
	st.fleet = st.fleet.WithCallDone(call.Upstream)
	if u, ok := st.fleet.Get(call.Upstream); ok {
		st.noteZone(u, e.Silent, e.End == chutebatch.CallAnswered)
	}
	switch {
	case e.Failure != "":
		st.failedBy(call.Upstream, e.Failure)
	default:
		st.fleet = st.fleet.WithSuccess(call.Upstream, st.now)
	}
	if e.Leaving {
		st.fleet = st.fleet.WithLeaving(call.Upstream)
	}
	if u, ok := st.fleet.Get(call.Upstream); ok {
		st.noteLimit(u, e.Limit, st.now.Add(-e.Took))
	}
	pace, _ := st.paces.Get(call.Upstream)
	st.paces = st.paces.Set(call.Upstream, pace.with(e, st.expected(call)))
}

// pace is how quickly an upstream runs calls with parts.
type pace struct {
	// slowness is the measured time against the expected one; 0 if unknown.
	slowness float64
	// overdue counts the calls in a row that did not end in time.
	overdue int
}

// with takes in the end of one call.
//
// A lost answer and a slow call look alike when time is up. One of them says
// little; two in a row are taken for slowness, and the next answer tells.
func (p pace) with(e CallEnded, expected time.Duration) pace {
	switch {
	case expected <= 0 || e.End == chutebatch.CallRefused:
		return p
	case e.End == chutebatch.CallLost:
		p.overdue++
		if p.overdue >= overdueTwice {
			p.slowness = max(p.slowness, assumedSlowness)
		}

		return p
	}
	ratio := float64(e.Took) / float64(expected)
	if p.slowness > 0 && p.overdue < overdueTwice {
		ratio = p.slowness + slownessWeight*(ratio-p.slowness)
	}

	return pace{slowness: ratio}
}

// give hands a job's results to the request or the peer that asked.
func (st *step) give(id uint64) {
	o, ok := st.origins.Get(id)
	if !ok {
		return
	}
	results := st.collector.Results(id)
	wait, beyond := st.laneWait(st.collector.Job(id))
	if o.ask != 0 {
		st.partsMade(PartsMade{Ask: o.ask, Results: results, Wait: wait, Beyond: beyond})

		return
	}
	st.do(GiveParts{Token: o.token, Results: results, Wait: wait, Beyond: beyond, Loads: st.crowded()})
}

// refuseJob tells whoever asked that a job failed.
func (st *step) refuseJob(failed chutebatch.FailedJob) {
	wait, beyond := time.Duration(0), false
	if failed.Job.Pool != "" {
		wait, beyond = st.laneWait(failed.Job)
	}
	o, ok := st.origins.Get(failed.Job.ID)
	if !ok {
		return
	}
	st.origins = st.origins.Delete(failed.Job.ID)
	if o.ask != 0 {
		st.partsFailed(PartsFailed{Ask: o.ask, Reason: string(failed.Reason), Wait: wait, Beyond: beyond})

		return
	}
	st.tokens = st.tokens.Delete(o.token)
	st.do(RefuseParts{
		Token: o.token, Reason: string(failed.Reason), Wait: wait, Beyond: beyond, Loads: st.crowded(),
	})
}
