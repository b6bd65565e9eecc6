package chuterelay

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutebudget"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroute"
)

var simLarge = flag.Bool("sim.large", false, "also simulate up to 985 nodes")

const (
	// cutDuration is how long links are cut in a run, cutGrace the time in which a node has to have found
	// out, and cutRunDuration the simulated time of a run.
	cutDuration    = 12 * time.Second
	cutGrace       = 3 * time.Second
	cutRunDuration = 20 * time.Second
	// simDialTimeout is how long a connection attempt takes to fail that gets no reply.
	simDialTimeout = 350 * time.Millisecond
	// nodeInterval is the mean time between two requests at a node.
	nodeInterval = 200 * time.Millisecond
)

// cutWorld simulates nodes in front of upstreams that some of them can't reach for a while, without a
// network.
type cutWorld struct {
	*qt.C
	*simClock

	nodes []State
	peers []Peer
	index map[string]int
	// cut holds the nodes whose links to upstreams are cut, hangs says whether connection attempts hang
	// or are refused.
	cut   map[int]bool
	hangs bool
	// alive is false for a node that was killed.
	alive map[int]bool
	// served and sent count first tries by whether the node's links were cut, after cutGrace.
	served, sent map[bool]int
	// runs counts how often each request ran.
	runs map[string]int
	// forwardedTo counts the requests that each node served for others.
	forwardedTo map[int]int
	handles     uint64
	origins     map[uint64]simOrigin
	cutFrom     time.Time
	cutUntil    time.Time
	// callUpstream replaces what happens to a call that reaches its upstream; nil for an answer.
	callUpstream func(i int, s Send)
	// onAnnounce is called with each limit that a node announces; nil for nothing.
	onAnnounce func(i int, e AnnounceLimit)
	// longestUnserved is the longest time that a first try at a cut off node took that was not served.
	longestUnserved time.Duration
}

// simOrigin says for whom a node serves a request: its own caller, or a node that forwards it.
type simOrigin struct {
	caller bool
	cut    bool
	sentAt time.Time
	from   int
	send   Send
}

func newCutWorld(t testing.TB, seed uint64, nodes int) *cutWorld {
	w := &cutWorld{
		C: qt.New(t), simClock: newSimClock(seed), index: map[string]int{}, cut: map[int]bool{}, alive: map[int]bool{}, served: map[bool]int{},
		sent: map[bool]int{}, runs: map[string]int{}, forwardedTo: map[int]int{}, origins: map[uint64]simOrigin{},
	}
	for i := range nodes {
		peer := Peer{Name: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%3), Address: fmt.Sprint("n", i), Power: 1}
		w.peers = append(w.peers, peer)
		w.index[peer.Name], w.alive[i] = i, true
	}
	for i := range nodes {
		s := NewState(Settings{Self: w.peers[i], Retries: chutebudget.Settings{Ratio: 0.2, Slack: 100}, Seed: w.random.Uint64()})
		w.nodes = append(w.nodes, s)
		w.on(i, ConfigAdopted{Config: testConfig(1)})
		w.on(i, PeersListed{Peers: w.peers})
		w.on(i, UpstreamsListed{Upstreams: simUpstreams(max(4, nodes/2))})
	}

	return w
}

// simUpstreams returns upstreams of the plain pool in three zones.
func simUpstreams(n int) []chutefleet.Upstream {
	var all []chutefleet.Upstream
	for i := range n {
		id := fmt.Sprint("p", i)
		all = append(all, chutefleet.Upstream{ID: id, Name: id, Pool: plainPool, Address: id, Zone: fmt.Sprint("z", i%3), Slots: 64, State: chutefleet.StateReady})
	}

	return all
}

func (w *cutWorld) on(i int, e Event) {
	if !w.alive[i] {
		return
	}
	var effects []Effect
	w.nodes[i], effects = Reduce(w.nodes[i], w.now, e)
	for _, effect := range effects {
		w.perform(i, effect)
	}
}

