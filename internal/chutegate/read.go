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
	configWait = 700 * time.Millisecond
	peersWait  = 3 * time.Second
	// peersEvery is the least time between two reads of the list of nodes. When all
	// nodes restart in turn it changes many times a second; whoever asks a node that is
	// gone finds out by asking.
	peersEvery = time.Second
	// nodesPatience is how long a node that starts waits for the list of nodes before
	// it reads the other tables from the store: another node has them already, and a
	// zone that starts at once would have the store send them to each.
	nodesPatience = 500 * time.Millisecond
	waitMargin    = 500 * time.Millisecond
	// upstreamsEvery is how often the upstreams' changes are read: their heartbeats
	// change rows many times a second, so a question that waits would not wait. An
	// upstream that is leaving has to be known within 2 s.
	upstreamsEvery = 800 * time.Millisecond
	// readTimeout bounds a read that does not wait: the store may answer sixty times
	// slower than its usual 4 ms.
	readTimeout = 800 * time.Millisecond
	// retryPause is the pause after a failed read; it doubles with each further one
	// up to longestRetryPause. All nodes read at once while the store is away, and
	// each call counts; after its return a change has seconds to be in force.
	retryPause        = 250 * time.Millisecond
	longestRetryPause = 1500 * time.Millisecond
)

// errOld is the error of an answer that is older than what is known.
var errOld = errors.New("the store's answer is older than what is known")

// read brings the watch up to date once, and says whether its rows may have changed.
func (n *Node) read(ctx context.Context, w *watch, wait time.Duration, why callReason) (bool, error) {
	after, synced := w.after()
	if !synced {
		why = callStart
		if after > 0 {
			why = callGap
		}
	}
	n.storeCalls.add(why)
	began := n.Now()
	if !synced {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		page, err := n.store.All(ctx, w.name)
		if err == nil && page.Version < after {
			err = errOld
		}
		if err != nil {
			return false, err
		}
		news := w.replace(page)
		w.confirm(began)

		return news, nil
	}
	limit := readTimeout
	if wait > 0 {
		limit = wait + waitMargin
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	page, err := n.store.Changes(ctx, w.name, after, wait)
	if errors.Is(err, ErrCompacted) {
		n.log.Info().Str("Table", w.name).Uint64("After", after).Msg("history is gone, reading everything")
		w.lost()

		return false, nil
	}
	if err == nil && page.Version < after {
		err = errOld
	}
	if err != nil {
		return false, err
	}
	news := w.merge(page)
	// The store may have looked as early as the question was sent, or as its wait was over.
	w.confirm(began.Add(min(n.Now().Sub(began), wait)))

	return news, nil
}

// keep keeps one table up to date until the node stops, and calls changed after
// each read that may have changed it.
func (n *Node) keep(ctx context.Context, w *watch, wait, every time.Duration, changed func()) {
	if w != n.watches[n.settings.Tables.Peers] {
		n.awaitNodes(ctx)
	}
	var mu sync.Mutex
	look := changed
	changed = func() {
		// A question beside the following may bring news at the same time as that.
		mu.Lock()
		defer mu.Unlock()
		look()
	}
	n.spawn(func(ctx context.Context) { n.refresh(ctx, w, changed) })
	var direct time.Time
	failed, lost := 0, 0
	// told says that the last question was answered, and by the store.
	told := false
	for ctx.Err() == nil {
		if n.Now().After(direct) {
			end := n.follow(ctx, w, changed)
			told = told && end == followNobody
			switch end {
			case followOther:
				lost = 0

				continue
			case followLost:
				if lost++; lost < lostInRow {
					continue
				}
				direct = n.Now().Add(directSpell)
			case followCutOff:
				direct = n.Now().Add(cutOffSpell)
			case followNobody:
			}
			lost = 0
		}
		began := n.Now()
		why := callRead
		if failed > 0 {
			why = callRetry
		}
		err := n.readOnce(ctx, w, waitAfter(told, wait), why, changed)
		told = err == nil
		pause := every - n.Now().Sub(began)
		if err == nil {
			failed = 0
		} else {
			pause = min(longestRetryPause, retryPause<<min(failed, 8))
			failed++
		}
		if pause > 0 && !n.pause(ctx, pause) {
			return
		}
	}
}

// awaitNodes waits until the list of nodes is known, or its time is over.
func (n *Node) awaitNodes(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-n.nodesKnown:
	case <-n.clock.After(nodesPatience):
	}
}

// waitAfter is how long a question for changes stays open; told says that the store has
// answered the one before.
//
// The first one after a failure, and of a node that followed another until now, is to tell
// at once: until it is answered this node counts as out of date, and all who follow it
// would ask the store themselves.
func waitAfter(told bool, wait time.Duration) time.Duration {
	if !told {
		return 0
	}

	return wait
}

// readOnce reads the store once, or a peer if the store does not answer.
func (n *Node) readOnce(ctx context.Context, w *watch, wait time.Duration, why callReason, changed func()) error {
	news, err := n.read(ctx, w, wait, why)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		now := n.Now()
		n.storeFailedAt.Store(&now)
	}
	w.setCurrent(err == nil)
	if w.reached(err == nil, n.Now()) {
		n.log.Info().Str("Table", w.name).Bool("Reached", err == nil).AnErr("Cause", err).Msg("store")
	}
	if err != nil {
		news = n.askPeers(ctx, w)
	}
	if w.unsettled(n.Now()) || news {
		changed()
	}

	return err
}

// askPeers reads the table from another node, because the store does not answer this one.
//
// The store can turn some nodes away while it serves the others, and revoked keys
// and leaving upstreams have to be known to all.
func (n *Node) askPeers(ctx context.Context, w *watch) bool {
	for _, peer := range n.somePeers() {
		change, word, err := n.peers.ReadTable(ctx, peer.Address, w.name, w.snapshot())
		if err != nil {
			continue
		}
		if change.Version == 0 {
			w.hearSay(word, n.Now())

			continue
		}
		defer w.hearSay(word, n.Now())
		n.log.Info().Str("Table", w.name).Str("Peer", peer.Name).Uint64("Version", change.Version).Msg("read from a peer")

		return w.takeFrom(peer.Name, change)
	}

	return false
}

// askAtOnce is how many peers one failed read asks: with half of the nodes cut
// off, three miss the others once in eight reads.
const askAtOnce = 3

// somePeers returns other nodes, others each time.
func (n *Node) somePeers() []chuterelay.Peer {
	others := n.listedPeers()
	others = slices.DeleteFunc(others, func(p chuterelay.Peer) bool { return p.Name == n.settings.Self.Name })
	if len(others) <= askAtOnce {
		return others
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] }) //nolint:gosec // spreads questions, no secret

	return others[:askAtOnce]
}
