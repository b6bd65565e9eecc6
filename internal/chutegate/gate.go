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
	"azurechute.example/azurechute/internal/chutecanary"
	"azurechute.example/azurechute/internal/chutecore"
	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chutememory"
	"azurechute.example/azurechute/internal/chutemeter"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteroute"
	"azurechute.example/azurechute/internal/chuteshare"
	"azurechute.example/azurechute/internal/chutestream"
)

const (
	// maxQueuedMessages is the number of messages that may wait for the event loop before their
	// senders block.
	maxQueuedMessages = 4096
	// trimInterval is the time between two checks for idle upstream connections.
	trimInterval = 2 * time.Second
)

// Settings are the parameters that a node is started with.
type Settings struct {
	Self    chuterelay.Peer
	Retries chutebudget.Settings
	// Rollouts bounds what a new version of upstreams may get; with a share of 0 there are no rollouts.
	Rollouts chutecanary.Bounds
	// MaxConfigDelay is the time within which a confirmed configuration has to be in force at every
	// node. MaxLeaveDelay is the time within which a leaving upstream stops getting calls. 0 stands
	// for DefaultMaxDelay.
	MaxConfigDelay time.Duration
	MaxLeaveDelay  time.Duration
	// UpstreamHeartbeat is the time between two heartbeats of an upstream; 0 stands for
	// DefaultUpstreamHeartbeat.
	UpstreamHeartbeat time.Duration
	// WarmupRateFactor is the multiple of its stated warm-up rate that a cold upstream may get; less
	// than 1 counts as 1.
	WarmupRateFactor float64
	// ZoneRegions maps each zone to its region.
	ZoneRegions map[string]string
	Tables      Tables
	// CallerBytes bounds what the node holds for callers, in bytes: bodies, buffered answers and queued events; 0
	// sets no bound.
	CallerBytes int64
	Seed        uint64
}

// Node relays requests to upstreams.
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
	// memory bounds what is held for callers; nil if nothing does.
	memory *chutememory.Budget

	messages chan message
	queries  chan func(chutecore.State)
	config   atomic.Pointer[chuteroute.Config]
	// adoptedRow is the position of the configuration's row that was last put in force or found to be
	// unusable; nil if there was none.
	adoptedRow atomic.Pointer[chutefeed.Position]
	nodes      atomic.Pointer[[]chuterelay.Peer]
	// nodesLoaded is closed once the list of nodes has been read.
	nodesLoaded     chan struct{}
	nodesLoadedOnce sync.Once
	// requiredLoaded is closed once both the configuration and the list of upstreams are known.
	requiredLoaded     chan struct{}
	requiredLoadedOnce sync.Once
	// quarantineLoaded is closed once the crashes and judgements have been read.
	quarantineLoaded chan struct{}
	// rolloutOrdered is closed once there is an order to move a pool to another version, rolloutsLoaded
	// once the records of rollouts have been read after that.
	rolloutOrdered     chan struct{}
	rolloutOrderedOnce sync.Once
	rolloutsLoaded     chan struct{}
	rolloutsLoadedOnce sync.Once
	lostSources        lostNodeSet
	cachedSource       atomic.Pointer[sourceChoice]
	// reach says whether the store answers this node.
	reach storeReach
	// upstreamsLoaded is true once the list of upstreams has been read.
	upstreamsLoaded atomic.Bool
	draining        atomic.Bool
	lastHandle      atomic.Uint64
	// unreadableEntries counts the upstream entries that have become undecodable.
	unreadableEntries atomic.Int64
	// staleRefusals counts requests that the configuration does not allow, at a time when it may
	// not have been the newest one.
	staleRefusals atomic.Int64
	// cutOff is true while this node reaches no upstream; cutOffs counts how often that began, and
	// forwardedServed the requests that other nodes had this one serve.
	cutOff          atomic.Bool
	cutOffs         atomic.Int64
	forwardedServed atomic.Int64
	// linkProbes counts probes of whether this node reaches any upstream, failedLinkProbes those that reached none.
	linkProbes       atomic.Int64
	failedLinkProbes atomic.Int64
	// evacuatedZoneCount is the number of zones that are evacuated now.
	evacuatedZoneCount atomic.Int64
	storeCalls         storeCalls
	// gossipQueue holds the crashes, judgements and limits to be sent to other nodes, storeQueue
	// those to be written to the store. knownReports holds those that this node has already sent or
	// received.
	gossipQueue  *reportQueue
	storeQueue   *reportQueue
	knownReports reportSet
	// upstreamCrashes counts the upstreams that this node saw end while they ran requests.
	upstreamCrashes atomic.Int64
	localTables     map[string]*localTable
	// storeEra is the latest era of the store that any table is known to be of.
	storeEra atomic.Uint64
	// departedLedgers holds the last cost counters of nodes that have shut down.
	departedLedgers ledgerCopies
	// streams knows which version began streams that can be taken up.
	streams *streams
	// work exchanges reports of the work at upstreams.
	work *workExchange

	runContext context.Context
	cancelRun  context.CancelFunc
	background sync.WaitGroup

	// The fields below are accessed by the event loop only.
	state               chutecore.State
	requests            map[uint64]*request
	partsRequestCancels map[uint64]context.CancelFunc
	jobUpdates          map[uint64]chan<- chuteshare.JobUpdate
}

