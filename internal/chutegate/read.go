package chutegate

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"azurechute.example/azurechute/internal/chuterelay"
)

const (
	// configWait and peersWait are how long one question for changes stays open. A
	// connection that went silent is noticed waitMargin later; until then the node that
	// asked, and those that follow it, can't tell how old the table is.
	configPollWait = 700 * time.Millisecond
	peersPollWait  = 3 * time.Second
	// peersEvery is the least time between two reads of the list of nodes. When all
	// nodes restart in turn it changes many times a second; whoever asks a node that is
	// gone finds out by asking.
	peersReadInterval = time.Second
	// nodesPatience is how long a node that starts waits for the list of nodes before
	// it reads the other tables from the store: another node has them already, and a
	// zone that starts at once would have the store send them to each.
	nodesLoadTimeout  = 500 * time.Millisecond
	pollTimeoutMargin = 500 * time.Millisecond
	// upstreamsEvery is how often the upstreams' changes are read: their heartbeats
	// change rows many times a second, so a question that waits would not wait. An
	// upstream that is leaving has to be known within 2 s.
	upstreamsReadInterval = 800 * time.Millisecond
	// readTimeout bounds a read that does not wait: the store may answer sixty times
	// slower than its usual 4 ms.
	readTimeout = 800 * time.Millisecond
	// retryPause is the pause after a failed read; it doubles with each further one
	// up to longestRetryPause. All nodes read at once while the store is away, and
	// each call counts; after its return a change has seconds to be in force.
	readRetryPause    = 250 * time.Millisecond
	maxReadRetryPause = 1500 * time.Millisecond
)

// errOld is the error of an answer that is older than what is known.
var errStaleAnswer = errors.New("the store's answer is older than what is known")

// read brings the watch up to date once, and says whether its rows may have changed.
func (n *Node) readStore(ctx context.Context, local *localTable, wait time.Duration, reason callReason) (bool, error) {
	after, synced := local.readPosition()
	if !synced {
		reason = callStart
		if after > 0 {
			reason = callGap
		}
	}
	n.storeCalls.add(reason)
	began := n.Now()
	if !synced {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		page, err := n.store.ReadAll(ctx, local.name)
		if err == nil && page.Version < after {
			err = errStaleAnswer
		}
		if err != nil {
			return false, err
		}
		rowsChanged := local.replaceAll(page)
		local.confirmAt(began)

		return rowsChanged, nil
	}
	limit := readTimeout
	if wait > 0 {
		limit = wait + pollTimeoutMargin
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	page, err := n.store.AwaitChanges(ctx, local.name, after, wait)
	if errors.Is(err, ErrCompacted) {
		n.log.Info().Str("Table", local.name).Uint64("After", after).Msg("history is gone, reading everything")
		local.requireFullRead()

		return false, nil
	}
	if err == nil && page.Version < after {
		err = errStaleAnswer
	}
	if err != nil {
		return false, err
	}
	rowsChanged := local.mergeChanges(page)
	// The store may have looked as early as the question was sent, or as its wait was over.
	local.confirmAt(began.Add(min(n.Now().Sub(began), wait)))

	return rowsChanged, nil
}

// keep keeps one table up to date until the node stops, and calls changed after
// each read that may have changed it.
func (n *Node) keepCurrent(ctx context.Context, local *localTable, wait, minInterval time.Duration, onChange func()) {
	if local != n.localTables[n.settings.Tables.Peers] {
		n.awaitNodeList(ctx)
	}
	var mu sync.Mutex
	notify := onChange
	onChange = func() {
		// A question beside the following may bring news at the same time as that.
		mu.Lock()
		defer mu.Unlock()
		notify()
	}
	n.spawn(func(ctx context.Context) { n.refreshIfStale(ctx, local, onChange) })
	var directReadUntil time.Time
	failedReads, lostInRow := 0, 0
	// told says that the last question was answered, and by the store.
	storeAnswered := false
	for ctx.Err() == nil {
		if n.Now().After(directReadUntil) {
			stopped := n.followSource(ctx, local, onChange)
			storeAnswered = storeAnswered && stopped == stopNoSource
			switch stopped {
			case stopSourceChanged:
				lostInRow = 0

				continue
			case stopSourceLost:
				if lostInRow++; lostInRow < maxLostInRow {
					continue
				}
				directReadUntil = n.Now().Add(directReadPeriod)
			case stopOtherZoneSourceLost:
				directReadUntil = n.Now().Add(crossZoneDirectReadPeriod)
			case stopNoSource:
			}
			lostInRow = 0
		}
		began := n.Now()
		reason := callRead
		if failedReads > 0 {
			reason = callRetry
		}
		err := n.readStoreOrPeer(ctx, local, nextPollWait(storeAnswered, wait), reason, onChange)
		storeAnswered = err == nil
		delay := minInterval - n.Now().Sub(began)
		if err == nil {
			failedReads = 0
		} else {
			delay = min(maxReadRetryPause, readRetryPause<<min(failedReads, 8))
			failedReads++
		}
		if delay > 0 && !n.sleep(ctx, delay) {
			return
		}
	}
}

// awaitNodes waits until the list of nodes is known, or its time is over.
func (n *Node) awaitNodeList(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-n.nodesLoaded:
	case <-n.clock.After(nodesLoadTimeout):
	}
}

