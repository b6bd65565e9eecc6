package chutemember

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// network runs sets against each other: one step is one second, and every
// exchange that a plan asks for takes place within the step, unless cut.
type network struct {
	now      time.Time
	random   *rand.Rand
	maxBytes int
	nodes    map[string]Set
	// cut reports whether two nodes can't reach each other; nil means never.
	cut func(a, b Member) bool
	// adopt puts every configuration that is offered in force at once.
	adopt bool

	exchanges, calls, bytes, largest int
}

func newNetwork(seed uint64) *network {
	return &network{
		now:      time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		random:   rand.New(rand.NewPCG(seed, seed)),
		maxBytes: 8 << 10,
		nodes:    make(map[string]Set),
	}
}

// grow adds nodes in five zones of two regions; all know the first node of each zone as a seed.
func (w *network) grow(count int) {
	var seeds []Seed
	for i := range count {
		m := memberNumber(i, w.now)
		if i < 5 {
			seeds = append(seeds, Seed{Name: m.Name, Zone: m.Zone, PeerAddress: m.PeerAddress})
		}
		w.nodes[m.Name] = New(m).WithSeeds(seeds).WithHeartbeat(w.now)
	}
}

func memberNumber(i int, start time.Time) Member {
	zone := i % 5
	return Member{
		Name: fmt.Sprintf("entry-%03d", i), Zone: fmt.Sprintf("zone-%d", zone), Region: fmt.Sprintf("region-%d", zone/3),
		PeerAddress: fmt.Sprintf("10.0.%d.%d:7300", zone, i/5), Incarnation: fmt.Sprintf("entry-%03d-1", i),
		Epoch: uint64(start.UnixMilli()),
	}
}

func (w *network) names() []string {
	names := make([]string, 0, len(w.nodes))
	for name := range w.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (w *network) steps(count int) {
	for range count {
		w.now = w.now.Add(time.Second)
		for _, name := range w.names() {
			w.nodes[name] = w.nodes[name].WithHeartbeat(w.now)
		}
		for _, name := range w.names() {
			for _, peer := range w.nodes[name].Plan(w.now, w.random.IntN) {
				w.exchange(name, peer)
			}
		}
	}
}

// exchange runs the messages of the package's doc comment.
func (w *network) exchange(name string, peer Peer) {
	other, up := w.nodes[peer.Name]
	if !up || other.Self().PeerAddress != peer.Address || (w.cut != nil && w.cut(w.nodes[name].Self(), other.Self())) {
		return
	}
	digest, opening := w.nodes[name].Open(peer, w.maxBytes)
	w.merge(peer.Name, opening, name)
	reply := w.nodes[peer.Name].DeltaFor(name, digest, w.maxBytes)
	w.merge(name, reply, peer.Name)
	closing := w.nodes[name].DeltaFor(peer.Name, reply.Wants, w.maxBytes)
	w.merge(peer.Name, closing, name)
	w.exchanges++
	w.calls++
	if !reply.Wants.Empty() {
		w.calls++
	}
	for _, size := range []int{digest.Size() + opening.Size(), reply.Size(), closing.Size()} {
		w.bytes += size
		w.largest = max(w.largest, size)
	}
}

func (w *network) merge(name string, d Delta, from string) {
	s, changes := w.nodes[name].Merge(d, from, w.now)
	if w.adopt && changes.Config.Version > 0 {
		s = s.WithConfig(changes.Config.Version, changes.Config.Digest)
	}
	w.nodes[name] = s
}

// full is all that a set tells a new node of its own zone, as one delta.
func full(s Set) Delta {
	d := s.DeltaFor("", Digest{Scope: ScopeAll, Zone: s.ownZone()}, 1<<30)
	d.Rows = s.Rows()
	return d
}

// facts is what must agree between sets; states and ages are each node's own.
type facts struct {
	Members []Member
	Loads   map[string][]PoolLoad
	Marks   []LeavingMark
	Config  Config
}

func factsOf(s Set, without ...string) facts {
	f := facts{Loads: map[string][]PoolLoad{}, Marks: s.LeavingMarks(), Config: s.HighestConfig()}
	for _, n := range s.allNodes() {
		if m := s.view(n, s.at); !slices.Contains(without, m.Name) {
			f.Members = append(f.Members, m)
			f.Loads[m.Name] = append(slices.Clone(n.status.Sums), n.loads...)
		}
	}
	return f
}

func expectSameFacts(t testing.TB, got, want Set, without ...string) {
	t.Helper()
	qt.Assert(t, factsOf(got, without...), qt.DeepEquals, factsOf(want, without...))
	qt.Assert(t, rowVersions(got), qt.DeepEquals, rowVersions(want))
}

func rowVersions(s Set) map[string]uint64 {
	versions := make(map[string]uint64)
	for _, r := range s.Rows() {
		versions[r.ID] = r.Version
	}
	return versions
}

// expectMembers checks that every node lists exactly these incarnations as not dead.
func (w *network) expectMembers(t testing.TB, incarnations ...string) {
	t.Helper()
	slices.Sort(incarnations)
	for name, s := range w.nodes {
		var got []string
		for _, m := range s.Members() {
			if m.State != StateDead {
				got = append(got, m.Incarnation)
			}
		}
		slices.Sort(got)
		qt.Assert(t, got, qt.DeepEquals, incarnations, qt.Commentf("seen by %s", name))
	}
}

// incarnations lists the running ones.
func (w *network) incarnations() []string {
	var out []string
	for _, s := range w.nodes {
		out = append(out, s.Self().Incarnation)
	}
	return out
}
