package chutequota

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Allocator deals whole numbers out to the nodes of a list; immutable.
type Allocator struct {
	// nodes are the hashes of all listed nodes' names.
	nodes []uint64
	self  uint64
	// listed says that this node is on the list.
	listed bool
}

// NewAllocator returns the owners as a node works them out from a list of nodes' names.
func NewAllocator(self string, nodes []string) Allocator {
	o := Allocator{self: xxhash.Sum64String(self), listed: slices.Contains(nodes, self)}
	for _, node := range nodes {
		o.nodes = append(o.nodes, xxhash.Sum64String(node))
	}

	return o
}

// NodeCount returns the number of nodes among which is dealt.
func (o Allocator) NodeCount() int {
	return len(o.nodes)
}

// Quota returns this node's part of a whole that belongs to all nodes together; 0 if it is
// none of the owners of the thing that is named.
//
// The owners are the first nodes in an order of the thing's own, as many as there are units.
// Where lists of nodes differ by some, so do the owners by as many at most, and each of them
// adds its part. A node that is not on its own list owns nothing, and neither does one that
// knows no list.
func (o Allocator) Quota(thing string, whole int) int {
	if whole <= 0 || !o.listed {
		return 0
	}
	key := xxhash.Sum64String(thing)
	own := mix(key ^ o.self)
	before := 0
	for _, node := range o.nodes {
		if mix(key^node) > own {
			before++
		}
	}
	owners := min(len(o.nodes), whole)
	if before >= owners {
		return 0
	}
	quota := whole / owners
	if before < whole%owners {
		quota++
	}

	return quota
}

// mix spreads a number over all 64 bits, each value to another one (the end of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb

	return x ^ x>>31
}
