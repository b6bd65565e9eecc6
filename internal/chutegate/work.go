package chutegate

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteshare"
	"azurechute.example/azurechute/internal/chutework"
)

const (
	// defaultWorkInterval is the time between two messages to a node that asks this one before this one exchanges work
	// itself.
	defaultWorkInterval = 100 * time.Millisecond
	// maxOwnSums bounds the sums that an aggregator applies to its own fleet at a time. They are in no message, but the
	// event loop stands still meanwhile.
	maxOwnSums = 512
)

// workExchange exchanges reports of the work at upstreams with other nodes.
type workExchange struct {
	// due has an item while plan is not carried out.
	due chan struct{}

	mu sync.Mutex
	// plan is the last effect that was not carried out, with the reports of all such; nil if there is none.
	plan *chuterelay.ExchangeWork
	// started says that a plan was carried out, isAggregator that this node is the aggregator by the last one.
	started      bool
	isAggregator bool
	interval     time.Duration
	// table adds up what others report to this node, and its own work while it is the aggregator.
	table chutework.Table
	// outbox holds this node's own reports.
	outbox chutework.Outbox
	// own is what this node's own fleet has got of the table.
	own chutework.Subscription
	// links are the streams that this node has opened.
	links map[chuterelay.Peer]*workLink
	// lastStream numbers the streams, and ownMessages this node's own reports to its table.
	lastStream  uint64
	ownMessages uint64

	// sessions is the number of streams that other nodes have opened. The others count from the start.
	sessions         atomic.Int64
	aggregatorChange atomic.Int64
	peersLost        atomic.Int64
	messagesReceived atomic.Int64
	reportsSent      atomic.Int64
	reportsReceived  atomic.Int64
}

// workLink is a stream that this node has opened.
type workLink struct {
	peer chuterelay.Peer
	end  context.CancelFunc
	wake chan struct{}
}

func newWorkExchange(zone string) *workExchange {
	return &workExchange{
		due: make(chan struct{}, 1), table: chutework.NewTable(zone), outbox: chutework.NewOutbox(),
		interval: defaultWorkInterval, links: map[chuterelay.Peer]*workLink{},
	}
}

// performWorkEffect performs the effects that concern the exchange of work.
func (n *Node) performWorkEffect(effect chuterelay.Effect) {
	switch e := effect.(type) {
	case chuterelay.ExchangeWork:
		n.work.setPlan(e)
	case chuterelay.WorkTickAt:
		n.sendEventAt(e.At, chuterelay.WorkTicked{})
	case chuterelay.LogWorkAggregator:
		n.work.aggregatorChange.Add(1)
		n.log.Info().Str("Peer", e.Aggregator.Name).Str("Before", e.Before).Strs("Lost", e.Lost[:min(len(e.Lost), maxLoggedParts)]).
			Int("Nodes", e.Nodes).Int64("IntervalMs", e.Interval.Milliseconds()).Msg("aggregator of the zone's work")
	default:
		n.performPartsEffect(effect)
	}
}

// setPlan has the loop carry out an effect.
func (w *workExchange) setPlan(e chuterelay.ExchangeWork) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.plan != nil {
		e.Reports = append(w.plan.Reports, e.Reports...)
	}
	w.plan = &e
	signal(w.due)
}

// signal puts an item into a channel that has room for one, unless there is one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// exchangeWork carries out the effects until the node stops. Without a pool that is placed by work there are none.
func (n *Node) exchangeWork(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.work.due:
			n.applyWorkPlan() //nolint:contextcheck // streams live as long as the node
		}
	}
}

// applyWorkPlan reports this node's work, and opens and ends streams as the last effect says.
func (n *Node) applyWorkPlan() {
	sums := n.work.applyPlan(n.settings.Self, n)
	if len(sums) > 0 {
		n.sendEvent(chuterelay.WorkReceived{Reports: sums})
	}
}

// applyPlan returns the sums for this node's own fleet, if it is the aggregator.
func (w *workExchange) applyPlan(self chuterelay.Peer, n *Node) []chutework.Report {
	w.mu.Lock()
	defer w.mu.Unlock()

	plan, now := w.plan, n.Now()
	if plan == nil {
		return nil
	}
	w.plan, w.started, w.interval = nil, true, plan.Interval
	w.outbox = w.outbox.With(plan.Reports, now)
	w.setAggregator(plan.Aggregator.Name == self.Name, self, now)
	n.setWorkLinks(plan.Links)
	if !w.isAggregator {
		for _, link := range w.links {
			signal(link.wake)
		}

		return nil
	}
	own := chutework.Update{Reporter: chutework.Reporter{Name: self.Name, Zone: self.Zone}}
	own.Reports, w.outbox = w.outbox.Take(now, w.outbox.Len())
	w.ownMessages++
	own.Number = w.ownMessages
	w.table = w.table.With(own, now)
	var sums []chutework.Report
	sums, w.own = w.table.Changes(w.own, now, maxOwnSums)

	return sums
}

