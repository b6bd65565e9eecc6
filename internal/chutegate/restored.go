package chutegate

import (
	"context"
	"math/rand/v2"
	"time"

	"azurechute.example/azurechute/internal/chutecore"
	"azurechute.example/azurechute/internal/chutefeed"
)

const (
	// rewriteSpread is the time over which nodes spread the writes of what the store has lost. All nodes
	// learn of its return at the same moment, and it takes 400 writes a second.
	rewriteSpread = 5 * time.Second
	// ledgerConflictPause is the time after which cost counters are written once more: the first write may
	// find that their row has another version, or is gone.
	ledgerConflictPause = time.Second
)

// tableRestored logs that a table is that of a new era of the store, and has what this node alone can
// write again written once for each era.
func (n *Node) tableRestored(name string, before, after chutefeed.Table) {
	n.log.Warn().Str("Table", name).Uint64("EraBefore", before.Era()).Uint64("VersionBefore", before.Version()).Int("RowsBefore", before.Len()).
		Uint64("Era", after.Era()).Uint64("Version", after.Version()).Int("Rows", after.Len()).Msg("the store has come back from a copy")
	for {
		known := n.storeEra.Load()
		if after.Era() <= known {
			return
		}
		if n.storeEra.CompareAndSwap(known, after.Era()) {
			n.spawn(n.rewriteLedger)

			return
		}
	}
}

// rewriteLedger writes all cost counters again: the store may have lost any of them.
func (n *Node) rewriteLedger(ctx context.Context) {
	if !n.sleep(ctx, time.Duration(rand.Int64N(int64(rewriteSpread)))) { //nolint:gosec // spreads writes, no secret
		return
	}
	n.sendLedgerEvent(chutecore.LedgerRestored{Stamp: n.stampNow(), Rows: n.departedLedgers.recent(n.Now())})
	n.sendLedgerEvent(chutecore.LedgerDue{Stamp: n.stampNow()})
	if n.sleep(ctx, ledgerConflictPause) {
		n.sendLedgerEvent(chutecore.LedgerDue{Stamp: n.stampNow()})
	}
}
