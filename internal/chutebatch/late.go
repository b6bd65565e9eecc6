package chutebatch

import (
	"time"

	"azurechute.example/azurechute/internal/chuteroute"
)

// lateWaitShare is the part of a caller's time left for which a late job waits: the other
// half is left for the stages that follow, or for the caller's other sending.
const lateWaitShare = 1.0 / 2

// AdmissionDeadline is the time up to which an answer is worth waiting for in a queue.
//
// A late answer is worth less than one on time and more than none. Turned away for the
// aim alone, callers come back with their aim passed and meet the same queue: in bursts
// that take a pool to its limit for some seconds callers were refused twice, though the
// queue was gone long before their deadlines. Held to the deadline, they would have no
// time for their other sending. So they are held for a part of it.
func AdmissionDeadline(targetAt, deadline time.Time) time.Time {
	return targetAt.Add(time.Duration(lateWaitShare * float64(max(0, deadline.Sub(targetAt)))))
}

// IsLate says whether a job can't make its aim any more, even if it had its turn now.
func (c Collector) IsLate(j Job, now time.Time) bool {
	return j.queueKey().dueBy < fullCallEnd(c.pools[j.Pool], now)
}

// lateWait is how long a job has waited here since it could last be on time.
func (j *Job) lateWait(b chuteroute.Batching, now time.Time) time.Duration {
	lateSince := j.TargetAt.Add(-j.TimeAfterStage - b.FullCall())
	if lateSince.Before(j.QueuedAt) {
		lateSince = j.QueuedAt
	}

	return now.Sub(lateSince)
}

// waitedTooLong says whether a late job has waited for as long as it may.
func (j *Job) waitedTooLong(b chuteroute.Batching, now time.Time) bool {
	return j.lateWait(b, now) > time.Duration(lateWaitShare*float64(j.Deadline.Sub(now)))
}
