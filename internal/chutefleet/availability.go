package chutefleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// BlockReason is why an upstream may not get a call.
type BlockReason string

// The reasons, in the order in which they are checked; the first that applies is given.
const (
	// BlockNone: it may get a call.
	BlockNone BlockReason = ""
	// BlockUnlisted: the platform's list has no such incarnation.
	BlockUnlisted BlockReason = "Unlisted"
	// BlockLeaving: it takes no new calls until its process ends.
	BlockLeaving BlockReason = "Leaving"
	// BlockUnreadable: its entry in the list can't be decoded.
	BlockUnreadable BlockReason = "Unreadable"
	// BlockEvacuated: the operator has evacuated its zone.
	BlockEvacuated BlockReason = "Evacuated"
	// BlockVersion: the call is bound to another version, a rollout bars its version, or its version is new
	// and the orders that may concern it are not known yet.
	BlockVersion BlockReason = "Version"
	// BlockRegion: the call must not run in its region.
	BlockRegion BlockReason = "Region"
	// BlockResting: it has refused a call of this node and asked it for a rest.
	BlockResting BlockReason = "Resting"
	// BlockSuspended: it was silent and is suspended: it gets no calls for some time.
	BlockSuspended BlockReason = "SetAside"
	// BlockTrial: its suspension is over, and a trial call is in flight.
	BlockTrial BlockReason = "Tried"
	// BlockCold: it is cold, and this node has used up its quota of the calls that it may get.
	BlockCold BlockReason = "Cold"
	// BlockBrittle: it falls over if it has to turn calls away, and this node has as many calls there as
	// it may.
	BlockBrittle BlockReason = "Brittle"
	// BlockLimited: it has a rate limit, and this node has used up its quota of it.
	BlockLimited BlockReason = "Limited"
)

// Availability is whether an upstream may get a call, and if not, why and until when.
type Availability struct {
	// Reason is BlockNone if the upstream may get a call; state dumps name the field Bar.
	Reason BlockReason `json:"Bar,omitempty"`
	// Until is when the reason ends by itself; zero if only an event can end it.
	Until time.Time `json:",omitzero"`
}

// IsAvailable reports whether the upstream may get a call.
func (a Availability) IsAvailable() bool {
	return a.Reason == BlockNone
}

// Availability returns whether an upstream may get a call now.
//
// This is the only place that decides it. Choose weighs what only makes an upstream a worse choice.
func (f Fleet) Availability(id string, now time.Time) Availability {
	m, ok := f.members.Get(id)
	if !ok {
		return Availability{Reason: BlockUnlisted}
	}

	return f.availability(m, false, now)
}

// availability returns whether a member may get a call now; collecting says that the call is one with parts.
func (f Fleet) availability(m *member, collecting bool, now time.Time) Availability {
	switch {
	case m.State != StateReady:
		return Availability{Reason: BlockLeaving}
	case m.unreadable:
		return Availability{Reason: BlockUnreadable}
	case f.evacuated[m.Zone]:
		return Availability{Reason: BlockEvacuated}
	case m.Unvouched || f.isBarred(m):
		return Availability{Reason: BlockVersion}
	}
	if until := f.RestUntil(m.ID); now.Before(until) {
		return Availability{Reason: BlockResting, Until: until}
	}
	switch {
	case now.Before(m.suspendedUntil):
		return Availability{Reason: BlockSuspended, Until: m.suspendedUntil}
	case m.silentFailures > 0 && m.inFlight > 0:
		// One call at a time shows whether it is still silent.
		return Availability{Reason: BlockTrial}
	}
	if m.warmup.isCold(now) {
		if a := m.warmup.availability(now); !a.IsAvailable() {
			return a
		}
	}
	if m.brittle.isSet {
		if a := f.brittleAvailability(m, collecting, now); !a.IsAvailable() {
			return a
		}
	}
	if m.limit.isSet {
		return f.limitAvailability(m, now)
	}

	return Availability{}
}

// RemovesFromPool reports whether the upstream does not count as part of its pool: the
// reason ends only by a new list entry or by the operator, never by itself.
func (r BlockReason) RemovesFromPool() bool {
	return r == BlockUnlisted || r == BlockLeaving || r == BlockUnreadable || r == BlockEvacuated ||
		r == BlockVersion || r == BlockRegion
}

