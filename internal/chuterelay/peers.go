package chuterelay

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// peerPause is how long a silent peer is passed over; a frozen or cut off node
// lasts seconds, and asking it again costs one ask its patience.
const peerPause = 2 * time.Second

// Peer is a node of the system.
type Peer struct {
	Name    string
	Zone    string
	Address string
	// Incarnation changes with each start of the process.
	Incarnation string
}

// peers is the list of nodes with this node's evidence on them.
type peers struct {
	self   Peer
	all    []Peer
	silent map[string]time.Time
}

// withListed takes in the list of nodes.
func (p peers) withListed(all []Peer) peers {
	next := map[string]time.Time{}
	for _, peer := range all {
		was := slices.IndexFunc(p.all, func(o Peer) bool { return o == peer })
		if until, ok := p.silent[peer.Name]; ok && was >= 0 {
			next[peer.Name] = until
		}
	}
	p.all = slices.Clone(all)
	p.silent = next

	return p
}

// withSilent passes a peer over for a while.
func (p peers) withSilent(name string, now time.Time) peers {
	next := make(map[string]time.Time, len(p.silent)+1)
	for n, until := range p.silent {
		if now.Before(until) {
			next[n] = until
		}
	}
	next[name] = now.Add(peerPause)
	p.silent = next

	return p
}

// collector returns the node that gathers the parts for a pool.
//
// Each node works it out alone from the list; a node that is silent to one is
// passed over by that one only. Two collectors for one pool cost refused calls
// and no correctness, so no lease is needed.
func (p peers) collector(pool string, now time.Time) Peer {
	best := p.self
	bestHash := rank(pool, p.self)
	for _, peer := range p.all {
		if peer.Name == p.self.Name || now.Before(p.silent[peer.Name]) {
			continue
		}
		if h := rank(pool, peer); h > bestHash {
			best, bestHash = peer, h
		}
	}

	return best
}

func rank(pool string, peer Peer) uint64 {
	return xxhash.Sum64String(pool + "|" + peer.Name)
}

// share is this node's part of what all nodes may do together.
func (p peers) share() float64 {
	return 1 / float64(max(1, len(p.all)))
}
