package chutecanary

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	// replanAfter and secondReplanAfter are the times from the order at which the shares of the trial
	// are set by the observed rates.
	replanAfter       = time.Second
	secondReplanAfter = 3 * time.Second
	// maxMoveTime bounds PhaseMoving.
	maxMoveTime = 3 * time.Second
	// tellTime is the time in which a change of the record reaches all nodes and they have reported, if
	// none is silent.
	tellTime = 350 * time.Millisecond
	// closingLead is the time before the deadline at which PhaseClosing begins at the earliest, and
	// closingTime the time after which it ends though not all nodes have reported.
	closingLead = 700 * time.Millisecond
	closingTime = 250 * time.Millisecond
	// lateCompletion is the time after the deadline within which PhaseClosing may still end well.
	lateCompletion = time.Second
	// closingReserve is the time at the full rate that is left for PhaseClosing.
	closingReserve = 600 * time.Millisecond
	// silentReports is the number of reports that a node has to miss to count as silent.
	silentReports = 3
	// storeReadTime is the time within which a node that is in touch with the store alone acts on a
	// newer record.
	storeReadTime = 1700 * time.Millisecond
	// rateHalfLife is the half-life of the observed rates of calls.
	rateHalfLife = 2 * time.Second
	// outdatedPeriod is how long a report on a later record holds back decisions. Nodes that know the later
	// record write it again within 6 s.
	outdatedPeriod = 8 * time.Second
	// minTrialUpstreams is the least number of new upstreams on trial: a single slow or failing one
	// must not condemn the version.
	minTrialUpstreams = 4
)

// traffic is what the pool's nodes sent for one pipeline.
type traffic struct {
	old, new int
	rate     float64
	rateAt   time.Time
}

func (t traffic) with(added Pair, now time.Time) traffic {
	t.rate = t.rateNow(now) + float64(added.Old.Sent+added.New.Sent)*math.Ln2/rateHalfLife.Seconds()
	t.rateAt = now
	t.old += added.Old.Sent
	t.new += added.New.Sent

	return t
}

func (t traffic) rateNow(now time.Time) float64 {
	return t.rate * math.Exp2(-float64(now.Sub(t.rateAt))/float64(rateHalfLife))
}

// heardReport is the last report of one node.
type heardReport struct {
	Report

	at time.Time
}

// Conductor follows one rollout by the reports of the nodes, and decides on its next phase. It is
// immutable.
type Conductor struct {
	bounds  Bounds
	order   Order
	reports *immutable.Map[string, heardReport]
	judges  map[string]pipelineJudge
	// failures and slowness are the evidence of all pipelines together.
	failures score
	slowness score
	traffic  map[string]traffic
	// pinnedSent is the number of calls sent that must not be repeated.
	pinnedSent int
	// orderedAt is the earliest time at which a node can have learned of the order, zero without a
	// report.
	orderedAt time.Time
	// firstReportAt is when the first report was heard.
	firstReportAt time.Time
	// recordAt is when the record with recordEpoch was first seen.
	recordAt    time.Time
	recordEpoch uint64
}

// NewConductor returns a conductor that has heard nothing yet.
func NewConductor(bounds Bounds, order Order) Conductor {
	return Conductor{bounds: bounds, order: order, reports: immutable.NewMap[string, heardReport](nil)}
}

// Order returns the order that is followed.
func (c Conductor) Order() Order {
	return c.order
}

// WithReport applies a report; one on another order, or out of order, changes nothing.
func (c Conductor) WithReport(r Report, now time.Time) Conductor {
	if r.Order != c.order.Revision || r.Pool != c.order.Pool {
		return c
	}
	previous, known := c.reports.Get(r.Node)
	if known && previous.Incarnation == r.Incarnation && r.ElapsedMs < previous.ElapsedMs {
		return c
	}
	if previous.Incarnation != r.Incarnation {
		previous = heardReport{}
	}
	if c.firstReportAt.IsZero() {
		c.firstReportAt = now
	}
	if at := now.Add(-time.Duration(r.ElapsedMs) * time.Millisecond); c.orderedAt.IsZero() || at.Before(c.orderedAt) {
		c.orderedAt = at
	}
	c.judges, c.traffic = maps.Clone(c.judges), maps.Clone(c.traffic)
	if c.judges == nil {
		c.judges, c.traffic = map[string]pipelineJudge{}, map[string]traffic{}
	}
	for pipeline, pair := range r.Tally {
		before := previous.Tally[pipeline]
		added := Pair{Old: pair.Old.since(before.Old), New: pair.New.since(before.New)}
		judge := c.judges[pipeline].with(added, now)
		c.judges[pipeline] = judge
		c.failures = c.failures.withEvidence(judge.failures.lastEvidence)
		c.slowness = c.slowness.withEvidence(judge.slowness.lastEvidence)
		c.traffic[pipeline] = c.traffic[pipeline].with(added, now)
	}
	c.pinnedSent += max(0, r.PinnedSent-previous.PinnedSent)
	c.reports = c.reports.Set(r.Node, heardReport{Report: r, at: now})

	return c
}

