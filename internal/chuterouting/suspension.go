package chuterouting

import (
	"time"

	"azurechute.example/azurechute/internal/chuterequest"
)

const (
	// asideThreshold is the weight of failures at which an upstream is set aside.
	suspendThreshold = 3
	failingBackoff   = 250 * time.Millisecond
	crossedBackoff   = 5 * time.Second
	refusedBackoff   = 100 * time.Millisecond
	slowBackoff      = time.Second
	maxBackoff       = 30 * time.Second
	// forgiveAfter is the run of successes that makes the back-off start anew.
	successesToResetBackoff = 10
)

// failureWeights says how strongly one failure speaks against an upstream.
//
// An error may be the input's fault and a broken connection may be the
// network's, so one of them alone does not cost an upstream its traffic.
// Unreachable and stalled cost each caller a whole timeout, and a crossed answer
// means that the upstream mixes up its callers: one is enough.
var failureWeights = map[chuterequest.FailureKind]int{
	chuterequest.FailureErrored:     1,
	chuterequest.FailureMalformed:   2,
	chuterequest.FailureBroken:      2,
	chuterequest.FailureStalled:     suspendThreshold,
	chuterequest.FailureUnreachable: suspendThreshold,
	chuterequest.FailureCrossed:     2 * suspendThreshold,
}

// aside is the evidence against an upstream and what follows from it.
//
// Until the back-off ends the upstream is not chosen; after it the upstream is
// on trial: it gets one call at a time, whose outcome decides. One that refused
// has only said that it is full, and needs no trial.
type suspension struct {
	reason SuspensionReason
	until  time.Time
	// count is how often it was set aside without a run of successes in between.
	consecutive     int
	failureScore    int
	successesInARow int
	// probing says that the call of a trial is in flight.
	trialInFlight bool
}

func (s suspension) isBackingOff(now time.Time) bool {
	return s.reason != NotSuspended && now.Before(s.until)
}

func (s suspension) isHalfOpen(now time.Time) bool {
	return (s.reason == SuspendedFailing || s.reason == SuspendedSlow) && !now.Before(s.until)
}

// free says whether the upstream is in full service.
func (s suspension) isInService(now time.Time) bool {
	return s.reason == NotSuspended || s.reason == SuspendedRefused && !now.Before(s.until)
}

// dispatched notes that a call went there.
func (s *suspension) recordDispatch(now time.Time) {
	s.trialInFlight = s.isHalfOpen(now)
}

// set begins or lengthens the back-off.
func (s *suspension) suspend(reason SuspensionReason, base time.Duration, now time.Time) {
	// One process that dies breaks all its calls at once. Counting each would
	// drive the back-off to its longest for a single incident, so failures within
	// the back-off change nothing.
	if s.isBackingOff(now) {
		return
	}
	s.reason = reason
	s.consecutive++
	s.successesInARow = 0
	s.until = now.Add(backoffDuration(base, s.consecutive))
}

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

// refused obeys the upstream's own word on when to come back, up to the longest back-off.
func (s *suspension) recordRefusal(retryAfter time.Duration, now time.Time) {
	s.suspend(SuspendedRefused, refusedBackoff, now)
	if requested := now.Add(min(retryAfter, maxBackoff)); requested.After(s.until) {
		s.until = requested
	}
}

func (s *suspension) recordSuccess(now time.Time) {
	s.failureScore = max(0, s.failureScore-1)
	s.successesInARow++
	if s.successesInARow >= successesToResetBackoff {
		s.consecutive = 0
	}
	// A call from before the failure may still end well; that does not show that
	// the failure is over, so only a trial brings the upstream back.
	if s.reason != SuspendedSlow {
		s.resumeAfterBackoff(now)
	}
}

// returned ends a back-off whose time is over, after a call that went well.
func (s *suspension) resumeAfterBackoff(now time.Time) {
	if s.reason == NotSuspended || s.isBackingOff(now) {
		return
	}
	s.reason = NotSuspended
	s.until = time.Time{}
	s.failureScore = 0
}

// backoff doubles with each time in a row, up to maxBackoff.
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
