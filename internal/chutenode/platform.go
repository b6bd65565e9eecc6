package chutenode

import (
	"context"
	"time"

	"azurechute.example/azurechute/internal/chutecore"
	"azurechute.example/azurechute/internal/chutemember"
	"azurechute.example/azurechute/internal/chuterouting"
	"azurechute.example/azurechute/internal/chutetable"
	"azurechute.example/azurechute/internal/chuteupstream"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// Periods of the node's questions to platform and upstreams.
const (
	listPeriod       = time.Second
	reportPeriod     = 500 * time.Millisecond
	farReportPeriod  = 5 * time.Second
	firstListTimeout = 2 * time.Second
	// pollTimeout is well below the stall timeout of calls, so that polls notice a frozen upstream first.
	pollTimeout = time.Second
)

// poll is the polling of one upstream's reports.
type poll struct {
	address string
	cancel  context.CancelFunc
}

// watchList reads the platform's list of VMs again and again.
func (n *Node) watchList(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		vms, err := n.readList(ctx)
		if err != nil && !failing {
			n.log.Warn().Err(err).Str("Step", "read VM list").Msg("the platform's list can't be read; the last one stays")
		}
		failing = err != nil
		if err == nil {
			n.listed.Store(true)
			n.takeList(vms) //nolint:contextcheck // polls live as long as the node
		}
		n.pause(ctx, listPeriod)
	}
}

// readList asks for the list within a bounded time.
func (n *Node) readList(ctx context.Context) ([]chutetable.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, firstListTimeout)
	defer cancel()

	return n.platform.VMs(ctx)
}

// takeList hands the list to the reducer and polls exactly the upstreams on it.
func (n *Node) takeList(vms []chutetable.VM) {
	var upstreams []chuterouting.ListedUpstream
	var seeds []chutemember.Seed
	for _, vm := range vms {
		switch vm.Kind {
		case chutetable.VMUpstream:
			upstreams = append(upstreams, chuterouting.ListedUpstream{
				Name: vm.Name, Address: vm.Address, Zone: vm.Zone, Pool: vm.Pool,
				Incarnation: vm.Incarnation, Leaving: vm.State == chutetable.VMLeaving,
			})
		case chutetable.VMEntry:
			if vm.Name != n.settings.NodeName && vm.PeerAddress != "" {
				seeds = append(seeds, chutemember.Seed{Name: vm.Name, Zone: vm.Zone, PeerAddress: vm.PeerAddress})
			}
		}
	}
	n.sendWith(chutecore.UpstreamsListed{Stamp: n.stamp(), Upstreams: upstreams}, func() { n.pollListed(upstreams) })
	n.send(chutecore.PeersListed{Stamp: n.stamp(), Seeds: seeds})
}

// pollListed starts the polls of new upstreams and ends those of vanished ones; it runs in the loop.
func (n *Node) pollListed(upstreams []chuterouting.ListedUpstream) {
	listed := map[string]bool{}
	for _, u := range upstreams {
		listed[u.Name] = true
		if p, ok := n.polls[u.Name]; ok && p.address == u.Address {
			continue
		}
		n.startPoll(u)
	}
	for name, p := range n.polls {
		if !listed[name] {
			p.cancel()
			delete(n.polls, name)
		}
	}
}

// startPoll begins to ask one upstream for its reports.
func (n *Node) startPoll(u chuterouting.ListedUpstream) {
	if old, ok := n.polls[u.Name]; ok {
		old.cancel()
	}
	ctx, cancel := context.WithCancel(n.running)
	n.polls[u.Name] = &poll{address: u.Address, cancel: cancel}
	engine := n.isEngine(u.Pool)
	period := reportPeriod
	if u.Zone != n.settings.Zone {
		period = farReportPeriod
	}
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		n.pollUpstream(ctx, u, period, engine)
	}()
}

// isEngine says whether a pool's upstreams are model engines, as far as the configuration is known.
func (n *Node) isEngine(pool string) func() bool {
	return func() bool {
		cfg, _, ready := n.Config()

		return ready && cfg.Pools[pool].Kind == chuteconfig.PoolEngine
	}
}

// pollUpstream asks for load and cache events until its context ends.
func (n *Node) pollUpstream(ctx context.Context, u chuterouting.ListedUpstream, period time.Duration, engine func() bool) {
	after := uint64(0)
	for ctx.Err() == nil {
		n.pollLoad(ctx, u)
		if engine() && u.Zone == n.settings.Zone {
			after = n.pollCache(ctx, u, after)
		}
		n.pause(ctx, period)
	}
}

// pollLoad asks an upstream for its load report.
func (n *Node) pollLoad(ctx context.Context, u chuterouting.ListedUpstream) {
	asked, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := n.upstreams.Load(asked, u.Address)
	switch {
	case err == nil:
		n.send(chutecore.LoadReported{Stamp: n.stamp(), Upstream: u.Name, Load: load})
	case ctx.Err() == nil:
		n.send(chutecore.PollFailed{Stamp: n.stamp(), Upstream: u.Name})
	}
}

// pollCache asks an engine for its cache events after a sequence number.
func (n *Node) pollCache(ctx context.Context, u chuterouting.ListedUpstream, after uint64) uint64 {
	events, next, err := n.upstreams.CacheEvents(ctx, u.Address, after)
	if err != nil || len(events) == 0 {
		return after
	}
	known := make([]chuterouting.CacheEvent, 0, len(events))
	for _, event := range events {
		known = append(known, chuterouting.CacheEvent{Add: event.Add, Block: event.Block})
	}
	n.send(chutecore.CacheReported{
		Stamp: n.stamp(), Upstream: u.Name, Events: known, Gap: chuteupstream.HasGap(after, events, next),
	})

	return next
}
