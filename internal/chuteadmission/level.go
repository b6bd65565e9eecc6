package chuteadmission

import (
	"time"

	"github.com/benbjohnson/immutable"
)

// level shares service among its members by start-time fair queueing.
//
// Each member has a virtual start tag. The backlogged member with the lowest tag
// goes first, and its tag then advances by the cost of the work divided by its
// weight; so over any span backlogged members get service in proportion to their
// weights, and one that was idle cannot claim the time it left unused. Immutable.
type level[B body] struct {
	// now is the virtual time: the start tag of the work picked last.
	now     int64
	members *immutable.Map[string, *member[B]]
	// waiting ranks the backlogged members by tag.
	waiting *immutable.SortedMap[rank, string]
	// owing ranks the idle members whose tag is still ahead of the virtual time.
	owing *immutable.SortedMap[rank, string]
	// weight is the sum of the backlogged members' weights.
	weight int64
	seq    uint64
}

// body is what a member of a level holds.
type body interface {
	comparable
	// backlog counts the waiters in it.
	backlog() int
}

// member is one team, or one workspace of a team.
type member[B body] struct {
	name   string
	seq    uint64
	weight int64
	tag    int64
	// picked and charged are the number and the estimated cost, in nanoseconds, of the work that is not yet done.
	picked  int64
	charged int64
	body    B
}

func newLevel[B body]() level[B] {
	return level[B]{
		members: immutable.NewMap[string, *member[B]](nameHasher{}),
		waiting: newRanking[string](),
		owing:   newRanking[string](),
	}
}

func (l level[B]) backlogged(m *member[B]) bool {
	return m.body.backlog() > 0
}

func (l level[B]) rank(m *member[B]) rank {
	return rank{at: m.tag, seq: m.seq}
}

// get returns a copy of the member, which is a new one if there was none.
func (l level[B]) get(name string, weight int, empty B) member[B] {
	if known, ok := l.members.Get(name); ok {
		return *known
	}

	return member[B]{name: name, weight: int64(max(weight, 1)), tag: l.now, body: empty}
}

// share is the part of the level's service that the member has while it is backlogged.
func (l level[B]) share(m *member[B], weight int) float64 {
	own := int64(max(weight, 1))
	sum := l.weight + own
	if l.backlogged(m) {
		sum -= m.weight
	}

	return float64(own) / float64(sum)
}

// put replaces the member by its changed copy.
func (l level[B]) put(m member[B]) level[B] {
	known, ok := l.members.Get(m.name)
	if ok {
		l = l.unranked(known)
	} else {
		l.seq++
		m.seq = l.seq
	}
	// A member that becomes backlogged starts at the present, or where its debt ends.
	if l.backlogged(&m) && (!ok || !l.backlogged(known)) {
		m.tag = max(m.tag, l.now)
	}

	return l.ranked(&m)
}

func (l level[B]) unranked(m *member[B]) level[B] {
	if l.backlogged(m) {
		l.waiting = l.waiting.Delete(l.rank(m))
		l.weight -= m.weight
	} else {
		l.owing = l.owing.Delete(l.rank(m))
	}

	return l
}

func (l level[B]) ranked(m *member[B]) level[B] {
	switch {
	case l.backlogged(m):
		l.waiting = l.waiting.Set(l.rank(m), m.name)
		l.weight += m.weight
	case m.picked == 0 && m.tag <= l.now:
		// Idle and without debt: a new member would be treated alike.
		l.members = l.members.Delete(m.name)

		return l
	case m.picked == 0:
		l.owing = l.owing.Set(l.rank(m), m.name)
	}
	l.members = l.members.Set(m.name, m)

	return l
}

// first returns the backlogged member whose turn it is.
func (l level[B]) first() *member[B] {
	_, name, ok := first(l.waiting)
	if !ok {
		return nil
	}
	m, _ := l.members.Get(name)

	return m
}

// charge advances the virtual time to the member's turn and bills the estimated cost of its work.
func (l level[B]) charge(m *member[B], cost int64) level[B] {
	l.now = max(l.now, m.tag)
	m.tag += cost / m.weight
	m.picked++
	m.charged += cost

	return l.forgotten()
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

// forgotten drops idle members that the virtual time has caught up with.
//
// With tens of thousands of workspaces the memory would only grow; two for each
// pick keep pace, because one pick leaves at most one behind.
func (l level[B]) forgotten() level[B] {
	for range 2 {
		at, name, ok := first(l.owing)
		if !ok || at.at > l.now {
			return l
		}
		l.owing = l.owing.Delete(at)
		l.members = l.members.Delete(name)
	}

	return l
}
