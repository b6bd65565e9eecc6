package chutework

import (
	"cmp"
	"maps"
	"math"
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	// MaxReports is the number of upstreams in one message.
	MaxReports = 64
	// refreshAfter is the time after which an upstream with work counts as changed again although its sums are the
	// same: those who know them trust them less the older they are, and not at all after ReportLifetime.
	refreshAfter = ReportLifetime / 4
	// refreshCallsAfter is the same for an upstream that has calls but no prompt to process, which matters less.
	refreshCallsAfter = ReportLifetime / 2
	// maxUpstreams bounds the upstreams that a table keeps: 10,000 that are listed, and earlier incarnations.
	maxUpstreams = 1 << 14
	// maxContributions bounds the reports that a table keeps: a full message of each of 985 nodes.
	maxContributions = 1 << 16
	// maxReporters bounds the nodes that a table keeps, those among them that have ended. forgetReporterAfter is the time
	// after which one that reports nothing need not be kept: its messages come no later than that.
	maxReporters        = 1 << 11
	forgetReporterAfter = 10 * time.Second
	// maxZones bounds the other zones whose event intervals are kept for an upstream.
	maxZones = 64
	// learnedLifetime is how long a table keeps what was learned of an upstream of which nothing is reported any more.
	learnedLifetime = 10 * time.Minute
	// evictionsPerUpdate bounds the upstreams that one update looks at for eviction.
	evictionsPerUpdate = 4
)

// Reporter is who sends reports.
type Reporter struct {
	// Name is the name of the node.
	Name string
	// Zone is its availability zone. One of another zone than the table's is an aggregator, whose reports are the sums of
	// its zone.
	Zone string
}

// Update is one message of a reporter.
type Update struct {
	Reporter Reporter
	// Stream and Number order the messages of a reporter: a later stream has a higher number, and Number counts the
	// messages of one stream, from 1.
	Stream  uint64
	Number  uint64
	Reports []Report
}

// Scope says whose reports are added up.
type Scope string

const (
	// ScopeZone is the own zone: what the nodes report that send their reports here.
	ScopeZone Scope = "Zone"
	// ScopeAll is the own zone and those of the other aggregators.
	ScopeAll Scope = "All"
)

// Table adds up the reports of many nodes. It is immutable.
//
// A report replaces the one that the same node has sent before of the same upstream, and expires ReportLifetime after it
// was true. An update costs work for its own reports and for those that have expired, none for other upstreams or nodes.
//
// A table keeps at most 16,384 upstreams and 65,536 reports. With 985 nodes, their subscriptions and 10,000 upstreams it
// takes 14 MB if each node uses 10 upstreams at a time, and 25 MB if each reports 64 (TestTableMemory).
type Table struct {
	zone string
	// rows and reporters hold pointers, since a change copies some of the entries beside it.
	rows      *immutable.Map[string, *row]
	reporters *immutable.Map[string, *reporter]
	// changed orders the upstreams by their last change in each scope, oldest first.
	changedInZone *immutable.SortedMap[uint64, string]
	changedInAll  *immutable.SortedMap[uint64, string]
	// expiring orders the contributions by their times.
	expiring *immutable.SortedMap[contributionKey, struct{}]
	// lastChange numbers the changes.
	lastChange uint64
	// rejected counts the reports that were left out because the table is full.
	rejected int
}

// contribution is the work that one reporter has last reported of an upstream.
type contribution struct {
	calls  int
	tokens int64
	// atMs is the time as of which that was true.
	atMs int64
}

// weight is how much the age of a contribution counts in that of a sum.
func (c contribution) weight() int64 {
	return c.tokens + int64(c.calls)
}

func (c contribution) isZero() bool {
	return c.calls == 0 && c.tokens == 0
}

type contributionKey struct {
	atMs     int64
	reporter string
	upstream string
}

type contributionComparer struct{}

// Compare orders contributions by time.
func (contributionComparer) Compare(a, b contributionKey) int {
	return cmp.Or(cmp.Compare(a.atMs, b.atMs), cmp.Compare(a.reporter, b.reporter), cmp.Compare(a.upstream, b.upstream))
}

// reporter is what a table keeps of who reports to it.
type reporter struct {
	zone          string
	stream        uint64
	number        uint64
	heardMs       int64
	contributions *immutable.Map[string, contribution]
}

// sum adds up contributions.
type sum struct {
	calls  int
	tokens int64
	// weightedMs adds up the times of the contributions, each times its weight.
	weightedMs int64
}

