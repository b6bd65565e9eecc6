package chuterelay

import (
	"cmp"
	"math"
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroom"
)

// minCallTargetDivisor is the part of a request's target time, a quarter, that is left for its call at least, whatever its
// stages take. The target time of a call counts for all callers of the pool, so that it doesn't depend on the queues of
// stages either.
const minCallTargetDivisor = 4

// RoomView describes what admission decided on a call by.
type RoomView struct {
	// Cause is why the call is refused; empty if it is admitted.
	Cause chuteroom.Reason
	// Wait is the expected time until the upstream would begin with the call, FirstEvent that until its first event.
	// Tolerated is the wait from which on the pool is short of capacity for it.
	Wait       time.Duration
	FirstEvent time.Duration
	Tolerated  time.Duration
	// Tokens is the call's expected work. Work and Demanded are the workspace's recent work in tokens, admitted and in all.
	Tokens   int64
	Work     int64
	Demanded int64
	// Share is the workspace's share of the recent work in tokens; -1 if the pool is not short of capacity, or all that is
	// demanded can be served.
	Share int64
}

func newRoomView(d chuteroom.Decision, tokens int64) *RoomView {
	v := &RoomView{
		Cause: d.Reason, Wait: d.Wait, FirstEvent: d.FirstEvent, Tolerated: d.Tolerated,
		Tokens: tokens, Work: int64(d.Work), Demanded: int64(d.Demanded), Share: -1,
	}
	if !math.IsInf(d.Share, 1) {
		v.Share = int64(d.Share)
	}

	return v
}

// checkLoad decides whether a request is admitted, by the queues of its stages and by the work of its pool.
func (st *reduction) checkLoad(r request, u chutefleet.Upstream) (_ request, _ Refusal, refused bool) {
	if refusal, refused := st.queueRefusal(r); refused {
		return r, refusal, true
	}

	return st.decideRoom(r, u)
}

// decideRoom decides whether a request is admitted to its pool, before any of it runs; u is the upstream that its call
// would go to now. It returns the request with the decision and, if that is negative, the refusal.
//
// Requests to pools that are not placed by work are always admitted. Resumed streams are too, since their callers have
// part of the answer, and requests that may have run at another node, which can't be refused as not run; their work
// counts.
func (st *reduction) decideRoom(r request, u chutefleet.Upstream) (_ request, _ Refusal, refused bool) {
	call, ok := st.roomCall(r, u)
	if !ok {
		return r, Refusal{}, false
	}
	r.roomDecidedAt = st.now
	pool := st.room(r.pool)
	if r.skipsRoom() {
		st.rooms = st.rooms.Set(r.pool, pool.WithWork(call.Workspace, call.Tokens, st.now))

		return r, Refusal{}, false
	}
	pool, decision := pool.Decide(call, st.now, st.randomFraction())
	st.rooms = st.rooms.Set(r.pool, pool)
	r.room = newRoomView(decision, call.Tokens)

	return r, roomRefusal(r, decision), !decision.Admitted()
}

// recheckRoom decides on a call that is about to be sent to an upstream, some time after the request was admitted.
//
// What other nodes have handed back, or was cut off when it arrived, has not been decided on yet.
func (st *reduction) recheckRoom(r request, u chutefleet.Upstream) (_ request, _ Refusal, refused bool) {
	if r.roomDecidedAt.Equal(st.now) {
		return r, Refusal{}, false
	}
	if r.roomDecidedAt.IsZero() && (r.skipsRoom() || !r.anyStageRan()) {
		return st.decideRoom(r, u)
	}
	call, ok := st.roomCall(r, u)
	if !ok || r.skipsRoom() {
		return r, Refusal{}, false
	}
	pool, decision := st.room(r.pool).Recheck(call, st.now, st.randomFraction())
	st.rooms = st.rooms.Set(r.pool, pool)
	r.room = newRoomView(decision, call.Tokens)

	return r, roomRefusal(r, decision), !decision.Admitted()
}

