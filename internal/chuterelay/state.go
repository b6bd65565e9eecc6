package chuterelay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutebudget"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chutequarantine"
	"azurechute.example/azurechute/internal/chuteroute"
)

// Settings are what a node knows from its start.
type Settings struct {
	Self    Peer
	Retries chutebudget.Settings
	// ColdFactor is how many times the rate that the operator states for a cold upstream is
	// sent to it at most; 0 counts as 1.
	ColdFactor float64
	Seed       uint64
}

// State is all that decisions on relayed requests rest on; copies are cheap and never change.
type State struct {
	settings  Settings
	config    chuteroute.Config
	fleet     chutefleet.Fleet
	peers     peers
	requests  *immutable.Map[uint64, request]
	asks      *immutable.Map[uint64, ask]
	collector chutebatch.Collector
	// origins maps a job of the own collector to who asked for it.
	origins *immutable.Map[uint64, origin]
	// tokens maps a peer's token to its job.
	tokens *immutable.Map[uint64, uint64]
	// listedAt is when this process first heard a list of nodes.
	listedAt time.Time
	budgets  *immutable.Map[budgetKey, chutebudget.Budget]
	// paces maps an upstream to how quickly it runs calls with parts.
	paces *immutable.Map[string, pace]
	// zones tells which other zones are cut off from this node.
	zones zones
	// probed are the silent upstreams that are asked whether they are back.
	probed *immutable.Map[string, bool]
	// waits are how long jobs wait, as last heard, ownWaits the same at the own
	// collector, as last worked out.
	waits    *immutable.Map[queueKey, heardWait]
	ownWaits *immutable.Map[queueKey, heardWait]
	loads    loads
	// callTimes is how long calls take until their first event.
	callTimes callTimes
	// patiences tells callers that come back from new ones.
	patiences patiences
	// limitsTold maps an upstream to the last word on its limit among nodes.
	limitsTold *immutable.Map[string, toldLimit]
	quarantine chutequarantine.Quarantine
	// judgeAt is when the next JudgeDue event is due; zero if none is.
	judgeAt time.Time
	// tickAt is when the next Ticked event is due; zero if none is.
	tickAt   time.Time
	draining bool
	lastID   uint64
	random   rand.PCG
}

// NewState returns the state of a node without a configuration.
func NewState(s Settings) State {
	return State{
		settings:  s,
		fleet:     chutefleet.New(s.Self.Zone),
		peers:     peers{self: s.Self},
		requests:  immutable.NewMap[uint64, request](nil),
		asks:      immutable.NewMap[uint64, ask](nil),
		collector: chutebatch.New(),
		origins:   immutable.NewMap[uint64, origin](nil),
		tokens:    immutable.NewMap[uint64, uint64](nil),
		budgets:   immutable.NewMap[budgetKey, chutebudget.Budget](budgetKeyHasher{}),
		paces:     immutable.NewMap[string, pace](nil),
		probed:    immutable.NewMap[string, bool](nil),
		waits:     immutable.NewMap[queueKey, heardWait](queueHasher{}),
		ownWaits:  immutable.NewMap[queueKey, heardWait](queueHasher{}),
		callTimes: newCallTimes(),
		patiences: newPatiences(),
		zones:     newZones(s.Self.Zone),

		limitsTold: immutable.NewMap[string, toldLimit](nil),

		quarantine: chutequarantine.New(),
		random:     *rand.NewPCG(s.Seed, s.Seed),
	}
}

// Config returns the configuration in force; its version is 0 if there is none yet.
func (s State) Config() chuteroute.Config {
	return s.config
}

// Fleet returns the view of the upstreams.
func (s State) Fleet() chutefleet.Fleet {
	return s.fleet
}

// InFlight counts the requests that are not answered yet.
func (s State) InFlight() int {
	return s.requests.Len()
}

// Peers returns the nodes known, in the order of the list.
func (s State) Peers() []Peer {
	return slices.Clone(s.peers.all)
}

