package chuterouting

import "slices"

const (
	// blockMapBuckets times blockMapWays is the maximum number of blocks in one blockMap.
	blockMapBuckets = 256
	blockMapWays    = 16
)

// blockMap is an immutable set-associative map from block hashes, with a fixed capacity.
//
// Each block belongs to one small bucket, which is ordered from the most recently put
// block to the oldest; a full bucket evicts its oldest block. This bounds memory
// exactly, and a change copies a few small arrays instead of the tree paths of a general
// persistent map.
type blockMap[V comparable] struct {
	buckets []*blockBucket[V]
	size    int
}

// blockBucket holds the blocks of one bucket, the most recently put first.
type blockBucket[V comparable] struct {
	used  int
	slots [blockMapWays]blockSlot[V]
}

// blockSlot holds one block hash and its value.
type blockSlot[V comparable] struct {
	block uint64
	value V
}

// indexOf returns the index of the block's slot, or -1 if the bucket does not contain
// it.
func (b *blockBucket[V]) indexOf(block uint64) int {
	for i := range b.used {
		if b.slots[i].block == block {
			return i
		}
	}

	return -1
}

// put stores the block in the first slot and reports whether the number of blocks grew:
// the block is new and the bucket was not full.
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

// remove deletes the slot at index.
func (b *blockBucket[V]) remove(index int) {
	copy(b.slots[index:b.used], b.slots[index+1:b.used])
	b.used--
	b.slots[b.used] = blockSlot[V]{}
}

// get returns the block's value and whether the map contains the block.
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

// withBlocks returns a copy of the map in which all the blocks have the value.
func (a blockMap[V]) withBlocks(blocks []uint64, value V) blockMap[V] {
	edit := blockMapEdit[V]{blocks: a}
	for _, block := range blocks {
		edit.put(block, value)
	}

	return edit.blocks
}

// blockMapEdit collects changes to a blockMap so that each array is copied at most once.
type blockMapEdit[V comparable] struct {
	blocks        blockMap[V]
	bucketsCopied bool
	bucketCopied  [blockMapBuckets]bool
}

// put stores the block's value.
func (e *blockMapEdit[V]) put(block uint64, value V) {
	// A block in the newer half of its bucket is not moved to the front, because
	// most prompts repeat blocks that were put there recently.
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

// remove deletes the block; it has no effect if the map does not contain it.
func (e *blockMapEdit[V]) remove(block uint64) {
	if _, ok := e.blocks.get(block); !ok {
		return
	}
	bucket := e.writableBucket(block)
	bucket.remove(bucket.indexOf(block))
	e.blocks.size--
}

// writableBucket returns the block's bucket as a copy that belongs to this edit.
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
