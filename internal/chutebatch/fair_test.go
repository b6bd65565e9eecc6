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

// These tests simulate one bursting workspace: 19 workspaces, the largest with a fifth
// of the requests, use 81 parts a second of a pool that runs 115; from 12 s to 21 s one of
// them sends many times its usual rate. Before that the collector has 12 s of usual load.

const (
	workspaceCount = 19
	burstStart     = 12 * time.Second
	burstEnd       = 21 * time.Second
	// totalRate is the usual requests a second of all workspaces; each request has 2.5
	// parts on average.
	totalRate = 32.0
)

// burstCase names the bursting workspace by its rank in size, with the factor by which
// it multiplies its usual rate.
type burstCase struct {
	name   string
	rank   int
	factor float64
}

var burstCases = []burstCase{
	{"the largest", 1, 5},
	{"a middle one", 5, 20},
	{"a small one", 15, 40},
}

// workspaceShare returns a workspace's fraction of the usual load.
func workspaceShare(rank int) float64 {
	sum := 0.0
	for i := range workspaceCount {
		sum += 1 / float64(i+1)
	}

	return 1 / float64(rank) / sum
}

func workspaceName(rank int) string {
	return fmt.Sprint("w", rank)
}

// arrivals returns random requests of all workspaces.
func (l burstCase) arrivals(seed uint64) []loadRequest {
	random := rand.New(rand.NewPCG(seed, 3)) //nolint:gosec // repeatable load
	var all []loadRequest
	for rank := 1; rank <= workspaceCount; rank++ {
		for at := time.Duration(0); at < loadLength; {
			perSecond := totalRate * workspaceShare(rank)
			if rank == l.rank && at >= burstStart && at < burstEnd {
				perSecond *= l.factor
			}
			at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
			t := start.Add(at)
			all = append(all, loadRequest{
				parts: 1 + random.IntN(4), arrivesAt: t, targetAt: t.Add(loadTarget), deadline: t.Add(loadDeadline), attempts: 1, workspace: workspaceName(rank),
			})
		}
	}
	slices.SortStableFunc(all, func(a, b loadRequest) int { return a.arrivesAt.Compare(b.arrivesAt) })
	for i := range all {
		all[i].id = uint64(i + 1) //nolint:gosec // small
	}

	return all
}

// noSharesPolicy is the collector without shares: all requests have the same workspace.
type noSharesPolicy struct {
	collectorPolicy
}

func (p *noSharesPolicy) admit(r loadRequest, now time.Time, upstreams int) bool {
	r.workspace = ""

	return p.collectorPolicy.admit(r, now, upstreams)
}

// equalSharesPolicy admits at most an equal share of the full rate for each workspace,
// and uses the collector for the rest.
type equalSharesPolicy struct {
	noSharesPolicy

	usedParts map[string]float64
	updatedAt map[string]time.Time
}

func (p *equalSharesPolicy) admit(r loadRequest, now time.Time, upstreams int) bool {
	const perSecond, burst = 115.0 / workspaceCount, 12.0
	used := max(0, p.usedParts[r.workspace]-perSecond*now.Sub(p.updatedAt[r.workspace]).Seconds())
	p.updatedAt[r.workspace] = now
	if used+float64(r.parts) > burst {
		p.usedParts[r.workspace] = used

		return false
	}
	p.usedParts[r.workspace] = used + float64(r.parts)

	return p.noSharesPolicy.admit(r, now, upstreams)
}

// burstResult counts the requests of the bursting workspace and those of all others.
type burstResult struct {
	others, bursting loadResult
}

func (l burstCase) run(p loadPolicy, seed uint64) burstResult {
	r := newLoadRun(loadCase{name: l.name, burstFactor: 1}, p, l.arrivals(seed))
	r.simulate()
	var result burstResult
	for name, counts := range r.byWorkspace {
		to := &result.others
		if name == workspaceName(l.rank) {
			to = &result.bursting
		}
		to.total += counts.total
		to.onTime += counts.onTime
		to.late += counts.late
	}

	return result
}

