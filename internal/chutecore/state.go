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

// Identity identifies one node process.
type Identity struct {
	Node        string
	Zone        string
	Region      string
	PeerAddress string
	// Incarnation differs at each start of the process.
	Incarnation string
}

// Lease times used until the first configuration sets others.
const (
	initialLeaseDuration = 10 * time.Second
	initialOrderTimeout  = 30 * time.Second
)

// ledgerShards is the number of rows over which the counters are spread, so that each
// row is small enough for peers to keep; only changed rows are written.
const ledgerShards = 4

// State is everything that a node's decisions depend on. It is immutable and cheap to copy.
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
	// relay is the state of relayed requests; unused on nodes that serve none.
	relay chuterelay.State

	lastAttempt uint64
	random      rand.PCG
	draining    bool
	// contested is true if another process uses this node's name.
	contested bool
	// uncopied counts the ledger rows that no peer can keep because they exceed the exchange size limit.
	uncopied int
}

// lastRunTimes records when the periodic work with a longer period last ran.
type lastRunTimes struct {
	gossip  time.Time
	steward time.Time
}

// NewState returns the state of a node without a configuration. The random choices
// depend only on seed and now, so they can be replayed.
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

// Ready reports whether the node has a configuration and accepts new requests.
func (s State) Ready() bool {
	return s.version > 0 && !s.draining
}

// Draining reports whether the node was asked to shut down.
func (s State) Draining() bool {
	return s.draining
}

// InFlight returns the number of requests that are not yet answered.
func (s State) InFlight() int {
	return s.requests.Len()
}

// Version returns the version and digest of the configuration in force; version 0 means none.
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

// Members returns every known node, including this one.
func (s State) Members() []chutemember.Member {
	return s.members.Members()
}

// Upstreams returns the routing view of each upstream.
func (s State) Upstreams() []chuterouting.UpstreamView {
	return s.routing.UpstreamViews()
}

// poolOf returns the configuration of the pool that a stage runs in.
func (s State) poolOf(stage chuteconfig.Stage) chuteconfig.Pool {
	return s.config.Pools[stage.Pool]
}

// newAttemptID returns an ID that no other attempt of any node has.
func (s State) newAttemptID() (State, chuterequest.AttemptID) {
	s.lastAttempt++

	return s, chuterequest.NewAttemptID(s.identity.Incarnation, s.lastAttempt)
}

// sortedNames returns a map's keys in sorted order, so that decisions do not depend on Go's map iteration order.
func sortedNames[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// HoldsLease reports whether this node holds its zone's lease at the time now.
func (s State) HoldsLease(now time.Time) bool {
	return s.lease.Held(now)
}
