package chutecost

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// newRequest returns a request whose caller expects 400 tokens of answer.
func newRequest(workspace string) Request {
	return Request{Pipeline: "p", Workspace: workspace, PromptTokens: 1000, SharedTokens: 600, MaxOutputTokens: 4000, OutputHint: 400}
}

// withAnswers returns the estimator after a number of equal answers at one time.
func withAnswers(e Estimator, r Request, count, events int, now time.Time) Estimator {
	for range count {
		e = e.WithAnswer(r, events, now)
	}

	return e
}

// expectNear fails unless a number is within a tenth of another.
func expectNear(t *testing.T, got, want float64) {
	t.Helper()
	qt.Assert(t, got > 0.9*want && got < 1.1*want, qt.IsTrue, qt.Commentf("%v in place of %v", got, want))
}

// Guards against estimates after a restart that are worse than the caller's own.
func TestEmptyTables(t *testing.T) {
	t.Run("a hint is used as it is, and may be off by four", func(t *testing.T) {
		estimate := New().Estimate(newRequest("w"), start)
		expectNear(t, estimate.Events, 100)
		expectNear(t, estimate.UpperEvents, 400)
		qt.Assert(t, estimate.Basis, qt.Equals, BasisHint)
	})

	t.Run("without a hint the usual number is expected", func(t *testing.T) {
		estimate := New().Estimate(Request{Pipeline: "p", Workspace: "w"}, start)
		expectNear(t, estimate.Events, usualEvents)
		qt.Assert(t, estimate.Basis, qt.Equals, BasisDefault)
	})

	t.Run("no estimate exceeds the maximum output", func(t *testing.T) {
		r := newRequest("w")
		r.MaxOutputTokens = 410
		qt.Assert(t, New().Estimate(r, start).UpperEvents, qt.Equals, 103.0)
	})

	t.Run("the same numbers come back once all samples have faded", func(t *testing.T) {
		learned := withAnswers(New(), newRequest("w"), 1000, 10, start)
		later := start.Add(24 * time.Hour)
		qt.Assert(t, learned.Estimate(newRequest("w"), later), qt.Equals, New().Estimate(newRequest("w"), later))
	})
}

func TestLearning(t *testing.T) {
	t.Run("a workspace starts from its pipeline, which does not follow one workspace alone", func(t *testing.T) {
		e := withAnswers(New(), newRequest("others"), 100, 50, start)
		estimate := e.Estimate(newRequest("w"), start)
		expectNear(t, estimate.Events, 50)
		qt.Assert(t, estimate.Basis, qt.Equals, BasisPipeline)
		e = withAnswers(e, newRequest("w"), 20, 200, start)
		estimate = e.Estimate(newRequest("w"), start)
		expectNear(t, estimate.Events, 200)
		qt.Assert(t, estimate.Basis, qt.Equals, BasisWorkspace)
		expectNear(t, e.Estimate(newRequest("third"), start).Events, 50)
	})

	t.Run("one pipeline is not learned from another", func(t *testing.T) {
		r := newRequest("w")
		r.Pipeline = "another"
		qt.Assert(t, withAnswers(New(), newRequest("w"), 100, 5, start).Estimate(r, start), qt.Equals, New().Estimate(r, start))
	})

	t.Run("requests without a hint are learned from all", func(t *testing.T) {
		e := withAnswers(New(), newRequest("others"), 100, 30, start)
		expectNear(t, e.Estimate(Request{Pipeline: "p", Workspace: "w"}, start).Events, 30)
	})

	t.Run("a sample counts half after a minute", func(t *testing.T) {
		// Eight old samples weigh as much as two after two minutes, so that three new ones are the median.
		e := withAnswers(New(), newRequest("w"), 80, 50, start)
		now := start.Add(2 * halfLife)
		e = withAnswers(e, newRequest("w"), 30, 200, now)
		expectNear(t, e.Estimate(newRequest("w"), now).Events, 200)
		qt.Assert(t, e.Summary(now).Pipelines[0].Samples, qt.Equals, 50.0)
	})

	t.Run("a clock that goes back changes nothing", func(t *testing.T) {
		e := withAnswers(New(), newRequest("w"), 10, 50, start)
		before := e.Estimate(newRequest("w"), start)
		qt.Assert(t, e.Estimate(newRequest("w"), start.Add(-time.Hour)), qt.Equals, before)
		e = withAnswers(e, newRequest("w"), 10, 50, start.Add(-time.Hour))
		qt.Assert(t, e.Summary(start).Pipelines[0].Samples, qt.Equals, 20.0)
	})

	t.Run("an estimator is not changed by what is learned after it", func(t *testing.T) {
		e := withAnswers(New(), newRequest("w"), 10, 50, start)
		before, counts := e.Estimate(newRequest("w"), start), e.Counts()
		withAnswers(e, newRequest("w"), 1000, 5, start)
		qt.Assert(t, e.Estimate(newRequest("w"), start), qt.Equals, before)
		qt.Assert(t, e.Counts(), qt.Equals, counts)
	})
}

