package chutegate

import (
	"context"
	"errors"
	"sync"
	"time"

	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteshare"
)

const (
	// configPollWait and peersPollWait are how long one long poll for changes stays open. A
	// connection that goes silent is noticed pollTimeoutMargin later; until then the polling node
	// and its followers can't tell how old the table is.
	configPollWait = 700 * time.Millisecond
	peersPollWait  = 3 * time.Second
	// peersReadInterval is the minimum time between two reads of the list of nodes. When all nodes
	// restart in turn, the list changes many times a second. A node that calls one which is gone
	// finds out by the failed call.
	peersReadInterval = time.Second
	// nodesLoadTimeout is how long a starting node waits for the list of nodes before it reads the
	// other tables from the store. Another node has those tables already, and if a whole zone
	// starts at once the store would have to send them to each node.
	nodesLoadTimeout  = 500 * time.Millisecond
	pollTimeoutMargin = 500 * time.Millisecond
	// upstreamsReadInterval is the time between two reads of the upstreams' changes. Heartbeats
	// change their rows many times a second, so a long poll would return at once. A leaving
	// upstream has to be known within 2 s.
	upstreamsReadInterval = 800 * time.Millisecond
	// readTimeout bounds a read that is not a long poll. The store may take sixty times its usual 4
	// ms.
	readTimeout = 800 * time.Millisecond
	// readRetryPause is the pause after a read that the store has refused; it doubles with each further
	// failure up to maxReadRetryPause. All nodes retry at once while the store is unavailable, and each call
	// costs; after the store's return there are seconds left for a change to be in force.
	readRetryPause    = 250 * time.Millisecond
	maxReadRetryPause = 1500 * time.Millisecond
	// unansweredRetryInterval is the time from the start of a read that the store did not answer to the next
	// one, and unansweredRetryPause the least time between them. Such a read takes as long as an attempt to
	// connect, and what left while this node was cut off is known only after the first answer.
	unansweredRetryInterval = 600 * time.Millisecond
	unansweredRetryPause    = 100 * time.Millisecond
)

// maxCatchUp bounds the time for which a read collects pages of changes before it applies them: each
// application looks at the whole table, and a node that starts, or has the store back, may lack tens of
// pages.
const maxCatchUp = 500 * time.Millisecond

var (
	// errStaleAnswer reports an answer of the store that is older than this node's table.
	errStaleAnswer = errors.New("the store's answer is older than what is known")
	// errEarlierEra reports an answer that the store gave before it came back from a copy.
	errEarlierEra = errors.New("the answer is from before the store came back from a copy")
	// errLaterEra reports changes that can't be applied, since the store has come back from a copy.
	errLaterEra = errors.New("the store has come back from a copy")
)

// readResult is what a read of the store brought.
type readResult struct {
	// rowsChanged says that the table's rows may have changed.
	rowsChanged bool
	// behind says that the store has more changes, which the next read brings.
	behind bool
}

// readStore updates the table from the store once. pollWait is how long a poll for changes stays open,
// reason what the call is counted as.
func (n *Node) readStore(ctx context.Context, local *localTable, pollWait time.Duration, reason callReason) (readResult, error) {
	after, synced := local.readPosition()
	switch {
	case synced:
		return n.readChanges(ctx, local, after, pollWait, reason)
	case after.Version > 0:
		return n.readWhole(ctx, local, after, callGap)
	default:
		return n.readWhole(ctx, local, after, callStart)
	}
}

// placedAfter returns a page that was read after a position, or an error if its rows are not later ones.
// A page without an era is one of the position's era.
func placedAfter(after chutefeed.Position, page Page) (Page, error) {
	if page.Era == 0 {
		page.Era = after.Era
	}
	switch {
	case page.Era < after.Era:
		return page, errEarlierEra
	case page.Era == after.Era && page.Version < after.Version:
		return page, errStaleAnswer
	default:
		return page, nil
	}
}

// readWhole reads the whole table, which must not be older than a position.
func (n *Node) readWhole(ctx context.Context, local *localTable, after chutefeed.Position, reason callReason) (readResult, error) {
	n.storeCalls.add(reason)
	began := n.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := n.store.ReadAll(ctx, local.name)
	if err == nil {
		page, err = placedAfter(after, page)
	}
	if err != nil {
		return readResult{}, err
	}
	rowsChanged := local.replaceAll(page)
	local.setBehind(false)
	local.confirmAt(began)

	return readResult{rowsChanged: rowsChanged}, nil
}

