package chutehttp

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"azurechute.example/azurechute/gen/requests"
	"azurechute.example/azurechute/internal/chuterequest"
	qt "github.com/frankban/quicktest"
)

// toldAnswer is an answer as a caller reads it.
type toldAnswer struct {
	RequestID, Outcome, Digest, Problem string
	Output                              json.RawMessage
	Length                              int
	SafeToRepeat                        *bool
	RetryAfterMilliseconds              int64
}

// expectAnswer checks that the answer is whole by its own length and digest.
func (f *fixture) expectAnswer(w *httptest.ResponseRecorder, output string) toldAnswer {
	f.Helper()

	var told toldAnswer

	f.Assert(w.Code, qt.Equals, 200, qt.Commentf("%s", w.Body))
	f.Assert(json.Unmarshal(w.Body.Bytes(), &told), qt.IsNil)
	f.Check(told.Outcome, qt.Equals, "Answered")
	f.Check(told.RequestID, qt.Equals, "r1")
	f.Check(string(told.Output), qt.Equals, output)
	f.Check(w.Header().Get("Content-Type"), qt.Equals, "application/json")

	return told
}

func TestSubmitIsHandedOverAndAnswered(t *testing.T) {
	f := newFixture(t)
	body := `{"RequestID":"r1","Workspace":"reef","Pipeline":"advice","Deadline":"1.5s","Unrepeatable":true,"Input":{"Q": "<why>"}}`
	told := f.expectAnswer(f.submit(body), `{"A":1}`)
	f.Check(told.Length, qt.Equals, 7)
	f.Check(told.Digest, qt.Equals, digestOf(`{"A":1}`))
	f.Check(f.submitted, qt.DeepEquals, []chuterequest.Submission{{
		Key:          chuterequest.Key{Workspace: "reef", RequestID: "r1"},
		Team:         "keepers",
		Pipeline:     "advice",
		Deadline:     f.clock.Now().Add(1500 * time.Millisecond),
		Unrepeatable: true,
		Input:        json.RawMessage(`{"Q": "<why>"}`),
	}})
	f.Check(f.logs.String(), qt.Contains, `"Request":"reef/r1"`)
	f.Check(f.logs.String(), qt.Contains, `"Outcome":"Answered"`)
	f.Check(f.logs.String(), qt.Contains, `"Step":"Finished"`)
}

func TestDeadlineIsThePipelinesUnlessLess(t *testing.T) {
	f := newFixture(t)
	f.expectAnswer(f.submit(goodBody), `{"A":1}`)
	f.Check(f.submitted[0].Deadline, qt.Equals, f.clock.Now().Add(5*time.Second))
}

// An upstream answers with spaces and angle brackets, which the encoder writes
// otherwise. The caller hashes the bytes it got; the digest must be theirs, or
// else a whole answer would look damaged.
func TestDigestIsOfTheBytesSent(t *testing.T) {
	f := newFixture(t)
	f.backend.Submit = func(context.Context, chuterequest.Submission, chuterequest.TokenFunc) chuterequest.Answer {
		return answered(`{ "A": "<b>" }`)
	}

	for _, accept := range []string{"application/json", "text/event-stream"} {
		w := f.submit(goodBody, "Accept", accept)

		var told toldAnswer

		f.Assert(json.Unmarshal([]byte(strings.TrimPrefix(w.Body.String(), "data: ")), &told), qt.IsNil)
		f.Check(told.Outcome, qt.Equals, "Answered")
		f.Check(told.Length, qt.Equals, len(told.Output))
		f.Check(told.Digest, qt.Equals, digestOf(string(told.Output)))
	}
}

// The node hands back output that is no JSON. Encoding it would fail after the
// status 200 was sent; the caller must read an outcome instead, and where a
// stage may run only once the outcome must not invite a repeat.
func TestOutputThatIsNoJSONIsWithdrawn(t *testing.T) {
	f := newFixture(t)
	f.backend.Submit = func(context.Context, chuterequest.Submission, chuterequest.TokenFunc) chuterequest.Answer {
		return answered(`{"A":`)
	}
	body := f.expectRefusal(f.submit(goodBody), 502, "Failed", "")
	f.Check(*body.SafeToRepeat, qt.IsTrue)
	f.expectRefusal(f.submit(strings.Replace(goodBody, "advice", "post", 1)), 504, "Unknown", "")
}