// waitAfter is how long a question for changes stays open; told says that the store has
// answered the one before.
//
// The first one after a failure, and of a node that followed another until now, is to tell
// at once: until it is answered this node counts as out of date, and all who follow it
// would ask the store themselves.
func nextPollWait(storeAnswered bool, wait time.Duration) time.Duration {
	if !storeAnswered {
		return 0
	}

	return wait
}

// readOnce reads the store once, or a peer if the store does not answer.
func (n *Node) readStoreOrPeer(ctx context.Context, local *localTable, wait time.Duration, reason callReason, onChange func()) error {
	rowsChanged, err := n.readStore(ctx, local, wait, reason)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		now := n.Now()
		n.storeFailedAt.Store(&now)
	}
	local.setCurrent(err == nil)
	if local.recordStoreResult(err == nil, n.Now()) {
		n.log.Info().Str("Table", local.name).Bool("Reached", err == nil).AnErr("Cause", err).Msg("store")
	}
	if err != nil {
		rowsChanged = n.readFromPeers(ctx, local)
	}
	if local.needsReview(n.Now()) || rowsChanged {
		onChange()
	}

	return err
}

// askPeers reads the table from another node, because the store does not answer this one.
//
// The store can turn some nodes away while it serves the others, and revoked keys
// and leaving upstreams have to be known to all.
func (n *Node) readFromPeers(ctx context.Context, local *localTable) bool {
	for _, peer := range n.samplePeers() {
		change, status, err := n.peers.ReadTable(ctx, peer.Address, local.name, local.snapshot())
		if err != nil {
			continue
		}
		if change.Version == 0 {
			local.recordPeerStatus(status, n.Now())

			continue
		}
		defer local.recordPeerStatus(status, n.Now())
		n.log.Info().Str("Table", local.name).Str("Peer", peer.Name).Uint64("Version", change.Version).Msg("read from a peer")

		return local.applyFromNode(peer.Name, change)
	}

	return false
}

// askAtOnce is how many peers one failed read asks: with half of the nodes cut
// off, three miss the others once in eight reads.
const peersPerFailedRead = 3

// somePeers returns other nodes, others each time.
func (n *Node) samplePeers() []chuterelay.Peer {
	others := n.listedPeers()
	others = slices.DeleteFunc(others, func(p chuterelay.Peer) bool { return p.Name == n.settings.Self.Name })
	if len(others) <= peersPerFailedRead {
		return others
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] }) //nolint:gosec // spreads questions, no secret

	return others[:peersPerFailedRead]
}
