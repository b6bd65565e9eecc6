package chuterelay

import (
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	// backBelow is the part of the usual patience below which a caller is taken for
	// one that was turned away and has come back: what callers state at first
	// differs somewhat, and whoever was told to come back has used more.
	backBelow = 0.85
	// firstShare is where first callers lie on average, between that and the longest.
	firstShare = (1 + backBelow) / 2
	// patienceFade is the part of the way from the longest patience heard towards
	// each shorter one that is forgotten: some hundred requests after callers have
	// become less patient, that is what is usual.
	patienceFade = 1.0 / 64
)

// patiences maps a pipeline to the longest time that its callers wait, as they said lately.
type patiences struct {
	longest *immutable.Map[string, time.Duration]
}

func newPatiences() patiences {
	return patiences{longest: immutable.NewMap[string, time.Duration](nil)}
}

// with takes in how long one caller waits.
func (p patiences) with(pipeline string, wait time.Duration) patiences {
	if wait <= 0 {
		return p
	}
	longest, _ := p.longest.Get(pipeline)
	if wait < longest {
		wait = longest - time.Duration(patienceFade*float64(longest-wait))
	}
	p.longest = p.longest.Set(pipeline, wait)

	return p
}

// waited estimates how long a caller had waited before this sending.
//
// Callers count their time down over all their sendings, and an answer is on time
// only if it is so for the first of them. Taken for new, those that come back in a
// burst get the places of others that can still be on time, and are late all the
// same: with a third of all requests turned away once, two in five answers were.
func (p patiences) waited(pipeline string, wait time.Duration) time.Duration {
	longest, _ := p.longest.Get(pipeline)
	if wait <= 0 || float64(wait) >= backBelow*float64(longest) {
		return 0
	}

	return time.Duration(firstShare*float64(longest)) - wait
}