// IsPoolEmpty reports whether every upstream of a pool is blocked, for calls with a use, for a
// reason that removes it from the pool.
func (f Fleet) IsPoolEmpty(pool string, use Use, now time.Time) bool {
	for m := range f.inPool(pool, use) {
		if !f.availabilityFor(m, use, now).Reason.RemovesFromPool() {
			return false
		}
	}

	return true
}

// HasMoreThan reports whether a pool has more than a number of upstreams without those that are blocked,
// for calls with a use, for a reason that removes them from it.
func (f Fleet) HasMoreThan(pool string, count int, use Use, now time.Time) bool {
	if f.index(pool, use).size <= count {
		return false
	}
	n := 0
	for m := range f.inPool(pool, use) {
		if f.availabilityFor(m, use, now).Reason.RemovesFromPool() {
			continue
		}
		if n++; n > count {
			return true
		}
	}

	return false
}

// PoolSize returns the number of upstreams of a pool without those that are blocked, for calls with a
// use, for a reason that removes them from it. It looks at all of them.
func (f Fleet) PoolSize(pool string, use Use, now time.Time) int {
	n := 0
	for m := range f.inPool(pool, use) {
		if !f.availabilityFor(m, use, now).Reason.RemovesFromPool() {
			n++
		}
	}

	return n
}

// IsPoolSilent reports whether all upstreams that count as part of a pool, for calls with a use, are
// suspended by this node. It looks at them until one is not.
func (f Fleet) IsPoolSilent(pool string, use Use, now time.Time) bool {
	silent := false
	for m := range f.inPool(pool, use) {
		reason := f.availabilityFor(m, use, now).Reason
		if reason.RemovesFromPool() {
			continue
		}
		if reason != BlockSuspended && reason != BlockTrial {
			return false
		}
		silent = true
	}

	return silent
}

// PoolAvailability returns when the first of a pool's upstreams may get a call again and why not
// sooner, if all upstreams that count as part of the pool rest or are at their limits. It returns
// false if any is available now, or blocked for another reason.
func (f Fleet) PoolAvailability(pool string, use Use, now time.Time) (Availability, bool) {
	var earliest Availability
	for m := range f.inPool(pool, use) {
		a := f.availabilityFor(m, use, now)
		switch {
		case a.Reason.RemovesFromPool():
		case a.Reason != BlockLimited && a.Reason != BlockResting:
			return Availability{}, false
		case earliest.IsAvailable() || a.Until.Before(earliest.Until):
			earliest = a
		}
	}

	return earliest, !earliest.IsAvailable()
}

// DescribeBlocked returns, for a log, how many of a pool's upstreams get no call now, by
// reason; empty if all may get one.
func (f Fleet) DescribeBlocked(pool string, use Use, now time.Time) string {
	count := map[BlockReason]int{}
	for m := range f.inPool(pool, use) {
		if a := f.availabilityFor(m, use, now); !a.IsAvailable() {
			count[a.Reason]++
		}
	}
	var all []string
	for _, reason := range slices.Sorted(maps.Keys(count)) {
		all = append(all, fmt.Sprint(count[reason], " ", reason))
	}

	return strings.Join(all, ", ")
}

// AvailableInPool returns the upstreams of a pool that may get a new call with a use now. With a zone it
// returns only those of the zone.
func (f Fleet) AvailableInPool(pool, zone string, use Use, now time.Time) []Upstream {
	members := f.inPool(pool, use)
	if zone != "" {
		members = f.inZone(pool, zone, use)
	}
	var available []Upstream
	for m := range members {
		if f.availabilityFor(m, use, now).IsAvailable() {
			available = append(available, m.Upstream)
		}
	}

	return available
}

// HasAvailableInZone reports whether any of the pool's upstreams in a zone may get a new
// call now.
func (f Fleet) HasAvailableInZone(pool, zone string, use Use, now time.Time) bool {
	for m := range f.inZone(pool, zone, use) {
		if f.availabilityFor(m, use, now).IsAvailable() {
			return true
		}
	}

	return false
}
