package chuterelay

import (
	"maps"
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chutecanary"
	"azurechute.example/azurechute/internal/chutefleet"
)

const (
	// rolloutTickInterval is how often a node looks after the rollouts in progress.
	rolloutTickInterval = 100 * time.Millisecond
	// minConductInterval is the least time between two decisions on a rollout because of reports. Each
	// decision looks at all nodes, and thousands of reports a second may come.
	minConductInterval = 20 * time.Millisecond
	// rolloutRole is the prefix of the role, in Elect, of the nodes that get the reports on a pool.
	rolloutRole = "rollout|"
	// rolloutStandbyDelay is how long a change has to be due until the second of these nodes makes it.
	rolloutStandbyDelay = 600 * time.Millisecond
	// longestCallSpan is how long the duration of a call is remembered that must not be repeated.
	longestCallSpan = 5 * time.Second
)

// rollouts is what a node knows of rollouts, by pool. Maps are replaced, never modified.
type rollouts struct {
	orders  map[string]chutecanary.Order
	records map[string]chutecanary.Record
	// stored holds the records as the store has them, which may be earlier ones after it came back from a
	// copy.
	stored map[string]chutecanary.Record
	// unreadable are the pools whose orders can't be read.
	unreadable []string
	// rewriteAt is when this node writes lost records again, by pool.
	rewriteAt map[string]time.Time
	// progress is what this node observes of the rollouts in progress.
	progress map[string]rolloutProgress
	// confirmedAt is the time as of which records is known to be complete.
	confirmedAt time.Time
	// tickAt is when the next RolloutTicked event is due; zero if none is.
	tickAt time.Time
}

// rolloutProgress is what a node observes of one rollout.
type rolloutProgress struct {
	conductor chutecanary.Conductor
	// learnedAt is when this node learned of the order.
	learnedAt  time.Time
	tally      chutecanary.Tally
	pinnedSent int
	// longest is how long the longest call took that must not be repeated, and longestAt when it ended.
	longest   time.Duration
	longestAt time.Time
	// reported is the last report, sent at reportedAt.
	reported   chutecanary.Report
	reportedAt time.Time
	// conductedAt is when this node last decided on the rollout.
	conductedAt time.Time
	// dueSince is since when a change of the record has been due; zero if none is.
	dueSince time.Time
	// writing says that a change is being written.
	writing bool
}

// readableOrders returns the orders without those that stand for unreadable ones.
func (r rollouts) readableOrders() map[string]chutecanary.Order {
	readable := maps.Clone(r.orders)
	for _, pool := range r.unreadable {
		delete(readable, pool)
	}

	return readable
}

// isNew reports whether an upstream has the version that its pool is moved to.
func (r rollouts) isNew(u chutefleet.Upstream) bool {
	return r.orders[u.Pool].Version == u.Version
}

// inProgress reports whether the pool's last order has neither been completed nor rolled back.
func (r rollouts) inProgress(pool string) bool {
	order, ordered := r.orders[pool]
	record := r.records[pool]

	return ordered && (record.IsBefore(order) || !record.Phase.IsFinal())
}

// isLost reports whether the store has come back from a copy that lacks the newest record of a pool.
func (r rollouts) isLost(pool string) bool {
	record, stored := r.records[pool], r.stored[pool]

	return record.Epoch > 0 && stored.Era > record.Era && !stored.HasSameState(record)
}

// applyRolloutEvent applies events about rollouts.
func (st *reduction) applyRolloutEvent(event Event) {
	switch e := event.(type) {
	case RolloutsOrdered:
		st.rolloutsOrdered(e.Orders, e.Unreadable)
	case RolloutsRecorded:
		st.rolloutsRecorded(e.Records)
	case RolloutReported:
		st.rolloutReported(e.Report)
	case RolloutReportFailed:
		st.peers = st.peers.withLost(e.Peer, e.Silent, st.now)
	case RolloutWriteEnded:
		st.rolloutWriteEnded(e.Pool)
	case RolloutTicked:
		st.rolloutTicked(e)
	}
}

// rolloutsOrdered applies the operator's orders; those that are missing have been withdrawn. In place of
// an unreadable one, the one holds that the pool's record belongs to.
func (st *reduction) rolloutsOrdered(orders []chutecanary.Order, unreadable []string) {
	st.rollouts.unreadable = unreadable
	for _, pool := range unreadable {
		if record, ok := st.rollouts.records[pool]; ok {
			orders = append(slices.Clone(orders), record.RestoreOrder())
		}
	}
	st.setRolloutOrders(orders)
}

