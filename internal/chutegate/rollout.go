package chutegate

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"azurechute.example/azurechute/internal/chutecanary"
	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteshare"
)

const (
	// rolloutPollWait is how long one long poll for changes of the rollouts' records stays open.
	rolloutPollWait = 700 * time.Millisecond
	// rolloutsWait is how long after its start a node lets requests wait for the records of rollouts
	// that are in progress. Without them it would send calls to old upstreams that are about to end.
	rolloutsWait = 300 * time.Millisecond
	// versionCheckInterval is how often a node checks whether upstreams of new versions may get calls.
	versionCheckInterval = 50 * time.Millisecond
)

// rolloutOrders decodes the operator's orders. It is used by one goroutine at a time.
type rolloutOrders struct {
	node *Node
	// decoded holds the orders by key, as of the versions of their rows. A row that can't be decoded
	// keeps the order that was read before.
	decoded map[string]decodedOrder
	// era is the store's era of the table at the last update, which began at eraSince for this node.
	era      uint64
	eraSince time.Time
	last     chuterelay.RolloutsOrdered
}

type decodedOrder struct {
	// row is the position of the order's row.
	row   chutefeed.Position
	order chutecanary.Order
	valid bool
	pool  string
}

// update reads the operator's table and sends the orders to the event loop if they have changed.
func (o *rolloutOrders) update(table chutefeed.Table) {
	next := map[string]decodedOrder{}
	if o.era != table.Era() {
		o.era, o.eraSince = table.Era(), o.node.Now()
	}
	for _, row := range table.Rows() {
		known, seen := o.decoded[row.Key]
		position := chutefeed.Position{Era: table.Era(), Version: row.Version}
		if seen && known.row == position {
			next[row.Key] = known

			continue
		}
		order, ok, err := o.node.decode.Rollout(row.Key, row.Value, row.Version)
		switch {
		case err != nil:
			o.node.log.Error().Err(err).Str("Key", row.Key).Uint64("Version", row.Version).
				Msg("an order to move a pool to another version can't be read; the one before stays in force")
			next[row.Key] = decodedOrder{row: position, order: known.order, valid: known.valid, pool: order.Pool}
		case ok:
			order.Era = table.Era()
			next[row.Key] = decodedOrder{row: position, order: o.withKnownRevision(order, known), valid: true, pool: order.Pool}
		}
	}
	o.decoded = next
	var all chuterelay.RolloutsOrdered
	for _, key := range slices.Sorted(maps.Keys(next)) {
		if next[key].valid {
			all.Orders = append(all.Orders, next[key].order)
		} else {
			all.Unreadable = append(all.Unreadable, next[key].pool)
		}
	}
	if slices.Equal(all.Orders, o.last.Orders) && slices.Equal(all.Unreadable, o.last.Unreadable) {
		return
	}
	o.last = all
	o.node.sendEvent(all)
	o.node.rolloutOrderedOnce.Do(func() { close(o.node.rolloutOrdered) })
}

// orderRewritePeriod is how long after the store's return from a copy an order that is the same as the known
// one but for its row's version is taken for that one, which the operator has written again.
const orderRewritePeriod = 15 * time.Second

// withKnownRevision returns an order with the revision under which it is known, if it was written again after the
// store came back from a copy.
func (o *rolloutOrders) withKnownRevision(order chutecanary.Order, known decodedOrder) chutecanary.Order {
	same := known.valid && known.order.Version == order.Version && known.order.Duration == order.Duration
	if !same || known.order.Era >= order.Era || o.node.Now().Sub(o.eraSince) >= orderRewritePeriod {
		return order
	}

	return known.order
}

// watchRollouts keeps the records of rollouts up to date, from the first order on.
func (n *Node) watchRollouts(ctx context.Context) {
	if !n.settings.Rollouts.Enabled() {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-n.rolloutOrdered:
	}
	local := n.localTables[n.settings.Tables.Rollouts]
	var previous chutefeed.Table
	n.keepCurrent(ctx, local, rolloutPollWait, 0, func() {
		table := local.snapshot()
		n.sendRecordsOf(table, previous)
		previous = table
		if table.Version() > 0 {
			n.rolloutsLoadedOnce.Do(func() { close(n.rolloutsLoaded) })
		}
	})
}

