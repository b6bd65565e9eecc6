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
)

// verdict is a judgement that sets a request aside.
func verdict(fingerprint string) chutequarantine.Judgement {
	return chutequarantine.Judgement{
		Suspect: chutequarantine.Suspect{Fingerprint: fingerprint, Workspace: "team"}, Verdict: chutequarantine.VerdictQuarantined,
	}
}

// judges has a node tell a verdict.
func (z *zone) judges(node, fingerprint string) {
	z.nodes[node].performQuarantine(chuterelay.AnnounceJudgement{Judgement: verdict(fingerprint)})
}

// expectHeld waits until all nodes but those named have set a request aside.
func (z *zone) expectHeld(fingerprint string, but ...string) {
	for name, n := range z.nodes {
		if len(but) > 0 && name == but[0] {
			continue
		}
		until(func() bool {
			held := false
			n.Query(func(s chutecore.State) { _, held = s.Relay().Quarantine().Holds(fingerprint) })

			return held
		})
	}
}

// until waits for a state that other goroutines bring about.
func until(done func() bool) {
	for !done() {
		time.Sleep(5 * time.Millisecond)
	}
}

// stored says whether the store has a verdict.
func (z *zone) stored(fingerprint string) bool {
	z.store.mu.Lock()
	defer z.store.mu.Unlock()
	_, ok := z.store.rows["quarantine"][chutequarantine.JudgementPrefix+fingerprint]

	return ok
}

