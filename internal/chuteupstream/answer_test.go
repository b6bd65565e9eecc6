package chuteupstream

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"azurechute.example/azurechute/internal/chuterequest"
)

// The caller must never get another request's answer, and must hear "not run"
// only if that is so. Answers come crossed, cut, from something on the way, or
// as refusals meant for another request. Only the attempt's own name in the
// answer counts, for results as for refusals.
func TestPlainAnswers(t *testing.T) {
	refusal := `{"AttemptID":"n1-7","Refused":true,"Reason":"full","RetryAfterMilliseconds":250,"Leaving":true}`
	tests := []struct {
		name     string
		status   int
		header   string
		body     string
		kind     chuterequest.FailureKind
		notTaken bool
	}{
		{name: "answered", status: 200, header: string(ours), body: plainBody(ours)},
		{name: "answered without header", status: 200, body: plainBody(ours)},
		{name: "crossed body", status: 200, header: string(ours), body: plainBody("n2-9"), kind: chuterequest.FailureCrossed},
		{name: "crossed header", status: 200, header: "n2-9", body: plainBody(ours), kind: chuterequest.FailureCrossed},
		{name: "unnamed", status: 200, body: `{"Output":1}`, kind: chuterequest.FailureCrossed},
		{name: "no output", status: 200, body: `{"AttemptID":"n1-7"}`, kind: chuterequest.FailureMalformed},
		{name: "cut JSON", status: 200, body: plainBody(ours)[:30], kind: chuterequest.FailureMalformed},
		{name: "too large", status: 200, body: plainBody(ours) + strings.Repeat(" ", 400), kind: chuterequest.FailureMalformed},
		{name: "refused with 429", status: 429, body: refusal, kind: chuterequest.FailureRefused, notTaken: true},
		{name: "refused with 503", status: 503, body: refusal, kind: chuterequest.FailureRefused, notTaken: true},
		{name: "refusal of another attempt", status: 503, body: strings.Replace(refusal, "n1-7", "n2-9", 1), kind: chuterequest.FailureCrossed},
		{name: "refusal with another header", status: 503, header: "n2-9", body: refusal, kind: chuterequest.FailureCrossed},
		{name: "refusal that names none", status: 503, body: `{"Refused":true}`, kind: chuterequest.FailureErrored},
		{name: "503 of something on the way", status: 503, body: "busy", kind: chuterequest.FailureErrored},
		{name: "refusal with another status", status: 500, body: refusal, kind: chuterequest.FailureErrored},
		{name: "redirect is not followed", status: 307, body: "", kind: chuterequest.FailureErrored},
		{name: "error", status: 500, body: `{"AttemptID":"n1-7","Error":"no index"}`, kind: chuterequest.FailureErrored},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				if test.header != "" {
					w.Header().Set(attemptHeader, test.header)
				}
				w.Header().Set("Location", "/v1/elsewhere")
				w.WriteHeader(test.status)
				io.WriteString(w, test.body)
			})
			client := newTestClient(t, clockwork.NewFakeClock())
			client.MaxBodyBytes = 300
			result, failure := client.Run(context.Background(), plainCall(address), nil)
			if test.kind == "" {
				expectAnswered(t, result, failure)

				return
			}
			expectFailure(t, failure, test.kind, test.notTaken)
			qt.Check(t, result, qt.DeepEquals, Result{})
			if test.notTaken {
				qt.Check(t, failure.RetryAfter, qt.Equals, 250*time.Millisecond)
				qt.Check(t, failure.Leaving, qt.IsTrue)
			}
		})
	}
}

func TestCallBody(t *testing.T) {
	bodies := make(chan string, 1)
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		read, _ := io.ReadAll(r.Body)
		bodies <- r.URL.Path + " " + string(read)
		io.WriteString(w, plainBody(ours))
	})
	clock := clockwork.NewFakeClock()
	call := plainCall(address)
	call.Key = chuterequest.Key{Workspace: "forum", RequestID: "r<1>"}
	call.Pipeline, call.Stage = "tank-advisor", "rerank"
	call.Deadline = clock.Now().Add(1500 * time.Millisecond)
	call.Unrepeatable = true
	result, failure := newTestClient(t, clock).Run(context.Background(), call, nil)
	expectAnswered(t, result, failure)
	qt.Check(t, result.Load, qt.Equals, chuterequest.Load{Incarnation: "i1", Slots: 4})
	qt.Check(t, <-bodies, qt.Equals, `/v1/run {"AttemptID":"n1-7","RequestID":"r<1>","Workspace":"forum","Pipeline":"tank-advisor","Stage":"rerank",`+
		`"DeadlineMilliseconds":1500,"Unrepeatable":true,"Input":{"Query":"pH"},"Context":null}`)
}
