package chuteroom

import (
	"math"
	"time"
)

const (
	// minRetryAfter is the shortest retry delay: before, the queue is about the same.
	minRetryAfter = 100 * time.Millisecond
	// retrySpread is the part by which a retry delay is varied either way, so that callers that are refused together do
	// not come back together.
	retrySpread = 0.25
	// maxRetryShare is the part of the caller's time up to which it is told to wait: two more attempts fit into it.
	maxRetryShare = 1.0 / 3
	// withinShareRetry is the part of maxRetryShare for workspaces within their shares, whose callers are to come back
	// before those of the others.
	withinShareRetry = 2.0 / 3
	// overShareFactor is the least ratio of the retry delays of workspaces above their shares to those of the others.
	overShareFactor = 1.5
)

// RetryAfter varies the time until capacity is expected by a quarter either way, by a random number in [0,1). The result
// is a third of the caller's remaining time at most, but 100 ms at least: a caller that is told ever shorter delays
// would retry many times just before it leaves.
func RetryAfter(expected, untilLeft time.Duration, random float64) time.Duration {
	// The bounds are applied before it is varied: the callers that meet a bound would come back together otherwise.
	middle := min(float64(expected), maxRetryShare/(1+retrySpread)*float64(untilLeft))
	middle = max(middle, float64(minRetryAfter)/(1-retrySpread))

	return time.Duration(middle * (1 - retrySpread + 2*retrySpread*random))
}

// retryAfter returns the retry delay of a refused call: the time until the wait has fallen to the tolerated one and, for
// a workspace above its share, until its demand has decayed so far that the call would be admitted. By its work in
// progress alone, which is never far above the share, all that it can't have would come back within a tenth of a second.
func (d Decision) retryAfter(call Call, random float64) time.Duration {
	expected := max(minRetryAfter, d.Wait-d.Tolerated)
	longest := maxRetryShare / (1 + retrySpread) * float64(max(0, call.UntilLeft))
	if !d.isOverShare(call.Tokens) {
		return RetryAfter(min(expected, time.Duration(withinShareRetry*longest)), call.UntilLeft, random)
	}
	expected = time.Duration(overShareFactor * float64(expected))
	allowed := max(1, d.Share-float64(call.Tokens), freeShare*d.Share)
	if ratio := max(d.Work, d.Demanded) / allowed; ratio > 1 {
		expected = max(expected, time.Duration(math.Log2(ratio)*float64(workHalfLife)))
	}

	return RetryAfter(expected, call.UntilLeft, random)
}
