package chutework

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against an aggregator that does not get what a node last reported: changes that are left out, intervals that are
// sent twice or not at all, and upstreams without work that stay in the outbox.
func TestOutboxSendsAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, outbox := start, NewOutbox()
		reported, received := map[string]Report{}, map[string]Report{}
		samplesReported, samplesReceived := 0, 0
		take := func(limit int) int {
			var reports []Report
			reports, outbox = outbox.Take(now, limit)
			for _, r := range reports {
				received[r.Upstream] = r
				samplesReceived += r.Samples
			}

			return len(reports)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pass")) * time.Millisecond)
			reports := drawReports(t)
			for i := range reports {
				reports[i].Age = 0
				reports[i].Samples = rapid.IntRange(0, 2).Draw(t, "samples")
				reports[i].EventInterval = time.Duration(reports[i].Samples) * time.Millisecond
				samplesReported += reports[i].Samples
				reported[reports[i].Upstream] = reports[i]
			}
			outbox = outbox.With(reports, now)
			if limit := rapid.IntRange(0, 6).Draw(t, "limit"); take(limit) > limit {
				t.Fatalf("more than %d reports", limit)
			}
		}
		for take(2) > 0 {
		}
		for upstream, want := range reported {
			if got := received[upstream]; got.Calls != want.Calls || got.Tokens != want.Tokens {
				t.Fatalf("%s was sent as %+v, not as %+v", upstream, got, want)
			}
		}
		if samplesReceived != samplesReported {
			t.Fatalf("%d samples were sent, not %d", samplesReceived, samplesReported)
		}
		for _, r := range reported {
			outbox = outbox.With([]Report{{Upstream: r.Upstream}}, now)
		}
		for take(2) > 0 {
		}
		if outbox.Len() != 0 {
			t.Fatalf("%d upstreams without work stay", outbox.Len())
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
