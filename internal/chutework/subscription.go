package chutework

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxWaiting bounds the changes that wait for a subscriber. What exceeds it has the fewest tokens, and is sent when it
	// changes again.
	maxWaiting = 512
	// maxScanned bounds the changes that one message looks at, the newest ones. Older ones are sent when they change again,
	// as all upstreams with work do several times a second. Without this bound each node that comes to a new aggregator
	// takes 15 ms of its processor's time at 10,000 upstreams.
	maxScanned = 1024
)

// Subscription is what a subscriber of a table has been sent. It is immutable.
type Subscription struct {
	scope Scope
	// without is a reporter whose own reports are left out of the sums; nil for none.
	without *Reporter
	// seen is the number of the last change that was looked at, waiting are upstreams whose earlier changes were not sent.
	seen    uint64
	waiting []string
}

// NewSubscription returns the subscription of one who has been sent nothing.
func NewSubscription(scope Scope) Subscription {
	return Subscription{scope: scope}
}

// Without returns the subscription to sums without the reports of a reporter, the subscriber itself: it knows its own work
// better, as of now.
func (s Subscription) Without(r Reporter) Subscription {
	s.without = &r

	return s
}

// ranked is an upstream with what decides when its change is sent.
type ranked struct {
	upstream string
	row      *row
	tokens   int64
}

// Changes returns the sums that have changed since the subscriber's last message, at most limit, those with the most
// tokens first, and the subscription after it. The rest follows in the next message. The table must have no expired
// reports (WithoutExpired).
func (t Table) Changes(s Subscription, now time.Time, limit int) ([]Report, Subscription) {
	candidates := t.candidates(s)
	s.seen = t.lastChange
	s.waiting = nil
	if len(candidates) > limit {
		slices.SortFunc(candidates, func(a, b ranked) int {
			return cmp.Or(cmp.Compare(b.tokens, a.tokens), cmp.Compare(a.upstream, b.upstream))
		})
		for _, c := range candidates[limit:min(len(candidates), limit+maxWaiting)] {
			s.waiting = append(s.waiting, c.upstream)
		}
		candidates = candidates[:limit]
	}
	reports := make([]Report, 0, len(candidates))
	for _, c := range candidates {
		reports = append(reports, c.row.report(c.upstream, s.scope, t.ownContribution(s, c.upstream), milliseconds(now)))
	}

	return reports, s
}

// ownContribution returns what the sums of a subscription leave out.
func (t Table) ownContribution(s Subscription, upstream string) contribution {
	if s.without == nil {
		return contribution{}
	}
	from, known := t.reporterOf(t.keyed(*s.without).Name)
	if !known {
		return contribution{}
	}
	own, _ := from.contributions.Get(upstream)

	return own
}

// candidates returns the upstreams that have changed and were not sent, each once.
func (t Table) candidates(s Subscription) []ranked {
	var found []ranked
	add := func(upstream string, r *row) {
		c := ranked{upstream: upstream, row: r, tokens: r.sumZone.tokens}
		if s.scope == ScopeAll {
			c.tokens += r.sumForeign.tokens
		}
		found = append(found, c)
	}
	changed := t.changedInZone
	if s.scope == ScopeAll {
		changed = t.changedInAll
	}
	i := changed.Iterator()
	for i.Last(); !i.Done() && len(found) < maxScanned; {
		number, upstream, _ := i.Prev()
		if number <= s.seen {
			break
		}
		r, _ := t.rows.Get(upstream)
		add(upstream, r)
	}
	for _, upstream := range s.waiting {
		if r, ok := t.rows.Get(upstream); ok && r.changeIn(s.scope).number <= s.seen {
			add(upstream, r)
		}
	}

	return found
}
