package chutebatch

import (
	"slices"
	"time"
)

// held is the room that one result takes.
type held struct {
	part  Part
	ref   string
	bytes int64
	// until is when the upstream drops the result by itself; zero while its call runs.
	until time.Time
}

// room is what one upstream holds; its slice is replaced, never changed.
type room struct {
	held  []held
	bytes int64
	// oldest is when the first result runs out; zero if none does.
	oldest time.Time
}

// with returns the room with more results in it.
func (r room) with(more ...held) room {
	return newRoom(append(slices.Clip(r.held), more...))
}

// without returns the room without the results that drop names.
func (r room) without(drop func(h held) bool) room {
	return newRoom(slices.DeleteFunc(slices.Clone(r.held), drop))
}

func newRoom(all []held) room {
	r := room{held: all}
	for _, h := range all {
		r.bytes += h.bytes
		if !h.until.IsZero() && (r.oldest.IsZero() || h.until.Before(r.oldest)) {
			r.oldest = h.until
		}
	}

	return r
}

// at returns the room without what the upstream itself has dropped by now.
func (r room) at(now time.Time) room {
	if r.oldest.IsZero() || now.Before(r.oldest) {
		return r
	}

	return r.without(func(h held) bool { return !h.until.IsZero() && !now.Before(h.until) })
}

// left is the room at an upstream that new results may take.
func (c Collector) left(pool, upstream string, now time.Time) int64 {
	r, _ := c.rooms.Get(upstream)

	return c.pools[pool].Room - r.at(now).bytes - c.foreign(upstream, now)
}

// stranger is room that results take which this collector did not have made.
type stranger struct {
	bytes int64
	since time.Time
	until time.Time
}

// foreign estimates the room that others' results take at an upstream now; it
// ebbs away over the time that results are kept.
func (c Collector) foreign(upstream string, now time.Time) int64 {
	s, ok := c.strangers.Get(upstream)
	if !ok || !now.Before(s.until) {
		return 0
	}
	left := float64(s.until.Sub(now)) / float64(s.until.Sub(s.since))

	return int64(float64(s.bytes) * left)
}

// withoutRoom takes in that an upstream had no room for parts that should have fitted.
//
// What an earlier collector had made lies there until its time is over, or until
// its leases end, and results may be larger than announced. A collector that kept
// asking would spend every call on parts without room, each at the full price of a
// call. What counts is the room believed in when the call went out: results freed
// while it ran have made room since.
func (c Collector) withoutRoom(call Call, missing int64, now time.Time) Collector {
	batching := c.pools[call.Pool]
	own, _ := c.rooms.Get(call.Upstream)
	unknown := min(c.foreign(call.Upstream, now)+call.spare+missing, batching.Room-own.at(now).bytes)
	if unknown <= 0 || batching.ResultTTL <= 0 {
		return c
	}
	s := stranger{bytes: unknown, since: now, until: now.Add(batching.ResultTTL)}
	if known, ok := c.strangers.Get(call.Upstream); ok && now.Before(known.until) {
		// What lies there was known of: it runs out when it was to run out.
		s.until = known.until
	}
	c.strangers = c.strangers.Set(call.Upstream, s)

	return c
}
