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
	// simDuration is the length of one simulated run.
	simDuration = 50 * time.Second
	// drainTime is how long a draining node continues to serve.
	drainTime = 5 * time.Second
	// budgetRate is the number of requests per second and node.
	budgetRate = 5
)

// budgetNode is one node with its current process.
type budgetNode struct {
	name     string
	state    State
	process  int
	up       bool
	draining bool
	// cut says that the node receives no changes to the list of nodes.
	cut        bool
	handles    uint64
	requestIDs map[uint64]string
}

// budgetWorld simulates one pool of upstreams that fails most of the time, behind nodes that start
// and end. It counts what the upstreams and the callers see.
type budgetWorld struct {
	*qt.C
	*simClock

	settings chutebudget.Settings
	nodes    []*budgetNode
	// listed are the nodes on the platform's list.
	listed []string
	// failing is how failed calls end now, and share is the fraction of calls that fail.
	failing AttemptEnd
	share   float64
	// requests and retries are the times at which callers sent requests, and at which calls of
	// a request after its first one reached an upstream. arrived holds the requests of which a
	// call has reached one.
	requests []time.Time
	retries  []time.Time
	arrived  map[string]bool
	answered int
	// denied counts the requests that got no retry although the bound allowed one.
	denied int
}

func newBudgetWorld(t *testing.T, seed uint64, nodes int, slack float64) *budgetWorld {
	w := &budgetWorld{
		C: qt.New(t), simClock: newSimClock(seed), arrived: map[string]bool{},
		settings: chutebudget.Settings{Ratio: 0.2, Slack: slack},
	}
	for range nodes {
		w.addNode()
	}

	return w
}

// addNode starts a new node.
func (w *budgetWorld) addNode() {
	n := &budgetNode{name: fmt.Sprint("n", len(w.nodes))}
	w.nodes = append(w.nodes, n)
	w.startProcess(n)
}

