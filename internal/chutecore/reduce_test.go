package chutecore

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/internal/chuterollout"
	"azurechute.example/azurechute/internal/chuterouting"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

var testStart = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// driver applies events to a state and keeps the effects of the last one.
type driver struct {
	state   State
	now     time.Time
	effects []Effect
}

func newDriver(tb testing.TB, upstreams int, change func(cfg *chuteconfig.Config)) *driver {
	tb.Helper()
	d := &driver{now: testStart, state: NewState(Identity{Node: "entry-1", Zone: "a", Incarnation: "i"}, 7, testStart)}
	cfg := testConfig()
	if change != nil {
		change(&cfg)
	}
	d.adoptConfig(tb, 1, cfg)
	d.listUpstreams(upstreams, false)

	return d
}

func testConfig() chuteconfig.Config {
	pool := func(kind chuteconfig.PoolKind) chuteconfig.Pool {
		return chuteconfig.Pool{Kind: kind, Slots: 4, UnitPrice: 1, Typical: chuteconfig.Duration(10 * time.Millisecond)}
	}
	cfg := chuteconfig.Config{
		Site:       "site",
		Teams:      map[string]chuteconfig.Team{"team": {Weight: 1}},
		Workspaces: map[string]chuteconfig.Workspace{"w": {Team: "team", Weight: 1}},
		Pools: map[string]chuteconfig.Pool{
			"encoder": pool(chuteconfig.PoolEncoder), "model": pool(chuteconfig.PoolEngine), "forum": pool(chuteconfig.PoolService),
		},
		Models: map[string]chuteconfig.Model{"general": {}},
		Pipelines: map[string]chuteconfig.Pipeline{
			"digest": {Team: "team", Stages: []chuteconfig.Stage{
				{Name: "encode", Pool: "encoder"}, {Name: "generate", Pool: "model", Model: "general", MaxTokens: 10},
			}},
			"post": {Team: "team", Stages: []chuteconfig.Stage{{Name: "post", Pool: "forum", Unrepeatable: true}}},
		},
	}

	return chuteconfig.WithDefaults(cfg)
}

func (d *driver) stamp() Stamp { return Stamp{At: d.now} }

func (d *driver) reduce(e Event) { d.state, d.effects = Reduce(d.state, e) }

func (d *driver) adoptConfig(tb testing.TB, version uint64, cfg chuteconfig.Config) {
	tb.Helper()
	id := chuterollout.ID{Version: version, Digest: fmt.Sprint("digest-", version)}
	d.reduce(HeadRead{Stamp: d.stamp(), Read: chuterollout.HeadRead{ID: id, Object: "o", Started: d.now, At: d.now}})
	fetch, ok := findEffect[FetchConfig](d.effects)
	if !ok {
		tb.Fatal("HeadRead of a new version emitted no FetchConfig effect")
	}
	d.reduce(BodyFetched{Stamp: d.stamp(), Fetch: fetch.Fetch, Digest: id.Digest, Config: cfg})
}

func (d *driver) listUpstreams(n int, leaving bool) {
	var listed []chuterouting.ListedUpstream
	for _, pool := range []string{"encoder", "forum", "model"} {
		for i := range n {
			name := fmt.Sprintf("%s-%d", pool, i)
			listed = append(listed, chuterouting.ListedUpstream{
				Name: name, Address: name, Zone: "a", Pool: pool, Incarnation: "1", Leaving: leaving,
			})
		}
	}
	d.reduce(UpstreamsListed{Stamp: d.stamp(), Upstreams: listed})
}

func (d *driver) sendRequest(handle uint64, pipeline string) {
	d.reduce(RequestArrived{
		Stamp: d.stamp(), Handle: handle, Key: chuterequest.Key{Workspace: "w", RequestID: fmt.Sprint(handle)},
		Pipeline: pipeline, Deadline: d.now.Add(5 * time.Second),
	})
}

func (d *driver) failAttempt(dispatch Dispatch, f chuterequest.Failure, offset int) {
	d.reduce(AttemptFailed{
		Stamp: d.stamp(), Handle: dispatch.Handle, Attempt: dispatch.Attempt, Upstream: dispatch.Upstream,
		Work: dispatch.Work, Failure: f, Offset: offset,
	})
}

func (d *driver) finishAttempt(dispatch Dispatch) {
	d.reduce(AttemptFinished{
		Stamp: d.stamp(), Handle: dispatch.Handle, Attempt: dispatch.Attempt, Upstream: dispatch.Upstream,
		Work: dispatch.Work, Took: 10 * time.Millisecond, Usage: chuterequest.Usage{Units: 3},
		Load: chuterequest.Load{Incarnation: "1", Slots: 4},
	})
}

