package chutenode

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chuteclaim"
	"azurechute.example/azurechute/internal/chutecore"
	"azurechute.example/azurechute/internal/chuteledger"
	"azurechute.example/azurechute/internal/chuteprompt"
	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/internal/chutesettings"
	"azurechute.example/azurechute/internal/chutestandin"
	"azurechute.example/azurechute/internal/chutestore"
	"azurechute.example/azurechute/internal/chutetable"
	"azurechute.example/azurechute/internal/chuteupstream"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

const (
	testZone  = "zone-1"
	testModel = "general"
)

// site is one node with stand-ins in the same process.
type site struct {
	node   *Node
	engine *chutestandin.Engine
	forum  *chutestandin.Service
}

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)

	return server.URL
}

// twoGenerations is a pipeline in which an engine's text is the context of another engine stage.
func twoGenerations() chuteconfig.Config {
	stage := func(name string, tokens int) chuteconfig.Stage {
		return chuteconfig.Stage{Name: name, Pool: "model", Model: testModel, MaxTokens: tokens}
	}

	return chuteconfig.WithDefaults(chuteconfig.Config{
		Site:       "site",
		Zones:      map[string]chuteconfig.Zone{testZone: {Region: "region"}},
		Teams:      map[string]chuteconfig.Team{"team": {Weight: 1}},
		Workspaces: map[string]chuteconfig.Workspace{"w": {Team: "team", Weight: 1, TokenDigests: []string{chuteconfig.TokenDigest("t")}}},
		Models:     map[string]chuteconfig.Model{testModel: {Version: "1"}},
		Pools: map[string]chuteconfig.Pool{
			"model": {Kind: chuteconfig.PoolEngine, Slots: 4, UnitPrice: 1, Typical: chuteconfig.Duration(10 * time.Millisecond)},
			"forum": {Kind: chuteconfig.PoolService, Slots: 4, UnitPrice: 1, Typical: chuteconfig.Duration(10 * time.Millisecond)},
		},
		Pipelines: map[string]chuteconfig.Pipeline{
			"twice": {
				Team: "team", Deadline: chuteconfig.Duration(30 * time.Second),
				Stages: []chuteconfig.Stage{stage("draft", 20), stage("final", 30)},
			},
			"post": {
				Team: "team", Deadline: chuteconfig.Duration(30 * time.Second),
				Stages: []chuteconfig.Stage{{Name: "post", Pool: "forum", Unrepeatable: true}},
			},
		},
		Placements: map[string]chuteconfig.Placement{"model": {
			Zone: testZone, Pool: "model", Model: testModel, Role: chuteconfig.RoleMixed, Replicas: 1,
		}},
	})
}

// newSite starts the stand-ins, publishes the configuration and waits until the node has adopted it.
func newSite(t *testing.T, cfg chuteconfig.Config) site {
	t.Helper()

	return newSiteWith(t, cfg, clockwork.NewRealClock(), func(*Node) {})
}

// newSiteWith is newSite with the node's clock, and with a function that is called before the node starts.
func newSiteWith(t *testing.T, cfg chuteconfig.Config, clock clockwork.Clock, prepare func(*Node)) site {
	t.Helper()
	engine := chutestandin.NewEngine(chutestandin.EngineSettings{
		UpstreamSettings: chutestandin.UpstreamSettings{Slots: 4}, CacheBlocks: 16, Model: testModel, Version: "1", Role: "Mixed",
	})
	forum := chutestandin.NewService(chutestandin.ServiceSettings{
		UpstreamSettings: chutestandin.UpstreamSettings{Slots: 4}, Kind: chuteconfig.PoolService,
	})
	listed := func(name, pool, url, incarnation string) chutestandin.VM {
		return chutestandin.VM{
			Name: name, Address: strings.TrimPrefix(url, "http://"), Zone: testZone, Kind: "Upstream",
			Pool: pool, State: "Live", Incarnation: incarnation,
		}
	}
	settings := chutesettings.Settings{
		NodeName: "entry-1", Site: "site", Zone: testZone, Region: "region", Seed: 1,
		TableURL:   serve(t, chutestandin.NewTable(chutestandin.TableSettings{})),
		ObjectsURL: serve(t, chutestandin.NewObjects(chutestandin.ObjectsSettings{})),
		VMsURL: serve(t, chutestandin.NewVMs(
			chutestandin.VMsSettings{},
			listed("engine-1", "model", serve(t, engine), engine.Incarnation()),
			listed("forum-1", "forum", serve(t, forum), forum.Incarnation()),
		)),
	}
	node := New(settings, clock, zerolog.Nop())
	prepare(node)
	store := chutestore.New(chutestore.NewPlatform(node.platform), node.clock)
	_, err := store.Publish(t.Context(), chuteconfig.Set{Sites: map[string]chuteconfig.Config{"site": cfg}}, 0, "test")
	qt.Assert(t, err, qt.IsNil)
	node.start()
	t.Cleanup(func() {
		node.stop()
		node.background.Wait()
	})
	for node.Ready() != nil {
		time.Sleep(5 * time.Millisecond)
	}

	return site{node: node, engine: engine, forum: forum}
}

