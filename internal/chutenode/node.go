package chutenode

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chuteclaim"
	"azurechute.example/azurechute/internal/chutecore"
	"azurechute.example/azurechute/internal/chutepeer"
	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/internal/chutesettings"
	"azurechute.example/azurechute/internal/chutestore"
	"azurechute.example/azurechute/internal/chutetable"
	"azurechute.example/azurechute/internal/chuteupstream"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// eventBacklog is how many events may wait for the loop before their senders do.
const eventBacklog = 4096

// backgroundShare is the part of the node's table writes that cost counters and late seals may take; claims never wait for them.
const backgroundShare = 0.2

// message is one event with what the loop does around its reduction.
type message struct {
	event chutecore.Event
	// before runs in the loop ahead of the reduction, to file a payload under its attempt.
	before func()
}

// Node is one entry node of the system.
type Node struct {
	settings chutesettings.Settings
	identity chutecore.Identity
	clock    clockwork.Clock
	log      zerolog.Logger

	upstreams *chuteupstream.Client
	platform  *chutetable.Client
	store     chutestore.Store
	claims    *chuteclaim.Claimer
	peers     *chutepeer.Client

	messages  chan message
	queries   chan func(chutecore.State)
	keys      *keyMemory
	late      *lateWork
	startedAt time.Time
	handles   atomic.Uint64
	tickets   atomic.Uint64
	config    atomic.Pointer[inForce]
	draining  atomic.Bool
	// listed says that the platform's list was read once; without it no upstream is known.
	listed     atomic.Bool
	background sync.WaitGroup
	// running ends when the node stops for good; effects still under way end with it.
	running context.Context
	stop    context.CancelFunc

	// The loop alone uses what follows.
	state   chutecore.State
	entries map[uint64]*entry
	replies map[uint64]chan<- peerReply
	bodies  map[string][]byte
	polls   map[string]*poll
}

// inForce is the configuration as the HTTP side and the peers see it.
type inForce struct {
	config  chuteconfig.Config
	version uint64
	digest  string
	body    []byte
}

// New returns a node that does nothing until Run.
func New(settings chutesettings.Settings, clock clockwork.Clock, log zerolog.Logger) *Node {
	now := clock.Now()
	incarnation := settings.NodeName + "." + strconv.FormatInt(now.UnixMilli(), 36) + strconv.FormatUint(rand.Uint64N(1<<20), 36) //nolint:gosec // a name, not a secret
	identity := chutecore.Identity{
		Node: settings.NodeName, Zone: settings.Zone, Region: settings.Region,
		PeerAddress: settings.AdvertisePeer, Incarnation: incarnation,
	}
	seed := settings.Seed
	if seed == 0 {
		seed = rand.Uint64() //nolint:gosec // balancing, not secrets
	}
	running, stop := context.WithCancel(context.Background())
	n := &Node{
		settings: settings, identity: identity, clock: clock,
		log:      log.With().Str("Node", settings.NodeName).Str("Zone", settings.Zone).Logger(),
		messages: make(chan message, eventBacklog), queries: make(chan func(chutecore.State)),
		running: running, stop: stop,
		keys: newKeyMemory(), late: newLateWork(), startedAt: now,
		state:   chutecore.NewState(identity, seed, now),
		entries: map[uint64]*entry{}, replies: map[uint64]chan<- peerReply{},
		bodies: map[string][]byte{}, polls: map[string]*poll{},
	}
	n.connect()

	return n
}

// connect builds the adapters; none of them dials yet.
func (n *Node) connect() {
	s := n.settings
	n.upstreams = chuteupstream.New(n.clock, n.log)
	n.upstreams.OnLateUsage = n.lateUsage
	n.upstreams.OnLateResult = n.lateResult
	n.platform = chutetable.New(chutetable.Settings{
		TableURL: s.TableURL, ObjectsURL: s.ObjectsURL, VMsURL: s.VMsURL,
		WritesPerSecond: s.TableWritesPerSecond * (1 - backgroundShare), ReadsPerSecond: s.TableReadsPerSecond,
		BackgroundSteps:           []string{stepLedgerWrite, chuteclaim.StepNameSealLate, chuteclaim.StepNameFinish, stepClaimClean},
		BackgroundWritesPerSecond: s.TableWritesPerSecond * backgroundShare,
	}, n.clock, n.log)
	n.store = chutestore.New(chutestore.NewPlatform(n.platform), n.clock)
	n.peers = chutepeer.NewClient(chutepeer.DefaultSettings(s.Site, s.NodeName), n.clock, n.log)
	n.claims = chuteclaim.New(chuteclaim.Settings{}, chuteclaim.Seams{
		Transact: n.claimTransact(), Read: n.platform.Read, AskOwner: n.askOwner,
	}, n.clock, n.log)
}

