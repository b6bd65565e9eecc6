package chutework

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// tableModel is a table that adds up all reports anew each time.
type tableModel struct {
	// last holds by reporter and upstream what was reported last, order the last message of each reporter.
	last  map[string]map[string]modelReport
	order map[string][2]uint64
	zones map[string]string
}

type modelReport struct {
	calls  int
	tokens int64
	at     time.Time
}

func (m tableModel) with(u Update, now time.Time) {
	if u.Reporter.Zone != "z" {
		u.Reporter.Name = u.Reporter.Zone
	}
	order := [2]uint64{u.Stream, u.Number}
	if last, known := m.order[u.Reporter.Name]; known && slices.Compare(order[:], last[:]) <= 0 {
		return
	}
	if m.order[u.Reporter.Name][0] < u.Stream {
		delete(m.last, u.Reporter.Name)
	}
	m.order[u.Reporter.Name], m.zones[u.Reporter.Name] = order, u.Reporter.Zone
	if m.last[u.Reporter.Name] == nil {
		m.last[u.Reporter.Name] = map[string]modelReport{}
	}
	for _, r := range u.Reports {
		m.last[u.Reporter.Name][r.Upstream] = modelReport{calls: r.Calls, tokens: r.Tokens, at: now.Add(-r.Age)}
	}
}

// vanish drops a reporter unless it, or another one of another zone, has begun a later stream.
func (m tableModel) vanish(from Reporter, stream uint64) {
	if from.Zone != "z" {
		from.Name = from.Zone
	}
	if m.order[from.Name][0] <= stream {
		delete(m.last, from.Name)
		delete(m.order, from.Name)
	}
}

// sum returns the calls and tokens of an upstream, and the token-weighted mean age.
func (m tableModel) sum(upstream string, scope Scope, now time.Time) (calls int, tokens int64, age float64) {
	weights := 0.0
	for name, reports := range m.last {
		r := reports[upstream]
		if now.Sub(r.at) >= ReportLifetime || scope == ScopeZone && m.zones[name] != "z" {
			continue
		}
		calls, tokens = calls+r.calls, tokens+r.tokens
		weights += float64(r.tokens) + float64(r.calls)
		age += (float64(r.tokens) + float64(r.calls)) * float64(now.Sub(r.at).Milliseconds())
	}
	if weights > 0 {
		age /= weights
	}

	return calls, tokens, age
}

var (
	testReporters = []Reporter{{Name: "a", Zone: "z"}, {Name: "b", Zone: "z"}, {Name: "c", Zone: "z"}, {Name: "f", Zone: "y"}, {Name: "g", Zone: "y"}, {Name: "h", Zone: "x"}}
	testUpstreams = []string{"u0", "u1", "u2", "u3", "u4", "u5"}
)

func drawReports(t *rapid.T) []Report {
	var reports []Report
	for _, upstream := range testUpstreams {
		if !rapid.Bool().Draw(t, "reported") {
			continue
		}
		reports = append(reports, Report{
			Upstream: upstream, Calls: rapid.IntRange(0, 3).Draw(t, "calls"), Tokens: rapid.Int64Range(0, 3).Draw(t, "thousands") * 1000,
			Age: time.Duration(rapid.IntRange(0, 1300).Draw(t, "age")) * time.Millisecond,
		})
	}

	return reports
}

// network holds messages that are on their way, and delivers them late, twice, in another order or never.
type network struct {
	onTheWay []Update
	// lastStream numbers the streams of all reporters.
	lastStream uint64
	streams    map[string]uint64
	numbers    map[string]uint64
}

// vanish drops what a reporter has on its way; its next message begins a new stream.
func (n *network) vanish(name string) {
	n.onTheWay = slices.DeleteFunc(n.onTheWay, func(u Update) bool { return u.Reporter.Name == name })
	n.streams[name] = 0
}

