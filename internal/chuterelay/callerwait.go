package chuterelay

import (
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	// resentBelow is the part of the usual patience below which a caller is taken for
	// one that was turned away and has come back: what callers state at first
	// differs somewhat, and whoever was told to come back has used more.
	resentBelow = 0.85
	// firstSendShare is where first callers lie on average, between that and the longest.
	firstSendShare = (1 + resentBelow) / 2
	// longestWaitDecay is the part of the way from the longest patience heard towards
	// each shorter one that is forgotten: some hundred requests after callers have
	// become less patient, that is what is usual.
	longestWaitDecay = 1.0 / 64
)

// callerWaits maps a pipeline to the longest time that its callers wait, as they said lately.
type callerWaits struct {
	longest *immutable.Map[string, time.Duration]
}

func newCallerWaits() callerWaits {
	return callerWaits{longest: immutable.NewMap[string, time.Duration](nil)}
}

// with takes in how long one caller waits.
func (p callerWaits) with(pipeline string, wait time.Duration) callerWaits {
	if wait <= 0 {
		return p
	}
	longest, _ := p.longest.Get(pipeline)
	if wait < longest {
		wait = longest - time.Duration(longestWaitDecay*float64(longest-wait))
	}
	p.longest = p.longest.Set(pipeline, wait)

	return p
}

// waitedBefore estimates how long a caller had waited before this sending.
//
// Callers count their time down over all their sendings, and an answer is on time
// only if it is so for the first of them. Taken for new, those that come back in a
// burst get the places of others that can still be on time, and are late all the
// same: with a third of all requests turned away once, two in five answers were.
func (p callerWaits) waitedBefore(pipeline string, wait time.Duration) time.Duration {
	longest, _ := p.longest.Get(pipeline)
	if wait <= 0 || float64(wait) >= resentBelow*float64(longest) {
		return 0
	}

	return time.Duration(firstSendShare*float64(longest)) - wait
}