// readChanges reads the changes after a position, or the whole table if the store no longer has them.
func (n *Node) readChanges(
	ctx context.Context, local *localTable, after chutefeed.Position, pollWait time.Duration, reason callReason,
) (readResult, error) {
	limit := readTimeout
	if pollWait > 0 {
		limit = pollWait + pollTimeoutMargin
	}
	began := n.Now()
	n.storeCalls.add(reason)
	page, err := n.awaitPage(ctx, local, after, pollWait, limit)
	if errors.Is(err, ErrCompacted) || errors.Is(err, errLaterEra) {
		n.log.Info().AnErr("Cause", err).Str("Table", local.name).Uint64("Era", after.Era).Uint64("After", after.Version).
			Msg("history is gone, reading everything")
		local.requireFullRead()

		return n.readWhole(ctx, local, after, callGap)
	}
	if err != nil {
		return readResult{}, err
	}
	askedAt := began
	for page.More && n.Now().Sub(began) < maxCatchUp {
		askedAt, pollWait = n.Now(), 0
		n.storeCalls.add(reason)
		next, err := n.awaitPage(ctx, local, chutefeed.Position{Era: page.Era, Version: page.Version}, 0, readTimeout)
		if err != nil {
			n.log.Info().Err(err).Str("Table", local.name).Msg("changes of the store are left; the next read goes on after those that were read")

			break
		}
		page = Page{Rows: append(page.Rows, next.Rows...), Era: next.Era, Version: next.Version, More: next.More}
	}
	rowsChanged := local.mergeChanges(page)
	local.setBehind(page.More)
	if !page.More {
		local.confirmAt(answeredAsOf(askedAt, n.Now(), pollWait, len(page.Rows)))
	}

	return readResult{rowsChanged: rowsChanged, behind: page.More}, nil
}

// awaitPage reads one page of the changes after a position, and takes an answer from before it, or of a
// later era, for an error.
func (n *Node) awaitPage(ctx context.Context, local *localTable, after chutefeed.Position, pollWait, limit time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	page, err := n.store.AwaitChanges(ctx, local.name, after.Version, pollWait)
	if err == nil {
		page, err = placedAfter(after, page)
	}
	if err == nil && page.Era > after.Era {
		err = errLaterEra
	}

	return page, err
}

// answeredAsOf returns the time as of which an answer to a poll shows the table, of a poll that was
// sent at began and answered at now with some rows.
//
// Without rows the store has waited for the whole poll, unless the answer came sooner. With rows it may have
// answered at once.
func answeredAsOf(began, now time.Time, pollWait time.Duration, rows int) time.Time {
	if rows > 0 || now.Sub(began) < pollWait {
		return began
	}

	return began.Add(pollWait)
}

// keepCurrent keeps one table up to date until the node stops, and calls onChange after each read
// that may have changed it. minInterval is the minimum time between two reads of the store,
// pollWait how long each of them stays open.
func (n *Node) keepCurrent(ctx context.Context, local *localTable, pollWait, minInterval time.Duration, onChange func()) {
	if local != n.localTables[n.settings.Tables.Peers] {
		n.awaitNodeList(ctx)
	}
	// refreshIfStale may find a change at the same time as followSource or a read does.
	onChange = serialized(onChange)
	n.spawn(func(ctx context.Context) { n.refreshIfStale(ctx, local, onChange) })
	var directReadUntil time.Time
	failedReads, lostInRow := 0, 0
	// storeAnswered is true if the last read was made of the store and succeeded.
	storeAnswered := false
	lastWait := time.Duration(0)
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
		age, _ := local.age(began)
		lastWait = nextPollWait(storeAnswered, lastWait, age, pollWait)
		behind, err := n.readStoreOrPeer(ctx, local, lastWait, reason, onChange)
		// What is left is read at once, by a poll that does not wait.
		storeAnswered = err == nil && !behind
		delay := minInterval - n.Now().Sub(began)
		if failedReads = failuresAfter(err, failedReads); failedReads > 0 {
			delay = retryDelay(err, failedReads, n.Now().Sub(began))
		}
		if delay > 0 && !behind && !n.sleepUntilReturn(ctx, delay, failedReads > 0) {
			return
		}
	}
}

