package chutemember

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Digest returns the digest of everything known, as Open sends it with ScopeAll but without offers of ledger rows.
func (s Set) Digest() Digest {
	return s.digestOf(ScopeAll)
}

// Open returns the first message of an exchange with the peer: a digest of the
// peer's scope, and a delta of what is worth telling unasked. Both together
// take at most maxBytes.
func (s Set) Open(peer Peer, maxBytes int) (Digest, Delta) {
	digest := s.digestOf(peer.Scope)
	digest.Rows = s.offeredRows(peer.Name)
	digest = s.fitted(digest, maxBytes)
	b := newBudget(maxBytes - digest.Size())
	return digest, s.news(b)
}

// news is what every opening carries: the configuration in force here and the
// marks learned lately. Pushed rather than asked for, they spread within a few
// exchanges and need no round trip.
func (s Set) news(b *budget) Delta {
	var d Delta
	if b.take(s.config.size()) {
		d.Config = s.config
	}
	d.Marks = s.markNews(func(_ LeavingMark, kept mark) bool {
		return s.at.Sub(kept.learned) <= s.settings.NewsFor
	}, b)
	return d
}

func (s Set) digestOf(scope Scope) Digest {
	d := Digest{
		Scope:         scope,
		Zone:          s.ownZone(),
		ConfigVersion: s.config.Version,
		Marks:         s.digestMarks(),
	}
	if scope != ScopeZone && scope != ScopeAll {
		return d
	}
	for _, n := range s.allNodes() {
		if scope == ScopeAll || n.member.Zone == d.Zone {
			d.Nodes = append(d.Nodes, NodeVersion{ID: n.id, Version: n.member.Heartbeat})
		}
	}
	slices.SortFunc(d.Nodes, func(a, b NodeVersion) int { return cmp.Compare(a.ID, b.ID) })
	return d
}

// fitted cuts a digest that would take more than half the exchange to a part of
// the nodes, another part each time. Such a digest asks only for the nodes it
// lists; that still meets every node within a few exchanges.
func (s Set) fitted(d Digest, maxBytes int) Digest {
	over := d.Size() - maxBytes/2
	if over <= 0 || len(d.Nodes) == 0 {
		return d
	}
	perNode := max(1, sizeOfNodeVersions(d.Nodes)/len(d.Nodes))
	keep := max(1, len(d.Nodes)-over/perNode-1)
	start := s.rotation(len(d.Nodes))
	cut := make([]NodeVersion, 0, keep)
	for i := range keep {
		cut = append(cut, d.Nodes[(start+i)%len(d.Nodes)])
	}
	slices.SortFunc(cut, func(a, b NodeVersion) int { return cmp.Compare(a.ID, b.ID) })
	d.Scope = ScopeListed
	d.Nodes = cut
	return d
}

// rotation is a starting point among n entries that moves on with every
// heartbeat, so that a cut list does not leave out the same entries each time.
func (s Set) rotation(n int) int {
	const stride = 61 // a prime, so that successive starts lie apart
	if n == 0 {
		return 0
	}
	turn := s.ownNode().member.Heartbeat % math.MaxInt32
	return int(turn) * stride % n
}

// DeltaFor returns what the peer lacks by the digest it sent, within maxBytes
// of encoded size, and in Wants what this node lacks. What does not fit is left
// for a later exchange: the entries are independent of each other.
func (s Set) DeltaFor(peer string, known Digest, maxBytes int) Delta {
	var d Delta
	if known.Scope == ScopeNone {
		return d
	}
	b := newBudget(maxBytes)
	if s.config.Version > known.ConfigVersion && b.take(s.config.size()) {
		d.Config = s.config
	}
	if known.Scope != ScopeListed || known.Marks != nil {
		d.Marks = s.markNews(func(m LeavingMark, _ mark) bool {
			bucket, _ := m.bucket()
			return s.marksDiffer(known.Marks, bucket)
		}, b)
	}
	d.Wants = s.wants(known, b)
	if known.Scope != ScopeNews {
		d.Nodes, d.Beats = s.nodeNews(peer, known, b)
	}
	if known.Scope == ScopeListed {
		d.Rows = s.rowNews(known.Rows, b)
	}
	return d
}

