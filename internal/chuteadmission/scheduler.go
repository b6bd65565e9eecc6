package chuteadmission

import "time"

// scheduler divides service among its flows by start-time fair queueing; immutable.
//
// The backlogged flow with the lowest virtual start tag goes first, and its tag advances by the cost of the call
// divided by its weight. So backlogged flows get service in proportion to their weights, and an idle one can't claim
// unused time.
type scheduler[B backlogged] struct {
	// virtualTime is the highest start tag picked so far.
	virtualTime int64
	flows       treap[*flow[B]]
	// backloggedWeight is the sum of the backlogged flows' weights.
	backloggedWeight int64
	lastSeq          uint64
}

// backlogged is implemented by the contents of a flow: a team's or a workspace's queue.
type backlogged interface {
	// backlog returns the number of waiters.
	backlog() int
}

// flow is one team of a pool, or one workspace of a team.
type flow[B backlogged] struct {
	key      treapKey
	seq      uint64
	weight   int64
	startTag int64
	// running and runningCost are the number and the estimated cost, in nanoseconds,
	// of the calls that are picked but not yet done.
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

// rank orders flows by start tag. Flows without waiters but with running calls come
// last, since they have nothing to pick.
func (f *flow[B]) rank() rank {
	if !f.isBacklogged() && f.running > 0 {
		return rank{nanos: maxNanos, seq: f.seq}
	}

	return rank{nanos: f.startTag, seq: f.seq}
}

// flowFor returns a copy of the flow with the key, or a new flow if there is none.
func (s scheduler[B]) flowFor(key treapKey, weight int) flow[B] {
	if existing, ok := s.flows.get(key); ok {
		return *existing
	}

	return flow[B]{key: key, weight: int64(max(weight, 1)), startTag: s.virtualTime}
}

// serviceShare returns the part of the service, 0 to 1, that the flow gets while it is backlogged.
func (s scheduler[B]) serviceShare(f *flow[B], weight int) float64 {
	own := int64(max(weight, 1))
	sum := s.backloggedWeight + own
	if f.isBacklogged() {
		sum -= f.weight
	}

	return float64(own) / float64(sum)
}

// withFlow returns the scheduler with the flow replaced by its changed copy.
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
	// A flow that becomes backlogged starts at the virtual time, or at its own tag if
	// that is later because it has used more than its share.
	if f.isBacklogged() && !wasBacklogged {
		f.startTag = max(f.startTag, s.virtualTime)
	}
	if !f.isIdle() || f.startTag > s.virtualTime {
		s.flows = s.flows.with(f.rank(), &f)
	} else if ok {
		// An idle flow with no excess use is equal to a new flow, so it needs no entry.
		s.flows = s.flows.without(f.key)
	}

	return s.withoutLeadingIdle()
}

// withoutLeadingIdle removes the idle flows that rank before all backlogged ones:
// the next pick advances the virtual time past their tags.
//
// So memory is used only for flows with waiters, with running calls or with excess
// use, out of tens of thousands of workspaces.
func (s scheduler[B]) withoutLeadingIdle() scheduler[B] {
	for {
		f, _, ok := s.flows.lowest()
		if !ok || !f.isIdle() {
			return s
		}
		s.flows = s.flows.without(f.key)
	}
}

// nextFlow returns the backlogged flow with the lowest start tag, or nil if none is backlogged.
func (s scheduler[B]) nextFlow() *flow[B] {
	f, _, ok := s.flows.lowest()
	if !ok || !f.isBacklogged() {
		return nil
	}

	return f
}

// charge advances the virtual time to the flow's start tag and charges the flow with
// the estimated cost of one call. It changes f in place.
func (s scheduler[B]) charge(f *flow[B], cost int64) scheduler[B] {
	s.virtualTime = max(s.virtualTime, f.startTag)
	f.startTag += cost / f.weight
	f.running++
	f.runningCost += cost

	return s
}

// settle replaces the estimated cost of one running call by the time it took.
func (f *flow[B]) settle(took time.Duration) {
	if f.running == 0 {
		return
	}
	estimate := f.runningCost / f.running
	f.running--
	f.runningCost -= estimate
	f.startTag += (int64(took) - estimate) / f.weight
}
