package chutework

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

// Outbox holds a node's own reports until they are sent to its aggregator. It is immutable. It keeps at most 16,384
// upstreams.
type Outbox struct {
	items *immutable.Map[string, outboxItem]
}

// outboxItem is the last report of an upstream, as of atMs, with the interval of the streams that was not sent yet, and
// what was sent last, at sentMs.
type outboxItem struct {
	report   Report
	atMs     int64
	interval Interval
	sent     Report
	sentMs   int64
	isSent   bool
}

// NewOutbox returns an empty outbox.
func NewOutbox() Outbox {
	return Outbox{items: immutable.NewMap[string, outboxItem](nil)}
}

// Len returns the number of upstreams with work or with reports that were not sent.
func (o Outbox) Len() int { return o.items.Len() }

// With adds the node's reports. Their intervals are of streams that no earlier report was about.
func (o Outbox) With(reports []Report, now time.Time) Outbox {
	for _, r := range reports {
		item, known := o.items.Get(r.Upstream)
		if !known && o.items.Len() >= maxUpstreams {
			continue
		}
		item.interval = item.interval.With(NewInterval(r.EventInterval, r.Samples))
		item.report, item.atMs = r, milliseconds(now)
		o.items = o.items.Set(r.Upstream, item)
	}

	return o
}

// WithoutSent returns the outbox for another aggregator, to which nothing was sent.
func (o Outbox) WithoutSent() Outbox {
	for i := o.items.Iterator(); !i.Done(); {
		upstream, item, _ := i.Next()
		item.sent, item.isSent = Report{}, false
		o.items = o.items.Set(upstream, item)
	}

	return o
}

// Take returns the reports that differ from what was sent, at most limit, those with the most tokens first, and the outbox
// in which they are sent. The rest follows in the next message.
func (o Outbox) Take(now time.Time, limit int) ([]Report, Outbox) {
	nowMs := milliseconds(now)
	var due []outboxItem
	for i := o.items.Iterator(); !i.Done(); {
		upstream, item, _ := i.Next()
		switch {
		case item.isDue(nowMs):
			due = append(due, item)
		case item.report.Calls == 0 && item.report.Tokens == 0:
			o.items = o.items.Delete(upstream)
		}
	}
	slices.SortFunc(due, func(a, b outboxItem) int {
		return cmp.Or(cmp.Compare(b.report.Tokens, a.report.Tokens), cmp.Compare(a.report.Upstream, b.report.Upstream))
	})
	var reports []Report
	for _, item := range due[:min(len(due), limit)] {
		reports = append(reports, item.toSend(nowMs))
		item.sent, item.sentMs, item.isSent, item.interval = item.report, nowMs, true, Interval{}
		o.items = o.items.Set(item.report.Upstream, item)
	}

	return reports, o
}

// isDue reports whether a report has to be sent: it differs from the last one, or that one is about to expire.
func (i outboxItem) isDue(nowMs int64) bool {
	r := i.report
	if i.interval.samples > 0 {
		return true
	}
	if !i.isSent {
		return r.Calls != 0 || r.Tokens != 0
	}
	hasWork := r.Calls != 0 || r.Tokens != 0

	return r.Calls != i.sent.Calls || r.Tokens != i.sent.Tokens || r.Pace != i.sent.Pace && r.Pace > 0 ||
		hasWork && nowMs-i.sentMs >= refreshTime(r.Tokens).Milliseconds()
}

// toSend returns the report as of now.
func (i outboxItem) toSend(nowMs int64) Report {
	r := i.report
	waited := age(i.atMs, nowMs)
	r.Age += waited
	r.PaceAge += waited
	r.EventInterval, r.Samples = i.interval.Duration(), i.interval.samples

	return r
}