// origin is who asked the own collector for a job.
type origin struct {
	// ask is set for a request of this node, token for a peer's.
	ask   uint64
	token uint64
}

// ask is one request for a stage's parts at a collector.
type ask struct {
	handle uint64
	stage  int
	peer   Peer
	queue  queueKey
	// job is the own collector's job; 0 if a peer was asked.
	job uint64
	// orphaned says that the peer was lost after it had made the results, so that
	// nobody but this node frees them.
	orphaned bool
}

// step collects one reduction: the state so far and the effects so far.
type step struct {
	State
	now     time.Time
	effects []Effect
}

// Reduce takes one event into account and returns the next state and what is to be done.
func Reduce(s State, now time.Time, event Event) (State, []Effect) {
	st := step{State: s, now: now}
	st.apply(event)

	return st.State, st.effects
}

func (st *step) apply(event Event) {
	switch e := event.(type) {
	case Arrived:
		st.arrive(e)
	case CallerLeft:
		st.abandon(e.Handle)
	case DeadlinePassed:
		st.deadlinePassed(e.Handle)
	case PartsMade:
		st.partsMade(e)
	case PartsFailed:
		st.partsFailed(e)
	case JobAsked:
		st.jobAsked(e)
	case JobDropped:
		st.jobDropped(e)
	case CallEnded:
		st.callEnded(e)
	case AttemptBegan:
		st.attemptBegan(e)
	case AttemptEnded:
		st.attemptEnded(e)
	case ProbeEnded:
		st.probeEnded(e)
	default:
		st.applyNews(event)
	}
}

// applyNews takes in what the platform and the peers say.
func (st *step) applyNews(event Event) {
	switch e := event.(type) {
	case ConfigAdopted:
		st.adopt(e.Config)
	case UpstreamsListed:
		st.listUpstreams(e)
	case ZonesEvacuated:
		st.evacuate(e.Zones)
	case PeersListed:
		st.listPeers(e.Peers)
		st.fleet = st.fleet.WithNodes(st.settings.Self.Name, st.peers.names()).WithLimitOwners(st.peers.sharers(st.now))
	case QuarantineHeard:
		st.hearQuarantine(e)
	case LimitsHeard:
		st.hearLimits(e.Words)
	case JudgeDue:
		st.judgeAt = time.Time{}
		st.judge()
	case DrainStarted:
		st.drain()
	case DrainEnding:
		st.refuseUnsent()
	case Ticked:
		st.tickAt = time.Time{}
		st.lookOver()
	}
}

// listPeers takes in the list of nodes.
func (st *step) listPeers(all []Peer) {
	if st.listedAt.IsZero() {
		st.listedAt = st.now
	}
	st.peers = st.peers.withDepartures(all, st.now, st.now.Add(st.departedFor())).withListed(all)
}

// adopt takes a configuration that is newer than the one in force.
//
// A read that was under way during a freeze can bring an older version than the
// one in force; going back would bring back revoked keys and dropped routes.
func (st *step) adopt(cfg chuteroute.Config) {
	if cfg.Version <= st.config.Version {
		return
	}
	st.config = cfg
	st.collector = st.collector.WithPools(cfg.Pools)
	st.fleet = st.fleet.WithColdBounds(st.settings.coldBounds(cfg.Pools))
}

func (st *step) do(effect Effect) {
	st.effects = append(st.effects, effect)
}

// newID returns a number that this state has not given out before.
func (st *step) newID() uint64 {
	st.lastID++

	return st.lastID
}

// draw returns the next random number in [0,1).
func (st *step) draw() float64 {
	const bits = 53

	return float64(st.random.Uint64()>>(64-bits)) / (1 << bits)
}

// Idle says whether no request is in flight and nobody holds a job here.
func (s State) Idle() bool {
	return s.requests.Len() == 0 && s.collector.JobCount() == 0
}
