package chutefleet

import (
	"math"
	"time"

	"azurechute.example/azurechute/internal/chutequota"
)

// Limit is the rate limit that an upstream announces for the requests of all nodes together.
type Limit struct {
	// PerSecond is the number of requests a second.
	PerSecond float64
	// Quota is the number of calls that this node may send it in any period of length Span.
	Quota int
	Span  time.Duration
}

const (
	// minLimitSpan is the shortest period for which a limit is divided into quotas. A longer one gives more
	// nodes a quota, and lets them send more calls at once.
	minLimitSpan = 4 * time.Second
	// minLimitRate is the lowest rate, in calls a second, that is used in place of a limit: without calls an
	// upstream could not announce a higher one.
	minLimitRate = 0.1
	// minTrialInterval is how long a node without a quota of a limit waits for news of it before it sends a
	// trial call. The interval is longer if the trial calls of all nodes would exceed trialShare of the limit.
	minTrialInterval = 30 * time.Second
	trialShare       = 0.25
)

// limit is a member's limit with the times at which it was received and used.
type limit struct {
	Limit

	isSet bool
	// receivedAt is when an answer last announced it.
	receivedAt time.Time
	// sent records the calls of this node since the limit was announced, lastSentAt when the last one was sent.
	sent       chutequota.Window
	lastSentAt time.Time
}

// withCallSent counts a call that is sent to a member with a limit.
func (l limit) withCallSent(now time.Time) limit {
	l.sent = l.sent.WithSpent(l.Span, now)
	l.lastSentAt = now

	return l
}

// Limit returns the limit that an upstream announces; false if it has none.
func (f Fleet) Limit(id string) (Limit, bool) {
	m, ok := f.members.Get(id)
	if !ok {
		return Limit{}, false
	}

	return m.limit.Limit, m.limit.isSet
}

// LimitedCount returns the number of upstreams that have a limit.
func (f Fleet) LimitedCount() int {
	n := 0
	for m := range f.observedMembers() {
		if m.limit.isSet {
			n++
		}
	}

	return n
}

// WithLimitOwners replaces the nodes among which limits are divided: those that may send calls.
func (f Fleet) WithLimitOwners(owners chutequota.Allocator) Fleet {
	f.limitOwners = owners
	for m := range f.observedMembers() {
		if m.limit.isSet {
			f = f.withMember(m.ID, f.setQuota)
		}
		if m.brittle.isSet {
			f = f.withMember(m.ID, f.setBrittleQuota)
		}
	}

	return f
}

// setQuota computes this node's quota of a member's limit.
func (f Fleet) setQuota(m *member) {
	perSecond := max(minLimitRate, m.limit.PerSecond)
	m.limit.Span = max(minLimitSpan, time.Duration(float64(time.Second)/perSecond))
	totalCalls := math.Min(math.MaxInt32, perSecond*m.limit.Span.Seconds())
	m.limit.Quota = f.limitOwners.Quota(m.ID, int(totalCalls))
}

// WithLimit records that the answer to a call sent at sentAt announces a limit.
//
// Answers may arrive out of order, so a higher limit applies only if the call was sent after the current one was
// received.
func (f Fleet) WithLimit(id string, perSecond float64, sentAt, now time.Time) Fleet {
	return f.withMember(id, func(m *member) {
		if m.limit.isSet && perSecond > m.limit.PerSecond && sentAt.Before(m.limit.receivedAt) {
			return
		}
		m.limit.PerSecond, m.limit.isSet, m.limit.receivedAt = perSecond, true, now
		f.setQuota(m)
	})
}

// WithoutLimit records that the answer to a call sent at sentAt announces no limit.
func (f Fleet) WithoutLimit(id string, sentAt time.Time) Fleet {
	m, ok := f.members.Get(id)
	if !ok || !m.limit.isSet || sentAt.Before(m.limit.receivedAt) {
		return f
	}

	return f.withMember(id, func(m *member) { m.limit = limit{} })
}

// limitAvailability returns whether this node may send a call to a member with a limit.
func (f Fleet) limitAvailability(m *member, now time.Time) Availability {
	next := f.nextTrialAt(m)
	if m.limit.Quota > 0 {
		next = m.limit.sent.NextAt(m.limit.Quota, m.limit.Span, now)
	}
	if next.After(now) {
		return Availability{Reason: BlockLimited, Until: next}
	}

	return Availability{}
}

// nextTrialAt returns when a node without a quota of a member's limit may send a trial call.
func (f Fleet) nextTrialAt(m *member) time.Time {
	perSecond := trialShare * max(minLimitRate, m.limit.PerSecond)
	interval := max(minTrialInterval, time.Duration(float64(f.limitOwners.NodeCount())/perSecond*float64(time.Second)))
	if m.limit.lastSentAt.After(m.limit.receivedAt) {
		return m.limit.lastSentAt.Add(interval)
	}

	return m.limit.receivedAt.Add(interval)
}