// message is one event, with a function that the event loop runs before it handles the event.
type message struct {
	at         time.Time
	relayEvent chuterelay.Event
	prepare    func()
	// ledgerEvent is set instead of relayEvent for events about cost counters.
	ledgerEvent chutecore.Event
}

// New returns a node that does nothing until Start is called.
func New(
	settings Settings, clock clockwork.Clock, log zerolog.Logger, store Store, decode Decoders, upstreams Upstreams,
) *Node {
	settings.MaxConfigDelay = cmp.Or(settings.MaxConfigDelay, DefaultMaxDelay)
	settings.MaxLeaveDelay = cmp.Or(settings.MaxLeaveDelay, DefaultMaxDelay)
	settings.UpstreamHeartbeat = cmp.Or(settings.UpstreamHeartbeat, DefaultUpstreamHeartbeat)
	runContext, cancelRun := context.WithCancel(context.Background())
	n := &Node{
		settings: settings, clock: clock, started: clock.Now(),
		log:   log.With().Str("Node", settings.Self.Name).Str("Zone", settings.Self.Zone).Logger(),
		store: store, decode: decode, upstreams: upstreams, peers: chuteshare.NewClient(), meter: chutemeter.New(), memory: chutememory.New(settings.CallerBytes),
		messages: make(chan message, maxQueuedMessages), queries: make(chan func(chutecore.State)),
		runContext: runContext, cancelRun: cancelRun,
		requests: map[uint64]*request{}, partsRequestCancels: map[uint64]context.CancelFunc{},
		jobUpdates: map[uint64]chan<- chuteshare.JobUpdate{}, localTables: map[string]*localTable{}, nodesLoaded: make(chan struct{}),
		requiredLoaded: make(chan struct{}), quarantineLoaded: make(chan struct{}),
		rolloutOrdered: make(chan struct{}), rolloutsLoaded: make(chan struct{}),
		storeCalls:  newStoreCalls(),
		gossipQueue: newReportQueue(), storeQueue: newReportQueue(), streams: newStreams(streamNode(settings.Self)),
		work: newWorkExchange(settings.Self.Zone),
	}
	identity := chutecore.Identity{
		Node: settings.Self.Name, Zone: settings.Self.Zone, PeerAddress: settings.Self.Address,
		Incarnation: settings.Self.Incarnation,
	}
	relay := chuterelay.NewState(chuterelay.Settings{
		Self: settings.Self, Retries: settings.Retries, Rollouts: settings.Rollouts, WarmupRateFactor: settings.WarmupRateFactor, ZoneRegions: settings.ZoneRegions, Seed: settings.Seed,
	})
	n.state = chutecore.NewState(identity, settings.Seed, n.Now()).WithRelay(relay)
	n.peers.Clock = clock
	n.addGauges()
	for table, stale := range map[string]time.Duration{
		settings.Tables.Config:     staleAfterFor(settings.MaxConfigDelay),
		settings.Tables.Upstreams:  staleAfterFor(settings.MaxLeaveDelay),
		settings.Tables.Peers:      unboundedStaleAfter,
		settings.Tables.Quarantine: unboundedStaleAfter,
	} {
		n.localTables[table] = n.newLocalTable(table, stale)
	}
	if settings.Rollouts.Enabled() {
		n.localTables[settings.Tables.Rollouts] = n.newLocalTable(settings.Tables.Rollouts, staleAfterFor(settings.Rollouts.MaxAge()))
	}
	n.localTables[settings.Tables.Upstreams].tracksKeys = true
	n.localTables[settings.Tables.Upstreams].normalizeValue = decode.NormalizeUpstreamEntry
	n.localTables[settings.Tables.Config].retainPeriod = settlePeriod
	n.localTables[settings.Tables.Peers].retainPeriod = peersRetainPeriod
	n.localTables[settings.Tables.Quarantine].retainPeriod = quarantineRetainPeriod
	n.localTables[settings.Tables.Peers].keepaliveInterval = chuteshare.SlowFollowKeepaliveInterval
	n.localTables[settings.Tables.Quarantine].keepaliveInterval = chuteshare.SlowFollowKeepaliveInterval

	return n
}

