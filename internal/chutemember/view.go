package chutemember

import "time"

// Self is this node's own entry.
func (s Set) Self() Member {
	return s.view(s.ownNode(), s.at)
}

// Members lists all nodes by name, this one included, as of the last heartbeat or merge.
func (s Set) Members() []Member {
	all := s.allNodes()
	out := make([]Member, len(all))
	for i, n := range all {
		out[i] = s.view(n, s.at)
	}
	return out
}

// Member finds a node by name.
func (s Set) Member(name string) (Member, bool) {
	n, ok := s.nodes.Get(name)
	if !ok {
		return Member{}, false
	}
	return s.view(n, s.at), true
}

// Suspects lists the nodes whose heartbeat has not grown for Settings.SuspectAfter, dead ones included.
func (s Set) Suspects(now time.Time) []Member {
	var out []Member
	for _, n := range s.allNodes() {
		if s.age(n, now) > s.stretched(n, s.settings.SuspectAfter) {
			out = append(out, s.view(n, now))
		}
	}
	return out
}

// Config is what is in force here.
func (s Set) Config() Config {
	return s.config
}

// HighestConfig is the highest configuration that any node said is in force; it never goes down.
func (s Set) HighestConfig() Config {
	return s.heard
}

// LeavingMarks lists the marks known, by upstream and incarnation.
func (s Set) LeavingMarks() []LeavingMark {
	out := make([]LeavingMark, 0, s.marks.Len())
	for itr := s.marks.Iterator(); !itr.Done(); {
		m, _, _ := itr.Next()
		out = append(out, m)
	}
	return out
}

// PoolLoad sums the work in flight that the live nodes reported for a zone's pool.
func (s Set) PoolLoad(zone, pool string) int {
	sum := 0
	for _, n := range s.allNodes() {
		loads := n.status.Loads
		if n.id == s.selfID {
			loads = s.loads
		} else if s.dead(n, s.at) {
			continue
		}
		for _, l := range loads {
			if l.Zone == zone && l.Pool == pool {
				sum += l.InFlight
			}
		}
	}
	return sum
}

// view is the node's entry with the state that this node judges.
func (s Set) view(n *node, now time.Time) Member {
	m := n.member
	m.ConfigVersion = n.status.ConfigVersion
	if s.dead(n, now) {
		m.State = StateDead
	}
	return m
}