// findEffect returns the first effect of a type.
func findEffect[E Effect](effects []Effect) (E, bool) {
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			return e, true
		}
	}
	var none E

	return none, false
}

func expectEffect[E Effect](t *testing.T, d *driver) E {
	t.Helper()
	e, ok := findEffect[E](d.effects)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("effects: %+v", d.effects))

	return e
}

func expectNone[E Effect](t *testing.T, d *driver) {
	t.Helper()
	_, ok := findEffect[E](d.effects)
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("effects: %+v", d.effects))
}

func expectOutcome(t *testing.T, d *driver, kind chuterequest.OutcomeKind) chuterequest.Outcome {
	t.Helper()
	answer := expectEffect[Answer](t, d)
	qt.Assert(t, answer.Outcome.Kind, qt.Equals, kind)

	return answer.Outcome
}

func TestStagesRunInOrder(t *testing.T) {
	d := newDriver(t, 2, nil)
	d.sendRequest(1, "digest")
	first := expectEffect[Dispatch](t, d)
	qt.Assert(t, first.Stage.Name, qt.Equals, "encode")
	d.finishAttempt(first)
	second := expectEffect[Dispatch](t, d)
	qt.Assert(t, second.Stage.Name, qt.Equals, "generate")
	qt.Assert(t, second.ContextAttempt, qt.Equals, first.Attempt)
	d.finishAttempt(second)
	qt.Assert(t, expectEffect[Answer](t, d).Result, qt.Equals, second.Attempt)
	qt.Assert(t, d.state.InFlight(), qt.Equals, 0)
}

// A stream breaks after 4 tokens. The stage is dispatched to another upstream with
// Resume, so that the caller sees the text continue. The retry budget does not
// apply, since ending the request would waste the tokens that were paid for.
func TestBrokenStreamIsResumedElsewhere(t *testing.T) {
	d := newDriver(t, 2, func(cfg *chuteconfig.Config) { cfg.Policy.RetryBudget = 0 })
	d.sendRequest(1, "digest")
	d.finishAttempt(expectEffect[Dispatch](t, d))
	broken := expectEffect[Dispatch](t, d)
	d.failAttempt(broken, chuterequest.Failure{Kind: chuterequest.FailureBroken}, 4)
	resumed := expectEffect[Dispatch](t, d)
	qt.Assert(t, resumed.Resume, qt.IsTrue)
	qt.Assert(t, resumed.Upstream, qt.Not(qt.Equals), broken.Upstream)
}

// A post was dispatched and its connection broke. The outcome is Unknown at once:
// the call may have run, and a second dispatch could post twice.
func TestBrokenUnrepeatableIsUnknown(t *testing.T) {
	d := newDriver(t, 2, nil)
	d.sendRequest(1, "post")
	expectNone[Dispatch](t, d)
	expectEffect[TakeClaim](t, d)
	d.reduce(ClaimTaken{Stamp: d.stamp(), Handle: 1})
	d.failAttempt(expectEffect[Dispatch](t, d), chuterequest.Failure{Kind: chuterequest.FailureBroken}, 0)
	expectOutcome(t, d, chuterequest.OutcomeUnknown)
	expectNone[Dispatch](t, d)
	expectEffect[FinishClaim](t, d)
}

// The upstream did not take the post, so nothing was posted: it is dispatched to
// another upstream under the same claim.
func TestRefusedUnrepeatableGoesElsewhere(t *testing.T) {
	d := newDriver(t, 2, func(cfg *chuteconfig.Config) { cfg.Policy.RetryBudget = 1 })
	d.sendRequest(1, "post")
	d.reduce(ClaimTaken{Stamp: d.stamp(), Handle: 1})
	d.failAttempt(expectEffect[Dispatch](t, d), chuterequest.Failure{Kind: chuterequest.FailureUnreachable, NotTaken: true}, 0)
	expectEffect[Dispatch](t, d)
}

// The deadline passes before the table answers. The outcome is Unknown, since the
// table has not confirmed that no earlier submission ran. A claim that is taken later
// is given up and never used: the caller may have published again meanwhile.
func TestLateClaimIsGivenUp(t *testing.T) {
	d := newDriver(t, 2, nil)
	d.sendRequest(1, "post")
	d.reduce(DeadlinePassed{Stamp: d.stamp(), Handle: 1})
	expectOutcome(t, d, chuterequest.OutcomeUnknown)
	d.reduce(ClaimTaken{Stamp: d.stamp(), Handle: 1})
	expectNone[Dispatch](t, d)
	expectEffect[GiveUpClaim](t, d)
}

