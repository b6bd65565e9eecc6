package chutegate

import (
	"bytes"
	"context"
	"time"

	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chutefleet"
)

const (
	// departedPeriod is how long a node remembers that an upstream has left. A store that comes back from
	// a copy is some seconds behind.
	departedPeriod = 5 * time.Minute
	// DefaultUpstreamHeartbeat is the time between two heartbeats of an upstream if the settings give none.
	DefaultUpstreamHeartbeat = 1200 * time.Millisecond
	// missedHeartbeats is the number of heartbeats after whose lack the store deletes an entry, and
	// deletionDelay the time until a node knows.
	missedHeartbeats = 3
	deletionDelay    = 1400 * time.Millisecond
)

// restoredEntryPeriod is how long after the store's return the entry of an upstream that had gone may be one
// of the copy.
func restoredEntryPeriod(heartbeat time.Duration) time.Duration {
	return missedHeartbeats*heartbeat + deletionDelay
}

// departure is what is known of an upstream that has left.
type departure struct {
	// era is the store's era in which that was seen, at a time of the node's own clock.
	era uint64
	at  time.Time
	// saidSo is true if the upstream's entry said that it leaves. It never takes calls again then; an
	// entry that was only deleted may come back.
	saidSo bool
}

// departedUpstreams remembers the upstreams that have left, by the IDs of their incarnations. It is used
// by one goroutine at a time.
type departedUpstreams struct {
	byID     map[string]departure
	prunedAt time.Time
	// heldUntil is until when entries of upstreams that had gone may be those of a copy; zero if the store
	// never came back from one.
	heldUntil time.Time
}

// record remembers an upstream that is leaving or whose entry was deleted.
func (d *departedUpstreams) record(u chutefleet.Upstream, era uint64, now time.Time) {
	if d.byID == nil {
		d.byID = map[string]departure{}
	}
	known := d.byID[u.ID]
	d.byID[u.ID] = departure{era: era, at: now, saidSo: known.saidSo || u.State == chutefleet.StateLeaving}
	if now.Sub(d.prunedAt) < departedPeriod {
		return
	}
	d.prunedAt = now
	for id, departed := range d.byID {
		if now.Sub(departed.at) >= departedPeriod {
			delete(d.byID, id)
		}
	}
}

// apply returns an entry of the list as of an era, and until when it has to be left out; zero if it has not.
//
// The entry of a copy may list an upstream that left in an earlier era. One whose entry was only deleted is
// left out until the store has deleted it again, unless it lives.
func (d *departedUpstreams) apply(u chutefleet.Upstream, era uint64, now time.Time) (chutefleet.Upstream, time.Time) {
	departed, known := d.byID[u.ID]
	if !known || departed.era >= era || u.State != chutefleet.StateReady {
		return u, time.Time{}
	}
	if departed.saidSo {
		u.State = chutefleet.StateLeaving

		return u, time.Time{}
	}
	if now.Before(d.heldUntil) {
		return u, d.heldUntil
	}

	return u, time.Time{}
}

// departedPeers leaves out of the list of nodes those that have removed their rows, if the store came back
// from a copy which still has them. It is used by one goroutine at a time.
type departedPeers struct {
	node     *Node
	previous chutefeed.Table
	// rows holds the rows that were deleted lately, by key.
	rows map[string]departedRow
}

// departedRow is a row that was deleted.
type departedRow struct {
	value []byte
	era   uint64
	at    time.Time
}

// without returns the table without the rows that were deleted in an earlier era. Nodes that read the store
// delete them again. A node that has started again has written another row.
func (d *departedPeers) without(table chutefeed.Table) chutefeed.Table {
	d.record(table)
	var returned []string
	for _, row := range table.Rows() {
		if gone, ok := d.rows[row.Key]; ok && gone.era < table.Era() && bytes.Equal(gone.value, row.Value) {
			returned = append(returned, row.Key)
		}
	}
	if len(returned) == 0 {
		return table
	}
	d.remove(returned)

	return table.WithChange(chutefeed.Change{DeletedKeys: returned})
}

// record remembers which rows were deleted since the last call. Rows that are missing in the first state of
// an era were not deleted but lost.
func (d *departedPeers) record(table chutefeed.Table) {
	now := d.node.Now()
	if d.previous.Era() == table.Era() {
		for _, key := range table.ChangeSince(d.previous).DeletedKeys {
			row, _ := d.previous.Get(key)
			d.rows[key] = departedRow{value: row.Value, era: table.Era(), at: now}
		}
	}
	for key, row := range d.rows {
		if now.Sub(row.at) >= departedPeriod {
			delete(d.rows, key)
		}
	}
	d.previous = table
}

// remove deletes rows from the store, if this node reads it itself.
func (d *departedPeers) remove(keys []string) {
	n := d.node
	if _, follows := n.source(); follows {
		return
	}
	n.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		n.storeCalls.add(callRegister)
		if err := n.store.WriteRows(ctx, n.settings.Tables.Peers, nil, keys); err != nil {
			n.log.Warn().Err(err).Strs("Nodes", keys).Msg("the rows of nodes that have left came back with the store and could not be deleted")
		}
	})
}
