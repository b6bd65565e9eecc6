package chutegate

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurechute.example/azurechute/internal/chutecore"
	"azurechute.example/azurechute/internal/chuteledger"
)

const (
	// ledgerFlushInterval is the time between two writes of a node's cost counters; each write is
	// one call. A node that is killed loses what it has counted since the last write; a planned
	// shutdown writes first.
	ledgerFlushInterval = 20 * time.Second
	// ledgerWriteTimeout bounds one write.
	ledgerWriteTimeout = time.Second
)

// ledgerPartitions is the number of partitions that the rows of cost counters are spread over. A
// partition runs its transactions one after another, some 200 a second. With the rows of a thousand
// nodes each partition gets one transaction every 300 ms.
const ledgerPartitions = 16

// ledgerPartition returns the partition of the table that a node writes its rows to.
func ledgerPartition(node string) string {
	return strconv.FormatUint(xxhash.Sum64String(node)%ledgerPartitions, 10)
}

// firstFlushDelay returns the time from a node's start to its first write of cost counters. The
// seed is different at each start.
func firstFlushDelay(seed uint64) time.Duration {
	return time.Duration(seed % uint64(ledgerFlushInterval)) //nolint:gosec // below ledgerFlushInterval
}

// flushLedger writes the cost counters every ledgerFlushInterval, at a different time for each
// node.
//
// Nodes that start together would otherwise write together. The store answers many of hundreds of
// simultaneous writes with 429, and those nodes' counters are lost if they are killed before their
// next write.
func (n *Node) flushLedger(ctx context.Context) {
	for delay := firstFlushDelay(n.settings.Seed); n.sleep(ctx, delay); delay = ledgerFlushInterval {
		n.sendLedgerEvent(chutecore.LedgerDue{Stamp: n.stampNow()})
	}
}

// FlushLedger writes all cost counters; it is the last write of a process that shuts down.
func (n *Node) FlushLedger() {
	n.sendLedgerEvent(chutecore.LedgerDue{Stamp: n.stampNow(), AtExit: true})
}

func (n *Node) stampNow() chutecore.Stamp {
	return chutecore.Stamp{At: n.Now()}
}

// sendLedgerEvent queues an event about cost counters for the event loop.
func (n *Node) sendLedgerEvent(event chutecore.Event) {
	select {
	case n.messages <- message{ledgerEvent: event}:
	case <-n.runContext.Done():
	}
}

// writeLedger writes rows on the condition that their versions are unchanged. If the answer to a
// write is lost, the next write finds the row as it is and thereby settles whether the first one
// took effect.
func (n *Node) writeLedger(ctx context.Context, rows []chuteledger.Row) {
	ctx, cancel := context.WithTimeout(ctx, ledgerWriteTimeout)
	defer cancel()
	rowsByKey := map[string]chuteledger.Row{}
	writes := make([]Row, 0, len(rows))
	for _, row := range rows {
		rowsByKey[row.Key] = row
		writes = append(writes, Row{Key: row.Key, Value: row.Body, Version: row.Version})
	}
	n.storeCalls.add(callCounters)
	version, currentRows, err := n.store.ReplaceIfUnchanged(ctx, n.settings.Tables.Ledger, ledgerPartition(n.settings.Self.Name), writes)
	if err != nil {
		n.log.Warn().Err(err).Int("Rows", len(rows)).Msg("cost counters not confirmed; they are written again")

		return
	}
	if len(currentRows) == 0 {
		for _, row := range rows {
			n.sendLedgerEvent(chutecore.LedgerWritten{Stamp: n.stampNow(), Row: row, Version: version})
		}

		return
	}
	for _, row := range currentRows {
		n.sendLedgerEvent(chutecore.LedgerRefused{
			Stamp: n.stampNow(), Row: rowsByKey[row.Key], Version: row.Version, Present: row.Value,
		})
	}
}
