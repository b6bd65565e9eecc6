package chutefleet

import "time"

const (
	// departedLifetime is how long what is known of an upstream is kept after its entry is gone.
	departedLifetime = time.Hour
	// maxEntryDelay is how long after the start of a process its entry may reach this node; entries do not
	// change while the store is unavailable.
	maxEntryDelay = 10 * time.Second
	// maxDeparted bounds the upstreams without an entry of which something is kept.
	maxDeparted = 1024
)

// departedUpstream is what is kept of an upstream whose entry is gone.
type departedUpstream struct {
	id    string
	known *observation
	at    time.Time
}

// inherited returns the part of an observation that holds for the next incarnation of the upstream too, until
// an answer of that one says otherwise.
//
// That is its rate limit with the calls that count against it, and that it is brittle.
func (o *observation) inherited() *observation {
	if !o.limit.isSet && !o.brittle.isSet {
		return unobserved
	}

	return &observation{limit: o.limit, brittle: o.brittle}
}

// withInheritedRest lets a rest that an incarnation has asked for hold for the next one, if that one may have asked
// for it: calls reach a new process under the id of the one before until this node has its entry.
func (f Fleet) withInheritedRest(previous, next string, now time.Time) Fleet {
	heard, _ := f.notices.Get(previous)
	if !now.Before(heard.restUntil) || now.Sub(heard.restAskedAt) >= maxEntryDelay {
		return f
	}

	return f.WithRest(next, heard.restUntil, heard.restAskedAt)
}

// withDeparted keeps what the next incarnation of a removed member inherits.
func (f Fleet) withDeparted(m *member, now time.Time) Fleet {
	known := m.inherited()
	if known == unobserved && !now.Before(f.RestUntil(m.ID)) {
		return f
	}
	if f.departed.Len() >= maxDeparted {
		f.departed = f.departed.Delete(f.oldestDeparted())
	}
	f.departed = f.departed.Set(m.Name, departedUpstream{id: m.ID, known: known, at: now})

	return f
}

// oldestDeparted returns the name of the upstream whose entry has been gone for the longest time.
func (f Fleet) oldestDeparted() string {
	oldest, oldestAt := "", time.Time{}
	for i := f.departed.Iterator(); !i.Done(); {
		if name, d, _ := i.Next(); oldest == "" || d.at.Before(oldestAt) {
			oldest, oldestAt = name, d.at
		}
	}

	return oldest
}

// withReturned lets a new member inherit from an upstream of its name whose entry was gone.
func (f Fleet) withReturned(m *member, name, id string, now time.Time) Fleet {
	d, ok := f.departed.Get(name)
	if !ok {
		return f
	}
	f.departed = f.departed.Delete(name)
	if now.Sub(d.at) >= departedLifetime {
		return f
	}
	m.observation = d.known

	return f.withInheritedRest(d.id, id, now)
}
