package chutegate

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"azurechute.example/azurechute/internal/chutefeed"
)

const (
	// maxReports bounds the rows of one transaction, and maxQueued those that wait for the
	// store: a node has calls at some tens of upstreams.
	maxReportsPerBatch = 64
	maxQueuedReports   = 1024
	// maxSeen bounds the reports that are remembered so as not to be passed on twice.
	maxKnownReports = 8192
)

// reportQueue holds rows that are to be told or written; of one key the newest counts.
type reportQueue struct {
	mu   sync.Mutex
	rows map[string][]byte
	// due has an item while there are rows.
	ready chan struct{}
}

func newReportQueue() *reportQueue {
	return &reportQueue{rows: map[string][]byte{}, ready: make(chan struct{}, 1)}
}

// add queues a row; false means that too many wait.
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

// addBack queues rows that could not be written, unless there are newer ones by now.
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

// wake says that there are rows; the caller holds mu.
func (q *reportQueue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// next takes out the rows of one message or transaction.
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

// seenReports are the rows that this node has told or heard.
type reportSet struct {
	mu   sync.Mutex
	sums map[string]uint64
}

// isNews notes a row and says whether it is new here.
func (s *reportSet) addIfNew(row chutefeed.Row) bool {
	sum := xxhash.Sum64(row.Value)
	s.mu.Lock()
	defer s.mu.Unlock()

	if known, ok := s.sums[row.Key]; ok && known == sum {
		return false
	}
	if s.sums == nil || len(s.sums) >= maxKnownReports {
		// Forgotten reports are passed on once more at most.
		s.sums = map[string]uint64{}
	}
	s.sums[row.Key] = sum

	return true
}