// Guards against one malformed header field, or one absurd answer, that makes an estimate useless or infinite.
func TestInvalidInput(t *testing.T) {
	t.Run("an invalid hint counts as none", func(t *testing.T) {
		for _, hint := range []int64{-1, math.MinInt64, math.MaxInt64, 4001} {
			r := newRequest("w")
			r.OutputHint = hint
			without := r
			without.OutputHint = 0
			qt.Assert(t, New().Estimate(r, start), qt.Equals, New().Estimate(without, start))
		}
	})

	t.Run("shared tokens that are more than the prompt, or negative", func(t *testing.T) {
		r := newRequest("w")
		r.SharedTokens = 1001
		qt.Assert(t, New().Estimate(r, start).UnsharedTokens, qt.Equals, int64(0))
		r.SharedTokens = -1
		qt.Assert(t, New().Estimate(r, start).UnsharedTokens, qt.Equals, int64(1000))
		r.PromptTokens = -1
		qt.Assert(t, New().Estimate(r, start).PromptTokens, qt.Equals, int64(0))
	})

	t.Run("an answer without events is not learned from", func(t *testing.T) {
		qt.Assert(t, New().WithAnswer(newRequest("w"), 0, start).WithAnswer(newRequest("w"), -1, start).Counts(), qt.Equals, Counts{})
	})

	t.Run("whatever is learned, estimates are in order and finite", func(t *testing.T) {
		rapid.Check(t, checkAnyInput)
	})
}

// checkAnyInput learns from arbitrary requests and answers and checks all estimates.
func checkAnyInput(t *rapid.T) {
	tokens := rapid.OneOf(rapid.Int64(), rapid.Int64Range(-1, 1000))
	e, now := New(), start
	for range rapid.IntRange(1, 40).Draw(t, "answers") {
		r := Request{
			Pipeline: rapid.SampledFrom([]string{"", "p", "q"}).Draw(t, "pipeline"), Workspace: rapid.SampledFrom([]string{"", "v", "w"}).Draw(t, "workspace"),
			PromptTokens: tokens.Draw(t, "prompt"), SharedTokens: tokens.Draw(t, "shared"),
			MaxOutputTokens: tokens.Draw(t, "maximum"), OutputHint: tokens.Draw(t, "hint"),
		}
		now = now.Add(time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "time")))
		e = e.WithAnswer(r, rapid.Int().Draw(t, "events"), now)
		got := e.Estimate(r, now)
		if !(got.Events >= 1 && got.Events <= got.UpperEvents) || math.IsInf(got.UpperEvents, 0) {
			t.Fatalf("%+v is expected to have %+v", r, got)
		}
		if got.UnsharedTokens < 0 || got.UnsharedTokens > got.PromptTokens {
			t.Fatalf("%+v is expected to have %+v", r, got)
		}
	}
}

// Guards against tables that grow with the number of workspaces, and against the loss of what is in use.
func TestTableBound(t *testing.T) {
	const workspaces = 37_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	e := New()
	for i := range workspaces {
		now := start.Add(time.Duration(i) * time.Millisecond)
		e = e.WithAnswer(newRequest("in use"), 20, now).WithAnswer(newRequest(fmt.Sprint("w", i)), 200, now)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	counts := e.Counts()
	qt.Assert(t, counts.Keys, qt.Equals, maxKeys)
	// The keys in use are the pipeline's and the workspace's.
	qt.Assert(t, counts.Evicted, qt.Equals, uint64(workspaces+2-maxKeys))
	qt.Assert(t, e.table.byTurn.Len(), qt.Equals, maxKeys)
	now := start.Add(workspaces * time.Millisecond)
	estimate := e.Estimate(newRequest("in use"), now)
	expectNear(t, estimate.Events, 20)
	qt.Assert(t, estimate.Basis, qt.Equals, BasisWorkspace)
	held := int64(after.HeapAlloc) - int64(before.HeapAlloc) //nolint:gosec // far below the limit
	t.Logf("%d keys take %d KB", counts.Keys, held/1000)
	qt.Assert(t, held < 4_000_000, qt.IsTrue)
	runtime.KeepAlive(e)
}

// Guards against the eviction of a workspace that answers seldom, but within the last 3,072 updates.
func TestSeldomUsedKey(t *testing.T) {
	const others = 1500 // each answer updates two keys
	e := New()
	for i := range 10 * others {
		if i%others == 0 {
			e = e.WithAnswer(newRequest("seldom"), 20, start)
		}
		e = e.WithAnswer(newRequest(fmt.Sprint("w", i)), 200, start)
	}
	qt.Assert(t, e.Counts().Evicted > 0, qt.IsTrue)
	expectNear(t, e.Estimate(newRequest("seldom"), start).Events, 20)
}

// Guards against quantiles that are off by more than one bucket.
func TestQuantiles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		factors := rapid.SliceOfN(rapid.Float64Range(0.02, 50), 1, 200).Draw(t, "factors")
		h := histogram{}
		for _, factor := range factors {
			h = h.withSample(factor, start)
		}
		m := mixture{}
		m.add(&h, 1)
		median, upper := m.quantiles()
		expectQuantile(t, factors, medianQuantile, median)
		expectQuantile(t, factors, upperQuantile, upper)
	})
}

// expectQuantile fails unless a share of the factors are below a quantile, give or take one bucket.
func expectQuantile(t *rapid.T, factors []float64, quantile, got float64) {
	bucket := math.Exp2(1.001 / bucketsPerOctave)
	below, notAbove := 0, 0
	for _, factor := range factors {
		if factor < got/bucket {
			below++
		}
		if factor <= got*bucket {
			notAbove++
		}
	}
	rank := quantile * float64(len(factors))
	if float64(below) > rank+0.01 || float64(notAbove) < rank-0.01 {
		t.Fatalf("quantile %v of %v is given as %v", quantile, factors, got)
	}
}
