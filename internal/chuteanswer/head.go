package chuteanswer

import (
	"errors"
	"fmt"
	"net/http"
)

const (
	// minFinal and maxFinal bound the status of a final answer (RFC 9110, section 15).
	minFinal = 200
	maxFinal = 599
)

// ErrMalformed reports an answer whose head is none by RFC 9110 and 9112. It proves nothing about the request.
var ErrMalformed = errors.New("malformed answer")

// CheckFinal returns an error that wraps ErrMalformed unless the status is one of a final answer.
func CheckFinal(status int) error {
	if status < minFinal || status > maxFinal {
		return fmt.Errorf("%w: status %03d", ErrMalformed, status)
	}

	return nil
}

// CheckHead returns an error that wraps ErrMalformed unless the head is one of a final answer or of an interim one to a
// request that asks for no other protocol.
func CheckHead(r *http.Response) error {
	if !IsInterim(r) {
		return CheckFinal(r.StatusCode)
	}
	if r.Header.Get("Content-Length") != "" || len(r.TransferEncoding) > 0 {
		return fmt.Errorf("%w: status %03d with a body", ErrMalformed, r.StatusCode)
	}

	return nil
}

// IsInterim reports whether another head follows on this one.
func IsInterim(r *http.Response) bool {
	return r.StatusCode >= http.StatusContinue && r.StatusCode < minFinal && r.StatusCode != http.StatusSwitchingProtocols
}
