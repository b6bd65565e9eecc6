package chuterouting

import "slices"

const (
	// assocBuckets times assocWays bounds the blocks that one assoc holds.
	blockMapBuckets = 256
	blockMapWays    = 16
)

// assoc is an immutable set-associative map from block hashes with room for a fixed number of them.
//
// Each block belongs to one small bucket, latest first; a full bucket loses its
// oldest block. That bounds memory exactly, and a change copies a few small
// arrays instead of the paths of a general map.
type blockMap[V comparable] struct {
	buckets []*blockBucket[V]
	size    int
}

type blockBucket[V comparable] struct {
	used  int
	slots [blockMapWays]blockSlot[V]
}

type blockSlot[V comparable] struct {
	block uint64
	value V
}

func (b *blockBucket[V]) indexOf(block uint64) int {
	for i := range b.used {
		if b.slots[i].block == block {
			return i
		}
	}

	return -1
}

// put moves the block to the front; it returns whether the block is new and the bucket had room.
func (b *blockBucket[V]) put(block uint64, value V) bool {
	index := b.indexOf(block)
	hasGrown := index < 0 && b.used < blockMapWays
	switch {
	case hasGrown:
		index = b.used
		b.used++
	case index < 0:
		index = blockMapWays - 1
	}
	copy(b.slots[1:index+1], b.slots[:index])
	b.slots[0] = blockSlot[V]{block: block, value: value}

	return hasGrown
}

func (b *blockBucket[V]) remove(index int) {
	copy(b.slots[index:b.used], b.slots[index+1:b.used])
	b.used--
	b.slots[b.used] = blockSlot[V]{}
}

func (a blockMap[V]) get(block uint64) (V, bool) {
	if a.buckets != nil {
		if bucket := a.buckets[block%blockMapBuckets]; bucket != nil {
			if index := bucket.indexOf(block); index >= 0 {
				return bucket.slots[index].value, true
			}
		}
	}
	var none V

	return none, false
}

// with returns the map with value for all the blocks.
func (a blockMap[V]) withBlocks(blocks []uint64, value V) blockMap[V] {
	edit := blockMapEdit[V]{blocks: a}
	for _, block := range blocks {
		edit.put(block, value)
	}

	return edit.blocks
}

// assocEdit collects changes so that each array is copied at most once.
type blockMapEdit[V comparable] struct {
	blocks        blockMap[V]
	bucketsCopied bool
	bucketCopied  [blockMapBuckets]bool
}

func (e *blockMapEdit[V]) put(block uint64, value V) {
	// A block that is still among the younger half need not move: most prompts
	// repeat blocks that were put there moments ago.
	if e.blocks.buckets != nil {
		if bucket := e.blocks.buckets[block%blockMapBuckets]; bucket != nil {
			index := bucket.indexOf(block)
			if index >= 0 && index < blockMapWays/2 && bucket.slots[index].value == value {
				return
			}
		}
	}
	if e.writableBucket(block).put(block, value) {
		e.blocks.size++
	}
}

func (e *blockMapEdit[V]) remove(block uint64) {
	if _, ok := e.blocks.get(block); !ok {
		return
	}
	bucket := e.writableBucket(block)
	bucket.remove(bucket.indexOf(block))
	e.blocks.size--
}

// own returns the block's bucket as a copy that this edit may change.
func (e *blockMapEdit[V]) writableBucket(block uint64) *blockBucket[V] {
	if !e.bucketsCopied {
		e.bucketsCopied = true
		if e.blocks.buckets == nil {
			e.blocks.buckets = make([]*blockBucket[V], blockMapBuckets)
		} else {
			e.blocks.buckets = slices.Clone(e.blocks.buckets)
		}
	}
	i := block % blockMapBuckets
	if e.bucketCopied[i] {
		return e.blocks.buckets[i]
	}
	bucket := blockBucket[V]{}
	if shared := e.blocks.buckets[i]; shared != nil {
		bucket = *shared
	}
	e.blocks.buckets[i] = &bucket
	e.bucketCopied[i] = true

	return &bucket
}