// claimTransact sends the writes of claims in batches: those that a caller waits
// for apart from the ends of claims, which are written after the answer.
func (n *Node) claimTransact() func(ctx context.Context, step string, tx chutetable.Transaction) (chutetable.Reply, error) {
	awaited := &chutetable.Batcher{Transact: n.platform.Transact}
	ends := &chutetable.Batcher{Transact: n.platform.Transact}

	return func(ctx context.Context, step string, tx chutetable.Transaction) (chutetable.Reply, error) {
		if step == chuteclaim.StepNameFinish {
			return ends.Do(ctx, step, tx)
		}

		return awaited.Do(ctx, step, tx)
	}
}

// Incarnation names this run of the process.
func (n *Node) Incarnation() string {
	return n.identity.Incarnation
}

// send hands an event to the loop; it is dropped once the node has stopped.
func (n *Node) send(event chutecore.Event) {
	n.sendWith(event, nil)
}

// sendWith hands an event to the loop with what to do ahead of its reduction.
func (n *Node) sendWith(event chutecore.Event, before func()) {
	select {
	case n.messages <- message{event: event, before: before}:
	case <-n.running.Done():
	}
}

// stamp is the time of an event that happens now.
func (n *Node) stamp() chutecore.Stamp {
	return chutecore.Stamp{At: n.clock.Now()}
}

// spawn runs an effect beside the loop.
func (n *Node) spawn(run func(ctx context.Context)) {
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		run(n.running)
	}()
}

// query runs a function in the loop on the present state.
func (n *Node) query(ctx context.Context, ask func(chutecore.State)) error {
	done := make(chan struct{})
	wrapped := func(s chutecore.State) {
		ask(s)
		close(done)
	}
	select {
	case n.queries <- wrapped:
		<-done

		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.running.Done():
		return context.Canceled
	}
}

// Config returns the configuration in force; ready is false before the first.
func (n *Node) Config() (cfg chuteconfig.Config, version uint64, ready bool) {
	current := n.config.Load()
	if current == nil {
		return chuteconfig.Config{}, 0, false
	}

	return current.config, current.version, true
}

// ConfigDigest returns the digest of the configuration in force, or "".
func (n *Node) ConfigDigest() string {
	if current := n.config.Load(); current != nil {
		return current.digest
	}

	return ""
}

// Ready returns nil while new work is welcome, else the reason why not.
func (n *Node) Ready() error {
	switch {
	case n.draining.Load():
		return errDraining
	case n.config.Load() == nil:
		return errUnconfigured
	case !n.listed.Load():
		return errUnlisted
	}

	return nil
}

// relayOf returns the relay of an engine stage: only the last stage's text goes to the caller.
func (e *entry) relayOf(d chutecore.Dispatch) *relay {
	if d.NextKind == "" {
		return e.relay
	}
	if e.inner[d.StageIndex] == nil {
		e.inner[d.StageIndex] = newRelay()
	}

	return e.inner[d.StageIndex]
}

// entry is what the node keeps of one request: payloads, which the reducer only names.
type entry struct {
	submission chuterequest.Submission
	results    map[chuterequest.AttemptID]chuteupstream.Result
	cancels    map[chuterequest.AttemptID]context.CancelFunc
	// relay holds the text that the caller is streamed, and inner that of engine stages before the last, by stage.
	relay *relay
	inner map[int]*relay
	claim *chuteclaim.Claim
	// last is the unrepeatable attempt of the last stage, if there was one.
	last     chuterequest.AttemptID
	stored   chuterequest.Answer
	deadline clockwork.Timer
	answered chan chuterequest.Answer
	// pending counts effects under way; the entry is dropped when it is released and none is left.
	pending  int
	released bool
}
