package chutegate

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chutecore"
	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chutequarantine"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteshare"
)

// quarantineJudgement returns a judgement that quarantines a request.
func quarantineJudgement(fingerprint string) chutequarantine.Judgement {
	return chutequarantine.Judgement{
		Suspect: chutequarantine.Suspect{Fingerprint: fingerprint, Workspace: "team"}, Verdict: chutequarantine.VerdictQuarantined,
	}
}

// tellJudgement makes a node report a judgement.
func (region *testRegion) tellJudgement(node, fingerprint string) {
	region.nodes[node].performQuarantineEffect(chuterelay.AnnounceJudgement{Judgement: quarantineJudgement(fingerprint)})
}

// expectQuarantined waits until all nodes have quarantined a request, with the exception of the
// first node named in except.
func (region *testRegion) expectQuarantined(fingerprint string, except ...string) {
	for name, n := range region.nodes {
		if len(except) > 0 && name == except[0] {
			continue
		}
		waitUntil(func() bool {
			held := false
			n.Query(func(s chutecore.State) { _, held = s.Relay().Quarantine().QuarantinedUntil(fingerprint) })

			return held
		})
	}
}

// waitUntil waits until done returns true because of what other goroutines do.
func waitUntil(done func() bool) {
	for !done() {
		time.Sleep(5 * time.Millisecond)
	}
}

// isStored reports whether the store has the judgement.
func (region *testRegion) isStored(fingerprint string) bool {
	region.store.mu.Lock()
	defer region.store.mu.Unlock()
	_, ok := region.store.rows["quarantine"][chutequarantine.JudgementPrefix+fingerprint]

	return ok
}

