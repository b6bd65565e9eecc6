package chuteledger_test

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"azurechute.example/azurechute/internal/chuteledger"
	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func newLedger(incarnation string) chuteledger.Ledger {
	return chuteledger.New(chuteledger.Settings{Incarnation: incarnation, Shards: 3, FlushPeriod: time.Second})
}

func charge(n int) chuteledger.Charge {
	return chuteledger.Charge{
		Attempt: chuterequest.NewAttemptID("n1", uint64(n)), Team: "reef", Workspace: fmt.Sprint("w", n%5),
		Pipeline: "advisor", Stage: fmt.Sprint("s", n%2), Usage: chuterequest.Usage{Units: 2}, Cost: 10, Wasted: n%7 == 0,
	}
}

// drawCounters returns counters over few keys, so that two sets overlap.
func drawCounters(t *rapid.T) chuteledger.Counters {
	counters := chuteledger.NewCounters()
	for range rapid.IntRange(0, 6).Draw(t, "counters") {
		n := rapid.IntRange(0, 5).Draw(t, "key")
		names := rapid.SampledFrom([]string{"", "a", `"}\\`, "<é\x00", "b"})
		key := chuteledger.Key{Team: names.Draw(t, "team"), Stage: names.Draw(t, "stage"), Wasted: n == 5}
		small := rapid.Int64Range(0, 4)
		counters = counters.With(key, chuteledger.Count{Calls: small.Draw(t, "calls"), Cost: small.Draw(t, "cost")})
	}

	return counters
}

func encoded(t *rapid.T, counters chuteledger.Counters) string {
	body, err := chuteledger.Encode("n1", counters)
	if err != nil {
		t.Fatal(err)
	}

	return string(body)
}

// Guards against cost that is lost, or counted twice, when the table loses rows.
func TestTableRestored(t *testing.T) {
	c := qt.New(t)
	ledger := chuteledger.New(chuteledger.Settings{Incarnation: "n1", FlushPeriod: time.Second}).WithCharge(charge(1))
	write := func(version uint64) (chuteledger.Row, bool) {
		next, rows, err := ledger.Due(start)
		c.Assert(err, qt.IsNil)
		ledger = next
		if len(rows) == 0 {
			return chuteledger.Row{}, false
		}
		ledger = ledger.WithFlushed(rows[0], version)

		return rows[0], true
	}
	_, written := write(90)
	c.Assert(written, qt.IsTrue)
	_, written = write(91)
	c.Assert(written, qt.IsFalse)

	ledger = ledger.WithTableRestored()
	next, rows, err := ledger.Due(start)
	c.Assert(err, qt.IsNil)
	c.Assert(rows, qt.HasLen, 1)
	ledger, err = next.WithRefused(rows[0], 0, nil)
	c.Assert(err, qt.IsNil)
	row, written := write(31)
	c.Assert(written, qt.IsTrue)
	c.Assert(row.Version, qt.Equals, uint64(0))
	_, counters, err := chuteledger.Decode(row.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(counters.Covers(ledger.Counters()), qt.IsTrue)
	_, written = write(32)
	c.Assert(written, qt.IsFalse)
}

func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawCounters(t), drawCounters(t), drawCounters(t)
		ab := a.Merge(b)
		if encoded(t, ab) != encoded(t, b.Merge(a)) {
			t.Fatal("not commutative")
		}
		if encoded(t, ab.Merge(c)) != encoded(t, a.Merge(b.Merge(c))) {
			t.Fatal("not associative")
		}
		if encoded(t, ab.Merge(b)) != encoded(t, ab) || !ab.Covers(a) || !ab.Covers(b) {
			t.Fatal("not idempotent, or smaller than a part")
		}
		_, decoded, err := chuteledger.Decode(json.RawMessage(encoded(t, ab)))
		if err != nil || encoded(t, decoded) != encoded(t, ab) {
			t.Fatalf("encoding loses counters: %v", err)
		}
	})
}

// table is a fake of the table's rows, with writes that take effect long after they were given up.
type table struct {
	rows    map[string]json.RawMessage
	version map[string]uint64
	last    uint64
	late    []chuteledger.Row
}

func (tb *table) write(row chuteledger.Row) bool {
	if tb.version[row.Key] != row.Version {
		return false
	}
	tb.last++
	tb.version[row.Key], tb.rows[row.Key] = tb.last, row.Body

	return true
}

