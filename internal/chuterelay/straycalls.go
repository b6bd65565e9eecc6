package chuterelay

import (
	"time"

	"github.com/benbjohnson/immutable"

	"azurechute.example/azurechute/internal/chutequarantine"
)

const (
	// strayCallTime is how long a call whose upstream's process was replaced in the list may still end the next
	// process.
	strayCallTime = 2 * time.Second
	// maxStrayUpstreams is the number of upstreams with stray calls above which those are dropped that can't be
	// running any more.
	maxStrayUpstreams = 256
)

// strayCall is a call that was sent to an upstream under the id of a process that the list replaced meanwhile. It may
// have reached the next process.
type strayCall struct {
	suspect chutequarantine.Suspect
	until   time.Time
}

// strayCalls maps an upstream's name to the calls that may still run in its present process. It is immutable.
type strayCalls struct {
	byName *immutable.Map[string, []strayCall]
}

func newStrayCalls() strayCalls {
	return strayCalls{byName: immutable.NewMap[string, []strayCall](nil)}
}

// with adds a call; calls that can't be running any more are dropped.
func (s strayCalls) with(upstream string, suspect chutequarantine.Suspect, now time.Time) strayCalls {
	var calls []strayCall
	known, _ := s.byName.Get(upstream)
	for _, call := range known {
		if now.Before(call.until) {
			calls = append(calls, call)
		}
	}
	s.byName = s.byName.Set(upstream, append(calls, strayCall{suspect: suspect, until: now.Add(strayCallTime)}))
	if s.byName.Len() > maxStrayUpstreams {
		s = s.withoutOld(now)
	}

	return s
}

// withoutOld drops the upstreams whose last stray call can't be running any more.
func (s strayCalls) withoutOld(now time.Time) strayCalls {
	for i := s.byName.Iterator(); !i.Done(); {
		if name, calls, _ := i.Next(); !now.Before(calls[len(calls)-1].until) {
			s.byName = s.byName.Delete(name)
		}
	}

	return s
}

// suspects returns the requests whose calls may still be running at an upstream.
func (s strayCalls) suspects(upstream string, now time.Time) []chutequarantine.Suspect {
	var all []chutequarantine.Suspect
	calls, _ := s.byName.Get(upstream)
	for _, call := range calls {
		if now.Before(call.until) {
			all = append(all, call.suspect)
		}
	}

	return all
}