// wants lists what the digest has and this node lacks, within a quarter of the budget.
func (s Set) wants(known Digest, b *budget) Digest {
	part := &budget{left: b.left / 4}
	w := Digest{Zone: s.ownZone(), ConfigVersion: s.config.Version}
	for bucket := range markBuckets {
		if (known.Scope != ScopeListed || known.Marks != nil) && s.marksDiffer(known.Marks, bucket) {
			hashes := s.markHashes
			w.Marks = hashes[:]
		}
	}
	start := s.rotation(len(known.Nodes))
	for i := range known.Nodes {
		k := known.Nodes[(start+i)%len(known.Nodes)]
		have := uint64(0)
		if n, ok := s.nodeByID(k.ID); ok {
			have = n.member.Heartbeat
		}
		if k.Version > have && part.take(sizeOfNodeVersion) {
			w.Nodes = append(w.Nodes, NodeVersion{ID: k.ID, Version: have})
		}
	}
	slices.SortFunc(w.Nodes, func(a, b NodeVersion) int { return cmp.Compare(a.ID, b.ID) })
	w.Rows = s.wantedRows(known.Rows)
	if w.Marks == nil && len(w.Nodes) == 0 && len(w.Rows) == 0 {
		return Digest{}
	}
	w.Scope = ScopeListed
	if !b.take(w.Size()) {
		return Digest{}
	}
	return w
}

// nodeNews lists the news about the members in the digest's scope. Members that are dead by this node's judgement are
// left out, or they would come back at nodes that have forgotten them; only the peer is told of its own dead
// incarnation, see withRaisedEpoch.
func (s Set) nodeNews(peer string, known Digest, b *budget) ([]NodeNews, []Beat) {
	var news []NodeNews
	var beats []Beat
	all := s.allNodes()
	start := s.rotation(len(all))
	for i := range all {
		n := all[(start+i)%len(all)]
		have, listed := known.version(n.id)
		if n.member.Heartbeat <= have || !known.covers(n, listed) || (s.dead(n, s.at) && n.member.Name != peer) {
			continue
		}
		entry, ok := s.entryFor(n, have, listed, known.Zone)
		switch {
		case !ok:
		case entry.empty():
			beat := Beat{ID: n.id, Base: have, Version: n.member.Heartbeat}
			if (len(beats) > 0 || b.take(beatListBytes)) && b.take(beat.size()) {
				beats = append(beats, beat)
			}
		case b.take(entry.size()):
			news = append(news, entry)
		}
	}
	return news, beats
}

// entryFor is what to tell about a node to one of the given zone. Only the
// node's own zone has its loads: told by a node from outside, a version would
// claim them to be known and hide them until they change. So from outside, a
// node is introduced to its zone where it is not known there, and no more.
func (s Set) entryFor(n *node, have uint64, listed bool, zone string) (NodeNews, bool) {
	sameZone := n.member.Zone == zone
	if sameZone && zone != s.ownZone() {
		return n.introduction(), !listed
	}
	return n.newsSince(have, sameZone), true
}

// empty reports whether the entry says nothing but that the node is alive.
func (n *NodeNews) empty() bool {
	return n.Record == nil && n.Status == nil && n.LoadsAt == 0
}

// covers reports whether the digest asks about the node.
func (d Digest) covers(n *node, listed bool) bool {
	switch d.Scope {
	case ScopeAll:
		return true
	case ScopeZone:
		return n.member.Zone == d.Zone
	default:
		return listed
	}
}

// version finds the version that the digest has of a node.
func (d Digest) version(id uint64) (version uint64, listed bool) {
	i, found := slices.BinarySearchFunc(d.Nodes, id, func(v NodeVersion, id uint64) int {
		return cmp.Compare(v.ID, id)
	})
	if !found {
		return 0, false
	}
	return d.Nodes[i].Version, true
}

// introduction says no more than who the node is.
func (n *node) introduction() NodeNews {
	record := n.member
	return NodeNews{ID: n.id, Base: n.member.Heartbeat, Version: n.member.Heartbeat, Record: &record, RecordAt: n.recordAt}
}

// newsSince lists the parts of a node's state that changed after a version.
func (n *node) newsSince(have uint64, sameZone bool) NodeNews {
	news := NodeNews{ID: n.id, Base: have, Version: n.member.Heartbeat}
	if n.recordAt > have {
		record := n.member
		news.Record, news.RecordAt = &record, n.recordAt
	}
	if n.statusAt > have {
		status := n.status
		news.Status, news.StatusAt = &status, n.statusAt
	}
	if sameZone && n.loadsAt > have {
		news.Loads, news.LoadsAt = n.loads, n.loadsAt
	}
	return news
}

// seconds rounds a duration for the wire.
func seconds(d time.Duration) uint64 {
	return uint64(max(0, d) / time.Second)
}
