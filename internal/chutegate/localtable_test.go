package chutegate

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteroute"
)

// normalizeTestValue removes what follows a vertical bar, where these tests have the value that a
// heartbeat changes.
func normalizeTestValue(value []byte) []byte {
	before, _, _ := bytes.Cut(value, []byte("|"))

	return before
}

func newTestTable() *localTable {
	local := newLocalTable("t", minStaleAfter, time.Now)
	local.normalizeValue = normalizeTestValue

	return local
}

func newPage(version uint64, rows ...Row) Page {
	return Page{Version: version, Rows: rows}
}

func TestWatch(t *testing.T) {
	t.Run("heartbeats are not sent to followers", func(t *testing.T) {
		// Thousands of upstreams write their rows each second. Sent on to followers, these would be
		// thousands of rows a second to every node.
		c := qt.New(t)
		local := newTestTable()
		c.Assert(local.replaceAll(newPage(1, Row{Key: "u", Value: []byte("ready|1"), Version: 1})), qt.IsTrue)
		before := local.stateForFollowers(time.Unix(0, 0))
		c.Assert(local.mergeChanges(newPage(2, Row{Key: "u", Value: []byte("ready|2"), Version: 2})), qt.IsFalse)
		c.Assert(local.stateForFollowers(time.Unix(0, 0)).Changed, qt.Equals, before.Changed)
		c.Assert(local.stateForFollowers(time.Unix(0, 0)).Table.Version(), qt.Equals, uint64(2))
		c.Assert(local.mergeChanges(newPage(3, Row{Key: "u", Value: []byte("leaving|3"), Version: 3})), qt.IsTrue)
		<-before.Changed
	})

	t.Run("an older table is not applied", func(t *testing.T) {
		c := qt.New(t)
		local := newTestTable()
		local.replaceAll(newPage(5, Row{Key: "u", Value: []byte("leaving|1"), Version: 5}))
		c.Assert(local.replaceAll(newPage(4, Row{Key: "u", Value: []byte("ready|1"), Version: 3})), qt.IsFalse)
		row, _ := local.snapshot().Get("u")
		c.Assert(string(row.Value), qt.Equals, "leaving")
	})

	t.Run("of several changes of a row only the last one is applied", func(t *testing.T) {
		// Keys are revoked in quick succession while a node reads nothing. Its next read returns
		// each configuration of that time. When the node put the first of them in force, callers
		// with revoked keys were served for four seconds.
		c := qt.New(t)
		local := newTestTable()
		local.replaceAll(newPage(1, Row{Key: "c", Value: []byte("1"), Version: 1}, Row{Key: "u", Value: []byte("ready"), Version: 1}))
		local.mergeChanges(newPage(
			9,
			Row{Key: "c", Value: []byte("2"), Version: 2}, Row{Key: "v", Value: []byte("ready"), Version: 3},
			Row{Key: "u", Version: 4, Deleted: true}, Row{Key: "c", Value: []byte("3"), Version: 5},
			Row{Key: "v", Version: 6, Deleted: true}, Row{Key: "u", Value: []byte("ready"), Version: 7},
		))
		rows := local.snapshot().Rows()
		c.Assert(rows, qt.HasLen, 2)
		c.Assert(string(rows[0].Value), qt.Equals, "3")
		c.Assert(rows[1].Key, qt.Equals, "u")
	})

	t.Run("a deleted row is removed", func(t *testing.T) {
		c := qt.New(t)
		local := newTestTable()
		local.replaceAll(newPage(5, Row{Key: "u", Value: []byte("ready"), Version: 5}))
		c.Assert(local.mergeChanges(newPage(6, Row{Key: "u", Version: 6, Deleted: true})), qt.IsTrue)
		c.Assert(local.snapshot().Len(), qt.Equals, 0)
	})

	t.Run("followers are told at once that a node is out of date", func(t *testing.T) {
		// The source of all nodes has lost the store. As long as it reports that it is current, its
		// followers do not ask the store themselves.
		c := qt.New(t)
		local := newTestTable()
		local.replaceAll(newPage(1))
		local.confirmAt(time.Unix(0, 0))
		local.setCurrent(true, time.Time{})
		before := local.stateForFollowers(time.Unix(0, 0))
		c.Assert(before.Current, qt.IsTrue)
		local.setCurrent(false, time.Time{})
		<-before.Changed
		c.Assert(local.stateForFollowers(time.Unix(0, 0)).Current, qt.IsFalse)
	})

	t.Run("a table whose history was dropped is not passed on as current", func(t *testing.T) {
		c := qt.New(t)
		local := newTestTable()
		local.replaceAll(newPage(1))
		local.confirmAt(time.Unix(0, 0))
		local.setCurrent(true, time.Time{})
		local.requireFullRead()
		c.Assert(local.stateForFollowers(time.Unix(0, 0)).Current, qt.IsFalse)
	})
}

