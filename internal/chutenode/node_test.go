package chutenode

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chuteprompt"
	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/internal/chutesettings"
	"azurechute.example/azurechute/internal/chutestandin"
	"azurechute.example/azurechute/internal/chutestore"
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
		Pools: map[string]chuteconfig.Pool{"model": {
			Kind: chuteconfig.PoolEngine, Slots: 4, UnitPrice: 1, Typical: chuteconfig.Duration(10 * time.Millisecond),
		}},
		Pipelines: map[string]chuteconfig.Pipeline{"twice": {
			Team: "team", Deadline: chuteconfig.Duration(30 * time.Second), Stages: []chuteconfig.Stage{stage("draft", 20), stage("final", 30)},
		}},
		Placements: map[string]chuteconfig.Placement{"model": {
			Zone: testZone, Pool: "model", Model: testModel, Role: chuteconfig.RoleMixed, Replicas: 1,
		}},
	})
}

// newSite starts the stand-ins, publishes the configuration and waits until the node has adopted it.
func newSite(t *testing.T, cfg chuteconfig.Config) site {
	t.Helper()
	engine := chutestandin.NewEngine(chutestandin.EngineSettings{
		UpstreamSettings: chutestandin.UpstreamSettings{Slots: 4}, CacheBlocks: 16, Model: testModel, Version: "1", Role: "Mixed",
	})
	engineURL := serve(t, engine)
	settings := chutesettings.Settings{
		NodeName: "entry-1", Site: "site", Zone: testZone, Region: "region", Seed: 1,
		TableURL:   serve(t, chutestandin.NewTable(chutestandin.TableSettings{})),
		ObjectsURL: serve(t, chutestandin.NewObjects(chutestandin.ObjectsSettings{})),
		VMsURL: serve(t, chutestandin.NewVMs(chutestandin.VMsSettings{}, chutestandin.VM{
			Name: "engine-1", Address: strings.TrimPrefix(engineURL, "http://"), Zone: testZone, Kind: "Upstream",
			Pool: "model", State: "Live", Incarnation: engine.Incarnation(),
		})),
	}
	node := New(settings, clockwork.NewRealClock(), zerolog.Nop())
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

	return site{node: node, engine: engine}
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

// The only engine's stream breaks after six tokens, and there is nowhere to
// resume. The caller has a part of the text and must hear that it is not whole.
func TestBrokenStreamWithoutAnotherEngineFails(t *testing.T) {
	cfg := twoGenerations()
	s := newSite(t, cfg)
	input := json.RawMessage(`{"Text":"hello"}`)
	_, whole := s.submit(t, input)
	err := s.engine.SetFaults(chutestandin.Faults{Rules: []chutestandin.Fault{{Kind: chutestandin.FaultBreak, Stage: "final", Count: 1, Offset: 6}}})
	qt.Assert(t, err, qt.IsNil)
	answer, streamed := s.submit(t, input)
	qt.Assert(t, answer.Outcome.Kind, qt.Equals, chuterequest.OutcomeFailed)
	qt.Assert(t, answer.Outcome.SafeToRepeat, qt.IsTrue)
	qt.Assert(t, strings.HasPrefix(whole, streamed), qt.IsTrue)
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
