package chutegate

import (
	"slices"
	"sync"
	"time"

	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteshare"
)

// followAbove is the number of nodes above which they follow each other in place of
// reading the store. Each node that reads makes about three calls a second. Of so few
// nodes as this each one reads: a lost reader would leave half of them out of date until
// that shows.
const maxDirectReaders = 3

// lostNodes remembers nodes that were lost as sources of the store's tables.
type lostNodeSet struct {
	mu    sync.Mutex
	until map[string]time.Time
	// changes counts what was added.
	additions int
}

// lostFor is how long a lost node is passed over: long enough for another to be
// in use, and a row of a VM that is gone for good costs little.
const lostNodePeriod = 10 * time.Second

func (l *lostNodeSet) add(name string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.until == nil {
		l.until = map[string]time.Time{}
	}
	l.until[name] = now.Add(lostNodePeriod)
	l.additions++
}

// at returns the nodes that are lost by now, how long that is true, and the number of changes.
func (l *lostNodeSet) lostAt(now time.Time) (lost map[string]bool, until time.Time, additions int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	lost = map[string]bool{}
	for name, end := range l.until {
		switch {
		case !now.Before(end):
			delete(l.until, name)
		case until.IsZero() || end.Before(until):
			until = end

			fallthrough
		default:
			lost[name] = true
		}
	}

	return lost, until, l.additions
}

// sourceChoice is the last answer of source and what it was made from. The question is
// asked with each sign of life, several times a second, and an answer takes sorting
// hundreds of nodes.
type sourceChoice struct {
	nodes         *[]chuterelay.Peer
	lostAdditions int
	draining      bool
	// until is when a lost node counts again; zero if none is lost.
	validUntil time.Time
	source     chuterelay.Peer
	found      bool
}

// source returns the node that this one takes the store's tables from; false if it
// reads the store itself, or if there are too few nodes for it to be worth it.
func (n *Node) source() (chuterelay.Peer, bool) {
	now := n.Now()
	nodes := n.nodes.Load()
	lost, until, additions := n.lostSources.lostAt(now)
	draining := n.draining.Load()
	if choice := n.cachedSource.Load(); choice != nil && choice.nodes == nodes && choice.lostAdditions == additions && choice.draining == draining &&
		(choice.validUntil.IsZero() || now.Before(choice.validUntil)) {
		return choice.source, choice.found
	}
	choice := &sourceChoice{nodes: nodes, lostAdditions: additions, draining: draining, validUntil: until}
	if all := n.listedPeers(); len(all) > maxDirectReaders {
		live := slices.DeleteFunc(all, func(p chuterelay.Peer) bool {
			// A node that is shutting down is on no list, and reads for nobody.
			return lost[p.Name] || draining && p.Name == n.settings.Self.Name
		})
		choice.source, choice.found = chuterelay.Source(n.settings.Self, live)
	}
	n.cachedSource.Store(choice)

	return choice.source, choice.found
}

// Handlers answers other nodes.
func (n *Node) Handlers() chuteshare.Handlers {
	return chuteshare.Handlers{
		Now:      n.Now,
		NewToken: func() uint64 { return n.lastHandle.Add(1) },
		OnJob:    n.acceptJob,
		OnDrop: func(token uint64) {
			n.sendEventWith(chuterelay.JobDropped{Token: token}, func() { delete(n.jobUpdates, token) })
		},
		OnTable: n.tableForFollower,
		OnTell:  n.receiveReports,
	}
}

// shareTable hands a table as known to another node; one of no such name was never read.
func (n *Node) tableForFollower(name string) chuteshare.Followed {
	local, ok := n.localTables[name]
	if !ok {
		return chuteshare.Followed{}
	}

	followed := local.stateForFollowers(n.Now())
	followed.Leaving = n.draining.Load()

	return followed
}
