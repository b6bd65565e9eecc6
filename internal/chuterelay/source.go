package chuterelay

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxDirectFollowers is the number of followers that one node serves before there is a second
// level. A follower costs three streams with a keepalive every 0.3 s and one with a keepalive
// every second, some 520 bytes per second in all. Twelve take three quarters of the 8 KB/s that a
// node has for control traffic.
const maxDirectFollowers = 12

// TableSource returns the node from which another one takes the store's tables. It returns false if that one reads
// the store itself, as the first of its region.
//
// The first node of a zone follows the first of the region, up to twelve others follow the first of their zone; where
// there are more, as many as the square root of their number do and serve the rest. A node only follows one before it
// in an order that depends on the two alone, so that differing lists make no cycle.
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

// zoneTableSource returns the source of a node that is not the first of its zone. index is its
// place in the zone's order, or negative if it is not listed.
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

// sourceOrder returns the nodes ordered by power class, strongest first, and by a hash of the name
// within a class.
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

// powerClass returns the same class for nodes whose powers differ by less than a factor of about
// two.
func powerClass(power float64) int {
	_, exponent := math.Frexp(power)

	return exponent
}
