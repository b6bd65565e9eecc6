package chutefleet

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"azurechute.example/azurechute/internal/chutework"
)

// Guards against placement by work in pools whose upstreams report no pace: the sizes of prompts must decide nothing there.
func TestChoiceWithoutPace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, list := New("z1"), map[string]Upstream{}
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := fmt.Sprint("u", rapid.IntRange(0, 11).Draw(t, "id"))
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0, 1:
				f, _ = f.WithListChange(drawListChange(t, list), false, now)
			case 2:
				f = f.WithCallSent(id, int64(rapid.IntRange(0, 40_000).Draw(t, "sent")), now)
			case 3:
				f = f.WithLoad(id, rapid.IntRange(0, 9).Draw(t, "running"), rapid.IntRange(0, 9).Draw(t, "waiting"), now).WithPace(id, 0, now)
			case 4:
				f = f.WithFailure(id, rapid.SampledFrom([]FailureKind{FailureSilent, FailureBroken, FailureFull}).Draw(t, "failure"), now)
			default:
				f = f.WithCallDone(id).WithEventInterval(id, time.Second).WithFirstEvent(id, 1000, 0, time.Second)
			}
		}
		q := Query{
			Pool: "p1", Affinity: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "affinity"),
			Zone: rapid.SampledFrom([]string{"", "z1", "z2"}).Draw(t, "zone"),
		}
		tieBreak := rapid.Float64Range(0, 0.999).Draw(t, "tieBreak")
		want, wantOK := f.Choose(q, now, tieBreak)
		q.Tokens, q.SharedTokens = rapid.Int64Range(0, 40_000).Draw(t, "tokens"), rapid.Int64Range(0, 40_000).Draw(t, "shared")
		q.Pause = time.Duration(rapid.IntRange(0, 800).Draw(t, "pause")) * time.Millisecond
		if got, ok := f.Choose(q, now, tieBreak); got != want || ok != wantOK {
			t.Fatalf("%s is chosen, without the figures of the prompt %s", got.ID, want.ID)
		}
	})
}

// claimShare returns the share of 4,000 calls that the first of eight upstreams gets, relative to an equal one. Each call is
// processed after eight further ones.
func claimShare(f Fleet, claim func(f Fleet) Fleet) float64 {
	rng := rand.New(rand.NewPCG(1, 1))
	const calls, atOnce = 4000, 8
	got, now := 0, start
	var open []string
	for range calls {
		now = now.Add(20 * time.Millisecond)
		f = claim(f)
		u, _ := f.Choose(Query{Pool: "p", Tokens: 1000}, now, rng.Float64())
		f = f.WithCallSent(u.ID, 1000, now)
		if open = append(open, u.ID); len(open) > atOnce {
			f, open = f.WithTokensRead(open[0], 1000).WithCallDone(open[0]), open[1:]
		}
		if u.ID == "u0" {
			got++
		}
	}

	return float64(got) * 8 / calls
}

// maxClaimShare bounds the calls of an upstream that claims to be fast, relative to those that it got otherwise: as many as
// its speed would be at the least pace and at maxSpeed against upstreams at minSpeed.
const maxClaimShare = 3.0

// Guards against an upstream that draws all calls to itself by a false header, or by events at a false rate.
func TestFalseClaims(t *testing.T) {
	usual := func(string) time.Duration { return 20 * time.Millisecond }
	for _, pace := range []int{1, 1_000_000_000} {
		t.Run(fmt.Sprintf("a pace of %d", pace), func(t *testing.T) {
			now := start
			share := claimShare(withSpeeds(workFleet(8), usual), func(f Fleet) Fleet {
				now = now.Add(20 * time.Millisecond)

				return f.WithPace("u0", pace, now)
			})
			t.Logf("%.2f of an equal share", share)
			qt.Assert(t, share <= maxClaimShare, qt.IsTrue, qt.Commentf("%.2f of an equal share", share))
		})
	}

	t.Run("events a microsecond apart", func(t *testing.T) {
		share := claimShare(withSpeeds(workFleet(8), func(id string) time.Duration {
			if id == "u0" {
				return time.Microsecond
			}

			return 20 * time.Millisecond
		}), func(f Fleet) Fleet { return f })
		t.Logf("%.2f of an equal share", share)
		qt.Assert(t, share <= maxClaimShare, qt.IsTrue, qt.Commentf("%.2f of an equal share", share))
	})
}

// Guards against calls that are refused, or that all go to one upstream, when nothing is known any more.
func TestLearnedStateLost(t *testing.T) {
	c := qt.New(t)
	var listed []Upstream
	for m := range workFleet(4).inPool("p", Use{}) {
		listed = append(listed, m.Upstream)
	}
	f := fleetOf(listed...)
	for i := range 20 {
		q := Query{Pool: "p", Affinity: fmt.Sprint(i % 3), Tokens: 9000, SharedTokens: 8000, Pause: 300 * time.Millisecond}
		got, ok := f.ChooseCall(q, start, float64(i)/20)
		want, _ := f.chooseByLoad(q, start, float64(i)/20)
		c.Assert(ok, qt.IsTrue)
		c.Assert(got, qt.Equals, Choice{Upstream: want, Tokens: 9000})
	}
}

