package chuterelay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroute"
)

const (
	// maxReturnTime is the time after which a node sends requests again once an upstream is listed, accepts
	// connections and was not suspended by refusing them in the meantime.
	maxReturnTime = 3 * time.Second
	// livenessRequestInterval is the time between two requests of callers.
	livenessRequestInterval = 50 * time.Millisecond
)

// livenessRun drives one node among upstreams that come, go and accept connections or don't.
type livenessRun struct {
	*simClock

	t     *rapid.T
	state State
	// accepts holds the addresses that accept connections, hangs says whether attempts to reach others time out.
	accepts map[string]bool
	hangs   bool
	// slowest is the most that an answer to a probe is late.
	slowest      time.Duration
	incarnations int
	handles      uint64
	// judging says that requests have to reach upstreams.
	judging bool
	sent    int
}

func newLivenessRun(t *rapid.T, peers int) *livenessRun {
	r := &livenessRun{
		t: t, simClock: newSimClock(rapid.Uint64().Draw(t, "seed")), accepts: map[string]bool{}, hangs: rapid.Bool().Draw(t, "hangs"),
		slowest: time.Duration(rapid.IntRange(1, 600).Draw(t, "slowest probe in ms")) * time.Millisecond,
	}
	r.state = NewState(Settings{Self: self, Seed: r.random.Uint64()})
	r.on(ConfigAdopted{Config: testConfig(1)})
	all := []Peer{self}
	for i := range peers {
		all = append(all, peerIn(fmt.Sprint("other", i), fmt.Sprint("z", 1+i%2)))
	}
	r.on(PeersListed{Peers: all})

	return r
}

func (r *livenessRun) on(e Event) {
	var effects []Effect
	r.state, effects = Reduce(r.state, r.now, e)
	for _, effect := range effects {
		r.perform(effect)
	}
}

func (r *livenessRun) perform(effect Effect) {
	switch e := effect.(type) {
	case Send:
		r.send(e)
	case Refuse:
		if r.judging {
			r.t.Fatalf("a request was refused though an upstream accepts connections: %+v", e.Refusal)
		}
	case ProbeLinks:
		r.after(e.At.Sub(r.now)+r.between(0, r.slowest), func() { r.linksProbed(e) })
	case Probe:
		r.after(e.At.Sub(r.now)+r.dialTime(), func() { r.on(ProbeEnded{Upstream: e.Upstream.ID, Alive: r.accepts[e.Upstream.Address]}) })
	case TickAt:
		r.after(e.At.Sub(r.now), func() { r.on(Ticked{}) })
	}
}

func (r *livenessRun) dialTime() time.Duration {
	if r.hangs {
		return simDialTimeout
	}

	return time.Millisecond
}

func (r *livenessRun) linksProbed(e ProbeLinks) {
	var probed LinksProbed
	for _, u := range e.Upstreams {
		probed.Reached = probed.Reached || r.accepts[u.Address]
		probed.Failed = append(probed.Failed, u.ID)
	}
	if probed.Reached {
		probed.Failed = nil
	}
	r.on(probed)
}

func (r *livenessRun) send(s Send) {
	end := AttemptEnded{Handle: s.Handle, Attempt: s.Attempt}
	switch {
	case s.Peer.Name != "":
		if r.judging {
			r.t.Fatal("a request was forwarded though an upstream accepts connections")
		}
		end.End, end.Refusal = EndRefused, &Refusal{Kind: RefusedNotRun, Elsewhere: true}
	case r.accepts[s.Upstream.Address]:
		end.End, end.HasAnswer = EndAnswered, true
		if r.judging {
			r.sent++
		}
	default:
		end.End, end.Silent = EndUnreachable, r.hangs
	}
	r.after(r.between(time.Millisecond, r.dialTime()+time.Millisecond), func() { r.on(end) })
}

