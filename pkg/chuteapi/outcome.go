package chuteapi

import (
	"errors"
	"fmt"
	"time"
)

// Outcome is the one word in which every request ends.
type Outcome string

// The outcomes.
const (
	// Answered: the whole answer is there.
	Answered Outcome = "Answered"
	// NotRun: nothing of the request was handed to any upstream, and nothing will be.
	NotRun Outcome = "NotRun"
	// Failed: part of it ran and no answer can be had.
	Failed Outcome = "Failed"
	// Unknown: it may have run; ask again with the same RequestID.
	Unknown Outcome = "Unknown"
)

// What errors.Is finds in an OutcomeError.
var (
	ErrNotRun  = errors.New("the request was not run")
	ErrFailed  = errors.New("the request failed")
	ErrUnknown = errors.New("the request may have run")
	// ErrIncomplete is found beside ErrUnknown where no node stated an outcome: the connection broke, or the answer was not whole.
	ErrIncomplete = errors.New("the answer is incomplete")
	// ErrNotRecorded says that no unrepeatable request of the id is known.
	ErrNotRecorded = errors.New("no unrepeatable request of this id is recorded")
)

// Refusal is what a node said in place of an answer.
type Refusal struct {
	// Node is the URL of the node.
	Node string
	// Status is the HTTP status; 0 where there was no answer or it had begun with success.
	Status int
	// Code names the kind of refusal, such as Invalid or Overloaded.
	Code    string
	Problem string
	// Field and Value name what was wrong with the input.
	Field string
	Value string
	// RetryAfter is when to come back; zero where coming back does not help.
	RetryAfter time.Duration
}

func (r Refusal) describe() string {
	text := r.Problem
	if r.Field != "" {
		text += fmt.Sprintf(" (%s %q)", r.Field, r.Value)
	}

	return fmt.Sprintf("%s: %s", r.Node, text)
}

// OutcomeError is how a request ended without an answer.
type OutcomeError struct {
	Refusal

	// Outcome holds for all sends of the request together.
	Outcome Outcome
	// SafeToRepeat says of Failed that no unrepeatable call was handed to an upstream.
	SafeToRepeat bool
	// Told says that a node stated the outcome, rather than this client inferred it.
	Told bool
	// Tokens is how many tokens were passed on before the end.
	Tokens int
	// Sends is how often the request was sent.
	Sends int
	// Step is what the client was doing.
	Step string
	// Err is the cause where no node stated one.
	Err error
}

// Error returns the outcome, the node and the cause on one line.
func (e *OutcomeError) Error() string {
	text := fmt.Sprintf("%s after %d sends, at %s: %s", e.Outcome, e.Sends, e.Step, e.describe())
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}

	return text
}

// Unwrap returns the cause.
func (e *OutcomeError) Unwrap() error {
	return e.Err
}

// Is finds the sentinel of the outcome.
func (e *OutcomeError) Is(target error) bool {
	switch target {
	case ErrNotRun:
		return e.Outcome == NotRun
	case ErrFailed:
		return e.Outcome == Failed
	case ErrUnknown:
		return e.Outcome == Unknown
	case ErrIncomplete:
		return e.Outcome == Unknown && !e.Told
	}

	return false
}

// after states the outcome of all sends together, given the one before.
//
// A node's NotRun speaks of the send that it saw. When an earlier send of the
// same request ended without word, the request may have run there, and a caller
// who is told NotRun would safely send a second one under a new id. So a
// doubt stays until an answer removes it; a failure stays likewise.
func (e *OutcomeError) after(before *OutcomeError) *OutcomeError {
	if before == nil || e.Outcome == Unknown {
		return e
	}

	if before.Outcome == Unknown || before.Outcome == Failed && e.Outcome == NotRun {
		e.Outcome, e.Told, e.SafeToRepeat = before.Outcome, before.Told, before.SafeToRepeat
	}

	return e
}

// ReadError is how a query ended without an answer.
type ReadError struct {
	Refusal

	Step string
	Err  error
}

// Error returns the step, the node and the cause on one line.
func (e *ReadError) Error() string {
	text := fmt.Sprintf("%s: %s", e.Step, e.describe())
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}

	return text
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error {
	return e.Err
}
