package chutegate

import (
	"context"
	"time"

	"azurechute.example/azurechute/internal/chutecore"
	"azurechute.example/azurechute/internal/chuteledger"
)

const (
	// flushEvery is the time between two writes of a node's cost counters, one call
	// each. What a node has counted since is lost if it is killed; a planned end
	// writes first.
	flushEvery = 20 * time.Second
	// flushTimeout bounds one write.
	flushTimeout = time.Second
)

// flushLedger writes the cost counters from time to time.
func (n *Node) flushLedger(ctx context.Context) {
	for n.pause(ctx, flushEvery) {
		n.sendLedger(chutecore.LedgerDue{Stamp: n.stamp()})
	}
}

// FlushLedger writes all cost counters; the last write of a process that ends.
func (n *Node) FlushLedger() {
	n.sendLedger(chutecore.LedgerDue{Stamp: n.stamp(), AtExit: true})
}

func (n *Node) stamp() chutecore.Stamp {
	return chutecore.Stamp{At: n.Now()}
}

// sendLedger hands the loop an event about cost counters.
func (n *Node) sendLedger(event chutecore.Event) {
	select {
	case n.messages <- message{ledger: event}:
	case <-n.running.Done():
	}
}

// writeLedger writes rows on the condition of their versions. A write whose answer
// is lost is settled by the next one, which meets the row as it is then.
func (n *Node) writeLedger(ctx context.Context, rows []chuteledger.Row) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	byKey := map[string]chuteledger.Row{}
	writes := make([]Row, 0, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
		writes = append(writes, Row{Key: row.Key, Value: row.Body, Version: row.Version})
	}
	version, present, err := n.store.Replace(ctx, n.settings.Tables.Ledger, writes)
	if err != nil {
		n.log.Warn().Err(err).Int("Rows", len(rows)).Msg("cost counters not confirmed; they are written again")

		return
	}
	if len(present) == 0 {
		for _, row := range rows {
			n.sendLedger(chutecore.LedgerWritten{Stamp: n.stamp(), Row: row, Version: version})
		}

		return
	}
	for _, row := range present {
		n.sendLedger(chutecore.LedgerRefused{
			Stamp: n.stamp(), Row: byKey[row.Key], Version: row.Version, Present: row.Value,
		})
	}
}
