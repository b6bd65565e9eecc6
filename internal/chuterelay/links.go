package chuterelay

import (
	"maps"
	"time"

	"azurechute.example/azurechute/internal/chutefleet"
)

const (
	// linkFailureTTL is how long a failed connection attempt counts.
	linkFailureTTL = 2 * time.Second
	// minFailedLinks is the number of upstreams to which connection attempts have to fail, without a
	// successful one to any, until this node's own links are probed.
	minFailedLinks = 2
	// linkProbes is the number of upstreams of a probe. All of them fail by chance only if most upstreams
	// are gone, and then other nodes can serve no more than this one.
	linkProbes = 4
	// linkProbeInterval is the time between two probes of a node that is cut off, returnProbes the number
	// of probes in a row after which it counts as connected. A link that loses packets fails some.
	linkProbeInterval = 400 * time.Millisecond
	returnProbes      = 2
	// maxFailedLinks bounds the failures that are remembered.
	maxFailedLinks = 64
)

// upstreamLinks tracks whether this node can open connections to upstreams at all.
//
// A node whose own links are cut sees every upstream fail. Answers on open connections prove nothing: they may
// live on while new ones are refused.
type upstreamLinks struct {
	// failed holds the upstreams to which a connection attempt has failed since the last successful one
	// to any, with the times. The map is replaced, never modified.
	failed map[string]time.Time
	// cutOff says that probes have shown that this node reaches no upstream.
	cutOff bool
	// cutOffAt is when that was shown last.
	cutOffAt time.Time
	// probing says that a probe is under way, reached counts those in a row that reached upstreams.
	probing bool
	reached int
}

// withFailure records a failed connection attempt.
func (l upstreamLinks) withFailure(upstream string, now time.Time) upstreamLinks {
	failed := maps.Clone(l.failed)
	if failed == nil || len(failed) >= maxFailedLinks {
		failed = map[string]time.Time{}
	}
	maps.DeleteFunc(failed, func(_ string, at time.Time) bool { return now.Sub(at) >= linkFailureTTL })
	failed[upstream] = now
	l.failed = failed

	return l
}

// suspected reports whether so many connection attempts have failed that the cause may be this node's own
// links.
func (l upstreamLinks) suspected(now time.Time) bool {
	recent := 0
	for _, at := range l.failed {
		if now.Sub(at) < linkFailureTTL {
			recent++
		}
	}

	return l.cutOff || recent >= minFailedLinks
}

// linkFailed records that no connection to an upstream could be opened.
func (st *reduction) linkFailed(id string) {
	st.links = st.links.withFailure(id, st.now)
	if st.links.suspected(st.now) && !st.links.cutOff {
		st.probeLinks(0)
	}
}

// linkOpened records that a connection to an upstream was opened.
func (st *reduction) linkOpened() {
	if !st.links.cutOff && len(st.links.failed) > 0 {
		st.links.failed = nil
	}
}

// probeLinks probes upstreams chosen at random after a pause, unless a probe is under way.
func (st *reduction) probeLinks(pause time.Duration) {
	if st.links.probing {
		return
	}
	upstreams := st.fleet.RandomUpstreams(linkProbes, st.randomFraction())
	if len(upstreams) == 0 {
		return
	}
	st.links.probing = true
	st.emit(ProbeLinks{Upstreams: upstreams, At: st.now.Add(pause)})
}

// linksProbed decides by a probe whether this node is cut off from all upstreams.
func (st *reduction) linksProbed(e LinksProbed) {
	st.links.probing = false
	switch {
	case !e.Reached:
		st.links.reached = 0
		if !st.links.cutOff {
			st.cutOff(e)
		}
		st.links.cutOffAt = st.now
		st.probeLinks(linkProbeInterval)
	case !st.links.cutOff:
		st.links.failed = nil
	case st.links.reached+1 < returnProbes:
		st.links.reached++
		st.probeLinks(linkProbeInterval / 2)
	default:
		st.links, st.peers.cutOff = upstreamLinks{}, false
		st.emit(LogLinks{})
		st.fillAllLanes()
	}
}

// cutOff hands over what needs upstreams, and forgets what was held against those that could not be
// reached.
func (st *reduction) cutOff(e LinksProbed) {
	st.links.cutOff, st.peers.cutOff = true, true
	st.emit(LogLinks{CutOff: true, Failed: e.Failed})
	for id := range st.links.failed {
		st.fleet = st.fleet.WithSuccess(id, st.now)
	}
	st.zoneSilence = newZoneSilence(st.settings.Self.Zone)
	for _, job := range st.collector.WaitingJobs() {
		st.returnJob(job, cutOffReason)
	}
	for i := st.requests.Iterator(); !i.Done(); {
		if _, r, _ := i.Next(); r.current.id == 0 {
			st.forwardOrRefuse(r, cutOffRefusal())
		}
	}
}

// cutOffReason is the reason why a node without links to upstreams does not run something.
const cutOffReason = "this VM reaches no upstream"

// cutOffRefusal refuses a request that no node can be found for.
func cutOffRefusal() Refusal {
	refusal := notRunRefusal(cutOffReason)
	refusal.Elsewhere = true

	return refusal
}

// CutOff reports whether the node reaches no upstream.
func (s State) CutOff() bool {
	return s.links.cutOff
}

// ProbeLinks checks, at a time, whether any of some upstreams accepts connections.
type ProbeLinks struct {
	Upstreams []chutefleet.Upstream
	At        time.Time
}

// LinksProbed reports whether any upstream of a probe accepted a connection; Failed are those that did not, if
// none did.
type LinksProbed struct {
	Reached bool
	Failed  []string
}

// LogLinks logs that this node reaches no upstream any more, or that it does again. Failed are the upstreams
// that were probed in vain.
type LogLinks struct {
	CutOff bool
	Failed []string
}

func (ProbeLinks) relayEffect() {}
func (LogLinks) relayEffect()   {}
func (LinksProbed) relayEvent() {}