func (w *cutWorld) perform(i int, effect Effect) {
	switch e := effect.(type) {
	case Send:
		if e.Peer.Name != "" {
			w.after(time.Millisecond, func() { w.forward(i, e) })
		} else {
			w.call(i, e)
		}
	case Deliver:
		w.ended(i, e.Handle, nil)
	case Refuse:
		w.ended(i, e.Handle, &e.Refusal)
	case AnnounceLimit:
		if w.onAnnounce != nil {
			w.onAnnounce(i, e)
		}
	case ProbeLinks:
		w.after(e.At.Sub(w.now), func() { w.probe(i, e) })
	case Probe:
		w.after(e.At.Sub(w.now)+w.dialTime(i), func() { w.on(i, ProbeEnded{Upstream: e.Upstream.ID, Alive: !w.cut[i]}) })
	}
}

// dialTime is how long a connection attempt of a node takes.
func (w *cutWorld) dialTime(i int) time.Duration {
	if w.cut[i] && w.hangs {
		return simDialTimeout
	}

	return time.Millisecond
}

func (w *cutWorld) call(i int, s Send) {
	if w.cut[i] {
		w.after(w.dialTime(i), func() {
			w.on(i, AttemptEnded{Handle: s.Handle, Attempt: s.Attempt, End: EndUnreachable, Silent: w.hangs})
		})

		return
	}
	if r, ok := w.nodes[i].requests.Get(s.Handle); ok {
		w.runs[r.ID]++
	}
	if w.callUpstream != nil {
		w.callUpstream(i, s)

		return
	}
	w.after(w.between(20*time.Millisecond, 100*time.Millisecond), func() {
		w.on(i, AttemptEnded{Handle: s.Handle, Attempt: s.Attempt, End: EndAnswered, HasAnswer: true})
	})
}

func (w *cutWorld) probe(i int, e ProbeLinks) {
	w.after(w.dialTime(i), func() {
		probed := LinksProbed{Reached: true}
		if w.cut[i] {
			probed = LinksProbed{}
			for _, u := range e.Upstreams {
				probed.Failed = append(probed.Failed, u.ID)
			}
		}
		w.on(i, probed)
	})
}

// forward brings a request to its peer.
func (w *cutWorld) forward(from int, s Send) {
	to := w.index[s.Peer.Name]
	r, ok := w.nodes[from].requests.Get(s.Handle)
	switch {
	case !ok:
		return
	case !w.alive[to]:
		w.after(simDialTimeout, func() {
			w.on(from, AttemptEnded{Handle: s.Handle, Attempt: s.Attempt, End: EndUnreachable, Silent: true})
		})

		return
	}
	w.forwardedTo[to]++
	submission := r.Submission
	submission.Forwarded = &Forwarded{Node: w.peers[from].Name, Waited: w.now.Sub(s.ArrivedAt), PossibleRuns: s.PossibleRuns, Counted: s.Counted}
	w.arrive(to, submission, simOrigin{from: from, send: s})
}

func (w *cutWorld) arrive(i int, submission Submission, origin simOrigin) {
	w.handles++
	submission.Handle = w.handles
	w.origins[w.handles] = origin
	w.on(i, Arrived{Submission: submission})
}

// ended brings the end of a request to its caller, or to the node that has forwarded it.
func (w *cutWorld) ended(i int, handle uint64, refusal *Refusal) {
	origin := w.origins[handle]
	delete(w.origins, handle)
	if !origin.caller {
		end := AttemptEnded{Handle: origin.send.Handle, Attempt: origin.send.Attempt, End: EndAnswered, HasAnswer: true}
		if refusal != nil {
			end.End, end.HasAnswer, end.Refusal = EndRefused, false, refusal
		}
		w.after(time.Millisecond, func() { w.on(origin.from, end) })

		return
	}
	if origin.sentAt.Before(w.cutFrom.Add(cutGrace)) || !origin.sentAt.Before(w.cutUntil) {
		return
	}
	w.sent[origin.cut]++
	if refusal == nil {
		w.served[origin.cut]++
	} else {
		w.longestUnserved = max(w.longestUnserved, w.now.Sub(origin.sentAt))
	}
}

