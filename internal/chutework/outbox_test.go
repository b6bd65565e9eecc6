package chutework

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// outboxRun is an outbox with what was put into it and what was taken.
type outboxRun struct {
	*rapid.T

	now      time.Time
	outbox   Outbox
	reported map[string]Report
	received map[string]Report
	// samplesReported and samplesReceived count the streams behind the intervals.
	samplesReported, samplesReceived int
}

func (r *outboxRun) put() {
	reports := drawReports(r.T)
	for i := range reports {
		reports[i].Age = 0
		reports[i].Samples = rapid.IntRange(0, 2).Draw(r.T, "samples")
		reports[i].EventInterval = time.Duration(reports[i].Samples) * time.Millisecond
		r.samplesReported += reports[i].Samples
		r.reported[reports[i].Upstream] = reports[i]
	}
	r.outbox = r.outbox.With(reports, r.now)
}

func (r *outboxRun) take(limit int) int {
	var reports []Report
	reports, r.outbox = r.outbox.Take(r.now, limit)
	if len(reports) > limit {
		r.Fatalf("%d reports, more than %d", len(reports), limit)
	}
	for _, report := range reports {
		r.received[report.Upstream] = report
		r.samplesReceived += report.Samples
	}

	return len(reports)
}

// expectAllReceived takes what is left, and checks that all was received.
func (r *outboxRun) expectAllReceived() {
	for r.take(2) > 0 {
	}
	for upstream, want := range r.reported {
		if got := r.received[upstream]; got.Calls != want.Calls || got.Tokens != want.Tokens {
			r.Fatalf("%s was sent as %+v, not as %+v", upstream, got, want)
		}
	}
	if r.samplesReceived != r.samplesReported {
		r.Fatalf("%d samples were sent, not %d", r.samplesReceived, r.samplesReported)
	}
}

// Guards against an aggregator that does not get what a node last reported: changes that are left out, intervals that are
// sent twice or not at all, and upstreams without work that stay in the outbox.
func TestOutboxSendsAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := outboxRun{T: t, now: start, outbox: NewOutbox(), reported: map[string]Report{}, received: map[string]Report{}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			r.now = r.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pass")) * time.Millisecond)
			r.put()
			r.take(rapid.IntRange(0, 6).Draw(t, "limit"))
		}
		r.expectAllReceived()
		for upstream := range r.reported {
			r.reported[upstream] = Report{Upstream: upstream}
			r.outbox = r.outbox.With([]Report{r.reported[upstream]}, r.now)
		}
		r.expectAllReceived()
		if r.outbox.Len() != 0 {
			t.Fatalf("%d upstreams without work stay", r.outbox.Len())
		}
	})
}

func TestOutbox(t *testing.T) {
	t.Run("reports that wait grow old", func(t *testing.T) {
		// Guards against a report that was held back and counts as new at the aggregator.
		c := qt.New(t)
		outbox := NewOutbox().With([]Report{{Upstream: "u", Calls: 1, Tokens: 7, Pace: 120, PaceAge: 10 * time.Millisecond}}, start)
		reports, _ := outbox.Take(start.Add(300*time.Millisecond), MaxReports)
		c.Assert(reports, qt.DeepEquals, []Report{{
			Upstream: "u", Calls: 1, Tokens: 7, Age: 300 * time.Millisecond, Pace: 120, PaceAge: 310 * time.Millisecond,
		}})
	})

	t.Run("another aggregator is sent everything", func(t *testing.T) {
		// Guards against an aggregator that has just been elected and learns of calls only when they change.
		c := qt.New(t)
		_, outbox := NewOutbox().With([]Report{report("u", 1, 7)}, start).Take(start, MaxReports)
		reports, outbox := outbox.Take(start, MaxReports)
		c.Assert(reports, qt.HasLen, 0)
		reports, _ = outbox.WithoutSent().Take(start, MaxReports)
		c.Assert(reports, qt.DeepEquals, []Report{report("u", 1, 7)})
	})
}