// submit sends one request until the node knows an engine for it, and returns the answer and the streamed text.
func (s site) submit(t *testing.T, input json.RawMessage) (chuterequest.Answer, string) {
	t.Helper()
	for {
		var streamed strings.Builder
		answer := s.node.Submit(t.Context(), chuterequest.Submission{
			Key: chuterequest.Key{Workspace: "w", RequestID: "r"}, Team: "team", Pipeline: "twice",
			Deadline: time.Now().Add(30 * time.Second), Input: input,
		}, func(_ int, text string) { streamed.WriteString(text) })
		if answer.Outcome.Kind != chuterequest.OutcomeNotRun {
			return answer, streamed.String()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// The first of two engine stages streams its text to the node. The caller must
// see only the last stage's text: a draft in front of it would be a wrong answer
// whose digest does not fit.
func TestCallerIsStreamedOnlyTheLastStage(t *testing.T) {
	s := newSite(t, twoGenerations())
	input := json.RawMessage(`{"Text":"hello"}`)
	answer, streamed := s.submit(t, input)
	qt.Assert(t, answer.Outcome.Kind, qt.Equals, chuterequest.OutcomeAnswered)
	draft, err := json.Marshal(chutestandin.ExpectedText(chuteprompt.Prompt(input, nil), 20))
	qt.Assert(t, err, qt.IsNil)
	want := chutestandin.ExpectedText(chuteprompt.Prompt(input, draft), 30)
	qt.Assert(t, streamed, qt.Equals, want)
	qt.Assert(t, answer.Digest, qt.Equals, chuteprompt.Digest(want))
}

// The only engine's stream breaks after six tokens. While attempts are left it
// goes on there over a new connection and the caller's text is whole; when they
// are used up, the caller has a part of it and must hear that it is not whole.
func TestBrokenStreamAtTheOnlyEngine(t *testing.T) {
	cfg := twoGenerations()
	s := newSite(t, cfg)
	input := json.RawMessage(`{"Text":"hello"}`)
	_, whole := s.submit(t, input)
	breakStreams := func(count int) {
		err := s.engine.SetFaults(chutestandin.Faults{Rules: []chutestandin.Fault{
			{Kind: chutestandin.FaultBreak, Stage: "final", Count: count, Offset: 6},
		}})
		qt.Assert(t, err, qt.IsNil)
	}
	breakStreams(1)
	answer, streamed := s.submit(t, input)
	qt.Assert(t, answer.Outcome.Kind, qt.Equals, chuterequest.OutcomeAnswered)
	qt.Assert(t, streamed, qt.Equals, whole)
	breakStreams(cfg.Policy.MaxAttempts)
	answer, streamed = s.submit(t, input)
	qt.Assert(t, answer.Outcome.Kind, qt.Equals, chuterequest.OutcomeFailed)
	qt.Assert(t, answer.Outcome.SafeToRepeat, qt.IsTrue)
	qt.Assert(t, strings.HasPrefix(whole, streamed), qt.IsTrue)
	qt.Assert(t, len(streamed) < len(whole), qt.IsTrue)
}

// A post runs, but its answer comes after the deadline. The caller hears Unknown
// then, and the whole answer when it asks again with the same RequestID.
func TestLateAnswerIsKeptForTheNextQuestion(t *testing.T) {
	s := newSite(t, twoGenerations())
	err := s.forum.SetFaults(chutestandin.Faults{Rules: []chutestandin.Fault{{Kind: chutestandin.FaultLate, Delay: chuteconfig.Duration(time.Second)}}})
	qt.Assert(t, err, qt.IsNil)
	key := chuterequest.Key{Workspace: "w", RequestID: "late"}
	outcome := chuterequest.OutcomeNotRun
	for outcome == chuterequest.OutcomeNotRun {
		outcome = s.node.Submit(t.Context(), chuterequest.Submission{
			Key: key, Team: "team", Pipeline: "post", Deadline: time.Now().Add(400 * time.Millisecond), Input: json.RawMessage(`{}`),
		}, nil).Outcome.Kind
	}
	qt.Assert(t, outcome, qt.Equals, chuterequest.OutcomeUnknown)
	for outcome == chuterequest.OutcomeUnknown {
		answer, known, err := s.node.Status(t.Context(), key)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, known, qt.IsTrue)
		outcome = answer.Outcome.Kind
		time.Sleep(5 * time.Millisecond)
	}
	qt.Assert(t, outcome, qt.Equals, chuterequest.OutcomeAnswered)
}

// timerClock calls onTimer before each AfterFunc.
type timerClock struct {
	clockwork.Clock

	onTimer func(after time.Duration)
}

func (c *timerClock) AfterFunc(after time.Duration, f func()) clockwork.Timer {
	c.onTimer(after)

	return c.Clock.AfterFunc(after, f)
}

// An attempt is given up, and its usage arrives before the goroutine that gave it up has gone on, as happens on a
// busy machine. A node that did not know yet what the attempt was for would charge the work to nobody: the sums in
// the table would stay below what the upstreams ran.
func TestLateUsageIsChargedHoweverEarly(t *testing.T) {
	// How long an abandoned exchange may go on; no other timer of this test has this duration.
	const lateWait = 7 * time.Second
	reported := make(chan struct{})
	clock := &timerClock{Clock: clockwork.NewRealClock(), onTimer: func(after time.Duration) {
		if after == lateWait {
			<-reported
		}
	}}
	s := newSiteWith(t, twoGenerations(), clock, func(n *Node) {
		n.upstreams.LateWait = lateWait
		report := n.upstreams.OnLateUsage
		n.upstreams.OnLateUsage = func(attempt chuterequest.AttemptID, usage chuterequest.Usage) {
			report(attempt, usage)
			close(reported)
		}
	})
	err := s.forum.SetFaults(chutestandin.Faults{Rules: []chutestandin.Fault{{Kind: chutestandin.FaultLate, Delay: chuteconfig.Duration(time.Second)}}})
	qt.Assert(t, err, qt.IsNil)
	outcome := chuterequest.OutcomeNotRun
	for outcome == chuterequest.OutcomeNotRun {
		outcome = s.node.Submit(t.Context(), chuterequest.Submission{
			Key: chuterequest.Key{Workspace: "w", RequestID: "late"}, Team: "team", Pipeline: "post",
			Deadline: time.Now().Add(400 * time.Millisecond), Input: json.RawMessage(`{}`),
		}, nil).Outcome.Kind
	}
	qt.Assert(t, outcome, qt.Equals, chuterequest.OutcomeUnknown)
	<-reported
	counted := make(chan chuteledger.Count, 1)
	s.node.sendWith(chutecore.Ticked{Stamp: s.node.stamp()}, func() {
		counted <- s.node.state.Ledger().Counters().Get(chuteledger.Key{Team: "team", Workspace: "w", Pipeline: "post", Stage: "post", Wasted: true})
	})
	qt.Assert(t, (<-counted).Units, qt.Equals, int64(1))
}

// The table is down and a post is sent again. What this process says of its key
// decides between NotRun and Unknown, so it must remember a run for as long as a
// resend can come, and forget one that certainly ran nothing.
func TestKeyMemory(t *testing.T) {
	now := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	key := chuterequest.Key{Workspace: "w", RequestID: "r"}
	t.Run("under way", func(t *testing.T) {
		m := newKeyMemory()
		m.begin(key, now)
		qt.Assert(t, m.clear(key, 0, now), qt.IsFalse)
		qt.Assert(t, m.clear(key, 1, now), qt.IsTrue)
		m.begin(key, now)
		qt.Assert(t, m.clear(key, 1, now), qt.IsFalse)
	})
	t.Run("ran", func(t *testing.T) {
		m := newKeyMemory()
		m.begin(key, now)
		m.end(key, now.Add(time.Minute))
		m.begin(key, now)
		m.end(key, time.Time{})
		qt.Assert(t, m.clear(key, 0, now), qt.IsFalse)
		qt.Assert(t, m.clear(key, 0, now.Add(time.Minute)), qt.IsTrue)
	})
	t.Run("ran nothing", func(t *testing.T) {
		m := newKeyMemory()
		m.begin(key, now)
		m.end(key, time.Time{})
		qt.Assert(t, m.clear(key, 0, now), qt.IsTrue)
		qt.Assert(t, m.keys, qt.HasLen, 0)
	})
	t.Run("is pruned", func(t *testing.T) {
		m := newKeyMemory()
		for i := range 4 * pruneEvery {
			k := chuterequest.Key{RequestID: strconv.Itoa(i)}
			at := now.Add(time.Duration(i) * time.Second)
			m.begin(k, at)
			m.end(k, at.Add(time.Second))
		}
		qt.Assert(t, len(m.keys) <= pruneEvery, qt.IsTrue)
	})
}

func TestRelay(t *testing.T) {
	token := func(r *relay, attempt string, offset int, text string) {
		r.add(chuterequest.AttemptID(attempt), chuteupstream.Token{Offset: offset, Text: text})
	}
	t.Run("takes tokens in order from the present attempt only", func(t *testing.T) {
		r := newRelay()
		r.start("a", false)
		token(r, "a", 0, "x ")
		token(r, "b", 1, "wrong ")
		token(r, "a", 2, "gap ")
		token(r, "a", 1, "y ")
		qt.Assert(t, r.after(0), qt.DeepEquals, []string{"x ", "y "})
	})
	t.Run("goes on after a resume and refuses the old attempt", func(t *testing.T) {
		r := newRelay()
		r.start("a", false)
		token(r, "a", 0, "x ")
		offset, text := r.start("b", true)
		qt.Assert(t, offset, qt.Equals, 1)
		qt.Assert(t, text, qt.Equals, "x ")
		token(r, "a", 1, "late ")
		token(r, "b", 1, "y ")
		qt.Assert(t, r.after(1), qt.DeepEquals, []string{"y "})
	})
}

func TestSubmitAfterTheEnd(t *testing.T) {
	node := New(chutesettings.Settings{NodeName: "entry-1", Site: "site", Zone: testZone}, clockwork.NewRealClock(), zerolog.Nop())
	node.stop()
	answer := node.Submit(context.Background(), chuterequest.Submission{}, nil)
	qt.Assert(t, answer.Outcome.Kind, qt.Equals, chuterequest.OutcomeUnknown)
}

// Claims whose retention is over are deleted and others stay: a key must not be
// free to run again before a resend of it is out of the question.
func TestCleanupDeletesExpiredClaims(t *testing.T) {
	s := newSite(t, twoGenerations())
	write := func(key string, expires time.Time) {
		body, err := json.Marshal(chuteclaim.Record{Token: key, State: chuteclaim.StateDone, ExpiresAt: expires})
		qt.Assert(t, err, qt.IsNil)
		_, err = s.node.platform.Transact(t.Context(), "test", chutetable.Transaction{
			Writes: []chutetable.Write{{Key: chuteclaim.RowPrefix + key, Value: body}},
		})
		qt.Assert(t, err, qt.IsNil)
	}
	write("a", time.Now().Add(-time.Hour))
	write("b", time.Now().Add(time.Hour))
	write("c", time.Now().Add(-time.Hour))
	last := s.node.cleanOnePage(t.Context(), "")
	qt.Assert(t, last, qt.Equals, chuteclaim.RowPrefix+"c")
	rows, err := s.node.platform.Scan(t.Context(), "test", chuteclaim.RowPrefix, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rows, qt.HasLen, 1)
	qt.Assert(t, rows[0].Key, qt.Equals, chuteclaim.RowPrefix+"b")
	qt.Assert(t, s.node.cleanOnePage(t.Context(), last), qt.Equals, "")
}
