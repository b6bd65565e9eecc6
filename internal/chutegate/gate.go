package chutegate

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chutebudget"
	"azurechute.example/azurechute/internal/chutecore"
	"azurechute.example/azurechute/internal/chutemeter"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteroute"
	"azurechute.example/azurechute/internal/chuteshare"
)

const (
	// backlog is how many events may wait for the loop before their senders do.
	maxQueuedMessages = 4096
	// trimEvery is how often idle connections are looked over.
	trimInterval = 2 * time.Second
)

// Settings are what a node knows from its start.
type Settings struct {
	Self    chuterelay.Peer
	Retries chutebudget.Settings
	// ConfigWithin is the time within which a confirmed configuration has to be in force at
	// every node, LeaveWithin that within which a leaving upstream gets no more calls;
	// DefaultWithin if they are 0.
	ConfigWithin time.Duration
	LeaveWithin  time.Duration
	// ColdFactor is how many times the stated rate a cold upstream may get; 0 counts as 1.
	ColdFactor float64
	Tables     Tables
	Seed       uint64
}

// Node relays requests.
type Node struct {
	settings  Settings
	clock     clockwork.Clock
	started   time.Time
	log       zerolog.Logger
	store     Store
	decode    Decoders
	upstreams Upstreams
	peers     *chuteshare.Client
	meter     *chutemeter.Meter

	messages chan message
	queries  chan func(chutecore.State)
	config   atomic.Pointer[chuteroute.Config]
	nodes    atomic.Pointer[[]chuterelay.Peer]
	// nodesKnown is closed when the list of nodes was read once.
	nodesLoaded     chan struct{}
	nodesLoadedOnce sync.Once
	// known is closed when configuration and upstreams are both known.
	requiredLoaded     chan struct{}
	requiredLoadedOnce sync.Once
	// quarantineKnown is closed when the crashes and judgements were read once.
	quarantineLoaded chan struct{}
	lostSources      lostNodeSet
	cachedSource     atomic.Pointer[sourceChoice]
	// storeFailedAt is when the store last failed this node; nil if it never did.
	storeFailedAt atomic.Pointer[time.Time]
	// listed says that the list of upstreams was read once.
	upstreamsLoaded atomic.Bool
	draining        atomic.Bool
	lastHandle      atomic.Uint64
	// unreadable counts the entries of upstreams that have become unreadable.
	unreadableEntries atomic.Int64
	// staleRefusals counts the requests that a configuration did not allow which may not be
	// the newest one.
	staleRefusals atomic.Int64
	// evacuated counts the zones that are evacuated.
	evacuatedZoneCount atomic.Int64
	storeCalls         storeCalls
	// toGossip and toStore are the crashes and judgements that wait to be told to other nodes
	// and to be written to the store, heard those that were told or heard.
	gossipQueue  *reportQueue
	storeQueue   *reportQueue
	knownReports reportSet
	// crashes counts the ends of upstreams that this node saw.
	upstreamCrashes atomic.Int64
	localTables     map[string]*localTable

	runContext context.Context
	cancelRun  context.CancelFunc
	background sync.WaitGroup

	// The loop alone uses what follows.
	state               chutecore.State
	requests            map[uint64]*request
	partsRequestCancels map[uint64]context.CancelFunc
	jobUpdates          map[uint64]chan<- chuteshare.Update
}

// message is one event with what the loop does ahead of it.
type message struct {
	at         time.Time
	relayEvent chuterelay.Event
	prepare    func()
	// ledger is set in place of event for what concerns cost counters.
	ledgerEvent chutecore.Event
}

// New returns a node that does nothing until Start.
func New(
	settings Settings, clock clockwork.Clock, log zerolog.Logger, store Store, decode Decoders, upstreams Upstreams,
) *Node {
	settings.ConfigWithin = cmp.Or(settings.ConfigWithin, DefaultWithin)
	settings.LeaveWithin = cmp.Or(settings.LeaveWithin, DefaultWithin)
	runContext, cancelRun := context.WithCancel(context.Background())
	n := &Node{
		settings: settings, clock: clock, started: clock.Now(),
		log:   log.With().Str("Node", settings.Self.Name).Str("Zone", settings.Self.Zone).Logger(),
		store: store, decode: decode, upstreams: upstreams, peers: chuteshare.NewClient(), meter: chutemeter.New(),
		messages: make(chan message, maxQueuedMessages), queries: make(chan func(chutecore.State)),
		runContext: runContext, cancelRun: cancelRun,
		requests: map[uint64]*request{}, partsRequestCancels: map[uint64]context.CancelFunc{},
		jobUpdates: map[uint64]chan<- chuteshare.Update{}, localTables: map[string]*localTable{}, nodesLoaded: make(chan struct{}),
		requiredLoaded: make(chan struct{}), quarantineLoaded: make(chan struct{}),
		storeCalls:  newStoreCalls(),
		gossipQueue: newReportQueue(), storeQueue: newReportQueue(),
	}
	identity := chutecore.Identity{
		Node: settings.Self.Name, Zone: settings.Self.Zone, PeerAddress: settings.Self.Address,
		Incarnation: settings.Self.Incarnation,
	}
	relay := chuterelay.NewState(chuterelay.Settings{
		Self: settings.Self, Retries: settings.Retries, ColdFactor: settings.ColdFactor, Seed: settings.Seed,
	})
	n.state = chutecore.NewState(identity, settings.Seed, n.Now()).WithRelay(relay)
	n.addGauges()
	for table, stale := range map[string]time.Duration{
		settings.Tables.Config:     staleAfterFor(settings.ConfigWithin),
		settings.Tables.Upstreams:  staleAfterFor(settings.LeaveWithin),
		settings.Tables.Peers:      unboundedStaleAfter,
		settings.Tables.Quarantine: unboundedStaleAfter,
	} {
		n.localTables[table] = newLocalTable(table, stale)
	}
	n.localTables[settings.Tables.Upstreams].valueWithoutHeartbeat = decode.UpstreamWithoutHeartbeat
	n.localTables[settings.Tables.Peers].keepaliveInterval = chuteshare.SlowFollowEvery
	n.localTables[settings.Tables.Quarantine].keepaliveInterval = chuteshare.SlowFollowEvery

	return n
}

