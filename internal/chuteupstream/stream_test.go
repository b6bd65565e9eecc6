package chuteupstream

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"azurechute.example/azurechute/internal/chuterequest"
)

// The caller sees each token once and in order, or a failure that says how far
// the stream came. An engine, or whatever stands between, cuts streams, sends
// tokens again after its own reconnect, loses some, or mixes up two streams.
// Only frames of this attempt in unbroken order may pass, and the last frame
// must agree with all that passed, the resumed part included.
func TestStreamFrames(t *testing.T) {
	token := func(offset int, text string) string { return tokenFrame(ours, offset, text) }
	tests := []struct {
		name   string
		resume string // the text of two tokens had before
		frames []string
		kind   chuterequest.FailureKind // empty means answered
		text   string
		tokens int
		seen   string
	}{
		{name: "whole", frames: []string{token(0, "a"), token(1, "b"), lastFrame(2, "ab", 2)}, text: "ab", tokens: 2, seen: "0:a 1:b "},
		{name: "comments and other fields", frames: []string{": ping\n\nevent: x\r\n", token(0, "a"), lastFrame(1, "a", 1)}, text: "a", tokens: 1, seen: "0:a "},
		{name: "resumed", resume: "ab", frames: []string{token(2, "c"), lastFrame(3, "abc", 1)}, text: "abc", tokens: 3, seen: "2:c "},
		{name: "overlap", resume: "ab", frames: []string{token(1, "b"), token(2, "c"), token(2, "c"), token(3, "d"), lastFrame(4, "abcd", 3)}, text: "abcd", tokens: 4, seen: "2:c 3:d "},
		{name: "resumed text differs", resume: "ab", frames: []string{token(2, "c"), lastFrame(3, "axc", 1)}, kind: chuterequest.FailureMalformed, seen: "2:c "},
		{name: "gap", frames: []string{token(0, "a"), token(2, "c"), lastFrame(3, "abc", 3)}, kind: chuterequest.FailureMalformed, text: "a", tokens: 1, seen: "0:a "},
		{name: "gap at the start", resume: "ab", frames: []string{token(3, "d")}, kind: chuterequest.FailureMalformed, text: "ab", tokens: 2},
		{name: "gap at the end", frames: []string{token(0, "a"), lastFrame(2, "ab", 2)}, kind: chuterequest.FailureMalformed, text: "a", tokens: 1, seen: "0:a "},
		{name: "too many tokens", frames: []string{token(0, "a"), token(1, "b"), lastFrame(1, "a", 1)}, kind: chuterequest.FailureMalformed, seen: "0:a 1:b "},
		{name: "digest mismatch", frames: []string{token(0, "a"), lastFrame(1, "b", 1)}, kind: chuterequest.FailureMalformed, seen: "0:a "},
		{name: "no offset", frames: []string{"data: {\"AttemptID\":\"n1-7\",\"Text\":\"a\"}\n\n"}, kind: chuterequest.FailureMalformed},
		{name: "no JSON", frames: []string{token(0, "a"), "data: {\"Atte\n\n"}, kind: chuterequest.FailureMalformed, text: "a", tokens: 1, seen: "0:a "},
		{name: "truncated between frames", frames: []string{token(0, "a")}, kind: chuterequest.FailureBroken, text: "a", tokens: 1, seen: "0:a "},
		{name: "truncated in the last frame", frames: []string{token(0, "a"), lastFrame(1, "a", 1)[:40]}, kind: chuterequest.FailureBroken, text: "a", tokens: 1, seen: "0:a "},
		{name: "crossed", frames: []string{token(0, "a"), tokenFrame("n2-9", 1, "secret")}, kind: chuterequest.FailureCrossed, text: "a", tokens: 1, seen: "0:a "},
		{name: "unnamed", frames: []string{tokenFrame("", 0, "secret")}, kind: chuterequest.FailureCrossed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cancelled := make(chan string, 1)
			call := streamCall(serveFrames(t, cancelled, test.frames...))
			call.ResumeText = test.resume
			call.ResumeOffset = len(test.resume)
			var seen []Token
			result, failure := newTestClient(t, clockwork.NewFakeClock()).Run(context.Background(), call, func(token Token) {
				seen = append(seen, token)
			})
			qt.Check(t, join(seen), qt.Equals, test.seen)
			qt.Check(t, result.Text, qt.Equals, test.text)
			qt.Check(t, result.Tokens, qt.Equals, test.tokens)
			if test.kind != "" {
				expectFailure(t, failure, test.kind, false)
				qt.Check(t, receive(t, cancelled), qt.Equals, string(ours))

				return
			}
			qt.Assert(t, failure, qt.IsNil)
			qt.Check(t, string(result.Output), qt.Equals, `"`+test.text+`"`)
			qt.Check(t, result.Usage.CachedUnits, qt.Equals, int64(5))
		})
	}
}

func TestStreamBounds(t *testing.T) {
	t.Run("frame", func(t *testing.T) {
		client := newTestClient(t, clockwork.NewFakeClock())
		client.MaxFrameBytes = 100
		long := make([]byte, 5000)
		_, failure := client.Run(context.Background(), streamCall(serveFrames(t, nil, tokenFrame(ours, 0, string(long)))), nil)
		expectFailure(t, failure, chuterequest.FailureMalformed, false)
	})
	t.Run("whole text", func(t *testing.T) {
		client := newTestClient(t, clockwork.NewFakeClock())
		client.MaxBodyBytes = 1
		address := serveFrames(t, nil, tokenFrame(ours, 0, "a"), tokenFrame(ours, 1, "b"))
		result, failure := client.Run(context.Background(), streamCall(address), nil)
		expectFailure(t, failure, chuterequest.FailureMalformed, false)
		qt.Check(t, result.Tokens, qt.Equals, 1)
	})
}
