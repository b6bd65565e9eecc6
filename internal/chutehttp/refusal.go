package chutehttp

import (
	"context"
	"errors"
	"net/http"
	"time"
	"unicode/utf8"

	"azurechute.example/azurechute/gen/operators"
	"azurechute.example/azurechute/gen/requests"
	"azurechute.example/azurechute/internal/chuterequest"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"
)

// code is the kind of a refusal; the design maps each to an HTTP status.
type code string

const (
	codeInvalid      code = "Invalid"
	codeUnauthorized code = "Unauthorized"
	codeForbidden    code = "Forbidden"
	codeNotFound     code = "NotFound"
	codeConflict     code = "Conflict"
	codeTooLarge     code = "TooLarge"
	codeOverloaded   code = "Overloaded"
	codeFailed       code = "Failed"
	codeUnavailable  code = "Unavailable"
	codeUnknown      code = "Unknown"
	// codeMethod and codeInternal are made outside of the generated handlers.
	codeMethod   code = "MethodNotAllowed"
	codeInternal code = "Internal"
)

// statuses repeats the design's mapping for refusals that do not pass through a generated encoder.
var statuses = map[code]int{
	codeInvalid:      http.StatusBadRequest,
	codeUnauthorized: http.StatusUnauthorized,
	codeForbidden:    http.StatusForbidden,
	codeNotFound:     http.StatusNotFound,
	codeConflict:     http.StatusConflict,
	codeTooLarge:     http.StatusRequestEntityTooLarge,
	codeOverloaded:   http.StatusTooManyRequests,
	codeFailed:       http.StatusBadGateway,
	codeUnavailable:  http.StatusServiceUnavailable,
	codeUnknown:      http.StatusGatewayTimeout,
	codeMethod:       http.StatusMethodNotAllowed,
	codeInternal:     http.StatusInternalServerError,
}

// maxValue bounds how much of a refused value is repeated to the caller, in bytes.
const maxValue = 120

// refusalBody is the JSON of every answer that is not a success.
type refusalBody struct {
	Code                   code
	Outcome                chuterequest.OutcomeKind `json:",omitempty"`
	Problem                string
	Field                  string `json:",omitempty"`
	Value                  string `json:",omitempty"`
	RetryAfterMilliseconds int64  `json:",omitempty"`
	// SafeToRepeat is stated for the outcome Failed, be it true or false.
	SafeToRepeat *bool `json:",omitempty"`
}

// StatusCode returns the HTTP status; goa asks for it.
func (b *refusalBody) StatusCode() int {
	return statuses[b.Code]
}

// refuse builds a refusal that concerns a field; an empty field or value is left out.
func refuse(c code, field, value, problem string) *requests.Refusal {
	refusal := &requests.Refusal{Code: string(c), Problem: problem}

	if field != "" {
		refusal.Field = &field
	}

	if value != "" {
		value = cut(value)
		refusal.Value = &value
	}

	return refusal
}

// notRun marks a refusal as the answer to a submission that the node has not seen.
func notRun(refusal *requests.Refusal) *requests.Refusal {
	outcome := string(chuterequest.OutcomeNotRun)
	refusal.Outcome = &outcome

	return refusal
}

// withRetryAfter says when to come back; zero leaves it out.
func withRetryAfter(refusal *requests.Refusal, after time.Duration) *requests.Refusal {
	if after <= 0 {
		return refusal
	}

	milliseconds := int64((after + time.Millisecond - 1) / time.Millisecond)
	seconds := int64((after + time.Second - 1) / time.Second)
	refusal.RetryAfterMilliseconds = &milliseconds
	refusal.RetryAfterSeconds = &seconds

	return refusal
}

// cut shortens a value at a rune boundary.
func cut(value string) string {
	if len(value) <= maxValue {
		return value
	}

	end := maxValue
	for end > 0 && !utf8.RuneStart(value[end]) {
		end--
	}

	return value[:end] + "…"
}

// formatError gives every error the same body, whether it comes from the services, the decoder or goa's own checks.
func formatError(ctx context.Context, err error) goahttp.Statuser { //nolint:misspell // goa's own name
	body := bodyOfError(ctx, err)
	if x := exchangeOf(ctx); x != nil {
		x.outcome = body.Outcome
	}

	return body
}

func bodyOfError(ctx context.Context, err error) *refusalBody {
	var (
		ofRequests  *requests.Refusal
		ofOperators *operators.Refusal
		ofGoa       *goa.ServiceError
	)

	switch {
	case errors.As(err, &ofRequests):
		return bodyOf(ofRequests)
	case errors.As(err, &ofOperators):
		refusal := requests.Refusal(*ofOperators)

		return bodyOf(&refusal)
	case errors.As(err, &ofGoa) && ofGoa.Field != nil:
		return missingField(ctx, *ofGoa.Field, ofGoa.Message)
	}

	return internalError(ctx)
}

// missingField turns goa's own finding, which it makes before the service is called, into a refusal.
func missingField(ctx context.Context, field, problem string) *refusalBody {
	refusal := refuse(codeInvalid, field, "", problem)

	if field == "Token" {
		refusal = refuse(codeUnauthorized, "Authorization", "", "send the header Authorization: Bearer with your token")
	}

	if isSubmit(ctx) {
		refusal = notRun(refusal)
	}

	return bodyOf(refusal)
}

// internalError stands in for an error that no rule foresaw; it cannot rule out that a part of the request ran.
func internalError(ctx context.Context) *refusalBody {
	body := &refusalBody{Code: codeInternal, Problem: "internal error; the log of this node says more"}
	if isSubmit(ctx) {
		body.Outcome = chuterequest.OutcomeUnknown
	}

	return body
}

// isSubmit reports whether the call is a submission, to which every answer states an outcome.
func isSubmit(ctx context.Context) bool {
	service, _ := ctx.Value(goa.ServiceKey).(string)
	method, _ := ctx.Value(goa.MethodKey).(string)

	return service == requests.ServiceName && method == "Submit"
}

func bodyOf(refusal *requests.Refusal) *refusalBody {
	body := &refusalBody{
		Code:         code(refusal.Code),
		Problem:      refusal.Problem,
		SafeToRepeat: refusal.SafeToRepeat,
	}

	if refusal.Outcome != nil {
		body.Outcome = chuterequest.OutcomeKind(*refusal.Outcome)
	}

	if refusal.Field != nil {
		body.Field = *refusal.Field
	}

	if refusal.Value != nil {
		body.Value = *refusal.Value
	}

	if refusal.RetryAfterMilliseconds != nil {
		body.RetryAfterMilliseconds = *refusal.RetryAfterMilliseconds
	}

	return body
}
