package chutehttp

import (
	"bufio"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"azurechute.example/azurechute/gen/requests"
	"azurechute.example/azurechute/internal/chuterequest"
	qt "github.com/frankban/quicktest"
)

// sending returns a Submit that streams the tokens at the offsets given by their order, then answers.
func sending(answer chuterequest.Answer, tokens ...string) func(context.Context, chuterequest.Submission, chuterequest.TokenFunc) chuterequest.Answer {
	return func(_ context.Context, _ chuterequest.Submission, onToken chuterequest.TokenFunc) chuterequest.Answer {
		for offset, token := range tokens {
			onToken(offset, token)
		}

		return answer
	}
}

func (f *fixture) streamed(body string) []requests.Frame {
	f.Helper()

	w := f.submit(body, "Accept", "text/event-stream")
	f.Assert(w.Code, qt.Equals, 200, qt.Commentf("%s", w.Body))
	f.Check(w.Header().Get("Content-Type"), qt.Equals, "text/event-stream")

	return f.frames(w.Body.String())
}

// expectTokens checks the frames before the last.
func (f *fixture) expectTokens(frames []requests.Frame, tokens ...string) {
	f.Helper()
	f.Assert(frames, qt.HasLen, len(tokens)+1)

	for offset, token := range tokens {
		f.Check(frames[offset], qt.DeepEquals, requests.Frame{Offset: &offset, Text: &token})
	}
}

func TestStreamEndsWithLengthAndDigest(t *testing.T) {
	f := newFixture(t)
	f.backend.Submit = sending(answeredText("Your ", "tank\n", "<is> fine"), "Your ", "tank\n", "<is> fine")
	frames := f.streamed(goodBody)
	f.expectTokens(frames, "Your ", "tank\n", "<is> fine")

	id, outcome, length, digest := "r1", "Answered", 3, digestOf("Your tank\n<is> fine")
	f.Check(frames[3], qt.DeepEquals, requests.Frame{RequestID: &id, Outcome: &outcome, Length: &length, Digest: &digest})
	f.Check(f.logs.String(), qt.Contains, `"Tokens":3`)
}

func TestStreamOfAPipelineWithoutTextCarriesTheOutput(t *testing.T) {
	f := newFixture(t)
	frames := f.streamed(goodBody)
	f.expectTokens(frames)
	f.Check(string(frames[0].Output), qt.Equals, `{"A":1}`)
}

// Tokens have gone out and then the request fails. Headers cannot be taken
// back, so the last frame tells the outcome in place of the status.
func TestFailureAfterTokensIsToldByTheLastFrame(t *testing.T) {
	f := newFixture(t)
	failed := chuterequest.Outcome{Kind: chuterequest.OutcomeFailed, Reason: "upstreams gone", SafeToRepeat: true, RetryAfter: 1}
	f.backend.Submit = sending(chuterequest.Answer{Outcome: failed}, "Your ")
	frames := f.streamed(goodBody)
	f.expectTokens(frames, "Your ")
	f.Check(*frames[1].Outcome, qt.Equals, "Failed")
	f.Check(*frames[1].SafeToRepeat, qt.IsTrue)
	f.Check(*frames[1].RetryAfterMilliseconds, qt.Equals, int64(1))
	f.Check(frames[1].Digest, qt.IsNil)
}

// The node's tokens do not make up the text that it then answers: one is lost,
// doubled or altered. The caller must not read Answered under a wrong text, and
// what may run only once must not look safe to repeat.
func TestStreamThatIsNotWholeIsNotAnswered(t *testing.T) {
	whole := answeredText("a", "b", "c")

	for name, submit := range map[string]func(context.Context, chuterequest.Submission, chuterequest.TokenFunc) chuterequest.Answer{
		"one lost at the end": sending(whole, "a", "b"),
		"one altered":         sending(whole, "a", "x", "c"),
		"one too many":        sending(whole, "a", "b", "c", "d"),
		"a gap": func(_ context.Context, _ chuterequest.Submission, onToken chuterequest.TokenFunc) chuterequest.Answer {
			onToken(0, "a")
			onToken(2, "c")
			onToken(1, "b")

			return whole
		},
		"one doubled": func(_ context.Context, _ chuterequest.Submission, onToken chuterequest.TokenFunc) chuterequest.Answer {
			onToken(0, "a")
			onToken(0, "a")

			return whole
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.backend.Submit = submit
			frames := f.streamed(goodBody)
			f.Check(*frames[len(frames)-1].Outcome, qt.Equals, "Failed")

			frames = f.streamed(strings.Replace(goodBody, "advice", "post", 1))
			f.Check(*frames[len(frames)-1].Outcome, qt.Equals, "Unknown")
		})
	}
}

// An abandoned attempt's token arrives after the answer. The connection may by
// then carry the next request's answer, into which the token must not fall.
func TestTokenAfterTheEndIsDropped(t *testing.T) {
	f := newFixture(t)

	var late chuterequest.TokenFunc

	f.backend.Submit = func(_ context.Context, _ chuterequest.Submission, onToken chuterequest.TokenFunc) chuterequest.Answer {
		late = onToken
		onToken(0, "a")

		return answeredText("a")
	}
	w := f.submit(goodBody, "Accept", "text/event-stream")
	before := w.Body.String()

	late(1, "b")
	f.Check(w.Body.String(), qt.Equals, before)
}

// The handler panics amid a stream. There is no honest last frame, so the
// connection breaks: a clean end would look like a stream that lost its frame.
func TestPanicAmidAStreamBreaksIt(t *testing.T) {
	f := newFixture(t)
	f.backend.Submit = func(_ context.Context, _ chuterequest.Submission, onToken chuterequest.TokenFunc) chuterequest.Answer {
		onToken(0, "a")
		panic("bug")
	}
	f.Check(func() { f.submit(goodBody, "Accept", "text/event-stream") }, qt.PanicMatches, "net/http: abort Handler")
}

// A member waits for the reply while it is being written. Each token must reach
// the caller before the next one exists; a buffer would hold back the lot.
func TestTokensAreFlushedOneByOne(t *testing.T) {
	f := newFixture(t)
	next := make(chan struct{})
	f.backend.Submit = func(_ context.Context, _ chuterequest.Submission, onToken chuterequest.TokenFunc) chuterequest.Answer {
		for offset, token := range []string{"a", "b", "c"} {
			onToken(offset, token)
			<-next
		}

		return answeredText("a", "b", "c")
	}

	server := httptest.NewServer(f.frontend)
	defer server.Close()

	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, server.URL+"/v1/requests", strings.NewReader(goodBody))
	f.Assert(err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+reefToken)
	r.Header.Set("Accept", "text/event-stream")

	resp, err := http.DefaultClient.Do(r)
	f.Assert(err, qt.IsNil)

	defer func() { _ = resp.Body.Close() }()

	lines := bufio.NewScanner(resp.Body)

	for _, want := range []string{`{"Offset":0,"Text":"a"}`, `{"Offset":1,"Text":"b"}`, `{"Offset":2,"Text":"c"}`} {
		f.Assert(lines.Scan(), qt.IsTrue)
		f.Check(lines.Text(), qt.Equals, "data: "+want)
		f.Assert(lines.Scan(), qt.IsTrue)
		next <- struct{}{}
	}

	f.Assert(lines.Scan(), qt.IsTrue)
	f.Check(lines.Text(), qt.Contains, `"Outcome":"Answered"`)
}
