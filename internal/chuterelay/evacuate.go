package chuterelay

import (
	"slices"

	"azurechute.example/azurechute/internal/chutefleet"
)

// setEvacuatedZones applies the list of zones that the operator has evacuated.
//
// Nothing new goes to their upstreams, retries and probes included. What runs there continues, and its results
// are still fetched.
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

// refuseUnservable refuses the requests that were not sent to any upstream and for which no
// upstream is left.
func (st *reduction) refuseUnservable() {
	st.endStreamsWithoutVersion()
	for i := st.requests.Iterator(); !i.Done(); {
		_, r, _ := i.Next()
		if r.current.id != 0 || r.answerBegun {
			continue
		}
		if pool := st.poolWithoutUpstreams(r); pool != "" {
			st.giveUp(r, st.noUpstreamRefusal(r, pool))
		}
	}
}

// placementZone returns the zone, or this node's zone if nothing can be placed there.
func (st *reduction) placementZone(zone string) string {
	if st.fleet.Evacuated(zone) {
		return st.zoneSilence.own
	}

	return st.zoneSilence.reachableOrOwn(zone, st.now)
}

// poolWithoutUpstreams returns a pool of the request that has no upstream to run it, or an empty
// string if all have some.
func (st *reduction) poolWithoutUpstreams(r request) string {
	if st.fleet.IsPoolEmpty(r.pool, r.use(), st.now) {
		return r.pool
	}
	use := chutefleet.Use{Regions: r.regions}
	for i, stage := range r.Pipeline.Stages {
		if r.parts(i) > 0 && !r.stages[i].done && st.fleet.IsPoolEmpty(stage.Pool, use, st.now) {
			return stage.Pool
		}
	}

	return ""
}

// noUpstreamRefusal refuses a request whose pool has no upstream in the regions in which it may run.
func (st *reduction) noUpstreamRefusal(r request, pool string) Refusal {
	regions := r.regions
	if pool == r.pool && !r.Binding.IsZero() && !st.fleet.IsPoolEmpty(pool, chutefleet.Use{Regions: regions}, st.now) {
		return noVersionRefusal(r)
	}
	if !regions.IsAll() && !st.fleet.IsPoolEmpty(pool, chutefleet.Use{}, st.now) {
		return notRunRefusal("no upstream of pool " + pool + " is left in the allowed regions " + regions.String())
	}
	if zones := st.fleet.EvacuatedZones(); len(zones) > 0 {
		// An evacuation lasts: a caller that retries sooner would be refused again.
		return Refusal{
			Kind: RefusedNotRun, Reason: "no upstream of pool " + pool + " is left outside the evacuated zones",
			RetryAfter: overloadRetryAfter, sameForAll: true,
		}
	}

	return notRunRefusal("no upstream of pool " + pool + " is listed that is not leaving")
}