func (st *reduction) setRolloutOrders(orders []chutecanary.Order) {
	next := map[string]chutecanary.Order{}
	progress := map[string]rolloutProgress{}
	for _, order := range orders {
		order = st.rollouts.withRecordedRevision(order)
		next[order.Pool] = order
		known, ok := st.rollouts.progress[order.Pool]
		if !ok || known.conductor.Order() != order {
			known = rolloutProgress{conductor: chutecanary.NewConductor(st.settings.Rollouts, order), learnedAt: st.now}
		}
		progress[order.Pool] = known
		if st.rollouts.orders[order.Pool] != order {
			st.emit(LogRolloutOrder{Order: order})
		}
	}
	for pool, order := range st.rollouts.orders {
		if _, ok := next[pool]; !ok {
			st.emit(LogRolloutOrder{Order: order, Withdrawn: true})
		}
	}
	st.rollouts.orders, st.rollouts.progress = next, progress
	st.applyVersionRules()
}

// rolloutsRecorded applies records of rollouts; an older one than is known changes nothing.
func (st *reduction) rolloutsRecorded(records []chutecanary.Record) {
	next := maps.Clone(st.rollouts.records)
	if next == nil {
		next = map[string]chutecanary.Record{}
	}
	stored := maps.Clone(st.rollouts.stored)
	if stored == nil {
		stored = map[string]chutecanary.Record{}
	}
	changed := false
	for _, record := range records {
		known := next[record.Pool]
		if record.IsStoredAfter(stored[record.Pool]) {
			stored[record.Pool] = record
		}
		sameState := record.HasSameState(known) && record.IsStoredAfter(known)
		if record.Epoch == 0 || record.Epoch <= known.Epoch && !sameState {
			continue
		}
		next[record.Pool] = record
		if record.Epoch > known.Epoch {
			changed = true
			st.emit(LogRollout{Record: record})
		}
	}
	st.rollouts.records, st.rollouts.stored = next, stored
	if !changed {
		st.scheduleRolloutTick()

		return
	}
	if len(st.rollouts.unreadable) > 0 {
		st.rolloutsOrdered(slices.Collect(maps.Values(st.rollouts.readableOrders())), st.rollouts.unreadable)
	}
	st.applyVersionRules()
	st.tellRollouts()
}

// applyVersionRules has the fleet obey orders and records. Requests that no upstream is left for are
// refused, and waiting parts go to the upstreams that are left.
func (st *reduction) applyVersionRules() {
	rules := map[string]chutefleet.VersionRule{}
	for pool, order := range st.rollouts.orders {
		rules[pool] = chutecanary.VersionRule(order, st.rollouts.records[pool])
	}
	for pool, record := range st.rollouts.records {
		if _, ordered := st.rollouts.orders[pool]; !ordered {
			rules[pool] = chutecanary.VersionRule(chutecanary.Order{}, record)
		}
	}
	st.fleet = st.fleet.WithVersionRules(rules)
	st.scheduleRolloutTick()
	st.refuseUnservable()
	st.fillAllLanes()
}

// scheduleRolloutTick schedules the next RolloutTicked event while a rollout is in progress.
func (st *reduction) scheduleRolloutTick() {
	inProgress := false
	for pool := range st.rollouts.orders {
		inProgress = inProgress || st.rollouts.inProgress(pool)
	}
	for pool, record := range st.rollouts.records {
		_, ordered := st.rollouts.orders[pool]
		inProgress = inProgress || !ordered && !record.Phase.IsFinal() || st.rollouts.isLost(pool)
	}
	if inProgress && st.rollouts.tickAt.IsZero() {
		st.rollouts.tickAt = st.now.Add(rolloutTickInterval)
		st.emit(RolloutTickAt{At: st.rollouts.tickAt})
	}
}

// rolloutTicked reports on the rollouts in progress and goes on with those that this node looks after.
func (st *reduction) rolloutTicked(e RolloutTicked) {
	st.rollouts.tickAt = time.Time{}
	st.rollouts.confirmedAt = e.ConfirmedAt
	st.tellRollouts()
	st.rollBackWithdrawn()
	st.rewriteLostRecords()
	st.scheduleRolloutTick()
}

// tellRollouts reports on all rollouts in progress where that is due.
func (st *reduction) tellRollouts() {
	for _, pool := range slices.Sorted(maps.Keys(st.rollouts.progress)) {
		if st.rollouts.inProgress(pool) {
			st.tellRollout(pool)
		}
	}
}