// retryDelay returns the pause after a failed read, which took a time, with the number of failures in a row.
func retryDelay(err error, failures int, took time.Duration) time.Duration {
	if errors.Is(err, ErrStoreRefused) {
		return min(maxReadRetryPause, readRetryPause<<min(failures-1, 8))
	}

	return max(unansweredRetryPause, unansweredRetryInterval-took)
}

// sleepUntilReturn waits for d, and returns false if ctx ended first. After a failed read it also ends when the store
// answers a read of another table.
func (n *Node) sleepUntilReturn(ctx context.Context, d time.Duration, afterFailure bool) bool {
	if !afterFailure {
		return n.sleep(ctx, d)
	}
	returned := n.reach.returnedSignal()
	select {
	case <-ctx.Done():
		return false
	case <-returned:
	case <-n.clock.After(d):
	}

	return true
}

// failuresAfter returns the number of reads that have failed in a row, after one more with the error.
func failuresAfter(err error, failures int) int {
	if err == nil {
		return 0
	}

	return failures + 1
}

// serialized returns f such that its calls run one at a time.
func serialized(f func()) func() {
	var mu sync.Mutex

	return func() {
		mu.Lock()
		defer mu.Unlock()
		f()
	}
}

// awaitNodeList waits until the list of nodes is known, for nodesLoadTimeout at most.
func (n *Node) awaitNodeList(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-n.nodesLoaded:
	case <-n.clock.After(nodesLoadTimeout):
	}
}

// nextPollWait returns how long the next poll for changes stays open, with the age of the table now. storeAnswered is
// true if the store answered the previous one, which was to stay open for lastWait.
//
// The first poll after a failure, after following a source, or after changes returns at once: until then this node
// counts as out of date.
func nextPollWait(storeAnswered bool, lastWait, age, pollWait time.Duration) time.Duration {
	if !storeAnswered || lastWait > 0 && age >= minConfirmStep {
		return 0
	}

	return pollWait
}

// readStoreOrPeer reads the table from the store once, or from a peer if the store does not answer. It
// returns whether the store has more changes, and the error of the store.
func (n *Node) readStoreOrPeer(
	ctx context.Context, local *localTable, pollWait time.Duration, reason callReason, onChange func(),
) (behind bool, err error) {
	askedAt := n.Now()
	result, err := n.readStore(ctx, local, pollWait, reason)
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	rowsChanged := result.rowsChanged
	n.reach.record(askedAt, n.Now(), err == nil)
	if local.isLateFailure(err == nil, askedAt) {
		return result.behind, err
	}
	local.setCurrent(err == nil, n.Now())
	if !result.behind && local.recordStoreResult(err == nil, n.Now()) {
		n.log.Info().Str("Table", local.name).Bool("Reached", err == nil).AnErr("Cause", err).Msg("store")
	}
	if err != nil {
		rowsChanged = n.readFromPeers(ctx, local)
	}
	if local.needsReview(n.Now()) || rowsChanged {
		onChange()
	}

	return result.behind, err
}

// readFromPeers reads the table from another node because the store does not answer this one, and
// reports whether its rows may have changed.
func (n *Node) readFromPeers(ctx context.Context, local *localTable) bool {
	for _, peer := range n.samplePeers() {
		change, status, err := n.peers.ReadTable(ctx, peer.Address, local.name, local.snapshot())
		if err != nil {
			continue
		}
		if change.Version == 0 {
			n.confirmByPeer(local, status)

			continue
		}
		defer n.confirmByPeer(local, status)
		n.log.Info().Str("Table", local.name).Str("Peer", peer.Name).Uint64("Version", change.Version).Msg("read from a peer")

		return local.applyFromNode(peer.Name, change)
	}

	return false
}

// confirmByPeer records how current the table of a peer is that this node has received.
func (n *Node) confirmByPeer(local *localTable, status chuteshare.TableStatus) {
	status = local.statusInEra(status)
	if confirmedAt := n.ownTime(status.ConfirmedAt); !confirmedAt.IsZero() {
		local.confirmAt(confirmedAt)
	}
}

// peersPerFailedRead is the number of peers asked after a failed read. If half of the nodes are cut
// off from the store, three random peers are all among them once in eight reads.
const peersPerFailedRead = 3

// samplePeers returns up to peersPerFailedRead other nodes, chosen at random at each call.
func (n *Node) samplePeers() []chuterelay.Peer {
	peers, _ := n.randomPeers(peersPerFailedRead)

	return peers
}