// newLocalTable returns a copy of a table that logs when the store has come back from a copy of itself.
func (n *Node) newLocalTable(name string, staleAfter time.Duration) *localTable {
	local := newLocalTable(name, staleAfter, n.Now)
	local.onRestored = func(before, after chutefeed.Table) { n.tableRestored(name, before, after) }

	return local
}

// epoch is the start of the node's own time and has no meaning outside the node. The time of day
// can jump by seconds, and no decision may depend on such a jump.
var epoch = time.Unix(1_000_000_000, 0)

// Now returns the node's own time, which advances with the monotonic clock.
func (n *Node) Now() time.Time {
	return epoch.Add(n.clock.Since(n.started))
}

// ownTime converts a time of the node's clock to the node's own time; a zero time stays zero.
func (n *Node) ownTime(at time.Time) time.Time {
	if at.IsZero() {
		return time.Time{}
	}

	return epoch.Add(at.Sub(n.started))
}

// Start starts the event loop and the background tasks.
func (n *Node) Start() {
	n.spawn(n.runEventLoop)
	n.spawn(n.watchConfig)
	n.spawn(n.watchUpstreams)
	n.spawn(n.watchPeers)
	n.spawn(n.watchQuarantine)
	n.spawn(n.watchRollouts)
	n.spawn(n.gossipReports)
	n.spawn(n.storeReports)
	n.spawn(n.registerNode)
	n.spawn(n.trimConnections)
	n.spawn(n.flushLedger)
	n.spawn(n.performStreamEffects)
	n.spawn(n.exchangeWork)
	if n.memory != nil {
		n.spawn(n.watchMemory)
	}
}

// Stop ends all background tasks and cuts off requests in flight.
func (n *Node) Stop() {
	n.cancelRun()
	n.background.Wait()
	n.peers.Close()
}

// removeRowTimeout bounds the removal of this node's row. If the row stays, peers find out by a
// failed call that the node is gone.
const removeRowTimeout = 2 * time.Second

// Drain makes the node unready and hands its duties over; requests in flight continue. The returned
// channel is closed when this node's row is removed, or when the removal has failed, has timed out
// or was started by an earlier call.
//
// The removal is not waited for, since the store may accept the call and never answer.
func (n *Node) Drain() <-chan struct{} {
	removed := make(chan struct{})
	if n.draining.Swap(true) {
		close(removed)

		return removed
	}
	n.log.Info().Msg("draining")
	n.sendEvent(chuterelay.DrainStarted{})
	n.reduceStreams(chutestream.DrainStarted{})
	n.spawn(func(ctx context.Context) {
		defer close(removed)
		ctx, cancel := context.WithTimeout(ctx, removeRowTimeout)
		defer cancel()
		n.storeCalls.add(callRegister)
		if err := n.store.Remove(ctx, n.settings.Tables.Peers, n.settings.Self.Name); err != nil {
			n.log.Warn().Err(err).Msg("this node's row could not be removed; peers find out by failed calls")
		}
	})

	return removed
}

// RefuseUnsent refuses all requests that have not been sent to an upstream yet.
func (n *Node) RefuseUnsent() {
	n.sendEvent(chuterelay.DrainEnding{})
}

// Draining reports whether Drain was called.
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

// Query runs f on the state between two events. It returns without running f if the node has
// stopped.
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

// sendEvent queues an event for the event loop.
func (n *Node) sendEvent(event chuterelay.Event) {
	n.sendEventWith(event, nil)
}

func (n *Node) sendEventWith(event chuterelay.Event, prepare func()) {
	select {
	case n.messages <- message{at: n.Now(), relayEvent: event, prepare: prepare}:
	case <-n.runContext.Done():
	}
}

// runEventLoop handles messages and queries one at a time until the node stops.
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

// handleMessage reduces one event and performs its effects.
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

// performEffects performs effects in order.
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

// sendEventAt sends an event at the given time of the node's own clock.
func (n *Node) sendEventAt(at time.Time, event chuterelay.Event) clockwork.Timer {
	return n.clock.AfterFunc(at.Sub(n.Now()), func() { n.sendEvent(event) })
}

// sleep waits for d, and returns false if ctx ended first.
func (n *Node) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.clock.After(d):
		return true
	}
}

// trimConnections closes upstream connections that have been idle for too long, every trimInterval.
func (n *Node) trimConnections(ctx context.Context) {
	for n.sleep(ctx, trimInterval) {
		n.upstreams.TrimIdle()
	}
}
