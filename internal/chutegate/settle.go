package chutegate

import (
	"context"
	"time"
)

const (
	// settlePeriod is how long upstreams that are missing from the list are kept after the store's
	// return. Live ones are in the list again about two seconds after it.
	settlePeriod = 2200 * time.Millisecond
	// settleReadLead is how long before the end of that period the list is read once more: an entry that
	// has come back since the last regular read would be taken for missing.
	settleReadLead = 100 * time.Millisecond
)

// dropUnsettled has the list looked at as soon as it has settled after each return of the store. The upstreams that
// are still missing then are gone.
func (n *Node) dropUnsettled(ctx context.Context, local *localTable, update func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-local.returned:
		}
		settlesAt := local.settlesAt()
		if !n.sleep(ctx, settlesAt.Add(-settleReadLead).Sub(n.Now())) {
			return
		}
		if local.lastConfirmed().Before(n.Now().Add(-settleReadLead)) {
			// Its error shows in the state of the table, which is not settled then.
			_, _ = n.readStoreOrPeer(ctx, local, 0, callInPlace, update)
		}
		if !n.sleep(ctx, settlesAt.Sub(n.Now())) {
			return
		}
		update()
	}
}
