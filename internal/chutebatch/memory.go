package chutebatch

import (
	"slices"
	"time"
)

// allocation is the result memory that one result takes.
type allocation struct {
	part  Part
	ref   string
	bytes int64
	// expiresAt is when the upstream drops the result by itself; zero while its call runs.
	expiresAt time.Time
}

// resultMemory is the memory that results take at one upstream; its slice is replaced,
// never modified.
type resultMemory struct {
	allocations []allocation
	bytes       int64
	// firstExpiry is when the first result expires; zero if no result has an expiry time.
	firstExpiry time.Time
}

// with returns the memory with more allocations.
func (r resultMemory) with(more ...allocation) resultMemory {
	return newResultMemory(append(slices.Clip(r.allocations), more...))
}

// without returns the memory without the allocations for which drop returns true.
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

// at returns the memory without the results that have expired by now.
func (r resultMemory) at(now time.Time) resultMemory {
	if r.firstExpiry.IsZero() || now.Before(r.firstExpiry) {
		return r
	}

	return r.without(func(h allocation) bool { return !h.expiresAt.IsZero() && !now.Before(h.expiresAt) })
}

// freeBytes returns the memory that new results may take at an upstream, in bytes.
func (c Collector) freeBytes(pool, upstream string, now time.Time) int64 {
	memory, _ := c.memories.Get(upstream)

	return c.pools[pool].Room - memory.at(now).bytes - c.foreignBytes(upstream, now)
}

// foreignUsage is the memory taken by results that this collector did not request.
type foreignUsage struct {
	bytes int64
	since time.Time
	until time.Time
}

// foreignBytes estimates the memory that other collectors' results take at an upstream
// now; the estimate decreases linearly to 0 from since to until.
func (c Collector) foreignBytes(upstream string, now time.Time) int64 {
	usage, ok := c.foreignUsages.Get(upstream)
	if !ok || !now.Before(usage.until) {
		return 0
	}
	remaining := float64(usage.until.Sub(now)) / float64(usage.until.Sub(usage.since))

	return int64(float64(usage.bytes) * remaining)
}

// withMemoryRefused records that an upstream had no memory for parts that should have
// fitted, and updates the estimate of foreign usage.
//
// Results of an earlier collector are stored there until they expire, and results may be larger than
// announced. The free memory that was estimated when the call was sent counts.
func (c Collector) withMemoryRefused(call Call, refusedBytes int64, now time.Time) Collector {
	batching := c.pools[call.Pool]
	ownMemory, _ := c.memories.Get(call.Upstream)
	unknownBytes := min(c.foreignBytes(call.Upstream, now)+call.freeBytes+refusedBytes, batching.Room-ownMemory.at(now).bytes)
	if unknownBytes <= 0 || batching.ResultTTL <= 0 {
		return c
	}
	usage := foreignUsage{bytes: unknownBytes, since: now, until: now.Add(batching.ResultTTL)}
	if previous, ok := c.foreignUsages.Get(call.Upstream); ok && now.Before(previous.until) {
		// The foreign results were known before, so their expiry time stays the same.
		usage.until = previous.until
	}
	c.foreignUsages = c.foreignUsages.Set(call.Upstream, usage)

	return c
}
