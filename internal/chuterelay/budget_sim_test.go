package chuterelay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutebudget"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroute"
)

const (
	// budgetLife is how long one simulated run lasts.
	budgetLife = 50 * time.Second
	// drainTime is how long a node that is told to end serves on.
	drainTime = 5 * time.Second
	// budgetRate is the number of requests a second, by node.
	budgetRate = 5
)

// budgetNode is one node with its present process.
type budgetNode struct {
	name     string
	state    State
	life     int
	up       bool
	draining bool
	// cut says that it hears of no change to the list of nodes.
	cut     bool
	handles uint64
	by      map[uint64]string
}

// budgetWorld is one pool of upstreams that fails for most of the time, behind nodes that
// come and go. It counts what the upstreams and the callers see.
type budgetWorld struct {
	*qt.C
	*simClock

	settings chutebudget.Settings
	nodes    []*budgetNode
	// listed are the nodes on the platform's list.
	listed []string
	// failing is how calls end now, and share the part of them that do.
	failing AttemptEnd
	share   float64
	// requests and repeats are when callers sent requests, and when arrivals beyond the
	// first of a request came; arrived are the requests of which one has come.
	requests []time.Time
	repeats  []time.Time
	arrived  map[string]bool
	answered int
	// starved counts the requests that got no repeat while the bound had room for one.
	starved int
}

func newBudgetWorld(t *testing.T, seed uint64, nodes int, slack float64) *budgetWorld {
	w := &budgetWorld{
		C: qt.New(t), simClock: newSimClock(seed), arrived: map[string]bool{},
		settings: chutebudget.Settings{Ratio: 0.2, Slack: slack},
	}
	for range nodes {
		w.add()
	}

	return w
}

// add brings a new node.
func (w *budgetWorld) add() {
	n := &budgetNode{name: fmt.Sprint("n", len(w.nodes))}
	w.nodes = append(w.nodes, n)
	w.boot(n)
}

// boot starts a node's process, which reads what the platform has and puts itself on the list.
func (w *budgetWorld) boot(n *budgetNode) {
	n.life++
	n.up, n.draining, n.by = true, false, map[uint64]string{}
	n.state = NewState(Settings{Self: Peer{Name: n.name, Zone: "z1"}, Retries: w.settings, Seed: w.random.Uint64()})
	w.on(n, ConfigAdopted{Config: testConfig(1)})
	w.on(n, UpstreamsListed{Upstreams: w.upstreams()})
	w.later(n, w.between(0, 300*time.Millisecond), func() { w.hear(n) })
	w.later(n, w.between(50*time.Millisecond, 500*time.Millisecond), func() {
		if !slices.Contains(w.listed, n.name) {
			w.listed = append(w.listed, n.name)
			w.tellList()
		}
	})
}

func (w *budgetWorld) upstreams() []chutefleet.Upstream {
	var all []chutefleet.Upstream
	for i := range 12 {
		id := fmt.Sprint("u", i)
		all = append(all, chutefleet.Upstream{
			ID: id, Name: id, Pool: plainPool, Address: id, Zone: "z1", Slots: 64, State: chutefleet.StateReady,
		})
	}

	return all
}

// later does something later if the node's process is still the same.
func (w *budgetWorld) later(n *budgetNode, d time.Duration, what func()) {
	life := n.life
	w.after(d, func() {
		if n.up && n.life == life {
			what()
		}
	})
}

// tellList has all nodes hear of the list of nodes, each at its own time.
func (w *budgetWorld) tellList() {
	for _, n := range w.nodes {
		w.later(n, w.between(20*time.Millisecond, 800*time.Millisecond), func() { w.hear(n) })
	}
}

// hear tells a node the list of nodes, unless it is cut off.
func (w *budgetWorld) hear(n *budgetNode) {
	if n.cut {
		return
	}
	var peers []Peer
	for _, name := range w.listed {
		peers = append(peers, Peer{Name: name, Zone: "z1"})
	}
	w.on(n, PeersListed{Peers: peers})
}

