package chutegate

import (
	"slices"
	"sync"
	"time"

	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteshare"
	"azurechute.example/azurechute/internal/chutestream"
)

// maxDirectReaders is the number of nodes up to which each node reads the store itself. With more,
// nodes follow each other instead, because each node that reads makes about three calls a second.
// With so few, losing the one reader would leave half of the nodes out of date until the loss is
// noticed.
const maxDirectReaders = 3

// lostNodeSet holds the nodes that were recently lost as sources of the store's tables.
type lostNodeSet struct {
	mu    sync.Mutex
	until map[string]time.Time
	// additions counts the calls of add.
	additions int
}

// lostNodePeriod is how long a lost node is not chosen as the source, long enough for another
// source to be in use. If the VM is gone for good but its row stays, the failed attempt after each
// period costs little.
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

// lostAt returns the nodes that count as lost at a time, when the first of them stops being lost,
// and the number of additions so far.
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

// sourceChoice is a cached result of source with the inputs that it was computed from. source is
// called at each keepalive, several times a second, and computing it sorts hundreds of nodes.
type sourceChoice struct {
	nodes         *[]chuterelay.Peer
	lostAdditions int
	draining      bool
	// validUntil is when the first lost node counts again; zero if none is lost.
	validUntil time.Time
	source     chuterelay.Peer
	found      bool
}

// source returns the node that this one copies the store's tables from. It returns false if this
// node reads the store itself, or if there are so few nodes that all do.
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
			// A node that is shutting down has been removed from the list, and serves no followers.
			return lost[p.Name] || draining && p.Name == n.settings.Self.Name
		})
		choice.source, choice.found = chuterelay.TableSource(n.settings.Self, live)
	}
	n.cachedSource.Store(choice)

	return choice.source, choice.found
}

// Handlers returns the functions that answer requests of other nodes.
func (n *Node) Handlers() chuteshare.Handlers {
	return chuteshare.Handlers{
		Traffic:  n.peers.Traffic,
		Now:      n.Now,
		NewToken: func() uint64 { return n.lastHandle.Add(1) },
		OnJob:    n.acceptJob,
		OnLeaseEnd: func(token uint64) {
			n.sendEventWith(chuterelay.JobCancelled{Token: token}, func() { delete(n.jobUpdates, token) })
		},
		OnTable:            n.tableForFollower,
		OnForward:          n.serveForwarded,
		OnTell:             n.receiveReports,
		OnStreamsAnnounced: func(records []chutestream.Record) { n.reduceStreams(chutestream.Announced{Records: records}) },
		OnWork:             n.acceptWork,
		OnFindStream:       func(id chutestream.ID) (chutestream.Record, bool) { return n.streams.find(id, n.Now()) },
	}
}

// tableForFollower returns a table as this node knows it, for another node. An unknown table is
// returned as one that was never read.
func (n *Node) tableForFollower(name string) chuteshare.TableState {
	local, ok := n.localTables[name]
	if !ok {
		return chuteshare.TableState{}
	}

	followed := local.stateForFollowers(n.Now())
	followed.Leaving = n.draining.Load()

	return followed
}
