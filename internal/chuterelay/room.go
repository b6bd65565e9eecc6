package chuterelay

import (
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
)

const (
	// roomPatience is how long an upstream gets no parts while it is asked for its room: some
	// times what an answer takes.
	roomPatience = 100 * time.Millisecond
	// roomAgain is how often one is asked again while others' results lie there.
	roomAgain = 400 * time.Millisecond
	// roomLife is how long after its last call an upstream's room counts as known: longer
	// than results are kept, so that one which this node calls all along is asked once.
	roomLife = 10 * time.Second
)

// roomAsk is what this node knows of an upstream's room.
type roomAsk struct {
	// at is when the upstream was asked, usedAt when it was asked or got a call.
	at     time.Time
	usedAt time.Time
	// told says that it has answered, or is not waited for.
	told bool
}

// knownRooms asks upstreams for their room where this node can't know it, and returns those
// of the seats that may get parts meanwhile.
//
// A collector that takes over does not know what the one before had made. After a kill of
// many nodes that fills most of the room until its time is over, and each call finds out
// only by parts that are not made: a full call's time for nothing, and jobs that fail when
// their tries are used up.
func (st *step) knownRooms(lane chutebatch.Lane, seats []chutebatch.Seat) []chutebatch.Seat {
	b := st.config.Pools[lane.Pool].Batching
	if b == nil || b.Room <= 0 {
		return seats
	}
	var known []chutebatch.Seat
	for _, seat := range seats {
		if st.roomKnown(seat.Upstream) {
			known = append(known, seat)
		}
	}

	return known
}

// roomKnown says whether an upstream's room is known, or not waited for any more, and has it
// asked for where that is due.
func (st *step) roomKnown(upstream string) bool {
	ask, asked := st.roomAsks.Get(upstream)
	switch {
	case !asked || st.now.Sub(ask.usedAt) >= roomLife:
		st.askRoom(upstream, roomAsk{})

		return false
	case !ask.told:
		return st.now.Sub(ask.at) >= roomPatience
	case st.collector.Crowded(upstream, st.now) && st.now.Sub(ask.at) >= roomAgain:
		st.askRoom(upstream, ask)
	}

	return true
}

func (st *step) askRoom(upstream string, ask roomAsk) {
	u, ok := st.fleet.Get(upstream)
	if !ok {
		return
	}
	ask.at, ask.usedAt = st.now, st.now
	st.roomAsks = st.roomAsks.Set(upstream, ask)
	st.do(AskRoom{Upstream: u})
}

// roomUsed notes that an upstream got a call, so that its room stays known.
func (st *step) roomUsed(upstream string) {
	if ask, ok := st.roomAsks.Get(upstream); ok {
		ask.usedAt = st.now
		st.roomAsks = st.roomAsks.Set(upstream, ask)
	}
}

// roomTold takes in an upstream's word on its room; one that gave none gets parts as if it had room.
func (st *step) roomTold(e RoomTold) {
	ask, asked := st.roomAsks.Get(e.Upstream)
	u, listed := st.fleet.Get(e.Upstream)
	if !asked || !listed {
		return
	}
	ask.told = true
	st.roomAsks = st.roomAsks.Set(e.Upstream, ask)
	if e.Known {
		st.collector = st.collector.WithRoomTold(u.Pool, u.ID, e.Free, st.now)
	}
	st.fillAll()
}