// startProcess starts a node's process, which reads the platform's data and adds itself to the list.
func (w *budgetWorld) startProcess(n *budgetNode) {
	n.process++
	n.up, n.draining, n.requestIDs = true, false, map[uint64]string{}
	n.state = NewState(Settings{Self: Peer{Name: n.name, Zone: "z1"}, Retries: w.settings, Seed: w.random.Uint64()})
	w.on(n, ConfigAdopted{Config: testConfig(1)})
	w.on(n, UpstreamsListed{Upstreams: w.upstreams()})
	w.later(n, w.between(0, 300*time.Millisecond), func() { w.deliverList(n) })
	w.later(n, w.between(50*time.Millisecond, 500*time.Millisecond), func() {
		if !slices.Contains(w.listed, n.name) {
			w.listed = append(w.listed, n.name)
			w.announceList()
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

// later schedules a function, which runs only if the node still has the same process.
func (w *budgetWorld) later(n *budgetNode, d time.Duration, what func()) {
	process := n.process
	w.after(d, func() {
		if n.up && n.process == process {
			what()
		}
	})
}

// announceList delivers the list of nodes to all nodes, with a different delay for each.
func (w *budgetWorld) announceList() {
	for _, n := range w.nodes {
		w.later(n, w.between(20*time.Millisecond, 800*time.Millisecond), func() { w.deliverList(n) })
	}
}

// deliverList delivers the list of nodes to a node, unless it is cut off.
func (w *budgetWorld) deliverList(n *budgetNode) {
	if n.cut {
		return
	}
	var peers []Peer
	for _, name := range w.listed {
		peers = append(peers, Peer{Name: name, Zone: "z1"})
	}
	w.on(n, PeersListed{Peers: peers})
}

// on reduces an event at a node and carries out its effects.
func (w *budgetWorld) on(n *budgetNode, e Event) {
	var effects []Effect
	n.state, effects = Reduce(n.state, w.now, e)
	for _, effect := range effects {
		switch e := effect.(type) {
		case Send:
			process, id := n.process, n.requestIDs[e.Handle]
			w.after(w.between(time.Millisecond, 300*time.Millisecond), func() { w.arrive(n, process, id, e) })
		case Probe:
			w.later(n, e.At.Sub(w.now), func() { w.on(n, ProbeEnded{Upstream: e.Upstream.ID, Alive: true}) })
		case Deliver:
			w.answered++
		case LogStep:
			w.countDeniedRetry(e)
		}
	}
}

// countDeniedRetry counts a retry that was refused although the bound allowed it.
func (w *budgetWorld) countDeniedRetry(n LogStep) {
	if n.Step != StepRetryRefused {
		return
	}
	from := w.now.Add(-w.settings.WindowLength())
	if float64(w.count(w.retries, from)+1) <= w.maxRetries(from) {
		w.denied++
	}
}

// arrive delivers a call to its upstream, also if its node has ended in the meantime.
func (w *budgetWorld) arrive(n *budgetNode, process int, id string, s Send) {
	end := EndAnswered
	if w.random.Float64() < w.share {
		end = w.failing
	}
	if end != EndUnreachable {
		if w.arrived[id] {
			w.retries = append(w.retries, w.now)
		}
		w.arrived[id] = true
	}
	w.after(w.between(time.Millisecond, 60*time.Millisecond), func() {
		if n.up && n.process == process {
			w.on(n, AttemptEnded{Handle: s.Handle, Attempt: s.Attempt, End: end, HasAnswer: end == EndAnswered || end == EndErrored})
		}
	})
}

// sendRequest sends one request to a random node. A caller whose node is down tries again at a
// random node, which counts as another request.
func (w *budgetWorld) sendRequest() {
	w.requests = append(w.requests, w.now)
	n := w.nodes[w.random.IntN(len(w.nodes))]
	if !n.up {
		if slices.ContainsFunc(w.nodes, func(n *budgetNode) bool { return n.up }) {
			w.after(w.between(0, time.Second), w.sendRequest)
		}

		return
	}
	n.handles++
	s := plainRequest(n.handles, chuteroute.Repeatable)
	s.ID, s.Deadline = fmt.Sprint(n.name, "/", n.process, "/", n.handles), w.now.Add(3*time.Second)
	n.requestIDs[s.Handle] = s.ID
	w.on(n, Arrived{Submission: s})
}

// changeFailure makes the pool fail in another way, or not at all, for some seconds.
func (w *budgetWorld) changeFailure() {
	ends := []AttemptEnd{EndRefused, EndErrored, EndBroken, EndSilent, EndUnreachable}
	w.failing, w.share = ends[w.random.IntN(len(ends))], 0.4+0.6*w.random.Float64()
	if w.random.IntN(4) == 0 {
		w.share = 0
	}
	w.after(w.between(2*time.Second, 15*time.Second), w.changeFailure)
}

// kill ends a node's process, which starts again 0.3 to 3 s later.
func (w *budgetWorld) kill(n *budgetNode) {
	if !n.up {
		return
	}
	n.up = false
	n.process++
	w.after(w.between(300*time.Millisecond, 3*time.Second), func() {
		if !n.up {
			w.startProcess(n)
		}
	})
}

// drain removes a node from the list, lets it serve for drainTime, and restarts it.
func (w *budgetWorld) drain(n *budgetNode) {
	if !n.up || n.draining {
		return
	}
	n.draining = true
	w.on(n, DrainStarted{})
	w.listed = slices.DeleteFunc(w.listed, func(name string) bool { return name == n.name })
	w.announceList()
	w.later(n, drainTime, func() { w.kill(n) })
}

// injectFault causes one random fault.
func (w *budgetWorld) injectFault() {
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
			w.addNode()
		}
	case 5: // a third of the nodes gets no list changes for 2 to 9 s
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
		w.later(n, 0, func() { w.deliverList(n) })
	})
}

// count returns the number of times that lie in the window that begins at from.
func (w *budgetWorld) count(sorted []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(sorted, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(sorted, from.Add(w.settings.WindowLength()), time.Time.Compare)

	return last - first
}

// maxRetries returns the bound on the retries of all nodes in one window: the slack plus a share of
// the requests in this window, the one before or the one half a window before, whichever has most.
func (w *budgetWorld) maxRetries(from time.Time) float64 {
	most := 0
	for _, earlier := range []time.Duration{0, w.settings.WindowLength() / 2, w.settings.WindowLength()} {
		most = max(most, w.count(w.requests, from.Add(-earlier)))
	}

	return w.settings.Ratio*float64(most) + w.settings.Slack
}

// run simulates callers and faults and checks every window.
func (w *budgetWorld) run(faults time.Duration) {
	w.after(10*time.Second, func() {
		w.every(time.Second/time.Duration(budgetRate*len(w.nodes)), w.sendRequest)
		w.changeFailure()
		if faults > 0 {
			w.every(faults, w.injectFault)
		}
	})
	w.runUntil(start.Add(10*time.Second + simDuration))
	fullest, at := 0.0, start
	for _, from := range w.retries {
		if part := float64(w.count(w.retries, from)) / w.maxRetries(from); part > fullest {
			fullest, at = part, from
		}
	}
	w.Check(fullest <= 1, qt.IsTrue, qt.Commentf("%d retries in the window from %v, %v are allowed", w.count(w.retries, at), at.Sub(start), w.maxRetries(at)))
	w.Logf("%d requests, %d answered, %d retries, %d retries refused although the bound allowed them; the fullest window had %.2f of its bound",
		len(w.requests), w.answered, len(w.retries), w.denied, fullest)
}

// TestRepeatsAcrossNodes guards against nodes that together exceed the retry budget while a pool
// fails and nodes are killed, drained, added, or get no changes to the list of nodes.
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
