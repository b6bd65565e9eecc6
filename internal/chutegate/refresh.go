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
	minStaleAfter = time.Second
	// unboundStale is the same for tables whose changes have no such time: the reader's
	// question alone stays open for peersWait.
	unboundedStaleAfter = peersPollWait + 3*minStaleAfter/2
	// zonePart is the part of staleAfter by which a node waits longer if the one that it
	// follows is of its zone: what the first node of a zone learns reaches the others at
	// once. spreadPart is the part over which questions of a zone are spread.
	sameZoneDivisor, spreadDivisor = 5, 10
	// lostPart is the part of staleAfter by which the word of the node that is followed has
	// to be older when the store has answered, so that this one is taken to have lost it.
	lostSourceDivisor = 2
	// askAgain is the pause after the first question at the store that failed. It doubles
	// with each further one up to longestAskAgain: while the store is away from all nodes,
	// hundreds of them asking add nothing. After its return a node counts as in touch 3 s
	// later, and a question that was lost on the way takes readTimeout of these.
	inPlaceRetryPause    = 1400 * time.Millisecond
	maxInPlaceRetryPause = 2 * time.Second
	// failureTells is how long one table's question that failed tells for the others.
	sharedFailureAge = 700 * time.Millisecond
	// followCheck is how often a node that follows nobody looks whether it does by now.
	followCheckInterval = 500 * time.Millisecond
)

// staleAfter is when a table has to be asked for, so that a change is in force within a time.
func staleAfterFor(bound time.Duration) time.Duration {
	return max(minStaleAfter, bound/2)
}

// questions are the questions at the store that have failed in a row.
type readFailures struct {
	count  int
	lastAt time.Time
}

// due is when the store is to be asked for a table that was known to be up to date as of a
// time and counts as stale after another.
func (failures readFailures) nextReadAt(confirmedAt time.Time, staleAfter time.Duration) time.Time {
	due := confirmedAt.Add(staleAfter)
	if failures.count == 0 || confirmedAt.After(failures.lastAt) {
		return due
	}
	retryAt := failures.lastAt.Add(min(maxInPlaceRetryPause, inPlaceRetryPause<<min(failures.count-1, 8)))
	if retryAt.After(due) {
		return retryAt
	}

	return due
}

// with returns the questions after one more that ended at a time.
func (failures readFailures) withResult(succeeded bool, at time.Time) readFailures {
	if succeeded {
		return readFailures{}
	}

	return readFailures{count: failures.count + 1, lastAt: at}
}

// refresh asks the store for a table in place of the node that is followed, whenever the table
// was not known to be up to date for too long. The time is measured here, from the moment of
// the store's answer on: waits of nodes that find out one after the other would add up.
func (n *Node) refreshIfStale(ctx context.Context, local *localTable, onChange func()) {
	var failures readFailures
	spread := rand.Float64() //nolint:gosec // spreads questions, no secret
	for {
		source, _, following := local.sourceAge(n.Now())
		limit := local.staleAfter
		if source.Zone == n.settings.Self.Zone {
			limit += local.staleAfter/sameZoneDivisor + time.Duration(spread*float64(local.staleAfter/spreadDivisor))
		}
		left := failures.nextReadAt(local.lastConfirmed(), limit).Sub(n.Now())
		switch {
		case !following:
			left = followCheckInterval
		case left <= 0:
			failures = n.readInPlaceOfSource(ctx, local, failures, onChange)

			continue
		}
		if !n.sleep(ctx, left) {
			return
		}
	}
}

// askInPlace asks the store once because the table is stale, and returns the questions with this
// one. If the node that is followed is still out of date after the answer, the fault is on the way
// to it, and another one is followed from now on.
func (n *Node) readInPlaceOfSource(ctx context.Context, local *localTable, failures readFailures, onChange func()) readFailures {
	if failedAt := n.storeFailedAt.Load(); failures.count > 0 && failedAt != nil && n.Now().Sub(*failedAt) < sharedFailureAge {
		local.recordStoreResult(false, n.Now())

		return failures.withResult(false, *failedAt)
	}
	source, age, _ := local.sourceAge(n.Now())
	n.log.Info().Str("Table", local.name).Str("Peer", source.Name).Int64("TableAgeMs", age.Milliseconds()).
		Msg("the store is asked in place of the node that is followed")
	if n.readStoreOrPeer(ctx, local, 0, callInPlace, onChange) != nil {
		return failures.withResult(false, n.Now())
	}
	current, age, following := local.sourceAge(n.Now())
	if following && current.Name == source.Name && age >= local.staleAfter+local.staleAfter/lostSourceDivisor {
		n.lostSources.add(source.Name, n.Now())
		n.log.Info().Str("Table", local.name).Str("Peer", source.Name).Msg("the node that is followed has lost the store, others reach it")
	}

	return failures.withResult(true, n.Now())
}
