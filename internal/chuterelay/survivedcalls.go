package chuterelay

import (
	"time"

	"github.com/benbjohnson/immutable"

	"azurechute.example/azurechute/internal/chutequarantine"
)

// maxSurvivedRequests bounds the requests whose calls are counted in one window; above it, new ones are not counted.
const maxSurvivedRequests = 4096

// survivedCalls counts the calls of each request after which the upstream's process went on, in the current window and
// in the one before. It is immutable.
type survivedCalls struct {
	current, previous *immutable.Map[string, int]
	windowEnd         time.Time
}

func newSurvivedCalls() survivedCalls {
	none := immutable.NewMap[string, int](nil)

	return survivedCalls{current: none, previous: none}
}

// with counts a call of the request with a fingerprint.
func (s survivedCalls) with(fingerprint string, now time.Time) survivedCalls {
	if fingerprint == "" {
		return s
	}
	s = s.at(now)
	n, known := s.current.Get(fingerprint)
	if known || s.current.Len() < maxSurvivedRequests {
		s.current = s.current.Set(fingerprint, n+1)
	}

	return s
}

// count returns the number of calls counted for a request in the last one to two windows.
func (s survivedCalls) count(fingerprint string, now time.Time) int {
	s = s.at(now)
	current, _ := s.current.Get(fingerprint)
	previous, _ := s.previous.Get(fingerprint)

	return current + previous
}

// at returns the counts with the window that a time is in.
func (s survivedCalls) at(now time.Time) survivedCalls {
	if now.Before(s.windowEnd) {
		return s
	}
	none := immutable.NewMap[string, int](nil)
	s.previous = s.current
	if now.Sub(s.windowEnd) >= chutequarantine.SurvivalWindow {
		s.previous = none
	}
	s.current, s.windowEnd = none, now.Add(chutequarantine.SurvivalWindow)

	return s
}
