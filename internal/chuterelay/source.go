package chuterelay

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxDirectFollowers is the number of followers that one node serves before there is a
// second level. A follower costs three streams with a sign of life each 0.3 s and one with
// one a second, some 520 bytes a second in all: twelve take three quarters of the 8 KB/s that
// a node has for control.
const maxDirectFollowers = 12

// TableSource returns the node that another one takes the store's tables from; false if that
// one reads the store itself, as the first of its region.
//
// The first node of a zone follows the first of the region, since whatever reads the
// store reads the heartbeats of all upstreams. Up to twelve others follow the first of
// their zone. Where there are more, as many as the root of their number follow it and
// serve the rest, so that nobody serves more than the root of the zone's size on
// average: 9 of 80 nodes, 14 of 200. Each of the rest keeps its node as long as that one
// is there, whoever else comes and goes.
//
// A node only ever follows one that comes before it in an order that depends on the two
// alone. Nodes whose lists differ may follow different ones, but never each other in a
// circle, in which all would take old tables for current.
func TableSource(self Peer, nodes []Peer) (Peer, bool) {
	order := sourceOrder(nodes)
	zone := slices.DeleteFunc(slices.Clone(order), func(p Peer) bool { return p.Zone != self.Zone })
	isSelf := func(p Peer) bool { return p.Name == self.Name }
	index := slices.IndexFunc(zone, isSelf)
	if index > 0 || index < 0 && len(zone) > 0 {
		return zoneTableSource(self, zone, index), true
	}
	first := slices.IndexFunc(order, func(p Peer) bool { return p.Region == self.Region })
	if first < 0 || isSelf(order[first]) {
		return Peer{}, false
	}

	return order[first], true
}

// zoneTableSource returns whom a node follows that is not the first of its zone; own is its
// place in the zone's order, or below 0 if it is not listed.
func zoneTableSource(self Peer, zone []Peer, index int) Peer {
	if index < 0 {
		index = len(zone)
	}
	others := len(zone) - 1
	relayCount := int(math.Ceil(math.Sqrt(float64(others))))
	if others <= maxDirectFollowers || index <= relayCount {
		return zone[0]
	}
	pairHash := func(relay Peer) uint64 { return xxhash.Sum64String(self.Name + "|" + relay.Name) }

	return slices.MaxFunc(zone[1:1+relayCount], func(a, b Peer) int { return cmp.Compare(pairHash(a), pairHash(b)) })
}

// sourceOrder returns nodes strong ones first, and equally strong ones in an order of their own.
func sourceOrder(nodes []Peer) []Peer {
	type ranked struct {
		Peer

		class int
		hash  uint64
	}
	all := make([]ranked, 0, len(nodes))
	for _, p := range nodes {
		all = append(all, ranked{Peer: p, class: powerClass(p.Power), hash: xxhash.Sum64String("reader|" + p.Name)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.class, a.class), cmp.Compare(b.hash, a.hash), cmp.Compare(a.Name, b.Name))
	})
	order := make([]Peer, 0, len(all))
	for _, r := range all {
		order = append(order, r.Peer)
	}

	return order
}

// powerClass is the same for nodes whose power differs by less than twice or so.
func powerClass(power float64) int {
	_, exponent := math.Frexp(power)

	return exponent
}