// run cuts the links of some nodes for a while, during which callers go on.
func (w *cutWorld) run(cut int) {
	for i := range w.nodes {
		w.every(nodeInterval, func() {
			if !w.alive[i] {
				return
			}
			w.handles++
			submission := plainRequest(0, chuteroute.Unrepeatable)
			submission.ID, submission.Deadline = fmt.Sprint("r", w.handles), w.now.Add(3*time.Second)
			w.arrive(i, submission, simOrigin{caller: true, cut: w.cut[i], sentAt: w.now})
		})
	}
	w.cutFrom = w.now.Add(2 * time.Second)
	w.cutUntil = w.cutFrom.Add(cutDuration)
	w.after(2*time.Second, func() {
		for i := range cut {
			w.cut[i] = true
		}
	})
	w.after(2*time.Second+cutDuration, func() { clear(w.cut) })
	w.runUntil(start.Add(cutRunDuration))
}

// servedShare is the share of first tries that were served, at nodes whose links were cut or at the others.
func (w *cutWorld) servedShare(cut bool) float64 {
	return float64(w.served[cut]) / float64(max(1, w.sent[cut]))
}

// expectServed checks what was served while links were cut, and that no request ran twice.
func (w *cutWorld) expectServed(cut int) {
	w.Helper()
	w.Logf("cut off: %d of %d served, others: %d of %d", w.served[true], w.sent[true], w.served[false], w.sent[false])
	const minServed = 0.98
	w.Assert(w.servedShare(false) >= minServed || cut == len(w.nodes), qt.IsTrue)
	if cut < len(w.nodes) {
		w.Assert(w.servedShare(true) >= minServed, qt.IsTrue)
	}
	for id, n := range w.runs {
		w.Assert(n, qt.Equals, 1, qt.Commentf(id))
	}
	for i := range w.nodes {
		w.Assert(w.nodes[i].CutOff(), qt.IsFalse, qt.Commentf("n%d still counts as cut off", i))
	}
}

// Guards against cut off nodes whose callers are served worse than others, at any size and with any share of
// the nodes cut off, up to two thirds.
func TestCutOffNodes(t *testing.T) {
	sizes := []int{8, 36}
	if *simLarge {
		sizes = append(sizes, 195, 400, 985)
	}
	for _, size := range sizes {
		for _, cut := range []int{1, max(1, size/10), size / 3, 2 * size / 3} {
			for _, hangs := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d of %d nodes, hanging %t", cut, size, hangs), func(t *testing.T) {
					w := newCutWorld(t, uint64(size+cut), size)
					w.hangs = hangs
					w.run(cut)
					w.expectServed(cut)
				})
			}
		}
	}
}

// Guards against callers that are held when all nodes are cut off.
func TestAllNodesCutOff(t *testing.T) {
	w := newCutWorld(t, 1, 36)
	w.hangs = true
	w.run(36)
	w.expectServed(36)
	w.Assert(w.served[true], qt.Equals, 0)
	w.Assert(w.longestUnserved < time.Second, qt.IsTrue, qt.Commentf("a caller was held for %v", w.longestUnserved))
}

// Guards against cut off nodes that serve nobody because the nodes that they forward to are killed.
func TestCutOffBesideKills(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newCutWorld(t, seed, 12)
			w.hangs = seed%2 == 0
			w.after(8*time.Second, func() { w.alive[10], w.alive[11] = false, false })
			w.run(4)
			w.expectServed(4)
		})
	}
}

// Guards against a peer that gets most of what a third of the nodes forward.
func TestCutOffLoad(t *testing.T) {
	w := newCutWorld(t, 3, 36)
	w.run(12)
	total, most := 0, 0
	for _, n := range w.forwardedTo {
		total, most = total+n, max(most, n)
	}
	w.Assert(float64(most) <= 2*float64(total)/24, qt.IsTrue, qt.Commentf("one of 24 peers got %d of %d", most, total))
}
