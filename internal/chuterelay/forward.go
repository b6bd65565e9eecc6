package chuterelay

import (
	"slices"
	"time"
)

const (
	// maxForwards bounds the nodes that one request is forwarded to, one after the other.
	maxForwards = 12
	// peerDraws is the number of nodes that are drawn at random to find two that may serve a request.
	peerDraws = 12
	// unlinkedPause is how long a peer is not asked again that has said that it can't serve.
	unlinkedPause = 2 * time.Second
)

// Forwarded says that another node has received a request and has this one serve it.
type Forwarded struct {
	// Node is the name of the node that has received the request.
	Node string
	// Waited is how long ago that was.
	Waited time.Duration
	// PossibleRuns is how many upstreams may have run the request before.
	PossibleRuns int
	// Counted says that the request has been counted there for the retry budget.
	Counted bool
}

// forwarding is what a node knows of others to which it may forward requests.
type forwarding struct {
	// inFlight counts the requests that are at a peer now, by the peer's name. The maps are replaced, never
	// modified.
	inFlight map[string]int
	// unlinkedUntil holds the peers that could not serve, with the times until which they are not asked.
	unlinkedUntil map[string]time.Time
}

// withInFlight returns the state with a change of the requests at a peer.
func (f forwarding) withInFlight(peer string, change int) forwarding {
	next := make(map[string]int, len(f.inFlight)+1)
	for name, n := range f.inFlight {
		next[name] = n
	}
	if next[peer] += change; next[peer] <= 0 {
		delete(next, peer)
	}
	f.inFlight = next

	return f
}

// withUnlinked returns the state with a peer that can't serve for now.
func (f forwarding) withUnlinked(peer string, now time.Time) forwarding {
	next := map[string]time.Time{peer: now.Add(unlinkedPause)}
	for name, until := range f.unlinkedUntil {
		if now.Before(until) && name != peer {
			next[name] = until
		}
	}
	f.unlinkedUntil = next

	return f
}

// canForward reports whether a request may be handed to another node.
func (r request) canForward() bool {
	return !r.isForwarded && r.forwards < maxForwards && (r.possibleRuns == 0 || !r.atMostOnce())
}

// mayHaveRun reports whether an upstream may have run a request: a call was sent to one, or the request is forwarded
// and the other node may have sent one.
func (r request) mayHaveRun() bool {
	return r.possibleRuns > 0 || r.current.peer.Name != ""
}

// forwardOrRefuse hands a request to another node, or refuses it if there is none.
func (st *reduction) forwardOrRefuse(r request, refusal Refusal) {
	if !r.canForward() {
		st.giveUp(r, refusal)

		return
	}
	peer, ok := st.forwardPeer(r)
	if !ok {
		st.giveUp(r, refusal)

		return
	}
	st.forwardTo(r, peer, refusal)
}

// forwardTo hands a request to a peer; the refusal is what the caller would get otherwise.
func (st *reduction) forwardTo(r request, peer Peer, refusal Refusal) {
	for i := range r.stages {
		r = st.dropStage(r, i)
	}
	r.forwards++
	r.forwardTried = append(r.forwardTried[:len(r.forwardTried):len(r.forwardTried)], peer.Name)
	r.current = attempt{id: st.newID(), peer: peer, sentAt: st.now}
	st.forwarding = st.forwarding.withInFlight(peer.Name, 1)
	st.putRequest(r)
	st.logStep(StepForwarded, r, func(n *LogStep) { n.Peer, n.Zone, n.Reason = peer.Name, peer.Zone, refusal.Reason })
	st.emit(Send{
		Handle: r.Handle, Attempt: r.current.id, Peer: peer, Workspace: r.Workspace.Name, Deadline: r.Deadline,
		Resume: r.answerBegun, Replaceable: !r.atMostOnce(), Streams: r.Pipeline.Streams, PossibleRuns: r.possibleRuns,
		ArrivedAt: r.arrivedAt, Counted: r.counted,
	})
}

// dropStage gives a stage's job and results back. The peer runs all stages again, and so does this node if
// the request comes back: results that a later stage has taken in are gone.
func (st *reduction) dropStage(r request, i int) request {
	if id := r.stages[i].jobRequestID; id != 0 {
		st.dropJobRequest(id, r.stages[i].results)
	}

	return r.withStage(i, stageState{done: r.parts(i) == 0})
}

