package chuteupstream

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"

	"azurechute.example/azurechute/internal/chuterequest"
)

// noOffset marks a token frame without Offset, which would otherwise read as offset 0.
const noOffset = -1

// frame is a token frame or, with Done, the last frame of a stream.
type frame struct {
	AttemptID   chuterequest.AttemptID
	Offset      int
	Text        string
	Done        bool
	Length      int
	Digest      string
	Units       int64
	PromptUnits int64
	CachedUnits int64
	Load        chuterequest.Load
}

func (f *frame) usage() chuterequest.Usage {
	return chuterequest.Usage{
		Units:       max(0, f.Units),
		PromptUnits: max(0, f.PromptUnits),
		CachedUnits: max(0, f.CachedUnits),
	}
}

// readStream relays tokens up to the last frame; a stream that ends without one is Broken.
func (a *attempt) readStream(body io.Reader) (Result, *chuterequest.Failure) {
	frames := newFrameReader(body, a.client.MaxFrameBytes)
	for {
		data, err := frames.next()
		if err != nil {
			return a.partial(), a.broken(fmt.Errorf("no last frame: %w", err))
		}
		f := frame{Offset: noOffset}
		if err := json.Unmarshal(data, &f); err != nil {
			return a.partial(), a.malformed(err.Error())
		}
		if f.AttemptID != a.call.Attempt {
			return a.partial(), a.crossed(string(f.AttemptID))
		}
		if f.Done {
			return a.checkEnd(&f)
		}
		if detail := a.take(&f); detail != "" {
			return a.partial(), a.malformed(detail)
		}
	}
}

// take relays one token, or returns what is wrong with it.
//
// A repeated offset was relayed before and is dropped. A gap can't be filled
// from this stream, so it ends it: the caller of Run can resume elsewhere from
// the offset reached. Whether repeated and resumed tokens really continue one
// another is settled by the digest in the last frame.
func (a *attempt) take(f *frame) (problem string) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.received++
	switch {
	case a.abandoned:
		return ""
	case f.Offset == noOffset:
		return "frame without Offset"
	case f.Offset < 0:
		return "frame with negative Offset"
	case f.Offset > a.next:
		return fmt.Sprintf("gap, the frame has offset %d", f.Offset)
	case f.Offset < a.next:
		metrics.Add("Overlapped", 1)
		a.progress()

		return ""
	case int64(len(a.text)+len(f.Text)) > a.client.MaxBodyBytes:
		return errTooLarge.Error()
	}
	a.text = append(a.text, f.Text...)
	a.next++
	a.relay(Token{Offset: f.Offset, Text: f.Text})

	return ""
}

// relay rests the stall timer while the token is taken: a slow caller is not a stalled upstream.
//
// It runs under mu, so that no token reaches a caller after Run returned.
func (a *attempt) relay(token Token) {
	if a.onToken != nil {
		if a.stall != nil {
			a.stall.Stop()
		}
		a.onToken(token)
	}
	a.progress()
}

// checkEnd compares what was received with the last frame.
//
// With a wrong digest or with more tokens than the engine counts, no part of
// the text can be trusted, so nothing is left to resume from. With fewer, the
// last ones got lost and the rest stands.
func (a *attempt) checkEnd(f *frame) (Result, *chuterequest.Failure) {
	a.mu.Lock()
	abandoned, next := a.abandoned, a.next
	text := a.text
	a.mu.Unlock()

	result := Result{Usage: f.usage(), Load: f.Load}
	if abandoned {
		return result, nil
	}
	if f.Length > next {
		result.Text = string(text)
		result.Tokens = next

		return result, a.malformed(fmt.Sprintf("gap, the last frame has length %d", f.Length))
	}
	if f.Length < next {
		return result, a.malformed(fmt.Sprintf("the last frame has length %d", f.Length))
	}
	sum := sha256.Sum256(text)
	if f.Digest != hex.EncodeToString(sum[:]) {
		return result, a.malformed("digest mismatch")
	}
	output, err := encode(string(text))
	if err != nil {
		return result, a.malformed(err.Error())
	}
	result.Output = output
	result.Text = string(text)
	result.Tokens = next

	return result, nil
}
