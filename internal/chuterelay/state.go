package chuterelay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutebudget"
	"azurechute.example/azurechute/internal/chutecanary"
	"azurechute.example/azurechute/internal/chutecost"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteoverdue"
	"azurechute.example/azurechute/internal/chutequarantine"
	"azurechute.example/azurechute/internal/chuteroom"
	"azurechute.example/azurechute/internal/chuteroute"
)

// Settings are the node's settings from its start.
type Settings struct {
	Self    Peer
	Retries chutebudget.Settings
	// Rollouts bounds what a new version of upstreams may get that turns out to be bad.
	Rollouts chutecanary.Bounds
	// WarmupRateFactor is the multiple of the warm-up rate, stated by the operator, that a cold
	// upstream may get; less than 1 counts as 1.
	WarmupRateFactor float64
	// ZoneRegions maps each zone to its region.
	ZoneRegions map[string]string
	Seed        uint64
}

// State is all that decisions on relayed requests depend on. Copies are cheap and a State is never
// modified.
type State struct {
	settings    Settings
	config      chuteroute.Config
	fleet       chutefleet.Fleet
	peers       peers
	requests    *immutable.Map[uint64, request]
	jobRequests *immutable.Map[uint64, jobRequest]
	collector   chutebatch.Collector
	// origins maps a job of this node's collector to who requested it.
	origins *immutable.Map[uint64, jobOrigin]
	// tokens maps a peer's token to its job.
	tokens *immutable.Map[uint64, uint64]
	// peersListedAt is when this process first received a list of nodes.
	peersListedAt time.Time
	budgets       *immutable.Map[budgetKey, chutebudget.Budget]
	// upstreamPaces maps an upstream to how fast it runs calls with parts.
	upstreamPaces *immutable.Map[string, upstreamPace]
	// zoneSilence tracks which other zones are cut off from this node.
	zoneSilence zoneSilence
	// links tracks whether this node reaches upstreams at all.
	links      upstreamLinks
	forwarding forwarding
	// probing are the silent upstreams that are being probed.
	probing *immutable.Map[string, bool]
	// waitReports are the waits of queues as last reported, localWaits those of this node's
	// collector as last computed.
	waitReports *immutable.Map[queueKey, waitReport]
	localWaits  *immutable.Map[queueKey, waitReport]
	loadReports loadReports
	// callTimes is how long calls take until their first event.
	callTimes callTimes
	// costs is how many events answers have.
	costs chutecost.Estimator
	// callerWaits distinguishes callers that resend a request from new ones.
	callerWaits callerWaits
	// rooms is the recent work of each pool whose calls are placed by work.
	rooms *immutable.Map[string, chuteroom.Pool]
	// announcedLimits maps an upstream's name to the last announcement of its limit among nodes.
	announcedLimits *immutable.Map[string, announcedLimit]
	quarantine      chutequarantine.Quarantine
	strays          strayCalls
	survived        survivedCalls
	rollouts        rollouts
	work            workExchange
	// overdue is what is known of the durations of calls at pools whose calls are placed by work.
	overdue chuteoverdue.Table
	// judgeAt is when the next JudgeDue event is due; zero if none is.
	judgeAt time.Time
	// vouchAt is when this node vouches for parts of prompts; zero if it has to for none.
	vouchAt time.Time
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
		fleet:         chutefleet.New(s.Self.Zone).WithZoneRegions(s.ZoneRegions),
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
		costs:         chutecost.New(),
		callerWaits:   newCallerWaits(),
		rooms:         immutable.NewMap[string, chuteroom.Pool](nil),
		zoneSilence:   newZoneSilence(s.Self.Zone),

		announcedLimits: immutable.NewMap[string, announcedLimit](nil),

		quarantine: chutequarantine.New(),
		strays:     newStrayCalls(),
		survived:   newSurvivedCalls(),
		overdue:    chuteoverdue.New(),
		random:     *rand.NewPCG(s.Seed, s.Seed),
	}
}

