package chutestream

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxHoldersPerZone bounds the nodes of a zone that hold records of others, and with them the connections
	// that each node keeps for it.
	maxHoldersPerZone = 64
	// announcedZones and askedZones are the numbers of zones besides the own one in which records are held and looked
	// for: the zone that a node announced to is the first or second for the ID.
	announcedZones = 1
	askedZones     = 2
	// askedInZone is the number of nodes of the own zone that are asked: a node announces to the best one but itself.
	askedInZone = 2
	// failedPause is how long a node is passed over that did not answer.
	failedPause = 2 * time.Second
)

// Node is a node that may hold records.
type Node struct {
	Name    string
	Zone    string
	Address string
}

// holders are the nodes that may hold records, by zone. Any two nodes with the same list find the same ones for
// an ID. It is immutable.
type holders struct {
	self   Node
	byZone map[string][]Node
	zones  []string
	// failedUntil holds the nodes that are passed over, with the times until which they are.
	failedUntil map[string]time.Time
}

// withNodes returns the holders among all nodes.
func (h holders) withNodes(all []Node) holders {
	h.byZone, h.zones = map[string][]Node{}, nil
	for _, node := range all {
		if h.byZone[node.Zone] == nil {
			h.zones = append(h.zones, node.Zone)
		}
		h.byZone[node.Zone] = append(h.byZone[node.Zone], node)
	}
	for zone, nodes := range h.byZone {
		slices.SortFunc(nodes, func(a, b Node) int {
			return cmp.Compare(xxhash.Sum64String("holder|"+a.Name), xxhash.Sum64String("holder|"+b.Name))
		})
		h.byZone[zone] = nodes[:min(len(nodes), maxHoldersPerZone)]
	}

	return h
}

// withFailed passes a node over for a while.
func (h holders) withFailed(name string, now time.Time) holders {
	next := map[string]time.Time{name: now.Add(failedPause)}
	for other, until := range h.failedUntil {
		if other != name && now.Before(until) {
			next[other] = until
		}
	}
	h.failedUntil = next

	return h
}

// announceTo returns the nodes that are to hold a record besides this one: one of its zone and one of another.
func (h holders) announceTo(id ID, now time.Time) []Node {
	nodes := h.elsewhere(id, announcedZones, now)
	if own, ok := h.bestOther(h.self.Zone, id, now); ok {
		nodes = append(nodes, own)
	}

	return nodes
}

// bestOther returns the best node of a zone but this one, or false if there is none.
func (h holders) bestOther(zone string, id ID, now time.Time) (Node, bool) {
	for _, node := range h.ranked(zone, id, now) {
		if node.Name != h.self.Name {
			return node, true
		}
	}

	return Node{}, false
}

// toAsk returns the nodes besides this one that hold a record if any does.
func (h holders) toAsk(id ID, now time.Time) []Node {
	own := h.ranked(h.self.Zone, id, now)
	own = own[:min(len(own), askedInZone)]
	own = slices.DeleteFunc(own, func(n Node) bool { return n.Name == h.self.Name })

	return append(own, h.elsewhere(id, askedZones, now)...)
}

// passedOver returns the number of nodes that toAsk would return if they had answered.
func (h holders) passedOver(id ID, now time.Time) int {
	all := h
	all.failedUntil = nil
	count := 0
	for _, node := range all.toAsk(id, now) {
		if now.Before(h.failedUntil[node.Name]) {
			count++
		}
	}

	return count
}

// elsewhere returns the best node of each of count other zones that come first for an ID.
func (h holders) elsewhere(id ID, count int, now time.Time) []Node {
	zones := slices.DeleteFunc(slices.Clone(h.zones), func(zone string) bool { return zone == h.self.Zone })
	slices.SortFunc(zones, func(a, b string) int { return cmp.Compare(rank(id, b), rank(id, a)) })
	var nodes []Node
	for _, zone := range zones[:min(len(zones), count)] {
		if best, ok := h.bestOther(zone, id, now); ok {
			nodes = append(nodes, best)
		}
	}

	return nodes
}

// ranked returns the nodes of a zone that are not passed over, the best for an ID first.
func (h holders) ranked(zone string, id ID, now time.Time) []Node {
	var nodes []Node
	for _, node := range h.byZone[zone] {
		if !now.Before(h.failedUntil[node.Name]) {
			nodes = append(nodes, node)
		}
	}
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(rank(id, b.Name), rank(id, a.Name)) })

	return nodes
}

// rank returns a number that orders names for an ID, alike at all nodes, whether or not the ID names its request.
func rank(id ID, name string) uint64 {
	var buffer [128]byte

	return xxhash.Sum64(append(append(buffer[:0], id[:halfIDBytes]...), name...))
}