// on hands a node an event and carries out what follows.
func (w *budgetWorld) on(n *budgetNode, e Event) {
	var effects []Effect
	n.state, effects = Reduce(n.state, w.now, e)
	for _, effect := range effects {
		switch e := effect.(type) {
		case Send:
			life, id := n.life, n.by[e.Handle]
			w.after(w.between(time.Millisecond, 300*time.Millisecond), func() { w.arrive(n, life, id, e) })
		case Probe:
			w.later(n, e.At.Sub(w.now), func() { w.on(n, ProbeEnded{Upstream: e.Upstream.ID, Alive: true}) })
		case Deliver:
			w.answered++
		case LogStep:
			w.noteRefused(e)
		}
	}
}

// noteRefused counts a repeat that was refused though the bound had room for it.
func (w *budgetWorld) noteRefused(n LogStep) {
	if n.Step != StepRetryRefused {
		return
	}
	from := w.now.Add(-w.settings.Span())
	if float64(w.count(w.repeats, from)+1) <= w.allowed(from) {
		w.starved++
	}
}

// arrive brings a call of a request to its upstream, also if its node has ended since.
func (w *budgetWorld) arrive(n *budgetNode, life int, id string, s Send) {
	end := EndAnswered
	if w.random.Float64() < w.share {
		end = w.failing
	}
	if end != EndUnreachable {
		if w.arrived[id] {
			w.repeats = append(w.repeats, w.now)
		}
		w.arrived[id] = true
	}
	w.after(w.between(time.Millisecond, 60*time.Millisecond), func() {
		if n.up && n.life == life {
			w.on(n, AttemptEnded{Handle: s.Handle, Attempt: s.Attempt, End: end, HasAnswer: end == EndAnswered || end == EndErrored})
		}
	})
}

// come sends one request to some node. A caller whose node is down comes again at another
// one, which is another request.
func (w *budgetWorld) come() {
	w.requests = append(w.requests, w.now)
	n := w.nodes[w.random.IntN(len(w.nodes))]
	if !n.up {
		if slices.ContainsFunc(w.nodes, func(n *budgetNode) bool { return n.up }) {
			w.after(w.between(0, time.Second), w.come)
		}

		return
	}
	n.handles++
	s := plain(n.handles, chuteroute.Repeatable)
	s.ID, s.Deadline = fmt.Sprint(n.name, "/", n.life, "/", n.handles), w.now.Add(3*time.Second)
	n.by[s.Handle] = s.ID
	w.on(n, Arrived{Submission: s})
}

// fail has the pool fail in another way, or not at all, for some seconds.
func (w *budgetWorld) fail() {
	ends := []AttemptEnd{EndRefused, EndErrored, EndBroken, EndSilent, EndUnreachable}
	w.failing, w.share = ends[w.random.IntN(len(ends))], 0.4+0.6*w.random.Float64()
	if w.random.IntN(4) == 0 {
		w.share = 0
	}
	w.after(w.between(2*time.Second, 15*time.Second), w.fail)
}

// kill ends a node's process, which starts again a moment later.
func (w *budgetWorld) kill(n *budgetNode) {
	if !n.up {
		return
	}
	n.up = false
	n.life++
	w.after(w.between(300*time.Millisecond, 3*time.Second), func() {
		if !n.up {
			w.boot(n)
		}
	})
}

// drain takes a node off the list, lets it serve on for a while, and starts it again.
func (w *budgetWorld) drain(n *budgetNode) {
	if !n.up || n.draining {
		return
	}
	n.draining = true
	w.on(n, DrainStarted{})
	w.listed = slices.DeleteFunc(w.listed, func(name string) bool { return name == n.name })
	w.tellList()
	w.later(n, drainTime, func() { w.kill(n) })
}