// next draws the message that arrives next, or false if none does.
func (n *network) next(t *rapid.T) (Update, bool) {
	from := rapid.SampledFrom(testReporters).Draw(t, "reporter")
	if n.streams[from.Name] == 0 || rapid.IntRange(0, 9).Draw(t, "new stream") == 0 {
		n.lastStream++
		n.streams[from.Name], n.numbers[from.Name] = n.lastStream, 0
	}
	n.numbers[from.Name]++
	n.onTheWay = append(n.onTheWay, Update{Reporter: from, Stream: n.streams[from.Name], Number: n.numbers[from.Name], Reports: drawReports(t)})
	i := rapid.IntRange(0, len(n.onTheWay)-1).Draw(t, "message")
	u := n.onTheWay[i]
	switch rapid.SampledFrom([]string{"delivered", "delivered", "delivered", "repeated", "lost"}).Draw(t, "fate") {
	case "delivered":
		n.onTheWay = slices.Delete(n.onTheWay, i, i+1)
	case "lost":
		n.onTheWay = slices.Delete(n.onTheWay, i, i+1)

		return Update{}, false
	}

	return u, true
}

// expectSums checks all sums of a table against the model.
func expectSums(t *rapid.T, table Table, model tableModel, now time.Time) {
	for _, upstream := range testUpstreams {
		for _, scope := range []Scope{ScopeZone, ScopeAll} {
			r, _ := table.rowOf(upstream)
			got := r.report(upstream, scope, contribution{}, milliseconds(now))
			calls, tokens, age := model.sum(upstream, scope, now)
			if got.Calls != calls || got.Tokens != tokens || math.Abs(float64(got.Age.Milliseconds())-age) > 1 {
				t.Fatalf("%s in %s: %d calls and %d tokens of age %v, not %d, %d and %.0f ms", upstream, scope, got.Calls, got.Tokens, got.Age, calls, tokens, age)
			}
		}
	}
}

// subscriber keeps what a node has been sent.
type subscriber struct {
	subscription Subscription
	scope        Scope
	known        map[string]Report
}

func (s *subscriber) take(t *rapid.T, table Table, now time.Time, limit int) int {
	var reports []Report
	reports, s.subscription = table.Changes(s.subscription, now, limit)
	if len(reports) > limit {
		t.Fatalf("%d reports, more than %d", len(reports), limit)
	}
	for _, r := range reports {
		s.known[r.Upstream] = r
	}

	return len(reports)
}

// expectAll takes what is left, and checks that the subscriber knows the sums of the model.
func (s *subscriber) expectAll(t *rapid.T, table Table, model tableModel, now time.Time) {
	for s.take(t, table, now, 2) > 0 {
	}
	for _, upstream := range testUpstreams {
		calls, tokens, _ := model.sum(upstream, s.scope, now)
		if got := s.known[upstream]; got.Calls != calls || got.Tokens != tokens {
			t.Fatalf("the subscriber of %s has %+v of %s, not %d calls and %d tokens", s.scope, got, upstream, calls, tokens)
		}
	}
}

// Guards against sums that are off after messages were lost, repeated, reordered or late, after reporters have vanished,
// reports of other zones that are counted in the own one, and subscribers that miss a change.
func TestTableAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, table := start, NewTable("z")
		model := tableModel{last: map[string]map[string]modelReport{}, order: map[string][2]uint64{}, zones: map[string]string{}}
		sent := network{streams: map[string]uint64{}, numbers: map[string]uint64{}}
		subscribers := []*subscriber{
			{subscription: NewSubscription(ScopeZone), scope: ScopeZone, known: map[string]Report{}},
			{subscription: NewSubscription(ScopeAll), scope: ScopeAll, known: map[string]Report{}},
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pass")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"message", "message", "message", "vanish", "take"}).Draw(t, "step") {
			case "message":
				if u, arrives := sent.next(t); arrives {
					table = table.With(u, now)
					model.with(u, now)
				}
			case "vanish":
				from := rapid.SampledFrom(testReporters).Draw(t, "vanished")
				table = table.WithoutStream(from, sent.streams[from.Name], now)
				model.vanish(from, sent.streams[from.Name])
				sent.vanish(from.Name)
			case "take":
				table = table.WithoutExpired(now)
				s := rapid.SampledFrom(subscribers).Draw(t, "subscriber")
				s.take(t, table, now, rapid.IntRange(1, 4).Draw(t, "limit"))
			}
			table = table.WithoutExpired(now)
			expectSums(t, table, model, now)
		}
		for _, s := range subscribers {
			s.expectAll(t, table, model, now)
		}
		table = table.WithoutExpired(now.Add(2 * ReportLifetime))
		if table.Contributions() != 0 || table.expiring.Len() != 0 {
			t.Fatalf("%d reports never expire", table.Contributions())
		}
	})
}

