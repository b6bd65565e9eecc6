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
	// flushEvery is the time between two writes of a node's cost counters, one call
	// each. What a node has counted since is lost if it is killed; a planned end
	// writes first.
	ledgerFlushInterval = 20 * time.Second
	// flushTimeout bounds one write.
	ledgerWriteTimeout = time.Second
)

// ledgerParts is the number of parts that the rows of cost counters are spread over. A
// part does its transactions one after another, some 200 a second. Each part of a
// thousand nodes' rows has one in three hundred milliseconds.
const ledgerPartitions = 16

// ledgerPart returns the part of the table that a node writes its rows to.
func ledgerPartition(node string) string {
	return strconv.FormatUint(xxhash.Sum64String(node)%ledgerPartitions, 10)
}

// firstFlush returns when a node first writes its counters; the seed differs for each start.
func firstFlushDelay(seed uint64) time.Duration {
	return time.Duration(seed % uint64(ledgerFlushInterval)) //nolint:gosec // below flushEvery
}

// flushLedger writes the cost counters from time to time, each node at a time of its own.
//
// Nodes that start together would write together: of hundreds the store turns many away
// with 429, and their counters are lost if they are killed before the next time.
func (n *Node) flushLedger(ctx context.Context) {
	for delay := firstFlushDelay(n.settings.Seed); n.sleep(ctx, delay); delay = ledgerFlushInterval {
		n.sendLedgerEvent(chutecore.LedgerDue{Stamp: n.stampNow()})
	}
}

// FlushLedger writes all cost counters; the last write of a process that ends.
func (n *Node) FlushLedger() {
	n.sendLedgerEvent(chutecore.LedgerDue{Stamp: n.stampNow(), AtExit: true})
}

func (n *Node) stampNow() chutecore.Stamp {
	return chutecore.Stamp{At: n.Now()}
}

// sendLedger hands the loop an event about cost counters.
func (n *Node) sendLedgerEvent(event chutecore.Event) {
	select {
	case n.messages <- message{ledgerEvent: event}:
	case <-n.runContext.Done():
	}
}

// writeLedger writes rows on the condition of their versions. A write whose answer
// is lost is settled by the next one, which meets the row as it is then.
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
