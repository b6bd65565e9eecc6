package chutegate

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// DefaultMaxDelay is the time within which a confirmed change has to be in force at every node
	// if the settings give none.
	DefaultMaxDelay = 2 * time.Second
	// minStaleAfter is the minimum age at which a table counts as stale. With a shorter one, a
	// table that is read every upstreamsReadInterval would be asked for in between its regular
	// reads.
	minStaleAfter = time.Second
	// unboundedStaleAfter is the age at which a table counts as stale if its changes have no time
	// bound. The long poll alone, of the node that reads the store, takes up to peersPollWait.
	unboundedStaleAfter = peersPollWait + 3*minStaleAfter/2
	// A node whose source is in its own zone waits longer by staleAfter/sameZoneDivisor, because
	// what the first node of a zone learns reaches the others at once. The reads of a zone's nodes
	// are spread over staleAfter/spreadDivisor.
	sameZoneDivisor, spreadDivisor = 5, 10
	// staleAfter/lostSourceDivisor is added to staleAfter to get the age at which a source counts
	// as having lost the store, if its table is still that old after the store has answered this
	// node.
	lostSourceDivisor = 2
	// inPlaceRetryPause is the pause after the first failed read in place of the source. It doubles up to
	// maxInPlaceRetryPause: a node counts as in touch 3 s after the store's return, of which a lost read takes
	// readTimeout.
	inPlaceRetryPause    = 1400 * time.Millisecond
	maxInPlaceRetryPause = 2 * time.Second
	// sharedFailureAge is how long a failed read of one table also counts as a failure for the
	// other tables.
	sharedFailureAge = 700 * time.Millisecond
	// followCheckInterval is how often a node without a source checks whether it has one now.
	followCheckInterval = 500 * time.Millisecond
)

// staleAfterFor returns the age at which a table has to be read so that a change is in force within
// the bound.
func staleAfterFor(bound time.Duration) time.Duration {
	return max(minStaleAfter, bound/2)
}

// readFailures is the number of reads in place of the source that have failed in a row, and when
// the last one failed.
type readFailures struct {
	count  int
	lastAt time.Time
}

// nextReadAt returns when the store is to be read next, for a table that was up to date at
// confirmedAt and is stale staleAfter later.
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

// withResult returns the failures after one more read, which ended at the given time.
func (failures readFailures) withResult(succeeded bool, at time.Time) readFailures {
	if succeeded {
		return readFailures{}
	}

	return readFailures{count: failures.count + 1, lastAt: at}
}

// refreshIfStale reads a table from the store in place of the source whenever the table has not
// been confirmed for too long. Each node measures that time itself, from the moment of the store's
// answer: otherwise the waits of nodes that learn from one another would add up.
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

// readInPlaceOfSource reads the store once because the table is stale, and returns the failures
// including this read. If the source is still out of date after the store has answered, the fault
// is on the source's path to the store, and another source is followed from then on.
func (n *Node) readInPlaceOfSource(ctx context.Context, local *localTable, failures readFailures, onChange func()) readFailures {
	if failedAt, failed := n.reach.failedAt(); failures.count > 0 && failed && n.Now().Sub(failedAt) < sharedFailureAge {
		local.recordStoreResult(false, n.Now())

		return failures.withResult(false, failedAt)
	}
	source, age, _ := local.sourceAge(n.Now())
	n.log.Info().Str("Table", local.name).Str("Peer", source.Name).Int64("TableAgeMs", age.Milliseconds()).
		Msg("the store is asked in place of the node that is followed")
	for behind := true; behind; {
		var err error
		if behind, err = n.readStoreOrPeer(ctx, local, 0, callInPlace, onChange); err != nil {
			return failures.withResult(false, n.Now())
		}
	}
	current, age, following := local.sourceAge(n.Now())
	if following && current.Name == source.Name && age >= local.staleAfter+local.staleAfter/lostSourceDivisor {
		n.lostSources.add(source.Name, n.Now())
		n.log.Info().Str("Table", local.name).Str("Peer", source.Name).Msg("the node that is followed has lost the store, others reach it")
	}

	return failures.withResult(true, n.Now())
}
