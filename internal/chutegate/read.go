package chutegate

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chuterelay"
)

const (
	// configWait and peersWait are how long one question for changes stays open. A
	// connection that went silent is noticed a margin later, and a change has to be
	// in force within 2 s of being in touch with the store again.
	configWait = 1500 * time.Millisecond
	peersWait  = 3 * time.Second
	waitMargin = 500 * time.Millisecond
	// followedWait is configWait for a node that others follow: their 2 s run while
	// it has not noticed yet that it is cut off.
	followedWait = 700 * time.Millisecond
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

// read brings the watch up to date once, and says whether its rows may have changed.
func (n *Node) read(ctx context.Context, w *watch, wait time.Duration) (bool, error) {
	after, synced := w.after()
	if !synced {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		page, err := n.store.All(ctx, w.table)
		if err != nil {
			return false, err
		}

		return w.replace(page), nil
	}
	limit := readTimeout
	if wait > 0 {
		limit = wait + waitMargin
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	page, err := n.store.Changes(ctx, w.table, after, wait)
	if errors.Is(err, ErrCompacted) {
		n.log.Info().Str("Table", w.table).Uint64("After", after).Msg("history is gone, reading everything")
		w.lost()

		return false, nil
	}
	if err != nil {
		return false, err
	}

	return w.merge(page), nil
}

// keep keeps one table up to date until the node stops, and calls changed after
// each read that may have changed it.
func (n *Node) keep(ctx context.Context, w *watch, wait func() time.Duration, every time.Duration, changed func()) {
	var direct time.Time
	var stale staleness
	failed, lost := 0, 0
	for ctx.Err() == nil {
		if n.Now().After(direct) {
			end := n.follow(ctx, w, &stale, changed)
			switch end {
			case followOther:
				lost = 0

				continue
			case followStale:
				n.readInPlace(ctx, w, &stale, changed)

				continue
			case followLost:
				if lost++; lost < lostInRow {
					continue
				}
				direct = n.Now().Add(directSpell)
			case followNobody:
			}
			lost = 0
		}
		began := n.Now()
		err := n.readOnce(ctx, w, waitAfter(failed, wait()), changed)
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

// waitAfter is how long a question for changes stays open after some that failed.
//
// The first one after a failure is to tell at once whether the store is back: until
// it is answered this node counts as out of date, and all who follow it would ask
// the store themselves.
func waitAfter(failed int, wait time.Duration) time.Duration {
	if failed > 0 {
		return 0
	}

	return wait
}

// readOnce reads the store once, or a peer if the store does not answer.
func (n *Node) readOnce(ctx context.Context, w *watch, wait time.Duration, changed func()) error {
	news, err := n.read(ctx, w, wait)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		now := n.Now()
		n.storeFailedAt.Store(&now)
	}
	if w.reached(err == nil, n.Now()) {
		n.log.Info().Str("Table", w.table).Bool("Reached", err == nil).AnErr("Cause", err).Msg("store")
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
	after, _ := w.after()
	for _, peer := range n.somePeers() {
		rows, version, ok, err := n.peers.Rows(ctx, peer.Address, w.table, after)
		if err != nil || !ok {
			continue
		}
		n.log.Info().Str("Table", w.table).Str("Peer", peer.Name).Uint64("Version", version).Msg("read from a peer")

		return w.replace(pageOf(rows, version))
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
