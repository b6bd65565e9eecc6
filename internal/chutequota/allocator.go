package chutequota

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Allocator deals whole numbers out to the nodes of a list; immutable.
type Allocator struct {
	// nodes are the hashes of all listed nodes' names.
	nodeHashes []uint64
	selfHash   uint64
	// listed says that this node is on the list.
	listed bool
}

// NewAllocator returns the owners as a node works them out from a list of nodes' names.
func NewAllocator(self string, nodes []string) Allocator {
	a := Allocator{selfHash: xxhash.Sum64String(self), listed: slices.Contains(nodes, self)}
	for _, node := range nodes {
		a.nodeHashes = append(a.nodeHashes, xxhash.Sum64String(node))
	}

	return a
}

// NodeCount returns the number of nodes among which is dealt.
func (a Allocator) NodeCount() int {
	return len(a.nodeHashes)
}

// Quota returns this node's part of a whole that belongs to all nodes together; 0 if it is
// none of the owners of the thing that is named.
//
// The owners are the first nodes in an order of the thing's own, as many as there are units.
// Where lists of nodes differ by some, so do the owners by as many at most, and each of them
// adds its part. A node that is not on its own list owns nothing, and neither does one that
// knows no list.
func (a Allocator) Quota(key string, total int) int {
	if total <= 0 || !a.listed {
		return 0
	}
	keyHash := xxhash.Sum64String(key)
	selfOrder := mix(keyHash ^ a.selfHash)
	nodesBefore := 0
	for _, nodeHash := range a.nodeHashes {
		if mix(keyHash^nodeHash) > selfOrder {
			nodesBefore++
		}
	}
	nodesWithQuota := min(len(a.nodeHashes), total)
	if nodesBefore >= nodesWithQuota {
		return 0
	}
	quota := total / nodesWithQuota
	if nodesBefore < total%nodesWithQuota {
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