func TestQuarantineSpreads(t *testing.T) {
	z := newZones(t, nodesAZone)
	z.expectConfig(1)
	teller := z.peers[nodesAZone].Name

	t.Run("all nodes hear of a verdict, and the store keeps it", func(*testing.T) {
		z.judges(teller, "a")
		z.expectHeld("a", teller)
		until(func() bool { return z.stored("a") })
	})

	t.Run("they hear of it while the store is away, and the store when it is back", func(*testing.T) {
		// Without the store there is no other way than from node to node.
		for _, p := range z.peers {
			z.store.setAway(p.Name, true)
		}
		z.judges(teller, "b")
		z.expectHeld("b", teller)
		z.Assert(z.stored("b"), qt.IsFalse)
		for _, p := range z.peers {
			z.store.setAway(p.Name, false)
		}
		until(func() bool { return z.stored("b") })
	})

	t.Run("gossip that was lost while the store is away is repeated", func(*testing.T) {
		// The calls to all peers fail at first, as on a machine that is held up.
		for _, p := range z.peers {
			z.store.setAway(p.Name, true)
		}
		n := z.nodes[teller]
		listed := n.nodes.Swap(&[]chuterelay.Peer{})
		before := n.storeCalls[callQuarantine].Load()
		z.judges(teller, "c")
		until(func() bool { return n.storeCalls[callQuarantine].Load() > before })
		n.nodes.Store(listed)
		z.expectHeld("c", teller)
		for _, p := range z.peers {
			z.store.setAway(p.Name, false)
		}
		until(func() bool { return z.stored("c") })
	})

	t.Run("a node that starts later knows them", func(t *testing.T) {
		// All that knew it may be gone by then; the store is what is left.
		for name := range z.nodes {
			z.kill(name)
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		z.Assert(err, qt.IsNil)
		z.start(t, chuterelay.Peer{Name: "late", Zone: "z0", Region: "r", Address: l.Addr().String(), Power: 1}, l)
		z.expectHeld("a")
		z.expectHeld("b")
	})
}

func TestHearing(t *testing.T) {
	c := qt.New(t)
	var log strings.Builder
	n := New(Settings{Tables: Tables{Quarantine: "q"}}, clockwork.NewFakeClock(), zerolog.New(&log), Store{}, Decoders{}, Upstreams{})
	rows := []chutefeed.Row{
		{Key: chutequarantine.CrashPrefix + "1", Value: []byte(`{"Upstream":"u","Suspects":[{"Fingerprint":"f"}]}`)},
		{Key: chutequarantine.CrashPrefix + "2", Value: []byte(`{`)},
		{Key: chutequarantine.JudgementPrefix + "f", Value: []byte(`{"Fingerprint":"f","Verdict":"Quarantined"}`)},
		{Key: "other", Value: []byte(`{}`)},
	}

	t.Run("rows that can't be read are logged and left out", func(*testing.T) {
		n.takeReports("q", rows, 0)
		heard := (<-n.messages).event.(chuterelay.QuarantineAnnounced)
		c.Assert(heard.Crashes, qt.HasLen, 1)
		c.Assert(heard.Judgements, qt.HasLen, 1)
		c.Assert(log.String(), qt.Contains, chutequarantine.CrashPrefix+"2")
	})

	t.Run("what is heard again, or of another table, is no news", func(*testing.T) {
		n.takeReports("q", rows, 0)
		n.takeReports("p", []chutefeed.Row{{Key: chutequarantine.JudgementPrefix + "g", Value: []byte(`{"Fingerprint":"g"}`)}}, 0)
		c.Assert(n.messages, qt.HasLen, 0)
	})
}

func TestReportQueue(t *testing.T) {
	row := func(i int) chutefeed.Row {
		return chutefeed.Row{Key: fmt.Sprint("k", i), Value: []byte{byte(i)}}
	}

	t.Run("it is bounded, and newer rows take the place of older ones", func(t *testing.T) {
		c := qt.New(t)
		q := newReportQueue()
		for i := range maxQueued {
			c.Assert(q.add(row(i)), qt.IsTrue)
		}
		c.Assert(q.add(row(maxQueued)), qt.IsFalse)
		c.Assert(q.add(row(0)), qt.IsTrue)
	})

	t.Run("rows that could not be written come again, unless there are newer ones", func(t *testing.T) {
		c := qt.New(t)
		q := newReportQueue()
		q.add(row(1))
		taken := q.next()
		newer := chutefeed.Row{Key: "k1", Value: []byte("newer")}
		q.add(newer)
		q.addBack(taken)
		c.Assert(q.next(), qt.DeepEquals, []chutefeed.Row{newer})
	})

	t.Run("what does not fit into one message is due at once", func(t *testing.T) {
		c := qt.New(t)
		q := newReportQueue()
		for i := range maxReports + 1 {
			q.add(row(i))
		}
		<-q.due
		c.Assert(q.next(), qt.HasLen, maxReports)
		<-q.due
		c.Assert(q.next(), qt.HasLen, 1)
	})
}

func TestOldRows(t *testing.T) {
	now := time.Unix(1000, 0)
	crash := func(i int) chutefeed.Row {
		return chutefeed.Row{Key: fmt.Sprint(chutequarantine.CrashPrefix, i), Version: uint64(i + 1)} //nolint:gosec // a small count
	}

	t.Run("rows go when they count no more", func(t *testing.T) {
		c := qt.New(t)
		first := map[string]time.Time{}
		table := chutefeed.NewTable([]chutefeed.Row{crash(0), {Key: chutequarantine.JudgementPrefix + "f"}}, 5)
		c.Assert(oldRows(table, first, now), qt.HasLen, 0)
		c.Assert(oldRows(table, first, now.Add(chutequarantine.Life-1)), qt.HasLen, 0)
		c.Assert(oldRows(table, first, now.Add(chutequarantine.Life)), qt.HasLen, 2)
		c.Assert(oldRows(chutefeed.NewTable(nil, 6), first, now), qt.HasLen, 0)
		c.Assert(first, qt.HasLen, 0)
	})

	t.Run("of too many the oldest crashes go, and no verdict", func(t *testing.T) {
		c := qt.New(t)
		rows := []chutefeed.Row{{Key: chutequarantine.JudgementPrefix + "f"}}
		for i := range maxRows + 1 {
			rows = append(rows, crash(i))
		}
		old := oldRows(chutefeed.NewTable(rows, 5), map[string]time.Time{}, now)
		c.Assert(old, qt.ContentEquals, []string{crash(0).Key, crash(1).Key})
	})
}
