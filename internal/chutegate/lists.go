package chutegate

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chutestream"
)

// watchConfig keeps the configuration and the evacuated zones up to date, which are rows of one
// table.
func (n *Node) watchConfig(ctx context.Context) {
	local := n.localTables[n.settings.Tables.Config]
	updates := &configUpdates{node: n, local: local, orders: &rolloutOrders{node: n}}
	n.keepCurrent(ctx, local, configPollWait, 0, updates.apply)
}

// configUpdates puts the rows of the configuration's table in force. It is used by one goroutine at a time.
type configUpdates struct {
	node   *Node
	local  *localTable
	orders *rolloutOrders
	// zones are the evacuated zones as last sent to the event loop.
	zones []string
}

// apply puts the present rows in force: evacuations first, so that a node that starts sends nothing to an
// evacuated zone.
//
// All rows are of one state of the table. Another goroutine may change the table meanwhile; a configuration
// from a later state would make the node ready before the evacuations of that state are applied.
func (u *configUpdates) apply() {
	n := u.node
	table, effective := u.local.snapshotWithRetained()
	if zones := n.evacuatedZones(effective); !slices.Equal(zones, u.zones) {
		u.zones = zones
		n.evacuatedZoneCount.Store(int64(len(zones)))
		n.sendEvent(chuterelay.ZonesEvacuated{Zones: zones})
	}
	if n.settings.Rollouts.Enabled() {
		u.orders.update(effective)
	}
	n.adoptConfig(u.local, table)
}