func (tb *table) cost(t *rapid.T) int64 {
	var rows []json.RawMessage
	for _, row := range tb.rows {
		rows = append(rows, row)
	}
	lines, failed := chuteledger.Totals(rows, "reef")
	if len(failed) > 0 {
		t.Fatal(failed)
	}
	sum := int64(0)
	for _, line := range lines {
		sum += line.Charged.Cost + line.Wasted.Cost
	}

	return sum
}

// flush writes rows with a drawn end for each.
func (tb *table) flush(t *rapid.T, l chuteledger.Ledger, rows []chuteledger.Row, faults bool) chuteledger.Ledger {
	for _, row := range rows {
		end := "answered"
		if faults {
			end = rapid.SampledFrom([]string{"answered", "lost", "late", "down"}).Draw(t, "end")
		}
		switch {
		case end == "late":
			tb.late = append(tb.late, row)
		case end == "down":
		case tb.write(row):
			if end == "answered" {
				l = l.WithFlushed(row, tb.version[row.Key])
			}
		case end == "answered":
			var err error
			if l, err = l.WithRefused(row, tb.version[row.Key], tb.rows[row.Key]); err != nil {
				t.Fatal(err)
			}
		}
	}

	return l
}

func due(t *rapid.T, l chuteledger.Ledger, now time.Time) (chuteledger.Ledger, []chuteledger.Row) {
	l, rows, err := l.Due(now)
	if err != nil {
		t.Fatal(err)
	}

	return l, rows
}

func TestFlushCountsOnce(t *testing.T) {
	// A node charges attempts, some reported twice, and writes its rows; writes fail, lose their answer, or take effect
	// long after, between later ones. Then it dies, and two survivors with its gossip write for it at once. The
	// table's totals never exceed what was charged, never shrink, and end up equal.
	rapid.Check(t, func(t *rapid.T) {
		tb := &table{rows: map[string]json.RawMessage{}, version: map[string]uint64{}}
		l, now, before := newLedger("n1"), start, int64(0)
		charged := map[int]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(400 * time.Millisecond)
			n := rapid.IntRange(0, 30).Draw(t, "attempt")
			l, charged[n] = l.WithCharge(charge(n)), true
			var rows []chuteledger.Row
			l, rows = due(t, l, now)
			l = tb.flush(t, l, rows, true)
			if len(tb.late) > 0 && rapid.Bool().Draw(t, "late") {
				tb.write(tb.late[0])
				tb.late = tb.late[1:]
			}
			cost := tb.cost(t)
			if cost < before || cost > int64(10*len(charged)) {
				t.Fatalf("cost %d after %d with %d charged", cost, before, 10*len(charged))
			}
			before = cost
		}
		survive(t, tb, l, now)
		if cost := tb.cost(t); cost != int64(10*len(charged)) {
			t.Fatalf("cost %d of %d charged", cost, 10*len(charged))
		}
	})
}

func survive(t *rapid.T, tb *table, dead chuteledger.Ledger, now time.Time) {
	gossip, err := dead.Unflushed()
	if err != nil {
		t.Fatal(err)
	}
	survivors := []chuteledger.Ledger{newLedger("n2"), newLedger("n3")}
	for i := range survivors {
		for _, row := range gossip {
			incarnation, counters, err := chuteledger.Decode(row.Body)
			if err != nil {
				t.Fatal(err)
			}
			survivors[i] = survivors[i].WithForeign(incarnation, counters)
		}
	}
	for range 4 {
		for i := range survivors {
			var rows []chuteledger.Row
			now = now.Add(time.Second)
			survivors[i], rows = due(t, survivors[i], now)
			survivors[i] = tb.flush(t, survivors[i], rows, false)
		}
	}
	for _, s := range survivors {
		if s.NeedsFlush(now.Add(time.Hour)) {
			t.Fatal("a survivor still has rows to write")
		}
	}
}