// epoch is where the node's own time begins. It has no meaning outside: the time
// of day may jump by seconds, and nothing that is decided may jump with it.
var epoch = time.Unix(1_000_000_000, 0)

// Now is the node's own time: it moves as the steady clock does.
func (n *Node) Now() time.Time {
	return epoch.Add(n.clock.Since(n.started))
}

// Start begins the loop and the watches.
func (n *Node) Start() {
	n.spawn(n.runEventLoop)
	n.spawn(n.watchConfig)
	n.spawn(n.watchUpstreams)
	n.spawn(n.watchPeers)
	n.spawn(n.watchQuarantine)
	n.spawn(n.gossipReports)
	n.spawn(n.storeReports)
	n.spawn(n.registerNode)
	n.spawn(n.trimConnections)
	n.spawn(n.flushLedger)
}

// Stop ends everything; requests in flight are broken off.
func (n *Node) Stop() {
	n.cancelRun()
	n.background.Wait()
	n.peers.Close()
}

// removeTimeout bounds the removal of the own row; peers find out by asking otherwise.
const removeRowTimeout = 2 * time.Second

// Drain makes the node unready and hands its duties over; requests in flight go on.
// The channel it returns is closed when the own row is removed, or not to be waited for.
//
// The store may take the call and never answer. A node that waited for it went on
// taking requests in until the end of its grace time, and cut the last ones off.
func (n *Node) Drain() <-chan struct{} {
	removed := make(chan struct{})
	if n.draining.Swap(true) {
		close(removed)

		return removed
	}
	n.log.Info().Msg("draining")
	n.sendEvent(chuterelay.DrainStarted{})
	n.spawn(func(ctx context.Context) {
		defer close(removed)
		ctx, cancel := context.WithTimeout(ctx, removeRowTimeout)
		defer cancel()
		n.storeCalls.add(callRegister)
		if err := n.store.Remove(ctx, n.settings.Tables.Peers, n.settings.Self.Name); err != nil {
			n.log.Warn().Err(err).Msg("the own row could not be removed; peers find out by asking")
		}
	})

	return removed
}

// RefuseUnsent refuses all requests that no upstream has got yet.
func (n *Node) RefuseUnsent() {
	n.sendEvent(chuterelay.DrainEnding{})
}

// Draining says whether the node was asked to end.
func (n *Node) Draining() bool {
	return n.draining.Load()
}

// Config returns the configuration in force, or false if there is none yet.
func (n *Node) Config() (chuteroute.Config, bool) {
	cfg := n.config.Load()
	if cfg == nil {
		return chuteroute.Config{}, false
	}

	return *cfg, true
}

// Query runs f on the state between two events.
func (n *Node) Query(f func(chutecore.State)) {
	done := make(chan struct{})
	select {
	case n.queries <- func(s chutecore.State) { f(s); close(done) }:
		<-done
	case <-n.runContext.Done():
	}
}

func (n *Node) spawn(f func(ctx context.Context)) {
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		f(n.runContext)
	}()
}

// send hands an event to the loop.
func (n *Node) sendEvent(event chuterelay.Event) {
	n.sendEventWith(event, nil)
}

func (n *Node) sendEventWith(event chuterelay.Event, prepare func()) {
	select {
	case n.messages <- message{at: n.Now(), relayEvent: event, prepare: prepare}:
	case <-n.runContext.Done():
	}
}

// loop takes events one at a time until the node stops.
func (n *Node) runEventLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-n.messages:
			n.handleMessage(msg) //nolint:contextcheck // effects live as long as the node, not as their event
		case query := <-n.queries:
			query(n.state)
		}
	}
}

// take reduces one event and carries its effects out.
func (n *Node) handleMessage(msg message) {
	if msg.prepare != nil {
		msg.prepare()
	}
	var effects []chutecore.Effect
	event := msg.ledgerEvent
	if event == nil {
		event = chutecore.RelayEvent{Stamp: chutecore.Stamp{At: msg.at}, Event: msg.relayEvent}
	}
	n.state, effects = chutecore.Reduce(n.state, event)
	n.performEffects(effects)
}

// performAll carries effects out in order.
func (n *Node) performEffects(effects []chutecore.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case chutecore.RelayEffect:
			n.performEffect(e.Effect)
		case chutecore.WriteLedgerRows:
			n.spawn(func(ctx context.Context) { n.writeLedger(ctx, e.Rows) })
		}
	}
}

// after sends an event at a time of the node's clock.
func (n *Node) sendEventAt(at time.Time, event chuterelay.Event) clockwork.Timer {
	return n.clock.AfterFunc(at.Sub(n.Now()), func() { n.sendEvent(event) })
}

// pause waits, and says whether the node still runs.
func (n *Node) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.clock.After(d):
		return true
	}
}

// trim drops idle connections from time to time.
func (n *Node) trimConnections(ctx context.Context) {
	for n.sleep(ctx, trimInterval) {
		n.upstreams.TrimIdle()
	}
}
