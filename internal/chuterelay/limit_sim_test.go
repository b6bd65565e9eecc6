package chuterelay

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutebudget"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroute"
)

const (
	// limitWindow, limitFactor and limitSlack bound what a limited upstream may get: in any
	// window so many times what its limit allows, and some calls besides.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitGrace is how long after it first named a limit the bound begins, and toldAfter how long
	// after an answer that names it a node counts as told.
	limitGrace = 3 * time.Second
	toldAfter  = 500 * time.Millisecond
	// limitLife is how long one simulated run lasts.
	limitLife = 30 * time.Second
)

// limitedUpstream is one upstream of the simulation.
type limitedUpstream struct {
	chutefleet.Upstream

	// limit is what it names now; negative if it names nothing.
	limit float64
	// since is when it began to name limits, and named those that it has named since then.
	since time.Time
	named []namedLimit
	// arrivals are the calls that came from nodes that were told, all those from any node since
	// the bound holds.
	arrivals []time.Time
	all      []time.Time
	told     map[int]time.Time
}

// namedLimit is a limit that an upstream names from a time on.
type namedLimit struct {
	at        time.Time
	perSecond float64
}

// most is the highest limit that was named, or could still count at some node, in the window that ends now.
func (u *limitedUpstream) most(now time.Time) float64 {
	most := 0.0
	for j, l := range u.named {
		over := j+1 < len(u.named) && now.Sub(u.named[j+1].at) >= limitWindow+limitGrace
		if !over {
			most = max(most, l.perSecond)
		}
	}

	return most
}

// limitWorld is a pool of upstreams that name limits behind nodes without a network.
type limitWorld struct {
	*qt.C
	*simClock

	nodes     []State
	peers     []Peer
	upstreams map[string]*limitedUpstream
	// excused is until when a node's calls do not count, since it was restarted.
	excused map[int]time.Time
	// weights is the part of the callers that each node has.
	weights []float64
	// silent says that nodes do not hear each other, words counts what they would tell.
	silent bool
	words  int
	// judgeAll says that the bound is to hold for the calls of all nodes, also of those that no
	// answer has told.
	judgeAll bool
	handles  uint64
	refused  int
	served   int
	// callers are those of the requests under way, by node and handle.
	callers map[uint64]int
}

func newLimitWorld(t testing.TB, seed uint64, nodes, upstreams int) *limitWorld {
	w := &limitWorld{
		C: qt.New(t), simClock: newSimClock(seed), upstreams: map[string]*limitedUpstream{}, excused: map[int]time.Time{},
		callers: map[uint64]int{},
	}
	var list []chutefleet.Upstream
	for i := range upstreams {
		u := chutefleet.Upstream{
			ID: fmt.Sprint("e", i), Name: fmt.Sprint("e", i), Pool: enginePool, Zone: fmt.Sprint("z", i%3), Slots: 64, State: chutefleet.StateReady,
		}
		list = append(list, u)
		w.upstreams[u.ID] = &limitedUpstream{Upstream: u, limit: -1, told: map[int]time.Time{}}
	}
	for i := range nodes {
		w.peers = append(w.peers, Peer{Name: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%3), Power: 1})
		w.weights = append(w.weights, 1)
	}
	for i := range nodes {
		w.nodes = append(w.nodes, State{})
		w.boot(i, list)
	}

	return w
}

// boot starts a node's process, which knows nothing of limits.
func (w *limitWorld) boot(i int, list []chutefleet.Upstream) {
	w.nodes[i] = NewState(Settings{Self: w.peers[i], Retries: chutebudget.Settings{Ratio: 0.2, Slack: 100}, Seed: w.random.Uint64()})
	w.on(i, ConfigAdopted{Config: coldConfig(nil)})
	w.on(i, PeersListed{Peers: w.peers})
	w.on(i, UpstreamsListed{Upstreams: list})
}

func (w *limitWorld) on(i int, e Event) {
	var effects []Effect
	w.nodes[i], effects = Reduce(w.nodes[i], w.now, e)
	for _, effect := range effects {
		switch e := effect.(type) {
		case Send:
			// A call reaches its upstream some time after it was decided on.
			w.after(w.between(time.Millisecond, 100*time.Millisecond), func() { w.reach(i, e) })
		case AnnounceLimit:
			w.tell(i, e)
		case Refuse:
			w.refuse(e)
		}
	}
}

