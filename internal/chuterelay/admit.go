package chuterelay

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurechute.example/azurechute/internal/chutebatch"
)

const (
	// waitReportTTL is how long a collector's word on its queue counts; a queue of a
	// second is gone a second later.
	waitReportTTL = time.Second
	// maxToleratedWait is the wait up to which a request is taken in whatever its aim: about
	// the error of the expectation, one call.
	maxToleratedWait = 300 * time.Millisecond
	// overloadRetryAfter is when a caller may come back after it was turned away for a
	// queue: sooner it would meet the same queue and be turned away again.
	overloadRetryAfter = 2 * time.Second
	// maxWaitReports is the number of waits from which on those that count no more are dropped:
	// a few for each lane, and one for each workspace that is beyond its share.
	maxWaitReports = 256
	// localWaitTTL is how long a worked out wait is told again: counting the queue for
	// each of hundreds of results a second would cost more than it tells.
	localWaitTTL = 50 * time.Millisecond
)

// waitReport is a collector's word on its queue.
type waitReport struct {
	wait time.Duration
	at   time.Time
}

// queueKey names the jobs that wait alike: those of one lane, urgency and level.
type queueKey struct {
	lane     chutebatch.Lane
	priority int
	// shareLevel tells waits apart at the own collector. What others tell is kept for all
	// workspaces within their shares, and for one by name that is beyond.
	shareLevel int
	workspace  string
}

// queueHasher hashes such keys for the library's map.
type queueHasher struct{}

func (queueHasher) Hash(k queueKey) uint32 {
	workspaceHash := uint32(xxhash.Sum64String(k.workspace)) //nolint:gosec // a hash

	return chutebatch.HashLane(k.lane) + uint32(k.priority+k.shareLevel<<8) + workspaceHash //nolint:gosec // a hash
}

func (queueHasher) Equal(a, b queueKey) bool {
	return a == b
}

// stageQueue names the queue in which a request's stage would wait.
func (st *reduction) stageQueue(r request, stage int) queueKey {
	job := chutebatch.Job{Pool: r.Pipeline.Stages[stage].Pool, Zone: st.placementZone(r.zone)}

	return queueKey{
		lane: chutebatch.Lane{Pool: job.Pool, Shard: st.shard(job)}, priority: r.rank(), workspace: r.Workspace.Name,
	}
}

// recordWait takes a collector's word on its queue; what those wait that come back says
// nothing to others, since they wait for all that can still be on time. What a workspace
// beyond its share waits counts for that one alone: it would have the others turned away.
func (st *reduction) recordWait(r request, queue queueKey, wait time.Duration, overShare bool) {
	if r.waitedBefore > 0 {
		return
	}
	if !overShare {
		st.waitReports = st.waitReports.Delete(queue)
		queue.workspace = ""
	}
	st.waitReports = st.waitReports.Set(queue, waitReport{wait: wait, at: st.now})
	if st.waitReports.Len() > maxWaitReports {
		st.dropExpiredWaits()
	}
}

// dropExpiredWaits forgets the waits that count no more.
func (st *reduction) dropExpiredWaits() {
	for i := st.waitReports.Iterator(); !i.Done(); {
		if key, heard, _ := i.Next(); st.now.Sub(heard.at) >= waitReportTTL {
			st.waitReports = st.waitReports.Delete(key)
		}
	}
}

// expectedWait is how long jobs are believed to wait in a queue now.
func (st *reduction) expectedWait(queue queueKey) time.Duration {
	heard, ok := st.currentWait(queue)
	if !ok {
		queue.workspace = ""
		heard, ok = st.currentWait(queue)
	}
	if !ok {
		return 0
	}

	return max(0, heard.wait-st.now.Sub(heard.at))
}

// currentWait returns what was told of a queue, if that counts still.
func (st *reduction) currentWait(queue queueKey) (waitReport, bool) {
	heard, ok := st.waitReports.Get(queue)

	return heard, ok && st.now.Sub(heard.at) < waitReportTTL
}

// overShare says whether a request's workspace is known to be beyond its share of the
// queue of a stage.
func (st *reduction) overShare(r request) bool {
	for i := range r.stages {
		if _, overShare := st.currentWait(st.stageQueue(r, i)); overShare && r.Workspace.Name != "" {
			return true
		}
	}

	return false
}

// queueTime sums the waits on the longest way through the stages that are left.
func (st *reduction) queueTime(r request, stage int) time.Duration {
	longest := time.Duration(0)
	for i := range r.Pipeline.Stages {
		if dependsOn(r, i, stage) && !r.stages[i].done {
			longest = max(longest, st.queueTime(r, i))
		}
	}
	if stage >= 0 {
		longest += st.expectedWait(st.stageQueue(r, stage))
	}

	return longest
}

// queuesTooLong says whether the queues in front of a request's stages are longer than is
// worth waiting for.
//
// A later stage's collector would turn it away as well, but after the first
// stages have run for it in vain, and after its caller has waited for them.
func (st *reduction) queuesTooLong(r request) (time.Duration, bool) {
	for i := range r.stages {
		if r.stages[i].done || len(r.Pipeline.Stages[i].After) > 0 {
			continue
		}
		queueTime := st.queueTime(r, i)
		workTime := st.stageTime(r, i) + st.remainingTime(r, i)
		if queueTime > maxToleratedWait && st.now.Add(queueTime+workTime).After(chutebatch.WorthEnding(r.aimAt, r.answerBy())) {
			return queueTime, true
		}
	}

	return 0, false
}

// overloadRefusal is the refusal of a request for the queue in front of it. A workspace that is
// beyond its share has a queue of its own, and its callers are told to come back when that
// is over; it is 0 for all others.
func overloadRefusal(reason string, ownQueueWait time.Duration) Refusal {
	return Refusal{Kind: RefusedNotRun, Reason: reason, RetryAfter: max(overloadRetryAfter, ownQueueWait)}
}

// waitsAhead sums the waits of a job here and at the stages that follow, as far as
// this node collects for them too.
//
// The queue of a request's second stage shows only there otherwise: by then the
// first stage has run for it in vain, and its caller has waited for that.
func (st *reduction) waitsAhead(job chutebatch.Job) time.Duration {
	wait := st.collector.Wait(job, st.laneSeats(job.Lane()), st.now)
	for _, pool := range job.Then {
		laterJob := job
		laterJob.Pool = pool
		laterJob.Shard = st.shard(laterJob)
		laterWait, _ := st.localWait(laterJob)
		wait += laterWait
	}

	return wait
}

// localWait is how long a job of this kind would wait at the own collector now, and
// whether that holds for its workspace alone.
//
// What was worked out for one of its rank holds for a moment; but not for a late job,
// which waits for all that are not, and whose wait would turn those away.
func (st *reduction) localWait(sample chutebatch.Job) (wait time.Duration, overShare bool) {
	lane := sample.Lane()
	level := st.collector.Level(sample)
	// A new job of the kind has its whole time before it.
	sample.AimAt = st.now.Add(sample.AimAt.Sub(sample.Since))
	sample.ID = math.MaxUint64
	late := st.collector.Late(sample, st.now)
	key := queueKey{lane: lane, priority: sample.Priority, shareLevel: level}
	if heard, ok := st.localWaits.Get(key); ok && !late && st.now.Sub(heard.at) < localWaitTTL {
		return heard.wait, level > 0
	}
	wait = st.collector.Wait(sample, st.laneSeats(lane), st.now)
	if !late {
		st.localWaits = st.localWaits.Set(key, waitReport{wait: wait, at: st.now})
	}

	return wait, level > 0
}
