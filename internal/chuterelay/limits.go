package chuterelay

import (
	"math"
	"time"

	"github.com/benbjohnson/immutable"

	"azurechute.example/azurechute/internal/chutefleet"
)

const (
	// unreadableLimitRate is the rate, in requests per second, assumed for an upstream whose first
	// limit can't be read: an upstream that names a limit is short of capacity.
	unreadableLimitRate = 1.0
	// limitAnnounceInterval is the least time between two announcements of this node about one
	// upstream's limit. minLimitChange is the relative change that is announced. An upstream may
	// name another limit in each answer.
	limitAnnounceInterval = time.Second
	minLimitChange        = 0.25
	// maxLimitRetryAfter bounds the retry delay for a pool whose upstreams are at their limits:
	// within that time other nodes may have sent again what their shares of the limits allow.
	maxLimitRetryAfter = 2 * time.Second
	// maxAnnouncedLimits bounds the announced limits that are remembered; above it, all are
	// forgotten and announced anew.
	maxAnnouncedLimits = 8192
)

// announcedLimit is an announced limit of an upstream and when it was sent or received.
type announcedLimit struct {
	chutefleet.LimitRecord

	at time.Time
}

// recordLimit updates an upstream's limit from the answer to a call.
func (st *reduction) recordLimit(u chutefleet.Upstream, limit *Limit, sentAt time.Time) {
	if _, listed := st.fleet.Get(u.ID); limit == nil || !listed {
		return
	}
	before, limited := st.fleet.Limit(u.ID)
	if limited || limit.Named {
		// Nodes that have left the list lose their share some time later, so the sharers are
		// updated here.
		st.fleet = st.fleet.WithLimitOwners(st.peers.sharers(st.now))
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
func (st *reduction) logLimitChange(u chutefleet.Upstream, before chutefleet.Limit, limited bool, effect LogUpstreamLimit) {
	effect.Upstream = u
	effect.Limit, effect.Limited = st.fleet.Limit(u.ID)
	if limited != effect.Limited || before.PerSecond != effect.Limit.PerSecond {
		st.emit(effect)
	}
}

// announceLimit announces an upstream's limit to the other nodes, if it differs from the last
// announcement.
//
// A node learns of a limit from answers only, so without announcements each node would send a call to find
// out.
func (st *reduction) announceLimit(u chutefleet.Upstream) {
	limit, limited := st.fleet.Limit(u.ID)
	rejections, brittle := st.fleet.Brittle(u.ID)
	announcement := chutefleet.NewLimitRecord(u)
	announcement.Limited, announcement.PerSecond = limited, limit.PerSecond
	announcement.Brittle, announcement.Rejections = brittle, rejections
	announcement.Teller, announcement.At = st.settings.Self.Name, st.now.UnixMilli()
	last, announced := st.announcedLimits.Get(announcement.Subject())
	changed := brittle != last.Brittle || limited != last.Limited || math.Abs(limit.PerSecond-last.PerSecond) > minLimitChange*last.PerSecond
	if !changed || announced && st.now.Sub(last.at) < limitAnnounceInterval {
		return
	}
	st.rememberAnnouncedLimit(announcement)
	st.emit(AnnounceLimit{Limit: announcement})
}

// rememberAnnouncedLimit remembers an announcement; false if one about a later incarnation is known.
func (st *reduction) rememberAnnouncedLimit(limit chutefleet.LimitRecord) bool {
	if last, known := st.announcedLimits.Get(limit.Subject()); known && last.StartedAt > limit.StartedAt {
		return false
	}
	if st.announcedLimits.Len() >= maxAnnouncedLimits {
		st.announcedLimits = immutable.NewMap[string, announcedLimit](nil)
	}
	st.announcedLimits = st.announcedLimits.Set(limit.Subject(), announcedLimit{LimitRecord: limit, at: st.now})

	return true
}

// limitsAnnounced applies the limits that other nodes have announced.
func (st *reduction) limitsAnnounced(limits []chutefleet.LimitRecord) {
	for _, limit := range limits {
		if !st.hasAnnounced(limit) && st.rememberAnnouncedLimit(limit) {
			st.applyAnnouncedLimit(limit)
		}
	}
}

// hasAnnounced reports whether an announcement is one of this node, and this process has made one about the
// upstream: it comes back from the store, and may be older than what this node knows. A process that has made none
// learns from those of the process before.
func (st *reduction) hasAnnounced(limit chutefleet.LimitRecord) bool {
	last, _ := st.announcedLimits.Get(limit.Subject())

	return limit.Teller == st.settings.Self.Name && last.Teller == limit.Teller
}

// applyAnnouncedLimit applies an announced limit, if its upstream is listed.
func (st *reduction) applyAnnouncedLimit(limit chutefleet.LimitRecord) {
	if u, listed := st.fleet.Get(limit.Upstream); listed {
		st.applyLimitOfIncarnation(u, limit)
	} else if u, listed := st.fleet.Current(limit.Name); listed {
		st.applyLimitOfPredecessor(u, limit)
	}
}

// applyLimitOfIncarnation applies what is announced of a listed incarnation.
func (st *reduction) applyLimitOfIncarnation(u chutefleet.Upstream, limit chutefleet.LimitRecord) {
	st.applyAnnouncedBrittle(u, limit)
	before, limited := st.fleet.Limit(u.ID)
	if limit.Limited {
		st.fleet = st.fleet.WithLimit(u.ID, limit.PerSecond, st.now, st.now)
	} else {
		st.fleet = st.fleet.WithoutLimit(u.ID, st.now)
	}
	st.logLimitChange(u, before, limited, LogUpstreamLimit{AnnouncedBy: limit.Teller})
}

// applyLimitOfPredecessor applies what is announced of an earlier incarnation of a listed upstream. It holds until
// an answer of the listed one says otherwise, and takes nothing back.
func (st *reduction) applyLimitOfPredecessor(u chutefleet.Upstream, limit chutefleet.LimitRecord) {
	if u.StartedAt.UnixMilli() <= limit.StartedAt {
		return
	}
	if _, brittle := st.fleet.Brittle(u.ID); limit.Brittle && !brittle {
		st.fleet = st.fleet.WithBrittle(u.ID, limit.Rejections, st.now)
	}
	before, limited := st.fleet.Limit(u.ID)
	if limit.Limited && !limited {
		st.fleet = st.fleet.WithLimit(u.ID, limit.PerSecond, st.now, st.now)
	}
	st.logLimitChange(u, before, limited, LogUpstreamLimit{AnnouncedBy: limit.Teller})
}

// applyLimitsOfNewUpstreams applies the remembered limits of those entries of a change whose incarnations were
// not listed before.
func (st *reduction) applyLimitsOfNewUpstreams(entries []chutefleet.Upstream, before chutefleet.Fleet) {
	for i := range entries {
		if _, known := before.Get(entries[i].ID); known {
			continue
		}
		for _, subject := range []string{entries[i].Name, entries[i].ID} {
			if announced, ok := st.announcedLimits.Get(subject); ok {
				st.applyAnnouncedLimit(announced.LimitRecord)

				break
			}
		}
	}
}
