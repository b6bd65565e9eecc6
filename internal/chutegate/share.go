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
const followAbove = 3

// lostNodes remembers nodes that were lost as sources of the store's tables.
type lostNodes struct {
	mu    sync.Mutex
	until map[string]time.Time
	// changes counts what was added.
	changes int
}

// lostFor is how long a lost node is passed over: long enough for another to be
// in use, and a row of a VM that is gone for good costs little.
const lostFor = 10 * time.Second

func (l *lostNodes) add(name string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.until == nil {
		l.until = map[string]time.Time{}
	}
	l.until[name] = now.Add(lostFor)
	l.changes++
}

// at returns the nodes that are lost by now, how long that is true, and the number of changes.
func (l *lostNodes) at(now time.Time) (lost map[string]bool, until time.Time, changes int) {
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

	return lost, until, l.changes
}

// sourceChoice is the last answer of source and what it was made from. The question is
// asked with each sign of life, several times a second, and an answer takes sorting
// hundreds of nodes.
type sourceChoice struct {
	nodes    *[]chuterelay.Peer
	lost     int
	draining bool
	// until is when a lost node counts again; zero if none is lost.
	until  time.Time
	source chuterelay.Peer
	found  bool
}

// source returns the node that this one takes the store's tables from; false if it
// reads the store itself, or if there are too few nodes for it to be worth it.
func (n *Node) source() (chuterelay.Peer, bool) {
	now := n.Now()
	nodes := n.nodes.Load()
	lost, until, changes := n.lost.at(now)
	draining := n.draining.Load()
	if c := n.chosen.Load(); c != nil && c.nodes == nodes && c.lost == changes && c.draining == draining &&
		(c.until.IsZero() || now.Before(c.until)) {
		return c.source, c.found
	}
	c := &sourceChoice{nodes: nodes, lost: changes, draining: draining, until: until}
	if all := n.listedPeers(); len(all) > followAbove {
		live := slices.DeleteFunc(all, func(p chuterelay.Peer) bool {
			// A node that is shutting down is on no list, and reads for nobody.
			return lost[p.Name] || draining && p.Name == n.settings.Self.Name
		})
		c.source, c.found = chuterelay.TableSource(n.settings.Self, live)
	}
	n.chosen.Store(c)

	return c.source, c.found
}

// Handlers answers other nodes.
func (n *Node) Handlers() chuteshare.Handlers {
	return chuteshare.Handlers{
		Now:      n.Now,
		NewToken: func() uint64 { return n.handles.Add(1) },
		OnJob:    n.takeJob,
		OnDrop: func(token uint64) {
			n.sendWith(chuterelay.JobCancelled{Token: token}, func() { delete(n.jobs, token) })
		},
		OnTable: n.shareTable,
		OnTell:  n.takeReports,
	}
}

// shareTable hands a table as known to another node; one of no such name was never read.
func (n *Node) shareTable(name string) chuteshare.Followed {
	w, ok := n.watches[name]
	if !ok {
		return chuteshare.Followed{}
	}

	followed := w.followed(n.Now())
	followed.Leaving = n.draining.Load()

	return followed
}
