package chuterouting

import (
	"time"

	"azurechute.example/azurechute/internal/chuterequest"
)

// entry is all that this node knows of one upstream; it is immutable once in a Table.
type entry struct {
	// What a scan over all upstreams reads comes first, so that it lies together in memory.

	// leaving is true while the current incarnation has a leaving mark.
	leaving bool
	// listed, listedLeaving and listedIncarnation repeat the platform's last list.
	listed        bool
	listedLeaving bool
	inFlight      int
	// others is the work that the last report ascribes to other nodes.
	others   int
	reportAt time.Time
	aside    aside
	report   chuterequest.Load

	upstream          Upstream
	listedIncarnation string
	absentSince       time.Time
	// previous is the reported incarnation that a newer report has replaced.
	previous string
	// reported says that the upstream itself has named its present incarnation.
	reported   bool
	lastAnswer time.Time
	// quietSince is when this node's calls there last made progress; meaningful while inFlight > 0.
	quietSince time.Time
	speed      speed
	cache      cacheIndex
}

// newIncarnation forgets what was learned about the process that ran before.
func (e *entry) newIncarnation(incarnation string) {
	e.upstream.Incarnation = incarnation
	e.reported = false
	e.report = chuterequest.Load{}
	e.reportAt = time.Time{}
	e.others = 0
	e.speed = speed{}
	e.aside = aside{}
	e.cache = cacheIndex{}
}

// othersNow is the other nodes' work believed there now: less the older the report, none past limit.
func (e *entry) othersNow(now time.Time, limit time.Duration) float64 {
	if e.others == 0 {
		return 0
	}
	age := now.Sub(e.reportAt)
	if age >= limit {
		return 0
	}
	if age <= 0 {
		return float64(e.others)
	}

	return float64(e.others) * (1 - float64(age)/float64(limit))
}

func (e *entry) slots(settings Settings) int {
	if e.report.Slots > 0 {
		return e.report.Slots
	}

	return settings.slots(e.upstream.Pool)
}

// ended takes one of this node's calls off the count.
func (e *entry) ended(now time.Time) {
	if e.inFlight > 0 {
		e.inFlight--
	}
	e.quietSince = now
	// It may have been an older call than the trial's. Then a second one may join
	// the trial, which is better than a trial that an hour-long stream holds up.
	e.aside.probing = false
}

// answers says whether an upstream that the list no longer names may still be used.
func (e *entry) answers(now time.Time, limit time.Duration) bool {
	return now.Sub(e.lastAnswer) <= limit && now.Sub(e.absentSince) <= absentLimit
}

func (e *entry) view() UpstreamView {
	return UpstreamView{
		Upstream:   e.upstream,
		Listed:     e.listed,
		Leaving:    e.leaving || e.listedLeaving,
		InFlight:   e.inFlight,
		Report:     e.report,
		ReportAt:   e.reportAt,
		Slowness:   e.speed.slowness(),
		Failures:   e.aside.failures,
		Aside:      e.aside.reason,
		AsideUntil: e.aside.until,
		AsideCount: e.aside.count,
		Cached:     e.cache.blocks.size,
		Belief:     e.cache.belief(),
	}
}
