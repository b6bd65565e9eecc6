package chutegate

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteroute"
	"azurechute.example/azurechute/internal/chuteshare"
)

// memoryStore is a store without a network that can be away from some nodes.
type memoryStore struct {
	mu          sync.Mutex
	version     uint64
	rows        map[string]map[string]Row
	changes     map[string][]Row
	changed     chan struct{}
	unavailable map[string]bool
	// silent holds back the answers to a node until its channel is closed.
	blocked map[string]chan struct{}
	// old is the version up to which a node is told of changes; of all if it is not there.
	staleVersion map[string]uint64
	// cut is the nodes whose questions, open ones too, are never answered.
	cutOff map[string]bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{
		rows: map[string]map[string]Row{}, changes: map[string][]Row{}, changed: make(chan struct{}), unavailable: map[string]bool{},
		blocked: map[string]chan struct{}{}, cutOff: map[string]bool{}, staleVersion: map[string]uint64{},
	}
}

func (s *memoryStore) put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.version++
	row := Row{Key: key, Value: []byte(value), Version: s.version, Deleted: value == ""}
	if s.rows[table] == nil {
		s.rows[table] = map[string]Row{}
	}
	s.rows[table][key] = row
	if row.Deleted {
		delete(s.rows[table], key)
	}
	s.changes[table] = append(s.changes[table], row)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) setUnavailable(node string, unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.unavailable[node] = unavailable
}

// setCut cuts a node off from the store, or ends that.
func (s *memoryStore) setCutOff(node string, cutOff bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.cutOff[node] = cutOff
}

// oldBy is how many changes an old answer is behind: more than any node that asks.
const staleBy = 40

// setOld has the store answer a node with what it held a while ago, or ends that.
func (s *memoryStore) setStale(node string, stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.staleVersion, node)
	if stale {
		s.staleVersion[node] = s.version - min(s.version, staleBy)
	}
}

// lose waits until a question of a node that is cut off is given up.
func (s *memoryStore) waitIfCutOff(ctx context.Context, node string) error {
	s.mu.Lock()
	cut := s.cutOff[node]
	s.mu.Unlock()
	if !cut {
		return nil
	}
	<-ctx.Done()

	return ctx.Err()
}

// silence holds back all answers to a node, and returns what ends that.
func (s *memoryStore) blockAnswers(node string) func() {
	released := make(chan struct{})
	s.mu.Lock()
	defer s.mu.Unlock()

	s.blocked[node] = released

	return sync.OnceFunc(func() { close(released) })
}

// awaitAnswer waits as long as the store is silent to a node.
func (s *memoryStore) waitIfBlocked(node string) {
	s.mu.Lock()
	released := s.blocked[node]
	s.mu.Unlock()
	if released != nil {
		<-released
	}
}

// since returns the changes after a version, and what is closed by the next one.
func (s *memoryStore) since(node, table string, after uint64) (Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.unavailable[node] {
		return Page{}, nil, context.DeadlineExceeded
	}
	page := Page{Version: s.version}
	if stale, ok := s.staleVersion[node]; ok {
		page.Version = stale
	}
	for _, row := range s.changes[table] {
		if row.Version > after && row.Version <= page.Version {
			page.Rows = append(page.Rows, row)
		}
	}

	return page, s.changed, nil
}

// changesFor waits for changes of a table as one node asks for them.
func (s *memoryStore) changesFor(ctx context.Context, node, table string, after uint64, wait time.Duration) (Page, error) {
	s.waitIfBlocked(node)
	until := time.After(wait)
	for {
		if err := s.waitIfCutOff(ctx, node); err != nil {
			return Page{}, err
		}
		page, changed, err := s.since(node, table, after)
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-until:
			return page, s.waitIfCutOff(ctx, node)
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
	}
}

// wholeFor reads a whole table for one node.
func (s *memoryStore) wholeFor(ctx context.Context, node, table string) (Page, error) {
	s.waitIfBlocked(node)
	if err := s.waitIfCutOff(ctx, node); err != nil {
		return Page{}, err
	}
	page, _, err := s.since(node, table, 0)
	whole := map[string]Row{}
	for _, row := range page.Rows {
		whole[row.Key] = row
	}
	page.Rows = nil
	for _, row := range whole {
		if !row.Deleted {
			page.Rows = append(page.Rows, row)
		}
	}

	return page, err
}

