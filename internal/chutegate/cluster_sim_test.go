//go:build !race

// The race detector crashes on timers of a synctest bubble (go1.26).

package chutegate

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"google.golang.org/grpc/test/bufconn"

	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteshare"
)

// simNetwork connects nodes in memory. A connection between two nodes that are cut off from each
// other stops carrying data, and new ones can't be opened. A connection that is held up delivers
// late what its node is sent.
type simNetwork struct {
	mu        sync.Mutex
	listeners map[string]*bufconn.Listener
	isCut     func(from, to string) bool
	// held is the set of nodes whose connections are held up; released is closed when it changes.
	held     map[string]bool
	released chan struct{}
}

func newSimNetwork() *simNetwork {
	return &simNetwork{listeners: map[string]*bufconn.Listener{}, released: make(chan struct{})}
}

// setHeld sets the nodes whose connections are held up.
func (network *simNetwork) setHeld(held map[string]bool) {
	network.mu.Lock()
	defer network.mu.Unlock()

	network.held = held
	close(network.released)
	network.released = make(chan struct{})
}

// waitWhileHeld returns once the connections of neither node are held up, or this one is closed.
func (network *simNetwork) waitWhileHeld(from, to string, closed <-chan struct{}) {
	for {
		network.mu.Lock()
		held, released := network.held[from] || network.held[to], network.released
		network.mu.Unlock()
		if !held {
			return
		}
		select {
		case <-released:
		case <-closed:
			return
		}
	}
}

var errNoListener = errors.New("connection refused")

func (network *simNetwork) cutOff(from, to string) bool {
	network.mu.Lock()
	defer network.mu.Unlock()

	return network.isCut != nil && network.isCut(from, to)
}

// setCut sets the function that reports which nodes are cut off from each other.
func (network *simNetwork) setCut(cutOff func(from, to string) bool) {
	network.mu.Lock()
	defer network.mu.Unlock()

	network.isCut = cutOff
}

func (network *simNetwork) dial(from string) func(ctx context.Context, to string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		if network.cutOff(from, to) {
			<-ctx.Done()

			return nil, ctx.Err()
		}
		network.mu.Lock()
		l := network.listeners[to]
		network.mu.Unlock()
		if l == nil {
			return nil, errNoListener
		}
		conn, err := l.DialContext(ctx)

		closed := make(chan struct{})

		return &simConn{
			Conn: conn, silent: func() bool { return network.cutOff(from, to) },
			waitWhileHeld: func() { network.waitWhileHeld(from, to, closed) },
			closeOnce:     sync.OnceFunc(func() { close(closed) }),
		}, err
	}
}

// simConn is a connection that carries no data any more once its two ends have been cut off from
// each other.
type simConn struct {
	net.Conn

	silent        func() bool
	waitWhileHeld func()
	closeOnce     func()
	lost          bool
}

func (c *simConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		c.waitWhileHeld()
		if c.lost = c.lost || c.silent(); !c.lost || err != nil {
			return n, err
		}
	}
}

// Close closes the connection, and ends the wait of a reader that is held up.
func (c *simConn) Close() error {
	c.closeOnce()

	return c.Conn.Close()
}

func (c *simConn) Write(p []byte) (int, error) {
	if c.silent() {
		return len(p), nil
	}

	return c.Conn.Write(p)
}

// simLog holds what one node logs, each line with the simulated time.
type simLog struct {
	mu    sync.Mutex
	lines []string
}

// Write appends one line.
func (l *simLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.lines = append(l.lines, time.Now().Format("05.000 ")+string(line))

	return len(line), nil
}

// count returns the number of lines that contain a text.
func (l *simLog) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()

	count := 0
	for _, line := range l.lines {
		if strings.Contains(line, text) {
			count++
		}
	}

	return count
}

// shownLogLines is the number of lines of a node's log that a failure shows.
const shownLogLines = 30

// tail returns the last lines.
func (l *simLog) tail() string {
	l.mu.Lock()
	defer l.mu.Unlock()

	return strings.Join(l.lines[max(0, len(l.lines)-shownLogLines):], "")
}

// simCluster is a set of nodes on a simulated clock, with their store.
type simCluster struct {
	*qt.C

	network  *simNetwork
	store    *memoryStore
	settings Settings
	nodes    map[string]*Node
	peers    []chuterelay.Peer
	stops    map[string]func()
	logs     map[string]*simLog
	// withoutWork are the nodes of a build that exchanges no work.
	withoutWork map[string]bool
}

