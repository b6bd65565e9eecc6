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
	settings    Settings
	config      chuteroute.Config
	fleet       chutefleet.Fleet
	peers       peers
	requests    *immutable.Map[uint64, request]
	jobRequests *immutable.Map[uint64, jobRequest]
	collector   chutebatch.Collector
	// origins maps a job of the own collector to who asked for it.
	origins *immutable.Map[uint64, jobOrigin]
	// tokens maps a peer's token to its job.
	tokens *immutable.Map[uint64, uint64]
	// peersListedAt is when this process first heard a list of nodes.
	peersListedAt time.Time
	budgets       *immutable.Map[budgetKey, chutebudget.Budget]
	// upstreamPaces maps an upstream to how quickly it runs calls with parts.
	upstreamPaces *immutable.Map[string, upstreamPace]
	// zoneSilence tells which other zones are cut off from this node.
	zoneSilence zoneSilence
	// probing are the silent upstreams that are asked whether they are back.
	probing *immutable.Map[string, bool]
	// waitReports are how long jobs wait, as last heard, ownWaits the same at the own
	// collector, as last worked out.
	waitReports *immutable.Map[queueKey, waitReport]
	localWaits  *immutable.Map[queueKey, waitReport]
	loadReports loadReports
	// callTimes is how long calls take until their first event.
	callTimes callTimes
	// callerWaits tells callers that come back from new ones.
	callerWaits callerWaits
	// announcedLimits maps an upstream to the last word on its limit among nodes.
	announcedLimits *immutable.Map[string, announcedLimit]
	quarantine      chutequarantine.Quarantine
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
		settings:      s,
		fleet:         chutefleet.New(s.Self.Zone),
		peers:         peers{self: s.Self},
		requests:      immutable.NewMap[uint64, request](nil),
		jobRequests:   immutable.NewMap[uint64, jobRequest](nil),
		collector:     chutebatch.New(),
		origins:       immutable.NewMap[uint64, jobOrigin](nil),
		tokens:        immutable.NewMap[uint64, uint64](nil),
		budgets:       immutable.NewMap[budgetKey, chutebudget.Budget](budgetKeyHasher{}),
		upstreamPaces: immutable.NewMap[string, upstreamPace](nil),
		probing:       immutable.NewMap[string, bool](nil),
		waitReports:   immutable.NewMap[queueKey, waitReport](queueHasher{}),
		localWaits:    immutable.NewMap[queueKey, waitReport](queueHasher{}),
		callTimes:     newCallTimes(),
		callerWaits:   newCallerWaits(),
		zoneSilence:   newZoneSilence(s.Self.Zone),

		announcedLimits: immutable.NewMap[string, announcedLimit](nil),

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

// jobOrigin is who asked the own collector for a job.
type jobOrigin struct {
	// jobRequestID is set for a request of this node, token for a peer's.
	jobRequestID uint64
	token        uint64
}

// jobRequest is one request for a stage's parts at a collector.
type jobRequest struct {
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

// reduction collects one reduction: the state so far and the effects so far.
type reduction struct {
	State
	now     time.Time
	effects []Effect
}

// Reduce takes one event into account and returns the next state and what is to be done.
func Reduce(s State, now time.Time, event Event) (State, []Effect) {
	st := reduction{State: s, now: now}
	st.apply(event)

	return st.State, st.effects
}

func (st *reduction) apply(event Event) {
	switch e := event.(type) {
	case Arrived:
		st.admit(e)
	case CallerLeft:
		st.callerLeft(e.Handle)
	case DeadlinePassed:
		st.deadlinePassed(e.Handle)
	case JobDone:
		st.jobDone(e)
	case JobFailed:
		st.jobFailed(e)
	case JobReceived:
		st.jobReceived(e)
	case JobCancelled:
		st.jobCancelled(e)
	case CallEnded:
		st.callEnded(e)
	case AttemptBegan:
		st.attemptBegan(e)
	case AttemptEnded:
		st.attemptEnded(e)
	case ProbeEnded:
		st.probeEnded(e)
	default:
		st.applyClusterEvent(event)
	}
}

// applyClusterEvent takes in what the platform and the peers say.
func (st *reduction) applyClusterEvent(event Event) {
	switch e := event.(type) {
	case ConfigAdopted:
		st.adoptConfig(e.Config)
	case UpstreamsListed:
		st.updateUpstreams(e)
	case ZonesEvacuated:
		st.setEvacuatedZones(e.Zones)
	case PeersListed:
		st.updatePeers(e.Peers)
		st.fleet = st.fleet.WithNodes(st.settings.Self.Name, st.peers.names()).WithSharers(st.peers.sharers(st.now))
	case QuarantineAnnounced:
		st.quarantineAnnounced(e)
	case LimitsAnnounced:
		st.limitsAnnounced(e.Limits)
	case JudgeDue:
		st.judgeAt = time.Time{}
		st.judgeCrashes()
	case DrainStarted:
		st.drain()
	case DrainEnding:
		st.refuseUnsent()
	case Ticked:
		st.tickAt = time.Time{}
		st.checkQueues()
	}
}

// updatePeers takes in the list of nodes.
func (st *reduction) updatePeers(all []Peer) {
	if st.peersListedAt.IsZero() {
		st.peersListedAt = st.now
	}
	st.peers = st.peers.withLeftNodes(all, st.now, st.now.Add(st.departedShareTime())).withListed(all)
}

// adoptConfig takes a configuration that is newer than the one in force.
//
// A read that was under way during a freeze can bring an older version than the
// one in force; going back would bring back revoked keys and dropped routes.
func (st *reduction) adoptConfig(cfg chuteroute.Config) {
	if cfg.Version <= st.config.Version {
		return
	}
	st.config = cfg
	st.collector = st.collector.WithPools(cfg.Pools)
	st.fleet = st.fleet.WithColdBounds(st.settings.coldBounds(cfg.Pools))
}

func (st *reduction) emit(effect Effect) {
	st.effects = append(st.effects, effect)
}

// newID returns a number that this state has not given out before.
func (st *reduction) newID() uint64 {
	st.lastID++

	return st.lastID
}

// randomFraction returns the next random number in [0,1).
func (st *reduction) randomFraction() float64 {
	const bits = 53

	return float64(st.random.Uint64()>>(64-bits)) / (1 << bits)
}

// Idle says whether no request is in flight and nobody holds a job here.
func (s State) Idle() bool {
	return s.requests.Len() == 0 && s.collector.Len() == 0
}
