package chutefleet

import (
	"maps"
	"time"

	"azurechute.example/azurechute/internal/chutequota"
)

// coldQuotaSpan is the period for which a cold upstream's quota of a second applies. It is longer because calls
// are sent with a varying delay.
const coldQuotaSpan = 1200 * time.Millisecond

// ColdBound is the operator's setting for a pool's upstreams while they are cold.
type ColdBound struct {
	// CallsPerSecond is the number of calls that one handles from all nodes together.
	CallsPerSecond int
	// Duration is how long one stays cold after its start.
	Duration time.Duration
}

// coldBounds holds the bounds by pool and the nodes among which they are divided; never modified.
type coldBounds struct {
	pools  map[string]ColdBound
	owners chutequota.Allocator
}

// warmup is the state of an upstream's warm-up.
//
// A few nodes have a quota of its calls while it is cold, which each node computes by itself; all others send
// it none.
type warmup struct {
	// coldUntil is when it is warm, by the platform's list or its own answers.
	coldUntil time.Time
	// presumedUntil is when it is warm if it is presumed cold without being reported so.
	presumedUntil time.Time
	// hasBound means that its pool has a ColdBound; quota is the number of calls that this node may send it in
	// any second. Both are kept up to date only while it is cold.
	hasBound bool
	quota    int
	// sent records the calls that this node has sent it while cold.
	sent chutequota.Window
}

// isCold reports whether the upstream is treated as cold.
func (w *warmup) isCold(now time.Time) bool {
	return w.hasBound && (now.Before(w.coldUntil) || now.Before(w.presumedUntil))
}

// availability returns whether this node may send a cold upstream a call.
func (w *warmup) availability(now time.Time) Availability {
	if w.quota == 0 {
		until := w.coldUntil
		if w.presumedUntil.After(until) {
			until = w.presumedUntil
		}

		return Availability{Reason: BlockCold, Until: until}
	}
	if next := w.sent.NextAt(w.quota, coldQuotaSpan, now); next.After(now) {
		return Availability{Reason: BlockCold, Until: next}
	}

	return Availability{}
}

// WithColdBounds replaces the bounds by pool. Upstreams of a pool without a bound are never treated as cold.
func (f Fleet) WithColdBounds(pools map[string]ColdBound) Fleet {
	f.bounds.pools = maps.Clone(pools)

	return f.withQuotas()
}

// WithNodes replaces the names of all nodes, and of this one, among which the cold bounds are divided.
func (f Fleet) WithNodes(self string, nodes []string) Fleet {
	f.bounds.owners = chutequota.NewAllocator(self, nodes)

	return f.withQuotas()
}

// withQuotas computes this node's quotas of the cold upstreams again.
func (f Fleet) withQuotas() Fleet {
	for m := range f.observedMembers() {
		if !m.warmup.coldUntil.IsZero() || !m.warmup.presumedUntil.IsZero() {
			f = f.withMember(m.ID, func(m *member) { f.setWarmup(m, m.warmup) })
		}
	}

	return f
}

// setWarmup sets a member's warm-up state and this node's quota for it.
func (f Fleet) setWarmup(m *member, w warmup) {
	bound, hasBound := f.bounds.pools[m.Pool]
	w.hasBound, w.quota = hasBound, f.bounds.owners.Quota(m.ID, bound.CallsPerSecond)
	m.warmup = w
}

// setListedCold applies how long a member stays cold from now according to its list entry; previous is the value
// of the entry before.
func (f Fleet) setListedCold(m *member, previous time.Duration, now time.Time) {
	if m.Cold == previous {
		return
	}
	w := m.warmup
	w.coldUntil = time.Time{}
	if m.Cold > 0 {
		w.coldUntil = now.Add(m.Cold)
	}

	f.setWarmup(m, w)
}

// WithCold records how long an upstream stays cold according to itself.
func (f Fleet) WithCold(id string, remaining time.Duration, now time.Time) Fleet {
	return f.withMember(id, func(m *member) {
		w := m.warmup
		w.coldUntil = now.Add(remaining)
		f.setWarmup(m, w)
	})
}

// withPresumedCold treats a zone's upstreams as cold for the Duration of their pool's bound.
//
// Their list entries say that they are cold up to a heartbeat later.
func (f Fleet) withPresumedCold(zone string, now time.Time) Fleet {
	for pool, bound := range f.bounds.pools {
		for m := range f.inZone(pool, zone, Use{}) {
			f = f.withMember(m.ID, func(m *member) {
				w := m.warmup
				w.presumedUntil = now.Add(bound.Duration)
				f.setWarmup(m, w)
			})
		}
	}

	return f
}

// ColdCount returns the number of upstreams that are treated as cold.
func (f Fleet) ColdCount(now time.Time) int {
	n := 0
	for m := range f.observedMembers() {
		if m.warmup.isCold(now) {
			n++
		}
	}

	return n
}
