package chutegate

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"azurechute.example/azurechute/internal/chutefeed"
)

const (
	// maxReportsPerBatch bounds the rows of one transaction or gossip message, and maxQueuedReports
	// those that wait for the store. A node has calls at some tens of upstreams at a time.
	maxReportsPerBatch = 64
	maxQueuedReports   = 1024
	// maxKnownReports bounds the reports that are remembered in order not to pass them on twice.
	maxKnownReports = 8192
)

// reportQueue holds rows to be sent or written; for each key only the newest row is kept.
type reportQueue struct {
	mu   sync.Mutex
	rows map[string][]byte
	// ready has an item while there are rows.
	ready chan struct{}
}

func newReportQueue() *reportQueue {
	return &reportQueue{rows: map[string][]byte{}, ready: make(chan struct{}, 1)}
}

// add queues a row; false means that the queue is full.
func (q *reportQueue) add(row chutefeed.Row) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	if _, waits := q.rows[row.Key]; !waits && len(q.rows) >= maxQueuedReports {
		return false
	}
	q.rows[row.Key] = row.Value
	q.signal()

	return true
}

// requeue queues rows again that could not be written, except those with a newer row in the queue.
func (q *reportQueue) requeue(rows []chutefeed.Row) {
	q.mu.Lock()
	defer q.mu.Unlock()

	for _, row := range rows {
		if _, newer := q.rows[row.Key]; !newer {
			q.rows[row.Key] = row.Value
		}
	}
	q.signal()
}

// signal puts an item into ready; the caller holds mu.
func (q *reportQueue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// takeBatch removes and returns the rows of one message or transaction.
func (q *reportQueue) takeBatch() []chutefeed.Row {
	q.mu.Lock()
	defer q.mu.Unlock()

	var rows []chutefeed.Row
	for key, value := range q.rows {
		if len(rows) == maxReportsPerBatch {
			q.signal()

			break
		}
		rows = append(rows, chutefeed.Row{Key: key, Value: value})
		delete(q.rows, key)
	}

	return rows
}

// reportSet holds the keys and hashes of rows that this node has sent or received.
type reportSet struct {
	mu   sync.Mutex
	sums map[string]uint64
}

// addIfNew records a row and reports whether the set did not contain it with this value.
func (s *reportSet) addIfNew(row chutefeed.Row) bool {
	sum := xxhash.Sum64(row.Value)
	s.mu.Lock()
	defer s.mu.Unlock()

	if known, ok := s.sums[row.Key]; ok && known == sum {
		return false
	}
	if s.sums == nil || len(s.sums) >= maxKnownReports {
		// A forgotten report is passed on one more time at most.
		s.sums = map[string]uint64{}
	}
	s.sums[row.Key] = sum

	return true
}
