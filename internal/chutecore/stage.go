package chutecore

import (
	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/internal/chuterouting"
)

// startStage claims the key if the stage needs it, and else queues the request for the stage's pool.
func (st *step) startStage(r Request) {
	if r.needsClaim() {
		st.put(r.WithPhase(PhaseClaiming))
		st.do(TakeClaim{
			Handle: r.Handle, Key: r.Key, Deadline: r.Deadline, Timeout: st.config.Policy.ClaimTimeout.Std(),
		})

		return
	}
	pool := r.stage().Pool
	if st.queue.Len(pool) == 0 && st.routing.HasFree(st.query(r)) {
		st.queue = st.queue.WithPassed(st.waiter(r))
		st.dispatch(r, false)

		return
	}
	r = r.WithPhase(PhaseQueued)
	st.put(r)
	st.queue = st.queue.WithWaiter(st.waiter(r))
	st.pump(pool)
}

// query describes the present stage's need to the routing table.
func (st *step) query(r Request) chuterouting.Query {
	stage := r.stage()

	return chuterouting.Query{
		Pool: stage.Pool, Stage: stage.Name, Model: stage.Model, Version: st.config.Models[stage.Model].Version,
		Exclude: r.Tried, Blocks: r.Blocks, Careful: r.atMostOnce(), Now: st.now,
	}
}

// pump hands over queued work of a pool while upstreams have room for it.
func (st *step) pump(pool string) {
	for st.queue.Len(pool) > 0 {
		waiter, rest, ok := st.queue.Next(pool)
		if !ok {
			return
		}
		r, known := st.requests.Get(handleOf(waiter.Key))
		if !known {
			st.queue = rest

			continue
		}
		query := st.query(r)
		if !st.routing.HasFree(query) && st.routing.Candidates(query) > 0 {
			return
		}
		st.queue = rest
		if !st.routing.HasFree(query) {
			st.settle(r, Attempt{}, 0)
			st.giveUp(r, "no upstream of pool "+pool+" can be used", unreadyRetryAfter)

			continue
		}
		st.dispatch(r, false)
	}
}

// dispatch hands the present stage to the best upstream; hedge marks a second attempt beside a slow one.
func (st *step) dispatch(r Request, hedge bool) {
	random := newDraws(st.random)
	choice, ok := st.routing.Choose(st.query(r), random.intN)
	st.random = random.source
	if !ok {
		if !hedge {
			st.settle(r, Attempt{}, 0)
			st.giveUp(r, "no upstream of pool "+r.stage().Pool+" can be used", unreadyRetryAfter)
		}

		return
	}
	var id chuterequest.AttemptID
	st.State, id = st.newAttemptID()
	attempt := Attempt{ID: id, Upstream: choice.Upstream.Name, StartedAt: st.now, Hedge: hedge}
	r = r.WithAttempt(attempt)
	st.put(r)
	st.routing = st.routing.WithDispatched(choice.Upstream.Name, st.now)
	st.do(st.dispatchEffect(r, attempt, choice.Upstream.Address))
	st.planHedge(r, attempt)
}

// dispatchEffect tells the node all that it needs for one hand-over.
func (st *step) dispatchEffect(r Request, attempt Attempt, address string) Dispatch {
	stage := r.stage()
	next := r.Stage + 1
	effect := Dispatch{
		Handle: r.Handle, Attempt: attempt.ID, Key: r.Key, Work: work(r),
		StageIndex: r.Stage, Stage: stage, Kind: st.pool(stage).Kind, Model: st.config.Models[stage.Model],
		Upstream: attempt.Upstream, Address: address, Priority: r.Priority,
		Deadline: r.Deadline, Stall: st.config.Policy.StallTimeout.Std(),
		Context: r.Result, Resume: r.Offset > 0, Unrepeatable: r.atMostOnce(),
	}
	if next < len(r.Stages) {
		effect.Next = st.pool(r.Stages[next]).Kind
	}

	return effect
}

// work names what the request's present stage is charged as.
func work(r Request) Work {
	return Work{
		Team: r.Team, Workspace: r.Key.Workspace, Pipeline: r.Pipeline,
		Stage: r.stage().Name, Pool: r.stage().Pool,
	}
}
