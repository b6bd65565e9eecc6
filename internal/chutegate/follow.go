package chutegate

import (
	"context"
	"time"

	"azurechute.example/azurechute/internal/chuteshare"
)

const (
	// stalePatience is how long a follower waits for a node that has lost the store
	// before it asks the store itself. It doubles with each question that fails up
	// to longestStale: while the store is away from all nodes, hundreds of them
	// asking add nothing, and after its return a change has seconds to be in force.
	stalePatience = 700 * time.Millisecond
	longestStale  = 3 * time.Second
	// directSpell is how long a node reads the store itself after the ones that it
	// followed were lost.
	directSpell = 3 * time.Second
	// lostInRow is the number of readers that a node loses one after the other
	// before it takes the fault to be its own and reads the store itself: one more
	// costs it up to half a second.
	lostInRow = 2
)

// followEnd says why a node stopped following another.
type followEnd string

const (
	// followNobody: this node reads the store, there is nobody to follow.
	followNobody followEnd = "Nobody"
	// followOther: another node is to be followed by now.
	followOther followEnd = "Other"
	// followLost: the node that was followed is gone or silent.
	followLost followEnd = "Lost"
	// followStale: it lives and has lost the store for longer than is to be waited.
	followStale followEnd = "Stale"
)

// staleness is how long the node that is followed has been out of date, and how
// often the store did not answer this node either.
type staleness struct {
	since time.Time
	tries int
}

// with takes in one word of the node that is followed.
func (s staleness) with(current bool, now time.Time) staleness {
	if current {
		return staleness{}
	}
	if s.since.IsZero() {
		s.since = now
	}

	return s
}

// due says whether this node is to ask the store itself.
func (s staleness) due(now time.Time) bool {
	patience := min(longestStale, stalePatience<<min(s.tries, 8))

	return !s.since.IsZero() && now.Sub(s.since) >= patience
}

// failed counts a question that the store did not answer and starts the wait anew.
func (s staleness) failed(now time.Time) staleness {
	return staleness{since: now, tries: s.tries + 1}
}

// follow takes a table from the zone's reader until that fails.
func (n *Node) follow(ctx context.Context, w *watch, stale *staleness, changed func()) followEnd {
	if _, synced := w.after(); !synced {
		return followNobody
	}
	reader, ok := n.reader()
	if !ok {
		return followNobody
	}
	w.setFollowing(true)
	defer w.setFollowing(false)
	take := func(rows []chuteshare.Row, version uint64) {
		if w.replace(pageOf(rows, version)) {
			changed()
		}
	}
	end := followOther
	more := func(current bool) bool {
		now := n.Now()
		if current {
			w.reached(true, now)
		}
		if w.unsettled(now) {
			changed()
		}
		*stale = stale.with(current, now)
		if stale.due(now) {
			end = followStale

			return false
		}
		chosen, ok := n.reader()

		return ok && chosen.Name == reader.Name
	}
	err := n.peers.Follow(ctx, reader.Address, w.table, take, more)
	if err == nil || ctx.Err() != nil {
		return end
	}
	n.lost.add(reader.Name, n.Now())
	n.log.Info().Str("Table", w.table).Str("Peer", reader.Name).AnErr("Cause", err).Msg("the zone's reader is lost")

	return followLost
}

// readInPlace asks the store because the node that is followed has lost it. If the
// store answers, the fault is the reader's, and another one is followed from now on.
func (n *Node) readInPlace(ctx context.Context, w *watch, stale *staleness, changed func()) {
	reader, ok := n.reader()
	if n.storeFailing() {
		// One table's question tells for all of them.
		w.reached(false, n.Now())
		*stale = stale.failed(n.Now())

		return
	}
	if err := n.readOnce(ctx, w, 0, changed); err != nil {
		*stale = stale.failed(n.Now())

		return
	}
	*stale = staleness{}
	if ok {
		n.lost.add(reader.Name, n.Now())
		n.log.Info().Str("Table", w.table).Str("Peer", reader.Name).Msg("the zone's reader has lost the store, others reach it")
	}
}

// storeFailing says whether the store has just failed this node.
func (n *Node) storeFailing() bool {
	at := n.storeFailedAt.Load()

	return at != nil && n.Now().Sub(*at) < stalePatience
}