// newTestNode returns a node that is not started, and its log.
func newTestNode(decode Decoders) (*Node, *bytes.Buffer) {
	var log bytes.Buffer
	n := New(Settings{Self: chuterelay.Peer{Name: "n0", Zone: "z"}, Tables: Tables{Upstreams: "u", Config: "c", Peers: "p"}},
		clockwork.NewFakeClock(), zerolog.New(&log), Store{}, decode, Upstreams{})

	return n, &log
}

func newUpstreams(n int, state chutefleet.State) []chutefleet.Upstream {
	all := make([]chutefleet.Upstream, 0, n)
	for i := range n {
		all = append(all, chutefleet.Upstream{ID: fmt.Sprint("u", i), Name: fmt.Sprint("u", i), Pool: "p", State: state})
	}

	return all
}

func TestLogUpstreamChanges(t *testing.T) {
	// A node that starts finds all upstreams at once, and a failure takes many of them away. One
	// line each, from every node, would hide what on-call looks for.
	lines := func(before, after []chutefleet.Upstream) []string {
		n, log := newTestNode(Decoders{})
		n.upstreamsLoaded.Store(len(before) > 0)
		n.logUpstreamChanges(before, after, len(after))

		return strings.Split(strings.TrimSpace(log.String()), "\n")
	}

	t.Run("3,000 upstreams at a start are counted in one line", func(t *testing.T) {
		c := qt.New(t)
		got := lines(nil, newUpstreams(3000, chutefleet.StateReady))
		c.Assert(got, qt.HasLen, 1)
		c.Assert(got[0], qt.Contains, `"Upstreams":3000,"Joined":3000`)
	})

	t.Run("1,500 upstreams that disappear at once are one line", func(t *testing.T) {
		c := qt.New(t)
		got := lines(newUpstreams(3000, chutefleet.StateReady), newUpstreams(1500, chutefleet.StateReady))
		c.Assert(got, qt.HasLen, 1)
		c.Assert(got[0], qt.Contains, `"Gone":1500`)
	})

	t.Run("one upstream that is leaving has a line of its own", func(t *testing.T) {
		c := qt.New(t)
		after := newUpstreams(3000, chutefleet.StateReady)
		after[7].State = chutefleet.StateLeaving
		got := lines(newUpstreams(3000, chutefleet.StateReady), after)
		c.Assert(got, qt.HasLen, 1)
		c.Assert(got[0], qt.Contains, `"Upstream":"u7"`)
	})
}

func TestDecodeUpstreams(t *testing.T) {
	t.Run("only the changed entries of a long list are decoded", func(t *testing.T) {
		c := qt.New(t)
		decodeCalls := 0
		n, _ := newTestNode(Decoders{Upstream: func(key string, value []byte) (chutefleet.Upstream, error) {
			decodeCalls++

			return chutefleet.Upstream{ID: key, Name: key, State: chutefleet.State(value)}, nil
		}})
		rows := make([]chutefeed.Row, 0, 3000)
		for i := range 3000 {
			rows = append(rows, chutefeed.Row{Key: fmt.Sprint("u", i), Value: []byte("ready")})
		}
		local := n.localTables["u"]
		list := &upstreamList{node: n, local: local, decoded: map[string]decodedEntry{}, guard: newVersionGuard()}
		local.apply(chutefeed.Change{Version: 1, Whole: true, Rows: rows})
		list.update()
		c.Assert(nextChange(c, n).Entries, qt.HasLen, 3000)
		decodeCalls = 0
		local.apply(chutefeed.Change{Version: 2, Rows: []chutefeed.Row{{Key: "u3", Value: []byte("leaving")}}, DeletedKeys: []string{"u4"}})
		list.update()
		change := nextChange(c, n)
		c.Assert(change.Entries, qt.HasLen, 1)
		c.Assert(change.Gone, qt.DeepEquals, []string{"u4"})
		c.Assert(decodeCalls, qt.Equals, 1)
		c.Assert(list.decoded, qt.HasLen, 2999)
	})
}

// Guards against changes that are lost between a whole table and single rows.
func TestUpstreamListFollowsTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, _ := newTestNode(testDecoders())
		local := n.localTables["u"]
		list := &upstreamList{node: n, local: local, decoded: map[string]decodedEntry{}, guard: newVersionGuard()}
		for version := range uint64(rapid.IntRange(1, 30).Draw(t, "changes")) {
			local.apply(drawChange(t, version+1))
			if rapid.Bool().Draw(t, "update") {
				list.update()
			}
		}
		list.update()
		known, table := knownStates(n), local.snapshot()
		if len(known) != table.Len() {
			t.Fatalf("%v are known, the table has %d", known, table.Len())
		}
		for _, row := range table.Rows() {
			if string(known[row.Key]) != string(row.Value) {
				t.Fatalf("%s is known as %s, the table has %s", row.Key, known[row.Key], row.Value)
			}
		}
	})
}

