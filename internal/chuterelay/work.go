package chuterelay

import (
	"maps"
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chutework"
)

const (
	// workRole is the prefix of the role, in Elect, of the node that adds up the work of a zone.
	workRole = "work|"
	// minWorkInterval is the time between two messages of a node in a zone of up to workIntervalNodes nodes. Each further
	// node adds workIntervalPerNode, so that the aggregator's load stays the same, up to maxWorkInterval.
	minWorkInterval     = 100 * time.Millisecond
	maxWorkInterval     = time.Second
	workIntervalPerNode = 4 * time.Millisecond
	workIntervalNodes   = 25
	// maxWorkPeerPause bounds how long a lost node is skipped. It is shorter than that of collectors: an attempt costs no
	// request, but leaves a zone without the sums of others for up to half a second.
	maxWorkPeerPause = 8 * time.Second
	// outdatedPeerPause is how long a node of an older build, or one that shuts down, is not asked again. Its next
	// incarnation is asked at once.
	outdatedPeerPause = 5 * time.Minute
)

// ExchangeWork has the node report to the aggregator of its zone, or add up what others report if it is the aggregator.
type ExchangeWork struct {
	// Aggregator is the node that adds up the work of the zone, possibly this one.
	Aggregator Peer
	// Links are the nodes to which this one keeps a stream: the aggregator or, if that is this node, those of other zones.
	Links []Peer
	// Reports are this node's own since the last effect.
	Reports []chutework.Report
	// Interval is the time between two messages.
	Interval time.Duration
}

// WorkTickAt schedules a WorkTicked event.
type WorkTickAt struct {
	At time.Time
}

// LogWorkAggregator logs that another node adds up the work of the zone from now on.
type LogWorkAggregator struct {
	Aggregator Peer
	// Before is the name of the one before; empty if there was none.
	Before string
	// Lost are the nodes of the zone that are skipped now.
	Lost []string
	// Nodes is the number of listed nodes in the zone.
	Nodes    int
	Interval time.Duration
}

// WorkTicked reports that it is time to report this node's work.
type WorkTicked struct{}

// WorkReceived reports sums over all other nodes.
type WorkReceived struct {
	Reports []chutework.Report
}

// WorkPeerHeard reports that a node exchanges work with this one.
type WorkPeerHeard struct {
	Peer Peer
}

// WorkPeerLost reports that a node that this one exchanged work with is gone or silent, or, if it is outdated, that it does
// not know how. Leaving says that it shuts down.
type WorkPeerLost struct {
	Peer     Peer
	Outdated bool
	Leaving  bool
}

func (ExchangeWork) relayEffect()      {}
func (WorkTickAt) relayEffect()        {}
func (LogWorkAggregator) relayEffect() {}
func (WorkTicked) relayEvent()         {}
func (WorkReceived) relayEvent()       {}
func (WorkPeerHeard) relayEvent()      {}
func (WorkPeerLost) relayEvent()       {}

// workExchange is what decides with whom this node exchanges reports of work.
type workExchange struct {
	// ticking says that a WorkTicked event is scheduled.
	ticking    bool
	aggregator Peer
	interval   time.Duration
	// lost holds the nodes that were lost, kept apart from those lost as collectors: they may do one and not the other.
	lost map[string]lostWorkPeer
}

// lostWorkPeer is a node that was lost, as the incarnation that it was.
type lostWorkPeer struct {
	lostPeer

	incarnation string
	outdated    bool
}

// applyWorkEvent applies the events about the exchange of work.
func (st *reduction) applyWorkEvent(event Event) {
	switch e := event.(type) {
	case WorkTicked:
		st.work.ticking = false
		st.exchangeWork()
	case WorkReceived:
		st.fleet = st.fleet.WithWork(st.withOwnWork(e.Reports), st.now)
	case WorkPeerHeard:
		if _, lost := st.work.lost[e.Peer.Name]; lost {
			st.work.lost = maps.Clone(st.work.lost)
			delete(st.work.lost, e.Peer.Name)
		}
	case WorkPeerLost:
		st.work = st.work.withLost(e, st.now)
		if st.fleet.ExchangesWork() {
			st.exchangeWork()
		}
	}
}

// withOwnWork returns sums over all other nodes with this node's own work as of now, which WithWork takes off again. What the
// aggregator knows of this node's work is older: taken off the sums here, a call that has begun or ended since would count
// less or more than the others' work.
func (st *reduction) withOwnWork(others []chutework.Report) []chutework.Report {
	// The fleet without the reports is left out, so that they are sent with the next message as if this had not been.
	_, reports := st.fleet.TakeWork(st.now)
	own := make(map[string]chutework.Report, len(reports))
	for _, r := range reports {
		own[r.Upstream] = r
	}
	sums := slices.Clone(others)
	for i, r := range sums {
		sums[i].Calls += own[r.Upstream].Calls
		sums[i].Tokens += own[r.Upstream].Tokens
	}

	return sums
}

