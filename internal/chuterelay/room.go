package chuterelay

import (
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
)

// roomEvery is how often an upstream is asked for its free room while others hold
// some of it: results that a lost collector left are freed or run out meanwhile.
const roomEvery = 250 * time.Millisecond

// askRoom asks an upstream for its free room after it had none for a part.
//
// What others hold there can only be guessed from refusals, each at the price of a
// call; the upstream itself knows.
func (st *step) askRoom(upstream string, ends []chutebatch.PartEnd) {
	short := slices.ContainsFunc(ends, func(e chutebatch.PartEnd) bool { return e.Failure == chutebatch.PartNoRoom })
	if short {
		st.askRoomAt(upstream, st.now)
	}
}

func (st *step) askRoomAt(upstream string, at time.Time) {
	u, listed := st.fleet.Get(upstream)
	if _, asked := st.roomAsked.Get(upstream); asked || !listed {
		return
	}
	st.roomAsked = st.roomAsked.Set(upstream, true)
	st.do(AskRoom{Upstream: u, At: at})
}

// roomReported takes an upstream's word on its room, and asks again while others hold some.
func (st *step) roomReported(e RoomReported) {
	st.roomAsked = st.roomAsked.Delete(e.Upstream)
	u, listed := st.fleet.Get(e.Upstream)
	if !listed {
		return
	}
	if e.Free >= 0 {
		st.collector = st.collector.WithFree(u.Pool, e.Upstream, e.Free, st.now)
		st.fillAll()
	}
	if st.collector.Crowded(e.Upstream, st.now) {
		st.askRoomAt(e.Upstream, st.now.Add(roomEvery))
	}
}