// forwardPeer chooses a node for a request: the less loaded of two that are drawn at random, of the own
// availability zone if there are any that may serve it.
func (st *reduction) forwardPeer(r request) (Peer, bool) {
	zones := [][]Peer{st.peers.inZone[st.settings.Self.Zone], st.peers.all}
	for _, peers := range zones {
		var best Peer
		found := 0
		for range peerDraws {
			if len(peers) == 0 || found == 2 {
				break
			}
			peer := peers[int(st.randomFraction()*float64(len(peers)))]
			if !st.mayForwardTo(r, peer) || peer.Name == best.Name {
				continue
			}
			if found == 0 || st.forwardLoad(peer) < st.forwardLoad(best) {
				best = peer
			}
			found++
		}
		if found > 0 {
			return best, true
		}
	}

	return Peer{}, false
}

// forwardLoad returns the load that this node puts on a peer, in relation to its power.
func (st *reduction) forwardLoad(peer Peer) float64 {
	const minPower = 0.01

	return float64(1+st.forwarding.inFlight[peer.Name]) / max(minPower, peer.Power)
}

// mayForwardTo reports whether a request may be forwarded to a peer. The body must not leave the caller's
// region for one in which the request must not run.
func (st *reduction) mayForwardTo(r request, peer Peer) bool {
	return peer.Name != st.settings.Self.Name && !st.peers.skipped(peer, st.now) &&
		!st.now.Before(st.forwarding.unlinkedUntil[peer.Name]) && !slices.Contains(r.forwardTried, peer.Name) &&
		(peer.Region == st.settings.Self.Region || r.regions.Contains(peer.Region))
}

// forwardEnded decides how a request goes on that was forwarded.
func (st *reduction) forwardEnded(r request, e AttemptEnded) {
	peer := r.current.peer
	st.uncountAttempt(r)
	r.current = attempt{}
	switch {
	case e.Refusal != nil && e.Refusal.Elsewhere && e.Refusal.Kind == RefusedNotRun:
		if !st.fleet.IsShortOfBrittleRoom(r.pool, r.use(), st.now) {
			st.forwarding = st.forwarding.withUnlinked(peer.Name, st.now)
		}
		st.putRequest(r)
		st.forwardFailed(r, *e.Refusal)
	case e.Refusal != nil:
		if e.Refusal.Kind != RefusedNotRun {
			r.possibleRuns++
		}
		st.giveUp(r, *e.Refusal)
	case e.End == EndUnreachable:
		st.peers = st.peers.withLost(peer.Name, e.Silent, st.now)
		st.putRequest(r)
		st.forwardFailed(r, cutOffRefusal())
	case e.HasAnswer || e.End == EndAnswered:
		st.logStep(StepAnswered, r, func(n *LogStep) { n.Peer = peer.Name })
		st.emit(Deliver{Handle: r.Handle, Attempt: e.Attempt})
		st.finish(r)
	default:
		if e.Silent {
			st.peers = st.peers.withLost(peer.Name, true, st.now)
		}
		st.forwardLost(r, e)
	}
}

// forwardFailed goes on with a request that certainly has not run at the last peer.
func (st *reduction) forwardFailed(r request, refusal Refusal) {
	refusal.Elsewhere = false
	switch {
	case !st.now.Add(r.callTime() / 2).Before(r.Deadline):
		st.giveUp(r, refusal)
	case st.links.suspected(st.now):
		st.forwardOrRefuse(r, refusal)
	default:
		st.advance(r)
	}
}

// forwardLost goes on with a request that may have run at a peer that was lost.
func (st *reduction) forwardLost(r request, e AttemptEnded) {
	r.possibleRuns++
	r.maybeReached, r.lastEnd = true, e.End
	st.putRequest(r)
	switch {
	case r.atMostOnce():
		st.giveUp(r, failedRefusal("the call may have run: "+string(e.End)))
	case r.isBindingUnknown():
		st.giveUp(r, unknownBindingRefusal())
	case r.possibleRuns >= r.maxPossibleRuns():
		st.giveUp(r, failedRefusal("all attempts failed: "+string(e.End)))
	default:
		// The next peer checks and counts the retry.
		st.forwardFailed(r, cutOffRefusal())
	}
}