// Guards against upstreams of an unreachable zone that are chosen although there are others, in a large pool of which few
// upstreams are available.
func TestUnreachableZone(t *testing.T) {
	c := qt.New(t)
	var listed []Upstream
	for i := range 2 * maxScanned {
		u := upstream(fmt.Sprint("u", i), "z2")
		if i < 2 {
			u.Zone = "z1"
		}
		listed = append(listed, u)
	}
	f := fleetOf(listed...).WithPace("u0", usualPace, start).WithCallSent("u0", 90_000, start).WithCallSent("u1", 90_000, start)
	expectChosen(c, f, Query{Pool: "p", Tokens: 500, Unreachable: []string{"z2"}}, start, "u0", "u1")
}

// benchmarkFleet returns a fleet with n upstreams in three zones that report a pace.
func benchmarkFleet(n int) Fleet {
	var listed []Upstream
	for i := range n {
		listed = append(listed, upstream(fmt.Sprint("upstream-", i), fmt.Sprint("z", 1+i%3)))
	}
	f := fleetOf(listed...)
	for i, u := range listed {
		f = f.WithPace(u.ID, 100+i%50, start)
	}

	return withSpeeds(f, func(string) time.Duration { return 20 * time.Millisecond })
}

// workReports returns reports of the first n upstreams of a benchmark fleet.
func workReports(n int) []chutework.Report {
	var reports []chutework.Report
	for i := range n {
		reports = append(reports, chutework.Report{
			Upstream: fmt.Sprint("upstream-", i), Calls: 2, Tokens: 4000, EventInterval: 20 * time.Millisecond, Samples: 5, Pace: 110, PaceAge: time.Millisecond,
		})
	}

	return reports
}

// chooseOften returns a benchmark of the choice at pools of 10,000 upstreams.
func chooseOften(f Fleet, affinity string) func(b *testing.B) {
	return func(b *testing.B) {
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			i++
			f.ChooseCall(Query{Pool: "p", Affinity: affinity, Tokens: 9000, SharedTokens: 4000, Pause: 300 * time.Millisecond}, start, float64(i%997)/997)
		}
	}
}

func BenchmarkChooseCall(b *testing.B) {
	f := benchmarkFleet(10_000)
	b.Run("no affinity", chooseOften(f, ""))
	b.Run("affinity", chooseOften(f, "prefix"))
	b.Run("small pool", chooseOften(benchmarkFleet(maxScanned), "prefix"))
}

func BenchmarkWithWork(b *testing.B) {
	f, reports := benchmarkFleet(10_000), workReports(chutework.MaxReports)
	b.ReportAllocs()
	for b.Loop() {
		f.WithWork(reports, start)
	}
}

// Guards against prompts that share a part and are spread over the upstreams of a large pool: one that was drawn at random
// was taken for the one that caches the part.
func TestAffinityInLargePool(t *testing.T) {
	c := qt.New(t)
	f := benchmarkFleet(4 * maxScanned)
	for _, affinity := range []string{"a", "b", "c", "d"} {
		chosen := map[string]int{}
		for i := range 50 {
			got, ok := f.ChooseCall(Query{Pool: "p", Affinity: affinity, Tokens: 9000, SharedTokens: 8000}, start, float64(i)/50)
			c.Assert(ok, qt.IsTrue)
			chosen[got.ID]++
		}
		c.Assert(chosen, qt.HasLen, 1, qt.Commentf("affinity %s: %v", affinity, chosen))
	}
}

// maxChoiceBytes bounds what one choice allocates (Requirement 10), maxReportsBytes what a full message of reports does.
const maxChoiceBytes, maxReportsBytes = 2 << 10, 256 << 10

// expectAllocated fails if a function allocates more bytes than the bound on average.
func expectAllocated(t *testing.T, bound uint64, f func(i int)) {
	t.Helper()
	const runs = 500
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range runs {
		f(i)
	}
	runtime.ReadMemStats(&after)
	got := (after.TotalAlloc - before.TotalAlloc) / runs
	t.Logf("%d bytes", got)
	qt.Assert(t, got <= bound, qt.IsTrue, qt.Commentf("%d bytes", got))
}

// Guards against choices and messages that allocate so much that the garbage collector takes the time of a busy node.
func TestAllocatedBytes(t *testing.T) {
	f, reports := benchmarkFleet(10_000), workReports(chutework.MaxReports)
	for _, affinity := range []string{"", "prefix"} {
		t.Run("choice, affinity "+affinity, func(t *testing.T) {
			expectAllocated(t, maxChoiceBytes, func(i int) {
				f.ChooseCall(Query{Pool: "p", Affinity: affinity, Tokens: 9000, SharedTokens: 4000, Pause: 300 * time.Millisecond}, start, float64(i)/500)
			})
		})
	}
	t.Run("reports", func(t *testing.T) {
		expectAllocated(t, maxReportsBytes, func(int) { f.WithWork(reports, start) })
	})
}

// Guards against long answers at slow upstreams, whose streams meet more pauses, while faster ones are as idle.
func TestLongAnswers(t *testing.T) {
	f := fleetOf(upstream("slow", "z1"), upstream("fast", "z1")).WithPace("slow", usualPace, start).WithPace("fast", usualPace, start)
	for range minSpeedSamples {
		f = f.WithEventInterval("slow", 30*time.Millisecond).WithEventInterval("fast", 12*time.Millisecond)
	}
	// The shared part is cached at the slow one for this affinity.
	query := Query{Pool: "p", Tokens: 1000, SharedTokens: 500}
	for i := 0; ; i++ {
		query.Affinity = fmt.Sprint("prompt", i)
		if c, ok := f.ChooseCall(query, start, 0.5); ok && c.ID == "slow" {
			break
		}
	}
	query.Events = 200
	c, _ := f.ChooseCall(query, start, 0.5)
	qt.Assert(t, c.ID, qt.Equals, "fast")
}
