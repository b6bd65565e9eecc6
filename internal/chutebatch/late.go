package chutebatch

import (
	"time"

	"azurechute.example/azurechute/internal/chuteroute"
)

// lateWaitShare is the fraction of a caller's remaining time for which a late job may
// wait. The other half is left for the stages that follow, or for the caller's retry.
const lateWaitShare = 1.0 / 2

// AdmissionDeadline returns the time by which a queued request must be expected to
// finish to be admitted: halfway between its target time and its deadline.
//
// Refused later, callers would have no time to retry; refused at the target time, they would find the same queue.
func AdmissionDeadline(targetAt, deadline time.Time) time.Time {
	return targetAt.Add(time.Duration(lateWaitShare * float64(max(0, deadline.Sub(targetAt)))))
}

// IsLate reports whether a job would miss its target time even if it started now.
func (c Collector) IsLate(j Job, now time.Time) bool {
	return j.queueKey().dueBy < fullCallEnd(c.pools[j.Pool], now)
}

// lateWait returns how long a job has waited here since the last moment at which it
// could have started and been on time.
func (j *Job) lateWait(b chuteroute.Batching, now time.Time) time.Duration {
	lateSince := j.TargetAt.Add(-j.TimeAfterStage - b.FullCall())
	if lateSince.Before(j.QueuedAt) {
		lateSince = j.QueuedAt
	}

	return now.Sub(lateSince)
}

// waitedTooLong reports whether a late job has waited for more than lateWaitShare of
// the time until its deadline.
func (j *Job) waitedTooLong(b chuteroute.Batching, now time.Time) bool {
	return j.lateWait(b, now) > time.Duration(lateWaitShare*float64(j.Deadline.Sub(now)))
}
