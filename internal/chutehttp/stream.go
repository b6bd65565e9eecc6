package chutehttp

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"strings"
	"sync"

	"azurechute.example/azurechute/gen/requests"
	"azurechute.example/azurechute/internal/chuterequest"
	goahttp "goa.design/goa/v3/http"
)

// wantsStream applies the same rule to Accept as goa's generated handler.
func wantsStream(ctx context.Context) bool {
	accept, _ := ctx.Value(goahttp.AcceptTypeKey).(string)

	return strings.Contains(accept, "text/event-stream")
}

// stream runs the submission and sends tokens as they come; until the first token a refusal is a plain HTTP answer.
func (s *requestService) stream(ctx context.Context, x *exchange, submission chuterequest.Submission, stream requests.SubmitServerStream) error {
	relay := &relay{stream: stream, digest: sha256.New()}
	answer := s.f.backend.Submit(ctx, submission, relay.token)

	relay.close()
	answer = relay.verified(normalized(answer, x.unrepeatable), x.unrepeatable)
	x.finish(answer)
	x.tokens = relay.next

	if relay.next == 0 && answer.Outcome.Kind != chuterequest.OutcomeAnswered {
		return refusalOf(answer.Outcome, s.f.backend.Ready())
	}

	// The caller may be gone by now; the access log tells the outcome either way.
	_ = stream.SendWithContext(ctx, lastFrame(submission.Key, answer, relay.next > 0))

	return nil
}

// relay passes tokens on and keeps what is needed to check the whole text.
type relay struct {
	mu     sync.Mutex
	stream requests.SubmitServerStream
	digest hash.Hash
	next   int
	// broken is set when a token did not follow the one before.
	broken bool
	closed bool
}

// token sends one token.
//
// A token after the end would write to a connection that net/http has taken
// back, into the answer of the next request on it; the lock and the mark keep
// it out. A token out of order would show the caller a wrong text as whole; it
// is held back with all that follow, and the last frame tells.
func (r *relay) token(offset int, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.closed || r.broken {
		return
	}

	if offset != r.next {
		r.broken = true

		return
	}

	r.next++
	r.digest.Write([]byte(text))
	// A failed write ends the request's context, upon which the node cancels the work.
	_ = r.stream.Send(&requests.Frame{Offset: &offset, Text: &text})
}

// close lets no further token through.
func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.closed = true
}

// verified withdraws an Answered outcome if the text that was streamed is not the text that was answered.
func (r *relay) verified(answer chuterequest.Answer, unrepeatable bool) chuterequest.Answer {
	if answer.Outcome.Kind != chuterequest.OutcomeAnswered || !isText(answer.Output) {
		return answer
	}

	whole := !r.broken && r.next == answer.Length && hex.EncodeToString(r.digest.Sum(nil)) == answer.Digest
	if whole || r.next == 0 && !r.broken {
		return answer
	}

	return withdrawn("the streamed text is not whole", unrepeatable)
}

// lastFrame words the end of a stream; text that was streamed is not sent again.
func lastFrame(key chuterequest.Key, answer chuterequest.Answer, streamed bool) *requests.Frame {
	told := answerOf(key, answer)
	frame := &requests.Frame{
		RequestID:              &told.RequestID,
		Outcome:                &told.Outcome,
		Output:                 told.Output,
		Length:                 told.Length,
		Digest:                 told.Digest,
		Problem:                told.Problem,
		RetryAfterMilliseconds: told.RetryAfterMilliseconds,
		SafeToRepeat:           told.SafeToRepeat,
	}

	if streamed && isText(told.Output) {
		frame.Output = nil
	}

	return frame
}
