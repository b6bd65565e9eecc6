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
	// cutOffSince is when they first did, lastFailed the upstreams that the last probe tried in vain.
	cutOffSince time.Time
	lastFailed  []string
	// probing says that a probe is scheduled or under way, probeAt is when it begins, and reached counts those in
	// a row that reached upstreams.
	probing bool
	probeAt time.Time
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
	if len(upstreams) == 0 && !st.links.cutOff {
		// Without upstreams nothing says that the links are cut.
		return
	}
	st.links.probing, st.links.probeAt = true, st.now.Add(pause)
	st.emit(ProbeLinks{Upstreams: upstreams, At: st.links.probeAt})
}

// keepProbing has a probe scheduled at all times while this node is cut off.
//
// It is called after each event, whatever the event was: a successful probe alone ends the state.
func (st *reduction) keepProbing() {
	if st.links.cutOff {
		st.probeLinks(linkProbeInterval)
	}
}

// linksProbed decides by a probe whether this node is cut off from all upstreams.
func (st *reduction) linksProbed(e LinksProbed) {
	st.links.probing = false
	switch {
	case !e.Reached:
		st.links.reached = 0
		switch {
		case !st.links.cutOff:
			st.cutOff(e)
		case len(e.Failed) == 0 && len(st.links.lastFailed) > 0:
			st.emit(LogLinks{CutOff: true, Since: st.links.cutOffSince})
		}
		st.links.lastFailed = e.Failed
	case !st.links.cutOff:
		st.links.failed = nil
	case st.links.reached+1 < returnProbes:
		st.links.reached++
		st.probeLinks(linkProbeInterval / 2)
	default:
		st.emit(LogLinks{Since: st.links.cutOffSince})
		st.links, st.peers.cutOff = upstreamLinks{}, false
		st.fillAllLanes()
	}
}

// cutOff hands over what needs upstreams, and forgets what was held against those that could not be
// reached.
func (st *reduction) cutOff(e LinksProbed) {
	st.links.cutOff, st.peers.cutOff, st.links.cutOffSince = true, true, st.now
	st.emit(LogLinks{CutOff: true, Failed: e.Failed, Since: st.now})
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

// ProbeLinks checks, at a time, whether any of some upstreams accepts connections. There are none if no upstream is
// ready; then none is reached.
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

// LogLinks logs that this node reaches no upstream any more, that it still does not and no upstream is left to probe, or
// that it reaches some again.
type LogLinks struct {
	CutOff bool
	// Failed are the upstreams that were probed in vain; empty if none was listed.
	Failed []string
	// Since is when the node found out that it reaches none.
	Since time.Time
}

// LinksView describes in a state dump that a node reaches no upstream.
type LinksView struct {
	CutOffSince time.Time
	// Failed are the upstreams that the last probe tried in vain; empty if none was listed.
	Failed      []string
	NextProbeAt time.Time
}

// linksView returns the node's links for a state dump; nil unless it is cut off.
func (s State) linksView() *LinksView {
	if !s.links.cutOff {
		return nil
	}

	return &LinksView{CutOffSince: s.links.cutOffSince, Failed: s.links.lastFailed, NextProbeAt: s.links.probeAt}
}

func (ProbeLinks) relayEffect() {}
func (LogLinks) relayEffect()   {}
func (LinksProbed) relayEvent() {}