// tellRollout reports on one rollout if that is due, and decides on its next phase if this node is one
// of those that get the reports.
func (st *reduction) tellRollout(pool string) {
	p := st.rollouts.progress[pool]
	actors := st.rolloutActors(pool)
	rank := slices.IndexFunc(actors, func(actor Peer) bool { return actor.Name == st.settings.Self.Name })
	report := st.rolloutReport(pool, p)
	record := st.rollouts.records[pool]
	if st.now.Sub(p.reportedAt) >= record.Phase.ReportInterval(len(st.peers.all)) || report.IsUrgent(p.reported) {
		p.reported, p.reportedAt = report, st.now
		if rank >= 0 {
			p.conductor = p.conductor.WithReport(report, st.now)
		}
		others := slices.DeleteFunc(actors, func(actor Peer) bool { return actor.Name == st.settings.Self.Name })
		st.emit(SendRolloutReport{Peers: others, Report: report})
	}
	st.putProgress(pool, p)
	if rank >= 0 {
		st.conductRollout(pool, rank)
	}
}

func (st *reduction) putProgress(pool string, p rolloutProgress) {
	next := maps.Clone(st.rollouts.progress)
	next[pool] = p
	st.rollouts.progress = next
}

// rolloutActors returns the nodes that get the reports on a pool, the first one first.
func (st *reduction) rolloutActors(pool string) []Peer {
	candidates := st.peers.candidates("", st.zoneSilence.allCutOff(st.now), st.now)
	first, ok := Elect(rolloutRole+pool, candidates)
	if !ok {
		return nil
	}
	actors := []Peer{first}
	others := slices.DeleteFunc(slices.Clone(candidates), func(peer Peer) bool { return peer.Name == first.Name })
	if second, ok := Elect(rolloutRole+pool, others); ok {
		actors = append(actors, second)
	}

	return actors
}

func (st *reduction) rolloutReport(pool string, p rolloutProgress) chutecanary.Report {
	report := chutecanary.Report{
		Node: st.settings.Self.Name, Incarnation: st.settings.Self.Incarnation, Pool: pool, Order: p.conductor.Order().Revision,
		ElapsedMs: st.now.Sub(p.learnedAt).Milliseconds(), PinnedSent: p.pinnedSent, Tally: p.tally,
	}
	if record := st.rollouts.records[pool]; record.Order == report.Order {
		report.Epoch = record.Epoch
	}
	if st.now.Sub(p.longestAt) < longestCallSpan {
		report.LongestUnrepeatableMs = p.longest.Milliseconds()
	}
	for i := st.requests.Iterator(); !i.Done(); {
		if _, r, _ := i.Next(); r.current.id != 0 && r.pool == pool && r.atMostOnce() && !st.rollouts.isNew(r.current.upstream) {
			report.Unrepeatable++
		}
	}

	return report
}

// rolloutReported applies another node's report.
func (st *reduction) rolloutReported(report chutecanary.Report) {
	p, ok := st.rollouts.progress[report.Pool]
	if !ok || !st.rollouts.inProgress(report.Pool) {
		return
	}
	p.conductor = p.conductor.WithReport(report, st.now)
	st.putProgress(report.Pool, p)
	if st.now.Sub(p.conductedAt) < minConductInterval {
		// The next report, or the next tick, brings the decision.
		return
	}
	actors := st.rolloutActors(report.Pool)
	rank := slices.IndexFunc(actors, func(actor Peer) bool { return actor.Name == st.settings.Self.Name })
	if rank >= 0 {
		st.conductRollout(report.Pool, rank)
	}
}

// conductRollout writes the next record of a rollout if one is due. The second of the nodes that get
// the reports does so only if the first one has not for a while.
func (st *reduction) conductRollout(pool string, rank int) {
	p := st.rollouts.progress[pool]
	record := st.rollouts.records[pool]
	if st.rollouts.confirmedAt.IsZero() {
		// The records have not been read yet.
		return
	}
	if st.rollouts.isLost(pool) {
		// The newest record has to be in the store again before the next one.
		return
	}
	p.conductedAt = st.now
	p.conductor = p.conductor.WithRecordSeen(record, st.now)
	next, due := p.conductor.Next(chutecanary.Situation{
		Now: st.now, Record: record, Nodes: st.peers.names(), Versions: st.fleet.VersionCounts(pool), By: st.settings.Self.Name,
	})
	switch {
	case !due:
		p.dueSince = time.Time{}
	case p.dueSince.IsZero():
		p.dueSince = st.now
	}
	next.RowVersion, next.Era = st.rollouts.stored[pool].RowVersion, st.rollouts.stored[pool].Era
	if due && !p.writing && (rank == 0 || st.now.Sub(p.dueSince) >= rolloutStandbyDelay) {
		p.writing = true
		st.emit(WriteRollout{Record: next})
	}
	st.putProgress(pool, p)
}

