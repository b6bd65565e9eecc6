package chutefleet

import (
	"cmp"
	"iter"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxChunkEntries bounds the entries that are copied when an upstream joins or leaves.
const maxChunkEntries = 32

// ringEntry is an upstream's place in a ring.
type ringEntry struct {
	position uint64
	id       string
}

func compareEntries(a, b ringEntry) int {
	return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.id, b.id))
}

// ring holds upstreams by the hashes of their names. It is immutable: a change copies one chunk and the
// list of chunks.
type ring struct {
	chunks [][]ringEntry
	size   int
}

// chunkOf returns the index of the chunk that an entry belongs to.
func (r ring) chunkOf(e ringEntry) int {
	after, _ := slices.BinarySearchFunc(r.chunks, e, func(chunk []ringEntry, e ringEntry) int {
		return cmp.Or(compareEntries(chunk[0], e), -1)
	})

	return max(0, after-1)
}

// with returns the ring with an entry; false if it has the entry already.
func (r ring) with(e ringEntry) (ring, bool) {
	if r.size == 0 {
		return ring{chunks: [][]ringEntry{{e}}, size: 1}, true
	}
	i := r.chunkOf(e)
	at, found := slices.BinarySearchFunc(r.chunks[i], e, compareEntries)
	if found {
		return r, false
	}
	grown := slices.Insert(slices.Clip(slices.Clone(r.chunks[i])), at, e)
	parts := [][]ringEntry{grown}
	if half := len(grown) / 2; len(grown) > maxChunkEntries {
		parts = [][]ringEntry{slices.Clip(grown[:half]), grown[half:]}
	}

	return ring{chunks: slices.Concat(r.chunks[:i], parts, r.chunks[i+1:]), size: r.size + 1}, true
}

func (r ring) without(e ringEntry) ring {
	if r.size == 0 {
		return r
	}
	i := r.chunkOf(e)
	at, found := slices.BinarySearchFunc(r.chunks[i], e, compareEntries)
	if !found {
		return r
	}
	var parts [][]ringEntry
	if len(r.chunks[i]) > 1 {
		parts = [][]ringEntry{slices.Concat(r.chunks[i][:at], r.chunks[i][at+1:])}
	}

	return ring{chunks: slices.Concat(r.chunks[:i], parts, r.chunks[i+1:]), size: r.size - 1}
}

// from returns the ids of all entries once, beginning with the first one at a position or after it.
func (r ring) from(position uint64) iter.Seq[string] {
	return func(yield func(string) bool) {
		if r.size == 0 {
			return
		}
		first := r.chunkOf(ringEntry{position: position})
		at, _ := slices.BinarySearchFunc(r.chunks[first], ringEntry{position: position}, compareEntries)
		for n := range len(r.chunks) + 1 {
			chunk := r.chunks[(first+n)%len(r.chunks)]
			switch n {
			case 0:
				chunk = chunk[at:]
			case len(r.chunks):
				chunk = chunk[:at]
			}
			for _, e := range chunk {
				if !yield(e.id) {
					return
				}
			}
		}
	}
}

// draw returns the id of an entry of a ring that is not empty, each with the same probability: positions are not evenly
// spaced, so that the neighbours of a random one would be drawn unevenly.
func (r ring) draw(random *rand.PCG) string {
	for {
		n := random.Uint64()
		chunk := r.chunks[n%uint64(len(r.chunks))]
		if at := (n >> 32) % maxChunkEntries; at < uint64(len(chunk)) {
			return chunk[at].id
		}
	}
}

// zoneRing holds a pool's upstreams of one zone.
type zoneRing struct {
	zone string
	ring
}

// poolIndex holds a pool's upstreams. It is immutable.
type poolIndex struct {
	// zones are sorted by zone.
	zones []zoneRing
	size  int
}

// withZone returns the index with the ring of a zone replaced; an empty ring is left out.
func (p poolIndex) withZone(zone string, r ring) poolIndex {
	i, found := slices.BinarySearchFunc(p.zones, zone, func(z zoneRing, zone string) int { return cmp.Compare(z.zone, zone) })
	next := poolIndex{size: p.size + r.size}
	rest := p.zones[i:]
	if found {
		next.size -= rest[0].size
		rest = rest[1:]
	}
	next.zones = slices.Concat(p.zones[:i], []zoneRing{{zone: zone, ring: r}}, rest)
	if r.size == 0 {
		next.zones = slices.Delete(next.zones, i, i+1)
	}

	return next
}

func (p poolIndex) zoneRing(zone string) ring {
	i, found := slices.BinarySearchFunc(p.zones, zone, func(z zoneRing, zone string) int { return cmp.Compare(z.zone, zone) })
	if !found {
		return ring{}
	}

	return p.zones[i].ring
}

func entryOf(u *Upstream) ringEntry {
	return ringEntry{position: xxhash.Sum64String(u.Name), id: u.ID}
}

// poolVersion is a software version of a pool's upstreams.
type poolVersion struct {
	pool    string
	version string
}

// withIndexed adds an upstream to the indexes.
func (f Fleet) withIndexed(u *Upstream) Fleet {
	entry, key := entryOf(u), poolVersion{pool: u.Pool, version: u.Version}
	r, isNew := f.pools[u.Pool].zoneRing(u.Zone).with(entry)
	if !isNew {
		return f
	}
	f.pools = withRing(f.pools, u.Pool, u.Zone, r)
	r, _ = f.versions[key].zoneRing(u.Zone).with(entry)
	f.versions = withRing(f.versions, key, u.Zone, r)

	return f
}

// withoutIndexed removes an upstream from the indexes.
func (f Fleet) withoutIndexed(u *Upstream) Fleet {
	entry, key := entryOf(u), poolVersion{pool: u.Pool, version: u.Version}
	f.pools = withRing(f.pools, u.Pool, u.Zone, f.pools[u.Pool].zoneRing(u.Zone).without(entry))
	f.versions = withRing(f.versions, key, u.Zone, f.versions[key].zoneRing(u.Zone).without(entry))

	return f
}

// withRing returns the indexes with one ring replaced; an empty index is left out.
func withRing[K comparable](indexes map[K]poolIndex, key K, zone string, r ring) map[K]poolIndex {
	indexes = maps.Clone(indexes)
	indexes[key] = indexes[key].withZone(zone, r)
	if indexes[key].size == 0 {
		delete(indexes, key)
	}

	return indexes
}

// index returns the smallest index that holds all upstreams of a pool that a call with a use may go to.
func (f Fleet) index(pool string, use Use) poolIndex {
	trial := f.versionRules[pool].Trial
	switch {
	case use.Bound:
		return f.versions[poolVersion{pool: pool, version: use.Version}]
	case use.Side == SideNew && trial != "":
		return f.versions[poolVersion{pool: pool, version: trial}]
	default:
		return f.pools[pool]
	}
}

// inPool returns the members in the index of a pool and a use, zone by zone.
func (f Fleet) inPool(pool string, use Use) iter.Seq[*member] {
	return func(yield func(*member) bool) {
		for _, zone := range f.index(pool, use).zones {
			for id := range zone.from(0) {
				if m, ok := f.members.Get(id); ok && !yield(m) {
					return
				}
			}
		}
	}
}

// inZone returns the members in the index of a pool and a use that are in a zone.
func (f Fleet) inZone(pool, zone string, use Use) iter.Seq[*member] {
	return func(yield func(*member) bool) {
		for id := range f.index(pool, use).zoneRing(zone).from(0) {
			if m, ok := f.members.Get(id); ok && !yield(m) {
				return
			}
		}
	}
}
