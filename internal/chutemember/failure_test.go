package chutemember

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestReplacedNode(t *testing.T) {
	// A VM is replaced under its old name and address, and its clock is behind
	// the one before, so its epoch is lower. The others hold the old incarnation
	// and would ignore the new one for ever. Told of the old one, the new one
	// goes above its epoch; from then on only the new incarnation is listed.
	for _, test := range []struct {
		name  string
		clock time.Duration
		away  int
	}{
		{"clock right", 0, 5},
		{"clock behind", -time.Hour, 5},
		{"clock behind, held for dead meanwhile", -time.Hour, 300},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newNetwork(1)
			w.grow(9)
			w.steps(20)
			w.expectMembers(t, w.incarnations()...)

			delete(w.nodes, "entry-004")
			w.steps(test.away)
			again := memberNumber(4, w.now.Add(test.clock))
			again.Incarnation = "entry-004-2"
			w.nodes["entry-004"] = New(again).WithSeeds([]Seed{{Name: "entry-000", PeerAddress: "10.0.0.0:7300"}})
			w.steps(60)
			w.expectMembers(t, w.incarnations()...)
		})
	}
}

func TestCutZoneRejoins(t *testing.T) {
	// A zone is cut off for longer than it takes to hold its nodes for dead; both
	// sides change meanwhile and the platform's list names nobody. When the cut
	// heals, each side finds the other by trying dead members now and then, and
	// all agree again: configuration, marks and members.
	w := newNetwork(2)
	w.adopt = true
	w.grow(15)
	w.steps(30)
	for name, s := range w.nodes {
		w.nodes[name] = s.WithSeeds(nil)
	}
	inside := func(m Member) bool { return m.Zone == "zone-1" }
	w.cut = func(a, b Member) bool { return inside(a) != inside(b) }
	w.nodes["entry-000"] = w.nodes["entry-000"].WithConfig(7, "seven")
	w.nodes["entry-001"] = w.nodes["entry-001"].WithLeavingMark("engine-1", "i")
	w.steps(400)
	for _, m := range w.nodes["entry-001"].Members() {
		qt.Assert(t, m.State == StateDead, qt.Equals, !inside(m), qt.Commentf("%v", m))
	}
	qt.Assert(t, w.nodes["entry-001"].HighestConfig().Version, qt.Equals, uint64(0))

	w.cut = nil
	w.steps(60)
	w.expectMembers(t, w.incarnations()...)
	for _, s := range w.nodes {
		qt.Assert(t, s.Config(), qt.Equals, Config{Version: 7, Digest: "seven"})
		qt.Assert(t, s.LeavingMarks(), qt.DeepEquals, []LeavingMark{{Upstream: "engine-1", Incarnation: "i"}})
	}
}

func TestLeavingMark(t *testing.T) {
	// One node hears from an upstream that it is leaving and dies at once. Within
	// a few seconds every node must know, though the list still calls the
	// upstream live, and the mark must stay; after its age it must go everywhere,
	// although nodes forget it at different moments and still tell each other.
	w := newNetwork(3)
	w.grow(40)
	w.steps(40)
	mark := LeavingMark{Upstream: "engine-7", Incarnation: "i-1"}
	w.nodes["entry-003"] = w.nodes["entry-003"].WithLeavingMark(mark.Upstream, mark.Incarnation)
	w.steps(1)
	delete(w.nodes, "entry-003")
	w.steps(4)
	expectMarks := func(want ...LeavingMark) {
		t.Helper()
		for _, s := range w.nodes {
			qt.Assert(t, s.LeavingMarks(), qt.HasLen, len(want))
		}
	}
	expectMarks(mark)
	w.steps(60)
	expectMarks(mark)

	w.now = w.now.Add(DefaultSettings().MarkAge - 80*time.Second)
	w.steps(10)
	expectMarks(mark)
	w.steps(70)
	expectMarks()
}

func TestMarkBeforeFirstHeartbeat(t *testing.T) {
	// A starting node hears from the platform's list that an upstream is leaving
	// before its first heartbeat gave it a time; the mark must not pass for old.
	s := New(memberNumber(0, testStart)).WithLeavingMark("engine-1", "i").WithHeartbeat(testStart)
	qt.Assert(t, s.LeavingMarks(), qt.HasLen, 1)
	_, opening := s.Open(Peer{Name: "entry-001", Scope: ScopeNews}, 1000)
	qt.Assert(t, opening.Marks, qt.HasLen, 1)
}

func TestDeadMember(t *testing.T) {
	// A node dies. All others come to hold it for dead, then forget it; some
	// forget earlier than others, who must not give it back to them.
	w := newNetwork(4)
	w.grow(9)
	w.steps(20)
	delete(w.nodes, "entry-002")
	for name, s := range w.nodes {
		settings := DefaultSettings()
		settings.ForgetAfter = 300 * time.Second
		if name == "entry-005" {
			settings.ForgetAfter = 400 * time.Second
		}
		w.nodes[name] = s.WithSettings(settings)
	}
	w.steps(250)
	w.expectMembers(t, w.incarnations()...)
	w.steps(250)
	for _, s := range w.nodes {
		_, known := s.Member("entry-002")
		qt.Assert(t, known, qt.IsFalse)
	}
}

