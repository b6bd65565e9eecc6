package chutebatch

import (
	"time"

	"azurechute.example/azurechute/internal/chuteroute"
)

// holdShare is the part of a caller's time left for which a late job waits: the other
// half is left for the stages that follow, or for the caller's other sending.
const holdShare = 1.0 / 2

// WorthEnding is the time up to which an answer is worth waiting for in a queue.
//
// A late answer is worth less than one on time and more than none. Turned away for the
// aim alone, callers come back with their aim passed and meet the same queue: in bursts
// that take a pool to its limit for some seconds callers were refused twice, though the
// queue was gone long before their deadlines. Held to the deadline, they would have no
// time for their other sending. So they are held for a part of it.
func WorthEnding(aimAt, deadline time.Time) time.Time {
	return aimAt.Add(time.Duration(holdShare * float64(max(0, deadline.Sub(aimAt)))))
}

// Late says whether a job can't make its aim any more, even if it had its turn now.
func (c Collector) Late(j Job, now time.Time) bool {
	return j.place().startBy < lateAfter(c.pools[j.Pool], now)
}

// lateFor is how long a job has waited here since it could last be on time.
func (j *Job) lateFor(b chuteroute.Batching, now time.Time) time.Duration {
	since := j.AimAt.Add(-j.Rest - b.FullCall())
	if since.Before(j.Since) {
		since = j.Since
	}

	return now.Sub(since)
}

// overstays says whether a late job has waited for as long as it may.
func (j *Job) overstays(b chuteroute.Batching, now time.Time) bool {
	return j.lateFor(b, now) > time.Duration(holdShare*float64(j.Deadline.Sub(now)))
}
