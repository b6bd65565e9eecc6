package chutemember

import "time"

// Merge takes what another node told and returns what of it is new to this
// node. It is commutative, associative and idempotent: every part is taken by
// its maximum. from is the name of the node that sent the delta.
func (s Set) Merge(d Delta, from string, now time.Time) (Set, Changes) {
	s = s.withTime(now)
	var c Changes
	s = s.withContact(from)
	for i := range d.Nodes {
		s = s.withNews(&d.Nodes[i], &c)
	}
	for _, beat := range d.Beats {
		s = s.withBeat(beat)
	}
	for _, m := range d.Marks {
		var fresh bool
		if s, fresh = s.withMark(m.LeavingMark, m.Age); fresh {
			c.Marks = append(c.Marks, m.LeavingMark)
		}
	}
	for _, r := range d.Rows {
		var fresh bool
		if s, fresh = s.withRow(r); fresh && r.Node != s.self {
			c.Rows = append(c.Rows, r)
		}
	}
	s.heard = higher(s.heard, d.Config)
	if d.Config.Version > s.config.Version {
		c.Config, c.From = d.Config, from
	}
	return s, c
}

// withContact counts a message from a known node as a sign of life.
func (s Set) withContact(from string) Set {
	n, ok := s.nodes.Get(from)
	if !ok || n.id == s.selfID {
		return s
	}
	seen := *n
	seen.seen = s.at
	return s.withNode(&seen)
}

// withBeat takes a heartbeat. One whose base is above the version known here
// says nothing about the versions between; taken, it would hide their changes
// from this node's digest for good, so it is ignored and asked for again.
func (s Set) withBeat(b Beat) Set {
	n, ok := s.nodeByID(b.ID)
	if !ok || n.id == s.selfID || b.Version <= n.member.Heartbeat || b.Base > n.member.Heartbeat {
		return s
	}
	return s.withNode(n.at(b.Version, s.at))
}

// at is the node's state at a higher version.
func (n *node) at(version uint64, now time.Time) *node {
	next := *n
	next.member.Heartbeat = version
	next.seen = now
	return &next
}

// withNews takes the changed parts of a node's state.
func (s Set) withNews(news *NodeNews, c *Changes) Set {
	cur, known := s.nodeByID(news.ID)
	if !known {
		return s.withNewcomer(news, c)
	}
	if cur.id == s.selfID {
		return s
	}
	next := *cur
	if news.Record != nil && news.RecordAt > next.recordAt {
		heartbeat := next.member.Heartbeat
		next.member, next.recordAt = *news.Record, news.RecordAt
		next.member.Heartbeat = heartbeat
		if next.member.State != cur.member.State {
			c.Members = append(c.Members, next.member)
		}
	}
	if news.Status != nil && news.StatusAt > next.statusAt {
		next.status, next.statusAt = *news.Status, news.StatusAt
	}
	if news.LoadsAt > next.loadsAt {
		next.loads, next.loadsAt = news.Loads, news.LoadsAt
	}
	// As in withBeat: the version grows only where nothing in between is missing.
	if news.Base <= cur.member.Heartbeat && news.Version > cur.member.Heartbeat {
		next = *next.at(news.Version, s.at)
	}
	return s.withNode(&next)
}

// withNewcomer takes an incarnation that is not known here, unless a later one
// of the same name is.
func (s Set) withNewcomer(news *NodeNews, c *Changes) Set {
	if news.Record == nil || news.Record.Name == "" || memberID(news.Record.Name, news.Record.Incarnation) != news.ID {
		return s
	}
	if news.Record.Name == s.self {
		return s.withRaisedEpoch(news.Record.Epoch, c)
	}
	if cur, ok := s.nodes.Get(news.Record.Name); ok && !news.Record.supersedes(cur.member) {
		return s
	}
	next := &node{
		id: news.ID, member: *news.Record, recordAt: news.RecordAt,
		loads: news.Loads, loadsAt: news.LoadsAt, seen: s.at,
	}
	next.member.Heartbeat = 0
	if news.Status != nil {
		next.status, next.statusAt = *news.Status, news.StatusAt
	}
	if news.Base == 0 {
		next.member.Heartbeat = news.Version
	}
	c.Members = append(c.Members, next.member)
	return s.withNode(next)
}

// withRaisedEpoch answers another incarnation under this node's own name. Where
// a replaced VM's clock is behind the one before, the others would go on
// believing in the dead incarnation and never list the live one; going above
// its epoch makes them change over at the next exchange.
func (s Set) withRaisedEpoch(epoch uint64, c *Changes) Set {
	if epoch < s.ownNode().member.Epoch {
		return s
	}
	c.SelfContested = true
	return s.withOwn(func(own *node, version uint64) {
		own.member.Epoch = epoch + 1
		own.recordAt = version
	})
}
