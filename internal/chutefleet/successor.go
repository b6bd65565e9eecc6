package chutefleet

import "time"

const (
	// departedLifetime is how long what is known of an upstream is kept after its entry is gone. Entries
	// expire while the platform's store is unavailable, and an upstream may start again under its name.
	departedLifetime = time.Hour
	// maxDeparted bounds the upstreams without an entry of which something is kept.
	maxDeparted = 1024
)

// departedUpstream is what is kept of an upstream whose entry is gone.
type departedUpstream struct {
	known *observation
	at    time.Time
}

// inherited returns the part of an observation that holds for the next incarnation of the upstream too, until
// an answer of that one says otherwise.
//
// What an upstream states about its capacity holds for whichever process has its name: its rate limit, with the
// calls that count against it, and that it is brittle. Without it every node would send freely to a new process
// until it gets an answer, which is never while answers are lost. What only describes one process is not
// inherited: calls in flight, load, failures, suspension, and warm-up, which the new entry states.
func (o *observation) inherited() *observation {
	if !o.limit.isSet && !o.brittle.isSet {
		return unobserved
	}

	return &observation{limit: o.limit, brittle: o.brittle}
}

// withDeparted keeps what the next incarnation of a removed member inherits.
func (f Fleet) withDeparted(m *member, now time.Time) Fleet {
	known := m.inherited()
	if known == unobserved {
		return f
	}
	if f.departed.Len() >= maxDeparted {
		f.departed = f.departed.Delete(f.oldestDeparted())
	}
	f.departed = f.departed.Set(m.Name, departedUpstream{known: known, at: now})

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

// takeDeparted returns what a new member inherits from an upstream of its name whose entry was gone.
func (f Fleet) takeDeparted(name string, now time.Time) (Fleet, *observation) {
	d, ok := f.departed.Get(name)
	if !ok {
		return f, unobserved
	}
	f.departed = f.departed.Delete(name)
	if now.Sub(d.at) >= departedLifetime {
		return f, unobserved
	}

	return f, d.known
}