// evacuatedZones returns the zones that the table lists as evacuated, sorted. A row counts whatever
// its value is, so an unreadable evacuation is obeyed too.
func (n *Node) evacuatedZones(table chutefeed.Table) []string {
	var zones []string
	for _, row := range table.Rows() {
		if zone, ok := n.decode.EvacuatedZone(row.Key); ok {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)

	return zones
}

// adoptConfig puts a newer configuration in force, from a state of the local table. If it can't be
// decoded, the previous one stays in force.
func (n *Node) adoptConfig(local *localTable, table chutefeed.Table) {
	row, ok := table.Get(n.settings.Tables.ConfigKey)
	if !ok {
		return
	}
	position := chutefeed.Position{Era: table.Era(), Version: row.Version}
	defer n.adoptedRow.Store(&position)
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
	n.sendEvent(chuterelay.ConfigAdopted{Config: cfg})
	n.signalIfRequiredLoaded()
	if unknown := cfg.UnknownRegions(slices.Collect(maps.Values(n.settings.ZoneRegions))); len(unknown) > 0 {
		n.log.Warn().Uint64("Version", cfg.Version).Strs("Regions", unknown).
			Msg("the configuration allows regions that no zone lies in; what may run nowhere else is refused")
	}
	age, _ := local.age(n.Now())
	n.log.Info().Uint64("Version", cfg.Version).Int("Pipelines", len(cfg.Pipelines)).Int("Keys", len(cfg.Workspaces)).Int("Bytes", len(row.Value)).
		Str("From", local.lastChangeFrom()).Int64("ConfigAgeMs", age.Milliseconds()).Msg("configuration in force")
}

// hasUnadoptedConfig reports whether the table has a configuration that adoptConfig has not decided
// on yet.
func (n *Node) hasUnadoptedConfig() bool {
	table := n.localTables[n.settings.Tables.Config].snapshot()
	row, ok := table.Get(n.settings.Tables.ConfigKey)
	adopted := n.adoptedRow.Load()

	return ok && (adopted == nil || *adopted != chutefeed.Position{Era: table.Era(), Version: row.Version})
}

// watchUpstreams keeps the list of upstreams up to date.
func (n *Node) watchUpstreams(ctx context.Context) {
	local := n.localTables[n.settings.Tables.Upstreams]
	list := &upstreamList{node: n, local: local, decoded: map[string]decodedEntry{}, heldUntil: map[string]time.Time{}, guard: newVersionGuard()}
	update := serialized(list.update)
	list.updateAgain = update
	list.guard.check = func() { update() }
	n.spawn(func(ctx context.Context) { n.dropUnsettled(ctx, local, update) })
	n.keepCurrent(ctx, local, 0, upstreamsReadInterval, update)
}

// upstreamList decodes the list of upstreams and tells the event loop what changes in it. It is used by
// one goroutine at a time.
type upstreamList struct {
	node  *Node
	local *localTable
	// previous is the table as of the last update, decoded the entries by key, lastHold whether missing
	// upstreams were kept.
	previous chutefeed.Table
	decoded  map[string]decodedEntry
	lastHold bool
	guard    *versionGuard
	departed departedUpstreams
	// heldUntil holds the keys of entries that are left out, since their upstreams may have left, with the
	// times until which they are.
	heldUntil map[string]time.Time
	// updateAgain calls update, not beside another call of it.
	updateAgain func()
}

// decodedEntry is an upstream's entry as last decoded, with the bytes it was decoded from.
type decodedEntry struct {
	value    []byte
	upstream chutefleet.Upstream
}

// update sends what has changed since the last update to the event loop.
func (l *upstreamList) update() {
	n := l.node
	table, keys, known := l.local.takeChangedKeys()
	if table.Version() == 0 {
		return
	}
	rows, gone := changedRows(table, keys)
	if !known || l.previous.Version() == 0 {
		change := table.ChangeSince(l.previous)
		rows, gone = change.Rows, change.DeletedKeys
	}
	if l.previous.Version() > 0 && l.previous.Era() < table.Era() {
		l.departed.heldUntil = n.Now().Add(restoredEntryPeriod(n.settings.UpstreamHeartbeat))
	}
	l.previous = table
	rows = append(rows, l.releasedRows(table)...)
	hold := l.local.isSettling(n.Now())
	change, before := l.decode(rows, gone, hold)
	if n.settings.Rollouts.Enabled() {
		change.Entries = l.guard.apply(change, n.localTables[n.settings.Tables.Config].lastConfirmed(), n.Now())
		l.guard.checkAgain(n.clock)
	}
	if len(change.Entries)+len(change.Gone) == 0 && hold == l.lastHold && n.upstreamsLoaded.Load() {
		return
	}
	n.sendEvent(chuterelay.UpstreamsChanged{ListChange: change, Hold: hold})
	n.logUpstreamChanges(before, change.Entries, len(l.decoded))
	l.lastHold = hold
	n.upstreamsLoaded.Store(true)
	n.signalIfRequiredLoaded()
}

// changedRows returns the rows of a table with the given keys, and the keys of those that it does not have.
func changedRows(table chutefeed.Table, keys map[string]struct{}) (rows []chutefeed.Row, gone []string) {
	for key := range keys {
		if row, ok := table.Get(key); ok {
			rows = append(rows, row)
		} else {
			gone = append(gone, key)
		}
	}
	slices.SortFunc(rows, func(a, b chutefeed.Row) int { return cmp.Compare(a.Key, b.Key) })
	slices.Sort(gone)

	return rows, gone
}

// decode decodes rows that may have changed. It returns what has changed in the list, and the upstreams
// that were listed under the same names before.
//
// An unreadable entry is logged only when it becomes unreadable.
func (l *upstreamList) decode(rows []chutefeed.Row, gone []string, hold bool) (change chutefleet.ListChange, before []chutefleet.Upstream) {
	for _, row := range rows {
		old, known := l.decoded[row.Key]
		if known && bytes.Equal(old.value, row.Value) {
			continue
		}
		entry, listed := l.withoutDeparted(row.Key, l.node.decodeEntry(row, old.upstream.State))
		if !listed {
			continue
		}
		l.decoded[row.Key] = entry
		if known && entry.upstream == old.upstream {
			continue
		}
		if known {
			before = append(before, old.upstream)
		}
		change.Entries = append(change.Entries, entry.upstream)
	}
	for _, key := range gone {
		delete(l.heldUntil, key)
		if old, known := l.decoded[key]; known {
			before = append(before, old.upstream)
			change.Gone = append(change.Gone, key)
			delete(l.decoded, key)
			if !hold {
				l.departed.record(old.upstream, l.previous.Era(), l.node.Now())
			}
		}
	}

	return change, before
}

// withoutDeparted returns an entry as departedUpstreams has it, and false if it is to be left out. It
// remembers upstreams that say that they leave.
func (l *upstreamList) withoutDeparted(key string, entry decodedEntry) (decodedEntry, bool) {
	now, era := l.node.Now(), l.previous.Era()
	delete(l.heldUntil, key)
	if entry.upstream.State == chutefleet.StateLeaving {
		l.departed.record(entry.upstream, era, now)

		return entry, true
	}
	upstream, until := l.departed.apply(entry.upstream, era, now)
	if upstream.State != entry.upstream.State || !until.IsZero() {
		l.node.log.Warn().Str("Upstream", upstream.ID).Uint64("Era", era).Msg("the entry of an upstream that has left came back with the store")
	}
	if !until.IsZero() {
		l.heldUntil[key] = until
		l.node.clock.AfterFunc(until.Sub(now), l.updateAgain)
	}
	entry.upstream = upstream

	return entry, until.IsZero()
}

// releasedRows returns the rows of a table whose entries need not be left out any more.
func (l *upstreamList) releasedRows(table chutefeed.Table) []chutefeed.Row {
	var rows []chutefeed.Row
	for _, key := range slices.Sorted(maps.Keys(l.heldUntil)) {
		if row, listed := table.Get(key); listed && !l.node.Now().Before(l.heldUntil[key]) {
			rows = append(rows, row)
		}
	}

	return rows
}

// decodeEntry decodes an upstream's entry; previous is the state that it had when it was last
// decoded.
func (n *Node) decodeEntry(row chutefeed.Row, previous chutefleet.State) decodedEntry {
	u, err := n.decode.Upstream(row.Key, row.Value)
	if err != nil {
		u = chutefleet.Upstream{Name: row.Key, State: chutefleet.StateUnreadable}
		if previous != chutefleet.StateUnreadable {
			n.unreadableEntries.Add(1)
			n.log.Error().Err(err).Str("Key", row.Key).Msg("an upstream's entry can't be read; it gets no calls")
		}
	}

	return decodedEntry{value: row.Value, upstream: u}
}

// watchPeers keeps the list of nodes up to date.
func (n *Node) watchPeers(ctx context.Context) {
	local := n.localTables[n.settings.Tables.Peers]
	departed := departedPeers{node: n, rows: map[string]departedRow{}}
	n.keepCurrent(ctx, local, peersPollWait, peersReadInterval, func() {
		peers := n.decodePeers(departed.without(local.effective()))
		n.nodes.Store(&peers)
		n.nodesLoadedOnce.Do(func() { close(n.nodesLoaded) })
		n.sendEvent(chuterelay.PeersListed{Peers: peers})
		n.reduceStreams(chutestream.NodesListed{Nodes: streamNodes(peers)})
	})
}

// listedPeers returns a copy of the last list of nodes.
func (n *Node) listedPeers() []chuterelay.Peer {
	if peers := n.nodes.Load(); peers != nil {
		return slices.Clone(*peers)
	}

	return nil
}

// decodePeers decodes the list of nodes and leaves out rows that can't be decoded.
func (n *Node) decodePeers(table chutefeed.Table) []chuterelay.Peer {
	peers := make([]chuterelay.Peer, 0, table.Len())
	for _, row := range table.Rows() {
		var peer chuterelay.Peer
		if err := json.Unmarshal(row.Value, &peer); err != nil {
			n.log.Error().Err(err).Str("Key", row.Key).Msg("a node's row can't be read; it is left out")

			continue
		}
		peers = append(peers, peer)
	}

	return peers
}

// registerRetryPause is the mean pause after the first failed write of this node's row. It doubles
// with each further failure, up to 8 s.
const registerRetryPause = 500 * time.Millisecond

// ownRowCheckInterval is the mean time between two checks whether this node's row is still in its copy of
// the table. Other nodes keep the row of a node for peersRetainPeriod if the store loses it.
const (
	ownRowCheckInterval = 2 * time.Second
	peersRetainPeriod   = 15 * time.Second
)

// jittered returns a random duration between 0 and twice the mean.
func jittered(mean time.Duration) time.Duration {
	return time.Duration(2 * rand.Float64() * float64(mean)) //nolint:gosec // spreads calls, no secret
}

// registerNode writes this node's row to the store, where other nodes find it.
func (n *Node) registerNode(ctx context.Context) {
	value, err := json.Marshal(n.settings.Self)
	if err != nil {
		n.log.Error().Err(err).Msg("this node's row can't be encoded")

		return
	}
	for n.writeOwnRow(ctx, value) {
		writtenAt := n.Now()
		for !n.isOwnRowLost(value, writtenAt) {
			if !n.sleep(ctx, jittered(ownRowCheckInterval)) {
				return
			}
		}
		n.log.Warn().Msg("the store has lost this node's row; it is written again")
	}
}

// writeOwnRow writes this node's row and repeats the write until it succeeds. It returns false if the node
// is shutting down.
func (n *Node) writeOwnRow(ctx context.Context, value []byte) bool {
	for failures := 0; ctx.Err() == nil && !n.draining.Load(); failures++ {
		writeContext, cancel := context.WithTimeout(ctx, readTimeout)
		n.storeCalls.add(callRegister)
		err := n.store.Put(writeContext, n.settings.Tables.Peers, n.settings.Self.Name, value)
		cancel()
		if err == nil {
			return true
		}
		n.log.Warn().Err(err).Msg("this node's row could not be written; it is tried again")
		if !n.sleep(ctx, jittered(registerRetryPause<<min(failures, 4))) {
			return false
		}
	}

	return false
}

// isOwnRowLost reports whether the store has lost the row that this node has written at a time.
func (n *Node) isOwnRowLost(value []byte, writtenAt time.Time) bool {
	local := n.localTables[n.settings.Tables.Peers]
	row, _ := local.snapshot().Get(n.settings.Self.Name)

	return local.lastConfirmed().After(writtenAt) && !bytes.Equal(row.Value, value) && !n.draining.Load()
}
