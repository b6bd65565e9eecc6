package chutestream

import (
	"bytes"
	"container/heap"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	simLarge     = flag.Bool("sim.large", false, "also simulate up to 985 nodes")
	simSchedules = flag.Int("sim.schedules", 10, "simulated schedules of each size up to 36 nodes")
)

const (
	simDuration = 20 * time.Second
	// simMessageTime is how long a message is on its way, simCallerPause how long a caller waits after its stream
	// broke.
	simMessageTime = 2 * time.Millisecond
	simCallerPause = 100 * time.Millisecond
	simStreamTime  = 3 * time.Second
)

// simulation is a cluster in simulated time with nodes that are killed, drained, frozen and cut off, and callers
// that take up broken streams at any node.
type simulation struct {
	*qt.C

	random *rand.Rand
	now    time.Time
	queue  simQueue
	all    []Node
	nodes  []*simNode
	// cutZone is the zone that is cut off now; empty if none is.
	cutZone string
	// versions are those that serve now.
	versions []string
	// troubled is until when take-ups may fail, because of a disruption shortly before.
	troubled time.Time

	begun, announced  int
	takenUp, known    int
	calm, calmKnown   int
	wrong             int
	mostHeld, dropped int
}

// simNode is one process, or the lack of one.
type simNode struct {
	Node

	state State
	alive bool
	// frozenUntil is when the node goes on with what it has been sent.
	frozenUntil time.Time
	streams     map[*simStream]bool
}

// simStream is a stream as its caller sees it.
type simStream struct {
	id      ID
	binding Binding
	node    *simNode
	ends    time.Time
}

type simStep struct {
	at  time.Time
	run func()
}

// simQueue orders steps by time.
type simQueue []simStep

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)        { *q = append(*q, x.(simStep)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]

	return last
}

func newSimulation(t testing.TB, nodes, zones int, seed uint64) *simulation {
	s := &simulation{C: qt.New(t), random: rand.New(rand.NewPCG(seed, 1)), now: start, versions: []string{"v1"}}
	s.all = nodesInZones(nodes, zones)
	for _, node := range s.all {
		n := &simNode{Node: node}
		s.nodes = append(s.nodes, n)
		s.startNode(n)
	}

	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	heap.Push(&s.queue, simStep{at: s.now.Add(d), run: run})
}

// run plays all steps up to the end.
func (s *simulation) run() {
	for s.queue.Len() > 0 {
		step := heap.Pop(&s.queue).(simStep)
		if step.at.After(start.Add(simDuration)) {
			return
		}
		s.now = step.at
		step.run()
	}
}

func (s *simulation) startNode(n *simNode) {
	n.alive, n.streams, n.state = true, map[*simStream]bool{}, NewState(n.Node)
	s.on(n, NodesListed{Nodes: s.all})
}

// on has a node reduce an event, and carries the effects out.
func (s *simulation) on(n *simNode, e Event) {
	if !n.alive {
		return
	}
	if wait := n.frozenUntil.Sub(s.now); wait > 0 {
		s.after(wait, func() { s.on(n, e) })

		return
	}
	before := n.state.Stats()
	var effects []Effect
	n.state, effects = Reduce(n.state, s.now, e)
	stats := n.state.Stats()
	s.announced += int(stats.Announced - before.Announced)
	s.dropped += int(stats.Dropped - before.Dropped)
	s.mostHeld = max(s.mostHeld, stats.Held)
	for _, effect := range effects {
		switch e := effect.(type) {
		case TickAt:
			s.after(e.At.Sub(s.now), func() { s.on(n, Ticked{}) })
		case Announce:
			s.after(simMessageTime, func() { s.deliver(n, e) })
		}
	}
}

// deliver brings records to their node, or reports to the sender that it failed.
func (s *simulation) deliver(from *simNode, e Announce) {
	to := s.named(e.Node.Name)
	if to.alive && s.reaches(from, to) {
		s.on(to, Announced{Records: e.Records})

		return
	}
	s.after(simMessageTime, func() { s.on(from, AnnounceFailed{Announce: e}) })
}

func (s *simulation) named(name string) *simNode {
	var index int
	_, err := fmt.Sscanf(name, "n%d", &index)
	s.Assert(err, qt.IsNil)

	return s.nodes[index]
}

