package chuterelay

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurechute.example/azurechute/internal/chutebatch"
)

const (
	// waitLife is how long a collector's word on its queue counts; a queue of a
	// second is gone a second later.
	waitLife = time.Second
	// shortQueue is the wait up to which a request is taken in whatever its aim: about
	// the error of the expectation, one call.
	shortQueue = 300 * time.Millisecond
	// overloadRetry is when a caller may come back after it was turned away for a
	// queue: sooner it would meet the same queue and be turned away again.
	overloadRetry = 2 * time.Second
	// maxWaits is the number of waits from which on those that count no more are dropped:
	// a few for each lane, and one for each workspace that is beyond its share.
	maxWaits = 256
	// waitFresh is how long a worked out wait is told again: counting the queue for
	// each of hundreds of results a second would cost more than it tells.
	waitFresh = 50 * time.Millisecond
)

// heardWait is a collector's word on its queue.
type heardWait struct {
	wait time.Duration
	at   time.Time
}

// queueKey names the jobs that wait alike: those of one lane, urgency and level.
type queueKey struct {
	lane     chutebatch.Lane
	priority int
	// level tells waits apart at the own collector. What others tell is kept for all
	// workspaces within their shares, and for one by name that is beyond.
	level     int
	workspace string
}

// queueHasher hashes such keys for the library's map.
type queueHasher struct{}

func (queueHasher) Hash(k queueKey) uint32 {
	named := uint32(xxhash.Sum64String(k.workspace)) //nolint:gosec // a hash

	return chutebatch.HashLane(k.lane) + uint32(k.priority+k.level<<8) + named //nolint:gosec // a hash
}

func (queueHasher) Equal(a, b queueKey) bool {
	return a == b
}

// queueOf names the queue in which a request's stage would wait.
func (st *step) queueOf(r request, stage int) queueKey {
	job := chutebatch.Job{Pool: r.Pipeline.Stages[stage].Pool, Zone: st.placeable(r.zone)}

	return queueKey{
		lane: chutebatch.Lane{Pool: job.Pool, Shard: st.shard(job)}, priority: r.rank(), workspace: r.Workspace.Name,
	}
}

// noteWait takes a collector's word on its queue; what those wait that come back says
// nothing to others, since they wait for all that can still be on time. What a workspace
// beyond its share waits counts for that one alone: it would have the others turned away.
func (st *step) noteWait(r request, queue queueKey, wait time.Duration, beyond bool) {
	if r.waited > 0 {
		return
	}
	if !beyond {
		st.waits = st.waits.Delete(queue)
		queue.workspace = ""
	}
	st.waits = st.waits.Set(queue, heardWait{wait: wait, at: st.now})
	if st.waits.Len() > maxWaits {
		st.dropOldWaits()
	}
}

// dropOldWaits forgets the waits that count no more.
func (st *step) dropOldWaits() {
	for i := st.waits.Iterator(); !i.Done(); {
		if key, heard, _ := i.Next(); st.now.Sub(heard.at) >= waitLife {
			st.waits = st.waits.Delete(key)
		}
	}
}

// wait is how long jobs are believed to wait in a queue now.
func (st *step) wait(queue queueKey) time.Duration {
	heard, ok := st.heard(queue)
	if !ok {
		queue.workspace = ""
		heard, ok = st.heard(queue)
	}
	if !ok {
		return 0
	}

	return max(0, heard.wait-st.now.Sub(heard.at))
}

// heard returns what was told of a queue, if that counts still.
func (st *step) heard(queue queueKey) (heardWait, bool) {
	heard, ok := st.waits.Get(queue)

	return heard, ok && st.now.Sub(heard.at) < waitLife
}

// beyondShare says whether a request's workspace is known to be beyond its share of the
// queue of a stage.
func (st *step) beyondShare(r request) bool {
	for i := range r.stages {
		if _, beyond := st.heard(st.queueOf(r, i)); beyond && r.Workspace.Name != "" {
			return true
		}
	}

	return false
}

// queues sums the waits on the longest way through the stages that are left.
func (st *step) queues(r request, stage int) time.Duration {
	longest := time.Duration(0)
	for i := range r.Pipeline.Stages {
		if after(r, i, stage) && !r.stages[i].done {
			longest = max(longest, st.queues(r, i))
		}
	}
	if stage >= 0 {
		longest += st.wait(st.queueOf(r, stage))
	}

	return longest
}

// hopeless says whether the queues in front of a request's stages are longer than is
// worth waiting for.
//
// A later stage's collector would turn it away as well, but after the first
// stages have run for it in vain, and after its caller has waited for them.
func (st *step) hopeless(r request) (time.Duration, bool) {
	for i := range r.stages {
		if r.stages[i].done || len(r.Pipeline.Stages[i].After) > 0 {
			continue
		}
		queues := st.queues(r, i)
		needs := st.stageTime(r, i) + st.rest(r, i)
		if queues > shortQueue && st.now.Add(queues+needs).After(chutebatch.AdmissionDeadline(r.aimAt, r.until())) {
			return queues, true
		}
	}

	return 0, false
}

// overloaded is the refusal of a request for the queue in front of it. A workspace that is
// beyond its share has a queue of its own, and its callers are told to come back when that
// is over; it is 0 for all others.
func overloaded(reason string, queue time.Duration) Refusal {
	return Refusal{Kind: RefusedNotRun, Reason: reason, RetryAfter: max(overloadRetry, queue)}
}

// waitsAhead sums the waits of a job here and at the stages that follow, as far as
// this node collects for them too.
//
// The queue of a request's second stage shows only there otherwise: by then the
// first stage has run for it in vain, and its caller has waited for that.
func (st *step) waitsAhead(job chutebatch.Job) time.Duration {
	wait := st.collector.EstimateWait(job, st.seats(job.Lane()), st.now)
	for _, pool := range job.FollowingPools {
		later := job
		later.Pool = pool
		later.Shard = st.shard(later)
		behind, _ := st.laneWait(later)
		wait += behind
	}

	return wait
}

// laneWait is how long a job of this kind would wait at the own collector now, and
// whether that holds for its workspace alone.
//
// What was worked out for one of its rank holds for a moment; but not for a late job,
// which waits for all that are not, and whose wait would turn those away.
func (st *step) laneWait(like chutebatch.Job) (wait time.Duration, beyond bool) {
	lane := like.Lane()
	level := st.collector.Level(like)
	// A new job of the kind has its whole time before it.
	like.TargetAt = st.now.Add(like.TargetAt.Sub(like.QueuedAt))
	like.ID = math.MaxUint64
	late := st.collector.IsLate(like, st.now)
	key := queueKey{lane: lane, priority: like.Priority, level: level}
	if heard, ok := st.ownWaits.Get(key); ok && !late && st.now.Sub(heard.at) < waitFresh {
		return heard.wait, level > 0
	}
	wait = st.collector.EstimateWait(like, st.seats(lane), st.now)
	if !late {
		st.ownWaits = st.ownWaits.Set(key, heardWait{wait: wait, at: st.now})
	}

	return wait, level > 0
}