// tell brings a node's word to the others, unless nodes are silent to each other.
func (w *limitWorld) tell(from int, e AnnounceLimit) {
	w.words++
	for i := range w.nodes {
		if i != from && !w.silent {
			w.after(w.between(time.Millisecond, 50*time.Millisecond), func() {
				w.on(i, LimitsAnnounced{Limits: []chutefleet.LimitRecord{e.Limit}})
			})
		}
	}
}

// reach has a call arrive at its upstream, which answers it after a while.
func (w *limitWorld) reach(i int, s Send) {
	u := w.upstreams[s.Upstream.ID]
	told, isTold := u.told[i]
	if !u.since.IsZero() && w.now.Sub(u.since) >= limitGrace {
		u.all = append(u.all, w.now)
		if w.judgeAll {
			w.judge(u, u.all)
		}
		if isTold && w.now.Sub(told) >= toldAfter && !w.now.Before(w.excused[i]) {
			u.arrivals = append(u.arrivals, w.now)
			w.judge(u, u.arrivals)
		}
	}
	limit := &Limit{Named: u.limit >= 0, PerSecond: max(0, u.limit)}
	w.after(w.between(50*time.Millisecond, 300*time.Millisecond), func() {
		if limit.Named && !isTold {
			u.told[i] = w.now
		}
		w.on(i, AttemptBegan{Handle: s.Handle, Attempt: s.Attempt, Limit: limit})
	})
	w.after(w.between(300*time.Millisecond, 2*time.Second), func() {
		w.served++
		w.on(i, AttemptEnded{Handle: s.Handle, Attempt: s.Attempt, End: EndAnswered, HasAnswer: true})
	})
}

// judge checks the window that ends now.
func (w *limitWorld) judge(u *limitedUpstream, arrivals []time.Time) {
	count := 0
	for j := len(arrivals) - 1; j >= 0 && w.now.Sub(arrivals[j]) < limitWindow; j-- {
		count++
	}
	allowed := limitFactor*u.most(w.now)*limitWindow.Seconds() + limitSlack
	w.Assert(float64(count) <= allowed, qt.IsTrue, qt.Commentf("%s got %d calls in %v, %v allowed", u.ID, count, limitWindow, allowed))
}

// name has an upstream name a limit from now on, or none if it is negative.
func (w *limitWorld) name(id string, limit float64) {
	u := w.upstreams[id]
	if u.limit = limit; limit < 0 {
		u.since, u.named, u.told = time.Time{}, nil, map[int]time.Time{}

		return
	}
	if u.since.IsZero() {
		u.since, u.arrivals, u.all = w.now, nil, nil
	}
	u.named = append(u.named, namedLimit{at: w.now, perSecond: limit})
}

// ask has a caller send its request to a node, each node as often as its weight says.
func (w *limitWorld) ask(tries int) {
	total := 0.0
	for _, weight := range w.weights {
		total += weight
	}
	i, draw := 0, w.random.Float64()*total
	for draw -= w.weights[0]; draw >= 0 && i < len(w.weights)-1; draw -= w.weights[i] {
		i++
	}
	w.handles++
	w.callers[w.handles] = tries
	w.on(i, Arrived{Submission: Submission{
		Handle: w.handles, ID: fmt.Sprint(w.handles), Affinity: fmt.Sprint("s", w.random.IntN(200)), Deadline: w.now.Add(6 * time.Second),
		Pipeline: chuteroute.Pipeline{
			Name: "prompts", Repeat: chuteroute.Resumable, Streams: true, MaxAttempts: 2, Aim: time.Second, Affinity: true,
			Targets: []chuteroute.Target{{Pool: enginePool, Weight: 1}},
		},
	}})
}

// refuse has a caller come back some times.
func (w *limitWorld) refuse(e Refuse) {
	w.refused++
	if tries := w.callers[e.Handle]; tries < 3 {
		w.after(e.Refusal.RetryAfter+time.Millisecond, func() { w.ask(tries + 1) })
	}
}