// A post was answered at another node, and the balancer sends it again to a node
// that is full. NotRun would be false, so the stored answer is returned. The
// refusal is returned only if the table shows that the key never ran.
func TestRefusalLooksUpClaim(t *testing.T) {
	newFullNode := func(t *testing.T) *driver {
		t.Helper()
		d := newDriver(t, 2, func(cfg *chuteconfig.Config) { cfg.Limits.MaxInFlight = 0 })
		d.state.config.Limits.MaxInFlight = 0
		d.sendRequest(1, "post")
		expectEffect[LookUpClaim](t, d)
		expectNone[Answer](t, d)

		return d
	}
	t.Run("it ran", func(t *testing.T) {
		d := newFullNode(t)
		d.reduce(ClaimSettled{Stamp: d.stamp(), Handle: 1, Outcome: chuterequest.Outcome{Kind: chuterequest.OutcomeAnswered}})
		qt.Assert(t, expectEffect[Answer](t, d).Stored, qt.IsTrue)
	})
	t.Run("it is running", func(t *testing.T) {
		d := newFullNode(t)
		d.reduce(ClaimHeld{Stamp: d.stamp(), Handle: 1})
		expectNone[Answer](t, d)
		d.reduce(DeadlinePassed{Stamp: d.stamp(), Handle: 1})
		expectOutcome(t, d, chuterequest.OutcomeUnknown)
	})
	t.Run("it never ran", func(t *testing.T) {
		d := newFullNode(t)
		d.reduce(ClaimAbsent{Stamp: d.stamp(), Handle: 1})
		qt.Assert(t, expectOutcome(t, d, chuterequest.OutcomeNotRun).Overloaded, qt.IsTrue)
		expectNone[GiveUpClaim](t, d)
	})
}

// The table is down. The outcome of a post that no other node knows of is NotRun.
// If a dead node may have run the post just before, it is Unknown, since NotRun
// would lead the caller to publish a second time.
func TestClaimFailureOutcome(t *testing.T) {
	for noOtherSubmission, kind := range map[bool]chuterequest.OutcomeKind{
		true: chuterequest.OutcomeNotRun, false: chuterequest.OutcomeUnknown,
	} {
		d := newDriver(t, 2, nil)
		d.sendRequest(1, "post")
		d.reduce(ClaimFailed{Stamp: d.stamp(), Handle: 1, NoOtherSubmission: noOtherSubmission})
		qt.Assert(t, expectOutcome(t, d, kind).RetryAfter > 0, qt.IsTrue)
		expectNone[Dispatch](t, d)
	}
}

func TestOutcomeWithoutResult(t *testing.T) {
	t.Run("nothing handed over", func(t *testing.T) {
		d := newDriver(t, 0, nil)
		d.sendRequest(1, "digest")
		outcome := expectOutcome(t, d, chuterequest.OutcomeNotRun)
		qt.Assert(t, outcome.RetryAfter > 0, qt.IsTrue)
	})
	t.Run("part of it ran", func(t *testing.T) {
		d := newDriver(t, 1, nil)
		d.sendRequest(1, "digest")
		d.failAttempt(expectEffect[Dispatch](t, d), chuterequest.Failure{Kind: chuterequest.FailureErrored}, 0)
		outcome := expectOutcome(t, d, chuterequest.OutcomeFailed)
		qt.Assert(t, outcome.SafeToRepeat, qt.IsTrue)
	})
	t.Run("an unrepeatable call is running", func(t *testing.T) {
		d := newDriver(t, 1, nil)
		d.sendRequest(1, "post")
		d.reduce(ClaimTaken{Stamp: d.stamp(), Handle: 1})
		d.reduce(DeadlinePassed{Stamp: d.stamp(), Handle: 1})
		expectOutcome(t, d, chuterequest.OutcomeUnknown)
		expectNone[CancelAttempt](t, d)
	})
	t.Run("refused by all", func(t *testing.T) {
		d := newDriver(t, 1, nil)
		d.sendRequest(1, "digest")
		d.failAttempt(expectEffect[Dispatch](t, d), chuterequest.Failure{Kind: chuterequest.FailureRefused, NotTaken: true}, 0)
		expectOutcome(t, d, chuterequest.OutcomeNotRun)
	})
	t.Run("another submission holds the claim", func(t *testing.T) {
		d := newDriver(t, 1, nil)
		d.sendRequest(1, "post")
		d.reduce(ClaimHeld{Stamp: d.stamp(), Handle: 1})
		d.reduce(DeadlinePassed{Stamp: d.stamp(), Handle: 1})
		expectOutcome(t, d, chuterequest.OutcomeUnknown)
	})
}

