package chutegate

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// DefaultWithin is the time within which a confirmed change has to be in force at every
	// node, where the settings do not say.
	DefaultWithin = 2 * time.Second
	// shortestStale bounds how soon a table counts as stale: one that is read every
	// upstreamsEvery would otherwise be asked for beside each read.
	shortestStale = time.Second
	// unboundStale is the same for tables whose changes have no such time: the reader's
	// question alone stays open for peersWait.
	unboundStale = peersWait + 3*shortestStale/2
	// zonePart is the part of staleAfter by which a node waits longer if the one that it
	// follows is of its zone: what the first node of a zone learns reaches the others at
	// once. spreadPart is the part over which questions of a zone are spread.
	zonePart, spreadPart = 5, 10
	// lostPart is the part of staleAfter by which the word of the node that is followed has
	// to be older when the store has answered, so that this one is taken to have lost it.
	lostPart = 2
	// askAgain is the pause after the first question at the store that failed. It doubles
	// with each further one up to longestAskAgain: while the store is away from all nodes,
	// hundreds of them asking add nothing. After its return a node counts as in touch 3 s
	// later, and a question that was lost on the way takes readTimeout of these.
	askAgain        = 1400 * time.Millisecond
	longestAskAgain = 2 * time.Second
	// failureTells is how long one table's question that failed tells for the others.
	failureTells = 700 * time.Millisecond
	// followCheck is how often a node that follows nobody looks whether it does by now.
	followCheck = 500 * time.Millisecond
)

// staleAfter is when a table has to be asked for, so that a change is in force within a time.
func staleAfter(within time.Duration) time.Duration {
	return max(shortestStale, within/2)
}

// questions are the questions at the store that have failed in a row.
type questions struct {
	failed int
	lastAt time.Time
}

// due is when the store is to be asked for a table that was known to be up to date as of a
// time and counts as stale after another.
func (q questions) due(confirmedAt time.Time, staleAfter time.Duration) time.Time {
	due := confirmedAt.Add(staleAfter)
	if q.failed == 0 || confirmedAt.After(q.lastAt) {
		return due
	}
	again := q.lastAt.Add(min(longestAskAgain, askAgain<<min(q.failed-1, 8)))
	if again.After(due) {
		return again
	}

	return due
}

// with returns the questions after one more that ended at a time.
func (q questions) with(answered bool, at time.Time) questions {
	if answered {
		return questions{}
	}

	return questions{failed: q.failed + 1, lastAt: at}
}

// refresh asks the store for a table in place of the node that is followed, whenever the table
// was not known to be up to date for too long. The time is measured here, from the moment of
// the store's answer on: waits of nodes that find out one after the other would add up.
func (n *Node) refresh(ctx context.Context, w *watch, changed func()) {
	var asked questions
	spread := rand.Float64() //nolint:gosec // spreads questions, no secret
	for {
		source, _, following := w.sourceAge(n.Now())
		patience := w.staleAfter
		if source.Zone == n.settings.Self.Zone {
			patience += w.staleAfter/zonePart + time.Duration(spread*float64(w.staleAfter/spreadPart))
		}
		left := asked.due(w.confirmed(), patience).Sub(n.Now())
		switch {
		case !following:
			left = followCheck
		case left <= 0:
			asked = n.askInPlace(ctx, w, asked, changed)

			continue
		}
		if !n.pause(ctx, left) {
			return
		}
	}
}

// askInPlace asks the store once because the table is stale, and returns the questions with this
// one. If the node that is followed is still out of date after the answer, the fault is on the way
// to it, and another one is followed from now on.
func (n *Node) askInPlace(ctx context.Context, w *watch, asked questions, changed func()) questions {
	if failedAt := n.storeFailedAt.Load(); asked.failed > 0 && failedAt != nil && n.Now().Sub(*failedAt) < failureTells {
		w.reached(false, n.Now())

		return asked.with(false, *failedAt)
	}
	source, age, _ := w.sourceAge(n.Now())
	n.log.Info().Str("Table", w.name).Str("Peer", source.Name).Int64("TableAgeMs", age.Milliseconds()).
		Msg("the store is asked in place of the node that is followed")
	if n.readOnce(ctx, w, 0, callInPlace, changed) != nil {
		return asked.with(false, n.Now())
	}
	again, age, following := w.sourceAge(n.Now())
	if following && again.Name == source.Name && age >= w.staleAfter+w.staleAfter/lostPart {
		n.lost.add(source.Name, n.Now())
		n.log.Info().Str("Table", w.name).Str("Peer", source.Name).Msg("the node that is followed has lost the store, others reach it")
	}

	return asked.with(true, n.Now())
}