// fault brings one trouble about.
func (w *budgetWorld) fault() {
	switch w.random.IntN(6) {
	case 0:
		w.kill(w.nodes[w.random.IntN(len(w.nodes))])
	case 1: // half of all nodes are killed
		for _, n := range w.nodes {
			if w.random.IntN(2) == 0 {
				w.kill(n)
			}
		}
	case 2: // all nodes are killed
		for _, n := range w.nodes {
			w.kill(n)
		}
	case 3: // nodes are stopped in turn
		for i, n := range w.nodes {
			w.after(time.Duration(i)*10*time.Second/time.Duration(len(w.nodes)), func() { w.drain(n) })
		}
	case 4: // nodes are added
		for range max(1, len(w.nodes)/8) {
			w.add()
		}
	case 5: // a third of the nodes hears of no change for a while
		for _, n := range w.nodes {
			if w.random.IntN(3) == 0 {
				w.cut(n, w.between(2*time.Second, 9*time.Second))
			}
		}
	}
}

func (w *budgetWorld) cut(n *budgetNode, span time.Duration) {
	n.cut = true
	w.after(span, func() {
		n.cut = false
		w.later(n, 0, func() { w.hear(n) })
	})
}

// count counts the times of one window.
func (w *budgetWorld) count(sorted []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(sorted, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(sorted, from.Add(w.settings.Span()), time.Time.Compare)

	return last - first
}

// allowed is the bound on the repeats of all nodes in one window: a share of the requests in
// it, in the one before, or in the one half a window before, and the slack.
func (w *budgetWorld) allowed(from time.Time) float64 {
	most := 0
	for _, earlier := range []time.Duration{0, w.settings.Span() / 2, w.settings.Span()} {
		most = max(most, w.count(w.requests, from.Add(-earlier)))
	}

	return w.settings.Ratio*float64(most) + w.settings.Slack
}

// run lets callers come and faults happen, and checks every window.
func (w *budgetWorld) run(faults time.Duration) {
	w.after(10*time.Second, func() {
		w.every(time.Second/time.Duration(budgetRate*len(w.nodes)), w.come)
		w.fail()
		if faults > 0 {
			w.every(faults, w.fault)
		}
	})
	w.runUntil(start.Add(10*time.Second + budgetLife))
	fullest, at := 0.0, start
	for _, from := range w.repeats {
		if part := float64(w.count(w.repeats, from)) / w.allowed(from); part > fullest {
			fullest, at = part, from
		}
	}
	w.Check(fullest <= 1, qt.IsTrue, qt.Commentf("%d repeats in the window from %v, %v are allowed", w.count(w.repeats, at), at.Sub(start), w.allowed(at)))
	w.Logf("%d requests, %d answered, %d repeats, %d refused one though there was room; the fullest window had %.2f of its bound",
		len(w.requests), w.answered, len(w.repeats), w.starved, fullest)
}

// TestRepeatsAcrossNodes guards against repeats of all nodes together beyond the retry budget
// while a pool fails and nodes are killed, drained, added, or hear nothing of the others.
func TestRepeatsAcrossNodes(t *testing.T) {
	for _, test := range []struct {
		nodes  int
		slack  float64
		seeds  uint64
		faults time.Duration
	}{
		{nodes: 4, slack: 56, seeds: 10, faults: 6 * time.Second},
		{nodes: 8, slack: 56, seeds: 20, faults: 6 * time.Second},
		{nodes: 8, slack: 56, seeds: 4},
		{nodes: 8, slack: 0, seeds: 8, faults: 6 * time.Second},
		{nodes: 65, slack: 170, seeds: 3, faults: 6 * time.Second},
	} {
		for seed := range test.seeds {
			t.Run(fmt.Sprintf("%d nodes, slack %v, a fault every %v, seed %d", test.nodes, test.slack, test.faults, seed), func(t *testing.T) {
				t.Parallel()
				newBudgetWorld(t, seed, test.nodes, test.slack).run(test.faults)
			})
		}
	}
}
