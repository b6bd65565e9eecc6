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
// other stops carrying data, and new ones can't be opened.
type simNetwork struct {
	mu        sync.Mutex
	listeners map[string]*bufconn.Listener
	isCut     func(from, to string) bool
}

var errNoListener = errors.New("connection refused")

func (s *simNetwork) cutOff(from, to string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.isCut != nil && s.isCut(from, to)
}

// setCut sets the function that reports which nodes are cut off from each other.
func (s *simNetwork) setCut(cutOff func(from, to string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.isCut = cutOff
}

func (s *simNetwork) dial(from string) func(ctx context.Context, to string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		if s.cutOff(from, to) {
			<-ctx.Done()

			return nil, ctx.Err()
		}
		s.mu.Lock()
		l := s.listeners[to]
		s.mu.Unlock()
		if l == nil {
			return nil, errNoListener
		}
		conn, err := l.DialContext(ctx)

		return &simConn{Conn: conn, silent: func() bool { return s.cutOff(from, to) }}, err
	}
}

// simConn is a connection that carries no data any more once its two ends have been cut off from
// each other.
type simConn struct {
	net.Conn

	silent func() bool
	lost   bool
}

func (c *simConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if c.lost = c.lost || c.silent(); !c.lost || err != nil {
			return n, err
		}
	}
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

	network *simNetwork
	store   *memoryStore
	nodes   map[string]*Node
	peers   []chuterelay.Peer
	stops   map[string]func()
	logs    map[string]*simLog
}

// newSimCluster starts all nodes at once, in several zones of one region. It has to be called in a
// synctest bubble.
func newSimCluster(t *testing.T, size, zones int) *simCluster {
	f := &simCluster{
		C: qt.New(t), network: &simNetwork{listeners: map[string]*bufconn.Listener{}}, store: newMemoryStore(),
		nodes: map[string]*Node{}, stops: map[string]func(){}, logs: map[string]*simLog{},
	}
	f.store.put("config", "c", "1")
	f.store.put("upstreams", "u", "ready")
	for i := range size {
		name := fmt.Sprint("n", i)
		peer := chuterelay.Peer{Name: name, Zone: fmt.Sprint("z", i%zones), Region: "r", Address: name, Power: 1}
		f.peers = append(f.peers, peer)
		f.start(peer)
	}

	return f
}

func (f *simCluster) start(self chuterelay.Peer) {
	f.logs[self.Name] = &simLog{}
	n := New(Settings{Self: self, Tables: testTables}, clockwork.NewRealClock(), zerolog.New(f.logs[self.Name]), f.store.storeFor(self.Name), testDecoders(), Upstreams{TrimIdle: func() {}})
	n.peers.Dial = f.network.dial(self.Name)
	server := chuteshare.NewServer(n.Handlers())
	l := bufconn.Listen(1 << 16)
	f.network.mu.Lock()
	f.network.listeners[self.Name] = l
	f.network.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l)
	}()
	n.Start()
	f.nodes[self.Name] = n
	f.stops[self.Name] = sync.OnceFunc(func() {
		f.network.mu.Lock()
		delete(f.network.listeners, self.Name)
		f.network.mu.Unlock()
		server.Stop()
		n.Stop()
		<-done
	})
}

func (f *simCluster) stop() {
	for _, stop := range f.stops {
		stop()
	}
}

// applyBound is the time within which a configuration has to be in force.
const applyBound = 2 * time.Second

// expectAppliedInTime changes the configuration and checks that each of the nodes has it in force
// within applyBound.
func (f *simCluster) expectAppliedInTime(version uint64, nodes []chuterelay.Peer) {
	f.store.put("config", "c", fmt.Sprint(version))
	began := time.Now()
	for _, p := range nodes {
		for {
			if cfg, _ := f.nodes[p.Name].Config(); cfg.Version >= version {
				break
			}
			f.Assert(time.Since(began) <= applyBound, qt.IsTrue, qt.Commentf("%s has no version %d after %v", p.Name, version, time.Since(began)))
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
				f := newSimCluster(t, 8+4*int(seed%3), 4)
				defer f.stop()
				time.Sleep(10*time.Second + time.Duration(random.IntN(3000))*time.Millisecond)
				reachable := f.cutOffReaders(random)
				time.Sleep(time.Duration(random.IntN(1200)) * time.Millisecond)
				f.expectAppliedInTime(2, reachable)
			})
		})
	}
}

// cutOffReaders cuts the nodes that read the store for others off from it, and some of the other
// nodes. It returns the nodes that can still reach the store.
func (f *simCluster) cutOffReaders(random *rand.Rand) []chuterelay.Peer {
	var reachable []chuterelay.Peer
	for _, p := range f.peers {
		_, follows := f.nodes[p.Name].source()
		if follows && random.IntN(2) == 0 {
			reachable = append(reachable, p)

			continue
		}
		f.store.setCutOff(p.Name, true)
	}

	return reachable
}