// sendRecordsOf queues the records that have changed since the previous state of the table. After a return of
// the store from a copy these are all, and those that it has no more: they belong to a new era.
func (n *Node) sendRecordsOf(table, previous chutefeed.Table) {
	change := table.ChangeSince(previous)
	if previous.Version() == 0 || previous.Era() == table.Era() {
		n.sendRecords(table.Era(), change.Rows)

		return
	}
	var lost chuterelay.RolloutsRecorded
	for _, pool := range change.DeletedKeys {
		lost.Records = append(lost.Records, chutecanary.Record{Pool: pool, Era: table.Era()})
	}
	n.sendEvent(lost)
	n.sendRecords(table.Era(), table.Rows())
}

// sendRecords queues records of an era for the event loop and leaves out those that can't be decoded.
func (n *Node) sendRecords(era uint64, rows []chutefeed.Row) {
	var records []chutecanary.Record
	for _, row := range rows {
		record, err := chutecanary.DecodeRecord(row.Key, row.Value, row.Version)
		if err != nil {
			n.log.Error().Err(err).Str("Key", row.Key).Uint64("Version", row.Version).Msg("the record of a rollout can't be read; it is left out")

			continue
		}
		record.Era = era
		records = append(records, record)
	}
	if len(records) > 0 {
		n.sendEvent(chuterelay.RolloutsRecorded{Records: records})
	}
}

// awaitRollouts lets a request wait for the records of rollouts if the node has just started and there
// are orders.
func (n *Node) awaitRollouts(ctx context.Context, bound time.Duration) {
	select {
	case <-n.rolloutOrdered:
		n.awaitSignal(ctx, rolloutsWait, bound, n.rolloutsLoaded)
	default:
	}
}

// performRolloutEffect performs the effects that concern rollouts.
func (n *Node) performRolloutEffect(effect chuterelay.Effect) {
	switch e := effect.(type) {
	case chuterelay.SendRolloutReport:
		n.sendRolloutReport(e)
	case chuterelay.WriteRollout:
		n.spawn(func(ctx context.Context) { n.writeRollout(ctx, e.Record) })
	case chuterelay.RolloutTickAt:
		n.clock.AfterFunc(e.At.Sub(n.Now()), n.tickRollouts)
	case chuterelay.LogRolloutOrder:
		n.log.Warn().Str("Pool", e.Order.Pool).Str("To", e.Order.Version).Dur("DurationMs", e.Order.Duration).
			Uint64("Order", e.Order.Revision).Bool("Withdrawn", e.Withdrawn).Msg("rollout ordered")
	case chuterelay.LogRollout:
		r := e.Record
		n.log.Warn().Str("Pool", r.Pool).Str("To", r.Version).Uint64("Order", r.Order).Uint64("Epoch", r.Epoch).
			Str("Phase", string(r.Phase)).Int64("ElapsedMs", r.ElapsedMs).Str("By", r.By).Str("Reason", r.Reason).Msg("rollout")
	default:
		n.performWorkEffect(effect)
	}
}

// tickRollouts sends a RolloutTicked event with the time as of which the records are known.
func (n *Node) tickRollouts() {
	confirmedAt := time.Time{}
	local := n.localTables[n.settings.Tables.Rollouts]
	if age, known := local.age(n.Now()); known {
		confirmedAt = n.Now().Add(-age)
	}
	n.sendEvent(chuterelay.RolloutTicked{ConfirmedAt: confirmedAt})
}

// sendRolloutReport sends a report to the nodes that follow the rollout.
func (n *Node) sendRolloutReport(e chuterelay.SendRolloutReport) {
	value, err := json.Marshal(e.Report)
	if err != nil {
		n.log.Error().Err(err).Str("Pool", e.Report.Pool).Msg("a report on a rollout can't be encoded")

		return
	}
	told := chuteshare.Announcement{Table: n.settings.Tables.Rollouts, Rows: []chutefeed.Row{{Key: e.Report.Pool, Value: value}}}
	for _, peer := range e.Peers {
		n.spawn(func(ctx context.Context) {
			if err := n.peers.Tell(ctx, peer.Address, told); err != nil && ctx.Err() == nil {
				n.log.Info().Err(err).Str("Peer", peer.Name).Str("Pool", e.Report.Pool).Msg("a report on a rollout did not arrive; another node gets the next one")
				n.sendEvent(chuterelay.RolloutReportFailed{Peer: peer.Name, Silent: errors.Is(err, context.DeadlineExceeded)})
			}
		})
	}
}

