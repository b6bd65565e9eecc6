package chuterelay

import (
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	// resentBelow is the share of the longest usual wait below which a caller is assumed to be
	// resending a refused request. The waits that callers state with a first sending vary
	// somewhat, and a caller that received a retry delay has used up more than that.
	resentBelow = 0.85
	// firstSendShare is the average wait of first sendings, halfway between resentBelow and the
	// longest wait, as a share of the longest.
	firstSendShare = (1 + resentBelow) / 2
	// longestWaitDecay is the part by which the longest wait moves towards each shorter one. Some
	// hundred requests after callers have begun to wait less, the longest wait has followed.
	longestWaitDecay = 1.0 / 64
)

// callerWaits maps a pipeline to the longest wait that its callers have stated recently.
type callerWaits struct {
	longest *immutable.Map[string, time.Duration]
}

func newCallerWaits() callerWaits {
	return callerWaits{longest: immutable.NewMap[string, time.Duration](nil)}
}

// with records the wait that one caller has stated; it ignores a wait of 0, which is not stated.
func (w callerWaits) with(pipeline string, wait time.Duration) callerWaits {
	if wait <= 0 {
		return w
	}
	longest, _ := w.longest.Get(pipeline)
	if wait < longest {
		wait = longest - time.Duration(longestWaitDecay*float64(longest-wait))
	}
	w.longest = w.longest.Set(pipeline, wait)

	return w
}

// waitedBefore estimates how long a caller had waited before this sending.
//
// Callers count their time down over all sendings of a request, and an answer is on time only if it is so for
// the first one.
func (w callerWaits) waitedBefore(pipeline string, wait time.Duration) time.Duration {
	longest, _ := w.longest.Get(pipeline)
	if wait <= 0 || float64(wait) >= resentBelow*float64(longest) {
		return 0
	}

	return time.Duration(firstSendShare*float64(longest)) - wait
}
