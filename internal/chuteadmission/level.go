package chuteadmission

import "time"

// level shares service among its members by start-time fair queueing.
//
// Each member has a virtual start tag. The backlogged member with the lowest tag
// goes first, and its tag then advances by the cost of the work divided by its
// weight; so over any span backlogged members get service in proportion to their
// weights, and one that was idle cannot claim the time it left unused. Immutable.
type level[B body] struct {
	// now is the virtual time: the highest start tag picked so far.
	now     int64
	members treap[*member[B]]
	// weight is the sum of the backlogged members' weights.
	weight int64
	seq    uint64
}

// body is what a member of a level holds.
type body interface {
	// backlog counts the waiters in it.
	backlog() int
}

// member is one team, or one workspace of a team.
type member[B body] struct {
	key    treapKey
	seq    uint64
	weight int64
	tag    int64
	// picked and charged are the number and the estimated cost, in nanoseconds, of the work that is not yet done.
	picked  int64
	charged int64
	body    B
}

func (m *member[B]) waits() bool {
	return m.body.backlog() > 0
}

func (m *member[B]) idle() bool {
	return !m.waits() && m.picked == 0
}

// rank puts members by tag; those whose work is all running come last, for they have no turn to wait for.
func (m *member[B]) rank() rank {
	if !m.waits() && m.picked > 0 {
		return rank{at: never, seq: m.seq}
	}

	return rank{at: m.tag, seq: m.seq}
}

// get returns a copy of the member, which is a new one if there was none.
func (l level[B]) get(key treapKey, weight int) member[B] {
	if known, ok := l.members.get(key); ok {
		return *known
	}

	return member[B]{key: key, weight: int64(max(weight, 1)), tag: l.now}
}

// share is the part of the level's service that the member has while it is backlogged.
func (l level[B]) share(m *member[B], weight int) float64 {
	own := int64(max(weight, 1))
	sum := l.weight + own
	if m.waits() {
		sum -= m.weight
	}

	return float64(own) / float64(sum)
}

// put replaces the member by its changed copy.
func (l level[B]) put(m member[B]) level[B] {
	known, ok := l.members.get(m.key)
	if !ok {
		l.seq++
		m.seq = l.seq
	}
	waited := ok && known.waits()
	if waited {
		l.weight -= known.weight
	}
	if m.waits() {
		l.weight += m.weight
	}
	// A member that becomes backlogged starts at the present, or where its debt ends.
	if m.waits() && !waited {
		m.tag = max(m.tag, l.now)
	}
	if !m.idle() || m.tag > l.now {
		l.members = l.members.with(m.key, m.rank(), &m)
	} else if ok {
		// Idle and without debt: a new member would be treated alike.
		l.members = l.members.without(m.key)
	}

	return l.trimmed()
}

// trimmed drops idle members that come before all who wait: their debt is over by the next pick.
//
// It keeps the memory to those who wait, run or owe, out of tens of thousands of workspaces.
func (l level[B]) trimmed() level[B] {
	for {
		m, _, ok := l.members.lowest()
		if !ok || !m.idle() {
			return l
		}
		l.members = l.members.without(m.key)
	}
}

// first returns the backlogged member whose turn it is.
func (l level[B]) first() *member[B] {
	m, _, ok := l.members.lowest()
	if !ok || !m.waits() {
		return nil
	}

	return m
}

// charge advances the virtual time to the member's turn and bills the estimated cost of its work.
func (l level[B]) charge(m *member[B], cost int64) level[B] {
	l.now = max(l.now, m.tag)
	m.tag += cost / m.weight
	m.picked++
	m.charged += cost

	return l
}

// settle replaces the estimate by what the work really took.
func (m *member[B]) settle(took time.Duration) {
	if m.picked == 0 {
		return
	}
	estimate := m.charged / m.picked
	m.picked--
	m.charged -= estimate
	m.tag += (int64(took) - estimate) / m.weight
}
