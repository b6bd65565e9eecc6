package chutebatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// The load answered here is one loud workspace: 19 workspaces, the largest with a fifth
// of the requests, ask a pool of 115 parts a second for 81; from 12 s to 21 s one of them
// sends many times its usual. Before that the collector has seen 12 s of usual load.

const (
	fairWorkspaces = 19
	loudFrom       = 12 * time.Second
	loudUntil      = 21 * time.Second
	// fairRate is the requests a second of all; each has 2.5 parts on average.
	fairRate = 32.0
)

// loudCase is one loud workspace, by its rank in size, and how many times its usual it sends.
type loudCase struct {
	name  string
	rank  int
	times float64
}

var loudCases = []loudCase{
	{"the largest", 1, 5},
	{"a middle one", 5, 20},
	{"a small one", 15, 40},
}

// fairWeight is a workspace's part of the usual load.
func fairWeight(rank int) float64 {
	sum := 0.0
	for i := range fairWorkspaces {
		sum += 1 / float64(i+1)
	}

	return 1 / float64(rank) / sum
}

func workspaceName(rank int) string {
	return fmt.Sprint("w", rank)
}

// arrivals draws the requests of all workspaces.
func (l loudCase) arrivals(seed uint64) []loadRequest {
	random := rand.New(rand.NewPCG(seed, 3)) //nolint:gosec // repeatable load
	var all []loadRequest
	for rank := 1; rank <= fairWorkspaces; rank++ {
		for at := time.Duration(0); at < loadLength; {
			perSecond := fairRate * fairWeight(rank)
			if rank == l.rank && at >= loudFrom && at < loudUntil {
				perSecond *= l.times
			}
			at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
			t := start.Add(at)
			all = append(all, loadRequest{
				parts: 1 + random.IntN(4), at: t, aimAt: t.Add(loadAim), deadline: t.Add(loadTime), came: 1, workspace: workspaceName(rank),
			})
		}
	}
	slices.SortStableFunc(all, func(a, b loadRequest) int { return a.at.Compare(b.at) })
	for i := range all {
		all[i].id = uint64(i + 1) //nolint:gosec // small
	}

	return all
}

// blindPolicy is the collector without workspaces.
type blindPolicy struct {
	collectorPolicy
}

func (p *blindPolicy) arrive(r loadRequest, now time.Time, upstreams int) bool {
	r.workspace = ""

	return p.collectorPolicy.arrive(r, now, upstreams)
}

// equalPolicy is the collector behind strict equal shares of its full rate.
type equalPolicy struct {
	blindPolicy

	used map[string]float64
	at   map[string]time.Time
}

func (p *equalPolicy) arrive(r loadRequest, now time.Time, upstreams int) bool {
	const perSecond, burst = 115.0 / fairWorkspaces, 12.0
	used := max(0, p.used[r.workspace]-perSecond*now.Sub(p.at[r.workspace]).Seconds())
	p.at[r.workspace] = now
	if used+float64(r.parts) > burst {
		p.used[r.workspace] = used

		return false
	}
	p.used[r.workspace] = used + float64(r.parts)

	return p.blindPolicy.arrive(r, now, upstreams)
}

// fairEnd is how a load with a loud workspace ended.
type fairEnd struct {
	quiet, loud loadResult
}

func (l loudCase) run(p loadPolicy, seed uint64) fairEnd {
	r := newLoadRun(loadCase{name: l.name, burst: 1}, p, l.arrivals(seed))
	r.play()
	var end fairEnd
	for name, result := range r.byWorkspace {
		to := &end.quiet
		if name == workspaceName(l.rank) {
			to = &end.loud
		}
		to.asked += result.asked
		to.onTime += result.onTime
		to.late += result.late
	}

	return end
}

func fairPolicies() map[string]func() loadPolicy {
	newCollector := func() collectorPolicy { return collectorPolicy{c: pool(0)} }

	return map[string]func() loadPolicy{
		"ours":  func() loadPolicy { p := newCollector(); return &p },
		"blind": func() loadPolicy { return &blindPolicy{newCollector()} },
		"equal shares": func() loadPolicy {
			return &equalPolicy{blindPolicy{newCollector()}, map[string]float64{}, map[string]time.Time{}}
		},
	}
}

func (r loadResult) onTimeShare() float64 {
	return float64(r.onTime) / float64(r.asked)
}

func TestLoudWorkspace(t *testing.T) {
	t.Run("the others keep their service, and free capacity goes to the loud one", func(t *testing.T) {
		// One workspace fills the queue. Without shares its jobs take the places of all
		// alike, and everybody is late or refused; with strict ones most of its requests
		// are refused while upstreams are idle.
		c := qt.New(t)
		for _, l := range loudCases {
			ends := map[string]fairEnd{}
			for name, policy := range fairPolicies() {
				ends[name] = l.run(policy(), 1)
			}
			ours, blind, equal := ends["ours"], ends["blind"], ends["equal shares"]
			note := qt.Commentf("%s: ours %+v, blind %+v, equal %+v", l.name, ours, blind, equal)
			c.Check(ours.quiet.onTimeShare() >= 0.97, qt.IsTrue, note)
			c.Check(ours.quiet.onTimeShare() >= blind.quiet.onTimeShare(), qt.IsTrue, note)
			served := func(e fairEnd) int { return e.quiet.onTime + e.quiet.late + e.loud.onTime + e.loud.late }
			c.Check(float64(served(ours)) >= 0.98*float64(served(blind)), qt.IsTrue, note)
			c.Check(served(ours) > served(equal), qt.IsTrue, note)
		}
	})
}

func TestShares(t *testing.T) {
	t.Run("no work within its share waits behind work beyond, and nothing is idle while parts wait", rapid.MakeCheck(func(t *rapid.T) {
		c := pool(0)
		now := start
		var id uint64
		for range rapid.IntRange(20, 120).Draw(t, "jobs") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			id++
			j := newJob(id, rapid.IntRange(1, 4).Draw(t, "parts"))
			j.Since, j.AimAt, j.Deadline = now, now.Add(time.Second), now.Add(time.Hour)
			j.Workspace = workspaceName(rapid.IntRange(1, 4).Draw(t, "workspace"))
			c = c.WithJob(j)
		}
		waiting := c.WaitingJobs()
		next, calls := c.Fill(lane, seats(2), now)
		if len(calls) < min(2, c.Waiting(lane)) {
			t.Fatalf("%d calls while %d parts wait", len(calls), c.Waiting(lane))
		}
		for _, call := range calls {
			for _, taken := range call.Jobs {
				for _, j := range waiting {
					left, _ := next.jobs.Get(j.ID)
					if j.Level < taken.Level && len(left.pending) == left.Parts && next.Late(j, now) == next.Late(taken, now) {
						t.Fatalf("level %d went ahead of level %d", taken.Level, j.Level)
					}
				}
			}
		}
	}))
}

// BenchmarkLoudWorkspace prints how requests end beside one loud workspace.
func BenchmarkLoudWorkspace(b *testing.B) {
	for _, l := range loudCases {
		for _, name := range []string{"ours", "blind", "equal shares"} {
			b.Run(l.name+"/"+name, func(b *testing.B) {
				var end fairEnd
				for b.Loop() {
					end = l.run(fairPolicies()[name](), 1)
				}
				b.ReportMetric(100*end.quiet.onTimeShare(), "%quiet-on-time")
				b.ReportMetric(100*end.quiet.served(), "%quiet-served")
				b.ReportMetric(100*end.loud.onTimeShare(), "%loud-on-time")
				b.ReportMetric(100*end.loud.served(), "%loud-served")
			})
		}
	}
}
