package chutegate

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"azurechute.example/azurechute/internal/chutefleet"
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
	// retryPause is the pause after a failed read.
	retryPause = 250 * time.Millisecond
	// settle is how long after the store's return missing upstreams are kept: live
	// ones are back in the list about two seconds after it.
	settle = 2200 * time.Millisecond
)

// watch is a table of the store as this node has read it.
type watch struct {
	table string

	mu      sync.Mutex
	rows    map[string]Row
	version uint64
	// synced says that rows is the whole table as of version.
	synced bool
	// away says that the last read failed.
	away bool
	// following says that the rows come from another node.
	following bool
	// changed is closed and replaced by each change that matters.
	changed chan struct{}
	// returnedAt is when the store answered again after it had been away.
	returnedAt time.Time
}

func newWatch(table string) *watch {
	return &watch{table: table, rows: map[string]Row{}, changed: make(chan struct{})}
}

// snapshot returns the rows, sorted by key, and the version as of which they are true.
func (w *watch) snapshot() ([]Row, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()

	keys := slices.Sorted(maps.Keys(w.rows))
	rows := make([]Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, w.rows[key])
	}

	return rows, w.version
}

// replace takes a whole table in; one that is older than what is known is left out.
//
// The store may answer with rows of some seconds ago. Taking them would bring
// back an upstream that is leaving, or a configuration that was replaced.
func (w *watch) replace(p Page) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	if p.Version < w.version {
		return false
	}
	w.rows = make(map[string]Row, len(p.Rows))
	for _, row := range p.Rows {
		w.rows[row.Key] = row
	}
	w.version = p.Version
	w.synced = true

	return true
}

// merge takes changes in and says whether there were any.
func (w *watch) merge(p Page) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	changed := false
	for _, row := range p.Rows {
		if row.Version <= w.rows[row.Key].Version {
			continue
		}
		changed = true
		if row.Deleted {
			delete(w.rows, row.Key)
		} else {
			w.rows[row.Key] = row
		}
	}
	w.version = max(w.version, p.Version)

	return changed
}

// after returns the version to read on from, and false if everything has to be read.
func (w *watch) after() (uint64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.version, w.synced
}

// lost makes the next read a whole one.
func (w *watch) lost() {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.synced = false
}

// reached notes whether the store answered, and says whether that is news.
func (w *watch) reached(ok bool, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	news := w.away == ok
	if ok && w.away {
		w.returnedAt = now
	}
	w.away = !ok

	return news
}

// announce tells followers of a change that matters.
func (w *watch) announce() {
	w.mu.Lock()
	defer w.mu.Unlock()

	close(w.changed)
	w.changed = make(chan struct{})
}

// followed returns what a follower gets; a node that follows another is not followed itself.
func (w *watch) followed() (rows []Row, version uint64, current bool, changed <-chan struct{}) {
	rows, version = w.snapshot()
	w.mu.Lock()
	defer w.mu.Unlock()

	return rows, version, w.synced && !w.away && !w.following, w.changed
}

// settling says whether rows that are missing may yet come back.
func (w *watch) settling(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.away || !w.returnedAt.IsZero() && now.Sub(w.returnedAt) < settle
}

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
	for ctx.Err() == nil {
		if n.Now().After(direct) && n.follow(ctx, w, changed) {
			// The node that was followed is silent or out of date: read the store
			// for a while.
			direct = n.Now().Add(directSpell)
		}
		began := n.Now()
		err := n.readOnce(ctx, w, wait(), changed)
		pause := every - n.Now().Sub(began)
		if err != nil {
			pause = retryPause
		}
		if pause > 0 && !n.pause(ctx, pause) {
			return
		}
	}
}

