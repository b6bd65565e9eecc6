package chutegate

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuterelay"
)

// watchConfig keeps the configuration and the evacuations up to date, which lie in one table.
//
// A node that starts learns of both at once, and of evacuations first: before it knows a
// configuration it serves nobody, so it sends nothing to a zone that it does not know to be
// evacuated.
func (n *Node) watchConfig(ctx context.Context) {
	local := n.localTables[n.settings.Tables.Config]
	var lastZones []string
	n.keepCurrent(ctx, local, configPollWait, 0, func() {
		if zones := n.evacuatedZones(local.snapshot()); !slices.Equal(zones, lastZones) {
			lastZones = zones
			n.evacuatedZoneCount.Store(int64(len(zones)))
			n.sendEvent(chuterelay.ZonesEvacuated{Zones: zones})
		}
		n.adoptConfig(local)
	})
}

// evacuatedZones returns the zones that the table says are evacuated, sorted. A row counts
// whatever its value: an evacuation that is doubtful is obeyed.
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

// adopt puts a newer configuration in force; one that can't be read leaves the old one there.
func (n *Node) adoptConfig(local *localTable) {
	row, ok := local.snapshot().Get(n.settings.Tables.ConfigKey)
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
	n.sendEvent(chuterelay.ConfigAdopted{Config: cfg})
	n.signalIfRequiredLoaded()
	n.log.Info().Uint64("Version", cfg.Version).Int("Pipelines", len(cfg.Pipelines)).
		Int("Keys", len(cfg.Workspaces)).Str("From", local.lastChangeFrom()).Msg("configuration in force")
}

// watchUpstreams keeps the list of upstreams up to date.
func (n *Node) watchUpstreams(ctx context.Context) {
	local := n.localTables[n.settings.Tables.Upstreams]
	var lastList []chutefleet.Upstream
	lastHold := false
	decoded := map[string]decodedEntry{}
	n.keepCurrent(ctx, local, 0, upstreamsReadInterval, func() {
		list, ok := n.decodeUpstreams(local.snapshot(), decoded)
		hold := local.isSettling(n.Now())
		if !ok || slices.Equal(list, lastList) && hold == lastHold && n.upstreamsLoaded.Load() {
			return
		}
		n.sendEvent(chuterelay.UpstreamsListed{Upstreams: list, Hold: hold})
		n.logUpstreamChanges(lastList, list)
		lastList, lastHold = list, hold
		n.upstreamsLoaded.Store(true)
		n.signalIfRequiredLoaded()
	})
}

// entryRead is an upstream's entry as it was last read.
type decodedEntry struct {
	value    []byte
	upstream chutefleet.Upstream
}

// upstreamsOf decodes the list; false means that it was never read. What entries hold
// that did not change is taken from the last time: of thousands few change at once.
//
// Entries that can't be read are logged when they become so. A line each time for an
// entry that somebody else has left there would fill the log.
func (n *Node) decodeUpstreams(table chutefeed.Table, decoded map[string]decodedEntry) ([]chutefleet.Upstream, bool) {
	if table.Version() == 0 {
		return nil, false
	}
	list := make([]chutefleet.Upstream, 0, table.Len())
	for _, row := range table.Rows() {
		entry, known := decoded[row.Key]
		if !known || !bytes.Equal(entry.value, row.Value) {
			entry = n.decodeEntry(row, entry.upstream.State)
			decoded[row.Key] = entry
		}
		list = append(list, entry.upstream)
	}
	if len(decoded) > len(list) {
		maps.DeleteFunc(decoded, func(key string, _ decodedEntry) bool {
			_, listed := table.Get(key)

			return !listed
		})
	}

	return list, true
}

// readEntry decodes an upstream's entry; before is the state as which it was last read.
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
	n.keepCurrent(ctx, local, peersPollWait, peersReadInterval, func() {
		peers := n.decodePeers(local)
		n.nodes.Store(&peers)
		n.nodesLoadedOnce.Do(func() { close(n.nodesLoaded) })
		n.sendEvent(chuterelay.PeersListed{Peers: peers})
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
func (n *Node) decodePeers(local *localTable) []chuterelay.Peer {
	table := local.snapshot()
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

// registerPause is the mean pause after the first write of the own row that failed; it
// doubles with each further one, to 8 s.
const registerRetryPause = 500 * time.Millisecond

// jittered returns a random time with the given mean.
//
// Nodes that start together fail together where the store does fewer writes a second
// than there are nodes, and would come back together.
func jittered(mean time.Duration) time.Duration {
	return time.Duration(2 * rand.Float64() * float64(mean)) //nolint:gosec // spreads calls, no secret
}

// register writes the own row, by which other nodes find this one.
func (n *Node) registerNode(ctx context.Context) {
	value, err := json.Marshal(n.settings.Self)
	if err != nil {
		n.log.Error().Err(err).Msg("the own row can't be written")

		return
	}
	for failures := 0; ctx.Err() == nil && !n.draining.Load(); failures++ {
		writeContext, cancel := context.WithTimeout(ctx, readTimeout)
		n.storeCalls.add(callRegister)
		err := n.store.Put(writeContext, n.settings.Tables.Peers, n.settings.Self.Name, value)
		cancel()
		if err == nil {
			return
		}
		n.log.Warn().Err(err).Msg("the own row is not written yet")
		if !n.sleep(ctx, jittered(registerRetryPause<<min(failures, 4))) {
			return
		}
	}
}
