package chuterelay

import "slices"

// setEvacuatedZones takes in which zones the operator has evacuated.
//
// Nothing new goes to their upstreams from now on: no call, no part, no repeat, no resumed
// stream, no probe, and no word that results may go, which run out by themselves. What runs
// there goes on: its callers get their answers. Parts that wait go to other zones at once,
// and results that lie in the zone are still fetched by upstreams outside it.
func (st *reduction) setEvacuatedZones(zones []string) {
	before := st.fleet.EvacuatedZones()
	st.fleet = st.fleet.WithEvacuated(zones, st.now)
	for _, zone := range zones {
		if !slices.Contains(before, zone) {
			st.emit(LogEvacuation{Zone: zone, Evacuated: true})
		}
	}
	for _, zone := range before {
		if !st.fleet.Evacuated(zone) {
			st.emit(LogEvacuation{Zone: zone})
		}
	}
	st.refuseUnservable()
	st.fillAllLanes()
}

// refuseUnservable refuses the requests that no upstream has got yet and none is left for.
func (st *reduction) refuseUnservable() {
	for i := st.requests.Iterator(); !i.Done(); {
		_, r, _ := i.Next()
		if r.current.id != 0 || r.answerBegun {
			continue
		}
		if pool := st.poolWithoutUpstreams(r); pool != "" {
			st.giveUp(r, st.noUpstreamRefusal(pool))
		}
	}
}

// placementZone returns the zone, or the own one in place of one where nothing can be placed.
func (st *reduction) placementZone(zone string) string {
	if st.fleet.Evacuated(zone) {
		return st.zoneSilence.own
	}

	return st.zoneSilence.reachableOrOwn(zone, st.now)
}

// poolWithoutUpstreams says which of a request's pools has no upstream to run it; empty if all have some.
//
// With a stage's pool gone, the request would wait in a queue that nobody empties until its
// caller leaves.
func (st *reduction) poolWithoutUpstreams(r request) string {
	if st.fleet.Empty(r.pool, st.now) {
		return r.pool
	}
	for i, stage := range r.Pipeline.Stages {
		if r.parts(i) > 0 && !r.stages[i].done && st.fleet.Empty(stage.Pool, st.now) {
			return stage.Pool
		}
	}

	return ""
}

// noUpstreamRefusal is the refusal of a request whose pool has no upstream.
func (st *reduction) noUpstreamRefusal(pool string) Refusal {
	if zones := st.fleet.EvacuatedZones(); len(zones) > 0 {
		// An evacuation lasts: whoever comes back sooner meets it again.
		return Refusal{
			Kind: RefusedNotRun, Reason: "no upstream of pool " + pool + " is left outside the evacuated zones",
			RetryAfter: overloadRetryAfter,
		}
	}

	return notRunRefusal("no upstream of pool " + pool + " is listed")
}
