package chutefleet

import (
	"math"
	"time"

	"azurechute.example/azurechute/internal/chutequota"
)

// Limit is what an upstream says of the requests that it takes from all nodes together.
type Limit struct {
	// PerSecond is the number that it takes in a second.
	PerSecond float64
	// Quota is the number of calls that this node may send it in any Span.
	Quota int
	Span  time.Duration
}

const (
	// minLimitSpan is the span over which a limit is dealt out to nodes. A longer one gives more
	// nodes a part, and lets them send more of it at once.
	minLimitSpan = 4 * time.Second
	// minLimitRate is the rate, a second, that is sent to an upstream that takes less: without
	// any answer it could not say that it takes more again.
	minLimitRate = 0.1
	// minTrialInterval is how long a node that owns nothing of a limit waits for a word on it before
	// it sends one call to find out whether it still holds, or longer, so that the trials of
	// all nodes take no more than trialPart of the limit.
	minTrialInterval = 30 * time.Second
	trialShare       = 0.25
)

// limit is a member's limit with how it was heard.
type limit struct {
	Limit

	isSet bool
	// receivedAt is when an answer last named it.
	receivedAt time.Time
	// sent are the calls that this node has sent since it was named, lastAt the last of them.
	sent       chutequota.Window
	lastSentAt time.Time
}

// withCallSent counts a call on its way to a member that names a limit.
func (l limit) withCallSent(now time.Time) limit {
	l.sent = l.sent.With(l.Span, now)
	l.lastSentAt = now

	return l
}

// Limit returns the limit that an upstream names; false if it names none.
func (f Fleet) Limit(id string) (Limit, bool) {
	m, ok := f.members.Get(id)

	return m.limit.Limit, ok && m.limit.isSet
}

// LimitedCount counts the upstreams that name a limit.
func (f Fleet) LimitedCount() int {
	n := 0
	for i := f.members.Iterator(); !i.Done(); {
		if _, m, _ := i.Next(); m.limit.isSet {
			n++
		}
	}

	return n
}

// WithLimitOwners takes in the nodes among which limits are dealt out: those that may send calls.
func (f Fleet) WithLimitOwners(owners chutequota.Owners) Fleet {
	f.limitOwners = owners
	for _, id := range f.memberIDs() {
		if m, _ := f.members.Get(id); m.limit.isSet {
			f.members = f.members.Set(id, f.withQuota(m))
		}
	}

	return f
}

// withQuota works out what this node may send a member that names a limit.
func (f Fleet) withQuota(m member) member {
	perSecond := max(minLimitRate, m.limit.PerSecond)
	m.limit.Span = max(minLimitSpan, time.Duration(float64(time.Second)/perSecond))
	totalCalls := math.Min(math.MaxInt32, perSecond*m.limit.Span.Seconds())
	m.limit.Quota = f.limitOwners.Quota(m.ID, int(totalCalls))

	return m
}

// WithLimit takes in that the answer to a call that was sent at a time names a limit.
//
// Answers overtake each other. A lower limit counts at once, a higher one only if the call
// was sent after the present one was heard.
func (f Fleet) WithLimit(id string, perSecond float64, sentAt, now time.Time) Fleet {
	return f.withMember(id, func(m *member) {
		if m.limit.isSet && perSecond > m.limit.PerSecond && sentAt.Before(m.limit.receivedAt) {
			return
		}
		m.limit.PerSecond, m.limit.isSet, m.limit.receivedAt = perSecond, true, now
		*m = f.withQuota(*m)
	})
}

// WithoutLimit takes in that the answer to a call that was sent at a time names none.
func (f Fleet) WithoutLimit(id string, sentAt time.Time) Fleet {
	m, ok := f.members.Get(id)
	if !ok || !m.limit.isSet || sentAt.Before(m.limit.receivedAt) {
		return f
	}

	return f.withMember(id, func(m *member) { m.limit = limit{} })
}

// limitAvailability says whether this node may send a call to a member that names a limit.
func (f Fleet) limitAvailability(m *member, now time.Time) Availability {
	next := f.nextTrialAt(m)
	if m.limit.Quota > 0 {
		next = m.limit.sent.Next(m.limit.Quota, m.limit.Span, now)
	}
	if next.After(now) {
		return Availability{Reason: BlockLimited, Until: next}
	}

	return Availability{}
}

// AvailableAt is when the first of a pool's upstreams may get a call again, if all that are not barred for
// good name limits and have had what this node may send; false if any may get one now, or is
// barred otherwise.
func (f Fleet) AvailableAt(pool string, now time.Time) (time.Time, bool) {
	var earliest time.Time
	for _, id := range f.pools[pool] {
		m, _ := f.members.Get(id)
		a := f.availability(&m, now)
		switch {
		case a.Reason.RemovesFromPool():
		case a.Reason != BlockLimited:
			return time.Time{}, false
		case earliest.IsZero() || a.Until.Before(earliest):
			earliest = a.Until
		}
	}

	return earliest, !earliest.IsZero()
}

// nextTrialAt is when a node that owns nothing of a member's limit may send a call to find out whether
// the limit still holds.
func (f Fleet) nextTrialAt(m *member) time.Time {
	perSecond := trialShare * max(minLimitRate, m.limit.PerSecond)
	interval := max(minTrialInterval, time.Duration(float64(f.limitOwners.Len())/perSecond*float64(time.Second)))
	if m.limit.lastSentAt.After(m.limit.receivedAt) {
		return m.limit.lastSentAt.Add(interval)
	}

	return m.limit.receivedAt.Add(interval)
}
