package chuterelay

import (
	"time"

	"azurechute.example/azurechute/internal/chutefleet"
)

// probeInterval is how often a silent upstream is checked for whether it accepts connections. It
// is less than the shortest time for which an upstream is suspended.
const probeInterval = 400 * time.Millisecond

// suspendSilent suspends an upstream and has it probed until it replies.
func (st *reduction) suspendSilent(id string) {
	if st.links.cutOff {
		return
	}
	st.fleet = st.fleet.WithFailure(id, chutefleet.FailureSilent, st.now)
	u, ok := st.fleet.Get(id)
	if _, probed := st.probing.Get(id); ok && !probed && !st.fleet.Evacuated(u.Zone) {
		st.probing = st.probing.Set(id, true)
		st.emit(Probe{Upstream: u, At: st.now.Add(probeInterval)})
	}
}

// recordFailure records a failure that counts against an upstream.
func (st *reduction) recordFailure(id string, kind chutefleet.FailureKind) {
	if kind == chutefleet.FailureSilent {
		st.suspendSilent(id)

		return
	}
	st.fleet = st.fleet.WithFailure(id, kind, st.now)
}

// probeEnded makes an upstream available again, or probes it again later.
func (st *reduction) probeEnded(e ProbeEnded) {
	st.probing = st.probing.Delete(e.Upstream)
	u, _ := st.fleet.Get(e.Upstream)
	switch {
	case st.fleet.Availability(e.Upstream, st.now).Reason.RemovesFromPool():
	case e.Alive:
		st.linkOpened()
		st.recordReply(u.Zone)
		st.fleet = st.fleet.WithSuccess(e.Upstream, st.now)
		st.fillAllLanes()
	default:
		st.zoneSilence = st.zoneSilence.withStillSilent(u.Zone, u.ID, st.now)
		st.suspendSilent(e.Upstream)
	}
}