func (s sum) with(c contribution) sum {
	return sum{calls: s.calls + c.calls, tokens: s.tokens + c.tokens, weightedMs: s.weightedMs + c.weight()*c.atMs}
}

func (s sum) without(c contribution) sum {
	return sum{calls: s.calls - c.calls, tokens: s.tokens - c.tokens, weightedMs: s.weightedMs - c.weight()*c.atMs}
}

// atMs returns the mean time of the contributions; now if there are none.
func (s sum) atMs(nowMs int64) int64 {
	weight := s.tokens + int64(s.calls)
	if weight == 0 {
		return nowMs
	}

	return s.weightedMs / weight
}

// pace is a reported pace and its time.
type pace struct {
	percent int
	atMs    int64
}

// change is the last change of an upstream in one scope.
type change struct {
	number uint64
	atMs   int64
}

// row is what is known of one upstream. The fields ending in Zone are of the own zone.
type row struct {
	sumZone, sumForeign   sum
	paceZone, paceAll     pace
	intervalZone          Interval
	intervalsForeign      map[string]Interval
	changeZone, changeAll change
}

// changeIn returns the last change in a scope.
func (r row) changeIn(scope Scope) change {
	if scope == ScopeAll {
		return r.changeAll
	}

	return r.changeZone
}

func (r row) hasWork() bool {
	return r.sumZone.calls != 0 || r.sumZone.tokens != 0 || r.sumForeign.calls != 0 || r.sumForeign.tokens != 0
}

// NewTable returns the table without reports of a node in a zone.
func NewTable(zone string) Table {
	return Table{
		zone:          zone,
		rows:          immutable.NewMap[string, *row](nil),
		reporters:     immutable.NewMap[string, *reporter](nil),
		changedInZone: immutable.NewSortedMap[uint64, string](nil),
		changedInAll:  immutable.NewSortedMap[uint64, string](nil),
		expiring:      immutable.NewSortedMap[contributionKey, struct{}](contributionComparer{}),
	}
}

// milliseconds returns a time as a number that fits the sums.
func milliseconds(at time.Time) int64 {
	return at.UnixMilli()
}

// With applies a message. Repeated messages and those that a later one of the same reporter has overtaken are ignored. A new
// stream drops what the one before has reported. Of the aggregators of another zone only the one with the latest stream
// counts: while a zone goes over to another aggregator, both know of the same calls.
func (t Table) With(u Update, now time.Time) Table {
	t = t.WithoutExpired(now)
	by := t.keyed(u.Reporter)
	from, known := t.reporterOf(by.Name)
	switch {
	case known && (u.Stream < from.stream || u.Stream == from.stream && u.Number <= from.number):
		return t
	case known && u.Stream > from.stream:
		t = t.withoutReporter(by.Name, now)
		known = false
	}
	if !known {
		if t = t.withRoomForReporter(milliseconds(now)); t.reporters.Len() >= maxReporters {
			t.rejected += len(u.Reports)

			return t
		}
		from = reporter{zone: by.Zone, contributions: immutable.NewMap[string, contribution](nil)}
	}
	from.stream, from.number, from.heardMs = u.Stream, u.Number, milliseconds(now)
	t.reporters = t.reporters.Set(by.Name, &from)
	for _, r := range u.Reports {
		t = t.withReport(by, r, milliseconds(now))
	}

	return t.withoutOldest(milliseconds(now))
}

// keyed returns a reporter with a name that is unique in the table. All aggregators of another zone have the same one.
func (t Table) keyed(r Reporter) Reporter {
	if r.Zone != t.zone {
		r.Name = ""
	}

	return Reporter{Name: r.Zone + "|" + r.Name, Zone: r.Zone}
}

func (t Table) rowOf(upstream string) (row, bool) {
	if r, ok := t.rows.Get(upstream); ok {
		return *r, true
	}

	return row{}, false
}

func (t Table) reporterOf(name string) (reporter, bool) {
	if r, ok := t.reporters.Get(name); ok {
		return *r, true
	}

	return reporter{}, false
}

// withRoomForReporter forgets the reporters that have not been heard for long if there are too many.
func (t Table) withRoomForReporter(nowMs int64) Table {
	if t.reporters.Len() < maxReporters {
		return t
	}
	for i := t.reporters.Iterator(); !i.Done(); {
		if name, from, _ := i.Next(); from.contributions.Len() == 0 && nowMs-from.heardMs >= forgetReporterAfter.Milliseconds() {
			t.reporters = t.reporters.Delete(name)
		}
	}

	return t
}

