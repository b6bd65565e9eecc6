package chutecore

import (
	"time"

	"azurechute.example/azurechute/internal/chutelease"
	"azurechute.example/azurechute/internal/chuteledger"
	"azurechute.example/azurechute/internal/chutemember"
	"azurechute.example/azurechute/internal/chuterollout"
	"azurechute.example/azurechute/internal/chuterouting"
)

// View is the whole decision state as the state dump shows it.
type View struct {
	Identity      Identity
	At            time.Time
	Draining      bool
	Configuration ConfigurationView
	Requests      []Request
	Queued        map[string]int
	Upstreams     []chuterouting.UpstreamView
	Stages        []chuterouting.StageView
	Lease         LeaseView
	Members       []chutemember.Member
	Suspects      []string
	LeavingMarks  []chutemember.LeavingMark
	Ledger        []CounterView
}

// ConfigurationView shows which configuration is in force and what was ignored.
type ConfigurationView struct {
	Version    uint64
	Digest     string
	HeadAge    time.Duration
	StaleReads int
	Conflicts  []chuterollout.Conflict
}

// LeaseView shows the zone's lease as this node sees it.
type LeaseView struct {
	Held          bool
	Epoch         uint64
	Remaining     time.Duration
	Holder        chutelease.Row
	OrdersPending int
}

// CounterView is one cost counter.
type CounterView struct {
	chuteledger.Key
	chuteledger.Count
}

// View returns the state dump at a time.
func (s State) View(now time.Time) View {
	holder, _ := s.lease.Holder()

	return View{
		Identity: s.identity, At: now, Draining: s.draining,
		Configuration: ConfigurationView{
			Version: s.version, Digest: s.digest, HeadAge: s.rollout.HeadAge(now),
			StaleReads: s.rollout.StaleReads(), Conflicts: s.rollout.Conflicts(),
		},
		Requests: s.requestViews(), Queued: s.queued(),
		Upstreams: s.routing.All(), Stages: s.routing.Stages(),
		Lease: LeaseView{
			Held: s.lease.Held(now), Epoch: s.lease.Epoch(), Remaining: s.lease.Remaining(now),
			Holder: holder, OrdersPending: s.steward.Pending(),
		},
		Members: s.members.Members(), Suspects: names(s.members.Suspects(now)),
		LeavingMarks: s.members.LeavingMarks(), Ledger: s.counterViews(),
	}
}

// requestViews lists the requests in flight.
func (s State) requestViews() []Request {
	requests := make([]Request, 0, s.requests.Len())
	for itr := s.requests.Iterator(); !itr.Done(); {
		_, r, _ := itr.Next()
		requests = append(requests, r)
	}

	return requests
}

// queued counts the waiting requests of each pool.
func (s State) queued() map[string]int {
	queued := map[string]int{}
	for pool := range s.config.Pools {
		queued[pool] = s.queue.Len(pool)
	}

	return queued
}

// counterViews lists the own cost counters.
func (s State) counterViews() []CounterView {
	views := []CounterView{}
	for key, count := range s.ledger.Counters().All() {
		views = append(views, CounterView{Key: key, Count: count})
	}

	return views
}

// names lists the names of members.
func names(members []chutemember.Member) []string {
	list := make([]string, 0, len(members))
	for _, m := range members {
		list = append(list, m.Name)
	}

	return list
}

// Flushed says whether every cost counter is known to be in the table.
func (s State) Flushed() bool {
	rows, err := s.ledger.Unflushed()

	return err == nil && len(rows) == 0
}