// rollBackWithdrawn rolls back the rollouts whose orders are gone.
func (st *reduction) rollBackWithdrawn() {
	for pool, record := range st.rollouts.records {
		_, ordered := st.rollouts.orders[pool]
		actors := st.rolloutActors(pool)
		if ordered || record.Phase.IsFinal() || st.rollouts.isLost(pool) || len(actors) == 0 || actors[0].Name != st.settings.Self.Name {
			continue
		}
		record.Epoch++
		record.RowVersion, record.Era = st.rollouts.stored[pool].RowVersion, st.rollouts.stored[pool].Era
		record.Phase, record.By, record.Reason = chutecanary.PhaseRolledBack, st.settings.Self.Name, "the order was withdrawn"
		st.emit(WriteRollout{Record: record})
	}
}

// rolloutWriteEnded notes that the write of a record has ended. If it succeeded, the record comes as
// an event of its own.
func (st *reduction) rolloutWriteEnded(pool string) {
	if p, ok := st.rollouts.progress[pool]; ok {
		p.writing = false
		st.putProgress(pool, p)
	}
}

// rolloutCall returns what decides about the version that the next call of a request goes to.
func (st *reduction) rolloutCall(pool, pipeline string, repeatable bool) chutecanary.Call {
	p := st.rollouts.progress[pool]

	return chutecanary.Call{
		Pipeline: pipeline, Repeatable: repeatable,
		Fresh: st.now.Sub(st.rollouts.confirmedAt) <= st.settings.Rollouts.MaxAge(),
		Late:  st.now.Sub(p.learnedAt) > p.conductor.Order().Duration/2,
	}
}

// chooseSide picks the upstream for the request's call, on the side of the pool that is drawn for it.
//
// A failed call is repeated at an old upstream. Without a new one, a call goes to an old one unless its end
// could cut it off.
func (st *reduction) chooseSide(r request) (chutefleet.Choice, bool) {
	if st.fleet.VersionRules()[r.pool].Trial == "" {
		return st.chooseUpstream(r, chutefleet.SideAny)
	}
	if !r.Binding.IsZero() {
		// The version is given, so nothing is drawn.
		return st.chooseUpstream(r, chutefleet.SideAny)
	}
	record := st.rollouts.records[r.pool]
	call := st.rolloutCall(r.pool, r.Pipeline.Name, !r.atMostOnce())
	side := record.Draw(call, st.randomFraction())
	if r.sends > 0 && record.Phase == chutecanary.PhaseTrial && !record.IsPinned(call) {
		side = chutefleet.SideOld
	}
	u, ok := st.chooseUpstream(r, side)
	if !ok && side == chutefleet.SideNew && !record.IsPinned(call) {
		return st.chooseUpstream(r, chutefleet.SideOld)
	}

	return u, ok
}

// countRolloutCall counts a call that is sent to an upstream whose pool is being moved.
func (st *reduction) countRolloutCall(u chutefleet.Upstream, pipeline string, pinned bool) {
	p, ok := st.rollouts.progress[u.Pool]
	if !ok || !st.rollouts.inProgress(u.Pool) {
		return
	}
	p.tally = p.tally.With(pipeline, st.rollouts.isNew(u), chutecanary.Counts.WithSent)
	if pinned {
		p.pinnedSent++
	}
	st.putProgress(u.Pool, p)
}

// countRolloutAnswer counts an answer of an upstream whose pool is being moved.
func (st *reduction) countRolloutAnswer(u chutefleet.Upstream, pipeline string, change func(chutecanary.Counts) chutecanary.Counts) {
	p, ok := st.rollouts.progress[u.Pool]
	if !ok || !st.rollouts.inProgress(u.Pool) {
		return
	}
	p.tally = p.tally.With(pipeline, st.rollouts.isNew(u), change)
	st.putProgress(u.Pool, p)
}

// countRolloutEnd counts how a relayed call ended. Only answers say something about a version: what
// breaks a connection may be the network.
func (st *reduction) countRolloutEnd(r request, e AttemptEnded) {
	u, took := r.current.upstream, st.now.Sub(r.current.sentAt)
	switch {
	case r.current.began, r.current.bound:
	case e.End == EndErrored:
		st.countRolloutAnswer(u, r.Pipeline.Name, chutecanary.Counts.WithFailure)
	case e.End == EndAnswered, e.End == EndOverdue:
		// An overdue call has taken at least that long. Left out, it would make its version seem faster.
		st.countRolloutAnswer(u, r.Pipeline.Name, func(c chutecanary.Counts) chutecanary.Counts { return c.WithAnswer(took) })
	}
	p, ok := st.rollouts.progress[u.Pool]
	if !ok || !r.atMostOnce() || st.rollouts.isNew(u) {
		return
	}
	if took >= p.longest || st.now.Sub(p.longestAt) >= longestCallSpan {
		p.longest, p.longestAt = took, st.now
		st.putProgress(u.Pool, p)
	}
}
