package chuterelay

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
)

const (
	// waitReportTTL is how long a collector's report of its queue's wait is used. A queue of one
	// second has been served a second later.
	waitReportTTL = time.Second
	// maxToleratedWait is the queue time up to which a request is admitted whatever its target
	// time. It is about the error of the estimate, which is one call.
	maxToleratedWait = 300 * time.Millisecond
	// overloadRetryAfter is the retry delay given to a caller that was refused because of a queue.
	// After a shorter delay it would meet the same queue and be refused again.
	overloadRetryAfter = 2 * time.Second
	// maxWaitReports is the number of wait reports above which expired ones are dropped: a few for
	// each lane, and one for each workspace that is over its share.
	maxWaitReports = 256
	// localWaitTTL is how long a computed wait of this node's collector is reused. Counting the
	// queue for each of hundreds of results a second would cost more than the fresher value is
	// worth.
	localWaitTTL = 50 * time.Millisecond
)

// waitReport is a collector's report of how long jobs wait in a queue.
type waitReport struct {
	wait time.Duration
	at   time.Time
}

// queueKey identifies jobs that wait equally long: those of one lane, priority and level.
type queueKey struct {
	lane     chutebatch.Lane
	priority int
	// shareLevel distinguishes the share levels of this node's collector. It is unused for reports
	// of other nodes, which are kept for all workspaces within their shares (with an empty
	// workspace), and by name for one that is over its share.
	shareLevel int
	workspace  string
}

// queueHasher hashes queueKeys for immutable.Map.
type queueHasher struct{}

func (queueHasher) Hash(k queueKey) uint32 {
	workspaceHash := uint32(xxhash.Sum64String(k.workspace)) //nolint:gosec // a hash

	return chutebatch.HashLane(k.lane) + uint32(k.priority+k.shareLevel<<8) + workspaceHash //nolint:gosec // a hash
}

func (queueHasher) Equal(a, b queueKey) bool {
	return a == b
}

// stageQueue returns the queue in which a request's stage would wait.
func (st *reduction) stageQueue(r request, stage int) queueKey {
	job := chutebatch.Job{Pool: r.Pipeline.Stages[stage].Pool, Zone: st.placementZone(r.zone), Regions: r.regions}
	job.Shard = st.shard(job)

	return queueKey{
		lane: job.Lane(), priority: r.rank(), workspace: r.Workspace.Name,
	}
}

// recordWait stores a collector's report of its queue's wait. That of a resent request is ignored, since those wait
// for all others; that of a workspace over its share is stored for it alone.
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

// dropExpiredWaits removes the wait reports that have expired.
func (st *reduction) dropExpiredWaits() {
	for i := st.waitReports.Iterator(); !i.Done(); {
		if key, report, _ := i.Next(); st.now.Sub(report.at) >= waitReportTTL {
			st.waitReports = st.waitReports.Delete(key)
		}
	}
}

// expectedWait returns how long jobs are expected to wait in a queue now: the last report less the
// time since, or 0 without a report.
func (st *reduction) expectedWait(queue queueKey) time.Duration {
	report, ok := st.currentWait(queue)
	if !ok {
		queue.workspace = ""
		report, ok = st.currentWait(queue)
	}
	if !ok {
		return 0
	}

	return max(0, report.wait-st.now.Sub(report.at))
}

// currentWait returns the last wait report of a queue, and false if there is none or it has
// expired.
func (st *reduction) currentWait(queue queueKey) (waitReport, bool) {
	report, ok := st.waitReports.Get(queue)

	return report, ok && st.now.Sub(report.at) < waitReportTTL
}

// overShare reports whether a request's workspace is known to be over its share of the queue of a
// stage.
func (st *reduction) overShare(r request) bool {
	for i := range r.stages {
		if _, overShare := st.currentWait(st.stageQueue(r, i)); overShare && r.Workspace.Name != "" {
			return true
		}
	}

	return false
}

// queueTime sums the expected waits on the slowest path from a stage through the unfinished stages
// after it; the result includes the wait of the stage itself.
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

// queuesTooLong reports whether the queues of a request's stages are too long for it to be
// answered in useful time, and returns their total wait.
//
// A later stage would refuse the request too, after the first ones have run for nothing.
func (st *reduction) queuesTooLong(r request) (time.Duration, bool) {
	for i := range r.stages {
		if r.stages[i].done || len(r.Pipeline.Stages[i].After) > 0 {
			continue
		}
		queueTime := st.queueTime(r, i)
		workTime := st.stageTime(r, i) + st.remainingTime(r, i)
		if queueTime > maxToleratedWait && st.now.Add(queueTime+workTime).After(chutebatch.AdmissionDeadline(r.targetAt, r.answerBy())) {
			return queueTime, true
		}
	}

	return 0, false
}

// queueRefusal returns the refusal of a request whose stages would wait too long, and false if they would not.
func (st *reduction) queueRefusal(r request) (Refusal, bool) {
	queueTime, tooLong := st.queuesTooLong(r)
	if !tooLong {
		return Refusal{}, false
	}
	ownQueueWait := time.Duration(0)
	if st.overShare(r) {
		ownQueueWait = queueTime
	}

	return overloadRefusal("the queues of its stages are too long: "+queueTime.String(), ownQueueWait), true
}

// overloadRefusal refuses a request because of its queue time. A workspace over its share has a
// queue of its own, and its callers receive a retry delay that lasts until that queue has been
// served; ownQueueWait is 0 for all others.
func overloadRefusal(reason string, ownQueueWait time.Duration) Refusal {
	return Refusal{Kind: RefusedNotRun, Reason: reason, RetryAfter: max(overloadRetryAfter, ownQueueWait), sameForAll: true}
}

// waitsAhead sums the waits of a job here and at the stages that follow, as far as this node is
// their collector too.
func (st *reduction) waitsAhead(job chutebatch.Job) time.Duration {
	wait := st.collector.EstimateWait(job, st.laneCandidates(job.Lane(), chutefleet.SideAny), st.now)
	for _, pool := range job.FollowingPools {
		laterJob := job
		laterJob.Pool = pool
		laterJob.Shard = st.shard(laterJob)
		laterWait, _ := st.localWait(laterJob)
		wait += laterWait
	}

	return wait
}

// localWait returns how long a job like the sample would wait at this node's collector now, and
// whether that holds for its workspace alone because it is over its share.
//
// The wait of a late job is not cached: late jobs wait for all others.
func (st *reduction) localWait(sample chutebatch.Job) (wait time.Duration, overShare bool) {
	lane := sample.Lane()
	level := st.collector.Level(sample)
	// A new job like the sample has its whole time left.
	sample.TargetAt = st.now.Add(sample.TargetAt.Sub(sample.QueuedAt))
	sample.ID = math.MaxUint64
	late := st.collector.IsLate(sample, st.now)
	key := queueKey{lane: lane, priority: sample.Priority, shareLevel: level}
	if report, ok := st.localWaits.Get(key); ok && !late && st.now.Sub(report.at) < localWaitTTL {
		return report.wait, level > 0
	}
	wait = st.collector.EstimateWait(sample, st.laneCandidates(lane, chutefleet.SideAny), st.now)
	if !late {
		st.localWaits = st.localWaits.Set(key, waitReport{wait: wait, at: st.now})
	}

	return wait, level > 0
}