// seam returns the store as one node reaches it.
func (s *memoryStore) storeFor(node string) Store {
	return Store{
		AwaitChanges: func(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error) {
			return s.changesFor(ctx, node, table, after, wait)
		},
		ReadAll: func(ctx context.Context, table string) (Page, error) {
			return s.wholeFor(ctx, node, table)
		},
		Put: func(_ context.Context, table, key string, value []byte) error {
			s.put(table, key, string(value))

			return nil
		},
		WriteRows: func(_ context.Context, table string, put []Row, remove []string) error {
			return s.change(node, table, put, remove)
		},
		Remove: func(_ context.Context, table, key string) error {
			s.put(table, key, "")

			return nil
		},
	}
}

// change writes and deletes rows for a node, unless the store is away from it.
func (s *memoryStore) change(node, table string, put []Row, remove []string) error {
	if _, _, err := s.since(node, table, 0); err != nil {
		return err
	}
	for _, row := range put {
		s.put(table, row.Key, string(row.Value))
	}
	for _, key := range remove {
		s.put(table, key, "")
	}

	return nil
}

// zone is a region's nodes with their store.
type testRegion struct {
	*qt.C

	store *memoryStore
	nodes map[string]*Node
	peers []chuterelay.Peer
	stops map[string]func()
}

// newZones starts nodes in two zones that know of each other, as after a restart of all.
func newTestRegion(t *testing.T, nodesPerZone int) *testRegion {
	region := &testRegion{C: qt.New(t), store: newMemoryStore(), nodes: map[string]*Node{}, stops: map[string]func(){}}
	listeners := map[string]net.Listener{}
	for i := range 2 * nodesPerZone {
		name := fmt.Sprint("n", i)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		region.Assert(err, qt.IsNil)
		listeners[name] = l
		peer := chuterelay.Peer{Name: name, Zone: fmt.Sprint("z", i%2), Region: "r", Address: l.Addr().String(), Power: 1}
		region.peers = append(region.peers, peer)
		region.store.put("peers", name, fmt.Sprintf(`{"Name":%q,"Zone":%q,"Region":"r","Address":%q,"Power":1}`, name, peer.Zone, peer.Address))
	}
	region.store.put("config", "c", "1")
	region.store.put("upstreams", "u", "ready")
	for _, peer := range region.peers {
		region.start(t, peer, listeners[peer.Name])
	}

	return region
}

func (region *testRegion) start(t *testing.T, self chuterelay.Peer, l net.Listener) {
	n := New(
		Settings{Self: self, Tables: testTables},
		clockwork.NewRealClock(), zerolog.Nop(), region.store.storeFor(self.Name), testDecoders(), Upstreams{TrimIdle: func() {}},
	)
	server := chuteshare.NewServer(n.Handlers())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l)
	}()
	n.Start()
	region.nodes[self.Name] = n
	var once sync.Once
	region.stops[self.Name] = func() {
		once.Do(func() {
			server.Stop()
			n.Stop()
			<-done
		})
	}
	t.Cleanup(region.stops[self.Name])
}

// testTables names the tables of a memoryStore.
var testTables = Tables{
	Config: "config", ConfigKey: "c", Upstreams: "upstreams", Peers: "peers", Ledger: "ledger", Quarantine: "quarantine",
}

// testDecoders read rows of a memoryStore: a configuration is its version, an upstream its state.
func testDecoders() Decoders {
	return Decoders{
		Config: func(value []byte) (chuteroute.Config, error) {
			var version uint64
			_, err := fmt.Sscan(string(value), &version)

			return chuteroute.Config{Version: version}, err
		},
		EvacuatedZone: evacuatedZone,
		Upstream: func(key string, value []byte) (chutefleet.Upstream, error) {
			return chutefleet.Upstream{ID: key, Name: key, State: chutefleet.State(value)}, nil
		},
	}
}

// evacuatedZone reads the keys of evacuated zones in tests.
func evacuatedZone(key string) (string, bool) {
	return strings.CutPrefix(key, "evacuate/")
}

// kill ends a node without a word; its row stays.
func (region *testRegion) kill(name string) {
	region.stops[name]()
	delete(region.nodes, name)
}

