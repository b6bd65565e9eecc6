package chutenode

import (
	"strings"
	"sync"

	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/internal/chuteupstream"
)

// relay holds the tokens of a request's generated text between upstream and caller.
//
// The caller drains it at its own pace, so that a slow caller does not look
// like a stalled engine. It is bounded by the stage's MaxTokens.
type relay struct {
	mu      sync.Mutex
	attempt chuterequest.AttemptID
	tokens  []string
	// more is signalled when tokens came; one pending signal is enough for any number.
	more chan struct{}
}

// newRelay returns an empty relay.
func newRelay() *relay {
	return &relay{more: make(chan struct{}, 1)}
}

// start lets an attempt go on where the text stands and returns the text for its resume.
//
// From here on the tokens of earlier attempts are refused: a broken connection
// may still deliver buffered frames, which would be told to the caller twice.
func (r *relay) start(attempt chuterequest.AttemptID, resume bool) (offset int, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempt = attempt
	if !resume {
		r.tokens = nil
	}

	return len(r.tokens), strings.Join(r.tokens, "")
}

// add takes an attempt's next token.
func (r *relay) add(attempt chuterequest.AttemptID, token chuteupstream.Token) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempt != attempt || token.Offset != len(r.tokens) {
		return
	}
	r.tokens = append(r.tokens, token.Text)
	select {
	case r.more <- struct{}{}:
	default:
	}
}

// length counts the tokens had.
func (r *relay) length() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return len(r.tokens)
}

// after returns the tokens from an offset on.
func (r *relay) after(offset int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if offset >= len(r.tokens) {
		return nil
	}

	return r.tokens[offset:len(r.tokens):len(r.tokens)]
}
