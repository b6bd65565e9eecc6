package chutegate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chutecanary"
	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteroute"
	"azurechute.example/azurechute/internal/chuteshare"
)

// memoryStore is a store in memory that can be unavailable to some nodes.
type memoryStore struct {
	mu          sync.Mutex
	version     uint64
	rows        map[string]map[string]Row
	changes     map[string][]Row
	changed     chan struct{}
	unavailable map[string]bool
	// blocked holds back the answers to a node until the node's channel is closed.
	blocked map[string]chan struct{}
	// staleVersion is the version up to which a node is told of changes. A node without an entry is
	// told of all.
	staleVersion map[string]uint64
	// cutOff is the set of nodes whose calls, including open ones, are never answered.
	cutOff map[string]bool
	// dialTimeout is how long a call of a node that is cut off takes to fail; 0 if it waits until its context ends.
	dialTimeout time.Duration
	// pageRows bounds the rows of an answer with changes; 0 is no limit.
	pageRows int
	// answerDelay is how long the answers to a node are on their way.
	answerDelay map[string]time.Duration
	// era is the era that answers state; it rises with each return from a backup.
	era uint64
}

func newMemoryStore() *memoryStore {
	return &memoryStore{
		era: 1, rows: map[string]map[string]Row{}, changes: map[string][]Row{}, changed: make(chan struct{}), unavailable: map[string]bool{},
		blocked: map[string]chan struct{}{}, cutOff: map[string]bool{}, staleVersion: map[string]uint64{}, answerDelay: map[string]time.Duration{},
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

// setCutOff starts or ends a node's being cut off from the store.
func (s *memoryStore) setCutOff(node string, cutOff bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.cutOff[node] = cutOff
}

// setAnswerDelay sets how long the answers to a node are on their way.
func (s *memoryStore) setAnswerDelay(node string, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.answerDelay[node] = delay
}

// waitForTransit waits as long as an answer to the node is on its way.
func (s *memoryStore) waitForTransit(ctx context.Context, node string) error {
	s.mu.Lock()
	delay := s.answerDelay[node]
	s.mu.Unlock()
	if delay <= 0 {
		return nil
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// staleBy is the number of changes that a stale answer is behind, more than any node that asks is
// behind.
const staleBy = 40

// setStale makes the store answer a node with an earlier state, or ends that.
func (s *memoryStore) setStale(node string, stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.staleVersion, node)
	if stale {
		s.staleVersion[node] = s.version - min(s.version, staleBy)
	}
}

// waitIfCutOff waits until ctx of a call ends, if the calling node is cut off. Otherwise it returns
// nil at once.
func (s *memoryStore) waitIfCutOff(ctx context.Context, node string) error {
	s.mu.Lock()
	cut, dialTimeout := s.cutOff[node], s.dialTimeout
	s.mu.Unlock()
	if !cut {
		return nil
	}
	if dialTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, dialTimeout)
		defer cancel()
	}
	<-ctx.Done()

	return ctx.Err()
}

// blockAnswers holds back all answers to a node, and returns a function that releases them.
func (s *memoryStore) blockAnswers(node string) func() {
	released := make(chan struct{})
	s.mu.Lock()
	defer s.mu.Unlock()

	s.blocked[node] = released

	return sync.OnceFunc(func() { close(released) })
}

// waitIfBlocked waits as long as answers to the node are held back.
func (s *memoryStore) waitIfBlocked(node string) {
	s.mu.Lock()
	released := s.blocked[node]
	s.mu.Unlock()
	if released != nil {
		<-released
	}
}

// storeBackup is a copy of a memoryStore's rows.
type storeBackup struct {
	version uint64
	rows    map[string]map[string]Row
	changes map[string][]Row
}

// backup returns a copy of the rows.
func (s *memoryStore) backup() storeBackup {
	s.mu.Lock()
	defer s.mu.Unlock()

	b := storeBackup{version: s.version, rows: map[string]map[string]Row{}, changes: map[string][]Row{}}
	for table, rows := range s.rows {
		b.rows[table] = maps.Clone(rows)
		b.changes[table] = slices.Clone(s.changes[table])
	}

	return b
}

// restore replaces all rows by those of a backup, whose versions go on from there. Calls that are open
// fail.
func (s *memoryStore) restore(b storeBackup) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.era++
	s.version = b.version
	s.rows, s.changes = map[string]map[string]Row{}, map[string][]Row{}
	for table, rows := range b.rows {
		s.rows[table] = maps.Clone(rows)
		s.changes[table] = slices.Clone(b.changes[table])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.era
}

// stored returns the rows of a table.
func (s *memoryStore) stored(table string) []chutefeed.Row {
	s.mu.Lock()
	defer s.mu.Unlock()

	var rows []chutefeed.Row
	for key, row := range s.rows[table] {
		rows = append(rows, chutefeed.Row{Key: key, Value: row.Value, Version: row.Version})
	}

	return rows
}

// since returns the changes after a version, and a channel that is closed at the next change.
func (s *memoryStore) since(node, table string, after uint64) (Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.unavailable[node] {
		return Page{}, nil, context.DeadlineExceeded
	}
	if after > s.version {
		return Page{}, nil, ErrCompacted
	}
	page := Page{Era: s.era, Version: s.version}
	if stale, ok := s.staleVersion[node]; ok {
		page.Version = stale
	}
	for _, row := range s.changes[table] {
		if row.Version <= after || row.Version > page.Version {
			continue
		}
		page.Rows = append(page.Rows, row)
		if len(page.Rows) == s.pageRows {
			page.Version, page.More = row.Version, true

			break
		}
	}

	return page, s.changed, nil
}

// changesFor implements Store.AwaitChanges for one node.
func (s *memoryStore) changesFor(ctx context.Context, node, table string, after uint64, wait time.Duration) (Page, error) {
	s.waitIfBlocked(node)
	until := time.After(wait)
	openedIn := s.currentEra()
	for {
		if err := s.waitIfCutOff(ctx, node); err != nil {
			return Page{}, err
		}
		if s.currentEra() != openedIn {
			return Page{}, io.ErrUnexpectedEOF
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

// wholeFor implements Store.ReadAll for one node.
func (s *memoryStore) wholeFor(ctx context.Context, node, table string) (Page, error) {
	s.waitIfBlocked(node)
	if err := s.waitIfCutOff(ctx, node); err != nil {
		return Page{}, err
	}
	whole := map[string]Row{}
	var page Page
	for more := true; more; {
		next, _, err := s.since(node, table, page.Version)
		if err != nil {
			return Page{}, err
		}
		for _, row := range next.Rows {
			whole[row.Key] = row
		}
		page.Era, page.Version, more = next.Era, next.Version, next.More
	}
	for _, row := range whole {
		if !row.Deleted {
			page.Rows = append(page.Rows, row)
		}
	}

	return page, nil
}

// storeFor returns the store as one node reaches it.
func (s *memoryStore) storeFor(node string) Store {
	return Store{
		AwaitChanges: func(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error) {
			page, err := s.changesFor(ctx, node, table, after, wait)

			return page, errors.Join(err, s.waitForTransit(ctx, node))
		},
		ReadAll: func(ctx context.Context, table string) (Page, error) {
			page, err := s.wholeFor(ctx, node, table)

			return page, errors.Join(err, s.waitForTransit(ctx, node))
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
		// Cost counters are taken and not kept.
		ReplaceIfUnchanged: func(context.Context, string, string, []Row) (uint64, []Row, error) { return 1, nil, nil },
	}
}

// change writes and deletes rows for a node, unless the store is unavailable to it.
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

// testRegion is the nodes of one region and their store.
type testRegion struct {
	*qt.C

	store *memoryStore
	nodes map[string]*Node
	peers []chuterelay.Peer
	stops map[string]func()
}

// newTestRegion starts the nodes of two zones all at once. They know of each other from the start,
// as after a restart of all nodes.
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

// testDecoders decode the rows of a memoryStore: a configuration is its version, an upstream its
// state.
func testDecoders() Decoders {
	return Decoders{
		Config: func(value []byte) (chuteroute.Config, error) {
			var version uint64
			_, err := fmt.Sscan(string(value), &version)

			return chuteroute.Config{Version: version}, err
		},
		EvacuatedZone: evacuatedZone,
		Rollout:       testRollout,
		Upstream: func(key string, value []byte) (chutefleet.Upstream, error) {
			return chutefleet.Upstream{ID: key, Name: key, State: chutefleet.State(value)}, nil
		},
	}
}

// testRollout decodes an order of a memoryStore, whose value is the version and the duration.
func testRollout(key string, value []byte, revision uint64) (chutecanary.Order, bool, error) {
	pool, ok := strings.CutPrefix(key, "rollout/")
	if !ok {
		return chutecanary.Order{}, false, nil
	}
	version, duration, _ := strings.Cut(string(value), " ")
	d, err := time.ParseDuration(duration)

	return chutecanary.Order{Pool: pool, Version: version, Duration: d, Revision: revision}, true, err
}

// evacuatedZone returns the zone that a row of a memoryStore marks as evacuated.
func evacuatedZone(key string) (string, bool) {
	return strings.CutPrefix(key, "evacuate/")
}

// kill stops a node without notice; its row stays in the store.
func (region *testRegion) kill(name string) {
	region.stops[name]()
	delete(region.nodes, name)
}

// reader returns the node that reads the store for the others.
func (region *testRegion) reader() string {
	for _, p := range region.peers {
		if _, ok := chuterelay.TableSource(p, region.peers); !ok {
			return p.Name
		}
	}

	return ""
}

// expectConfig waits until all nodes have a version of the configuration in force, and checks that
// none goes back.
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

// expectUpstreamState waits until all nodes know an upstream's state; empty means that it is not
// listed.
func (region *testRegion) expectUpstreamState(key, state string) {
	for behind := true; behind; time.Sleep(5 * time.Millisecond) {
		behind = false
		for _, n := range region.nodes {
			row, _ := n.localTables["upstreams"].snapshot().Get(key)
			behind = behind || string(row.Value) != state
		}
	}
}

// testNodesPerZone is enough for a second level of followers: with twenty nodes in a zone, the
// zone's first node serves five others, and these serve the rest.
const testNodesPerZone = 20

func TestFollowing(t *testing.T) {
	region := newTestRegion(t, testNodesPerZone)

	t.Run("changes in the store reach every node", func(*testing.T) {
		region.expectConfig(1)
		region.expectUpstreamState("u", "ready")
		region.store.put("upstreams", "u", "draining")
		region.store.put("config", "c", "2")
		region.expectConfig(2)
		region.expectUpstreamState("u", "draining")
	})

	t.Run("the node that reads the store is killed, and later changes reach the others", func(*testing.T) {
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

	t.Run("the store is unavailable to a whole zone, and a key is revoked meanwhile", func(*testing.T) {
		// The store can refuse some nodes while it serves others. The sources of the refused nodes
		// have lost the store too.
		for _, p := range region.peers {
			region.store.setUnavailable(p.Name, p.Zone == "z0")
		}
		region.store.put("config", "c", "5")
		region.expectConfig(5)
	})

	t.Run("the store is back after it was unavailable to all nodes", func(*testing.T) {
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
	// The store refuses the reader, and does not answer the first node of the other zone, which
	// asks the store because its source is out of date. A key is revoked. Nodes that reach the
	// store tell the reader, and the reader tells its followers. A node that stopped following in
	// order to ask would serve the revoked key until its own call has failed.
	region := newTestRegion(t, maxDirectReaders)
	region.expectConfig(1)
	reader := region.reader()
	first := region.firstOfOtherZone(reader)
	t.Cleanup(region.store.blockAnswers(first))
	region.store.setUnavailable(reader, true)
	region.store.put("config", "c", "2")
	region.expectConfig(2)
}

// firstOfOtherZone returns the node that follows the reader for the other zone.
func (region *testRegion) firstOfOtherZone(reader string) string {
	for _, p := range region.peers {
		source, follows := chuterelay.TableSource(p, region.peers)
		if follows && source.Name == reader && source.Zone != p.Zone {
			return p.Name
		}
	}

	return ""
}