// withReport applies a report of a reporter that the table knows.
func (t Table) withReport(by Reporter, r Report, nowMs int64) Table {
	before, known := t.rowOf(r.Upstream)
	if !known && t.rows.Len() >= maxUpstreams {
		t = t.withoutOldest(nowMs)
	}
	if r.Upstream == "" || !known && t.rows.Len() >= maxUpstreams {
		t.rejected++

		return t
	}
	after := before.withPace(r, by.Zone == t.zone, nowMs).withInterval(by.Zone, by.Zone == t.zone, NewInterval(r.EventInterval, r.Samples))
	c := contribution{calls: max(0, r.Calls), tokens: max(0, r.Tokens), atMs: nowMs - max(0, r.Age.Milliseconds())}
	if c.atMs+ReportLifetime.Milliseconds() <= nowMs {
		// It has expired on its way, but is later than what it replaces.
		c = contribution{}
	}
	t, after = t.withContribution(by, r.Upstream, after, c)

	return t.withRow(r.Upstream, before, after, nowMs)
}

// withContribution replaces the contribution of a reporter to a row, which it returns.
func (t Table) withContribution(by Reporter, upstream string, r row, c contribution) (Table, row) {
	from, _ := t.reporterOf(by.Name)
	old, had := from.contributions.Get(upstream)
	switch {
	case c.isZero():
		from.contributions = from.contributions.Delete(upstream)
	case !had && t.expiring.Len() >= maxContributions:
		t.rejected++

		return t, r
	default:
		from.contributions = from.contributions.Set(upstream, c)
		t.expiring = t.expiring.Set(contributionKey{atMs: c.atMs, reporter: by.Name, upstream: upstream}, struct{}{})
	}
	if had && (old.atMs != c.atMs || c.isZero()) {
		t.expiring = t.expiring.Delete(contributionKey{atMs: old.atMs, reporter: by.Name, upstream: upstream})
	}
	t.reporters = t.reporters.Set(by.Name, &from)
	if by.Zone != t.zone {
		r.sumForeign = r.sumForeign.without(old).with(c)
	} else {
		r.sumZone = r.sumZone.without(old).with(c)
	}

	return t, r
}

// withPace returns the row with the pace of a report, which is of the own zone or not, if it is newer.
func (r row) withPace(report Report, own bool, nowMs int64) row {
	if report.Pace <= 0 || report.PaceAge < 0 {
		return r
	}
	reported := pace{percent: report.Pace, atMs: nowMs - report.PaceAge.Milliseconds()}
	if reported.atMs > r.paceAll.atMs {
		r.paceAll = reported
	}
	if own && reported.atMs > r.paceZone.atMs {
		r.paceZone = reported
	}

	return r
}

// withInterval returns the row with an event interval. Nodes of the own zone report what they have learned since their
// last report, other aggregators what their zones have learned in all.
func (r row) withInterval(zone string, own bool, learned Interval) row {
	switch {
	case learned.samples == 0:
	case own:
		r.intervalZone = r.intervalZone.With(learned)
	case r.intervalsForeign[zone] == learned:
	case len(r.intervalsForeign) >= maxZones:
	default:
		next := map[string]Interval{}
		maps.Copy(next, r.intervalsForeign)
		next[zone] = learned
		r.intervalsForeign = next
	}

	return r
}

// refreshTime returns the time after which the same work of an upstream is reported again.
func refreshTime(tokens int64) time.Duration {
	if tokens == 0 {
		return refreshCallsAfter
	}

	return refreshAfter
}

// minRefreshPause returns the least time in ms between two refreshes in a table. It is shorter than that after which
// reporters refresh, since their reports come at intervals that vary by those between messages.
func minRefreshPause(tokens int64) int64 {
	return refreshTime(tokens).Milliseconds() / 2
}

// withRow replaces a row, and notes in which scopes it has changed.
func (t Table) withRow(upstream string, before, after row, nowMs int64) Table {
	zone := before.paceZone.percent != after.paceZone.percent || before.intervalZone != after.intervalZone ||
		before.sumZone.calls != after.sumZone.calls || before.sumZone.tokens != after.sumZone.tokens
	all := zone || before.paceAll.percent != after.paceAll.percent || !maps.Equal(before.intervalsForeign, after.intervalsForeign) ||
		before.sumForeign.calls != after.sumForeign.calls || before.sumForeign.tokens != after.sumForeign.tokens
	zone = zone || after.sumZone.weightedMs != before.sumZone.weightedMs && nowMs-after.changeZone.atMs >= minRefreshPause(after.sumZone.tokens)
	all = all || zone || after.hasWork() && nowMs-after.changeAll.atMs >= minRefreshPause(after.sumZone.tokens+after.sumForeign.tokens)
	if zone {
		t.lastChange++
		t.changedInZone = t.changedInZone.Delete(after.changeZone.number).Set(t.lastChange, upstream)
		after.changeZone = change{number: t.lastChange, atMs: nowMs}
	}
	if all {
		t.lastChange++
		t.changedInAll = t.changedInAll.Delete(after.changeAll.number).Set(t.lastChange, upstream)
		after.changeAll = change{number: t.lastChange, atMs: nowMs}
	}
	if after.changeAll.number > 0 {
		t.rows = t.rows.Set(upstream, &after)
	}

	return t
}

