package chuteclaim

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/internal/chutetable"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fault is what becomes of one call to the fake table.
type fault string

const (
	noFault fault = "None"
	// dropAnswer: the write takes effect at once, its answer is lost.
	dropAnswer fault = "DropAnswer"
	// late: the write is under way until arrive, its answer is lost.
	late fault = "Late"
	// lost: the call never reaches the table, and nobody knows.
	lost fault = "Lost"
	// refused: the table says that it wrote nothing.
	refused fault = "Refused"
	// crossed: the write takes effect, but the answer is that to another's write of the row.
	crossed fault = "Crossed"
)

var errLost = errors.New("no answer")

// fakeTable keeps to docs/PROTOCOLS.md, and to the faults of the calls to come.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]chutetable.Row
	version uint64
	faults  []fault
	// outage is the fault of all calls when faults is used up.
	outage   fault
	underWay []chutetable.Transaction
	calls    []string
}

func newFakeTable(faults ...fault) *fakeTable {
	return &fakeTable{rows: map[string]chutetable.Row{}, faults: faults, outage: noFault}
}

func (t *fakeTable) nextFault(step string) fault {
	t.calls = append(t.calls, step)
	if len(t.faults) == 0 {
		return t.outage
	}
	f := t.faults[0]
	t.faults = t.faults[1:]
	return f
}

func (t *fakeTable) Transact(_ context.Context, step string, tx chutetable.Transaction) (chutetable.Reply, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch t.nextFault(step) {
	case refused:
		return chutetable.Reply{}, chutetable.ErrNotWritten
	case lost:
		return chutetable.Reply{}, chutetable.ErrOutcomeUnknown
	case late:
		t.underWay = append(t.underWay, tx)
		return chutetable.Reply{}, chutetable.ErrOutcomeUnknown
	case dropAnswer:
		t.apply(tx)
		return chutetable.Reply{}, chutetable.ErrOutcomeUnknown
	case crossed:
		t.apply(tx)
		row := chutetable.Row{Key: tx.Writes[0].Key, Version: t.version + 1, Value: claimedBy("another")}
		return chutetable.Reply{Committed: true, Rows: []chutetable.Row{row}}, nil
	}
	return t.apply(tx), nil
}

func (t *fakeTable) Read(_ context.Context, step string, keys ...string) ([]chutetable.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.nextFault(step) != noFault {
		return nil, errLost
	}
	var rows []chutetable.Row
	for _, key := range keys {
		if row, ok := t.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// apply does the transaction; like a real table it may reformat the value.
func (t *fakeTable) apply(tx chutetable.Transaction) chutetable.Reply {
	var reply chutetable.Reply
	for _, condition := range tx.Conditions {
		if row := t.rows[condition.Key]; row.Version != condition.Version {
			if row.Version != 0 {
				reply.Rows = append(reply.Rows, row)
			}
			return reply
		}
	}
	for _, w := range tx.Writes {
		t.version++
		var value bytes.Buffer
		json.HTMLEscape(&value, w.Value)
		t.rows[w.Key] = chutetable.Row{Key: w.Key, Value: value.Bytes(), Version: t.version}
		reply.Rows = append(reply.Rows, t.rows[w.Key])
	}
	reply.Committed = true
	return reply
}

// arrive lets the n-th write that is under way take effect, if its conditions still hold.
func (t *fakeTable) arrive(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tx := t.underWay[n]
	t.underWay = append(t.underWay[:n:n], t.underWay[n+1:]...)
	t.apply(tx)
}

// set changes the fault of all further calls.
func (t *fakeTable) set(outage fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outage = outage
}

func claimedBy(token string) json.RawMessage {
	record := Record{Token: token, State: StateClaimed, At: testTime, ExpiresAt: testTime.Add(DefaultRetention)}
	value, _ := record.encode()
	return value
}

var testTime = time.Date(2026, 9, 1, 8, 0, 0, 0, time.UTC)

func newFakeClock() *clockwork.FakeClock {
	return clockwork.NewFakeClockAt(testTime)
}

var testKey = chuterequest.Key{Workspace: "registry", RequestID: "enrolment-1"}

// newClaimer returns a claimer over the table whose background ends with the test.
func newClaimer(c *quicktest.C, table *fakeTable, clock clockwork.Clock, ask func(context.Context, Record) (Word, error)) *Claimer {
	seams := Seams{Transact: table.Transact, Read: table.Read, AskOwner: ask}
	cfg := Settings{MaxResultBytes: 100, MaxUnsealed: 1, FirstRetry: time.Microsecond}
	claimer := New(cfg, seams, clock, zerolog.Nop())
	c.Cleanup(func() {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		claimer.Close(ended)
	})
	return claimer
}

// bounded returns a context that fails a test instead of letting it hang.
func bounded(c *quicktest.C) context.Context {
	ctx, cancel := context.WithTimeout(c.Context(), 10*time.Second)
	c.Cleanup(cancel)
	return ctx
}

func expectVerdict(c *quicktest.C, got Taking, want Verdict) {
	c.Helper()
	c.Assert(got.Verdict, quicktest.Equals, want, quicktest.Commentf("error: %v, holder: %+v", got.Err, got.Holder))
	c.Assert(errors.Is(got.Err, ErrNotTaken), quicktest.Equals, want == VerdictNotTaken)
}

func expectRow(c *quicktest.C, table *fakeTable, token string, state State) {
	c.Helper()
	table.mu.Lock()
	defer table.mu.Unlock()
	record, err := decode(table.rows[RowKey(testKey)].Value)
	c.Assert(err, quicktest.IsNil)
	c.Assert(record.State, quicktest.Equals, state)
	if token != "" {
		c.Assert(record.Token, quicktest.Equals, token)
	}
}