// request brings one request of a caller.
func (r *livenessRun) request() {
	r.handles++
	s := plainRequest(r.handles, chuteroute.Repeatable)
	s.Deadline = r.now.Add(3 * time.Second)
	r.on(Arrived{Submission: s})
}

// upstream returns a new process, at one of few addresses.
func (r *livenessRun) upstream(pool, zone string, state chutefleet.State) chutefleet.Upstream {
	r.incarnations++
	id := fmt.Sprint("u", r.incarnations)

	return chutefleet.Upstream{
		ID: id, Name: id, Pool: pool, Zone: zone, Address: fmt.Sprint("a", r.incarnations%5, ":1"), Slots: 8, State: state,
	}
}

// drawList draws what the store lists.
func (r *livenessRun) drawList() []chutefleet.Upstream {
	var all []chutefleet.Upstream
	for range rapid.SampledFrom([]int{0, 0, 1, 2, 6}).Draw(r.t, "listed") {
		all = append(all, r.upstream(
			rapid.SampledFrom([]string{plainPool, plainPool, enginePool}).Draw(r.t, "pool"),
			rapid.SampledFrom([]string{"z1", "z2", "z3"}).Draw(r.t, "zone"),
			rapid.SampledFrom([]chutefleet.State{chutefleet.StateReady, chutefleet.StateReady, chutefleet.StateLeaving}).Draw(r.t, "state"),
		))
	}

	return all
}

// step draws one change and lets some time pass.
func (r *livenessRun) step() {
	switch rapid.IntRange(0, 4).Draw(r.t, "change") {
	case 0, 1:
		r.on(UpstreamsListed{Upstreams: r.drawList(), Hold: rapid.Bool().Draw(r.t, "hold")})
	case 2:
		clear(r.accepts)
	case 3:
		r.accepts[fmt.Sprint("a", rapid.IntRange(0, 4).Draw(r.t, "address"), ":1")] = rapid.Bool().Draw(r.t, "accepts")
	case 4:
		r.on(ZonesEvacuated{Zones: rapid.SampledFrom([][]string{nil, {"z1"}, {"z1", "z2", "z3"}}).Draw(r.t, "evacuated")})
	}
	r.runUntil(r.now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 100, 399, 600, 1500}).Draw(r.t, "ms")) * time.Millisecond))
}

// recover lists one upstream that accepts connections, and has all requests reach it after maxReturnTime.
func (r *livenessRun) recover() {
	r.on(ZonesEvacuated{})
	u := r.upstream(plainPool, rapid.SampledFrom([]string{"z1", "z2"}).Draw(r.t, "zone"), chutefleet.StateReady)
	clear(r.accepts)
	r.accepts[u.Address] = true
	r.on(UpstreamsListed{Upstreams: []chutefleet.Upstream{u}})
	r.runUntil(r.now.Add(maxReturnTime))
	r.judging = true
	r.runUntil(r.now.Add(time.Second))
	if r.sent == 0 || r.state.CutOff() {
		r.t.Fatalf("%d requests were sent, cut off: %t", r.sent, r.state.CutOff())
	}
	r.judging, r.sent = false, 0
}

// Guards against a node that refuses or forwards requests for good: whatever happened to its list of upstreams and its
// connections, it takes requests again within maxReturnTime of an upstream's return.
func TestNodeServesAgain(t *testing.T) {
	cutOffs := 0
	rapid.Check(t, func(t *rapid.T) {
		r := newLivenessRun(t, rapid.IntRange(0, 2).Draw(t, "peers"))
		r.every(livenessRequestInterval, r.request)
		for range rapid.IntRange(1, 3).Draw(t, "rounds") {
			for range rapid.IntRange(1, 15).Draw(t, "steps") {
				r.step()
				if r.state.CutOff() {
					cutOffs++
				}
			}
			r.recover()
		}
	})
	qt.Assert(t, cutOffs > 0, qt.IsTrue, qt.Commentf("the drawn events never cut the node off"))
}
