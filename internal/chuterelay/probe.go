package chuterelay

import (
	"time"

	"azurechute.example/azurechute/internal/chutefleet"
)

// probeEvery is how often a silent upstream is asked whether it accepts
// connections; less than the shortest pause that it is set aside for.
const probeEvery = 400 * time.Millisecond

// silent sets an upstream aside and has it asked until it answers.
//
// Without it each node would find out by requests, one after the other, that a
// zone is cut off, and each of them would lose a third of a second.
func (st *step) silent(id string) {
	st.fleet = st.fleet.WithFailure(id, chutefleet.FailureSilent, st.now)
	u, ok := st.fleet.Get(id)
	if _, probed := st.probed.Get(id); ok && !probed && !st.fleet.Evacuated(u.Zone) {
		st.probed = st.probed.Set(id, true)
		st.do(Probe{Upstream: u, At: st.now.Add(probeEvery)})
	}
}

// failedBy notes a failure that counts against an upstream.
func (st *step) failedBy(id string, kind chutefleet.FailureKind) {
	if kind == chutefleet.FailureSilent {
		st.silent(id)

		return
	}
	st.fleet = st.fleet.WithFailure(id, kind, st.now)
}

// probeEnded takes an upstream back, or asks again later.
func (st *step) probeEnded(e ProbeEnded) {
	st.probed = st.probed.Delete(e.Upstream)
	u, _ := st.fleet.Get(e.Upstream)
	switch {
	case st.fleet.Availability(e.Upstream, st.now).Reason.RemovesFromPool():
	case e.Alive:
		st.noteHeard(u.Zone)
		st.fleet = st.fleet.WithSuccess(e.Upstream, st.now)
		st.fillAll()
	default:
		st.zones = st.zones.withStillSilent(u.Zone, u.ID, st.now)
		st.silent(e.Upstream)
	}
}
