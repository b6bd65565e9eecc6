package chuterouting

import (
	"time"

	"azurechute.example/azurechute/internal/chuterequest"
)

const (
	// asideThreshold is the weight of failures at which an upstream is set aside.
	asideThreshold = 3
	failingBackoff = 250 * time.Millisecond
	crossedBackoff = 5 * time.Second
	refusedBackoff = 100 * time.Millisecond
	slowBackoff    = time.Second
	maxBackoff     = 30 * time.Second
	// forgiveAfter is the run of successes that makes the back-off start anew.
	forgiveAfter = 10
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
	chuterequest.FailureStalled:     asideThreshold,
	chuterequest.FailureUnreachable: asideThreshold,
	chuterequest.FailureCrossed:     2 * asideThreshold,
}

// aside is the evidence against an upstream and what follows from it.
//
// Until the back-off ends the upstream is not chosen; after it the upstream is
// on trial: it gets one call at a time, whose outcome decides.
type aside struct {
	reason AsideReason
	until  time.Time
	// count is how often it was set aside without a run of successes in between.
	count     int
	failures  int
	successes int
}

func (a aside) waiting(now time.Time) bool {
	return a.reason != AsideNone && now.Before(a.until)
}

func (a aside) onTrial(now time.Time) bool {
	return a.reason != AsideNone && !now.Before(a.until)
}

// set begins or lengthens the back-off.
func (a *aside) set(reason AsideReason, base time.Duration, now time.Time) {
	// One process that dies breaks all its calls at once. Counting each would
	// drive the back-off to its longest for a single incident, so failures within
	// the back-off change nothing.
	if a.waiting(now) {
		return
	}
	a.reason = reason
	a.count++
	a.successes = 0
	a.until = now.Add(backoff(base, a.count))
}

func (a *aside) failed(kind chuterequest.FailureKind, now time.Time) {
	weight := failureWeights[kind]
	a.successes = 0
	if a.onTrial(now) {
		weight = max(weight, asideThreshold)
	}
	a.failures = min(a.failures+weight, 2*asideThreshold)
	if a.failures < asideThreshold {
		return
	}
	base := failingBackoff
	if kind == chuterequest.FailureCrossed {
		base = crossedBackoff
	}
	a.set(AsideFailing, base, now)
}

// refused obeys the upstream's own word on when to come back, up to the longest back-off.
func (a *aside) refused(retryAfter time.Duration, now time.Time) {
	a.set(AsideRefused, refusedBackoff, now)
	if word := now.Add(min(retryAfter, maxBackoff)); word.After(a.until) {
		a.until = word
	}
}

func (a *aside) succeeded(now time.Time) {
	a.failures = max(0, a.failures-1)
	a.successes++
	if a.successes >= forgiveAfter {
		a.count = 0
	}
	// A call from before the failure may still end well; that does not show that
	// the failure is over, so only a trial brings the upstream back.
	if a.reason != AsideSlow {
		a.returned(now)
	}
}

// returned ends a trial that went well.
func (a *aside) returned(now time.Time) {
	if !a.onTrial(now) {
		return
	}
	a.reason = AsideNone
	a.until = time.Time{}
	a.failures = 0
}

// backoff doubles with each time in a row, up to maxBackoff.
func backoff(base time.Duration, count int) time.Duration {
	span := base
	for range count - 1 {
		if span >= maxBackoff {
			break
		}
		span *= 2
	}

	return min(span, maxBackoff)
}
