package chutetable

import (
	"context"
	"encoding/json"
	"errors"
	"runtime"
	"strconv"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// fakeTable is a table in memory that holds each call until it is let through.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]Row
	version uint64
	calls   [][]string
	err     error
	arrived chan struct{}
	through chan struct{}
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]Row{}, arrived: make(chan struct{}, 100), through: make(chan struct{}, 100)}
}

func (f *fakeTable) transact(_ context.Context, _ string, tx Transaction) (Reply, error) {
	f.arrived <- struct{}{}
	<-f.through
	f.mu.Lock()
	defer f.mu.Unlock()
	var keys []string
	for _, w := range tx.Writes {
		keys = append(keys, w.Key)
	}
	f.calls = append(f.calls, keys)
	if f.err != nil {
		return Reply{}, f.err
	}
	var failed []Row
	refused := false
	for _, c := range tx.Conditions {
		row, present := f.rows[c.Key]
		if row.Version != c.Version {
			refused = true
			if present {
				failed = append(failed, row)
			}
		}
	}
	if refused {
		return Reply{Rows: failed}, nil
	}
	reply := Reply{Committed: true}
	for _, w := range tx.Writes {
		f.version++
		f.rows[w.Key] = Row{Key: w.Key, Value: w.Value, Version: f.version}
		reply.Rows = append(reply.Rows, f.rows[w.Key])
	}

	return reply, nil
}

func insert(key string) Transaction {
	return Transaction{Conditions: []Condition{{Key: key}}, Writes: []Write{{Key: key, Value: json.RawMessage(`"` + key + `"`)}}}
}

// batch sends a first transaction and, while it is under way, the others; it returns the ends in this order.
func (f *fakeTable) batch(t *testing.T, b *Batcher, txs ...Transaction) ([]Reply, []error) {
	t.Helper()
	replies, errs := make([]Reply, len(txs)), make([]error, len(txs))
	var all sync.WaitGroup
	for i, tx := range txs {
		all.Go(func() { replies[i], errs[i] = b.Do(t.Context(), "step", tx) })
		if i == 0 {
			<-f.arrived
		}
	}
	for b.queued() < len(txs)-1 {
		runtime.Gosched()
	}
	for range 100 {
		select {
		case f.through <- struct{}{}:
		default:
		}
	}
	all.Wait()

	return replies, errs
}

func (b *Batcher) queued() int {
	b.mu.Lock()
	defer b.mu.Unlock()

	return len(b.waiting)
}

func TestBatcherSendsTogetherWhatComesMeanwhile(t *testing.T) {
	f := newFakeTable()
	b := &Batcher{Transact: f.transact}
	var txs []Transaction
	for i := range 6 {
		txs = append(txs, insert(strconv.Itoa(i)))
	}
	replies, errs := f.batch(t, b, txs...)
	for i := range txs {
		qt.Assert(t, errs[i], qt.IsNil)
		qt.Assert(t, replies[i].Committed, qt.IsTrue)
		qt.Assert(t, replies[i].Rows, qt.DeepEquals, []Row{f.rows[strconv.Itoa(i)]})
	}
	qt.Assert(t, f.calls, qt.HasLen, 2)
	qt.Assert(t, f.calls[1], qt.HasLen, 5)
}

// One of a batch's enrolments was claimed elsewhere, so the table refuses the
// whole. That one must hear of the other's row, and the rest must get their claims.
func TestBatcherSendsOthersWithoutTheRefused(t *testing.T) {
	f := newFakeTable()
	f.rows["taken"] = Row{Key: "taken", Version: 7}
	f.version = 7
	replies, errs := f.batch(t, &Batcher{Transact: f.transact}, insert("first"), insert("a"), insert("taken"), insert("b"))
	for i, committed := range []bool{true, true, false, true} {
		qt.Assert(t, errs[i], qt.IsNil)
		qt.Assert(t, replies[i].Committed, qt.Equals, committed)
	}
	qt.Assert(t, replies[2].Rows, qt.DeepEquals, []Row{{Key: "taken", Version: 7}})
}

// A condition on a row that is gone: the refusal shows no row, so nothing tells
// whose fault it was, and each is sent alone.
func TestBatcherSendsEachAloneAfterAGoneRow(t *testing.T) {
	f := newFakeTable()
	gone := Transaction{Conditions: []Condition{{Key: "gone", Version: 3}}, Writes: []Write{{Key: "gone"}}}
	replies, _ := f.batch(t, &Batcher{Transact: f.transact}, insert("first"), insert("a"), gone, insert("b"))
	for i, committed := range []bool{true, true, false, true} {
		qt.Assert(t, replies[i].Committed, qt.Equals, committed)
	}
}

// Two sendings of one request meet in a batch. Their conditions contradict each
// other, so the second has to wait for the next batch.
func TestBatcherKeepsEqualKeysApart(t *testing.T) {
	f := newFakeTable()
	replies, _ := f.batch(t, &Batcher{Transact: f.transact}, insert("first"), insert("same"), insert("same"))
	qt.Assert(t, replies[1].Committed != replies[2].Committed, qt.IsTrue)
}

// The answer of a batch is lost: each of its claims must hear that its outcome is
// unknown and read back, for any of them may stand.
func TestBatcherPassesAnUnknownOutcomeToEach(t *testing.T) {
	f := newFakeTable()
	f.err = ErrOutcomeUnknown
	_, errs := f.batch(t, &Batcher{Transact: f.transact}, insert("first"), insert("a"), insert("b"))
	for _, err := range errs {
		qt.Assert(t, errors.Is(err, ErrOutcomeUnknown), qt.IsTrue)
	}
}

// A caller gives up while its claim waits behind a slow write. It hears that
// nothing was written, so the claim must never go out.
func TestBatcherDropsWhatItsCallerGaveUp(t *testing.T) {
	f := newFakeTable()
	b := &Batcher{Transact: f.transact}
	var first sync.WaitGroup
	first.Go(func() { _, _ = b.Do(t.Context(), "step", insert("first")) })
	<-f.arrived
	ctx, cancel := context.WithCancel(t.Context())
	var second sync.WaitGroup
	second.Go(func() {
		_, err := b.Do(ctx, "step", insert("second"))
		qt.Check(t, errors.Is(err, ErrNotWritten), qt.IsTrue)
	})
	for b.queued() < 1 {
		runtime.Gosched()
	}
	cancel()
	second.Wait()
	f.through <- struct{}{}
	first.Wait()
	qt.Assert(t, f.calls, qt.DeepEquals, [][]string{{"first"}})
}