// writeRollout writes a record to the store. If the row has changed, its feed brings the change; if the
// outcome is unknown, the next attempt finds out, because the row then has another version.
func (n *Node) writeRollout(ctx context.Context, record chutecanary.Record) {
	defer n.sendEvent(chuterelay.RolloutWriteEnded{Pool: record.Pool})
	value, err := json.Marshal(record)
	if err != nil {
		n.log.Error().Err(err).Str("Pool", record.Pool).Msg("the record of a rollout can't be encoded")

		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	n.storeCalls.add(callRollout)
	at, written, err := n.store.WriteRollout(ctx, record, value)
	if err != nil || !written {
		n.log.Warn().Err(err).Str("Pool", record.Pool).Uint64("Epoch", record.Epoch).Str("Phase", string(record.Phase)).
			Msg("the record of a rollout was not written")

		return
	}
	// The other nodes hear of it now; the store's feed takes longer for those that follow.
	rows := []chutefeed.Row{{Key: record.Pool, Value: value, Version: at.Version}}
	n.knownReports.addIfNew(rows[0])
	n.sendRecords(at.Era, rows)
	n.gossipToPeers(chuteshare.Announcement{Table: n.settings.Tables.Rollouts, Era: at.Era, Rows: rows, Hops: gossipHops}, gossipFanout)
}

// receiveRolloutRows accepts records, which have a version, and reports from another node. Records that
// are new are passed on.
func (n *Node) receiveRolloutRows(told chuteshare.Announcement) {
	var records []chutefeed.Row
	for _, row := range told.Rows {
		if row.Version > 0 {
			if n.knownReports.addIfNew(row) {
				records = append(records, row)
			}

			continue
		}
		var report chutecanary.Report
		if err := json.Unmarshal(row.Value, &report); err != nil {
			n.log.Error().Err(err).Str("Key", row.Key).Msg("a report on a rollout can't be read; it is left out")

			continue
		}
		n.sendEvent(chuterelay.RolloutReported{Report: report})
	}
	if len(records) == 0 {
		return
	}
	n.sendRecords(told.Era, records)
	if told.Hops > 0 {
		told.Rows, told.Hops = records, told.Hops-1
		n.gossipToPeers(told, gossipFanout)
	}
}

// versionGuard holds back upstreams of versions that are new to their pools until the operator's table
// is known as of a later time: an order about the version precedes its upstreams. It is used by one
// goroutine at a time.
type versionGuard struct {
	// known holds the versions by pool that were listed before. held are the upstreams that are held
	// back, by name, with the times at which their versions were first listed.
	known map[string]map[string]bool
	held  map[string]heldUpstream
	timer clockwork.Timer
	// check has the list looked at again.
	check func()
}

type heldUpstream struct {
	chutefleet.Upstream

	since time.Time
}

func newVersionGuard() *versionGuard {
	return &versionGuard{known: map[string]map[string]bool{}, held: map[string]heldUpstream{}}
}

// checkAgain has the list looked at again soon if upstreams are held back.
func (g *versionGuard) checkAgain(clock clockwork.Clock) {
	if g.timer != nil {
		g.timer.Stop()
	}
	if len(g.held) > 0 {
		g.timer = clock.AfterFunc(versionCheckInterval, g.check)
	}
}

// apply returns the entries of a change with the upstreams marked that are held back, and in addition
// those that are not held back any more. confirmedAt is the time as of which the operator's table is
// known. The versions in the first list of a pool are not held back.
func (g *versionGuard) apply(change chutefleet.ListChange, confirmedAt, now time.Time) []chutefleet.Upstream {
	for _, name := range change.Gone {
		delete(g.held, name)
	}
	first := map[string]bool{}
	for i := range change.Entries {
		u := &change.Entries[i]
		delete(g.held, u.Name)
		if u.State == chutefleet.StateUnreadable {
			continue
		}
		if g.known[u.Pool] == nil {
			g.known[u.Pool] = map[string]bool{}
			first[u.Pool] = true
		}
		if first[u.Pool] {
			g.known[u.Pool][u.Version] = true
		}
		if !g.known[u.Pool][u.Version] {
			g.held[u.Name] = heldUpstream{Upstream: *u, since: now}
			u.Unvouched = true
		}
	}

	return append(change.Entries, g.release(confirmedAt)...)
}

// release returns the upstreams that are not held back any more, sorted by name.
func (g *versionGuard) release(confirmedAt time.Time) []chutefleet.Upstream {
	var released []chutefleet.Upstream
	for _, name := range slices.Sorted(maps.Keys(g.held)) {
		held := g.held[name]
		if confirmedAt.Before(held.since) && !g.known[held.Pool][held.Version] {
			continue
		}
		g.known[held.Pool][held.Version] = true
		released = append(released, held.Upstream)
		delete(g.held, name)
	}

	return released
}
