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
	// limitWindow, limitFactor and limitSlack bound the calls that a limited upstream may receive:
	// in any window at most limitFactor times what its limit allows, plus limitSlack calls.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitGrace is the time between an upstream's first report of a limit and the start of the
	// bound. limitKnownAfter is the time after the first response with a limit from which on the
	// calls of the node that sent the request are checked.
	limitGrace      = 3 * time.Second
	limitKnownAfter = 500 * time.Millisecond
	// limitRunDuration is the simulated time of one run.
	limitRunDuration = 30 * time.Second
)

// limitedUpstream is a simulated upstream that may report a limit.
type limitedUpstream struct {
	chutefleet.Upstream

	// limit is the limit currently reported, in calls per second; negative if none is reported.
	limit float64
	// limitedSince is the time of the first limit reported, and limits holds all reported since.
	limitedSince time.Time
	limits       []reportedLimit
	// informedCalls holds the arrival times of calls from nodes that have received the limit in a
	// response, and allCalls those of calls from any node, both from the start of the bound.
	// informedAt maps a node to the time of the first response that reported a limit to it.
	informedCalls []time.Time
	allCalls      []time.Time
	informedAt    map[int]time.Time
	// incarnations counts the processes that have had the upstream's name. Answers to calls that arrive before
	// answersLostUntil are lost.
	incarnations     int
	answersLostUntil time.Time
}

// reportedLimit is a limit that an upstream reports from a given time on.
type reportedLimit struct {
	at        time.Time
	perSecond float64
}

// maxLimit returns the highest limit that was reported, or may still be in use at some node, in the
// window that ends now.
func (u *limitedUpstream) maxLimit(now time.Time) float64 {
	most := 0.0
	for j, l := range u.limits {
		superseded := j+1 < len(u.limits) && now.Sub(u.limits[j+1].at) >= limitWindow+limitGrace
		if !superseded {
			most = max(most, l.perSecond)
		}
	}

	return most
}

// limitWorld simulates nodes in front of a pool of upstreams that report limits, without a network.
type limitWorld struct {
	*qt.C
	*simClock

	nodes     []State
	peers     []Peer
	upstreams map[string]*limitedUpstream
	// excusedUntil maps a restarted node to the time before which its calls do not count as informed.
	excusedUntil map[int]time.Time
	// weights holds each node's relative number of requests.
	weights []float64
	// announcementsLost drops all announcements between nodes; announcements counts those sent,
	// including the dropped ones.
	announcementsLost bool
	announcements     int
	// stored holds the limit records that a node reads at its start, by key.
	stored map[string]chutefleet.LimitRecord
	// checkAllCalls applies the bound to the calls of all nodes, including those that have not
	// received the limit in a response.
	checkAllCalls bool
	handles       uint64
	refused       int
	served        int
	// triesByHandle maps a request's handle to how many times its caller has sent it.
	triesByHandle map[uint64]int
}

func newLimitWorld(t testing.TB, seed uint64, nodes, upstreams int) *limitWorld {
	w := &limitWorld{
		C: qt.New(t), simClock: newSimClock(seed), upstreams: map[string]*limitedUpstream{}, excusedUntil: map[int]time.Time{},
		triesByHandle: map[uint64]int{}, stored: map[string]chutefleet.LimitRecord{},
	}
	var list []chutefleet.Upstream
	for i := range upstreams {
		u := chutefleet.Upstream{
			ID: fmt.Sprint("e", i), Name: fmt.Sprint("e", i), Pool: enginePool, Zone: fmt.Sprint("z", i%3), Slots: 64, State: chutefleet.StateReady,
		}
		list = append(list, u)
		w.upstreams[u.ID] = &limitedUpstream{Upstream: u, limit: -1, informedAt: map[int]time.Time{}}
	}
	for i := range nodes {
		w.peers = append(w.peers, Peer{Name: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%3), Power: 1})
		w.weights = append(w.weights, 1)
	}
	for i := range nodes {
		w.nodes = append(w.nodes, State{})
		w.startProcess(i, list)
	}

	return w
}

// startProcess starts a node's process, which does not know any limit.
func (w *limitWorld) startProcess(i int, list []chutefleet.Upstream) {
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
			if e.Peer.Name != "" {
				// Other nodes take no requests over here.
				w.after(time.Millisecond, func() { w.on(i, AttemptEnded{Handle: e.Handle, Attempt: e.Attempt, End: EndUnreachable}) })

				continue
			}
			// A call reaches its upstream with a delay after the node has chosen the upstream.
			w.after(w.between(time.Millisecond, 100*time.Millisecond), func() { w.arrive(i, e) })
		case ProbeLinks:
			w.after(e.At.Sub(w.now)+time.Millisecond, func() { w.on(i, LinksProbed{Reached: true}) })
		case AnnounceLimit:
			w.announceLimit(i, e)
		case Refuse:
			w.retryRefused(e)
		}
	}
}

