package chutebatch

import "time"

// achievableRate is the fraction of the upstreams' maximum throughput that is reached
// in practice: calls are not always full, and memory for results is short at times.
const achievableRate = 0.8

// Admits reports whether a job can finish by its admission deadline if it waits for the given time, here and at the
// stages that follow, before its parts run. A job that waits no longer than a full call is always admitted: it is
// refused only for the queue ahead of it, never for being late by itself.
func (c Collector) Admits(j Job, wait time.Duration, now time.Time) bool {
	fullCallTime := c.pools[j.Pool].FullCall()
	if wait <= fullCallTime {
		return true
	}

	return !now.Add(wait + fullCallTime + j.TimeAfterStage).After(AdmissionDeadline(j.TargetAt, j.Deadline))
}

// EstimateWait returns how long the candidates take to run the parts that are ahead of
// the job in its queue; 0 without candidates or if the pool has no batching.
func (c Collector) EstimateWait(j Job, candidates []Candidate, now time.Time) time.Duration {
	batching, ok := c.pools[j.Pool]
	if !ok {
		return 0
	}
	j.Level = c.Level(j)
	ownKey := j.queueKey()
	earliestEnd := fullCallEnd(batching, now)
	ownLate := ownKey.dueBy < earliestEnd
	partsAhead := 0
	c.visitWaiting(j.Lane(), now, func(other *jobState) bool {
		otherKey := other.queueKey()
		otherLate := otherKey.dueBy < earliestEnd
		if otherLate && !ownLate || otherLate == ownLate && !otherKey.before(ownKey) {
			return false
		}
		partsAhead += len(other.pending)

		return true
	})
	partsPerSecond := 0.0
	for _, s := range candidates {
		partsPerSecond += achievableRate * float64(batching.Slots*batching.BatchSize) /
			(batching.FullCall().Seconds() * max(1, s.Slowness))
	}
	if partsPerSecond == 0 {
		return 0
	}

	return time.Duration(float64(partsAhead) / partsPerSecond * float64(time.Second))
}