func fairPolicies() map[string]func() loadPolicy {
	newPolicy := func() collectorPolicy { return collectorPolicy{c: newCollector(0)} }

	return map[string]func() loadPolicy{
		"ours":  func() loadPolicy { p := newPolicy(); return &p },
		"blind": func() loadPolicy { return &noSharesPolicy{newPolicy()} },
		"equal shares": func() loadPolicy {
			return &equalSharesPolicy{noSharesPolicy{newPolicy()}, map[string]float64{}, map[string]time.Time{}}
		},
	}
}

func (r loadResult) onTimeShare() float64 {
	return float64(r.onTime) / float64(r.total)
}

func TestLoudWorkspace(t *testing.T) {
	t.Run("other workspaces are served as before, and the bursting one gets the free capacity", func(t *testing.T) {
		// One workspace fills the queue. Without shares its jobs delay those of all
		// workspaces, and requests of all are late or refused; with strict shares most of
		// its requests are refused while upstreams are idle.
		c := qt.New(t)
		for _, l := range burstCases {
			results := map[string]burstResult{}
			for name, policy := range fairPolicies() {
				results[name] = l.run(policy(), 1)
			}
			ours, noShares, equal := results["ours"], results["blind"], results["equal shares"]
			note := qt.Commentf("%s: ours %+v, blind %+v, equal %+v", l.name, ours, noShares, equal)
			c.Check(ours.others.onTimeShare() >= 0.97, qt.IsTrue, note)
			c.Check(ours.others.onTimeShare() >= noShares.others.onTimeShare(), qt.IsTrue, note)
			served := func(e burstResult) int { return e.others.onTime + e.others.late + e.bursting.onTime + e.bursting.late }
			c.Check(float64(served(ours)) >= 0.98*float64(served(noShares)), qt.IsTrue, note)
			c.Check(served(ours) > served(equal), qt.IsTrue, note)
		}
	})
}

func TestShares(t *testing.T) {
	t.Run("no job within its share waits behind one beyond its share, and no slot is free while parts wait", rapid.MakeCheck(func(t *rapid.T) {
		c := newCollector(0)
		now := start
		var id uint64
		for range rapid.IntRange(20, 120).Draw(t, "jobs") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			id++
			j := newJob(id, rapid.IntRange(1, 4).Draw(t, "parts"))
			j.QueuedAt, j.TargetAt, j.Deadline = now, now.Add(time.Second), now.Add(time.Hour)
			j.Workspace = workspaceName(rapid.IntRange(1, 4).Draw(t, "workspace"))
			c = c.WithJob(j)
		}
		waiting := c.WaitingJobs()
		next, calls := c.FillSlots(lane, testCandidates(2), now)
		if len(calls) < min(2, c.WaitingParts(lane)) {
			t.Fatalf("%d calls while %d parts wait", len(calls), c.WaitingParts(lane))
		}
		for _, call := range calls {
			for _, taken := range call.Jobs {
				for _, j := range waiting {
					left, _ := next.jobs.Get(j.ID)
					if j.Level < taken.Level && len(left.pending) == left.Parts && next.IsLate(j, now) == next.IsLate(taken, now) {
						t.Fatalf("level %d went ahead of level %d", taken.Level, j.Level)
					}
				}
			}
		}
	}))
}

// BenchmarkLoudWorkspace reports how requests end while one workspace bursts.
func BenchmarkLoudWorkspace(b *testing.B) {
	for _, l := range burstCases {
		for _, name := range []string{"ours", "blind", "equal shares"} {
			b.Run(l.name+"/"+name, func(b *testing.B) {
				var result burstResult
				for b.Loop() {
					result = l.run(fairPolicies()[name](), 1)
				}
				b.ReportMetric(100*result.others.onTimeShare(), "%quiet-on-time")
				b.ReportMetric(100*result.others.servedShare(), "%quiet-served")
				b.ReportMetric(100*result.bursting.onTimeShare(), "%loud-on-time")
				b.ReportMetric(100*result.bursting.servedShare(), "%loud-served")
			})
		}
	}
}
