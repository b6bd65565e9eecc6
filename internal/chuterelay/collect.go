package chuterelay

import (
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
)

const (
	// collectorShare is the part of a pool's repeats that one collector may spend:
	// two can be at work while nodes disagree on the list.
	collectorShare = 0.5
	// tick is how often waiting parts are looked over when no call ends meanwhile.
	tick = 20 * time.Millisecond
	// callPatience and callMargin bound a call with parts: one that takes longer
	// than 2.5 times the expected time and 200 ms is taken as lost, so that parts
	// on a dead upstream still make their aim elsewhere.
	callPatience = 2.5
	callMargin   = 200 * time.Millisecond
	// slownessWeight is the weight of the newest call in an upstream's measured slowness.
	slownessWeight = 0.4
)

// jobAsked takes a peer's job into the own collector.
func (st *step) jobAsked(e JobAsked) {
	if st.draining {
		st.do(RefuseParts{Token: e.Token, Reason: "this VM is shutting down", Leaving: true})

		return
	}
	job := e.Job
	job.ID = st.newID()
	job.Since = st.now
	st.origins = st.origins.Set(job.ID, origin{token: e.Token})
	st.tokens = st.tokens.Set(e.Token, job.ID)
	st.takeJob(job)
}

// takeJob queues a job at the own collector.
func (st *step) takeJob(job chutebatch.Job) {
	st.countFirst(job.Pool, job.Parts)
	st.collector = st.collector.WithJob(job)
	st.fill(job.Pool)
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
	var frees []chutebatch.Free
	st.collector, frees = st.collector.WithoutJob(id)
	for _, f := range frees {
		st.free(f)
	}
	if len(frees) > 0 {
		st.fillAll()
	}
}

// fillAll looks over the waiting parts of all pools.
func (st *step) fillAll() {
	if st.collector.Len() == 0 {
		return
	}
	for name, pool := range st.config.Pools {
		if pool.Batching != nil {
			st.fill(name)
		}
	}
}

// fill gives free upstreams of a pool calls, as long as parts wait.
func (st *step) fill(pool string) {
	var calls []chutebatch.Call
	st.collector, calls = st.collector.Fill(pool, st.seats(pool), st.now)
	for _, call := range calls {
		u, ok := st.fleet.Get(call.Upstream)
		if !ok {
			continue
		}
		st.fleet = st.fleet.WithSent(u.ID, 0)
		st.do(RunCall{Call: call, Upstream: u, Timeout: st.callTimeout(call)})
	}
	if st.tickAt.IsZero() && st.collector.Waiting(pool) > 0 {
		st.tickAt = st.now.Add(tick)
		st.do(TickAt{At: st.tickAt})
	}
}

// seats lists the pool's upstreams that may get calls.
func (st *step) seats(pool string) []chutebatch.Seat {
	var seats []chutebatch.Seat
	for _, u := range st.fleet.UsableIn(pool, st.now) {
		slowness, _ := st.slowness.Get(u.ID)
		seats = append(seats, chutebatch.Seat{Upstream: u.ID, Zone: u.Zone, Slowness: slowness})
	}

	return seats
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
	slowness, _ := st.slowness.Get(call.Upstream)

	return time.Duration(callPatience*max(1, slowness)*float64(st.expected(call))) + callMargin
}

// callEnded files the results of a call and hands them to whoever asked.
func (st *step) callEnded(e CallEnded) {
	call, ok := st.collector.Call(e.ID)
	if !ok {
		return
	}
	u, _ := st.fleet.Get(call.Upstream)
	st.noteCall(call, e)
	budget, _ := st.budgets.Get(call.Pool)
	allowed := budget.Left(st.settings.Retries, collectorShare, st.now)
	var ended chutebatch.Ended
	st.collector, ended = st.collector.WithCallEnded(e.ID, e.End, e.Ends, u.Zone, allowed, st.now)
	st.budgets = st.budgets.Set(call.Pool, budget.WithSpent(ended.Requeued, st.now))
	st.settle(ended)
	st.fill(call.Pool)
}

// settle passes on what became of jobs.
func (st *step) settle(ended chutebatch.Ended) {
	for _, f := range ended.Frees {
		st.free(f)
	}
	for _, id := range ended.Made {
		st.give(id)
	}
	for _, failed := range ended.Failed {
		st.refuseJob(failed)
	}
}

// lookOver gives up jobs that can't be done in time, and fills free slots.
func (st *step) lookOver() {
	var expired chutebatch.Ended
	st.collector, expired = st.collector.Expire(st.now)
	st.settle(expired)
	st.fillAll()
}

// noteCall takes in what a call's end says of its upstream.
func (st *step) noteCall(call chutebatch.Call, e CallEnded) {
	st.fleet = st.fleet.WithDone(call.Upstream)
	switch {
	case e.Failure != "":
		st.fleet = st.fleet.WithFailure(call.Upstream, e.Failure, st.now)
	default:
		st.fleet = st.fleet.WithSuccess(call.Upstream, st.now)
	}
	if e.Leaving {
		st.fleet = st.fleet.WithLeaving(call.Upstream)
	}
	expected := st.expected(call)
	if expected <= 0 || e.End == chutebatch.CallRefused || e.Failure == chutefleet.FailureSilent && e.Took < expected {
		return
	}
	ratio := float64(e.Took) / float64(expected)
	was, known := st.slowness.Get(call.Upstream)
	if known {
		ratio = was + slownessWeight*(ratio-was)
	}
	st.slowness = st.slowness.Set(call.Upstream, ratio)
}

// give hands a job's results to the request or the peer that asked.
func (st *step) give(id uint64) {
	o, ok := st.origins.Get(id)
	if !ok {
		return
	}
	results := st.collector.Results(id)
	if o.ask != 0 {
		st.partsMade(PartsMade{Ask: o.ask, Results: results})

		return
	}
	st.do(GiveParts{Token: o.token, Results: results})
}

// refuseJob tells whoever asked that a job failed.
func (st *step) refuseJob(failed chutebatch.FailedJob) {
	o, ok := st.origins.Get(failed.ID)
	if !ok {
		return
	}
	st.origins = st.origins.Delete(failed.ID)
	if o.ask != 0 {
		st.partsFailed(PartsFailed{Ask: o.ask, Reason: string(failed.Reason)})

		return
	}
	st.tokens = st.tokens.Delete(o.token)
	st.do(RefuseParts{Token: o.token, Reason: string(failed.Reason)})
}
