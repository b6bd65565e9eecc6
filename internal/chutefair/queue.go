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
	tolerance = 2
)

// Queue counts the work that waits, by workspace and level; its values are immutable.
//
// Level 0 is work within its workspace's share, and goes first. Each further level holds
// what exceeds the share of the one before, by the same rule: of two loud workspaces
// each is held to its part of what the two want.
type Queue struct {
	waiting *immutable.Map[slot, int]
	levels  [maxLevel + 1]int
}

// slot is one workspace's work at one level.
type slot struct {
	workspace string
	level     int
}

type slotHasher struct{}

func (slotHasher) Hash(s slot) uint32 {
	return uint32(xxhash.Sum64String(s.workspace)) + uint32(s.level) //nolint:gosec // a hash
}

func (slotHasher) Equal(a, b slot) bool {
	return a == b
}

// NewQueue returns a queue in which nothing waits.
func NewQueue() Queue {
	return Queue{waiting: immutable.NewMap[slot, int](slotHasher{})}
}

// WithWork adds work of a workspace at a level, or takes it away.
func (q Queue) WithWork(workspace string, level, work int) Queue {
	if work == 0 {
		return q
	}
	key := slot{workspace: workspace, level: level}
	was, _ := q.waiting.Get(key)
	if was+work == 0 {
		q.waiting = q.waiting.Delete(key)
	} else {
		q.waiting = q.waiting.Set(key, was+work)
	}
	q.levels[level] += work

	return q
}

// Level returns the level at which a workspace's next work is to wait; allowance is the
// work that each workspace may have waiting at any level, whatever its share.
func (q Queue) Level(workspace string, share float64, allowance int) int {
	for level := range maxLevel {
		own, _ := q.waiting.Get(slot{workspace: workspace, level: level})
		if own <= allowance || float64(own) <= tolerance*share*float64(q.levels[level]) {
			return level
		}
	}

	return maxLevel
}