// readOnce reads the store once, or a peer if the store does not answer.
func (n *Node) readOnce(ctx context.Context, w *watch, wait time.Duration, changed func()) error {
	news, err := n.read(ctx, w, wait)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if w.reached(err == nil, n.Now()) {
		n.log.Info().Str("Table", w.table).Bool("Reached", err == nil).AnErr("Cause", err).Msg("store")
	}
	if err != nil {
		news = n.askPeers(ctx, w)
	}
	if news || w.settling(n.Now()) {
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

func noWait() time.Duration {
	return 0
}

// configWait is how long a question for a newer configuration stays open.
func (n *Node) configWait() time.Duration {
	if len(n.listedPeers()) > followAbove {
		return followedWait
	}

	return configWait
}

// watchConfig keeps the configuration up to date.
func (n *Node) watchConfig(ctx context.Context) {
	w := n.watches[n.settings.Tables.Config]
	n.keep(ctx, w, n.configWait, 0, func() { n.adopt(w) })
}

// adopt puts a newer configuration in force; one that can't be read leaves the old one there.
func (n *Node) adopt(w *watch) {
	w.mu.Lock()
	row, ok := w.rows[n.settings.Tables.ConfigKey]
	w.mu.Unlock()
	if !ok {
		return
	}
	cfg, err := n.decode.Config(row.Value)
	if err != nil {
		n.log.Error().Err(err).Str("Key", row.Key).Uint64("Version", row.Version).
			Msg("configuration can't be read; the old one stays in force")

		return
	}
	if old := n.config.Load(); old != nil && cfg.Version <= old.Version {
		return
	}
	cfg = cfg.WithIndex()
	n.config.Store(&cfg)
	n.send(chuterelay.ConfigAdopted{Config: cfg})
	w.announce()
	n.log.Info().Uint64("Version", cfg.Version).Int("Pipelines", len(cfg.Pipelines)).
		Int("Keys", len(cfg.Workspaces)).Msg("configuration in force")
}

// watchUpstreams keeps the list of upstreams up to date.
func (n *Node) watchUpstreams(ctx context.Context) {
	w := n.watches[n.settings.Tables.Upstreams]
	var last []chutefleet.Upstream
	lastHold := false
	n.keep(ctx, w, noWait, upstreamsEvery, func() {
		list, ok := n.upstreamsOf(w)
		hold := w.settling(n.Now())
		if !ok || slices.Equal(list, last) && hold == lastHold && n.listed.Load() {
			return
		}
		n.logMoves(last, list)
		last, lastHold = list, hold
		n.send(chuterelay.UpstreamsListed{Upstreams: list, Hold: hold})
		w.announce()
		n.listed.Store(true)
	})
}

// upstreamsOf decodes the list; false means that it was never read.
func (n *Node) upstreamsOf(w *watch) ([]chutefleet.Upstream, bool) {
	rows, version := w.snapshot()
	if version == 0 {
		return nil, false
	}
	list := make([]chutefleet.Upstream, 0, len(rows))
	for _, row := range rows {
		u, err := n.decode.Upstream(row.Key, row.Value)
		if err != nil {
			n.log.Error().Err(err).Str("Key", row.Key).Msg("an upstream's entry can't be read; it gets no calls")

			continue
		}
		list = append(list, u)
	}

	return list, true
}

// logMoves writes a line for each upstream that joined, is leaving or is gone.
func (n *Node) logMoves(before, after []chutefleet.Upstream) {
	was := map[string]chutefleet.Upstream{}
	for _, u := range before {
		was[u.ID] = u
	}
	for _, u := range after {
		old, known := was[u.ID]
		delete(was, u.ID)
		if known && old.State == u.State {
			continue
		}
		n.log.Info().Str("Upstream", u.ID).Str("Pool", u.Pool).Str("Peer", u.Address).
			Str("State", string(u.State)).Msg("upstream listed")
	}
	for id := range was {
		n.log.Info().Str("Upstream", id).Msg("upstream not listed any more")
	}
}

// watchPeers keeps the list of nodes up to date.
func (n *Node) watchPeers(ctx context.Context) {
	w := n.watches[n.settings.Tables.Peers]
	n.keep(ctx, w, func() time.Duration { return peersWait }, 0, func() {
		peers := n.decodePeers(w)
		n.nodes.Store(&peers)
		n.send(chuterelay.PeersListed{Peers: peers})
		w.announce()
	})
}

// listedPeers returns the nodes of the last list.
func (n *Node) listedPeers() []chuterelay.Peer {
	if peers := n.nodes.Load(); peers != nil {
		return slices.Clone(*peers)
	}

	return nil
}

// decodePeers decodes the list of nodes.
func (n *Node) decodePeers(w *watch) []chuterelay.Peer {
	rows, _ := w.snapshot()
	peers := make([]chuterelay.Peer, 0, len(rows))
	for _, row := range rows {
		var peer chuterelay.Peer
		if err := json.Unmarshal(row.Value, &peer); err != nil {
			n.log.Error().Err(err).Str("Key", row.Key).Msg("a node's row can't be read; it is left out")

			continue
		}
		peers = append(peers, peer)
	}

	return peers
}

// register writes the own row, by which other nodes find this one.
func (n *Node) register(ctx context.Context) {
	value, err := json.Marshal(n.settings.Self)
	if err != nil {
		n.log.Error().Err(err).Msg("the own row can't be written")

		return
	}
	for ctx.Err() == nil && !n.draining.Load() {
		write, cancel := context.WithTimeout(ctx, readTimeout)
		err := n.store.Put(write, n.settings.Tables.Peers, n.settings.Self.Name, value)
		cancel()
		if err == nil {
			return
		}
		n.log.Warn().Err(err).Msg("the own row is not written yet")
		if !n.pause(ctx, 2*retryPause) {
			return
		}
	}
}
