package chutebatch

import "time"

// usableRate is the part of the upstreams' full rate that parts get in practice:
// calls are not always full, and room for results is short at times.
const usableRate = 0.8

// Admits says whether a job can still be of use behind the parts that go ahead of
// it, for which it waits here and at the stages that follow.
//
// Under a burst the queue grows until each job is late, and those turned away at
// last have held their callers for seconds. Turned away on arrival they can come
// back. A job is only turned away for the queue in front of it, never for being late
// by itself.
func (c Collector) Admits(j Job, wait time.Duration, now time.Time) bool {
	full := c.pools[j.Pool].FullCall()
	if wait <= full {
		return true
	}

	return !now.Add(wait + full + j.Rest).After(WorthEnding(j.AimAt, j.Deadline))
}

// Wait is how long the parts that go ahead of those of a job at its level take.
func (c Collector) Wait(j Job, seats []Seat, now time.Time) time.Duration {
	batching, ok := c.pools[j.Pool]
	if !ok {
		return 0
	}
	j.Level = c.Level(j)
	own := j.place()
	bound := lateAfter(batching, now)
	late := own.startBy < bound
	ahead := 0
	c.walk(j.Lane(), now, func(other *job) bool {
		at := other.place()
		otherLate := at.startBy < bound
		if otherLate && !late || otherLate == late && !at.before(own) {
			return false
		}
		ahead += len(other.pending)

		return true
	})
	perSecond := 0.0
	for _, s := range seats {
		perSecond += usableRate * float64(batching.Slots*batching.BatchSize) /
			(batching.FullCall().Seconds() * max(1, s.Slowness))
	}
	if perSecond == 0 {
		return 0
	}

	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}