func report(upstream string, calls int, tokens int64) Report {
	return Report{Upstream: upstream, Calls: calls, Tokens: tokens}
}

func TestChanges(t *testing.T) {
	node := Reporter{Name: "a", Zone: "z"}

	t.Run("those with the most tokens come first, the rest in the next message, and then nothing", func(t *testing.T) {
		// Guards against a message that grows with the number of upstreams, and upstreams that are left out for good.
		c := qt.New(t)
		table := NewTable("z").With(Update{Reporter: node, Number: 1, Reports: []Report{report("u1", 1, 10), report("u2", 1, 30), report("u3", 1, 20)}}, start)
		reports, s := table.Changes(NewSubscription(ScopeAll), start, 2)
		c.Assert(reports, qt.DeepEquals, []Report{report("u2", 1, 30), report("u3", 1, 20)})
		table = table.With(Update{Reporter: node, Number: 2, Reports: []Report{report("u3", 1, 5)}}, start)
		reports, s = table.Changes(s, start, 2)
		c.Assert(reports, qt.DeepEquals, []Report{report("u3", 1, 5), report("u1", 1, 10)})
		reports, _ = table.Changes(s, start, 2)
		c.Assert(reports, qt.HasLen, 0)
	})

	t.Run("the same sums are sent again before they expire, and nothing while there is no work", func(t *testing.T) {
		// Guards against nodes that forget a long prompt while it is processed, and against messages in an idle system.
		c := qt.New(t)
		table, s, now := NewTable("z"), NewSubscription(ScopeAll), start
		sent := 0
		for number := range uint64(10) {
			now = now.Add(100 * time.Millisecond)
			table = table.With(Update{Reporter: node, Number: number + 1, Reports: []Report{report("busy", 1, 10), report("idle", 0, 0)}}, now)
			var reports []Report
			reports, s = table.Changes(s, now, MaxReports)
			for _, r := range reports {
				c.Assert(r.Upstream, qt.Equals, "busy")
				sent++
			}
		}
		c.Assert(sent, qt.Equals, 5)
	})

	t.Run("the sums of other zones are not sent to other aggregators", func(t *testing.T) {
		// Guards against reports that go round between zones and are counted again each time.
		c := qt.New(t)
		table := NewTable("z").With(Update{Reporter: node, Number: 1, Reports: []Report{report("u", 1, 10)}}, start)
		table = table.With(Update{Reporter: Reporter{Name: "f", Zone: "y"}, Number: 1, Reports: []Report{
			{Upstream: "u", Calls: 2, Tokens: 5, EventInterval: time.Millisecond, Samples: 2, Pace: 120}, report("foreign", 1, 1),
		}}, start)
		reports, _ := table.Changes(NewSubscription(ScopeZone), start, MaxReports)
		c.Assert(reports, qt.DeepEquals, []Report{report("u", 1, 10)})
		reports, _ = table.Changes(NewSubscription(ScopeAll), start, 1)
		c.Assert(reports, qt.DeepEquals, []Report{{Upstream: "u", Calls: 3, Tokens: 15, EventInterval: time.Millisecond, Samples: 2, Pace: 120}})
	})

	t.Run("a node's own reports are left out of its sums", func(t *testing.T) {
		// Guards against a node that takes its own call, which has ended meanwhile, for one of another node.
		c := qt.New(t)
		other := Reporter{Name: "b", Zone: "z"}
		table := NewTable("z").With(Update{Reporter: node, Number: 1, Reports: []Report{report("u", 1, 10)}}, start)
		table = table.With(Update{Reporter: other, Number: 1, Reports: []Report{{Upstream: "u", Calls: 2, Tokens: 5, Age: 50 * time.Millisecond}}}, start)
		for subscriber, want := range map[Reporter]Report{
			node: {Upstream: "u", Calls: 2, Tokens: 5, Age: 50 * time.Millisecond}, other: report("u", 1, 10),
			{Name: "c", Zone: "z"}: {Upstream: "u", Calls: 3, Tokens: 15, Age: 20 * time.Millisecond},
		} {
			reports, _ := table.Changes(NewSubscription(ScopeAll).Without(subscriber), start, 1)
			c.Assert(reports, qt.DeepEquals, []Report{want})
		}
	})

	t.Run("a waiting list that is full keeps those with the most tokens", func(t *testing.T) {
		// Guards against memory that grows with a subscriber that can't be sent everything.
		c := qt.New(t)
		table := NewTable("z")
		for i := range 2 * maxWaiting {
			table = table.With(Update{Reporter: node, Number: uint64(i + 1), Reports: []Report{report(fmt.Sprint("u", i), 1, int64(i))}}, start)
		}
		_, s := table.Changes(NewSubscription(ScopeAll), start, MaxReports)
		c.Assert(s.waiting, qt.HasLen, maxWaiting)
		c.Assert(s.waiting[0], qt.Equals, fmt.Sprint("u", 2*maxWaiting-MaxReports-1))
	})
}