// reader returns the node that reads the store for the others.
func (region *testRegion) reader() string {
	for _, p := range region.peers {
		if _, ok := chuterelay.Source(p, region.peers); !ok {
			return p.Name
		}
	}

	return ""
}

// expectConfig waits until all nodes have a configuration in force, and checks that none goes back.
func (region *testRegion) expectConfig(version uint64) {
	last := map[string]uint64{}
	for behind := true; behind; time.Sleep(5 * time.Millisecond) {
		behind = false
		for name, n := range region.nodes {
			cfg, _ := n.Config()
			region.Assert(cfg.Version >= last[name], qt.IsTrue, qt.Commentf("%s went back from %d to %d", name, last[name], cfg.Version))
			last[name] = cfg.Version
			behind = behind || cfg.Version < version
		}
	}
}

// expectState waits until all nodes know an upstream's state; empty is none.
func (region *testRegion) expectUpstreamState(key, state string) {
	for behind := true; behind; time.Sleep(5 * time.Millisecond) {
		behind = false
		for _, n := range region.nodes {
			row, _ := n.localTables["upstreams"].snapshot().Get(key)
			behind = behind || string(row.Value) != state
		}
	}
}

// Twenty nodes a zone make a second level: the first of a zone serves five others, and
// these the rest.
const testNodesPerZone = 20

func TestFollowing(t *testing.T) {
	region := newTestRegion(t, testNodesPerZone)

	t.Run("what the store holds reaches every node", func(*testing.T) {
		region.expectConfig(1)
		region.expectUpstreamState("u", "ready")
		region.store.put("upstreams", "u", "draining")
		region.store.put("config", "c", "2")
		region.expectConfig(2)
		region.expectUpstreamState("u", "draining")
	})

	t.Run("the node that reads the store is killed, and what changes then reaches the others", func(*testing.T) {
		region.kill(region.reader())
		region.store.put("upstreams", "u", "")
		region.store.put("config", "c", "3")
		region.expectConfig(3)
		region.expectUpstreamState("u", "")
	})

	t.Run("half of the nodes are killed at once", func(*testing.T) {
		for i := range testNodesPerZone {
			if name := fmt.Sprint("n", 2*i+i%2); region.nodes[name] != nil {
				region.kill(name)
			}
		}
		region.store.put("upstreams", "v", "ready")
		region.store.put("config", "c", "4")
		region.expectConfig(4)
		region.expectUpstreamState("v", "ready")
	})

	t.Run("the store is away from all of a zone, and a key is revoked meanwhile", func(*testing.T) {
		// The store can turn some nodes away while it serves the others: what they
		// follow has lost it too.
		for _, p := range region.peers {
			region.store.setUnavailable(p.Name, p.Zone == "z0")
		}
		region.store.put("config", "c", "5")
		region.expectConfig(5)
	})

	t.Run("the store is back after it was away from all", func(*testing.T) {
		for _, p := range region.peers {
			region.store.setUnavailable(p.Name, true)
		}
		region.store.put("upstreams", "v", "draining")
		region.store.put("config", "c", "6")
		for _, p := range region.peers {
			region.store.setUnavailable(p.Name, false)
		}
		region.expectConfig(6)
		region.expectUpstreamState("v", "draining")
	})
}

func TestFollowedWhileAsking(t *testing.T) {
	// The store turns the region's reader away and is silent to the first node of the other
	// zone, which asks it since what it follows is out of date. A key is revoked. Nodes that
	// reach the store tell the reader, and the reader tells those who follow it; one that
	// left it to ask would serve the revoked key until its own question has failed.
	region := newTestRegion(t, maxDirectReaders)
	region.expectConfig(1)
	reader := region.reader()
	first := region.firstOfOtherZone(reader)
	t.Cleanup(region.store.blockAnswers(first))
	region.store.setUnavailable(reader, true)
	region.store.put("config", "c", "2")
	region.expectConfig(2)
}

// firstOfOtherZone returns the node that follows the reader for its zone.
func (region *testRegion) firstOfOtherZone(reader string) string {
	for _, p := range region.peers {
		source, follows := chuterelay.Source(p, region.peers)
		if follows && source.Name == reader && source.Zone != p.Zone {
			return p.Name
		}
	}

	return ""
}
