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

// The bars, in the order in which they are looked at; the first one counts.
const (
	// BlockNone: it may get a call.
	BlockNone BlockReason = ""
	// BlockUnlisted: the platform's list has no such incarnation.
	BlockUnlisted BlockReason = "Unlisted"
	// BlockLeaving: it takes no new calls, for good.
	BlockLeaving BlockReason = "Leaving"
	// BlockUnreadable: its entry in the list can't be read.
	BlockUnreadable BlockReason = "Unreadable"
	// BlockEvacuated: the operator has evacuated its zone.
	BlockEvacuated BlockReason = "Evacuated"
	// BlockSetAside: it went silent and has a pause.
	BlockSetAside BlockReason = "SetAside"
	// BlockTrial: its pause is over, and one call is finding out whether it is back.
	BlockTrial BlockReason = "Tried"
	// BlockCold: it is cold, and this node has sent it its part of the calls that it bears.
	BlockCold BlockReason = "Cold"
	// BlockLimited: it takes so many requests a second, and this node has sent it its part of them.
	BlockLimited BlockReason = "Limited"
)

// Availability says whether an upstream may get a call.
type Availability struct {
	// Reason is BlockNone if it may.
	Reason BlockReason `json:"Bar,omitempty"`
	// Until is when the bar ends by itself; zero if only news can end it.
	Until time.Time `json:",omitzero"`
}

// IsAvailable says whether the upstream may get a call.
func (a Availability) IsAvailable() bool {
	return a.Reason == BlockNone
}

// Availability says whether an upstream may get a call now.
//
// It is the one place that decides so, for relayed calls, for calls with parts, and for
// probes. What only makes an upstream the worse choice is not decided here but weighed by
// Choose: its load, recent failures, a recent refusal for want of room, a zone that is cut
// off. Which requests may run at all is the quarantine's to say.
func (f Fleet) Availability(id string, now time.Time) Availability {
	m, ok := f.members.Get(id)
	if !ok {
		return Availability{Reason: BlockUnlisted}
	}

	return f.availability(&m, now)
}

func (f Fleet) availability(m *member, now time.Time) Availability {
	switch {
	case m.State != StateReady:
		return Availability{Reason: BlockLeaving}
	case m.unreadable:
		return Availability{Reason: BlockUnreadable}
	case f.evacuated[m.Zone]:
		return Availability{Reason: BlockEvacuated}
	case now.Before(m.setAsideUntil):
		return Availability{Reason: BlockSetAside, Until: m.setAsideUntil}
	case m.silentFailures > 0 && m.inFlight > 0:
		// A fleet of nodes that all sent their next requests to one that was silent
		// would lose them all if it is silent still.
		return Availability{Reason: BlockTrial}
	}
	if m.warmup.isCold(now) {
		if a := m.warmup.availability(now); !a.IsAvailable() {
			return a
		}
	}
	if m.limit.isSet {
		return f.limitAvailability(m, now)
	}

	return Availability{}
}

// RemovesFromPool says that only news ends the bar, so that the upstream is no part of its pool until then.
func (r BlockReason) RemovesFromPool() bool {
	return r == BlockUnlisted || r == BlockLeaving || r == BlockUnreadable || r == BlockEvacuated
}

// IsPoolEmpty says whether something that only news can end bars all upstreams of a pool.
func (f Fleet) IsPoolEmpty(pool string, now time.Time) bool {
	for _, id := range f.pools[pool] {
		if m, _ := f.members.Get(id); !f.availability(&m, now).Reason.RemovesFromPool() {
			return false
		}
	}

	return true
}

// PoolSize counts the upstreams of a pool that nothing bars but what passes by itself.
func (f Fleet) PoolSize(pool string, now time.Time) int {
	n := 0
	for _, id := range f.pools[pool] {
		if m, _ := f.members.Get(id); !f.availability(&m, now).Reason.RemovesFromPool() {
			n++
		}
	}

	return n
}

// DescribeBlocked tells for a log how many of a pool's upstreams get no call now, and why; empty if all may.
func (f Fleet) DescribeBlocked(pool string, now time.Time) string {
	count := map[BlockReason]int{}
	for _, id := range f.pools[pool] {
		m, _ := f.members.Get(id)
		if a := f.availability(&m, now); !a.IsAvailable() {
			count[a.Reason]++
		}
	}
	var all []string
	for _, reason := range slices.Sorted(maps.Keys(count)) {
		all = append(all, fmt.Sprint(count[reason], " ", reason))
	}

	return strings.Join(all, ", ")
}

// AvailableInPool returns the upstreams of a pool that may get a new call now, sorted by id.
func (f Fleet) AvailableInPool(pool string, now time.Time) []Upstream {
	var available []Upstream
	for _, id := range f.pools[pool] {
		if m, _ := f.members.Get(id); f.availability(&m, now).IsAvailable() {
			available = append(available, m.Upstream)
		}
	}

	return available
}

// HasAvailableInZone says whether any of the pool's upstreams in a zone may get a new call now.
func (f Fleet) HasAvailableInZone(pool, zone string, now time.Time) bool {
	for _, id := range f.pools[pool] {
		if m, _ := f.members.Get(id); m.Zone == zone && f.availability(&m, now).IsAvailable() {
			return true
		}
	}

	return false
}