// WithoutExpired drops the reports that have expired.
func (t Table) WithoutExpired(now time.Time) Table {
	nowMs := milliseconds(now)
	for {
		i := t.expiring.Iterator()
		if i.Done() {
			return t
		}
		key, _, _ := i.Next()
		if key.atMs+ReportLifetime.Milliseconds() > nowMs {
			return t
		}
		t = t.withoutContribution(key.reporter, key.upstream, nowMs)
	}
}

// WithoutStream drops all reports of a reporter that has ended its stream, unless a later one has begun.
func (t Table) WithoutStream(r Reporter, stream uint64, now time.Time) Table {
	name := t.keyed(r).Name
	if from, ok := t.reporterOf(name); !ok || from.stream > stream {
		return t
	}

	return t.withoutReporter(name, now)
}

func (t Table) withoutReporter(name string, now time.Time) Table {
	from, ok := t.reporters.Get(name)
	if !ok {
		return t
	}
	for i := from.contributions.Iterator(); !i.Done(); {
		upstream, _, _ := i.Next()
		t = t.withoutContribution(name, upstream, milliseconds(now))
	}
	t.reporters = t.reporters.Delete(name)

	return t
}

// withoutContribution drops what a reporter has reported of an upstream.
func (t Table) withoutContribution(name, upstream string, nowMs int64) Table {
	from, _ := t.reporterOf(name)
	before, _ := t.rowOf(upstream)
	t, after := t.withContribution(Reporter{Name: name, Zone: from.zone}, upstream, before, contribution{})

	return t.withRow(upstream, before, after, nowMs)
}

// withoutOldest forgets upstreams of which nothing has been reported for long, those that changed least recently first.
func (t Table) withoutOldest(nowMs int64) Table {
	for range evictionsPerUpdate {
		i := t.changedInAll.Iterator()
		if i.Done() {
			return t
		}
		_, upstream, _ := i.Next()
		r, _ := t.rowOf(upstream)
		if r.hasWork() || nowMs-r.changeAll.atMs < learnedLifetime.Milliseconds() && t.rows.Len() < maxUpstreams {
			return t
		}
		t.rows = t.rows.Delete(upstream)
		t.changedInZone = t.changedInZone.Delete(r.changeZone.number)
		t.changedInAll = t.changedInAll.Delete(r.changeAll.number)
	}

	return t
}

// Upstreams returns the number of upstreams that the table knows.
func (t Table) Upstreams() int { return t.rows.Len() }

// Reporters returns the number of nodes that report.
func (t Table) Reporters() int { return t.reporters.Len() }

// Contributions returns the number of reports that are added up.
func (t Table) Contributions() int { return t.expiring.Len() }

// Rejected returns the number of reports that were left out because the table was full.
func (t Table) Rejected() int { return t.rejected }

// report returns the sums of an upstream without a contribution.
func (r row) report(upstream string, scope Scope, own contribution, nowMs int64) Report {
	s, p, interval := r.sumZone, r.paceZone, r.intervalZone
	if scope == ScopeAll {
		p = r.paceAll
		s = sum{calls: s.calls + r.sumForeign.calls, tokens: s.tokens + r.sumForeign.tokens, weightedMs: s.weightedMs + r.sumForeign.weightedMs}
		interval = interval.joined(r.intervalsForeign)
	}
	s = s.without(own)
	report := Report{
		Upstream: upstream, Calls: s.calls, Tokens: s.tokens, Age: age(s.atMs(nowMs), nowMs),
		EventInterval: interval.Duration(), Samples: interval.samples,
	}
	if paceAge := age(p.atMs, nowMs); p.percent > 0 && paceAge < ReportLifetime {
		report.Pace, report.PaceAge = p.percent, paceAge
	}

	return report
}

func age(atMs, nowMs int64) time.Duration {
	return time.Duration(min(max(0, nowMs-atMs), math.MaxInt32)) * time.Millisecond
}