// setAggregator notes whether this node is the aggregator of its zone.
func (w *workExchange) setAggregator(isAggregator bool, self chuterelay.Peer, now time.Time) {
	if w.isAggregator == isAggregator {
		return
	}
	w.isAggregator = isAggregator
	w.outbox = w.outbox.WithoutSent()
	w.own = chutework.NewSubscription(chutework.ScopeAll).Without(chutework.Reporter{Name: self.Name, Zone: self.Zone})
	if !isAggregator {
		w.table = w.table.WithoutStream(chutework.Reporter{Name: self.Name, Zone: self.Zone}, 0, now)
	}
}

// setWorkLinks opens and ends streams so that there is one to each of the peers. The caller holds the lock.
func (n *Node) setWorkLinks(peers []chuterelay.Peer) {
	for peer, link := range n.work.links {
		if !slices.Contains(peers, peer) {
			link.end()
			delete(n.work.links, peer)
		}
	}
	for _, peer := range peers {
		if n.work.links[peer] == nil {
			n.openWorkLink(peer)
		}
	}
}

// openWorkLink opens a stream to a peer: to the aggregator of this node's zone, or as such to that of another zone. The
// caller holds the lock.
func (n *Node) openWorkLink(peer chuterelay.Peer) {
	ctx, end := context.WithCancel(n.runContext)
	link := &workLink{peer: peer, end: end, wake: make(chan struct{}, 1)}
	n.work.links[peer] = link
	n.work.outbox = n.work.outbox.WithoutSent()
	n.work.lastStream++
	stream := n.work.lastStream
	n.spawn(func(context.Context) {
		defer end()
		session := n.toAggregator(link)
		if peer.Zone != n.settings.Self.Zone {
			session = n.workSession(chuteshare.WorkPeer{Node: peer.Name, Zone: peer.Zone}, stream)
		}
		session.Leaving = func() bool { return false }
		session.Receive = n.whenHeard(peer, session.Receive)
		self := chuteshare.WorkPeer{Node: n.settings.Self.Name, Zone: n.settings.Self.Zone}
		err := n.peers.ExchangeWork(ctx, peer.Address, self, session)
		n.workLinkEnded(ctx, peer, link, err)
	})
}

// whenHeard returns receive, with an event for the first message of a peer.
func (n *Node) whenHeard(peer chuterelay.Peer, receive func([]chutework.Report)) func([]chutework.Report) {
	heard := false

	return func(reports []chutework.Report) {
		if !heard {
			heard = true
			n.sendEvent(chuterelay.WorkPeerHeard{Peer: peer})
		}
		receive(reports)
	}
}

// workLinkEnded has another aggregator elected if a stream has ended that this node has not ended itself.
func (n *Node) workLinkEnded(ctx context.Context, peer chuterelay.Peer, link *workLink, err error) {
	if ctx.Err() != nil {
		return
	}
	n.work.mu.Lock()
	if n.work.links[peer] == link {
		delete(n.work.links, peer)
	}
	n.work.mu.Unlock()
	n.work.peersLost.Add(1)
	outdated, leaving := status.Code(err) == codes.Unimplemented, chuteshare.IsLeaving(err)
	line := n.log.Info()
	if outdated {
		line = n.log.Warn()
	}
	line.Err(err).Str("Peer", peer.Name).Str("At", peer.Zone).Bool("Silent", chuteshare.IsSilent(err)).Bool("Outdated", outdated).Bool("Leaving", leaving).
		Msg("exchange of work ended")
	n.sendEvent(chuterelay.WorkPeerLost{Peer: peer, Outdated: outdated, Leaving: leaving})
}

// toAggregator returns what this node does on its stream to the aggregator of its zone: it sends its own reports and takes
// the sums of all nodes.
func (n *Node) toAggregator(link *workLink) chuteshare.WorkSession {
	var budget chutework.Budget

	return chuteshare.WorkSession{
		Wake: link.wake,
		Take: func() ([]chutework.Report, time.Duration) {
			n.work.mu.Lock()
			defer n.work.mu.Unlock()

			if n.work.links[link.peer] != link {
				// The stream is being ended; what is taken from the outbox would not reach the next aggregator.
				return nil, time.Second
			}
			var reports []chutework.Report
			now := n.Now()
			reports, n.work.outbox = n.work.outbox.Take(now, budget.Limit(now))
			budget = budget.WithSent(len(reports), now)
			n.work.reportsSent.Add(int64(len(reports)))

			return reports, time.Second
		},
		Receive: func(reports []chutework.Report) {
			n.work.countReceived(reports)
			if len(reports) > 0 {
				n.sendEvent(chuterelay.WorkReceived{Reports: reports})
			}
		},
	}
}

