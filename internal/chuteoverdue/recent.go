package chuteoverdue

import "time"

const (
	// maxRecent is the number of observations of a pool that are kept.
	maxRecent = 32
	// minNormal is the number of other calls that have to be as usual for one to be overdue, and minNormalShare their
	// least share: below it the pool is slow as a whole, and another upstream would be no faster.
	minNormal      = 3
	minNormalShare = 0.7
)

// observation is how one call at an upstream compared with the usual.
type observation struct {
	upstream string
	// at is when the call was sent or the interval measured, recordedAt when this was known.
	at         time.Time
	recordedAt time.Time
	slow       bool
}

// recent holds the last observations of a pool. It is immutable.
type recent []observation

// with returns the observations with a new one.
func (r recent) with(o observation) recent {
	first := max(0, len(r)+1-maxRecent)
	next := make(recent, 0, len(r)+1-first)

	return append(append(next, r[first:]...), o)
}

// isSuspect reports whether the last observation of an upstream was a slow one.
func (r recent) isSuspect(upstream string) bool {
	for i := len(r) - 1; i >= 0; i-- {
		if r[i].upstream == upstream {
			return r[i].slow
		}
	}

	return false
}

// isWorking reports whether the last observation of an upstream is a usual one that was made since a time.
func (r recent) isWorking(upstream string, since time.Time) bool {
	for i := len(r) - 1; i >= 0; i-- {
		if r[i].upstream == upstream {
			return !r[i].slow && !r[i].recordedAt.Before(since)
		}
	}

	return false
}

// othersNormal reports whether enough calls at other upstreams have been as usual since a time.
func (r recent) othersNormal(upstream string, since time.Time) bool {
	normal, all := 0, 0
	for i := range r {
		if r[i].upstream == upstream || r[i].at.Before(since) {
			continue
		}
		all++
		if !r[i].slow {
			normal++
		}
	}

	return normal >= minNormal && float64(normal) >= minNormalShare*float64(all)
}