func TestPausedNode(t *testing.T) {
	// A process is frozen for ten minutes. By the ages of their heartbeats all
	// others look dead when it wakes, and it would take over their ledger rows
	// and stop talking to them. Its own pause must not count against them.
	w := newNetwork(5)
	w.grow(9)
	w.steps(20)
	frozen := w.nodes["entry-001"]
	now := w.now.Add(10 * time.Minute)
	for name, awake := range map[string]Set{
		"woken by its own timer": frozen.WithHeartbeat(now),
		"woken by a call":        func() Set { s, _ := frozen.Merge(Delta{}, "entry-000", now); return s }(),
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, awake.Suspects(now), qt.HasLen, 0)
			late := now
			for range 200 {
				late = late.Add(time.Second)
				awake = awake.WithHeartbeat(late)
			}
			qt.Assert(t, awake.Suspects(late), qt.HasLen, 8)
		})
	}
}

func TestLedgerRowOutlivesItsNode(t *testing.T) {
	// A node hands its ledger row to two others and dies before writing it to the
	// table. The holders see it as an orphan. Then one holder dies too: the other
	// makes a new copy, so that the row is still held twice, and in two zones.
	w := newNetwork(6)
	w.grow(15)
	w.steps(20)
	next, err := w.nodes["entry-000"].WithLedgerRow("entry-000-1", 3, []byte("counters"))
	qt.Assert(t, err, qt.IsNil)
	w.nodes["entry-000"] = next
	w.steps(120)
	holders := w.expectOrphans(t, "entry-000", 0)
	qt.Assert(t, holders, qt.HasLen, 2)

	delete(w.nodes, "entry-000")
	w.steps(250)
	qt.Assert(t, w.expectOrphans(t, "", 1), qt.DeepEquals, holders)
	delete(w.nodes, holders[0])
	w.steps(500)
	holders = w.expectOrphans(t, "", 1)
	qt.Assert(t, holders, qt.HasLen, 2)
	qt.Assert(t, w.nodes[holders[0]].Self().Zone, qt.Not(qt.Equals), w.nodes[holders[1]].Self().Zone)

	_, err = w.nodes[holders[0]].WithLedgerRow("big", 1, make([]byte, 1<<20))
	qt.Assert(t, err, qt.ErrorIs, ErrRowTooLarge)
}

// expectOrphans lists the holders of a copy and checks how many orphans each sees.
func (w *network) expectOrphans(t testing.TB, origin string, orphans int) []string {
	t.Helper()
	var holders []string
	for _, name := range w.names() {
		if name != origin && len(w.nodes[name].Rows()) > 0 {
			holders = append(holders, name)
			qt.Assert(t, w.nodes[name].OrphanRows(), qt.HasLen, orphans, qt.Commentf(name))
		}
	}
	return holders
}

func TestPlan(t *testing.T) {
	w := newNetwork(7)
	w.grow(30)
	for name, s := range w.nodes {
		settings := DefaultSettings()
		settings.FullBelow, settings.Partners = 10, 3 // as if it were a large site
		w.nodes[name] = s.WithSettings(settings)
	}
	w.steps(60)
	s := w.nodes["entry-000"]
	t.Run("own zone often, others seldom, few partners", func(t *testing.T) {
		partners := map[string]bool{}
		own, other := 0, 0
		for range 1000 {
			for _, p := range s.Plan(w.now, w.random.IntN) {
				partners[p.Name] = true
				if p.Zone == "zone-0" {
					own++
				} else {
					other++
				}
			}
		}
		qt.Assert(t, own >= 1000, qt.IsTrue)
		qt.Assert(t, other > 50 && other < 500, qt.IsTrue, qt.Commentf("%d", other))
		qt.Assert(t, len(partners) <= 3+4*2, qt.IsTrue, qt.Commentf("%v", partners))
	})
	t.Run("seeds are tried while alone", func(t *testing.T) {
		alone := New(memberNumber(0, w.now)).WithSeeds([]Seed{{Name: "entry-001", Zone: "zone-1", PeerAddress: "a:1"}})
		for range 20 {
			want := []Peer{{Name: "entry-001", Zone: "zone-1", Address: "a:1", Scope: ScopeAll}}
			qt.Assert(t, alone.Plan(w.now, w.random.IntN), qt.DeepEquals, want)
		}
	})
	t.Run("pool loads sum over live nodes", func(t *testing.T) {
		for i := range 3 {
			name := fmt.Sprintf("entry-%03d", i)
			w.nodes[name] = w.nodes[name].WithPoolLoad("zone-0", "language", 10)
		}
		w.steps(120)
		qt.Assert(t, w.nodes["entry-029"].PoolLoad("zone-0", "language"), qt.Equals, 30)
	})
}