// acceptWork begins the exchange with a node that takes this one for an aggregator.
func (n *Node) acceptWork(peer chuteshare.WorkPeer) chuteshare.WorkSession {
	n.work.mu.Lock()
	n.work.lastStream++
	stream := n.work.lastStream
	n.work.mu.Unlock()
	n.work.sessions.Add(1)
	session := n.workSession(peer, stream)
	end := session.End
	session.End = func() {
		n.work.sessions.Add(-1)
		end()
	}

	return session
}

// workSession returns what this node does as an aggregator: it adds up the peer's reports, and sends a node of its own zone
// the sums over all others, and an aggregator of another zone those of its own zone.
func (n *Node) workSession(peer chuteshare.WorkPeer, stream uint64) chuteshare.WorkSession {
	w := n.work
	update := chutework.Update{Reporter: chutework.Reporter{Name: peer.Node, Zone: peer.Zone}, Stream: stream}
	subscription, budget := chutework.NewSubscription(chutework.ScopeAll).Without(update.Reporter), chutework.Budget{}
	if peer.Zone != n.settings.Self.Zone {
		subscription = chutework.NewSubscription(chutework.ScopeZone)
	}

	return chuteshare.WorkSession{
		Take: func() (reports []chutework.Report, next time.Duration) {
			w.mu.Lock()
			defer w.mu.Unlock()

			now := n.Now()
			w.table = w.table.WithoutExpired(now)
			reports, subscription = w.table.Changes(subscription, now, budget.Limit(now))
			budget = budget.WithSent(len(reports), now)
			w.reportsSent.Add(int64(len(reports)))

			return reports, w.interval
		},
		Receive: func(reports []chutework.Report) {
			w.countReceived(reports)
			if w.add(&update, reports, n.Now()) || len(reports) == 0 {
				return
			}
			// This node has not seen a pace itself; the reports start its own exchange.
			n.sendEvent(chuterelay.WorkReceived{Reports: reports})
		},
		Leaving: n.draining.Load,
		End: func() {
			w.mu.Lock()
			defer w.mu.Unlock()

			w.table = w.table.WithoutStream(update.Reporter, stream, n.Now())
		},
	}
}

// add applies the next message of a stream, and reports whether this node exchanges work itself.
func (w *workExchange) add(update *chutework.Update, reports []chutework.Report, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	update.Number++
	update.Reports = reports
	w.table = w.table.With(*update, now)

	return w.started
}

func (w *workExchange) countReceived(reports []chutework.Report) {
	w.messagesReceived.Add(1)
	w.reportsReceived.Add(int64(len(reports)))
}

// snapshot returns the table and the number of streams that this node has opened.
func (w *workExchange) snapshot() (table chutework.Table, links int, isAggregator bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.table, len(w.links), w.isAggregator
}

// addWorkGauges registers the gauges about the exchange of work.
func (n *Node) addWorkGauges() {
	w := n.work
	ofTable := func(count func(chutework.Table) int) func() float64 {
		return func() float64 {
			table, _, _ := w.snapshot()

			return float64(count(table))
		}
	}
	total := func(counter *atomic.Int64) func() float64 {
		return func() float64 { return float64(counter.Load()) }
	}
	n.meter.Gauge("work_aggregator", func() float64 {
		_, _, isAggregator := w.snapshot()

		return boolToFloat(isAggregator)
	})
	n.meter.Gauge("work_streams", func() float64 {
		_, links, _ := w.snapshot()

		return float64(links) + float64(w.sessions.Load())
	})
	n.meter.Gauge("work_upstreams", ofTable(chutework.Table.Upstreams))
	n.meter.Gauge("work_reporters", ofTable(chutework.Table.Reporters))
	n.meter.Gauge("work_reports_held", ofTable(chutework.Table.Contributions))
	n.meter.Gauge("work_reports_rejected_total", ofTable(chutework.Table.Rejected))
	n.meter.Gauge("work_aggregator_changes_total", total(&w.aggregatorChange))
	n.meter.Gauge("work_peers_lost_total", total(&w.peersLost))
	n.meter.Gauge("work_messages_received_total", total(&w.messagesReceived))
	n.meter.Gauge("work_reports_sent_total", total(&w.reportsSent))
	n.meter.Gauge("work_reports_received_total", total(&w.reportsReceived))
}
