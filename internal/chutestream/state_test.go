package chutestream

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

// node drives one state and collects its effects.
type node struct {
	*qt.C

	state   State
	now     time.Time
	effects []Effect
}

// newNode returns the first of count nodes in three zones.
func newNode(t testing.TB, count int) *node {
	t.Helper()
	all := nodesInZones(count, 3)
	n := &node{C: qt.New(t), now: start, state: NewState(all[0])}
	n.on(NodesListed{Nodes: all})

	return n
}

func nodesInZones(count, zones int) []Node {
	all := make([]Node, 0, count)
	for i := range count {
		all = append(all, Node{Name: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%zones), Address: fmt.Sprint("n", i, ":1")})
	}

	return all
}

func (n *node) on(e Event) {
	var effects []Effect
	n.state, effects = Reduce(n.state, n.now, e)
	n.effects = append(n.effects, effects...)
}

// takeAll removes and returns the effects of one type, and drops the others.
func takeAll[E Effect](n *node) []E {
	var taken []E
	for _, effect := range n.effects {
		if e, ok := effect.(E); ok {
			taken = append(taken, e)
		}
	}
	n.effects = nil

	return taken
}

func (n *node) begin(id ID) {
	n.on(Began{ID: id, Binding: Binding{Pool: "p", Version: "v1"}, Until: n.now.Add(10 * time.Second)})
}

func (n *node) expectFound(id ID, found bool) {
	n.Helper()
	_, ok := n.state.Find(id, n.now)
	n.Assert(ok, qt.Equals, found)
}

// TestNewID guards against a caller that takes up the stream of another workspace or pipeline.
func TestNewID(t *testing.T) {
	c := qt.New(t)
	c.Assert(NewID("w", "p", "r", "r"), qt.Equals, NewID("w", "p", "r", "r"))
	c.Assert(NewID("w", "p", "r", "r"), qt.Not(qt.Equals), NewID("x", "p", "r", "r"))
	c.Assert(NewID("w", "p", "r", "r"), qt.Not(qt.Equals), NewID("w", "q", "r", "r"))
	c.Assert(NewID("w", "pr", "", ""), qt.Not(qt.Equals), NewID("w", "p", "r", "r"))
}

// TestFindByContent guards against a take-up that names no request and goes on at the version of another stream of the same
// content, and against one that is refused though all of them have the same version.
func TestFindByContent(t *testing.T) {
	v1, v2 := Binding{Pool: "p", Version: "1"}, Binding{Pool: "p", Version: "2"}
	any := NewID("w", "p", "c", "")
	begin := func(n *node, request string, b Binding, lifetime time.Duration) {
		n.on(Began{ID: NewID("w", "p", "c", request), Binding: b, Until: n.now.Add(lifetime)})
	}
	for _, test := range []struct {
		name  string
		begin func(n *node)
		found bool
		// ambiguous says that several streams with different bindings are known.
		ambiguous bool
	}{
		{"none", func(*node) {}, false, false},
		{"of another content", func(n *node) { n.on(Began{ID: NewID("w", "p", "d", "1"), Binding: v1, Until: n.now.Add(time.Minute)}) }, false, false},
		{"one", func(n *node) { begin(n, "1", v1, time.Minute) }, true, false},
		{"two of a version", func(n *node) { begin(n, "1", v1, time.Minute); begin(n, "2", v1, time.Minute) }, true, false},
		{"two of two versions", func(n *node) { begin(n, "1", v1, time.Minute); begin(n, "2", v2, time.Minute) }, false, true},
		{"the other one has expired", func(n *node) {
			begin(n, "1", v2, time.Second)
			begin(n, "2", v1, time.Minute)
			n.now = n.now.Add(time.Second)
		}, true, false},
		{"one that is ambiguous", func(n *node) { begin(n, "1", v1, time.Minute); begin(n, "1", v2, time.Minute) }, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newNode(t, 1)
			test.begin(n)
			record, found := n.state.Find(any, n.now)
			n.Assert(found, qt.Equals, test.found)
			if found {
				n.Assert(record.Binding, qt.Equals, v1)
			}
			n.Assert(record.IsAmbiguous(), qt.Equals, test.ambiguous)
		})
	}

	t.Run("nothing is kept of what has expired", func(t *testing.T) {
		n := newNode(t, 1)
		begin(n, "1", v1, time.Second)
		begin(n, "1", v2, time.Second)
		begin(n, "2", v1, time.Second)
		n.now = n.now.Add(time.Second)
		n.on(Began{ID: NewID("w", "p", "d", "3"), Binding: v1, Until: n.now.Add(time.Second)})
		n.Assert(n.state.byContent.Len(), qt.Equals, 1)
	})

	t.Run("many streams of one content", func(t *testing.T) {
		// A list of them would be copied at each beginning of one.
		n := newNode(t, 1)
		for i := range 2 * maxRecords {
			n.on(Began{ID: NewID("w", "p", "c", fmt.Sprint(i)), Binding: v1, Until: n.now.Add(time.Minute)})
		}
		all, _ := n.state.byContent.Get(any)
		n.Assert(all, qt.HasLen, 1)
		n.Assert(all[0].records, qt.Equals, maxRecords)
	})
}

