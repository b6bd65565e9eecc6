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
	// limitSpan is the span over which a limit is dealt out to nodes. A longer one gives more
	// nodes a part, and lets them send more of it at once.
	limitSpan = 4 * time.Second
	// lowestLimit is the rate, a second, that is sent to an upstream that takes less: without
	// any answer it could not say that it takes more again.
	lowestLimit = 0.1
	// trialPause is how long a node that owns nothing of a limit waits for a word on it before
	// it sends one call to find out whether it still holds, or longer, so that the trials of
	// all nodes take no more than trialPart of the limit.
	trialPause = 30 * time.Second
	trialPart  = 0.25
)

// limit is a member's limit with how it was heard.
type limit struct {
	Limit

	named bool
	// heardAt is when an answer last named it.
	heardAt time.Time
	// sent are the calls that this node has sent since it was named, lastAt the last of them.
	sent   chutequota.Window
	lastAt time.Time
}

// withSent counts a call on its way to a member that names a limit.
func (l limit) withSent(now time.Time) limit {
	l.sent = l.sent.WithSpent(l.Span, now)
	l.lastAt = now

	return l
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

// WithSharers takes in the nodes among which limits are dealt out: those that may send calls.
func (f Fleet) WithSharers(sharers chutequota.Allocator) Fleet {
	f.sharers = sharers
	for _, id := range f.ids() {
		if m, _ := f.members.Get(id); m.limit.named {
			f.members = f.members.Set(id, f.withQuota(m))
		}
	}

	return f
}

// withQuota works out what this node may send a member that names a limit.
func (f Fleet) withQuota(m member) member {
	perSecond := max(lowestLimit, m.limit.PerSecond)
	m.limit.Span = max(limitSpan, time.Duration(float64(time.Second)/perSecond))
	whole := math.Min(math.MaxInt32, perSecond*m.limit.Span.Seconds())
	m.limit.Quota = f.sharers.Quota(m.ID, int(whole))

	return m
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
		*m = f.withQuota(*m)
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

// limitAvailability says whether this node may send a call to a member that names a limit.
func (f Fleet) limitAvailability(m *member, now time.Time) Availability {
	next := f.trialAt(m)
	if m.limit.Quota > 0 {
		next = m.limit.sent.NextAt(m.limit.Quota, m.limit.Span, now)
	}
	if next.After(now) {
		return Availability{Bar: BarLimited, Until: next}
	}

	return Availability{}
}

// OpensAt is when the first of a pool's upstreams may get a call again, if all that are not barred for
// good name limits and have had what this node may send; false if any may get one now, or is
// barred otherwise.
func (f Fleet) OpensAt(pool string, now time.Time) (time.Time, bool) {
	var first time.Time
	for _, id := range f.pools[pool] {
		m, _ := f.members.Get(id)
		a := f.availability(&m, now)
		switch {
		case a.Bar.Lasting():
		case a.Bar != BarLimited:
			return time.Time{}, false
		case first.IsZero() || a.Until.Before(first):
			first = a.Until
		}
	}

	return first, !first.IsZero()
}

// trialAt is when a node that owns nothing of a member's limit may send a call to find out whether
// the limit still holds.
func (f Fleet) trialAt(m *member) time.Time {
	perSecond := trialPart * max(lowestLimit, m.limit.PerSecond)
	pause := max(trialPause, time.Duration(float64(f.sharers.NodeCount())/perSecond*float64(time.Second)))
	if m.limit.lastAt.After(m.limit.heardAt) {
		return m.limit.lastAt.Add(pause)
	}

	return m.limit.heardAt.Add(pause)
}
