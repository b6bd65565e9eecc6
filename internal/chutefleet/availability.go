package chutefleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Bar is why an upstream may not get a call.
type Bar string

// The bars, in the order in which they are looked at; the first one counts.
const (
	// BarNone: it may get a call.
	BarNone Bar = ""
	// BarUnlisted: the platform's list has no such incarnation.
	BarUnlisted Bar = "Unlisted"
	// BarLeaving: it takes no new calls, for good.
	BarLeaving Bar = "Leaving"
	// BarUnreadable: its entry in the list can't be read.
	BarUnreadable Bar = "Unreadable"
	// BarEvacuated: the operator has evacuated its zone.
	BarEvacuated Bar = "Evacuated"
	// BarSetAside: it went silent and has a pause.
	BarSetAside Bar = "SetAside"
	// BarTried: its pause is over, and one call is finding out whether it is back.
	BarTried Bar = "Tried"
	// BarCold: it is cold, and this node has sent it its part of the calls that it bears.
	BarCold Bar = "Cold"
	// BarLimited: it takes so many requests a second, and this node has sent it its part of them.
	BarLimited Bar = "Limited"
)

// Availability says whether an upstream may get a call.
type Availability struct {
	// Bar is BarNone if it may.
	Bar Bar `json:",omitempty"`
	// Until is when the bar ends by itself; zero if only news can end it.
	Until time.Time `json:",omitzero"`
}

// Open says whether the upstream may get a call.
func (a Availability) Open() bool {
	return a.Bar == BarNone
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
		return Availability{Bar: BarUnlisted}
	}

	return f.availability(&m, now)
}

func (f Fleet) availability(m *member, now time.Time) Availability {
	switch {
	case m.State != StateReady:
		return Availability{Bar: BarLeaving}
	case m.unreadable:
		return Availability{Bar: BarUnreadable}
	case f.evacuated[m.Zone]:
		return Availability{Bar: BarEvacuated}
	case now.Before(m.asideUntil):
		return Availability{Bar: BarSetAside, Until: m.asideUntil}
	case m.silent > 0 && m.inFlight > 0:
		// A fleet of nodes that all sent their next requests to one that was silent
		// would lose them all if it is silent still.
		return Availability{Bar: BarTried}
	}
	if m.warmup.cold(now) {
		if a := m.warmup.availability(now); !a.Open() {
			return a
		}
	}
	if m.limit.named {
		return f.limitAvailability(m, now)
	}

	return Availability{}
}

// Lasting says that only news ends the bar, so that the upstream is no part of its pool until then.
func (b Bar) Lasting() bool {
	return b == BarUnlisted || b == BarLeaving || b == BarUnreadable || b == BarEvacuated
}

// Empty says whether something that only news can end bars all upstreams of a pool.
func (f Fleet) Empty(pool string, now time.Time) bool {
	for _, id := range f.pools[pool] {
		if m, _ := f.members.Get(id); !f.availability(&m, now).Bar.Lasting() {
			return false
		}
	}

	return true
}

// Len counts the upstreams of a pool that nothing bars but what passes by itself.
func (f Fleet) Len(pool string, now time.Time) int {
	n := 0
	for _, id := range f.pools[pool] {
		if m, _ := f.members.Get(id); !f.availability(&m, now).Bar.Lasting() {
			n++
		}
	}

	return n
}

// Barred tells for a log how many of a pool's upstreams get no call now, and why; empty if all may.
func (f Fleet) Barred(pool string, now time.Time) string {
	count := map[Bar]int{}
	for _, id := range f.pools[pool] {
		m, _ := f.members.Get(id)
		if a := f.availability(&m, now); !a.Open() {
			count[a.Bar]++
		}
	}
	var all []string
	for _, bar := range slices.Sorted(maps.Keys(count)) {
		all = append(all, fmt.Sprint(count[bar], " ", bar))
	}

	return strings.Join(all, ", ")
}

// UsableIn returns the upstreams of a pool that may get a new call now, sorted by id.
func (f Fleet) UsableIn(pool string, now time.Time) []Upstream {
	var usable []Upstream
	for _, id := range f.pools[pool] {
		if m, _ := f.members.Get(id); f.availability(&m, now).Open() {
			usable = append(usable, m.Upstream)
		}
	}

	return usable
}

// UsableInZone says whether any of the pool's upstreams in a zone may get a new call now.
func (f Fleet) UsableInZone(pool, zone string, now time.Time) bool {
	for _, id := range f.pools[pool] {
		if m, _ := f.members.Get(id); m.Zone == zone && f.availability(&m, now).Open() {
			return true
		}
	}

	return false
}
