package chutegate

import (
	"context"
	"time"

	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chuterelay"
)

const (
	// stalePatience is how long the first node of a zone waits for the one that it
	// follows, when that has lost the store, before it asks the store itself. It doubles
	// with each question that fails up to longestStale: while the store is away from all
	// nodes, hundreds of them asking add nothing, and after its return a change has
	// seconds to be in force.
	stalePatience = 700 * time.Millisecond
	longestStale  = 3 * time.Second
	// zonePatience is the same for all others: their zone's first node has asked by then,
	// and what it learns reaches them as soon as it would in an answer of their own.
	zonePatience = 2 * stalePatience
	// directSpell is how long a node reads the store itself after the ones that it
	// followed were lost, and cutOffSpell the same for the first node of a zone that has
	// lost another zone's: the zone may be cut off, which lasts seconds, and each try to
	// follow again leaves it out of date for another second.
	directSpell = 3 * time.Second
	cutOffSpell = 8 * time.Second
	// lostInRow is the number of nodes of its zone that a node loses one after the other
	// before it takes the fault to be its own and reads the store itself: one more
	// costs it up to half a second.
	lostInRow = 2
)

// followEnd says why a node stopped following another.
type followEnd string

const (
	// followNobody: this node reads the store, there is nobody to follow.
	followNobody followEnd = "Nobody"
	// followCutOff: the node of another zone that was followed is gone or silent.
	followCutOff followEnd = "CutOff"
	// followOther: another node is to be followed by now.
	followOther followEnd = "Other"
	// followLost: the node that was followed is gone or silent.
	followLost followEnd = "Lost"
)

// staleness is how long the node that is followed has been out of date, and how
// often the store did not answer this node either.
type staleness struct {
	since time.Time
	tries int
	// patience is the wait before the first question; stalePatience if it is 0.
	patience time.Duration
}

// with takes in one word of the node that is followed.
func (s staleness) with(current bool, now time.Time) staleness {
	if current {
		return staleness{patience: s.patience}
	}
	if s.since.IsZero() {
		s.since = now
	}

	return s
}

// due says whether this node is to ask the store itself.
func (s staleness) due(now time.Time) bool {
	patience := min(longestStale, max(s.patience, stalePatience)<<min(s.tries, 8))

	return !s.since.IsZero() && now.Sub(s.since) >= patience
}

// failed counts a question that the store did not answer and starts the wait anew.
func (s staleness) failed(now time.Time) staleness {
	return staleness{since: now, tries: s.tries + 1, patience: s.patience}
}

// follow takes a table from the node's source until that fails.
//
// While the source is out of date this node asks the store itself, and goes on following:
// another node may reach the store and tell the source. One that stopped to ask, and whose
// question met a silent store, had keys that were revoked in force for a second longer, and
// so had all that follow it.
func (n *Node) follow(ctx context.Context, w *watch, stale *staleness, changed func()) followEnd {
	source, ok := n.source()
	if !ok {
		return followNobody
	}
	stale.patience = stalePatience
	if source.Zone == n.settings.Self.Zone {
		stale.patience = zonePatience
	}
	take := func(c chutefeed.Change) {
		if w.takeFrom(source.Name, c) {
			changed()
		}
	}
	asking := newQuestion()
	more := func(current bool) bool {
		now := n.Now()
		if current {
			w.reached(true, now)
		}
		if w.setCurrent(current, now) && !current {
			n.log.Info().Str("Table", w.name).Str("Peer", source.Name).Msg("the node that is followed is out of date")
		}
		if w.unsettled(now) {
			changed()
		}
		*stale = stale.with(current, now)
		if asking.ended() {
			*stale = n.afterQuestion(w, *stale, asking.answered, current, source)
		} else if stale.due(now) && !asking.underWay {
			n.log.Info().Str("Table", w.name).Str("Peer", source.Name).Dur("WaitMs", now.Sub(stale.since)).
				Msg("the store is asked in place of the node that is followed")
			asking.start(n, func(ctx context.Context) bool { return n.readInPlace(ctx, w, changed) })
		}
		chosen, ok := n.source()

		return ok && chosen.Name == source.Name
	}
	err := n.peers.FollowTable(ctx, source.Address, w.name, w.snapshot(), w.signs, take, more)
	if err == nil || ctx.Err() != nil {
		return followOther
	}
	w.setCurrent(false, n.Now())
	n.lost.add(source.Name, n.Now())
	n.log.Info().Str("Table", w.name).Str("Peer", source.Name).AnErr("Cause", err).Msg("the node that was followed is lost")
	if source.Zone != n.settings.Self.Zone {
		return followCutOff
	}

	return followLost
}

// question is one question at the store beside the following; one goroutine uses it.
type question struct {
	underWay bool
	answered bool
	answers  chan bool
}

func newQuestion() *question {
	return &question{answers: make(chan bool, 1)}
}

// start asks, beside the caller.
func (q *question) start(n *Node, ask func(ctx context.Context) bool) {
	q.underWay = true
	n.spawn(func(ctx context.Context) { q.answers <- ask(ctx) })
}

// ended says whether a question has ended since it was last looked.
func (q *question) ended() bool {
	select {
	case q.answered = <-q.answers:
		q.underWay = false

		return true
	default:
		return false
	}
}

// afterQuestion says how stale the source counts after a question at the store. If the
// store answered and the source is still out of date, the fault is on the way to the source,
// and another one is followed from now on.
func (n *Node) afterQuestion(w *watch, stale staleness, answered, current bool, source chuterelay.Peer) staleness {
	switch {
	case !answered && !current:
		return stale.failed(n.Now())
	case answered && !current:
		n.lost.add(source.Name, n.Now())
		n.log.Info().Str("Table", w.name).Str("Peer", source.Name).Msg("the node that is followed has lost the store, others reach it")
	}

	return staleness{patience: stale.patience}
}

// readInPlace asks the store because the node that is followed has lost it, and says
// whether it answered.
func (n *Node) readInPlace(ctx context.Context, w *watch, changed func()) bool {
	if n.storeFailing() {
		// One table's question tells for all of them.
		w.reached(false, n.Now())

		return false
	}

	return n.readOnce(ctx, w, 0, callInPlace, changed) == nil
}

// storeFailing says whether the store has just failed this node.
func (n *Node) storeFailing() bool {
	at := n.storeFailedAt.Load()

	return at != nil && n.Now().Sub(*at) < stalePatience
}
