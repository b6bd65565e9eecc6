package chuterouting

import "sort"

const (
	// maxPromptBlocks bounds how much of one prompt is remembered.
	maxPromptBlocks = 64
	// gapDoubt and missDoubt lower belief; hitTrust and eventTrust are the share of the doubt that they remove.
	gapDoubt   = 0.7
	missDoubt  = 0.5
	hitTrust   = 0.3
	eventTrust = 0.05
	// maxDoubt keeps belief above zero, so that hits can restore it.
	maxDoubt = 0.95
)

// cacheIndex is what one engine is believed to have in its prefix cache.
type cacheIndex struct {
	blocks assoc[struct{}]
	// doubt is 1 less the belief, so that the zero value is fully believed.
	doubt float64
}

func (c cacheIndex) belief() float64 {
	return 1 - c.doubt
}

func (c cacheIndex) doubted(factor float64) cacheIndex {
	c.doubt = min(1-c.belief()*factor, maxDoubt)

	return c
}

func (c cacheIndex) trusted(share float64) cacheIndex {
	c.doubt *= 1 - share

	return c
}

// held counts the leading blocks that are in the index.
//
// A block's hash covers all blocks before it, so an engine that holds a block
// has held those before it too, and a binary search finds the last one held.
// Where eviction has made a hole, the count is merely too low or too high once.
func (c cacheIndex) held(blocks []uint64) int {
	if c.blocks.size == 0 {
		return 0
	}

	return sort.Search(min(len(blocks), maxPromptBlocks), func(i int) bool {
		_, ok := c.blocks.get(blocks[i])

		return !ok
	})
}

// WithCacheEvents takes in an engine's cache events; gap says that some before them were lost.
func (t Table) WithCacheEvents(name string, events []CacheEvent, gap bool) Table {
	t = t.with(name, func(e *entry) {
		edit := assocEdit[struct{}]{assoc: e.cache.blocks}
		for _, event := range events {
			if event.Add {
				edit.put(event.Block, struct{}{})
			} else {
				edit.remove(event.Block)
			}
		}
		e.cache.blocks = edit.assoc
		// Lost events may have been evictions: believing all blocks as before
		// would keep sending prompts to an engine that has dropped them.
		if gap {
			e.cache = e.cache.doubted(gapDoubt)
		} else {
			e.cache = e.cache.trusted(eventTrust)
		}
	})
	if t.entry(name) == nil {
		return t
	}
	edit := assocEdit[string]{assoc: t.hints}
	for _, event := range events {
		if event.Add {
			edit.put(event.Block, name)
		}
	}
	t.hints = edit.assoc

	return t
}

// WithCached takes in an answer: the engine has just worked on the prompt with
// these blocks and found cachedUnits prompt tokens in its cache.
func (t Table) WithCached(name string, blocks []uint64, cachedUnits int64) Table {
	if len(blocks) == 0 || t.entry(name) == nil {
		return t
	}
	blocks = blocks[:min(len(blocks), maxPromptBlocks)]
	t.hints = t.hints.with(blocks, name)

	return t.with(name, func(e *entry) {
		switch {
		case cachedUnits > 0:
			e.cache = e.cache.trusted(hitTrust)
		case e.cache.held(blocks) > 0:
			e.cache = e.cache.doubted(missDoubt)
		}
		e.cache.blocks = e.cache.blocks.with(blocks, struct{}{})
	})
}

// holder names an upstream that was last seen with the deepest known block of the prompt.
func (t Table) holder(blocks []uint64) (string, bool) {
	for i := min(len(blocks), maxPromptBlocks) - 1; i >= 0; i-- {
		if name, ok := t.hints.get(blocks[i]); ok {
			return name, true
		}
	}

	return "", false
}