// newSimCluster starts all nodes at once, in several zones of one region. It has to be called in a
// synctest bubble.
func newSimCluster(t *testing.T, size, zones int) *simCluster {
	return startSimCluster(t, newPeers(size, zones), Settings{Tables: testTables})
}

// newPeers returns nodes in several zones of one region.
func newPeers(size, zones int) []chuterelay.Peer {
	var peers []chuterelay.Peer
	for i := range size {
		name := fmt.Sprint("n", i)
		peers = append(peers, chuterelay.Peer{Name: name, Zone: fmt.Sprint("z", i%zones), Region: "r", Address: name, Power: 1})
	}

	return peers
}

// startSimCluster starts nodes all at once. It has to be called in a synctest bubble.
func startSimCluster(t *testing.T, peers []chuterelay.Peer, settings Settings) *simCluster {
	cluster := &simCluster{
		C: qt.New(t), network: newSimNetwork(), store: newMemoryStore(), settings: settings, peers: peers,
		nodes: map[string]*Node{}, stops: map[string]func(){}, logs: map[string]*simLog{}, withoutWork: map[string]bool{},
	}
	cluster.store.put("config", "c", "1")
	cluster.store.put("upstreams", "u", "ready")
	for _, peer := range peers {
		cluster.start(peer)
	}

	return cluster
}

func (cluster *simCluster) start(self chuterelay.Peer) {
	cluster.logs[self.Name] = &simLog{}
	settings := cluster.settings
	settings.Self = self
	n := New(settings, clockwork.NewRealClock(), zerolog.New(cluster.logs[self.Name]), cluster.store.storeFor(self.Name), testDecoders(), Upstreams{TrimIdle: func() {}})
	n.peers.Dial = cluster.network.dial(self.Name)
	handlers := n.Handlers()
	if cluster.withoutWork[self.Name] {
		handlers.OnWork = nil
	}
	server := chuteshare.NewServer(handlers)
	l := bufconn.Listen(1 << 16)
	cluster.network.mu.Lock()
	cluster.network.listeners[self.Name] = l
	cluster.network.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l)
	}()
	n.Start()
	cluster.nodes[self.Name] = n
	cluster.stops[self.Name] = sync.OnceFunc(func() {
		cluster.network.mu.Lock()
		delete(cluster.network.listeners, self.Name)
		cluster.network.mu.Unlock()
		server.Stop()
		n.Stop()
		<-done
	})
}

func (cluster *simCluster) stop() {
	for _, stop := range cluster.stops {
		stop()
	}
}

// applyBound is the time within which a configuration has to be in force.
const applyBound = 2 * time.Second

// expectAppliedInTime changes the configuration and checks that each of the nodes has it in force
// within applyBound.
func (cluster *simCluster) expectAppliedInTime(version uint64, nodes []chuterelay.Peer) {
	cluster.store.put("config", "c", fmt.Sprint(version))
	began := time.Now()
	for _, p := range nodes {
		for {
			if cfg, _ := cluster.nodes[p.Name].Config(); cfg.Version >= version {
				break
			}
			cluster.Assert(time.Since(began) <= applyBound, qt.IsTrue, qt.Commentf("%s has no version %d after %v", p.Name, version, time.Since(began)))
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// Guards against a node that decides by an old configuration because its source has lost the store,
// although the node itself can reach the store.
func TestStoreLostByReaders(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				cluster := newSimCluster(t, 8+4*int(seed%3), 4)
				defer cluster.stop()
				time.Sleep(10*time.Second + time.Duration(random.IntN(3000))*time.Millisecond)
				reachable := cluster.cutOffReaders(random)
				time.Sleep(time.Duration(random.IntN(1200)) * time.Millisecond)
				cluster.expectAppliedInTime(2, reachable)
			})
		})
	}
}

// cutOffReaders cuts the nodes that read the store for others off from it, and some of the other
// nodes. It returns the nodes that can still reach the store.
func (cluster *simCluster) cutOffReaders(random *rand.Rand) []chuterelay.Peer {
	var reachable []chuterelay.Peer
	for _, p := range cluster.peers {
		_, follows := cluster.nodes[p.Name].source()
		if follows && random.IntN(2) == 0 {
			reachable = append(reachable, p)

			continue
		}
		cluster.store.setCutOff(p.Name, true)
	}

	return reachable
}