func TestPaceAndInterval(t *testing.T) {
	node := Reporter{Name: "a", Zone: "z"}

	t.Run("the newest pace counts, whatever the order in which paces arrive", func(t *testing.T) {
		// Guards against a pace that a late message resets to what it was before.
		c := qt.New(t)
		paceOf := func(reports ...Report) Report {
			table := NewTable("z")
			for i, r := range reports {
				table = table.With(Update{Reporter: Reporter{Name: fmt.Sprint(i), Zone: "z"}, Number: 1, Reports: []Report{r}}, start)
			}
			all, _ := table.Changes(NewSubscription(ScopeAll), start, 1)

			return all[0]
		}
		older := Report{Upstream: "u", Pace: 250, PaceAge: 200 * time.Millisecond}
		newer := Report{Upstream: "u", Pace: 100, PaceAge: 50 * time.Millisecond}
		c.Assert(paceOf(older, newer), qt.DeepEquals, newer)
		c.Assert(paceOf(newer, older), qt.DeepEquals, newer)
	})

	t.Run("intervals are folded as a geometric mean by samples, and the newest stream weighs a tenth", func(t *testing.T) {
		// Guards against an upstream that has become slow and keeps the speed of thousands of earlier streams.
		c := qt.New(t)
		mean := NewInterval(4*time.Millisecond, 3).With(NewInterval(16*time.Millisecond, 1))
		c.Assert(mean.samples, qt.Equals, 4)
		c.Assert(math.Abs(mean.ms-4*math.Pow(4, 0.25)) < 1e-9, qt.IsTrue)
		learned := NewInterval(10*time.Millisecond, 10_000)
		for range 30 {
			learned = learned.With(NewInterval(25*time.Millisecond, 1))
		}
		c.Assert(learned.Duration() > 23*time.Millisecond, qt.IsTrue, qt.Commentf("%v", learned.Duration()))
	})

	t.Run("what was learned outlives the reports, and is forgotten in the end", func(t *testing.T) {
		// Guards against speeds that are lost whenever an upstream has no calls, and against memory for upstreams that are gone.
		c := qt.New(t)
		learned := Report{Upstream: "u", Calls: 1, EventInterval: 12 * time.Millisecond, Samples: 4}
		table := NewTable("z").With(Update{Reporter: node, Number: 1, Reports: []Report{learned}}, start)
		later := start.Add(time.Minute)
		table = table.WithoutExpired(later)
		reports, _ := table.Changes(NewSubscription(ScopeAll), later, 1)
		c.Assert(reports, qt.DeepEquals, []Report{{Upstream: "u", EventInterval: 12 * time.Millisecond, Samples: 4}})
		table = table.With(Update{Reporter: node, Number: 2}, later.Add(learnedLifetime))
		c.Assert(table.Upstreams(), qt.Equals, 0)
		c.Assert(table.changedInAll.Len()+table.changedInZone.Len(), qt.Equals, 0)
	})
}