// callers has new ones come at a rate.
func (w *limitWorld) comeAt(perSecond float64) {
	w.every(time.Duration(float64(time.Second)/perSecond), func() { w.ask(1) })
}

// used is the part of what its limit allows that an upstream has got since the bound holds.
func (w *limitWorld) used(u *limitedUpstream) float64 {
	return float64(len(u.all)) / (u.most(w.now) * (w.now.Sub(u.since) - limitGrace).Seconds())
}

// limitLoad is a pool whose upstreams name limits.
type limitLoad struct {
	name      string
	upstreams int
	// limited is how many name a limit, and rate that limit.
	limited int
	rate    float64
	// callers come at perSecond for each node; skew is how many times the callers of another
	// node the first of eight have.
	perSecond float64
	skew      float64
}

var limitLoads = []limitLoad{
	{name: "one of eight takes one a second", upstreams: 8, limited: 1, rate: 1, perSecond: 2},
	{name: "two of twelve take one a second", upstreams: 12, limited: 2, rate: 1, perSecond: 4},
	{name: "one of eight takes less than one a second", upstreams: 8, limited: 1, rate: 0.3, perSecond: 2},
	{name: "all take two a second", upstreams: 8, limited: 8, rate: 2, perSecond: 3},
	{name: "all take two a second, some nodes have most callers", upstreams: 8, limited: 8, rate: 2, perSecond: 3, skew: 5},
}

// Guards against nodes that together send an upstream more than the limit that it names.
func TestLimitAcrossNodes(t *testing.T) {
	for _, size := range []int{8, 65, 195} {
		for _, load := range limitLoads {
			for _, silent := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d nodes, that hear each other: %v", load.name, size, !silent), func(t *testing.T) {
					playLimits(t, load, size, silent)
				})
			}
		}
	}
}

// playLimits runs one load and tells how much of the limits was used.
func playLimits(t *testing.T, load limitLoad, size int, silent bool) {
	w := newLimitWorld(t, 1, size, load.upstreams)
	w.silent, w.judgeAll = silent, !silent
	for i := 0; load.skew > 0 && i < size; i += 8 {
		w.weights[i] = load.skew
	}
	w.comeAt(load.perSecond * float64(size))
	w.runUntil(start.Add(2 * time.Second))
	for i := range load.limited {
		w.name(fmt.Sprint("e", i), load.rate)
	}
	w.runUntil(start.Add(limitLife))
	least, most := math.Inf(1), 0.0
	for i := range load.limited {
		u := w.used(w.upstreams[fmt.Sprint("e", i)])
		least, most = min(least, u), max(most, u)
	}
	t.Logf("served %d, refused %d, used %.2f to %.2f of the limits, %d words", w.served, w.refused, least, most, w.words)
}

// listWithout has each node hear, one after the other, of a list of nodes that lacks one.
func (w *limitWorld) listWithout(missing int) {
	var listed []Peer
	for i, p := range w.peers {
		if i != missing {
			listed = append(listed, p)
		}
	}
	for i := range w.nodes {
		w.after(w.between(0, 2*time.Second), func() { w.on(i, PeersListed{Peers: listed}) })
	}
}

// Guards against a bound that is lost when limits come, change and go while nodes are restarted,
// leave the list and come back to it.
func TestLimitThroughChanges(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newLimitWorld(t, seed, 8, 6)
			w.comeAt(30)
			w.every(2*time.Second, func() {
				id := fmt.Sprint("e", w.random.IntN(6))
				w.name(id, []float64{-1, 0, 0.4, 1, 2.5, 10}[w.random.IntN(6)])
			})
			w.every(5*time.Second, func() {
				i := w.random.IntN(len(w.nodes))
				var list []chutefleet.Upstream
				for j := range 6 {
					list = append(list, w.upstreams[fmt.Sprint("e", j)].Upstream)
				}
				w.boot(i, list)
				w.excused[i] = w.now.Add(limitGrace)
				for _, u := range w.upstreams {
					delete(u.told, i)
				}
			})
			w.every(6*time.Second, func() { w.listWithout(w.random.IntN(2 * len(w.nodes))) })
			w.runUntil(start.Add(2 * limitLife))
			t.Logf("served %d, refused %d", w.served, w.refused)
		})
	}
}