// TestRecords guards against a record that outlives its time or the room for records, or that is found although
// it is ambiguous.
func TestRecords(t *testing.T) {
	id := NewID("w", "p", "r", "r")

	t.Run("a stream that began here is known at once", func(t *testing.T) {
		n := newNode(t, 8)
		n.begin(id)
		n.expectFound(id, true)
	})

	t.Run("a record is not found after its time", func(t *testing.T) {
		n := newNode(t, 8)
		n.begin(id)
		n.now = n.now.Add(10 * time.Second)
		n.expectFound(id, false)
	})

	t.Run("a node that woke up with old records finds none", func(t *testing.T) {
		n := newNode(t, 8)
		n.on(Announced{Records: []Record{{ID: id, Binding: Binding{Pool: "p", Version: "v1"}, Until: n.now.Add(time.Hour)}}})
		n.expectFound(id, true)
		n.now = n.now.Add(maxLifetime)
		n.expectFound(id, false)
	})

	t.Run("an ID under which two versions began is not found", func(t *testing.T) {
		n := newNode(t, 8)
		n.begin(id)
		n.on(Announced{Records: []Record{{ID: id, Binding: Binding{Pool: "p", Version: "v2"}, Until: n.now.Add(time.Second)}}})
		n.expectFound(id, false)
		n.begin(id)
		n.expectFound(id, false)
	})

	t.Run("records are bounded, and those that are dropped are not found", func(t *testing.T) {
		n := newNode(t, 1)
		n.begin(id)
		for i := range maxRecords {
			n.on(Began{ID: NewID("w", "p", fmt.Sprint(i), fmt.Sprint(i)), Binding: Binding{Pool: "p"}, Until: n.now.Add(time.Minute)})
		}
		n.Assert(n.state.Stats().Held, qt.Equals, maxRecords)
		n.Assert(n.state.Stats().Dropped, qt.Equals, int64(1))
		n.expectFound(id, false)
	})

	t.Run("expired records are dropped", func(t *testing.T) {
		n := newNode(t, 1)
		n.begin(id)
		n.now = n.now.Add(time.Minute)
		n.begin(NewID("w", "p", "other", "other"))
		n.Assert(n.state.Stats().Held, qt.Equals, 1)
	})
}