// Guards against a table that grows without a bound when reporters, upstreams or reports are made up.
func TestTableIsBounded(t *testing.T) {
	c := qt.New(t)
	table, now := NewTable("z"), start
	for i := range maxReporters + 10 {
		// Within a report's lifetime more of them come from more nodes of more upstreams than are kept.
		now = now.Add(100 * time.Microsecond)
		reports := make([]Report, MaxReports)
		for j := range reports {
			reports[j] = report(fmt.Sprint("u", (i*MaxReports+j)%(maxUpstreams+MaxReports)), 1, 1)
		}
		table = table.With(Update{Reporter: Reporter{Name: fmt.Sprint("n", i), Zone: "z"}, Number: 1, Reports: reports}, now)
		c.Assert(table.reporters.Len() <= maxReporters && table.rows.Len() <= maxUpstreams && table.expiring.Len() <= maxContributions, qt.IsTrue)
	}
	c.Assert(table.Rejected() > 0, qt.IsTrue)
	now = now.Add(forgetReporterAfter)
	table = table.With(Update{Reporter: Reporter{Name: "new", Zone: "z"}, Number: 1, Reports: []Report{report("new", 1, 1)}}, now)
	c.Assert(table.Reporters(), qt.Equals, 1)
	c.Assert(table.Contributions(), qt.Equals, 1)
}

// fullTable returns a table with reports of nodes, each of perNode of the upstreams.
func fullTable(nodes, upstreams, perNode int) Table {
	ids := make([]string, upstreams)
	for i := range ids {
		ids[i] = fmt.Sprintf("i-%08x@1764700000%03d", i, i%1000)
	}
	table := NewTable("z")
	for n := range nodes {
		var reports []Report
		for i := range perNode {
			r := report(ids[(n*perNode+i)%upstreams], 2, 4000)
			r.EventInterval, r.Samples, r.Pace = 20*time.Millisecond, 3, 110
			reports = append(reports, r)
		}
		table = table.With(Update{Reporter: Reporter{Name: fmt.Sprint("n", n), Zone: "z"}, Number: 1, Reports: reports}, start)
	}

	return table
}

// Guards against a table that takes a large part of the 144 MB of a small VM.
func TestTableMemory(t *testing.T) {
	c := qt.New(t)
	for _, perNode := range []int{10, 64} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := fullTable(985, 10_000, perNode)
		subscriptions := make([]Subscription, 985)
		for i := range subscriptions {
			_, subscriptions[i] = table.Changes(NewSubscription(ScopeAll), start, MaxReports)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		megabytes := float64(after.HeapAlloc-before.HeapAlloc) / (1 << 20)
		c.Logf("%d reports of %d upstreams: %.1f MB", table.Contributions(), table.Upstreams(), megabytes)
		c.Assert(megabytes < 48, qt.IsTrue)
		runtime.KeepAlive(table)
		runtime.KeepAlive(subscriptions)
	}
}

// BenchmarkUpdate shows that a message of ten reports costs the same in a small and in a large table.
func BenchmarkUpdate(b *testing.B) {
	for _, size := range []struct{ nodes, upstreams int }{{25, 250}, {250, 2500}, {985, 10_000}} {
		b.Run(fmt.Sprint(size.nodes, " nodes, ", size.upstreams, " upstreams"), func(b *testing.B) {
			table := fullTable(size.nodes, size.upstreams, 10)
			ids := make([]string, 10)
			for i := range ids {
				ids[i] = fmt.Sprintf("i-%08x@1764700000%03d", i, i%1000)
			}
			subscription := NewSubscription(ScopeAll)
			_, subscription = table.Changes(subscription, start, MaxReports)
			b.ReportAllocs()
			for n := range b.N {
				var reports []Report
				for _, id := range ids {
					reports = append(reports, report(id, n%3, int64(n%7)))
				}
				table = table.With(Update{Reporter: Reporter{Name: "n0", Zone: "z"}, Number: uint64(n + 2), Reports: reports}, start)
				_, subscription = table.Changes(subscription, start, MaxReports)
			}
		})
	}
}
