package chutefleet

import (
	"math"
	"time"
)

const (
	// brittleSlotShare is the share of a brittle upstream's slots that all nodes together use. New connections
	// may hold a slot for a moment, and the nodes' lists may differ.
	brittleSlotShare = 0.75
	// brittleHold is how long a brittle upstream gets nothing from this node after it had no room for a
	// call.
	brittleHold = time.Second
	// brittleLifetime is how long an upstream counts as brittle after that was last heard of it.
	brittleLifetime = 30 * time.Second
	// brittleKey begins the key by which the slots of an upstream are divided among nodes.
	brittleKey = "slots|"
)

// brittleness is what a member has said of the calls that it may turn away for want of room.
type brittleness struct {
	isSet bool
	// rejections is the number of calls a second that it may turn away.
	rejections int
	heardAt    time.Time
	// quota is the number of calls that this node may have there at the same time.
	quota int
}

// WithBrittle records that an upstream says that it falls over if it has to turn more than a number of calls
// away in a second. The quota is computed at the first word of it, and when the owners change.
func (f Fleet) WithBrittle(id string, rejections int, now time.Time) Fleet {
	return f.withMember(id, func(m *member) {
		if !m.brittle.isSet {
			m.brittle.isSet = true
			f.setBrittleQuota(m)
		}
		m.brittle.rejections, m.brittle.heardAt = rejections, now
	})
}

// WithoutBrittle records that the answer to a call sent at sentAt does not say that the upstream is brittle.
func (f Fleet) WithoutBrittle(id string, sentAt time.Time) Fleet {
	m, ok := f.members.Get(id)
	if !ok || !m.brittle.isSet || sentAt.Before(m.brittle.heardAt) {
		return f
	}

	return f.withMember(id, func(m *member) { m.brittle = brittleness{} })
}

// Brittle returns the number of calls a second that an upstream may turn away before it falls over; false
// if it has not said so.
func (f Fleet) Brittle(id string) (int, bool) {
	m, ok := f.members.Get(id)
	if !ok {
		return 0, false
	}

	return m.brittle.rejections, m.brittle.isSet
}

// BrittleUpstreams returns the ids of the brittle upstreams of a pool that may get calls with a use, though
// perhaps not from this node.
func (f Fleet) BrittleUpstreams(pool string, use Use, now time.Time) []string {
	var ids []string
	for m := range f.observedMembers() {
		if m.Pool == pool && m.brittle.isSet && f.blockedByBrittleness(m, use, now) {
			ids = append(ids, m.ID)
		}
	}

	return ids
}

// IsShortOfBrittleRoom reports whether a pool has an upstream that gets no call with a use for no other reason
// than that it is brittle.
func (f Fleet) IsShortOfBrittleRoom(pool string, use Use, now time.Time) bool {
	for m := range f.observedMembers() {
		if m.Pool == pool && m.brittle.isSet && f.blockedByBrittleness(m, use, now) {
			return true
		}
	}

	return false
}

// blockedByBrittleness reports whether a member gets no call because it is brittle.
func (f Fleet) blockedByBrittleness(m *member, use Use, now time.Time) bool {
	return f.availabilityFor(m, use, now).Reason == BlockBrittle
}

// setBrittleQuota computes this node's part of a brittle member's slots.
func (f Fleet) setBrittleQuota(m *member) {
	m.brittle.quota = f.limitOwners.Quota(brittleKey+m.ID, brittleSlots(m.Slots))
}

// brittleSlots returns the number of a brittle upstream's slots that all nodes together use.
func brittleSlots(slots int) int {
	return max(1, int(math.Floor(brittleSlotShare*float64(slots))))
}

// BrittleOwners returns the nodes that may have calls at a brittle upstream; none if it is not brittle.
func (f Fleet) BrittleOwners(id string) []string {
	m, ok := f.members.Get(id)
	if !ok || !m.brittle.isSet {
		return nil
	}

	return f.limitOwners.Owners(brittleKey+m.ID, brittleSlots(m.Slots))
}

// brittleAvailability returns whether this node may send a call to a brittle member, without a wait for a slot.
func (f Fleet) brittleAvailability(m *member, collecting bool, now time.Time) Availability {
	quota := m.brittle.quota
	if collecting {
		// The parts of a pool are collected by one node, which has the slots for itself.
		quota = m.Slots
	}
	switch {
	case now.Sub(m.brittle.heardAt) >= brittleLifetime:
		return Availability{}
	case now.Before(m.fullAt.Add(brittleHold)):
		return Availability{Reason: BlockBrittle, Until: m.fullAt.Add(brittleHold)}
	case m.inFlight >= quota:
		return Availability{Reason: BlockBrittle}
	default:
		return Availability{}
	}
}
