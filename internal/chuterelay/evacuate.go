package chuterelay

import "slices"

// evacuate takes in which zones the operator has evacuated.
//
// Nothing new goes to their upstreams from now on: no call, no part, no repeat, no resumed
// stream, no probe, and no word that results may go, which run out by themselves. What runs
// there goes on: its callers get their answers. Parts that wait go to other zones at once,
// and results that lie in the zone are still fetched by upstreams outside it.
func (st *step) evacuate(zones []string) {
	before := st.fleet.EvacuatedZones()
	st.fleet = st.fleet.WithEvacuated(zones, st.now)
	for _, zone := range zones {
		if !slices.Contains(before, zone) {
			st.do(NoteEvacuation{Zone: zone, Evacuated: true})
		}
	}
	for _, zone := range before {
		if !st.fleet.Evacuated(zone) {
			st.do(NoteEvacuation{Zone: zone})
		}
	}
	st.refuseUnlisted()
	st.fillAll()
}

// refuseUnlisted refuses the requests that no upstream has got yet and none is left for.
func (st *step) refuseUnlisted() {
	for i := st.requests.Iterator(); !i.Done(); {
		_, r, _ := i.Next()
		if r.current.id != 0 || r.begun {
			continue
		}
		if pool := st.unlisted(r); pool != "" {
			st.giveUp(r, st.noUpstream(pool))
		}
	}
}

// placeable returns the zone, or the own one in place of one where nothing can be placed.
func (st *step) placeable(zone string) string {
	if st.fleet.Evacuated(zone) {
		return st.zones.own
	}

	return st.zones.reachable(zone, st.now)
}

// unlisted says which of a request's pools has no upstream to run it; empty if all have some.
//
// With a stage's pool gone, the request would wait in a queue that nobody empties until its
// caller leaves.
func (st *step) unlisted(r request) string {
	if st.fleet.IsPoolEmpty(r.pool, st.now) {
		return r.pool
	}
	for i, stage := range r.Pipeline.Stages {
		if r.parts(i) > 0 && !r.stages[i].done && st.fleet.IsPoolEmpty(stage.Pool, st.now) {
			return stage.Pool
		}
	}

	return ""
}

// noUpstream is the refusal of a request whose pool has no upstream.
func (st *step) noUpstream(pool string) Refusal {
	if zones := st.fleet.EvacuatedZones(); len(zones) > 0 {
		// An evacuation lasts: whoever comes back sooner meets it again.
		return Refusal{
			Kind: RefusedNotRun, Reason: "no upstream of pool " + pool + " is left outside the evacuated zones",
			RetryAfter: overloadRetry,
		}
	}

	return notRun("no upstream of pool " + pool + " is listed")
}
