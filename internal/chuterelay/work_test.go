package chuterelay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chuteroute"
	"azurechute.example/azurechute/internal/chutework"
)

// newWorkNode returns a node in zone z1 among others, one of whose pools is placed by work.
func newWorkNode(t testing.TB, others ...Peer) *node {
	n := newNode(t)
	n.on(PeersListed{Peers: append([]Peer{self}, others...)})
	n.on(WorkReceived{Reports: []chutework.Report{{Upstream: enginePool + "0", Pace: 100}}})
	n.Assert(takeAll[WorkTickAt](n), qt.DeepEquals, []WorkTickAt{{At: n.now}})

	return n
}

// tickWork lets the node exchange work, and returns the effect and the time until the next one.
func (n *node) tickWork() (ExchangeWork, time.Duration) {
	takeAll[ExchangeWork](n)
	n.on(WorkTicked{})
	effects, ticks := takeAll[ExchangeWork](n), takeAll[WorkTickAt](n)
	n.Assert(effects, qt.HasLen, 1)
	n.Assert(ticks, qt.HasLen, 1)

	return effects[0], ticks[0].At.Sub(n.now)
}

func workPeers(zone string, count int) []Peer {
	var peers []Peer
	for i := range count {
		name := fmt.Sprint(zone, "-", i)
		peers = append(peers, Peer{Name: name, Zone: zone, Address: name, Incarnation: "1", Power: 1})
	}

	return peers
}

func TestExchangeWork(t *testing.T) {
	t.Run("the interval grows with the zone", func(t *testing.T) {
		// Guards against an aggregator whose load grows with the square of the nodes.
		for count, want := range map[int]time.Duration{
			1: 100 * time.Millisecond, 25: 100 * time.Millisecond, 26: 104 * time.Millisecond, 200: 800 * time.Millisecond, 250: time.Second,
			985: time.Second,
		} {
			n := newWorkNode(t, append(workPeers("z1", count-1), workPeers("z2", 100)...)...)
			effect, next := n.tickWork()
			n.Assert(effect.Interval, qt.Equals, want)
			n.Assert(next, qt.Equals, want)
		}
	})

	t.Run("the only node is its own aggregator, listed or not", func(t *testing.T) {
		// Guards against a node that waits for an aggregator that does not exist.
		n := newWorkNode(t)
		effect, _ := n.tickWork()
		n.Assert(effect.Aggregator, qt.Equals, self)
		n.Assert(effect.Links, qt.HasLen, 0)
		n.on(PeersListed{})
		effect, _ = n.tickWork()
		n.Assert(effect.Aggregator, qt.Equals, self)
	})

	t.Run("all nodes of a zone elect the same one", func(t *testing.T) {
		// Guards against nodes that report to different aggregators.
		others := workPeers("z1", 5)
		n := newWorkNode(t, others...)
		want, _ := Elect("work|z1", append(others, self))
		effect, _ := n.tickWork()
		n.Assert(effect.Aggregator, qt.Equals, want)
		logged := takeAll[LogWorkAggregator](n)
		n.Assert(logged, qt.HasLen, 1)
		n.tickWork()
		n.Assert(takeAll[LogWorkAggregator](n), qt.HasLen, 0)
		n.Assert(n.state.View(n.now).Work, qt.DeepEquals, &WorkView{Aggregator: want.Name, IntervalMs: 100})
	})

	t.Run("a lost aggregator is replaced at once, skipped ever longer, and asked again", func(t *testing.T) {
		// Guards against a zone that keeps to an aggregator that is gone but listed, and one that never returns to it.
		others := workPeers("z1", 5)
		n := newWorkNode(t, others...)
		first, _ := n.tickWork()
		for _, pause := range []time.Duration{2, 4, 8, 8} {
			n.on(WorkPeerLost{Peer: first.Aggregator})
			effects := takeAll[ExchangeWork](n)
			n.Assert(effects, qt.HasLen, 1)
			n.Assert(effects[0].Aggregator.Name, qt.Not(qt.Equals), first.Aggregator.Name)
			n.Assert(n.state.View(n.now).Work.Lost, qt.DeepEquals, []string{first.Aggregator.Name})
			n.pass(pause*time.Second - time.Millisecond)
			effect, _ := n.tickWork()
			n.Assert(effect.Aggregator.Name, qt.Not(qt.Equals), first.Aggregator.Name)
			n.pass(time.Millisecond)
			effect, _ = n.tickWork()
			n.Assert(effect.Aggregator.Name, qt.Equals, first.Aggregator.Name)
		}
		n.on(WorkPeerHeard{Peer: first.Aggregator})
		n.on(WorkPeerLost{Peer: first.Aggregator})
		n.pass(minPeerPause)
		effect, _ := n.tickWork()
		n.Assert(effect.Aggregator.Name, qt.Equals, first.Aggregator.Name)
	})

	t.Run("an aggregator that is lost for the exchange still collects", func(t *testing.T) {
		// Guards against jobs that go elsewhere because of a fault in the exchange alone.
		others := workPeers("z1", 5)
		n := newWorkNode(t, others...)
		first, _ := n.tickWork()
		n.on(WorkPeerLost{Peer: first.Aggregator})
		n.Assert(n.state.peers.skipped(first.Aggregator, n.now), qt.IsFalse)
	})

	t.Run("a node of an older build is asked again after five minutes, or when it has started anew", func(t *testing.T) {
		// Guards against a message to each older node every few seconds while an upgrade is under way.
		others := workPeers("z1", 5)
		n := newWorkNode(t, others...)
		first, _ := n.tickWork()
		n.on(WorkPeerLost{Peer: first.Aggregator, Outdated: true})
		n.Assert(n.state.View(n.now).Work.Outdated, qt.DeepEquals, []string{first.Aggregator.Name})
		n.pass(outdatedPeerPause - time.Millisecond)
		effect, _ := n.tickWork()
		n.Assert(effect.Aggregator.Name, qt.Not(qt.Equals), first.Aggregator.Name)
		upgraded := append([]Peer{self}, others...)
		for i := range upgraded {
			upgraded[i].Incarnation = "2"
		}
		n.on(PeersListed{Peers: upgraded})
		effect, _ = n.tickWork()
		n.Assert(effect.Aggregator.Name, qt.Equals, first.Aggregator.Name)
	})

	t.Run("a node that says that it shuts down is not asked again while it is listed", func(t *testing.T) {
		// Guards against a zone that goes back every few seconds to an aggregator that turns it away.
		n := newWorkNode(t, workPeers("z1", 5)...)
		first, _ := n.tickWork()
		n.on(WorkPeerLost{Peer: first.Aggregator, Leaving: true})
		n.pass(maxWorkPeerPause)
		effect, _ := n.tickWork()
		n.Assert(effect.Aggregator.Name, qt.Not(qt.Equals), first.Aggregator.Name)
	})

	t.Run("a node that shuts down adds up for nobody", func(t *testing.T) {
		// Guards against reports that end with the aggregator.
		n := newWorkNode(t, workPeers("z1", 1)...)
		n.on(DrainStarted{})
		effect, _ := n.tickWork()
		n.Assert(effect.Aggregator.Name, qt.Equals, "z1-0")
	})

	t.Run("of two aggregators one opens the stream", func(t *testing.T) {
		// Guards against sums that two zones exchange twice, and against zones that wait for each other.
		n := newWorkNode(t, append(workPeers("z0", 3), workPeers("z2", 3)...)...)
		effect, _ := n.tickWork()
		want, _ := Elect("work|z2", workPeers("z2", 3))
		n.Assert(effect.Links, qt.DeepEquals, []Peer{want})
	})

	t.Run("the reports are of this node's own calls", func(t *testing.T) {
		// Guards against calls that are not reported, or not withdrawn when they have ended.
		n := newWorkNode(t)
		request := streamRequest(1, chuteroute.Repeatable)
		request.Pipeline.Stages, request.Parts = nil, nil
		n.on(Arrived{Submission: request})
		effect, _ := n.tickWork()
		n.Assert(effect.Reports, qt.HasLen, 1)
		n.Assert(effect.Reports[0].Calls, qt.Equals, 1)
		n.Assert(effect.Reports[0].Tokens, qt.Equals, int64(1000))
		n.on(CallerLeft{Handle: 1})
		effect, _ = n.tickWork()
		n.Assert(effect.Reports, qt.HasLen, 1)
		n.Assert(effect.Reports[0].Calls, qt.Equals, 0)
		effect, _ = n.tickWork()
		n.Assert(effect.Reports, qt.HasLen, 0)
	})
}