func (s *simulation) reaches(a, b *simNode) bool {
	return s.cutZone == "" || (a.Zone == s.cutZone) == (b.Zone == s.cutZone)
}

func (s *simulation) draw() *simNode { return s.nodes[s.random.IntN(len(s.nodes))] }

func (s *simulation) drawTime(most time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(most))
}

// beginStreams begins a stream at a node now and then.
func (s *simulation) beginStreams(perSecond float64) {
	s.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		s.beginStreams(perSecond)
		n := s.draw()
		if !n.alive || s.now.Before(n.frozenUntil) {
			return
		}
		s.begun++
		stream := &simStream{
			id: NewID("w", "p", fmt.Sprint(s.begun), fmt.Sprint(s.begun)), binding: Binding{Pool: "p", Version: s.versions[s.random.IntN(len(s.versions))]},
			node: n, ends: s.now.Add(s.drawTime(simStreamTime)),
		}
		s.on(n, Began{ID: stream.id, Binding: stream.binding, Until: s.now.Add(10 * time.Second)})
		s.follow(stream)
	})
}

// follow lets a stream run at its node until it ends, or until its connection breaks.
func (s *simulation) follow(stream *simStream) {
	n := stream.node
	n.streams[stream] = true
	left := stream.ends.Sub(s.now)
	s.after(left, func() {
		if n.alive && n.streams[stream] {
			s.on(n, Ended{ID: stream.id})
			delete(n.streams, stream)
		}
	})
	if s.random.IntN(5) == 0 {
		s.after(time.Duration(s.random.Float64()*float64(left)), func() {
			if n.alive && n.streams[stream] {
				delete(n.streams, stream)
				s.on(n, Broken{ID: stream.id})
				s.comeBack(stream)
			}
		})
	}
}

// comeBack has a caller take its stream up at a node of its zone, or of another one.
func (s *simulation) comeBack(stream *simStream) {
	s.after(simCallerPause, func() {
		n := s.draw()
		for tries := 0; tries < 50 && (!n.alive || s.now.Before(n.frozenUntil) || n.Zone != stream.node.Zone && tries < 10); tries++ {
			n = s.draw()
		}
		if !n.alive || s.now.Before(n.frozenUntil) || s.now.After(stream.ends) {
			return
		}
		s.takenUp++
		calm := !s.now.Before(s.troubled)
		if calm {
			s.calm++
		}
		binding, ok := s.find(n, stream.id)
		if !ok {
			return
		}
		s.known++
		if calm {
			s.calmKnown++
		}
		if !binding.Allows(stream.binding) {
			s.wrong++
		}
		stream.node = n
		s.on(n, Began{ID: stream.id, Binding: binding, Until: s.now.Add(10 * time.Second)})
		s.follow(stream)
	})
}

// find returns what a node and those that it asks know of a stream.
func (s *simulation) find(n *simNode, id ID) (Binding, bool) {
	if record, ok := n.state.Find(id, s.now); ok {
		return record.Binding, true
	}
	for _, asked := range n.state.ToAsk(id, s.now) {
		other := s.named(asked.Name)
		if !other.alive || s.now.Before(other.frozenUntil) || !s.reaches(n, other) {
			continue
		}
		if record, ok := other.state.Find(id, s.now); ok {
			return record.Binding, true
		}
	}

	return Binding{}, false
}

// trouble draws one disruption after the other.
func (s *simulation) trouble() {
	s.after(200*time.Millisecond+s.drawTime(1500*time.Millisecond), func() {
		s.trouble()
		switch s.random.IntN(8) {
		case 0, 1:
			s.kill(s.draw())
		case 2:
			s.kill(s.draw(), s.draw(), s.draw())
		case 3:
			s.drain(s.draw())
		case 4:
			s.draw().frozenUntil = s.now.Add(s.drawTime(3 * time.Second))
		case 5:
			s.cutZone = s.draw().Zone
			s.after(s.drawTime(3*time.Second), func() { s.cutZone = "" })
		case 6:
			if s.random.IntN(6) == 0 {
				s.kill(s.nodes...)
			}
		case 7:
			s.release()
		}
		s.troubled = s.now.Add(4 * time.Second)
	})
}

