package chuterequest

import (
	"strconv"
	"time"
)

// Key identifies a request; ids are scoped by workspace so that no workspace can name another's request.
type Key struct {
	Workspace string
	RequestID string
}

// String returns the key as it stands in table rows and logs.
func (k Key) String() string {
	return k.Workspace + "/" + k.RequestID
}

// AttemptID names one hand-over of one stage to one upstream, unique over all nodes and incarnations.
type AttemptID string

// NewAttemptID builds the id from the node's incarnation and a counter that only that incarnation uses.
func NewAttemptID(incarnation string, n uint64) AttemptID {
	return AttemptID(incarnation + "-" + strconv.FormatUint(n, 36))
}

// OutcomeKind is the one word in which every answer to a caller ends.
type OutcomeKind string

// The outcomes; docs/ARCHITECTURE.md says what each promises.
const (
	OutcomeAnswered OutcomeKind = "Answered"
	OutcomeNotRun   OutcomeKind = "NotRun"
	OutcomeFailed   OutcomeKind = "Failed"
	OutcomeUnknown  OutcomeKind = "Unknown"
)

// Outcome is what the caller is told at the end.
type Outcome struct {
	Kind OutcomeKind
	// Reason is a sentence for the caller.
	Reason string `json:",omitempty"`
	// Field and Value name what was wrong with the input, if that is the reason.
	Field string `json:",omitempty"`
	Value string `json:",omitempty"`
	// RetryAfter is when to come back; zero where coming back does not help.
	RetryAfter time.Duration `json:",omitempty"`
	// SafeToRepeat says that no unrepeatable call was handed over; meant for Failed.
	SafeToRepeat bool `json:",omitempty"`
}

// FailureKind says how an attempt ended without a result.
type FailureKind string

// The kinds of failure of an attempt.
const (
	// FailureUnreachable: no connection came about, so no byte was handed over.
	FailureUnreachable FailureKind = "Unreachable"
	// FailureRefused: the upstream itself said that it did not take the call.
	FailureRefused FailureKind = "Refused"
	// FailureBroken: the connection ended after bytes were handed over.
	FailureBroken FailureKind = "Broken"
	// FailureStalled: no progress within the stall timeout.
	FailureStalled FailureKind = "Stalled"
	// FailureCrossed: the answer named another attempt.
	FailureCrossed FailureKind = "Crossed"
	// FailureMalformed: the answer could not be read or failed its length or digest.
	FailureMalformed FailureKind = "Malformed"
	// FailureErrored: the upstream ran the call and reported an error.
	FailureErrored FailureKind = "Errored"
	// FailureCancelled: this node cancelled the attempt.
	FailureCancelled FailureKind = "Cancelled"
	// FailureExpired: the deadline passed.
	FailureExpired FailureKind = "Expired"
)

// Failure is how one attempt ended without a result.
type Failure struct {
	Kind FailureKind
	// NotTaken is true only when it is certain that the upstream ran nothing of the call.
	NotTaken bool
	// RetryAfter is the upstream's own word, if it gave one.
	RetryAfter time.Duration `json:",omitempty"`
	// Leaving is true when the upstream said that it is shutting down.
	Leaving bool   `json:",omitempty"`
	Detail  string `json:",omitempty"`
}

// Usage is what one attempt consumed, as the upstream reported it.
type Usage struct {
	// Units counts items, or for engines generated tokens.
	Units int64
	// PromptUnits counts prompt tokens that the engine had to compute.
	PromptUnits int64 `json:",omitempty"`
	// CachedUnits counts prompt tokens found in the engine's cache.
	CachedUnits int64 `json:",omitempty"`
}

// Load is an upstream's own report of its work.
type Load struct {
	// Incarnation changes whenever the upstream's process starts anew.
	Incarnation string
	InFlight    int
	Queued      int
	Slots       int
	Leaving     bool `json:",omitempty"`
	// Model, Version, Adapter, Role and FencingNumber tell an engine's placement.
	Model         string `json:",omitempty"`
	Version       string `json:",omitempty"`
	Adapter       string `json:",omitempty"`
	Role          string `json:",omitempty"`
	FencingNumber uint64 `json:",omitempty"`
}
