package chuterelay

import (
	"math"
	"time"

	"github.com/benbjohnson/immutable"

	"azurechute.example/azurechute/internal/chutefleet"
)

const (
	// unreadableLimitRate is the rate, a second, that counts for an upstream that names a limit for
	// the first time and in a way that can't be read: it is in need.
	unreadableLimitRate = 1.0
	// limitAnnounceInterval is the least time between two words of this node on one upstream's limit,
	// and tellLimitStep the part by which it has to change: an upstream may name another
	// one in each answer.
	limitAnnounceInterval = time.Second
	minLimitChange        = 0.25
	// maxLimitRetryAfter bounds the time after which a caller comes back to a pool whose upstreams
	// are at their limits: by then other nodes may send again what they own of them.
	maxLimitRetryAfter = 2 * time.Second
	// maxAnnouncedLimits bounds the words that are remembered; beyond, all are forgotten and told anew.
	maxAnnouncedLimits = 8192
)

// announcedLimit is a word on an upstream's limit and when it was told or heard.
type announcedLimit struct {
	chutefleet.LimitWord

	at time.Time
}

// recordLimit takes in what the answer to a call says of its upstream's limit.
func (st *reduction) recordLimit(u chutefleet.Upstream, limit *Limit, sentAt time.Time) {
	if limit == nil {
		return
	}
	before, limited := st.fleet.Limit(u.ID)
	if limited || limit.Named {
		// Nodes that have left the list lose their part some time after that.
		st.fleet = st.fleet.WithSharers(st.peers.sharers(st.now))
	}
	switch {
	case limit.Named:
		st.fleet = st.fleet.WithLimit(u.ID, limit.PerSecond, sentAt, st.now)
	case limit.Unreadable == "":
		st.fleet = st.fleet.WithoutLimit(u.ID, sentAt)
	case !limited:
		st.fleet = st.fleet.WithLimit(u.ID, unreadableLimitRate, sentAt, st.now)
	}
	st.logLimitChange(u, before, limited, LogUpstreamLimit{Unreadable: limit.Unreadable})
	st.announceLimit(u)
}

// logLimitChange logs an upstream's limit if it has changed.
func (st *reduction) logLimitChange(u chutefleet.Upstream, before chutefleet.Limit, limited bool, note LogUpstreamLimit) {
	note.Upstream = u
	note.Limit, note.Limited = st.fleet.Limit(u.ID)
	if limited != note.Limited || before.PerSecond != note.Limit.PerSecond {
		st.emit(note)
	}
}

// announceLimit tells the other nodes of an upstream's limit, if it differs from the last word on it.
//
// A node learns of a limit from answers only. Without a word from others each of hundreds sends
// an upstream in need one call to find out, and those that send it nothing take the limit for
// lasting when it is over.
func (st *reduction) announceLimit(u chutefleet.Upstream) {
	limit, limited := st.fleet.Limit(u.ID)
	last, announced := st.announcedLimits.Get(u.ID)
	changed := limited != last.Limited || math.Abs(limit.PerSecond-last.PerSecond) > minLimitChange*last.PerSecond
	if !changed || announced && st.now.Sub(last.at) < limitAnnounceInterval {
		return
	}
	announcement := chutefleet.LimitWord{
		Upstream: u.ID, Limited: limited, PerSecond: limit.PerSecond, Teller: st.settings.Self.Name, At: st.now.UnixMilli(),
	}
	st.rememberAnnouncedLimit(announcement)
	st.emit(AnnounceLimit{Limit: announcement})
}

func (st *reduction) rememberAnnouncedLimit(limit chutefleet.LimitWord) {
	if st.announcedLimits.Len() >= maxAnnouncedLimits {
		st.announcedLimits = immutable.NewMap[string, announcedLimit](nil)
	}
	st.announcedLimits = st.announcedLimits.Set(limit.Upstream, announcedLimit{LimitWord: limit, at: st.now})
}

// limitsAnnounced takes in what other nodes tell of upstreams' limits.
func (st *reduction) limitsAnnounced(limits []chutefleet.LimitWord) {
	for _, limit := range limits {
		if limit.Teller == st.settings.Self.Name {
			continue
		}
		st.rememberAnnouncedLimit(limit)
		st.applyAnnouncedLimit(limit)
	}
}

// applyAnnouncedLimit takes in a word on the limit of an upstream, if that is listed.
func (st *reduction) applyAnnouncedLimit(limit chutefleet.LimitWord) {
	u, listed := st.fleet.Get(limit.Upstream)
	if !listed {
		return
	}
	before, limited := st.fleet.Limit(u.ID)
	if limit.Limited {
		st.fleet = st.fleet.WithLimit(u.ID, limit.PerSecond, st.now, st.now)
	} else {
		st.fleet = st.fleet.WithoutLimit(u.ID, st.now)
	}
	st.logLimitChange(u, before, limited, LogUpstreamLimit{Teller: limit.Teller})
}

// applyLimitsOfNewUpstreams takes in what was told of the limits of upstreams that were not listed before.
func (st *reduction) applyLimitsOfNewUpstreams(before chutefleet.Fleet) {
	for i := st.announcedLimits.Iterator(); !i.Done(); {
		id, announced, _ := i.Next()
		if _, known := before.Get(id); !known {
			st.applyAnnouncedLimit(announced.LimitWord)
		}
	}
}

// limitedWhenStagesDone says whether all upstreams of the request's pool will be at their limits, as far as
// this node may send them calls, when its stages are done: what those made would be for nothing.
func (st *reduction) limitedWhenStagesDone(r request) bool {
	availableAt, limited := st.fleet.OpensAt(r.pool, st.now)
	stagesTime := time.Duration(0)
	for i := range r.stages {
		if !r.stages[i].done {
			stagesTime += st.stageTime(r, i)
		}
	}

	return limited && availableAt.After(st.now.Add(stagesTime))
}

// noUsableUpstreamRefusal refuses a request for want of an upstream. Where only limits are in the way, its caller
// may come back when this node may send the next call; another node may have one left.
func (st *reduction) noUsableUpstreamRefusal(pool string) Refusal {
	refusal := notRunRefusal("no upstream of pool " + pool + " can be used now: " + st.fleet.Barred(pool, st.now))
	if availableAt, limited := st.fleet.OpensAt(pool, st.now); limited {
		wait := min(maxLimitRetryAfter, max(defaultRetryAfter, availableAt.Sub(st.now)))
		refusal.RetryAfter = time.Duration((1 - retryAfterSpread + 2*retryAfterSpread*st.randomFraction()) * float64(wait))
	}

	return refusal
}