// Config returns the configuration in force; its version is 0 if there is none yet.
func (s State) Config() chuteroute.Config {
	return s.config
}

// Fleet returns the node's view of the upstreams.
func (s State) Fleet() chutefleet.Fleet {
	return s.fleet
}

// InFlight counts the requests that are not answered yet.
func (s State) InFlight() int {
	return s.requests.Len()
}

// Peers returns the known nodes, in the order of the list.
func (s State) Peers() []Peer {
	return slices.Clone(s.peers.all)
}

// jobOrigin identifies who requested a job from this node's collector.
type jobOrigin struct {
	// jobRequestID is set for a request of this node, token for a peer's job.
	jobRequestID uint64
	token        uint64
}

// jobRequest is the request for a stage's parts to a collector.
type jobRequest struct {
	handle uint64
	stage  int
	peer   Peer
	queue  queueKey
	// job is the job of this node's collector; 0 if the request went to a peer.
	job uint64
	// orphaned says that the peer was lost after it had made the results, so that only this node
	// frees them.
	orphaned bool
}

// reduction is the working state of one Reduce call: the state and the effects so far.
type reduction struct {
	State
	now     time.Time
	effects []Effect
}

// Reduce applies one event and returns the next state and the effects to carry out.
func Reduce(s State, now time.Time, event Event) (State, []Effect) {
	st := reduction{State: s, now: now}
	st.apply(event)
	st.startWorkExchange()
	st.keepProbing()

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
	case AttemptChecked:
		st.attemptChecked(e)
	case ProbeEnded:
		st.probeEnded(e)
	case LinksProbed:
		st.linksProbed(e)
	default:
		st.applyClusterEvent(event)
	}
}

// applyClusterEvent applies events about the configuration, the platform, the peers and the
// process itself.
func (st *reduction) applyClusterEvent(event Event) {
	switch e := event.(type) {
	case ConfigAdopted:
		st.adoptConfig(e.Config)
	case UpstreamsListed:
		st.changeUpstreams(st.fleet.ChangeTo(e.Upstreams), e.Hold)
	case UpstreamsChanged:
		st.changeUpstreams(e.ListChange, e.Hold)
	case ZonesEvacuated:
		st.setEvacuatedZones(e.Zones)
	case PeersListed:
		st.updatePeers(e.Peers)
		st.fleet = st.fleet.WithNodes(st.settings.Self.Name, st.peers.names()).WithLimitOwners(st.peers.sharers(st.now))
	case QuarantineAnnounced:
		st.quarantineAnnounced(e)
	case LimitsAnnounced:
		st.limitsAnnounced(e.Limits)
	case NoticeReceived:
		st.noticeReceived(e)
	case RolloutsOrdered, RolloutsRecorded, RolloutReported, RolloutReportFailed, RolloutWriteEnded, RolloutTicked:
		st.applyRolloutEvent(event)
	case WorkTicked, WorkReceived, WorkPeerHeard, WorkPeerLost:
		st.applyWorkEvent(event)
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

// updatePeers applies the list of nodes.
func (st *reduction) updatePeers(all []Peer) {
	if st.peersListedAt.IsZero() {
		st.peersListedAt = st.now
	}
	st.peers = st.peers.withDepartedNodes(all, st.now, st.now.Add(st.departedShareTime())).withListed(all)
}

// adoptConfig applies a configuration that is newer than the one in force.
//
// A read that was in progress while the process was frozen can return an older version.
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

// newID returns a number that this state has not returned before.
func (st *reduction) newID() uint64 {
	st.lastID++

	return st.lastID
}

// randomFraction returns the next random number in [0,1).
func (st *reduction) randomFraction() float64 {
	const bits = 53

	return float64(st.random.Uint64()>>(64-bits)) / (1 << bits)
}

// Idle reports whether no request is in flight and this node's collector holds no job.
func (s State) Idle() bool {
	return s.requests.Len() == 0 && s.collector.JobCount() == 0
}
