package chutefleet

import "time"

// Limit is what an upstream says of the requests that it takes from all nodes together.
type Limit struct {
	// PerSecond is the number that it takes in a second.
	PerSecond float64
}

// limit is a member's limit with how it was heard.
type limit struct {
	Limit

	named bool
	// heardAt is when an answer last named it.
	heardAt time.Time
}

// Limit returns the limit that an upstream names; false if it names none.
func (f Fleet) Limit(id string) (Limit, bool) {
	m, ok := f.members.Get(id)

	return m.limit.Limit, ok && m.limit.named
}

// Limited counts the upstreams that name a limit.
func (f Fleet) Limited() int {
	n := 0
	for i := f.members.Iterator(); !i.Done(); {
		if _, m, _ := i.Next(); m.limit.named {
			n++
		}
	}

	return n
}

// WithLimit takes in that the answer to a call that was sent at a time names a limit.
//
// Answers overtake each other. A lower limit counts at once, a higher one only if the call
// was sent after the present one was heard.
func (f Fleet) WithLimit(id string, perSecond float64, sentAt, now time.Time) Fleet {
	return f.with(id, func(m *member) {
		if m.limit.named && perSecond > m.limit.PerSecond && sentAt.Before(m.limit.heardAt) {
			return
		}
		m.limit.PerSecond, m.limit.named, m.limit.heardAt = perSecond, true, now
	})
}

// WithoutLimit takes in that the answer to a call that was sent at a time names none.
func (f Fleet) WithoutLimit(id string, sentAt time.Time) Fleet {
	m, ok := f.members.Get(id)
	if !ok || !m.limit.named || sentAt.Before(m.limit.heardAt) {
		return f
	}

	return f.with(id, func(m *member) { m.limit = limit{} })
}
