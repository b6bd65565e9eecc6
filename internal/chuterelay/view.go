package chuterelay

import (
	"maps"
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutecanary"
	"azurechute.example/azurechute/internal/chutecost"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteoverdue"
	"azurechute.example/azurechute/internal/chutequarantine"
	"azurechute.example/azurechute/internal/chuteroom"
)

// View is the part of a state dump about relayed requests.
type View struct {
	Version   uint64
	Draining  bool
	InFlight  int
	Requests  []RequestView
	Upstreams []chutefleet.UpstreamView
	Peers     []PeerView
	Lanes     []LaneView
	// Evacuated are the zones to whose upstreams nothing is sent.
	Evacuated []string `json:",omitempty"`
	// Budgets are the retry budgets by pool.
	Budgets []BudgetView `json:",omitempty"`
	// Costs is what has been learned of the cost of requests.
	Costs *chutecost.Summary `json:",omitempty"`
	// Rooms are the recent work and the shares of pools whose calls are placed by work.
	Rooms []chuteroom.View `json:",omitempty"`
	// Rollouts are the pools that are being moved to another version, or were last.
	Rollouts []RolloutView `json:",omitempty"`
	// Overdue is what is known of the durations of calls by pool and pipeline, where calls can be overdue.
	Overdue []chuteoverdue.View `json:",omitempty"`
	// Quarantined are the judgements of the requests that are quarantined.
	Quarantined []chutequarantine.Judgement `json:",omitempty"`
	// Work describes the exchange of work among nodes; nil if there is none.
	Work *WorkView `json:",omitempty"`
	// Links describes that this node reaches no upstream; nil if it does.
	Links *LinksView `json:",omitempty"`
}

// RequestView describes one request in flight.
type RequestView struct {
	ID       string
	Pipeline string
	Pool     string
	Age      time.Duration
	Left     time.Duration
	// Upstream is where its call runs; empty while its stages run.
	Upstream string `json:",omitempty"`
	Begun    bool   `json:",omitempty"`
}

// RolloutView describes the rollout of one pool.
type RolloutView struct {
	Order  chutecanary.Order
	Record chutecanary.Record
	// Evidence describes what this node has heard of both versions, if it gets the reports.
	Evidence string `json:",omitempty"`
}

// RolloutTallies returns this node's counts of each rollout that was ordered last, by pool.
func (s State) RolloutTallies() map[string]chutecanary.Tally {
	tallies := map[string]chutecanary.Tally{}
	for pool, p := range s.rollouts.progress {
		tallies[pool] = p.tally
	}

	return tallies
}

// RolloutsInProgress returns the number of pools that are being moved to another version.
func (s State) RolloutsInProgress() int {
	count := 0
	for pool := range s.rollouts.orders {
		if s.rollouts.inProgress(pool) {
			count++
		}
	}

	return count
}

// rolloutViews describes all rollouts, sorted by pool.
func (s State) rolloutViews() []RolloutView {
	pools := map[string]bool{}
	for pool := range s.rollouts.orders {
		pools[pool] = true
	}
	for pool := range s.rollouts.records {
		pools[pool] = true
	}
	var views []RolloutView
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		view := RolloutView{Order: s.rollouts.orders[pool], Record: s.rollouts.records[pool]}
		if p, ok := s.rollouts.progress[pool]; ok && p.conductor.HasReports() {
			view.Evidence = p.conductor.Summary()
		}
		views = append(views, view)
	}

	return views
}

// PeerView describes one node; Silent says that it is skipped now.
type PeerView struct {
	Peer
	Silent bool `json:",omitempty"`
}

// LaneView describes one queue of this node's collector.
type LaneView struct {
	chutebatch.Lane
	// Parts is the number of parts that wait for a call.
	Parts int
}

// View returns the state in a form that encodes to JSON.
func (s State) View(now time.Time) View {
	v := View{
		Version: s.config.Version, Draining: s.draining, InFlight: s.requests.Len(), Upstreams: s.fleet.Views(now),
		Quarantined: s.quarantine.Quarantined(now), Evacuated: s.fleet.EvacuatedZones(),
		Budgets: s.budgetViews(now), Rooms: s.roomViews(now), Rollouts: s.rolloutViews(), Work: s.workView(now), Costs: s.costView(now),
		Overdue: s.overdue.Views(now), Links: s.linksView(),
	}
	for i := s.requests.Iterator(); !i.Done(); {
		_, r, _ := i.Next()
		v.Requests = append(v.Requests, RequestView{
			ID: r.ID, Pipeline: r.Pipeline.Name, Pool: r.pool, Age: now.Sub(r.arrivedAt), Left: r.Deadline.Sub(now),
			Upstream: r.current.upstream.ID, Begun: r.answerBegun,
		})
	}
	for _, peer := range s.peers.all {
		v.Peers = append(v.Peers, PeerView{Peer: peer, Silent: s.peers.skipped(peer, now)})
	}
	for _, lane := range s.collector.WaitingLanes() {
		v.Lanes = append(v.Lanes, LaneView{Lane: lane, Parts: s.collector.WaitingParts(lane)})
	}

	return v
}