// Situation is what a decision depends on besides the reports.
type Situation struct {
	Now time.Time
	// Record is the newest record of the pool, a zero value if there is none.
	Record Record
	// Nodes are the names of the listed nodes.
	Nodes []string
	// Versions is the number of listed upstreams of the pool by version.
	Versions map[string]int
	// By is the name of the node that decides.
	By string
}

// WithRecordSeen notes when the newest record was first seen.
func (c Conductor) WithRecordSeen(r Record, now time.Time) Conductor {
	if r.Epoch == c.recordEpoch {
		return c
	}
	c.recordEpoch, c.recordAt = r.Epoch, now
	if r.IsOf(c.order) {
		if at := now.Add(-time.Duration(r.ElapsedMs) * time.Millisecond); c.orderedAt.IsZero() || at.Before(c.orderedAt) {
			c.orderedAt = at
		}
	}

	return c
}

// Elapsed returns the time since the order, 0 before anything was heard.
func (c Conductor) Elapsed(now time.Time) time.Duration {
	if c.orderedAt.IsZero() {
		return 0
	}

	return now.Sub(c.orderedAt)
}

// Next returns the record to write now; false if none is due.
func (c Conductor) Next(in Situation) (Record, bool) {
	r := in.Record
	if c.isRecordOutdated(r, in.Now) {
		return Record{}, false
	}
	if !r.IsOf(c.order) {
		return c.begin(in), true
	}
	if r.Phase.IsFinal() {
		return Record{}, false
	}
	if reason := c.alarm(); reason != "" {
		return c.change(in, PhaseRolledBack, reason), true
	}
	left := c.left(in.Now)
	if left <= 0 && (r.Phase != PhaseClosing || left <= -lateCompletion) {
		return c.change(in, PhaseRolledBack, "not completed in time: "+c.hindrance(in)), true
	}
	switch r.Phase {
	case PhaseTrial:
		if left <= c.moveLead(in) && c.obstacle(in) == "" {
			return c.change(in, PhaseMoving, c.Summary()), true
		}
		if next, due := c.replan(in); due {
			return next, true
		}
	case PhaseMoving:
		if left <= min(closingLead, c.affordable(in.Now, c.rate(in.Now))) && c.obstacle(in) == "" && c.allMoved(in) {
			return c.change(in, PhaseClosing, "no call that must not be repeated is left at old upstreams"), true
		}
	case PhaseClosing:
		if c.obstacle(in) == "" && (c.allMoved(in) || in.Now.Sub(c.recordAt) >= closingTime) {
			return c.change(in, PhaseCompleted, c.Summary()), true
		}
	}

	return Record{}, false
}

// begin returns the first record of the rollout.
func (c Conductor) begin(in Situation) Record {
	previous := in.Record
	barred := slices.Clone(previous.BarredVersions)
	if previous.Phase != PhaseCompleted && previous.Version != "" {
		barred = append(barred, previous.Version)
	}
	barred = slices.DeleteFunc(barred, func(v string) bool { return v == c.order.Version })
	var old []string
	for _, version := range slices.Sorted(maps.Keys(in.Versions)) {
		if version != c.order.Version && !slices.Contains(barred, version) {
			old = append(old, version)
		}
	}

	return Record{
		Pool: c.order.Pool, Version: c.order.Version, Order: c.order.Revision, OrderEra: c.order.Era, Epoch: previous.Epoch + 1, Phase: PhaseTrial,
		Shares: map[string]float64{"": firstTrialPart * c.bounds.Share}, TrialUpstreams: minTrialUpstreams,
		OldVersions: old, BarredVersions: slices.Compact(slices.Sorted(slices.Values(barred))),
		DurationMs: c.order.Duration.Milliseconds(), ElapsedMs: c.Elapsed(in.Now).Milliseconds(), By: in.By, Reason: "ordered", RowVersion: previous.RowVersion, Era: previous.Era,
	}
}

// isRecordOutdated reports whether a node knows a later record of the order than the one given. That is so
// after the store has come back from a copy which lacks it, until another node has written it again.
func (c Conductor) isRecordOutdated(r Record, now time.Time) bool {
	if !c.HasReports() {
		return false
	}
	for i := c.reports.Iterator(); !i.Done(); {
		if _, heard, _ := i.Next(); heard.Epoch > r.Epoch && now.Sub(heard.at) < outdatedPeriod {
			return true
		}
	}

	return false
}