// The connections to both encoders stall. After one stall at each encoder the stage
// is dispatched a third time, to an encoder that failed before, since a new
// connection may work. A third stall ends the request.
func TestStalledUpstreamsAreRetried(t *testing.T) {
	d := newDriver(t, 2, func(cfg *chuteconfig.Config) { cfg.Policy.RetryBudget = 1 })
	d.sendRequest(1, "digest")
	for range 2 {
		d.failAttempt(expectEffect[Dispatch](t, d), chuterequest.Failure{Kind: chuterequest.FailureStalled}, 0)
	}
	third := expectEffect[Dispatch](t, d)
	qt.Assert(t, third.Stage.Name, qt.Equals, "encode")
	d.failAttempt(third, chuterequest.Failure{Kind: chuterequest.FailureStalled}, 0)
	expectOutcome(t, d, chuterequest.OutcomeFailed)
}

func TestLeavingUpstreamGetsNoWork(t *testing.T) {
	d := newDriver(t, 1, nil)
	d.reduce(LoadReported{
		Stamp: d.stamp(), Upstream: "encoder-0", Load: chuterequest.Load{Incarnation: "1", Slots: 4, Leaving: true},
	})
	d.listUpstreams(1, false)
	d.sendRequest(1, "digest")
	expectOutcome(t, d, chuterequest.OutcomeNotRun)
}

// BenchmarkRequest applies the events of one request with two stages.
func BenchmarkRequest(b *testing.B) {
	for _, upstreams := range []int{3, 30, 200} {
		b.Run(fmt.Sprint("upstreams=", 3*upstreams), func(b *testing.B) {
			d := newDriver(b, upstreams, nil)
			b.ReportAllocs()
			events := 0
			for i := range b.N {
				d.now = d.now.Add(time.Millisecond)
				d.sendRequest(uint64(i+1), "digest")
				events++
				for {
					dispatch, ok := findEffect[Dispatch](d.effects)
					if !ok {
						break
					}
					d.finishAttempt(dispatch)
					events++
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(events), "µs/event")
		})
	}
}

// Two pipelines use the same stage name; one generates for 4 s, the other for
// 0.1 s. Requests of the short one must not be refused for the long one's service
// time. Of the long one's requests with a deadline of 1 s nearly all are refused,
// but a few are admitted as probes: otherwise one slow period would cause them to
// be refused forever.
func TestServiceTimesAreLearnedByPipeline(t *testing.T) {
	d := newDriver(t, 2, func(cfg *chuteconfig.Config) {
		stages := []chuteconfig.Stage{{Name: "generate", Pool: "model", Model: "general"}}
		cfg.Pipelines["long"] = chuteconfig.Pipeline{Team: "team", Stages: stages}
		cfg.Pipelines["short"] = chuteconfig.Pipeline{Team: "team", Stages: stages}
	})
	for i := range 20 {
		d.sendRequest(uint64(i+1), "long")
		dispatch := expectEffect[Dispatch](t, d)
		d.reduce(AttemptFinished{
			Stamp: d.stamp(), Handle: dispatch.Handle, Attempt: dispatch.Attempt, Upstream: dispatch.Upstream, Work: dispatch.Work,
			Took: 4 * time.Second, Usage: chuterequest.Usage{Units: 400}, Load: chuterequest.Load{Incarnation: "1", Slots: 400},
		})
	}
	isDispatched := func(handle uint64, pipeline string) bool {
		d.reduce(RequestArrived{
			Stamp: d.stamp(), Handle: handle, Key: chuterequest.Key{Workspace: "w", RequestID: fmt.Sprint(handle)},
			Pipeline: pipeline, Deadline: d.now.Add(time.Second),
		})
		_, dispatched := findEffect[Dispatch](d.effects)

		return dispatched
	}
	qt.Assert(t, isDispatched(100, "short"), qt.IsTrue)
	admitted := 0
	for i := range 160 {
		if isDispatched(uint64(1000+i), "long") {
			admitted++
		}
	}
	qt.Assert(t, admitted > 0, qt.IsTrue)
	qt.Assert(t, admitted < 40, qt.IsTrue)
}
