package chuterelay

import (
	"time"

	"azurechute.example/azurechute/internal/chutefleet"
)

// unreadableLimit is the rate, a second, that counts for an upstream that names a limit for the first
// time and in a way that can't be read: it is in need.
const unreadableLimit = 1.0

// noteLimit takes in what the answer to a call says of its upstream's limit.
func (st *step) noteLimit(u chutefleet.Upstream, limit *Limit, sentAt time.Time) {
	if limit == nil {
		return
	}
	before, limited := st.fleet.Limit(u.ID)
	if limited || limit.Named {
		// Nodes that have left the list lose their part some time after that.
		st.fleet = st.fleet.WithSharers(st.peers.sharers(st.now))
	}
	switch {
	case limit.Named:
		st.fleet = st.fleet.WithLimit(u.ID, limit.PerSecond, sentAt, st.now)
	case limit.Unreadable == "":
		st.fleet = st.fleet.WithoutLimit(u.ID, sentAt)
	case !limited:
		st.fleet = st.fleet.WithLimit(u.ID, unreadableLimit, sentAt, st.now)
	}
	after, limitedNow := st.fleet.Limit(u.ID)
	if limited != limitedNow || before.PerSecond != after.PerSecond {
		st.do(NoteLimit{Upstream: u, Limited: limitedNow, Limit: after, Unreadable: limit.Unreadable})
	}
}
