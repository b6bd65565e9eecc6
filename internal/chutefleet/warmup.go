package chutefleet

import (
	"maps"
	"time"

	"azurechute.example/azurechute/internal/chutequota"
)

// coldSpan is a second, and a fifth besides: calls go out somewhat later than they are decided
// on, each by another time.
const coldSpan = 1200 * time.Millisecond

// ColdBound is what the operator says of a pool's upstreams while they are cold.
type ColdBound struct {
	// Calls is the number of calls a second that one bears from all nodes together.
	Calls int
	// Time is how long one stays cold after its start.
	Time time.Duration
}

// coldBounds are the bounds by pool with the owners that deal them out; never changed.
type coldBounds struct {
	pools  map[string]ColdBound
	owners chutequota.Allocator
}

// warmup is what is known of an upstream's being cold.
//
// An upstream that has just started is empty, so by its load it is the best choice of every
// node at once, and more calls than it bears while cold end it. Each node works out alone
// which nodes own its calls while it is cold; to all others a cold upstream is not there.
type warmup struct {
	// until is when it is warm, by the platform's list or its own word.
	until time.Time
	// presumed is the same, for one that is taken for cold without a word on it.
	presumed time.Time
	// bounded says that its pool has a bound, quota how many calls this node may send it in
	// any second; both are kept up to date only while it is cold.
	bounded bool
	quota   int
	// sent are the calls that this node has sent it.
	sent chutequota.Window
}

// cold says whether the upstream is taken for cold.
func (w *warmup) cold(now time.Time) bool {
	return w.bounded && (now.Before(w.until) || now.Before(w.presumed))
}

// availability says whether this node may send a cold upstream a call.
func (w *warmup) availability(now time.Time) Availability {
	if w.quota == 0 {
		until := w.until
		if w.presumed.After(until) {
			until = w.presumed
		}

		return Availability{Bar: BarCold, Until: until}
	}
	if next := w.sent.NextAt(w.quota, coldSpan, now); next.After(now) {
		return Availability{Bar: BarCold, Until: next}
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
	f.bounds.owners = chutequota.NewAllocator(self, nodes)

	return f.withQuotas()
}

// withQuotas works out anew what this node may send to the upstreams that are cold.
func (f Fleet) withQuotas() Fleet {
	for _, id := range f.ids() {
		m, _ := f.members.Get(id)
		if !m.warmup.until.IsZero() || !m.warmup.presumed.IsZero() {
			f.members = f.members.Set(id, f.withWarmup(m, m.warmup))
		}
	}

	return f
}

// withWarmup returns the member with a warmup and what this node may send it.
func (f Fleet) withWarmup(m member, w warmup) member {
	bound, bounded := f.bounds.pools[m.Pool]
	w.bounded, w.quota = bounded, f.bounds.owners.Quota(m.ID, bound.Calls)
	m.warmup = w

	return m
}

// withTold takes in the list's word on how long a member stays cold, where before was its last one.
//
// The word comes in steps and changes seldom, so its time runs from when it was first heard:
// a node that hears late takes the upstream for cold for longer, never for warm too soon.
func (f Fleet) withTold(m member, before time.Duration, now time.Time) member {
	if m.Cold == before {
		return m
	}
	w := m.warmup
	w.until = time.Time{}
	if m.Cold > 0 {
		w.until = now.Add(m.Cold)
	}

	return f.withWarmup(m, w)
}

// WithCold takes in an upstream's own word on how long it stays cold.
func (f Fleet) WithCold(id string, left time.Duration, now time.Time) Fleet {
	return f.with(id, func(m *member) {
		w := m.warmup
		w.until = now.Add(left)
		*m = f.withWarmup(*m, w)
	})
}

// withPresumedCold takes a zone's upstreams for cold for as long as one is after its start.
//
// Those of an evacuated zone are cold when it is taken back, and their entries say so up to a
// heartbeat later. Until then every node would send to a zone that looks empty.
func (f Fleet) withPresumedCold(zone string, now time.Time) Fleet {
	for _, id := range f.ids() {
		m, _ := f.members.Get(id)
		if bound, bounded := f.bounds.pools[m.Pool]; bounded && m.Zone == zone {
			w := m.warmup
			w.presumed = now.Add(bound.Time)
			f.members = f.members.Set(id, f.withWarmup(m, w))
		}
	}

	return f
}

// Cold counts the upstreams that are taken for cold.
func (f Fleet) Cold(now time.Time) int {
	n := 0
	for i := f.members.Iterator(); !i.Done(); {
		if _, m, _ := i.Next(); m.warmup.cold(now) {
			n++
		}
	}

	return n
}