// TestAnnounce guards against streams that no other node knows of, and against records that nobody needs.
func TestAnnounce(t *testing.T) {
	id := NewID("w", "p", "r", "r")

	t.Run("a stream that goes on is announced in two zones", func(t *testing.T) {
		n := newNode(t, 9)
		n.begin(id)
		tick := takeAll[TickAt](n)
		n.Assert(tick, qt.HasLen, 1)
		n.now = tick[0].At
		n.on(Ticked{})
		zones := map[string]bool{}
		for _, announced := range takeAll[Announce](n) {
			n.Assert(announced.Node.Name, qt.Not(qt.Equals), "n0")
			n.Assert(announced.Records, qt.HasLen, 1)
			zones[announced.Node.Zone] = true
		}
		n.Assert(zones, qt.HasLen, 2)
	})

	t.Run("a stream that has ended by then is not announced", func(t *testing.T) {
		n := newNode(t, 9)
		n.begin(id)
		n.on(Ended{ID: id})
		n.now = n.now.Add(announceDelay)
		n.on(Ticked{})
		n.Assert(takeAll[Announce](n), qt.HasLen, 0)
	})

	t.Run("a stream that breaks is announced at once", func(t *testing.T) {
		n := newNode(t, 9)
		n.begin(id)
		n.on(Broken{ID: id})
		n.Assert(takeAll[Announce](n), qt.HasLen, 2)
	})

	t.Run("streams that begin together are announced together", func(t *testing.T) {
		n := newNode(t, 2)
		for i := range 100 {
			n.begin(NewID("w", "p", fmt.Sprint(i), fmt.Sprint(i)))
		}
		n.now = n.now.Add(announceDelay)
		n.on(Ticked{})
		announced := takeAll[Announce](n)
		n.Assert(announced, qt.HasLen, 1)
		n.Assert(announced[0].Records, qt.HasLen, 100)
	})

	t.Run("in place of a node that takes no records the next of its zone gets them, once", func(t *testing.T) {
		n := newNode(t, 9)
		n.begin(id)
		n.on(Broken{ID: id})
		failed := takeAll[Announce](n)[0]
		n.on(AnnounceFailed{Announce: failed})
		again := takeAll[Announce](n)
		n.Assert(again, qt.HasLen, 1)
		n.Assert(again[0].Node.Zone, qt.Equals, failed.Node.Zone)
		n.Assert(again[0].Node.Name, qt.Not(qt.Equals), failed.Node.Name)
		n.on(AnnounceFailed{Announce: again[0]})
		n.Assert(takeAll[Announce](n), qt.HasLen, 0)
	})

	t.Run("a node that could not be asked is passed over for a while", func(t *testing.T) {
		n := newNode(t, 9)
		asked := n.state.ToAsk(id, n.now)[0]
		n.on(AskFailed{Node: asked})
		n.Assert(slices.Contains(n.state.ToAsk(id, n.now), asked), qt.IsFalse)
		n.Assert(n.state.PassedOver(id, n.now), qt.Equals, 1)
		n.now = n.now.Add(failedPause)
		n.Assert(slices.Contains(n.state.ToAsk(id, n.now), asked), qt.IsTrue)
		n.Assert(n.state.PassedOver(id, n.now), qt.Equals, 0)
	})

	t.Run("a node that shuts down hands its records over", func(t *testing.T) {
		n := newNode(t, 9)
		n.on(Announced{Records: []Record{{ID: id, Binding: Binding{Pool: "p", Version: "v1"}, Until: n.now.Add(time.Second)}}})
		n.on(DrainStarted{})
		n.Assert(takeAll[Announce](n), qt.HasLen, 2)
		n.begin(NewID("w", "p", "later", "later"))
		n.Assert(takeAll[Announce](n), qt.HasLen, 2)
	})
}

// TestHolders guards against a stream that is taken up at a node which asks none of those that have its record.
func TestHolders(t *testing.T) {
	for _, size := range []struct{ nodes, zones int }{{1, 1}, {2, 1}, {8, 3}, {9, 3}, {36, 4}, {195, 3}, {985, 5}} {
		t.Run(fmt.Sprintf("%d nodes in %d zones", size.nodes, size.zones), func(t *testing.T) {
			c := qt.New(t)
			all := nodesInZones(size.nodes, size.zones)
			views := make([]holders, len(all))
			for i := range all {
				views[i] = holders{self: all[i]}.withNodes(all)
			}
			for i := range 300 {
				id := NewID("w", "p", fmt.Sprint(i), fmt.Sprint(i))
				from, to := views[i*7%len(views)], views[i*13%len(views)]
				known := append(from.announceTo(id, start), from.self)
				asked := append(to.toAsk(id, start), to.self)
				c.Assert(len(known) <= 2+announcedZones, qt.IsTrue)
				c.Assert(len(asked) <= 1+askedInZone+askedZones, qt.IsTrue)
				isKnown := func(n Node) bool { return slices.Contains(known, n) }
				c.Assert(slices.ContainsFunc(asked, isKnown), qt.IsTrue, qt.Commentf("%s announces to %v, %s asks %v", from.self.Name, known, to.self.Name, asked))
			}
		})
	}
}