// announceLimit delivers a node's announcement to the other nodes unless announcements are lost.
func (w *limitWorld) announceLimit(from int, e AnnounceLimit) {
	w.announcements++
	w.stored[chutefleet.LimitKey(e.Limit.Upstream)] = e.Limit
	for i := range w.nodes {
		if i != from && !w.announcementsLost {
			w.after(w.between(time.Millisecond, 50*time.Millisecond), func() {
				w.on(i, LimitsAnnounced{Limits: []chutefleet.LimitRecord{e.Limit}})
			})
		}
	}
}

// arrive delivers a call to its upstream, which responds after a delay.
func (w *limitWorld) arrive(i int, s Send) {
	u := w.upstreams[s.Upstream.Name]
	informedAt, informed := u.informedAt[i]
	if !u.limitedSince.IsZero() && w.now.Sub(u.limitedSince) >= limitGrace {
		u.allCalls = append(u.allCalls, w.now)
		if w.checkAllCalls {
			w.checkCalls(u, u.allCalls)
		}
		if informed && w.now.Sub(informedAt) >= limitKnownAfter && !w.now.Before(w.excusedUntil[i]) {
			u.informedCalls = append(u.informedCalls, w.now)
			w.checkCalls(u, u.informedCalls)
		}
	}
	if w.now.Before(u.answersLostUntil) {
		w.after(w.between(time.Millisecond, 50*time.Millisecond), func() {
			w.on(i, AttemptEnded{Handle: s.Handle, Attempt: s.Attempt, End: EndBroken})
		})

		return
	}
	limit := &Limit{Named: u.limit >= 0, PerSecond: max(0, u.limit)}
	w.after(w.between(50*time.Millisecond, 300*time.Millisecond), func() {
		if limit.Named && !informed {
			u.informedAt[i] = w.now
		}
		w.on(i, AttemptBegan{Handle: s.Handle, Attempt: s.Attempt, Limit: limit})
	})
	w.after(w.between(300*time.Millisecond, 2*time.Second), func() {
		w.served++
		w.on(i, AttemptEnded{Handle: s.Handle, Attempt: s.Attempt, End: EndAnswered, HasAnswer: true})
	})
}

// checkCalls checks the number of calls in the window that ends now against the bound.
func (w *limitWorld) checkCalls(u *limitedUpstream, arrivals []time.Time) {
	count := 0
	for j := len(arrivals) - 1; j >= 0 && w.now.Sub(arrivals[j]) < limitWindow; j-- {
		count++
	}
	allowed := limitFactor*u.maxLimit(w.now)*limitWindow.Seconds() + limitSlack
	w.Assert(float64(count) <= allowed, qt.IsTrue, qt.Commentf("%s received %d calls in %v, %v allowed", u.ID, count, limitWindow, allowed))
}

// setLimit sets the limit that an upstream reports from now on; a negative one ends the reports.
func (w *limitWorld) setLimit(id string, limit float64) {
	u := w.upstreams[id]
	if u.limit = limit; limit < 0 {
		u.limitedSince, u.limits, u.informedAt = time.Time{}, nil, map[int]time.Time{}

		return
	}
	if u.limitedSince.IsZero() {
		u.limitedSince, u.informedCalls, u.allCalls = w.now, nil, nil
	}
	u.limits = append(u.limits, reportedLimit{at: w.now, perSecond: limit})
}

// sendRequest sends a request to a random node, chosen by weight. tries counts the times that the
// caller has sent it, including this one.
func (w *limitWorld) sendRequest(tries int) {
	total := 0.0
	for _, weight := range w.weights {
		total += weight
	}
	i, draw := 0, w.random.Float64()*total
	for draw -= w.weights[0]; draw >= 0 && i < len(w.weights)-1; draw -= w.weights[i] {
		i++
	}
	w.handles++
	w.triesByHandle[w.handles] = tries
	w.on(i, Arrived{Submission: Submission{
		Handle: w.handles, ID: fmt.Sprint(w.handles), Affinity: fmt.Sprint("s", w.random.IntN(200)), Deadline: w.now.Add(6 * time.Second),
		Pipeline: chuteroute.Pipeline{
			Name: "prompts", Repeat: chuteroute.Resumable, Streams: true, MaxAttempts: 2, Aim: time.Second, Affinity: true,
			Targets: []chuteroute.Target{{Pool: enginePool, Weight: 1}},
		},
	}})
}

