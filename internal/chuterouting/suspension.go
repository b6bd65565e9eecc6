package chuterouting

import (
	"time"

	"azurechute.example/azurechute/internal/chuterequest"
)

const (
	// suspendThreshold is the failure score at which an upstream is suspended.
	suspendThreshold = 3
	failingBackoff   = 250 * time.Millisecond
	crossedBackoff   = 5 * time.Second
	refusedBackoff   = 100 * time.Millisecond
	slowBackoff      = time.Second
	maxBackoff       = 30 * time.Second
	// successesToResetBackoff is the number of successes in a row after which the next
	// back-off starts at its base again.
	successesToResetBackoff = 10
)

// failureWeights maps a kind of failure to what it adds to the failure score.
//
// An error may come from the input, a broken connection from the network: one does not suspend an upstream. An
// unreachable or stalled one costs each caller a timeout, and a crossed answer mixes up callers: one does.
var failureWeights = map[chuterequest.FailureKind]int{
	chuterequest.FailureErrored:     1,
	chuterequest.FailureMalformed:   2,
	chuterequest.FailureBroken:      2,
	chuterequest.FailureStalled:     suspendThreshold,
	chuterequest.FailureUnreachable: suspendThreshold,
	chuterequest.FailureCrossed:     2 * suspendThreshold,
}

// suspension holds the failures of an upstream and its state as a circuit breaker: not chosen until the back-off
// ends, then half-open with one trial call at a time. One that refused a call returns without a trial.
type suspension struct {
	reason SuspensionReason
	until  time.Time
	// consecutive counts the suspensions since the last successesToResetBackoff successes
	// in a row.
	consecutive     int
	failureScore    int
	successesInARow int
	// trialInFlight is true while a trial call to the half-open upstream is in flight.
	trialInFlight bool
}

// isBackingOff reports whether the upstream is suspended and its back-off has not ended.
func (s suspension) isBackingOff(now time.Time) bool {
	return s.reason != NotSuspended && now.Before(s.until)
}

// isHalfOpen reports whether the back-off has ended and a trial call decides what
// follows.
func (s suspension) isHalfOpen(now time.Time) bool {
	return (s.reason == SuspendedFailing || s.reason == SuspendedSlow) && !now.Before(s.until)
}

// isInService reports whether the upstream may get calls without restriction.
func (s suspension) isInService(now time.Time) bool {
	return s.reason == NotSuspended || s.reason == SuspendedRefused && !now.Before(s.until)
}

// recordDispatch records that a call was dispatched to the upstream.
func (s *suspension) recordDispatch(now time.Time) {
	s.trialInFlight = s.isHalfOpen(now)
}

// suspend starts the next back-off, unless one is running.
func (s *suspension) suspend(reason SuspensionReason, base time.Duration, now time.Time) {
	// A process that ends breaks all its calls at once. Counting each of them would raise
	// the back-off to its maximum for a single incident, so failures during the back-off
	// do not extend it.
	if s.isBackingOff(now) {
		return
	}
	s.reason = reason
	s.consecutive++
	s.successesInARow = 0
	s.until = now.Add(backoffDuration(base, s.consecutive))
}

// recordFailure adds a failure to the score and suspends the upstream at
// suspendThreshold. While the upstream is half-open, every failure suspends it again.
func (s *suspension) recordFailure(kind chuterequest.FailureKind, now time.Time) {
	weight := failureWeights[kind]
	s.successesInARow = 0
	if s.isHalfOpen(now) {
		weight = max(weight, suspendThreshold)
	}
	s.failureScore = min(s.failureScore+weight, 2*suspendThreshold)
	if s.failureScore < suspendThreshold {
		return
	}
	base := failingBackoff
	if kind == chuterequest.FailureCrossed {
		base = crossedBackoff
	}
	s.suspend(SuspendedFailing, base, now)
}

// recordRefusal suspends the upstream for at least the retry time that it asked for,
// which is limited to maxBackoff.
func (s *suspension) recordRefusal(retryAfter time.Duration, now time.Time) {
	s.suspend(SuspendedRefused, refusedBackoff, now)
	if requested := now.Add(min(retryAfter, maxBackoff)); requested.After(s.until) {
		s.until = requested
	}
}

// recordSuccess lowers the failure score and, unless the upstream is suspended as slow,
// ends a suspension whose back-off has ended.
func (s *suspension) recordSuccess(now time.Time) {
	s.failureScore = max(0, s.failureScore-1)
	s.successesInARow++
	if s.successesInARow >= successesToResetBackoff {
		s.consecutive = 0
	}
	// A call that was dispatched before the failure may still succeed. That does not show
	// that the failure is over, so success ends a suspension only after its back-off. A
	// slow upstream returns only if the trial call was fast enough (learnSlowness).
	if s.reason != SuspendedSlow {
		s.resumeAfterBackoff(now)
	}
}

// resumeAfterBackoff ends a suspension whose back-off has ended; it has no effect
// before.
func (s *suspension) resumeAfterBackoff(now time.Time) {
	if s.reason == NotSuspended || s.isBackingOff(now) {
		return
	}
	s.reason = NotSuspended
	s.until = time.Time{}
	s.failureScore = 0
}

// backoffDuration returns base, doubled for each further consecutive suspension, up to
// maxBackoff.
func backoffDuration(base time.Duration, consecutive int) time.Duration {
	duration := base
	for range consecutive - 1 {
		if duration >= maxBackoff {
			break
		}
		duration *= 2
	}

	return min(duration, maxBackoff)
}
