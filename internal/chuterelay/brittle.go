package chuterelay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"azurechute.example/azurechute/internal/chutefleet"
)

// maxBrittleForwards bounds the nodes that a request is forwarded to for want of room at brittle upstreams.
const maxBrittleForwards = 3

// recordBrittle updates whether an upstream is brittle from the answer to a call.
func (st *reduction) recordBrittle(u chutefleet.Upstream, brittle *Brittle, sentAt time.Time) {
	if brittle == nil {
		return
	}
	before, wasBrittle := st.fleet.Brittle(u.ID)
	if !wasBrittle && !brittle.Named {
		return
	}
	if brittle.Named {
		st.fleet = st.fleet.WithBrittle(u.ID, brittle.Rejections, st.now)
	} else {
		st.fleet = st.fleet.WithoutBrittle(u.ID, sentAt)
	}
	rejections, isBrittle := st.fleet.Brittle(u.ID)
	if isBrittle != wasBrittle || rejections != before {
		st.emit(LogBrittle{Upstream: u, Brittle: isBrittle, Rejections: rejections})
	}
	st.announceLimit(u)
}

// applyAnnouncedBrittle applies what another node has announced of a listed upstream.
func (st *reduction) applyAnnouncedBrittle(u chutefleet.Upstream, limit chutefleet.LimitRecord) {
	if limit.Brittle {
		st.fleet = st.fleet.WithBrittle(u.ID, limit.Rejections, st.now)
	} else {
		st.fleet = st.fleet.WithoutBrittle(u.ID, st.now)
	}
}

// brittlePeer chooses one of the nodes that may have calls at a brittle upstream of a request's pool; false if
// the pool's upstreams are not short of room for that reason.
func (st *reduction) brittlePeer(r request) (Peer, bool) {
	upstreams := st.fleet.BrittleUpstreams(r.pool, r.use(), st.now)
	if len(upstreams) == 0 {
		return Peer{}, false
	}
	u := upstreams[int(st.randomFraction()*float64(len(upstreams)))]
	owners := st.fleet.BrittleOwners(u)
	first := int(xxhash.Sum64String(r.ID) % uint64(max(1, len(owners)))) //nolint:gosec // an index
	for i := range owners {
		peer, listed := st.peers.byName[owners[(first+i)%len(owners)]]
		if listed && st.mayForwardTo(r, peer) {
			return peer, true
		}
	}

	return Peer{}, false
}

// forwardBrittle hands a request for which this node has no room left at brittle upstreams to a node that
// may have some; false if the pool is not short of room for that reason.
func (st *reduction) forwardBrittle(r request, refusal Refusal) bool {
	peer, ok := st.brittlePeer(r)
	if !ok || !r.canForward() || r.forwards >= maxBrittleForwards {
		return false
	}
	st.forwardTo(r, peer, refusal)

	return true
}

// LogBrittle logs that an upstream says that it falls over if it has to turn calls away, or not any more.
type LogBrittle struct {
	Upstream   chutefleet.Upstream
	Brittle    bool
	Rejections int
}

func (LogBrittle) relayEffect() {}