// retryRefused counts a refused request and sends it again after its retry delay, up to three
// tries in all.
func (w *limitWorld) retryRefused(e Refuse) {
	w.refused++
	if tries := w.triesByHandle[e.Handle]; tries < 3 {
		w.after(e.Refusal.RetryAfter+time.Millisecond, func() { w.sendRequest(tries + 1) })
	}
}

// startCallers starts sending new requests at an average rate.
func (w *limitWorld) startCallers(perSecond float64) {
	w.every(time.Duration(float64(time.Second)/perSecond), func() { w.sendRequest(1) })
}

// usedFraction returns the calls an upstream has received since the start of the bound, as a
// fraction of what its limit allows.
func (w *limitWorld) usedFraction(u *limitedUpstream) float64 {
	return float64(len(u.allCalls)) / (u.maxLimit(w.now) * (w.now.Sub(u.limitedSince) - limitGrace).Seconds())
}

// limitLoad describes the limits of a pool and the request rate.
type limitLoad struct {
	name      string
	upstreams int
	// limited is the number of upstreams that report a limit, and rate is that limit in calls per
	// second.
	limited int
	rate    float64
	// perSecond is the average request rate per node. skew is the weight of every eighth node,
	// relative to the others; 0 leaves all weights equal.
	perSecond float64
	skew      float64
}

var limitLoads = []limitLoad{
	{name: "one of eight upstreams limited to 1 per second", upstreams: 8, limited: 1, rate: 1, perSecond: 2},
	{name: "two of twelve upstreams limited to 1 per second", upstreams: 12, limited: 2, rate: 1, perSecond: 4},
	{name: "one of eight upstreams limited to 0.3 per second", upstreams: 8, limited: 1, rate: 0.3, perSecond: 2},
	{name: "all upstreams limited to 2 per second", upstreams: 8, limited: 8, rate: 2, perSecond: 3},
	{name: "all upstreams limited to 2 per second, uneven load on nodes", upstreams: 8, limited: 8, rate: 2, perSecond: 3, skew: 5},
}

// Guards against nodes that together send an upstream more calls than its reported limit allows.
func TestLimitAcrossNodes(t *testing.T) {
	for _, size := range []int{8, 65, 195} {
		for _, load := range limitLoads {
			for _, announcementsLost := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d nodes, announcements delivered: %v", load.name, size, !announcementsLost), func(t *testing.T) {
					runLimitLoad(t, load, size, announcementsLost)
				})
			}
		}
	}
}

// runLimitLoad simulates one load and logs the used fraction of the limits.
func runLimitLoad(t *testing.T, load limitLoad, size int, announcementsLost bool) {
	w := newLimitWorld(t, 1, size, load.upstreams)
	w.announcementsLost, w.checkAllCalls = announcementsLost, !announcementsLost
	for i := 0; load.skew > 0 && i < size; i += 8 {
		w.weights[i] = load.skew
	}
	w.startCallers(load.perSecond * float64(size))
	w.runUntil(start.Add(2 * time.Second))
	for i := range load.limited {
		w.setLimit(fmt.Sprint("e", i), load.rate)
	}
	w.runUntil(start.Add(limitRunDuration))
	least, most := math.Inf(1), 0.0
	for i := range load.limited {
		u := w.usedFraction(w.upstreams[fmt.Sprint("e", i)])
		least, most = min(least, u), max(most, u)
	}
	t.Logf("served %d, refused %d, used %.2f to %.2f of the limits, %d announcements", w.served, w.refused, least, most, w.announcements)
}

// announceListWithout delivers to each node, at different times, a node list that lacks one node.
// The list is complete if missing is not the index of a node.
func (w *limitWorld) announceListWithout(missing int) {
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

// Guards against calls over the bound when limits are set, changed and removed while nodes restart,
// leave the node list and return to it.
func TestLimitThroughChanges(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newLimitWorld(t, seed, 8, 6)
			w.startCallers(30)
			w.every(2*time.Second, func() {
				id := fmt.Sprint("e", w.random.IntN(6))
				w.setLimit(id, []float64{-1, 0, 0.4, 1, 2.5, 10}[w.random.IntN(6)])
			})
			w.every(5*time.Second, func() {
				i := w.random.IntN(len(w.nodes))
				var list []chutefleet.Upstream
				for j := range 6 {
					list = append(list, w.upstreams[fmt.Sprint("e", j)].Upstream)
				}
				w.startProcess(i, list)
				w.excusedUntil[i] = w.now.Add(limitGrace)
				for _, u := range w.upstreams {
					delete(u.informedAt, i)
				}
			})
			w.every(6*time.Second, func() { w.announceListWithout(w.random.IntN(2 * len(w.nodes))) })
			w.runUntil(start.Add(2 * limitRunDuration))
			t.Logf("served %d, refused %d", w.served, w.refused)
		})
	}
}