func TestQuarantineSpreads(t *testing.T) {
	region := newTestRegion(t, testNodesPerZone)
	region.expectConfig(1)
	teller := region.peers[testNodesPerZone].Name

	t.Run("all nodes receive a judgement, and the store keeps it", func(*testing.T) {
		region.tellJudgement(teller, "a")
		region.expectQuarantined("a", teller)
		waitUntil(func() bool { return region.isStored("a") })
	})

	t.Run("nodes receive it while the store is unavailable, and the store once it is back", func(*testing.T) {
		// While the store is unavailable, gossip is the only way.
		for _, p := range region.peers {
			region.store.setUnavailable(p.Name, true)
		}
		region.tellJudgement(teller, "b")
		region.expectQuarantined("b", teller)
		region.Assert(region.isStored("b"), qt.IsFalse)
		for _, p := range region.peers {
			region.store.setUnavailable(p.Name, false)
		}
		waitUntil(func() bool { return region.isStored("b") })
	})

	t.Run("gossip lost while the store is unavailable is repeated", func(*testing.T) {
		// The calls to all peers fail at first, as on a machine that is stalled.
		for _, p := range region.peers {
			region.store.setUnavailable(p.Name, true)
		}
		n := region.nodes[teller]
		listed := n.nodes.Swap(&[]chuterelay.Peer{})
		before := n.storeCalls[callQuarantine].Load()
		region.tellJudgement(teller, "c")
		waitUntil(func() bool { return n.storeCalls[callQuarantine].Load() > before })
		n.nodes.Store(listed)
		region.expectQuarantined("c", teller)
		for _, p := range region.peers {
			region.store.setUnavailable(p.Name, false)
		}
		waitUntil(func() bool { return region.isStored("c") })
	})

	t.Run("a node that starts later knows the judgements", func(t *testing.T) {
		// All nodes that knew of the judgement may be gone by then; only the store has it.
		for name := range region.nodes {
			region.kill(name)
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		region.Assert(err, qt.IsNil)
		region.start(t, chuterelay.Peer{Name: "late", Zone: "z0", Region: "r", Address: l.Addr().String(), Power: 1}, l)
		region.expectQuarantined("a")
		region.expectQuarantined("b")
	})
}

func TestReceiveReports(t *testing.T) {
	c := qt.New(t)
	var log strings.Builder
	n := New(Settings{Tables: Tables{Quarantine: "q"}}, clockwork.NewFakeClock(), zerolog.New(&log), Store{}, Decoders{}, Upstreams{})
	rows := []chutefeed.Row{
		{Key: chutequarantine.CrashPrefix + "1", Value: []byte(`{"Upstream":"u","Suspects":[{"Fingerprint":"f"}]}`)},
		{Key: chutequarantine.CrashPrefix + "2", Value: []byte(`{`)},
		{Key: chutequarantine.JudgementPrefix + "f", Value: []byte(`{"Fingerprint":"f","Verdict":"Quarantined"}`)},
		{Key: "other", Value: []byte(`{}`)},
	}

	t.Run("rows that can't be decoded are logged and left out", func(*testing.T) {
		n.receiveReports(chuteshare.Announcement{Table: "q", Rows: rows})
		heard := (<-n.messages).relayEvent.(chuterelay.QuarantineAnnounced)
		c.Assert(heard.Crashes, qt.HasLen, 1)
		c.Assert(heard.Judgements, qt.HasLen, 1)
		c.Assert(log.String(), qt.Contains, chutequarantine.CrashPrefix+"2")
	})

	t.Run("rows received again or of another table are ignored", func(*testing.T) {
		n.receiveReports(chuteshare.Announcement{Table: "q", Rows: rows})
		n.receiveReports(chuteshare.Announcement{Table: "p", Rows: []chutefeed.Row{{Key: chutequarantine.JudgementPrefix + "g", Value: []byte(`{"Fingerprint":"g"}`)}}})
		c.Assert(n.messages, qt.HasLen, 0)
	})
}

func TestReportQueue(t *testing.T) {
	row := func(i int) chutefeed.Row {
		return chutefeed.Row{Key: fmt.Sprint("k", i), Value: []byte{byte(i)}}
	}

	t.Run("it is bounded, and newer rows replace older ones", func(t *testing.T) {
		c := qt.New(t)
		q := newReportQueue()
		for i := range maxQueuedReports {
			c.Assert(q.add(row(i)), qt.IsTrue)
		}
		c.Assert(q.add(row(maxQueuedReports)), qt.IsFalse)
		c.Assert(q.add(row(0)), qt.IsTrue)
	})

	t.Run("rows that could not be written are queued again, unless there are newer ones", func(t *testing.T) {
		c := qt.New(t)
		q := newReportQueue()
		q.add(row(1))
		taken := q.takeBatch()
		newer := chutefeed.Row{Key: "k1", Value: []byte("newer")}
		q.add(newer)
		q.requeue(taken)
		c.Assert(q.takeBatch(), qt.DeepEquals, []chutefeed.Row{newer})
	})

	t.Run("rows beyond one batch are ready at once", func(t *testing.T) {
		c := qt.New(t)
		q := newReportQueue()
		for i := range maxReportsPerBatch + 1 {
			q.add(row(i))
		}
		<-q.ready
		c.Assert(q.takeBatch(), qt.HasLen, maxReportsPerBatch)
		<-q.ready
		c.Assert(q.takeBatch(), qt.HasLen, 1)
	})
}

func TestRowsToPurge(t *testing.T) {
	now := time.Unix(1000, 0)
	crash := func(i int) chutefeed.Row {
		return chutefeed.Row{Key: fmt.Sprint(chutequarantine.CrashPrefix, i), Version: uint64(i + 1)} //nolint:gosec // a small count
	}

	t.Run("expired rows are removed", func(t *testing.T) {
		c := qt.New(t)
		firstSeen := map[string]time.Time{}
		table := chutefeed.NewTable([]chutefeed.Row{crash(0), {Key: chutequarantine.JudgementPrefix + "f"}}, 5)
		c.Assert(rowsToPurge(table, firstSeen, now), qt.HasLen, 0)
		c.Assert(rowsToPurge(table, firstSeen, now.Add(chutequarantine.TTL-1)), qt.HasLen, 0)
		c.Assert(rowsToPurge(table, firstSeen, now.Add(chutequarantine.TTL)), qt.HasLen, 2)
		c.Assert(rowsToPurge(chutefeed.NewTable(nil, 6), firstSeen, now), qt.HasLen, 0)
		c.Assert(firstSeen, qt.HasLen, 0)
	})

	t.Run("if there are too many rows, the oldest crashes are removed, but no judgement", func(t *testing.T) {
		c := qt.New(t)
		rows := []chutefeed.Row{{Key: chutequarantine.JudgementPrefix + "f"}}
		for i := range maxQuarantineRows + 1 {
			rows = append(rows, crash(i))
		}
		old := rowsToPurge(chutefeed.NewTable(rows, 5), map[string]time.Time{}, now)
		c.Assert(old, qt.ContentEquals, []string{crash(0).Key, crash(1).Key})
	})
}
