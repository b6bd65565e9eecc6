package chutequota

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Allocator computes one node's quotas from a list of nodes. It is immutable.
type Allocator struct {
	// nodes are the names of all listed nodes.
	nodes []string
	// nodeHashes are the hashes of the names of all listed nodes.
	nodeHashes []uint64
	selfHash   uint64
	// listed is true if this node is on the list.
	listed bool
}

// NewAllocator returns the allocator of the node named self for a list of the names of nodes.
func NewAllocator(self string, nodes []string) Allocator {
	a := Allocator{nodes: nodes, selfHash: xxhash.Sum64String(self), listed: slices.Contains(nodes, self)}
	for _, node := range nodes {
		a.nodeHashes = append(a.nodeHashes, xxhash.Sum64String(node))
	}

	return a
}

// NodeCount returns the number of listed nodes.
func (a Allocator) NodeCount() int {
	return len(a.nodeHashes)
}

// Quota returns this node's part of a total that all nodes share, 0 if it has none. The key names what is divided,
// and determines an order of the nodes, the first of which get a quota.
//
// If the lists of two nodes differ in n nodes, at most n nodes add their quotas to the total. A node that is not on
// its own list gets nothing.
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

// Owners returns the names of the nodes that have a quota of a total, in no particular order. It looks at all
// nodes.
func (a Allocator) Owners(key string, total int) []string {
	keyHash := xxhash.Sum64String(key)
	order := make([]int, len(a.nodeHashes))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(i, j int) int {
		return cmp.Compare(mix(keyHash^a.nodeHashes[j]), mix(keyHash^a.nodeHashes[i]))
	})
	owners := make([]string, 0, min(total, len(order)))
	for _, i := range order[:min(max(0, total), len(order))] {
		owners = append(owners, a.nodes[i])
	}

	return owners
}

// mix is a bijective hash of 64-bit values: the output function of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb

	return x ^ x>>31
}