// change returns the record with another phase.
func (c Conductor) change(in Situation, phase Phase, reason string) Record {
	next := in.Record
	next.Epoch++
	next.Phase = phase
	next.ElapsedMs = c.Elapsed(in.Now).Milliseconds()
	next.By, next.Reason = in.By, reason

	return next
}

func (c Conductor) left(now time.Time) time.Duration {
	return c.order.Duration - c.Elapsed(now)
}

// alarm returns why the version counts as bad; empty if it does not.
func (c Conductor) alarm() string {
	for _, pipeline := range slices.Sorted(maps.Keys(c.judges)) {
		if reason := c.judges[pipeline].alarm(pipeline); reason != "" {
			return reason
		}
	}
	switch {
	case c.failures.alarm >= alarmScore:
		return "more answers are failures than usual: " + c.Summary()
	case c.slowness.alarm >= alarmScore:
		return "more answers begin twice as late as usual: " + c.Summary()
	default:
		return ""
	}
}

// obstacle returns what the version lacks to be accepted; empty if nothing.
func (c Conductor) obstacle(in Situation) string {
	if in.Versions[c.order.Version] == 0 {
		return "no upstream of the version is listed"
	}
	if !c.hasHeardMost(in) {
		return "most nodes have not reported yet"
	}
	elapsed := max(time.Second, c.Elapsed(in.Now)).Seconds()
	for _, pipeline := range slices.Sorted(maps.Keys(c.judges)) {
		sent := c.traffic[pipeline].old + c.traffic[pipeline].new
		if float64(sent)/elapsed > maxUnprovenRate && !c.judges[pipeline].isAccepted() {
			return c.judges[pipeline].lack(pipeline)
		}
	}

	return ""
}

// hasHeardMost reports whether all nodes that are alive have had the time to report, and most have. A
// node that has just begun to get reports has the answers of a few nodes alone.
func (c Conductor) hasHeardMost(in Situation) bool {
	enoughTime := 3 * PhaseTrial.ReportInterval(len(in.Nodes)) / 2

	return in.Now.Sub(c.firstReportAt) >= enoughTime && 2*c.reports.Len() > len(in.Nodes)
}

// hindrance returns why the rollout has not gone on.
func (c Conductor) hindrance(in Situation) string {
	if obstacle := c.obstacle(in); obstacle != "" {
		return obstacle
	}
	switch {
	case in.Record.Phase == PhaseMoving && !c.allMoved(in):
		return "calls that must not be repeated are left at old upstreams, or nodes do not report"
	case in.Record.Phase == PhaseClosing:
		return "the last change could not be written in time"
	default:
		return fmt.Sprintf("all calls may go to the new version for %v only", c.affordable(in.Now, c.rate(in.Now)).Round(time.Millisecond))
	}
}

// sent returns the numbers of calls that went to both sides.
func (c Conductor) sent() (old, created int) {
	for _, t := range c.traffic {
		old += t.old
		created += t.new
	}

	return old, created
}

// allSent returns the number of calls that were sent, at least 1.
func (c Conductor) allSent() int {
	old, created := c.sent()

	return max(1, old+created)
}

// rate returns the number of calls a second: the mean since the order, or what was observed last if
// that is more.
func (c Conductor) rate(now time.Time) float64 {
	old, created := c.sent()
	recent := 0.0
	for _, t := range c.traffic {
		recent += t.rateNow(now)
	}

	return max(recent, float64(old+created)/max(time.Second, c.Elapsed(now)).Seconds())
}

// expectedCalls returns the number of calls to expect between the order and its deadline.
func (c Conductor) expectedCalls(now time.Time) float64 {
	old, created := c.sent()
	sent := float64(old + created)

	return sent + sent/max(time.Second, c.Elapsed(now)).Seconds()*max(0, c.left(now)).Seconds()
}

// affordable returns for how long calls may go to the new version at a rate.
func (c Conductor) affordable(now time.Time, perSecond float64) time.Duration {
	_, created := c.sent()
	left := usedPart*c.bounds.allowed(c.expectedCalls(now)) - float64(created)
	if perSecond <= 0 {
		return maxMoveTime
	}

	return time.Duration(max(0, left) / perSecond * float64(time.Second))
}

// moveTime returns how long PhaseMoving takes.
func (c Conductor) moveTime(in Situation) time.Duration {
	if silent, _ := c.pending(in); silent > 0 {
		return min(maxMoveTime, storeReadTime+c.longestUnrepeatable())
	}

	return min(maxMoveTime, tellTime+c.longestUnrepeatable())
}

