package chutebatch

import "time"

// achievableRate is the part of the upstreams' full rate that parts get in practice:
// calls are not always full, and room for results is short at times.
const achievableRate = 0.8

// Admits says whether a job can still be of use behind the parts that go ahead of
// it, for which it waits here and at the stages that follow.
//
// Under a burst the queue grows until each job is late, and those turned away at
// last have held their callers for seconds. Turned away on arrival they can come
// back. A job is only turned away for the queue in front of it, never for being late
// by itself.
func (c Collector) Admits(j Job, wait time.Duration, now time.Time) bool {
	fullCallTime := c.pools[j.Pool].FullCall()
	if wait <= fullCallTime {
		return true
	}

	return !now.Add(wait + fullCallTime + j.TimeAfterStage).After(AdmissionDeadline(j.TargetAt, j.Deadline))
}

// EstimateWait is how long the parts that go ahead of those of a job at its level take.
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
