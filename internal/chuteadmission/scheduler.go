package chuteadmission

import "time"

// level shares service among its members by start-time fair queueing.
//
// Each member has a virtual start tag. The backlogged member with the lowest tag
// goes first, and its tag then advances by the cost of the work divided by its
// weight; so over any span backlogged members get service in proportion to their
// weights, and one that was idle cannot claim the time it left unused. Immutable.
type scheduler[B backlogged] struct {
	// now is the virtual time: the highest start tag picked so far.
	virtualTime int64
	flows       treap[*flow[B]]
	// weight is the sum of the backlogged members' weights.
	backloggedWeight int64
	lastSeq          uint64
}

// body is what a member of a level holds.
type backlogged interface {
	// backlog counts the waiters in it.
	backlog() int
}

// member is one team, or one workspace of a team.
type flow[B backlogged] struct {
	key      treapKey
	seq      uint64
	weight   int64
	startTag int64
	// picked and charged are the number and the estimated cost, in nanoseconds, of the work that is not yet done.
	running     int64
	runningCost int64
	content     B
}

func (f *flow[B]) treapKey() treapKey {
	return f.key
}

func (f *flow[B]) isBacklogged() bool {
	return f.content.backlog() > 0
}

func (f *flow[B]) isIdle() bool {
	return !f.isBacklogged() && f.running == 0
}

// rank puts members by tag; those whose work is all running come last, for they have no turn to wait for.
func (f *flow[B]) rank() rank {
	if !f.isBacklogged() && f.running > 0 {
		return rank{nanos: maxNanos, seq: f.seq}
	}

	return rank{nanos: f.startTag, seq: f.seq}
}

// get returns a copy of the member, which is a new one if there was none.
func (s scheduler[B]) flowFor(key treapKey, weight int) flow[B] {
	if existing, ok := s.flows.get(key); ok {
		return *existing
	}

	return flow[B]{key: key, weight: int64(max(weight, 1)), startTag: s.virtualTime}
}

// share is the part of the level's service that the member has while it is backlogged.
func (s scheduler[B]) serviceShare(f *flow[B], weight int) float64 {
	own := int64(max(weight, 1))
	sum := s.backloggedWeight + own
	if f.isBacklogged() {
		sum -= f.weight
	}

	return float64(own) / float64(sum)
}

// put replaces the member by its changed copy.
func (s scheduler[B]) withFlow(f flow[B]) scheduler[B] {
	existing, ok := s.flows.get(f.key)
	if !ok {
		s.lastSeq++
		f.seq = s.lastSeq
	}
	wasBacklogged := ok && existing.isBacklogged()
	if wasBacklogged {
		s.backloggedWeight -= existing.weight
	}
	if f.isBacklogged() {
		s.backloggedWeight += f.weight
	}
	// A member that becomes backlogged starts at the present, or where its debt ends.
	if f.isBacklogged() && !wasBacklogged {
		f.startTag = max(f.startTag, s.virtualTime)
	}
	if !f.isIdle() || f.startTag > s.virtualTime {
		s.flows = s.flows.with(f.rank(), &f)
	} else if ok {
		// Idle and without debt: a new member would be treated alike.
		s.flows = s.flows.without(f.key)
	}

	return s.withoutLeadingIdle()
}

// trimmed drops idle members that come before all who wait: their debt is over by the next pick.
//
// It keeps the memory to those who wait, run or owe, out of tens of thousands of workspaces.
func (s scheduler[B]) withoutLeadingIdle() scheduler[B] {
	for {
		f, _, ok := s.flows.lowest()
		if !ok || !f.isIdle() {
			return s
		}
		s.flows = s.flows.without(f.key)
	}
}

// first returns the backlogged member whose turn it is.
func (s scheduler[B]) nextFlow() *flow[B] {
	f, _, ok := s.flows.lowest()
	if !ok || !f.isBacklogged() {
		return nil
	}

	return f
}

// charge advances the virtual time to the member's turn and bills the estimated cost of its work.
func (s scheduler[B]) charge(f *flow[B], cost int64) scheduler[B] {
	s.virtualTime = max(s.virtualTime, f.startTag)
	f.startTag += cost / f.weight
	f.running++
	f.runningCost += cost

	return s
}

// settle replaces the estimate by what the work really took.
func (f *flow[B]) settle(took time.Duration) {
	if f.running == 0 {
		return
	}
	estimate := f.runningCost / f.running
	f.running--
	f.runningCost -= estimate
	f.startTag += (int64(took) - estimate) / f.weight
}
