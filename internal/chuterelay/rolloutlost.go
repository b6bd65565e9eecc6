package chuterelay

import (
	"maps"
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chutecanary"
)

const (
	// lostRecordDelay and lostRecordSpread bound when a node writes a record again that the store has lost,
	// if the nodes that get the reports on the pool have not: they may have started since, and not know it.
	lostRecordDelay  = 2 * time.Second
	lostRecordSpread = 4 * time.Second
)

// withRecordedRevision returns an order with the revision of the pool's record if both are of the same order: a node
// that has just started reads the order under the version that it has since the store came back from a copy
// and the operator has written it again.
func (r rollouts) withRecordedRevision(order chutecanary.Order) chutecanary.Order {
	record, recorded := r.records[order.Pool]
	_, known := r.orders[order.Pool]
	given := record.RestoreOrder()
	if !recorded || known || record.OrderEra == 0 || record.OrderEra >= order.Era {
		return order
	}
	if given.Version != order.Version || given.Duration != order.Duration {
		return order
	}

	return given
}

// rewriteLostRecords writes the records again that the store has lost. It gives them a higher epoch, so that
// they replace at all nodes what was written since by one that did not know them.
func (st *reduction) rewriteLostRecords() {
	rewriteAt := map[string]time.Time{}
	for _, pool := range slices.Sorted(maps.Keys(st.rollouts.records)) {
		if !st.rollouts.isLost(pool) {
			continue
		}
		at, known := st.rollouts.rewriteAt[pool]
		if !known {
			at = st.now.Add(st.lostRecordPause(pool))
		}
		rewriteAt[pool] = at
		if st.now.Before(at) {
			continue
		}
		rewriteAt[pool] = st.now.Add(lostRecordDelay)
		record, stored := st.rollouts.records[pool], st.rollouts.stored[pool]
		record.Epoch = max(record.Epoch, stored.Epoch) + 1
		record.RowVersion, record.Era = stored.RowVersion, stored.Era
		record.By = st.settings.Self.Name
		st.emit(WriteRollout{Record: record})
	}
	st.rollouts.rewriteAt = rewriteAt
}

// lostRecordPause returns how long after it has learned of a lost record this node writes it again. Nodes
// that follow the rollout come first.
func (st *reduction) lostRecordPause(pool string) time.Duration {
	rank := slices.IndexFunc(st.rolloutActors(pool), func(actor Peer) bool { return actor.Name == st.settings.Self.Name })
	if rank >= 0 {
		return time.Duration(rank) * rolloutStandbyDelay
	}

	return lostRecordDelay + time.Duration(st.randomFraction()*float64(lostRecordSpread))
}
