package chutefleet

import (
	"maps"
	"time"

	"azurechute.example/azurechute/internal/chutequota"
)

// coldQuotaSpan is a second, and a fifth besides: calls go out somewhat later than they are decided
// on, each by another time.
const coldQuotaSpan = 1200 * time.Millisecond

// ColdBound is what the operator says of a pool's upstreams while they are cold.
type ColdBound struct {
	// CallsPerSecond is the number of calls a second that one bears from all nodes together.
	CallsPerSecond int
	// Duration is how long one stays cold after its start.
	Duration time.Duration
}

// coldBounds are the bounds by pool with the owners that deal them out; never changed.
type coldBounds struct {
	pools  map[string]ColdBound
	owners chutequota.Owners
}

// warmup is what is known of an upstream's being cold.
//
// An upstream that has just started is empty, so by its load it is the best choice of every
// node at once, and more calls than it bears while cold end it. Each node works out alone
// which nodes own its calls while it is cold; to all others a cold upstream is not there.
type warmup struct {
	// coldUntil is when it is warm, by the platform's list or its own word.
	coldUntil time.Time
	// presumedUntil is the same, for one that is taken for cold without a word on it.
	presumedUntil time.Time
	// hasBound says that its pool has a bound, quota how many calls this node may send it in
	// any second; both are kept up to date only while it is cold.
	hasBound bool
	quota    int
	// sent are the calls that this node has sent it.
	sent chutequota.Window
}

// isCold says whether the upstream is taken for cold.
func (w *warmup) isCold(now time.Time) bool {
	return w.hasBound && (now.Before(w.coldUntil) || now.Before(w.presumedUntil))
}

// availability says whether this node may send a cold upstream a call.
func (w *warmup) availability(now time.Time) Availability {
	if w.quota == 0 {
		until := w.coldUntil
		if w.presumedUntil.After(until) {
			until = w.presumedUntil
		}

		return Availability{Reason: BlockCold, Until: until}
	}
	if next := w.sent.Next(w.quota, coldQuotaSpan, now); next.After(now) {
		return Availability{Reason: BlockCold, Until: next}
	}

	return Availability{}
}

// WithColdBounds takes in what pools' upstreams bear while they are cold. The upstreams of a
// pool that is not named are never taken for cold.
func (f Fleet) WithColdBounds(pools map[string]ColdBound) Fleet {
	f.bounds.pools = maps.Clone(pools)

	return f.withQuotas()
}

// WithNodes takes in the names of all nodes, and which of them is this one.
func (f Fleet) WithNodes(self string, nodes []string) Fleet {
	f.bounds.owners = chutequota.NewOwners(self, nodes)

	return f.withQuotas()
}

// withQuotas works out anew what this node may send to the upstreams that are cold.
func (f Fleet) withQuotas() Fleet {
	for _, id := range f.memberIDs() {
		m, _ := f.members.Get(id)
		if !m.warmup.coldUntil.IsZero() || !m.warmup.presumedUntil.IsZero() {
			f.members = f.members.Set(id, f.withWarmup(m, m.warmup))
		}
	}

	return f
}

// withWarmup returns the member with a warmup and what this node may send it.
func (f Fleet) withWarmup(m member, w warmup) member {
	bound, hasBound := f.bounds.pools[m.Pool]
	w.hasBound, w.quota = hasBound, f.bounds.owners.Quota(m.ID, bound.CallsPerSecond)
	m.warmup = w

	return m
}

// withListedCold takes in the list's word on how long a member stays cold, where before was its last one.
//
// The word comes in steps and changes seldom, so its time runs from when it was first heard:
// a node that hears late takes the upstream for cold for longer, never for warm too soon.
func (f Fleet) withListedCold(m member, previous time.Duration, now time.Time) member {
	if m.Cold == previous {
		return m
	}
	w := m.warmup
	w.coldUntil = time.Time{}
	if m.Cold > 0 {
		w.coldUntil = now.Add(m.Cold)
	}

	return f.withWarmup(m, w)
}

// WithCold takes in an upstream's own word on how long it stays cold.
func (f Fleet) WithCold(id string, remaining time.Duration, now time.Time) Fleet {
	return f.withMember(id, func(m *member) {
		w := m.warmup
		w.coldUntil = now.Add(remaining)
		*m = f.withWarmup(*m, w)
	})
}

// withPresumedCold takes a zone's upstreams for cold for as long as one is after its start.
//
// Those of an evacuated zone are cold when it is taken back, and their entries say so up to a
// heartbeat later. Until then every node would send to a zone that looks empty.
func (f Fleet) withPresumedCold(zone string, now time.Time) Fleet {
	for _, id := range f.memberIDs() {
		m, _ := f.members.Get(id)
		if bound, hasBound := f.bounds.pools[m.Pool]; hasBound && m.Zone == zone {
			w := m.warmup
			w.presumedUntil = now.Add(bound.Duration)
			f.members = f.members.Set(id, f.withWarmup(m, w))
		}
	}

	return f
}

// ColdCount counts the upstreams that are taken for cold.
func (f Fleet) ColdCount(now time.Time) int {
	n := 0
	for i := f.members.Iterator(); !i.Done(); {
		if _, m, _ := i.Next(); m.warmup.isCold(now) {
			n++
		}
	}

	return n
}
