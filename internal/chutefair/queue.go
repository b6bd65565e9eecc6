package chutefair

import (
	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"
)

const (
	// maxLevel is the highest level. Work that exceeds its share by even more waits there as well.
	maxLevel = 3
	// shareTolerance is the maximum part of a level that a workspace may have, as a multiple of its
	// share: arrivals are bursty, and twice the usual part of a queue is not rare.
	shareTolerance = 2
)

// Queue counts the waiting work by workspace and level. It is immutable. Level 0 holds the work within its
// workspace's share and goes first, each further level what exceeds the share of the level before.
type Queue struct {
	waiting *immutable.Map[workspaceLevel, int]
	// totals are the sums of the waiting work of each level.
	totals [maxLevel + 1]int
}

// workspaceLevel identifies the work of one workspace at one level.
type workspaceLevel struct {
	workspace string
	level     int
}

// workspaceLevelHasher hashes workspaceLevels for immutable.Map.
type workspaceLevelHasher struct{}

func (workspaceLevelHasher) Hash(k workspaceLevel) uint32 {
	return uint32(xxhash.Sum64String(k.workspace)) + uint32(k.level) //nolint:gosec // a hash
}

func (workspaceLevelHasher) Equal(a, b workspaceLevel) bool {
	return a == b
}

// NewQueue returns a queue without waiting work.
func NewQueue() Queue {
	return Queue{waiting: immutable.NewMap[workspaceLevel, int](workspaceLevelHasher{})}
}

// WithWork returns the queue with work of a workspace added at a level; negative work is removed.
func (q Queue) WithWork(workspace string, level, work int) Queue {
	if work == 0 {
		return q
	}
	key := workspaceLevel{workspace: workspace, level: level}
	previous, _ := q.waiting.Get(key)
	if previous+work == 0 {
		q.waiting = q.waiting.Delete(key)
	} else {
		q.waiting = q.waiting.Set(key, previous+work)
	}
	q.totals[level] += work

	return q
}

// Level returns the level at which a workspace's next work has to wait. allowance is the amount of work
// that each workspace may have at any level, whatever its share.
func (q Queue) Level(workspace string, share float64, allowance int) int {
	for level := range maxLevel {
		own, _ := q.waiting.Get(workspaceLevel{workspace: workspace, level: level})
		if own <= allowance || float64(own) <= shareTolerance*share*float64(q.totals[level]) {
			return level
		}
	}

	return maxLevel
}
