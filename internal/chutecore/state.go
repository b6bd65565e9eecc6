package chutecore

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"azurechute.example/azurechute/internal/chuteadmission"
	"azurechute.example/azurechute/internal/chutelease"
	"azurechute.example/azurechute/internal/chuteledger"
	"azurechute.example/azurechute/internal/chutemember"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/internal/chuterollout"
	"azurechute.example/azurechute/internal/chuterouting"
	"azurechute.example/azurechute/internal/chutesteward"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// Identity names one process of the system.
type Identity struct {
	Node        string
	Zone        string
	Region      string
	PeerAddress string
	// Incarnation is new at each start of the process.
	Incarnation string
}

// Times of a lease before the first configuration says others.
const (
	initialLeaseDuration = 10 * time.Second
	initialOrderTimeout  = 30 * time.Second
)

// ledgerShards spreads the counters over rows small enough for peers to keep; only changed rows are written.
const ledgerShards = 4

// State is all that one node decides from; copies are cheap and never change.
type State struct {
	identity Identity
	version  uint64
	digest   string
	config   chuteconfig.Config

	requests *immutable.Map[uint64, Request]
	routing  chuterouting.Table
	queue    chuteadmission.Queue
	retries  chuteadmission.Budget
	hedges   chuteadmission.Budget
	ledger   chuteledger.Ledger

	rollout chuterollout.State
	lease   chutelease.Machine
	steward chutesteward.State
	members chutemember.Set
	lastRun lastRunTimes
	// relay is what decides on relayed requests; unused where none are served.
	relay chuterelay.State

	lastAttempt uint64
	random      rand.PCG
	draining    bool
	// contested says that another process goes by this node's name.
	contested bool
	// uncopied counts the ledger rows that are too large for peers to keep.
	uncopied int
}

// pace remembers when the slower periodic work was last done.
type lastRunTimes struct {
	gossip  time.Time
	steward time.Time
}

// NewState returns the state of a node that has no configuration yet; seed makes its random choices repeatable.
func NewState(identity Identity, seed uint64, now time.Time) State {
	return State{
		identity: identity,
		requests: immutable.NewMap[uint64, Request](nil),
		routing:  chuterouting.NewTable(chuterouting.Settings{OwnZone: identity.Zone}),
		queue:    chuteadmission.NewQueue(true),
		ledger:   chuteledger.New(chuteledger.Settings{Incarnation: identity.Incarnation, Shards: ledgerShards}),
		rollout:  chuterollout.New(chuterollout.Settings{Seed: seed}),
		lease: chutelease.New(chutelease.Settings{
			Zone: identity.Zone, Node: identity.Node, Incarnation: identity.Incarnation,
			Duration: initialLeaseDuration, OrderTimeout: initialOrderTimeout, Seed: seed,
		}),
		steward: chutesteward.New(),
		members: chutemember.New(chutemember.Member{
			Name: identity.Node, Zone: identity.Zone, Region: identity.Region, PeerAddress: identity.PeerAddress,
			Incarnation: identity.Incarnation, Epoch: uint64(now.UnixMilli()), State: chutemember.StateLive,
		}),
		random: *rand.NewPCG(seed, uint64(now.UnixNano())),
	}
}

// Ready says whether the node has a configuration and takes new work.
func (s State) Ready() bool {
	return s.version > 0 && !s.draining
}

// Draining says whether the node was asked to end.
func (s State) Draining() bool {
	return s.draining
}

// InFlight counts the requests not yet answered.
func (s State) InFlight() int {
	return s.requests.Len()
}

// Version returns the number and digest of the configuration in force; 0 means none yet.
func (s State) Version() (uint64, string) {
	return s.version, s.digest
}

// Config returns the configuration in force.
func (s State) Config() chuteconfig.Config {
	return s.config
}

// Ledger returns the cost counters.
func (s State) Ledger() chuteledger.Ledger {
	return s.ledger
}

// Members returns every node known, this one included.
func (s State) Members() []chutemember.Member {
	return s.members.Members()
}

// Upstreams returns the routing view of each upstream.
func (s State) Upstreams() []chuterouting.UpstreamView {
	return s.routing.All()
}

// pool returns the configuration of the pool that a stage runs in.
func (s State) poolOf(stage chuteconfig.Stage) chuteconfig.Pool {
	return s.config.Pools[stage.Pool]
}

// newAttemptID returns an id that no other attempt of any node has.
func (s State) newAttemptID() (State, chuterequest.AttemptID) {
	s.lastAttempt++

	return s, chuterequest.NewAttemptID(s.identity.Incarnation, s.lastAttempt)
}

// sortedNames returns a map's keys in order, so that decisions do not depend on Go's map order.
func sortedNames[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// HoldsLease says whether this node holds its zone's lease at the time.
func (s State) HoldsLease(now time.Time) bool {
	return s.lease.Held(now)
}
