package chutebatch

// WithUpstreamEnded records that an upstream's process ended while it ran a call: the
// jobs whose parts were in the call are isolated from now on.
//
// One of them may crash every upstream that runs it. If they were queued again without
// isolation, they would share calls again and the cause could not be identified.
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

// WithoutRequest fails the waiting jobs of a quarantined request, given by its
// fingerprint.
func (c Collector) WithoutRequest(fingerprint string) (Collector, JobChanges) {
	var changes JobChanges
	for i := c.jobs.Iterator(); !i.Done(); {
		if _, j, _ := i.Next(); j.Fingerprint == fingerprint && len(j.pending) > 0 {
			c, changes = c.withFailed(j, PartQuarantined, changes)
		}
	}

	return c, changes
}