func TestCharge(t *testing.T) {
	c := qt.New(t)

	c.Run("remembers the newest half of its limit", func(c *qt.C) {
		l := chuteledger.New(chuteledger.Settings{Incarnation: "n1", SeenLimit: 20})
		for n := range 100 {
			l = l.WithCharge(charge(n))
			for again := max(0, n-9); again <= n; again++ {
				l = l.WithCharge(charge(again))
			}
		}
		calls := int64(0)
		for _, count := range l.Counters().All() {
			calls += count.Calls
		}
		c.Assert(calls, qt.Equals, int64(100))
	})

	c.Run("changes during a write are written again", func(c *qt.C) {
		l := chuteledger.New(chuteledger.Settings{Incarnation: "n1", FlushPeriod: time.Second}).WithCharge(charge(1))
		l, rows, err := l.Due(start)
		c.Assert(err, qt.IsNil)
		l = l.WithCharge(charge(11)).WithFlushed(rows[0], 5)
		c.Assert(l.NeedsFlush(start), qt.IsFalse)
		c.Assert(l.NeedsFlush(start.Add(time.Second)), qt.IsTrue)
	})

	c.Run("prices by usage, and never a credit", func(c *qt.C) {
		pool := chuteconfig.Pool{UnitPrice: 3, PromptUnitPrice: 2}
		c.Assert(chuteledger.Cost(pool, chuterequest.Usage{Units: 5, PromptUnits: 7, CachedUnits: 100}), qt.Equals, int64(29))
		c.Assert(chuteledger.Cost(pool, chuterequest.Usage{Units: -5}), qt.Equals, int64(0))
		c.Assert(chuteledger.Cost(pool, chuterequest.Usage{Units: math.MaxInt64 / 2}), qt.Equals, int64(math.MaxInt64))
	})

	c.Run("totals keep wasted work beside the charge", func(c *qt.C) {
		l := newLedger("n1").WithCharge(charge(7))
		earlier, err := chuteledger.Encode("n1", l.Counters())
		c.Assert(err, qt.IsNil)
		body, err := chuteledger.Encode("n1", l.WithCharge(charge(1)).Counters())
		c.Assert(err, qt.IsNil)
		lines, failed := chuteledger.Totals([]json.RawMessage{body, earlier, json.RawMessage(`{"Odd":1}`)}, "")
		c.Assert(failed, qt.HasLen, 1)
		c.Assert(lines, qt.DeepEquals, []chuteledger.Line{{
			Team: "reef", Pipeline: "advisor", Stage: "s1",
			Charged: chuteledger.Count{Calls: 1, Units: 2, Cost: 10}, Wasted: chuteledger.Count{Calls: 1, Units: 2, Cost: 10},
		}})
	})
}

func countersOf(workspaces, stages int) chuteledger.Counters {
	counters := chuteledger.NewCounters()
	for n := range workspaces * stages {
		key := chuteledger.Key{
			Team: fmt.Sprint("team-", n%9), Workspace: fmt.Sprint("workspace-", n/stages),
			Pipeline: fmt.Sprint("pipeline-", n/stages%9), Stage: fmt.Sprint("stage-", n%stages),
		}
		counters = counters.With(key, chuteledger.Count{Calls: 1000, Units: 250000, PromptUnits: 900000, CachedUnits: 400000, Cost: 7500000})
	}

	return counters
}

func BenchmarkMerge(b *testing.B) {
	for _, workspaces := range []int{37, 3700, 37000} {
		counters := countersOf(workspaces, 4)
		part := countersOf(max(workspaces/100, 1), 4)
		newer := chuteledger.NewCounters()
		for key, count := range part.All() {
			newer = newer.With(key, count.Plus(count))
		}
		b.Run(fmt.Sprint(counters.Len(), " with ", newer.Len(), " changed"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				counters.Merge(newer)
			}
		})
	}
}

func BenchmarkEncode(b *testing.B) {
	for _, workspaces := range []int{37, 3700, 37000} {
		counters := countersOf(workspaces, 4)
		b.Run(fmt.Sprint(counters.Len()), func(b *testing.B) {
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				body, err := chuteledger.Encode("incarnation", counters)
				if err != nil {
					b.Fatal(err)
				}
				size = len(body)
			}
			b.ReportMetric(float64(size)/float64(counters.Len()), "B/counter")
		})
	}
}

func BenchmarkCharge(b *testing.B) {
	l := newLedger("n1")
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		c := charge(n)
		c.Workspace = fmt.Sprint("w", n%37000)
		l = l.WithCharge(c)
	}
}