// skipsRoom reports whether a request is sent whatever the capacity.
func (r request) skipsRoom() bool {
	return r.answerBegun || !r.Binding.IsZero() || r.mayHaveRun()
}

// room returns the recent work of a pool.
func (st *reduction) room(pool string) chuteroom.Pool {
	if p, ok := st.rooms.Get(pool); ok {
		return p
	}

	return chuteroom.NewPool()
}

// roomCall returns what admission of a request's call depends on, if it went to an upstream; false unless the pool is
// placed by work. The time of unfinished stages is not available for the call.
func (st *reduction) roomCall(r request, u chutefleet.Upstream) (chuteroom.Call, bool) {
	wait, ok := st.fleet.ExpectedFirstEvent(u.ID, 0, st.now)
	if !ok {
		return chuteroom.Call{}, false
	}
	tokens := st.expectedTokens(r)
	firstEvent, _ := st.fleet.ExpectedFirstEvent(u.ID, tokens, st.now)
	queues, work := st.stagesTime(r)
	target := r.targetAt.Add(r.waitedBefore).Sub(st.now)

	return chuteroom.Call{
		Workspace: r.Workspace.Name, Tokens: tokens, Wait: wait, FirstEvent: firstEvent,
		UntilLeft: r.answerBy().Sub(st.now) - queues - work, UntilTarget: max(target-work, target/minCallTargetDivisor), Rank: r.rank(),
	}, true
}

// expectedTokens returns the work that a request's call is expected to be for its upstream.
func (st *reduction) expectedTokens(r request) int64 {
	return r.PromptTokens
}

// stagesTime returns the time until the stages of a request are expected to be done: what they wait in queues, and what
// they take without that.
func (st *reduction) stagesTime(r request) (queues, work time.Duration) {
	for i := range r.stages {
		if r.stages[i].done || len(r.Pipeline.Stages[i].After) > 0 {
			continue
		}
		queue, own := st.queueTime(r, i), st.stageTime(r, i)+st.remainingTime(r, i)-st.callTimes.expected(r)
		if queue+own > queues+work {
			queues, work = queue, own
		}
	}

	return queues, work
}

func roomRefusal(r request, d chuteroom.Decision) Refusal {
	reason := "no upstream of pool " + r.pool + " would begin its answer in time"
	if d.Reason == chuteroom.ReasonOverShare {
		reason = "pool " + r.pool + " is short of capacity, and its workspace is above its share"
	}

	return Refusal{Kind: RefusedNotRun, Reason: reason, RetryAfter: d.RetryAfter, room: r.room}
}

// withVariedDelay returns a refusal with a retry delay that is not the same for all callers, in pools that are placed by
// work: those that are refused in one second would come back in one second.
func (st *reduction) withVariedDelay(r request, refusal Refusal) Refusal {
	if refusal.sameForAll && st.fleet.PlacesByWork(r.pool) {
		refusal.RetryAfter = chuteroom.RetryAfter(refusal.RetryAfter, r.answerBy().Sub(st.now), st.randomFraction())
	}
	refusal.sameForAll = false

	return refusal
}

// RoomCounts adds up the decisions of admission in all pools.
func (s State) RoomCounts() chuteroom.Counts {
	var sum chuteroom.Counts
	for i := s.rooms.Iterator(); !i.Done(); {
		_, pool, _ := i.Next()
		counts := pool.Counts()
		sum.Admitted += counts.Admitted
		sum.TooLate += counts.TooLate
		sum.OverShare += counts.OverShare
	}

	return sum
}

// roomViews describes the recent work of all pools that are placed by work, sorted by pool.
func (s State) roomViews(now time.Time) []chuteroom.View {
	var views []chuteroom.View
	for i := s.rooms.Iterator(); !i.Done(); {
		name, pool, _ := i.Next()
		views = append(views, pool.View(name, now))
	}
	slices.SortFunc(views, func(a, b chuteroom.View) int { return cmp.Compare(a.Pool, b.Pool) })

	return views
}