// drawChange returns a change of a few rows, or a whole table.
func drawChange(t *rapid.T, version uint64) chutefeed.Change {
	change := chutefeed.Change{Version: version, Whole: rapid.IntRange(0, 4).Draw(t, "whole") == 0}
	for range rapid.IntRange(1, 4).Draw(t, "rows") {
		key := fmt.Sprint("u", rapid.IntRange(0, 6).Draw(t, "key"))
		if !change.Whole && rapid.Bool().Draw(t, "deleted") {
			change.DeletedKeys = append(change.DeletedKeys, key)

			continue
		}
		change.DeletedKeys = slices.DeleteFunc(change.DeletedKeys, func(deleted string) bool { return deleted == key })
		state := rapid.SampledFrom([]string{"Ready", "Leaving"}).Draw(t, "state")
		change.Rows = append(change.Rows, chutefeed.Row{Key: key, Value: []byte(state), Version: version})
	}

	return change
}

// knownStates returns the states of the upstreams by the changes that were sent to the event loop.
func knownStates(n *Node) map[string]chutefleet.State {
	known := map[string]chutefleet.State{}
	for len(n.messages) > 0 {
		change, ok := (<-n.messages).relayEvent.(chuterelay.UpstreamsChanged)
		if !ok {
			continue
		}
		for _, u := range change.Entries {
			known[u.Name] = u.State
		}
		for _, name := range change.Gone {
			delete(known, name)
		}
	}

	return known
}

// nextChange returns the next change of the list that is sent to the event loop.
func nextChange(c *qt.C, n *Node) chuterelay.UpstreamsChanged {
	c.Helper()
	change, ok := (<-n.messages).relayEvent.(chuterelay.UpstreamsChanged)
	c.Assert(ok, qt.IsTrue)

	return change
}

func TestLedgerWritesSpread(t *testing.T) {
	t.Run("400 nodes spread their writes over time and over all partitions", func(t *testing.T) {
		// Nodes that started together also wrote together, into one partition, which runs 200
		// transactions a second: half of the writes were refused with 429.
		c := qt.New(t)
		const nodes = 400
		seconds := map[string]int{}
		parts := map[string]int{}
		for i := range nodes {
			part := ledgerPartition(fmt.Sprint("edge-", i))
			parts[part]++
			at := firstFlushDelay(uint64(i) * 0x9e3779b97f4a7c15)
			c.Assert(at < ledgerFlushInterval, qt.IsTrue)
			seconds[fmt.Sprint(part, at.Truncate(time.Second))]++
		}
		c.Assert(parts, qt.HasLen, ledgerPartitions)
		for at, n := range seconds {
			c.Assert(n <= 10, qt.IsTrue, qt.Commentf("%d writes of a partition in one second: %s", n, at))
		}
	})
}

// Guards against a node that takes an answer of the store for the newest state although it is older
// than the node's table, and tells its followers that the table is up to date.
func TestOldAnswerConfirmsNothing(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	answer := newPage(5, Row{Key: "c", Value: []byte("2"), Version: 5})
	n := New(Settings{Tables: testTables}, clock, zerolog.Nop(), Store{
		ReadAll:      func(context.Context, string) (Page, error) { return answer, nil },
		AwaitChanges: func(context.Context, string, uint64, time.Duration) (Page, error) { return answer, nil },
	}, testDecoders(), Upstreams{})
	local := n.localTables[testTables.Config]
	read := func() error {
		_, err := n.readStore(context.Background(), local, 0, callRead)

		return err
	}
	c.Assert(read(), qt.IsNil)
	clock.Advance(time.Second)
	answer = newPage(4, Row{Key: "c", Value: []byte("1"), Version: 4})
	c.Assert(read(), qt.Equals, errStaleAnswer)
	local.requireFullRead()
	c.Assert(read(), qt.Equals, errStaleAnswer)
	age, known := local.age(n.Now())
	c.Assert(known, qt.IsTrue)
	c.Assert(age, qt.Equals, time.Second)
	c.Assert(local.stateForFollowers(n.Now()).Age, qt.Equals, time.Second)
}

// Guards against a node whose configuration may not be the newest one, and which refuses an unknown
// pipeline or key in a way that callers do not retry.
func TestStaleConfigurationRefusesNobodyForGood(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := New(Settings{Tables: testTables, MaxConfigDelay: 3 * time.Second}, clock, zerolog.Nop(), Store{}, testDecoders(), Upstreams{})
	n.config.Store(&chuteroute.Config{Version: 1})
	n.upstreamsLoaded.Store(true)
	clock.Advance(startupWait)

	t.Run("the configuration was never known to be the newest", func(t *testing.T) {
		qt.Assert(t, refusalOfUnknown(n).Kind, qt.Equals, chuterelay.RefusedNotRun)
	})

	n.localTables[testTables.Config].confirmAt(n.Now())
	clock.Advance(3 * time.Second)

	t.Run("a change within the bound may be missing", func(t *testing.T) {
		qt.Assert(t, refusalOfUnknown(n).Kind, qt.Equals, chuterelay.RefusedNoPipeline)
	})

	clock.Advance(time.Millisecond)

	t.Run("a change that should be in force may be missing", func(t *testing.T) {
		c := qt.New(t)
		r := refusalOfUnknown(n)
		c.Assert(r.Kind, qt.Equals, chuterelay.RefusedNotRun)
		c.Assert(r.RetryAfter > 0, qt.IsTrue)
	})
}
