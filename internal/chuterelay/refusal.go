package chuterelay

import "time"

// RefusalKind says what the caller may conclude from not being answered.
type RefusalKind string

// The kinds of refusal.
const (
	// RefusedNotRun promises that no upstream ran the request and none will.
	RefusedNotRun RefusalKind = "NotRun"
	// RefusedFailed promises nothing: part of it may have run.
	RefusedFailed RefusalKind = "Failed"
	// RefusedExpired is RefusedFailed because the time was over.
	RefusedExpired RefusalKind = "Expired"
	// RefusedNoPipeline: no pipeline matches; coming back does not help.
	RefusedNoPipeline RefusalKind = "NoPipeline"
	// RefusedKey: the key is missing or unknown.
	RefusedKey RefusalKind = "Key"
	// RefusedInput: the request can't be read.
	RefusedInput RefusalKind = "Input"
	// RefusedTooLarge: the body is over the limit.
	RefusedTooLarge RefusalKind = "TooLarge"
)

// Refusal is what a caller hears in place of an answer.
type Refusal struct {
	Kind RefusalKind
	// Reason is a sentence for logs and callers.
	Reason string
	// RetryAfter is when to come back; zero where that does not help.
	RetryAfter time.Duration
}

const (
	// defaultRetryAfter is when a caller may come back after a passing lack, such as a pool
	// whose upstreams were all set aside for half a second.
	defaultRetryAfter = 400 * time.Millisecond
	// retryAfterSpread is the part by which a time to come back is varied, so that the callers of
	// a pool that fails do not all come back together.
	retryAfterSpread = 0.5
)

func notRunRefusal(reason string) Refusal {
	return Refusal{Kind: RefusedNotRun, Reason: reason, RetryAfter: defaultRetryAfter}
}

func failedRefusal(reason string) Refusal {
	return Refusal{Kind: RefusedFailed, Reason: reason}
}