// The caller hangs up while the node works. The node must learn of it by the
// end of the context, or else it would work on for nobody.
func TestCallerLeavingEndsTheContext(t *testing.T) {
	f := newFixture(t)
	working, left := make(chan struct{}), make(chan struct{})
	f.backend.Submit = func(ctx context.Context, _ chuterequest.Submission, _ chuterequest.TokenFunc) chuterequest.Answer {
		close(working)
		<-ctx.Done()
		close(left)

		return chuterequest.Answer{Outcome: chuterequest.Outcome{Kind: chuterequest.OutcomeFailed, Reason: "caller left"}}
	}

	server := httptest.NewServer(f.frontend)
	defer server.Close()

	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-working; cancel() }()

	r, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/v1/requests", strings.NewReader(goodBody))
	f.Assert(err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+reefToken)

	_, err = http.DefaultClient.Do(r)
	f.Check(errors.Is(err, context.Canceled), qt.IsTrue)
	<-left
}

func (f *fixture) status(path, token string) *httptest.ResponseRecorder {
	return f.call(http.MethodGet, path, token, "")
}

func TestStatusTellsTheOutcome(t *testing.T) {
	f := newFixture(t)

	var asked chuterequest.Key

	told := answered(`{"A":1}`)
	f.backend.Status = func(_ context.Context, key chuterequest.Key) (chuterequest.Answer, bool, error) {
		asked = key

		return told, true, nil
	}
	f.expectAnswer(f.status("/v1/requests/r1?Workspace=reef", reefToken), `{"A":1}`)
	f.Check(asked, qt.Equals, chuterequest.Key{Workspace: "reef", RequestID: "r1"})

	told = chuterequest.Answer{Outcome: chuterequest.Outcome{Kind: chuterequest.OutcomeUnknown, Reason: "its node is gone", RetryAfter: time.Second}}
	w := f.status("/v1/requests/r1?Workspace=reef", reefToken)

	var read toldAnswer

	f.Check(w.Code, qt.Equals, 200)
	f.Assert(json.Unmarshal(w.Body.Bytes(), &read), qt.IsNil)
	f.Check(read, qt.DeepEquals, toldAnswer{RequestID: "r1", Outcome: "Unknown", Problem: "its node is gone", RetryAfterMilliseconds: 1000})
}

// A status query fails. The caller must not take the refusal for a NotRun: the
// request it asks for may be running at this moment.
func TestRefusedStatusStatesNoOutcome(t *testing.T) {
	f := newFixture(t)
	f.expectRefusal(f.status("/v1/requests/r1?Workspace=reef", ""), 401, "", "Authorization")
	f.expectRefusal(f.status("/v1/requests/r1?Workspace=reef", "wrong-token"), 401, "", "Authorization")
	f.expectRefusal(f.status("/v1/requests/r1", reefToken), 400, "", "Workspace")
	f.expectRefusal(f.status("/v1/requests/r%2F1?Workspace=reef", reefToken), 400, "", "RequestID")
	f.expectRefusal(f.status("/v1/requests/r1?Workspace=reef", reefToken), 404, "", "RequestID")

	f.backend.Status = func(context.Context, chuterequest.Key) (chuterequest.Answer, bool, error) {
		return chuterequest.Answer{}, false, errors.New("table down")
	}
	w := f.status("/v1/requests/r1?Workspace=reef", reefToken)
	f.expectRefusal(w, 503, "", "")
	f.Check(w.Header().Get("Retry-After"), qt.Equals, "1")
}

// Another workspace asks for a request by its id. It must not learn even
// whether the request exists: the answer is the same and nothing is looked up.
func TestWorkspacesDoNotSeeEachOther(t *testing.T) {
	f := newFixture(t)
	f.backend.Status = func(_ context.Context, key chuterequest.Key) (chuterequest.Answer, bool, error) {
		f.Check(key.Workspace, qt.Equals, "pond")

		return chuterequest.Answer{}, false, nil
	}
	f.expectRefusal(f.status("/v1/requests/r1?Workspace=reef", pondToken), 403, "", "Workspace")
	f.expectRefusal(f.status("/v1/requests/r1?Workspace=pond", pondToken), 404, "", "RequestID")
	f.expectRefusal(f.call(http.MethodPost, "/v1/requests", pondToken, goodBody), 403, "NotRun", "Workspace")
	f.expectNotSeen()
}

// frames reads the events of a recorded stream.
func (f *fixture) frames(body string) []requests.Frame {
	f.Helper()

	var frames []requests.Frame

	for event := range strings.SplitSeq(strings.TrimSuffix(body, "\n\n"), "\n\n") {
		var frame requests.Frame

		data, found := strings.CutPrefix(event, "data: ")
		f.Assert(found, qt.IsTrue, qt.Commentf("%q", event))
		f.Assert(json.Unmarshal([]byte(data), &frame), qt.IsNil)

		frames = append(frames, frame)
	}

	return frames
}
