package chutenode

import (
	"context"
	"encoding/json"
	"errors"

	"azurechute.example/azurechute/internal/chutecore"
	"azurechute.example/azurechute/internal/chutelease"
	"azurechute.example/azurechute/internal/chutetable"
	"azurechute.example/azurechute/internal/chuteupstream"
)

// The steps under which the table's metrics and errors name these calls.
const (
	stepLeaseRead   = "lease read"
	stepLeaseWrite  = "lease write"
	stepLedgerWrite = "ledger write"
)

// readLease reads the zone's lease row.
func (n *Node) readLease(ctx context.Context, e chutecore.ReadLease) {
	rows, err := n.platform.Read(ctx, stepLeaseRead, e.Key)
	if err != nil {
		n.send(chutecore.LeaseReadFailed{Stamp: n.stamp(), ID: e.ID})

		return
	}
	row, version := leaseRow(rows, e.Key)
	n.send(chutecore.LeaseRead{Stamp: n.stamp(), ID: e.ID, Row: row, Version: version})
}

// writeLease writes the zone's lease row on the condition of its version.
func (n *Node) writeLease(ctx context.Context, e chutecore.WriteLease) {
	body, err := json.Marshal(e.Write.Row)
	if err != nil {
		n.send(chutecore.LeaseWritten{Stamp: n.stamp(), ID: e.Write.ID, Verdict: chutecore.LeaseNotWritten})

		return
	}
	reply, err := n.platform.Transact(ctx, stepLeaseWrite, chutetable.Transaction{
		Conditions: []chutetable.Condition{{Key: e.Key, Version: e.Write.Version}},
		Writes:     []chutetable.Write{{Key: e.Key, Value: body}},
	})
	row, version := leaseRow(reply.Rows, e.Key)
	n.send(chutecore.LeaseWritten{
		Stamp: n.stamp(), ID: e.Write.ID, Verdict: leaseVerdict(reply, err), Row: row, Version: version,
	})
}

// leaseVerdict reads how a write of the lease row ended.
func leaseVerdict(reply chutetable.Reply, err error) chutecore.LeaseVerdict {
	switch {
	case errors.Is(err, chutetable.ErrNotWritten):
		return chutecore.LeaseNotWritten
	case err != nil:
		return chutecore.LeaseUnknown
	case reply.Committed:
		return chutecore.LeaseCommitted
	}

	return chutecore.LeaseRefused
}

// leaseRow finds and decodes the lease row; a row that can't be decoded keeps its version and names no holder.
func leaseRow(rows []chutetable.Row, key string) (chutelease.Row, uint64) {
	found, ok := chutetable.RowOf(rows, key)
	if !ok {
		return chutelease.Row{}, 0
	}
	var row chutelease.Row
	if json.Unmarshal(found.Value, &row) != nil {
		return chutelease.Row{}, found.Version
	}

	return row, found.Version
}

// sendOrder sends an order to an engine while the lease has time left for it.
func (n *Node) sendOrder(ctx context.Context, e chutecore.SendOrder) {
	// The clock is read here once more: between the decision and this line the
	// process may have been paused past its lease, and an engine that ignores
	// the fencing number would take the stale order. What stays uncovered is a
	// pause between this check and the sending; the next holder's
	// reconciliation mends that.
	if !n.clock.Now().Before(e.SendBefore) {
		n.send(chutecore.OrderFailed{Stamp: n.stamp(), Engine: e.Order.Engine})

		return
	}
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	load, err := n.upstreams.Order(ctx, e.Address, chuteupstream.Order{
		FencingNumber: e.Order.FencingNumber, Model: e.Order.Target.Model, Version: e.Order.Target.Version,
		Adapter: e.Order.Target.Adapter, Role: string(e.Order.Target.Role),
	})
	if err != nil {
		n.log.Warn().Err(err).Str("Step", "order").Str("Peer", e.Order.Engine).
			Uint64("FencingNumber", e.Order.FencingNumber).Msg("order not confirmed")
		n.send(chutecore.OrderFailed{
			Stamp: n.stamp(), Engine: e.Order.Engine, RateLimited: errors.Is(err, chuteupstream.ErrRateLimited),
		})

		return
	}
	n.log.Info().Str("Step", "order").Str("Peer", e.Order.Engine).Str("Model", e.Order.Target.Model).
		Uint64("FencingNumber", e.Order.FencingNumber).Msg("engine at its placement")
	n.send(chutecore.OrderAnswered{Stamp: n.stamp(), Engine: e.Order.Engine, Load: load})
}
