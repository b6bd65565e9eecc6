package chutegate

import (
	"context"
	"encoding/json"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurechute.example/azurechute/internal/chutecore"
	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chuteledger"
	"azurechute.example/azurechute/internal/chuteshare"
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
// The store answers many simultaneous writes with 429.
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

const (
	// ledgerCopyFanout is the number of nodes that keep the last counters of one that shuts down.
	ledgerCopyFanout = 2
	// ledgerCopyPeriod is how long they are kept: a store that comes back from a copy is some seconds
	// behind. maxLedgerCopies bounds their number, of 64 KB at most each.
	ledgerCopyPeriod = time.Minute
	maxLedgerCopies  = 64
)

// copyLedger sends rows of cost counters to some other nodes and waits for them. After this node has ended,
// nobody else could write the rows again if the store loses them.
func (n *Node) copyLedger(ctx context.Context, rows []chuteledger.Row) {
	copies := make([]chutefeed.Row, 0, len(rows))
	for _, row := range rows {
		copies = append(copies, chutefeed.Row{Key: row.Key, Value: row.Body})
	}
	told := chuteshare.Announcement{Table: n.settings.Tables.Ledger, Rows: copies}
	peers, _ := n.randomPeers(ledgerCopyFanout)
	var calls sync.WaitGroup
	for _, peer := range peers {
		calls.Go(func() { n.tellPeer(ctx, peer, told) })
	}
	calls.Wait()
}

// ledgerCopies holds the last rows of cost counters of other nodes, by key.
type ledgerCopies struct {
	mu   sync.Mutex
	rows map[string]ledgerCopy
}

type ledgerCopy struct {
	body       json.RawMessage
	receivedAt time.Time
}

// add keeps rows; it reports false if there is no room for some of them.
func (l *ledgerCopies) add(rows []chutefeed.Row, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	maps.DeleteFunc(l.rows, func(_ string, kept ledgerCopy) bool { return now.Sub(kept.receivedAt) >= ledgerCopyPeriod })
	if l.rows == nil {
		l.rows = map[string]ledgerCopy{}
	}
	for _, row := range rows {
		if _, known := l.rows[row.Key]; !known && len(l.rows) >= maxLedgerCopies {
			return false
		}
		l.rows[row.Key] = ledgerCopy{body: row.Value, receivedAt: now}
	}

	return true
}

// recent returns the rows that were received within ledgerCopyPeriod.
func (l *ledgerCopies) recent(now time.Time) []json.RawMessage {
	l.mu.Lock()
	defer l.mu.Unlock()

	var rows []json.RawMessage
	for _, kept := range l.rows {
		if now.Sub(kept.receivedAt) < ledgerCopyPeriod {
			rows = append(rows, kept.body)
		}
	}

	return rows
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
	var copying sync.WaitGroup
	if n.Draining() {
		copying.Go(func() { n.copyLedger(ctx, rows) })
	}
	n.storeCalls.add(callCounters)
	version, currentRows, err := n.store.ReplaceIfUnchanged(ctx, n.settings.Tables.Ledger, ledgerPartition(n.settings.Self.Name), writes)
	// A process that shuts down ends once its rows count as written, which would cancel the copying.
	copying.Wait()
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
