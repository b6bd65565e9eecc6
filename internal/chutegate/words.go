package chutegate

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"azurechute.example/azurechute/internal/chutefeed"
)

const (
	// maxWords bounds the rows of one transaction, and maxUnsaid those that wait for the
	// store: a node has calls at some tens of upstreams.
	maxWords  = 64
	maxUnsaid = 1024
	// maxHeard bounds the words that are remembered so as not to be passed on twice.
	maxHeard = 8192
)

// wordQueue holds rows that are to be told or written; of one key the newest counts.
type wordQueue struct {
	mu   sync.Mutex
	rows map[string][]byte
	// due has an item while there are rows.
	due chan struct{}
}

func newWordQueue() *wordQueue {
	return &wordQueue{rows: map[string][]byte{}, due: make(chan struct{}, 1)}
}

// add queues a row; false means that too many wait.
func (q *wordQueue) add(row chutefeed.Row) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	if _, waits := q.rows[row.Key]; !waits && len(q.rows) >= maxUnsaid {
		return false
	}
	q.rows[row.Key] = row.Value
	q.wake()

	return true
}

// addBack queues rows that could not be written, unless there are newer ones by now.
func (q *wordQueue) addBack(rows []chutefeed.Row) {
	q.mu.Lock()
	defer q.mu.Unlock()

	for _, row := range rows {
		if _, newer := q.rows[row.Key]; !newer {
			q.rows[row.Key] = row.Value
		}
	}
	q.wake()
}

// wake says that there are rows; the caller holds mu.
func (q *wordQueue) wake() {
	select {
	case q.due <- struct{}{}:
	default:
	}
}

// next takes out the rows of one message or transaction.
func (q *wordQueue) next() []chutefeed.Row {
	q.mu.Lock()
	defer q.mu.Unlock()

	var rows []chutefeed.Row
	for key, value := range q.rows {
		if len(rows) == maxWords {
			q.wake()

			break
		}
		rows = append(rows, chutefeed.Row{Key: key, Value: value})
		delete(q.rows, key)
	}

	return rows
}

// heardWords are the rows that this node has told or heard.
type heardWords struct {
	mu   sync.Mutex
	sums map[string]uint64
}

// isNews notes a row and says whether it is new here.
func (w *heardWords) isNews(row chutefeed.Row) bool {
	sum := xxhash.Sum64(row.Value)
	w.mu.Lock()
	defer w.mu.Unlock()

	if known, ok := w.sums[row.Key]; ok && known == sum {
		return false
	}
	if w.sums == nil || len(w.sums) >= maxHeard {
		// Forgotten words are passed on once more at most.
		w.sums = map[string]uint64{}
	}
	w.sums[row.Key] = sum

	return true
}
