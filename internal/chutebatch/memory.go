package chutebatch

import (
	"slices"
	"time"
)

// allocation is the room that one result takes.
type allocation struct {
	part  Part
	ref   string
	bytes int64
	// expiresAt is when the upstream drops the result by itself; zero while its call runs.
	expiresAt time.Time
}

// resultMemory is what one upstream holds; its slice is replaced, never changed.
type resultMemory struct {
	allocations []allocation
	bytes       int64
	// firstExpiry is when the first result runs out; zero if none does.
	firstExpiry time.Time
}

// with returns the room with more results in it.
func (r resultMemory) with(more ...allocation) resultMemory {
	return newResultMemory(append(slices.Clip(r.allocations), more...))
}

// without returns the room without the results that drop names.
func (r resultMemory) without(drop func(h allocation) bool) resultMemory {
	return newResultMemory(slices.DeleteFunc(slices.Clone(r.allocations), drop))
}

func newResultMemory(allocations []allocation) resultMemory {
	memory := resultMemory{allocations: allocations}
	for _, h := range allocations {
		memory.bytes += h.bytes
		if !h.expiresAt.IsZero() && (memory.firstExpiry.IsZero() || h.expiresAt.Before(memory.firstExpiry)) {
			memory.firstExpiry = h.expiresAt
		}
	}

	return memory
}

// at returns the room without what the upstream itself has dropped by now.
func (r resultMemory) at(now time.Time) resultMemory {
	if r.firstExpiry.IsZero() || now.Before(r.firstExpiry) {
		return r
	}

	return r.without(func(h allocation) bool { return !h.expiresAt.IsZero() && !now.Before(h.expiresAt) })
}

// freeBytes is the room at an upstream that new results may take.
func (c Collector) freeBytes(pool, upstream string, now time.Time) int64 {
	memory, _ := c.memories.Get(upstream)

	return c.pools[pool].Room - memory.at(now).bytes - c.foreignBytes(upstream, now)
}

// foreignUsage is room that results take which this collector did not have made.
type foreignUsage struct {
	bytes int64
	since time.Time
	until time.Time
}

// foreignBytes estimates the room that others' results take at an upstream now; it
// ebbs away over the time that results are kept.
func (c Collector) foreignBytes(upstream string, now time.Time) int64 {
	usage, ok := c.foreignUsages.Get(upstream)
	if !ok || !now.Before(usage.until) {
		return 0
	}
	remaining := float64(usage.until.Sub(now)) / float64(usage.until.Sub(usage.since))

	return int64(float64(usage.bytes) * remaining)
}

// withMemoryRefused takes in that an upstream had no room for parts that should have fitted.
//
// What an earlier collector had made lies there until its time is over, or until
// its leases end, and results may be larger than announced. A collector that kept
// asking would spend every call on parts without room, each at the full price of a
// call. What counts is the room believed in when the call went out: results freed
// while it ran have made room since.
func (c Collector) withMemoryRefused(call Call, refusedBytes int64, now time.Time) Collector {
	batching := c.pools[call.Pool]
	ownMemory, _ := c.memories.Get(call.Upstream)
	unknownBytes := min(c.foreignBytes(call.Upstream, now)+call.freeBytes+refusedBytes, batching.Room-ownMemory.at(now).bytes)
	if unknownBytes <= 0 || batching.ResultTTL <= 0 {
		return c
	}
	usage := foreignUsage{bytes: unknownBytes, since: now, until: now.Add(batching.ResultTTL)}
	if previous, ok := c.foreignUsages.Get(call.Upstream); ok && now.Before(previous.until) {
		// What lies there was known of: it runs out when it was to run out.
		usage.until = previous.until
	}
	c.foreignUsages = c.foreignUsages.Set(call.Upstream, usage)

	return c
}
