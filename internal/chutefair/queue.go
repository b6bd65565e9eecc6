package chutefair

import (
	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"
)

const (
	// maxLevel is the last level; what is further beyond its share waits there as well.
	maxLevel = 3
	// tolerance is the part of a level that a workspace may have, in times of its share:
	// arrivals come in clumps, and twice the usual part of a queue is no rare chance.
	shareTolerance = 2
)

// Queue counts the work that waits, by workspace and level; its values are immutable.
//
// Level 0 is work within its workspace's share, and goes first. Each further level holds
// what exceeds the share of the one before, by the same rule: of two loud workspaces
// each is held to its part of what the two want.
type Queue struct {
	waiting *immutable.Map[workspaceLevel, int]
	totals  [maxLevel + 1]int
}

// slot is one workspace's work at one level.
type workspaceLevel struct {
	workspace string
	level     int
}

type workspaceLevelHasher struct{}

func (workspaceLevelHasher) Hash(k workspaceLevel) uint32 {
	return uint32(xxhash.Sum64String(k.workspace)) + uint32(k.level) //nolint:gosec // a hash
}

func (workspaceLevelHasher) Equal(a, b workspaceLevel) bool {
	return a == b
}

// NewQueue returns a queue in which nothing waits.
func NewQueue() Queue {
	return Queue{waiting: immutable.NewMap[workspaceLevel, int](workspaceLevelHasher{})}
}

// WithWork adds work of a workspace at a level, or takes it away.
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

// Level returns the level at which a workspace's next work is to wait; allowance is the
// work that each workspace may have waiting at any level, whatever its share.
func (q Queue) Level(workspace string, share float64, allowance int) int {
	for level := range maxLevel {
		own, _ := q.waiting.Get(workspaceLevel{workspace: workspace, level: level})
		if own <= allowance || float64(own) <= shareTolerance*share*float64(q.totals[level]) {
			return level
		}
	}

	return maxLevel
}
