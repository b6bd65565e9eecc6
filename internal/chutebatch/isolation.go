package chutebatch

// WithUpstreamEnded takes in that an upstream's process ended while it ran a call: the jobs
// whose parts were in it run alone from now on.
//
// One of them may end whatever runs it. Queued again side by side they would run side by
// side again, and nobody could tell which one it is.
func (c Collector) WithUpstreamEnded(call Call) Collector {
	seen := map[uint64]bool{}
	for _, p := range call.Parts {
		j, ok := c.jobs.Get(p.Job)
		if !ok || seen[p.Job] {
			continue
		}
		seen[p.Job] = true
		j.Isolated = true
		j.endedUpstreams++
		c = c.withJobState(j)
	}

	return c
}

// WithoutRequest gives up the waiting jobs of a request that is not to run any more.
func (c Collector) WithoutRequest(fingerprint string) (Collector, JobChanges) {
	var changes JobChanges
	for i := c.jobs.Iterator(); !i.Done(); {
		if _, j, _ := i.Next(); j.Fingerprint == fingerprint && len(j.pending) > 0 {
			c, changes = c.withFailed(j, PartQuarantined, changes)
		}
	}

	return c, changes
}
