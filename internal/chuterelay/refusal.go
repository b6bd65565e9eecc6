package chuterelay

import "time"

// RefusalKind says what the caller may conclude from a refusal.
type RefusalKind string

// The kinds of refusal.
const (
	// RefusedNotRun guarantees that no upstream ran the request and none will.
	RefusedNotRun RefusalKind = "NotRun"
	// RefusedFailed guarantees nothing: part of the request may have run.
	RefusedFailed RefusalKind = "Failed"
	// RefusedExpired is RefusedFailed because the time was over.
	RefusedExpired RefusalKind = "Expired"
	// RefusedNoPipeline: no pipeline matches; retrying does not help.
	RefusedNoPipeline RefusalKind = "NoPipeline"
	// RefusedKey: the key is missing or unknown.
	RefusedKey RefusalKind = "Key"
	// RefusedInput: the request can't be read.
	RefusedInput RefusalKind = "Input"
	// RefusedTooLarge: the body is over the limit.
	RefusedTooLarge RefusalKind = "TooLarge"
)

// Refusal is what a caller gets in place of an answer.
type Refusal struct {
	Kind RefusalKind
	// Reason is a sentence for logs and callers.
	Reason string
	// RetryAfter is the delay after which to retry; zero where that does not help.
	RetryAfter time.Duration
	// Verdict is the key of the quarantine that the request is under, for the log; empty if it is under none.
	Verdict string
	// Elsewhere says that nothing has run and that another node may serve the request now.
	Elsewhere bool
	// sameForAll says that RetryAfter is the same for all callers that are refused now. It is unset when the refusal is
	// given.
	sameForAll bool
	// room is what admission decided by; nil if it did not.
	room *RoomView
}

const (
	// defaultRetryAfter is the retry delay after a temporary shortage, such as a pool whose
	// upstreams were all suspended for half a second.
	defaultRetryAfter = 400 * time.Millisecond
	// retryAfterSpread is the relative amount by which a retry delay is varied, so that the
	// callers of a failing pool do not all retry together.
	retryAfterSpread = 0.5
)

func notRunRefusal(reason string) Refusal {
	return Refusal{Kind: RefusedNotRun, Reason: reason, RetryAfter: defaultRetryAfter, sameForAll: true}
}

func failedRefusal(reason string) Refusal {
	return Refusal{Kind: RefusedFailed, Reason: reason}
}