// withLost skips a node for a pause that doubles if it is lost again without having been heard.
func (w workExchange) withLost(e WorkPeerLost, now time.Time) workExchange {
	next := map[string]lostWorkPeer{}
	for name, lost := range w.lost {
		// A record is kept for as long again as the node is skipped, so that the next pause is longer.
		if now.Before(lost.until.Add(lost.pause)) {
			next[name] = lost
		}
	}
	pause := max(minPeerPause, min(maxWorkPeerPause, 2*next[e.Peer.Name].pause))
	if e.Outdated || e.Leaving {
		pause = outdatedPeerPause
	}
	next[e.Peer.Name] = lostWorkPeer{
		lostPeer: lostPeer{until: now.Add(pause), pause: pause}, incarnation: e.Peer.Incarnation, outdated: e.Outdated,
	}
	w.lost = next

	return w
}

// skips reports whether a node is not asked now.
func (w workExchange) skips(peer Peer, now time.Time) bool {
	lost, ok := w.lost[peer.Name]

	return ok && lost.incarnation == peer.Incarnation && now.Before(lost.until)
}

// startWorkExchange has the node exchange work from the time on that a pool is placed by work.
func (st *reduction) startWorkExchange() {
	if !st.work.ticking && st.fleet.ExchangesWork() {
		st.work.ticking = true
		st.emit(WorkTickAt{At: st.now})
	}
}

// exchangeWork reports this node's work, and schedules the next report.
func (st *reduction) exchangeWork() {
	effect := ExchangeWork{Aggregator: st.workAggregator(st.settings.Self.Zone), Interval: st.workInterval()}
	st.fleet, effect.Reports = st.fleet.TakeWork(st.now)
	if effect.Aggregator.Name != st.settings.Self.Name {
		effect.Links = []Peer{effect.Aggregator}
	} else {
		effect.Links = st.foreignWorkAggregators()
	}
	if before := st.work.aggregator; before.Name != effect.Aggregator.Name {
		st.emit(LogWorkAggregator{
			Aggregator: effect.Aggregator, Before: before.Name, Lost: st.lostWorkPeers(st.settings.Self.Zone),
			Nodes: len(st.peers.inZone[st.settings.Self.Zone]), Interval: effect.Interval,
		})
	}
	st.work.aggregator, st.work.interval = effect.Aggregator, effect.Interval
	st.emit(effect)
	if !st.work.ticking {
		st.work.ticking = true
		st.emit(WorkTickAt{At: st.now.Add(effect.Interval)})
	}
}

// workInterval returns the time between two messages of a node of this zone.
func (st *reduction) workInterval() time.Duration {
	further := max(0, len(st.peers.inZone[st.settings.Self.Zone])-workIntervalNodes)

	return min(maxWorkInterval, minWorkInterval+time.Duration(further)*workIntervalPerNode)
}

// workAggregator returns the node that adds up the work of a zone; this node for its own zone if no other can be asked, and
// an empty one for another zone.
func (st *reduction) workAggregator(zone string) Peer {
	var candidates []Peer
	for _, peer := range st.peers.inZone[zone] {
		isSelf := peer.Name == st.settings.Self.Name
		if isSelf && !st.peers.shuttingDown || !isSelf && !st.peers.skipped(peer, st.now) && !st.work.skips(peer, st.now) {
			candidates = append(candidates, peer)
		}
	}
	chosen, ok := Elect(workRole+zone, candidates)
	if !ok && zone == st.settings.Self.Zone {
		return st.settings.Self
	}

	return chosen
}

// foreignWorkAggregators returns the aggregators of other zones to which this one opens a stream. Of two aggregators the one
// whose zone comes first by name does.
func (st *reduction) foreignWorkAggregators() []Peer {
	var aggregators []Peer
	for _, zone := range slices.Sorted(maps.Keys(st.peers.inZone)) {
		if zone <= st.settings.Self.Zone || st.zoneSilence.cutOff(zone, st.now) {
			continue
		}
		if peer := st.workAggregator(zone); peer.Name != "" {
			aggregators = append(aggregators, peer)
		}
	}

	return aggregators
}

// lostWorkPeers returns the names of a zone's nodes that are skipped now, sorted.
func (st *reduction) lostWorkPeers(zone string) []string {
	var names []string
	for _, peer := range st.peers.inZone[zone] {
		if st.work.skips(peer, st.now) {
			names = append(names, peer.Name)
		}
	}
	slices.Sort(names)

	return names
}

// WorkView describes the exchange of work.
type WorkView struct {
	// Aggregator is the node that adds up the work of this zone.
	Aggregator string
	IntervalMs int64
	// Lost are the nodes that are skipped, Outdated those of them that don't know how to exchange work.
	Lost     []string `json:",omitempty"`
	Outdated []string `json:",omitempty"`
}

// workView returns nil if this node exchanges no work.
func (s State) workView(now time.Time) *WorkView {
	if s.work.aggregator.Name == "" {
		return nil
	}
	view := &WorkView{Aggregator: s.work.aggregator.Name, IntervalMs: s.work.interval.Milliseconds()}
	for _, name := range slices.Sorted(maps.Keys(s.work.lost)) {
		switch lost := s.work.lost[name]; {
		case !now.Before(lost.until):
		case lost.outdated:
			view.Outdated = append(view.Outdated, name)
		default:
			view.Lost = append(view.Lost, name)
		}
	}

	return view
}