// pinnedRate returns the number of calls a second that must not be repeated.
func (c Conductor) pinnedRate(now time.Time) float64 {
	return c.rate(now) * float64(c.pinnedSent) / float64(c.allSent())
}

// moveLead returns the time before the deadline at which PhaseMoving begins. It leaves enough calls
// for PhaseClosing.
func (c Conductor) moveLead(in Situation) time.Duration {
	lead := c.moveTime(in)
	rate := c.rate(in.Now)
	afterClosing := c.affordable(in.Now, rate) - closingReserve
	if pinnedRate := c.pinnedRate(in.Now); pinnedRate > 0 {
		lead = min(lead, time.Duration(float64(afterClosing)*rate/pinnedRate))
	}

	return min(c.order.Duration/2, lead+closingReserve)
}

// replan returns the record with the shares that the observed rates call for, if they are to be set
// now.
func (c Conductor) replan(in Situation) (Record, bool) {
	elapsed := c.Elapsed(in.Now)
	planned := time.Duration(in.Record.ElapsedMs) * time.Millisecond
	due := elapsed >= replanAfter && planned < replanAfter || elapsed >= secondReplanAfter && planned < secondReplanAfter
	if !due {
		return Record{}, false
	}
	total := c.expectedCalls(in.Now)
	if total < 1 {
		return Record{}, false
	}
	next := c.change(in, PhaseTrial, "shares by the observed rates")
	next.Shares = map[string]float64{"": firstTrialPart * c.bounds.Share}
	needed := map[string]float64{}
	allNeeded := 0.0
	for pipeline := range c.traffic {
		needed[pipeline] = trialReserve * answersToAccept(c.judges[pipeline].failureRate())
		allNeeded += needed[pipeline]
	}
	allowed := c.bounds.allowed(total)
	moving := c.pinnedRate(in.Now)*c.moveTime(in).Seconds() + c.rate(in.Now)*closingReserve.Seconds()
	scale := min(1, max(minTrialPart*allowed, usedPart*allowed-moving)/allNeeded)
	for pipeline, t := range c.traffic {
		calls := total * float64(t.old+t.new) / float64(c.allSent())
		next.Shares[pipeline] = min(maxTrialShare, scale*needed[pipeline]/max(1, calls))
	}
	created := in.Versions[c.order.Version]
	spread := int(math.Ceil(float64(created) * scale * allNeeded / total))
	next.TrialUpstreams = min(max(1, created), max(minTrialUpstreams, spread))

	return next, true
}

// allMoved reports whether each node that reports acts on the newest record and has no call in
// progress at old upstreams that must not be repeated. Nodes that are silent must be a minority, and
// must have had the time to read the record from the store and to end their calls.
func (c Conductor) allMoved(in Situation) bool {
	silent, pending := c.pending(in)
	if silent > 0 && in.Now.Sub(c.recordAt) < storeReadTime+c.longestUnrepeatable() {
		return false
	}

	return pending == 0 && 2*silent < len(in.Nodes)
}

// pending returns the number of listed nodes that are silent, and the number of the others that have
// not moved.
func (c Conductor) pending(in Situation) (silent, pending int) {
	silentAfter := silentReports * in.Record.Phase.ReportInterval(len(in.Nodes))
	for _, node := range in.Nodes {
		heard, ok := c.reports.Get(node)
		switch {
		case !ok || in.Now.Sub(heard.at) >= silentAfter:
			silent++
		case heard.Epoch < in.Record.Epoch || heard.Unrepeatable > 0:
			pending++
		}
	}

	return silent, pending
}

// longestUnrepeatable returns how long the longest call at an old upstream took lately that must not
// be repeated.
func (c Conductor) longestUnrepeatable() time.Duration {
	longest := int64(0)
	for i := c.reports.Iterator(); !i.Done(); {
		_, heard, _ := i.Next()
		longest = max(longest, heard.LongestUnrepeatableMs)
	}

	return time.Duration(longest) * time.Millisecond
}

// Summary describes the evidence, for a log and for the operator.
func (c Conductor) Summary() string {
	answers, failures := 0, 0
	for _, judge := range c.judges {
		answers += judge.newAnswers
		failures += judge.newFailures
	}
	old, created := c.sent()

	return fmt.Sprintf("%d of %d calls sent to the new version, %d answers with %d failures", created, old+created, answers, failures)
}

// HasReports reports whether any report was heard.
func (c Conductor) HasReports() bool {
	return c.reports != nil && c.reports.Len() > 0
}