// release adds a version, or takes the oldest one out of service.
func (s *simulation) release() {
	if len(s.versions) > 2 {
		s.versions = s.versions[1:]

		return
	}
	s.versions = append(s.versions, fmt.Sprint("v", s.random.Uint32()))
}

// kill ends processes and starts them again a second later.
func (s *simulation) kill(nodes ...*simNode) {
	for _, n := range nodes {
		if !n.alive {
			continue
		}
		s.end(n)
		s.after(time.Second, func() { s.startNode(n) })
	}
}

// end ends a process; the callers of its streams come back.
func (s *simulation) end(n *simNode) {
	n.alive = false
	// In an order that a seed repeats.
	for _, stream := range slices.SortedFunc(maps.Keys(n.streams), func(a, b *simStream) int { return bytes.Compare(a.id[:], b.id[:]) }) {
		s.comeBack(stream)
	}
	n.streams = nil
}

// drain shuts a process down and starts it again.
func (s *simulation) drain(n *simNode) {
	s.on(n, DrainStarted{})
	s.after(2*time.Second, func() { s.kill(n) })
}

// TestStreamsAcrossNodes guards against a stream that is taken up at another version than the one that began it,
// while versions come and go and nodes are killed, drained, frozen and cut off, and against streams that no node
// knows although nothing has happened to the nodes.
func TestStreamsAcrossNodes(t *testing.T) {
	sizes := []struct{ nodes, zones, schedules int }{{8, 3, *simSchedules}, {36, 3, *simSchedules}}
	if *simLarge {
		sizes = append(sizes, []struct{ nodes, zones, schedules int }{{195, 3, 3}, {985, 5, 1}}...)
	}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size.nodes), func(t *testing.T) {
			c := qt.New(t)
			total := &simulation{}
			for seed := range uint64(size.schedules) { //nolint:gosec // a few
				s := newSimulation(t, size.nodes, size.zones, seed)
				s.beginStreams(6 * float64(size.nodes))
				s.trouble()
				s.run()
				c.Assert(s.wrong, qt.Equals, 0, qt.Commentf("seed %d", seed))
				total.add(s)
			}
			t.Logf("%d nodes: %d streams, %d taken up (%.3f known), %d without trouble (%.3f known); %.1f records announced a node and second, %d held at most, %d dropped",
				size.nodes, total.begun, total.takenUp, share(total.known, total.takenUp), total.calm, share(total.calmKnown, total.calm),
				float64(total.announced)/float64(size.nodes*size.schedules)/simDuration.Seconds(), total.mostHeld, total.dropped)
			c.Assert(total.takenUp > 100, qt.IsTrue)
			c.Assert(share(total.known, total.takenUp) > 0.5, qt.IsTrue)
		})
	}

	t.Run("without trouble", func(t *testing.T) {
		c := qt.New(t)
		s := newSimulation(t, 36, 3, 1)
		s.versions = []string{"v1", "v2", "v3"}
		s.beginStreams(6 * 36)
		s.run()
		c.Assert(s.takenUp > 100, qt.IsTrue)
		c.Assert(s.known, qt.Equals, s.takenUp)
		c.Assert(s.wrong, qt.Equals, 0)
	})

	t.Run("a node that is killed", func(t *testing.T) {
		c := qt.New(t)
		total := &simulation{}
		for seed := range uint64(20) {
			s := newSimulation(t, 8, 3, seed)
			s.versions = []string{"v1", "v2"}
			s.beginStreams(6 * 8)
			s.after(5*time.Second, func() { s.kill(s.nodes[seed%8]) })
			s.run()
			c.Assert(s.wrong, qt.Equals, 0)
			total.add(s)
		}
		c.Assert(share(total.known, total.takenUp) > 0.95, qt.IsTrue, qt.Commentf("%d of %d", total.known, total.takenUp))
	})
}

func (s *simulation) add(o *simulation) {
	s.begun, s.announced, s.takenUp, s.known = s.begun+o.begun, s.announced+o.announced, s.takenUp+o.takenUp, s.known+o.known
	s.calm, s.calmKnown, s.dropped = s.calm+o.calm, s.calmKnown+o.calmKnown, s.dropped+o.dropped
	s.mostHeld = max(s.mostHeld, o.mostHeld)
}

func share(part, whole int) float64 {
	return float64(part) / max(1, float64(whole))
}
