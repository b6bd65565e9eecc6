package chuteanswer

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

const (
	// minFinal and maxFinal bound the status of a final answer (RFC 9110, section 15).
	minFinal = 200
	maxFinal = 599
)

// ErrMalformed reports an answer whose head is none by RFC 9110 and 9112. It proves nothing about the request.
var ErrMalformed = errors.New("malformed answer")

// CheckFinal returns an error that wraps ErrMalformed unless status and fields are those of a final answer.
func CheckFinal(status int, h http.Header) error {
	if status < minFinal || status > maxFinal {
		return fmt.Errorf("%w: status %03d", ErrMalformed, status)
	}

	return checkFields(h)
}

// checkFields returns an error unless all names are tokens and all values may be sent on.
func checkFields(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %q", ErrMalformed, name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return fmt.Errorf("%w: value %q of field %s", ErrMalformed, value, name)
			}
		}
	}

	return nil
}

// CheckHead returns an error that wraps ErrMalformed unless the head is one of a final answer or of an interim one to a
// request that asks for no other protocol.
func CheckHead(r *http.Response) error {
	if !IsInterim(r) {
		return CheckFinal(r.StatusCode, r.Header)
	}
	if r.Header.Get("Content-Length") != "" || len(r.TransferEncoding) > 0 {
		return fmt.Errorf("%w: status %03d with a body", ErrMalformed, r.StatusCode)
	}

	return checkFields(r.Header)
}

// IsInterim reports whether another head follows on this one.
func IsInterim(r *http.Response) bool {
	return r.StatusCode >= http.StatusContinue && r.StatusCode < minFinal && r.StatusCode != http.StatusSwitchingProtocols
}

// Checked returns the answer of a client of net/http if its head is one of a final answer. Otherwise it closes the body and
// returns an error that wraps ErrMalformed.
func Checked(r *http.Response, err error) (*http.Response, error) {
	if err != nil {
		return nil, err
	}
	if err := CheckFinal(r.StatusCode, r.Header); err != nil {
		_ = r.Body.Close() // the answer is given up

		return nil, err
	}

	return r, nil
}
