package chuterelay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroute"
)

// evacSim simulates a region's nodes without a network: in each round every node takes the missing
// changes of the operator's table from the node that it follows, or from the store.
type evacSim struct {
	*qt.C

	store chutefeed.Table
	peers []Peer
	nodes map[string]*evacNode
	// away says that the store is unavailable.
	away    bool
	now     time.Time
	handles uint64
}

type evacNode struct {
	state State
	table chutefeed.Table
}

const (
	evacConfigKey = "config"
	evacPrefix    = "evacuate/"
	// evacHops is the maximum depth of the nodes' tree: region, zone, relay, the rest.
	evacHops = 4
)

func newEvacSim(t *testing.T, size int) *evacSim {
	s := &evacSim{C: qt.New(t), nodes: map[string]*evacNode{}, now: start}
	for i := range size {
		s.peers = append(s.peers, Peer{Name: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%4), Region: "r", Power: 1})
	}
	s.write(evacConfigKey, true)
	for _, peer := range s.peers {
		s.startNode(peer)
	}

	return s
}

// write adds a row to the store, or deletes it.
func (s *evacSim) write(key string, there bool) {
	c := chutefeed.Change{Version: s.store.Version() + 1, DeletedKeys: []string{key}}
	if there {
		c = chutefeed.Change{Version: s.store.Version() + 1, Rows: []chutefeed.Row{{Key: key, Value: []byte("{}")}}}
	}
	s.store = s.store.WithChange(c)
}

// startNode starts a node that knows only the upstreams and the other nodes.
func (s *evacSim) startNode(peer Peer) {
	n := &evacNode{state: NewState(Settings{Self: peer, Seed: 1})}
	s.nodes[peer.Name] = n
	var list []chutefleet.Upstream
	for i := range 8 {
		list = append(list, chutefleet.Upstream{
			ID: fmt.Sprint("u", i), Name: fmt.Sprint("u", i), Pool: plainPool, Zone: fmt.Sprint("z", i%4), Slots: 8, State: chutefleet.StateReady,
		})
	}
	n.on(s.now, UpstreamsListed{Upstreams: list})
	n.on(s.now, PeersListed{Peers: s.peers})
}

func (n *evacNode) on(now time.Time, e Event) []Effect {
	var effects []Effect
	n.state, effects = Reduce(n.state, now, e)

	return effects
}

// round updates every node from its source once.
func (s *evacSim) round() {
	s.now = s.now.Add(100 * time.Millisecond)
	var alive []Peer
	for _, peer := range s.peers {
		if s.nodes[peer.Name] != nil {
			alive = append(alive, peer)
		}
	}
	heard := map[string]chutefeed.Table{}
	for _, peer := range alive {
		heard[peer.Name] = s.nodes[peer.Name].table
	}
	for _, peer := range alive {
		from := s.store
		if source, follows := TableSource(peer, alive); follows {
			from = heard[source.Name]
		} else if s.away {
			continue
		}
		s.take(s.nodes[peer.Name], from)
	}
}

// rounds runs as many rounds as a change takes to reach every node.
func (s *evacSim) rounds() {
	for range evacHops {
		s.round()
	}
}

// restartSome kills a fifth of the nodes and starts them again.
func (s *evacSim) restartSome(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	for _, peer := range s.peers {
		if random.IntN(5) == 0 {
			s.startNode(peer)
		}
	}
}

// take brings a node's table up to another one, evacuated zones ahead of the configuration.
func (s *evacSim) take(n *evacNode, from chutefeed.Table) {
	if from.Version() <= n.table.Version() {
		return
	}
	n.table = n.table.WithChange(from.ChangeForDigests(n.table.Digests()))
	var zones []string
	for _, row := range n.table.Rows() {
		if zone, ok := strings.CutPrefix(row.Key, evacPrefix); ok {
			zones = append(zones, zone)
		}
	}
	n.on(s.now, ZonesEvacuated{Zones: zones})
	n.on(s.now, ConfigAdopted{Config: testConfig(from.Version())})
}

// expectNothingTo has each node that knows a configuration serve a request, and fails if a call is
// sent to an evacuated zone, also by a node that has just started.
func (s *evacSim) expectNothingTo(zones ...string) {
	s.Helper()
	for name, n := range s.nodes {
		if n.state.Config().Version == 0 {
			continue
		}
		s.handles++
		request := plainRequest(s.handles, chuteroute.Repeatable)
		request.Deadline = s.now.Add(time.Second)
		for _, effect := range n.on(s.now, Arrived{Submission: request}) {
			if send, ok := effect.(Send); ok {
				s.Assert(slices.Contains(zones, send.Upstream.Zone), qt.IsFalse, qt.Commentf("%s sends to %s", name, send.Upstream.Zone))
			}
		}
	}
}

func TestEvacuationAtSize(t *testing.T) {
	// The operator evacuates a zone while nodes are killed and restarted and the store is
	// unavailable. No node may send a call there once the change had time to reach it from its
	// source, and a node that has just started may not send one at all.
	for _, size := range []int{4, 40, 400} {
		t.Run(fmt.Sprint(size, " nodes"), func(t *testing.T) {
			s := newEvacSim(t, size)
			s.rounds()
			s.write(evacPrefix+"z1", true)
			s.rounds()
			s.expectNothingTo("z1")

			// A fifth of the nodes is killed and starts again, while the store is unavailable.
			s.away = true
			s.restartSome(uint64(size))
			for range evacHops {
				s.round()
				s.expectNothingTo("z1")
			}

			// The store is available again, with a second zone evacuated and the first one taken back.
			s.away = false
			s.write(evacPrefix+"z2", true)
			s.write(evacPrefix+"z1", false)
			s.write(evacPrefix+"z3", true)
			s.write(evacPrefix+"z3", false)
			s.rounds()
			s.expectNothingTo("z2")
			for name, n := range s.nodes {
				s.Assert(n.state.Fleet().EvacuatedZones(), qt.DeepEquals, []string{"z2"}, qt.Commentf("%s", name))
			}
		})
	}
}
