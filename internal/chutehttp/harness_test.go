package chutehttp

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/pkg/chuteconfig"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
)

const (
	reefToken     = "reef-token"
	pondToken     = "pond-token"
	operatorToken = "operator-token"
	goodBody      = `{"RequestID":"r1","Workspace":"reef","Pipeline":"advice","Input":{"Q":"why"}}`
)

func digestOf(text string) string {
	sum := sha256.Sum256([]byte(text))

	return hex.EncodeToString(sum[:])
}

func testConfig() chuteconfig.Config {
	deadline := chuteconfig.Duration(5 * time.Second)

	return chuteconfig.Config{
		Site: "kura",
		Workspaces: map[string]chuteconfig.Workspace{
			"reef": {Team: "keepers", Weight: 1, TokenDigests: []string{digestOf(reefToken)}, Pipelines: []string{"advice", "post"}},
			"pond": {Team: "keepers", Weight: 1, TokenDigests: []string{digestOf(pondToken)}},
		},
		Operators: map[string]chuteconfig.Operator{"ops": {TokenDigests: []string{digestOf(operatorToken)}}},
		Pipelines: map[string]chuteconfig.Pipeline{
			"advice": {Team: "keepers", Deadline: deadline},
			"post":   {Team: "keepers", Deadline: deadline, Stages: []chuteconfig.Stage{{Name: "send", Unrepeatable: true}}},
			"secret": {Team: "keepers", Deadline: deadline},
		},
		Limits: chuteconfig.Limits{MaxBodyBytes: 400},
	}
}

// fixture is a frontend over a backend whose functions a test replaces.
type fixture struct {
	*qt.C
	backend   *Backend
	frontend  *Frontend
	clock     *clockwork.FakeClock
	logs      *bytes.Buffer
	submitted []chuterequest.Submission
}

func newFixture(t testing.TB) *fixture {
	t.Helper()

	f := &fixture{C: qt.New(t), clock: clockwork.NewFakeClock(), logs: new(bytes.Buffer)}
	cfg := testConfig()
	f.backend = &Backend{
		Submit: func(_ context.Context, _ chuterequest.Submission, _ chuterequest.TokenFunc) chuterequest.Answer {
			return answered(`{"A":1}`)
		},
		Status: func(context.Context, chuterequest.Key) (chuterequest.Answer, bool, error) {
			return chuterequest.Answer{}, false, nil
		},
		Config: func() (chuteconfig.Config, uint64, bool) { return cfg, 3, true },
		State:  func(context.Context) (any, error) { return map[string]int{"InFlight": 2}, nil },
		Ready:  func() error { return nil },
	}

	// The indirection lets a test replace a function after New took its copy.
	seam := Backend{
		Submit: func(ctx context.Context, s chuterequest.Submission, onToken chuterequest.TokenFunc) chuterequest.Answer {
			f.submitted = append(f.submitted, s)

			return f.backend.Submit(ctx, s, onToken)
		},
		Status: func(ctx context.Context, key chuterequest.Key) (chuterequest.Answer, bool, error) {
			return f.backend.Status(ctx, key)
		},
		Config: func() (chuteconfig.Config, uint64, bool) { return f.backend.Config() },
		State:  func(ctx context.Context) (any, error) { return f.backend.State(ctx) },
		Ready:  func() error { return f.backend.Ready() },
		Digest: func() string { return "d3" },
	}
	node := Node{Name: "entry-1", Site: "kura", Zone: "a", Region: "tbilisi", Incarnation: "i1"}
	f.frontend = New(seam, node, zerolog.New(f.logs).Level(zerolog.InfoLevel), f.clock)

	return f
}

// answered is an answer whose length and digest fit its output.
func answered(output string) chuterequest.Answer {
	return chuterequest.Answer{
		Outcome: chuterequest.Outcome{Kind: chuterequest.OutcomeAnswered},
		Output:  json.RawMessage(output),
		Length:  len(output),
		Digest:  digestOf(output),
	}
}

// answeredText is an answer of generated text, made of the given tokens.
func answeredText(tokens ...string) chuterequest.Answer {
	text := strings.Join(tokens, "")
	output, _ := json.Marshal(text)

	return chuterequest.Answer{
		Outcome: chuterequest.Outcome{Kind: chuterequest.OutcomeAnswered},
		Output:  output,
		Length:  len(tokens),
		Digest:  digestOf(text),
	}
}

func (f *fixture) answer(outcome chuterequest.Outcome) {
	f.backend.Submit = func(context.Context, chuterequest.Submission, chuterequest.TokenFunc) chuterequest.Answer {
		return chuterequest.Answer{Outcome: outcome}
	}
}

// call sends one request; headers come in pairs.
func (f *fixture) call(method, path, token, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}

	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}

	w := httptest.NewRecorder()
	f.frontend.ServeHTTP(w, r)

	return w
}

func (f *fixture) submit(body string, headers ...string) *httptest.ResponseRecorder {
	return f.call(http.MethodPost, "/v1/requests", reefToken, body, headers...)
}

// expectRefusal checks the one form that all refusals have, and that no token is repeated in it.
func (f *fixture) expectRefusal(w *httptest.ResponseRecorder, status int, outcome, field string) refusalBody {
	f.Helper()

	var body refusalBody

	d := json.NewDecoder(bytes.NewReader(w.Body.Bytes()))
	d.DisallowUnknownFields()
	f.Assert(d.Decode(&body), qt.IsNil, qt.Commentf("%s", w.Body))
	f.Check(w.Code, qt.Equals, status, qt.Commentf("%s", w.Body))
	f.Check(string(body.Outcome), qt.Equals, outcome)
	f.Check(body.Field, qt.Equals, field)
	f.Check(body.Problem, qt.Not(qt.Equals), "")
	f.Check(statuses[body.Code], qt.Equals, status)
	f.Check(w.Body.String(), qt.Not(qt.Contains), "-token")

	return body
}

// expectNotSeen checks that the node was handed nothing, as NotRun promises.
func (f *fixture) expectNotSeen() {
	f.Helper()
	f.Check(f.submitted, qt.HasLen, 0)
}