// Guards against a node's own calls that count as those of others because they have ended since they were reported, and others'
// calls that don't count because this node has begun one.
func TestWorkOfOthersAlone(t *testing.T) {
	n := newWorkNode(t)
	upstream := enginePool + "0"
	others := WorkReceived{Reports: []chutework.Report{{Upstream: upstream, Calls: 1, Tokens: 500}}}
	n.on(others)
	n.Assert(n.state.Fleet().OutstandingTokens(upstream, n.now), qt.Equals, int64(500))
	n.state.fleet = n.state.fleet.WithCallSent(upstream, 2000, n.now)
	n.on(others)
	n.Assert(n.state.Fleet().OutstandingTokens(upstream, n.now), qt.Equals, int64(2500))
	n.state.fleet = n.state.fleet.WithTokensRead(upstream, 2000).WithCallDone(upstream)
	n.on(others)
	n.Assert(n.state.Fleet().OutstandingTokens(upstream, n.now), qt.Equals, int64(500))
}

// Guards against a change for deployments whose upstreams report no pace: no event about calls and nodes has an effect of the
// exchange there.
func TestNoWorkIsExchangedWithoutPace(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		n := newNode(t)
		for handle := range uint64(100) {
			n.pass(time.Duration(random.IntN(50)) * time.Millisecond)
			switch random.IntN(4) {
			case 0:
				n.on(CallerLeft{Handle: uint64(random.IntN(int(handle) + 1))})
			case 1:
				n.on(PeersListed{Peers: append([]Peer{self}, workPeers("z1", random.IntN(30))...)})
			default:
				request := plainRequest(handle+1, chuteroute.Repeatable)
				request.Deadline = n.now.Add(3 * time.Second)
				n.on(Arrived{Submission: request})
			}
		}
		n.Assert(n.effects, qt.Not(qt.HasLen), 0)
		n.Assert(takeAll[WorkTickAt](n), qt.HasLen, 0)
		n.Assert(takeAll[ExchangeWork](n), qt.HasLen, 0)
		n.Assert(takeAll[LogWorkAggregator](n), qt.HasLen, 0)
		n.Assert(n.state.View(n.now).Work, qt.IsNil)
	}
}
