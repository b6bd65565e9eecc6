package chutefleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"azurechute.example/azurechute/internal/chutequota"
)

// State is what the platform's list says of an upstream.
type State string

// The states of an upstream.
const (
	StateReady   State = "Ready"
	StateLeaving State = "Leaving"
	// StateUnreadable: the list has an entry of this name that can't be read.
	StateUnreadable State = "Unreadable"
)

// Upstream is one incarnation of an upstream as the platform lists it.
type Upstream struct {
	// ID names the incarnation; a process that starts again has another.
	ID string
	// Name is what the upstream calls itself; one that starts again may keep it.
	Name string
	// StartedAt is the start of its process by its own clock, zero if it does not
	// say; it is compared with that of the same name only.
	StartedAt time.Time
	Pool      string
	Address   string
	Zone      string
	Version   string
	// Slots is the number of calls that it runs side by side.
	Slots int
	State State
	// Cold is how much longer the upstream stays cold, in steps; 0 if it is warm.
	Cold time.Duration
}

// FailureKind says how a call to an upstream failed, as far as routing cares.
type FailureKind string

// The kinds of failure that count against an upstream.
const (
	// FailureSilent: no connection, or no sign of life on one.
	FailureSilent FailureKind = "Silent"
	// FailureBroken: the connection broke or the answer was not whole.
	FailureBroken FailureKind = "Broken"
	// FailureErrored: the upstream answered that it failed.
	FailureErrored FailureKind = "Errored"
	// FailureFull: the upstream answered that it has no room.
	FailureFull FailureKind = "Full"
)

const (
	// firstAside and longestAside bound how long an upstream that went silent gets
	// no call: long enough that few callers meet it, short enough that a restart
	// (2 to 5 s) is noticed within a second of its end.
	firstAside   = 500 * time.Millisecond
	longestAside = 2 * time.Second
	// evidenceHalfLife is how fast failures are forgotten; a spell of failing
	// lasts some seconds.
	evidenceHalfLife = 2 * time.Second
	// forgotten is the evidence that is too little to prefer another upstream.
	forgotten = 0.05
	// reportLife is how long an upstream's own word on its load counts.
	reportLife = time.Second
	// fullPause is how long an upstream that refused for want of room counts as full.
	fullPause = 100 * time.Millisecond
)

// member is an upstream with this node's evidence on it.
type member struct {
	Upstream
	// before is the id of the incarnation that this one has replaced; empty if none is known.
	before string
	// unreadable says that its entry in the list can't be read at present.
	unreadable bool
	inFlight   int
	// tokens are the prompt tokens sent there and not yet read, as far as known.
	tokens int64
	// failing is the decayed count of recent failures, as of failedAt.
	failing  float64
	failedAt time.Time
	// silent counts failures by silence since the last answer.
	silent     int
	asideUntil time.Time
	fullUntil  time.Time
	// others is the load from elsewhere that the upstream's last report implies.
	others     int
	reportedAt time.Time
	warmup     warmup
	limit      limit
}

// Fleet is one node's view of all upstreams.
type Fleet struct {
	zone    string
	members *immutable.Map[string, member]
	// pools lists the ids of each pool, sorted; it is replaced, never changed.
	pools map[string][]string
	// incarnations maps a name to the id of its present incarnation, and ended holds
	// the ids of those right before them; both are replaced, never changed.
	incarnations map[string]string
	ended        map[string]bool
	// evacuated are the zones whose upstreams get nothing; it is replaced, never changed.
	evacuated map[string]bool
	bounds    coldBounds
	// sharers are the nodes among which the limits of upstreams are dealt out.
	sharers chutequota.Allocator
}

// New returns an empty fleet as seen from a zone.
func New(zone string) Fleet {
	return Fleet{zone: zone, members: immutable.NewMap[string, member](nil), pools: map[string][]string{}}
}

// with returns the fleet with one member changed; an unknown id changes nothing.
func (f Fleet) with(id string, change func(m *member)) Fleet {
	m, ok := f.members.Get(id)
	if !ok {
		return f
	}
	change(&m)
	f.members = f.members.Set(id, m)

	return f
}

// WithSent counts a call on its way to the upstream.
func (f Fleet) WithSent(id string, tokens int64, now time.Time) Fleet {
	return f.with(id, func(m *member) {
		m.inFlight++
		if m.warmup.cold(now) {
			m.warmup.sent = m.warmup.sent.WithSpent(coldSpan, now)
		}
		if m.limit.named {
			m.limit = m.limit.withSent(now)
		}
		m.tokens += tokens
	})
}

// WithRead takes back tokens that the upstream has read by now.
func (f Fleet) WithRead(id string, tokens int64) Fleet {
	return f.with(id, func(m *member) { m.tokens = max(0, m.tokens-tokens) })
}

// WithDone ends a call that WithSent began.
func (f Fleet) WithDone(id string) Fleet {
	return f.with(id, func(m *member) { m.inFlight = max(0, m.inFlight-1) })
}

// WithSuccess records an answer: whoever answers is not silent.
func (f Fleet) WithSuccess(id string, now time.Time) Fleet {
	return f.with(id, func(m *member) {
		m.failing = m.evidence(now) / 2
		m.failedAt = now
		m.silent = 0
		m.asideUntil = time.Time{}
	})
}

// WithFailure records a failed call.
func (f Fleet) WithFailure(id string, kind FailureKind, now time.Time) Fleet {
	return f.with(id, func(m *member) {
		if kind == FailureFull {
			m.fullUntil = now.Add(fullPause)

			return
		}
		m.failing = m.evidence(now) + 1
		m.failedAt = now
		if kind == FailureSilent {
			m.silent++
			m.asideUntil = now.Add(min(longestAside, firstAside<<min(m.silent-1, 4)))
		}
	})
}

// WithLeaving marks an incarnation as leaving; that word is never taken back.
func (f Fleet) WithLeaving(id string) Fleet {
	return f.with(id, func(m *member) { m.State = StateLeaving })
}

// WithLoad takes in an upstream's own word on its load.
func (f Fleet) WithLoad(id string, running, waiting int, now time.Time) Fleet {
	return f.with(id, func(m *member) {
		m.others = max(0, running+waiting-m.inFlight)
		m.reportedAt = now
	})
}

// Get returns a listed upstream.
func (f Fleet) Get(id string) (Upstream, bool) {
	m, ok := f.members.Get(id)

	return m.Upstream, ok
}

// InFlight counts the calls that this node has under way at the pool.
func (f Fleet) InFlight(pool string) int {
	n := 0
	for _, id := range f.pools[pool] {
		m, _ := f.members.Get(id)
		n += m.inFlight
	}

	return n
}

// View is what a state dump shows of one upstream.
type View struct {
	Upstream
	InFlight int
	Failing  float64
	// Limit is what it says of the requests that it takes; nil if it names none.
	Limit *Limit `json:",omitempty"`
	// Availability tells why it gets no calls now; its Bar is empty if it does.
	Availability
}

// Views returns every upstream, sorted by pool and id.
func (f Fleet) Views(now time.Time) []View {
	var views []View
	for i := f.members.Iterator(); !i.Done(); {
		_, m, _ := i.Next()
		view := View{
			Upstream: m.Upstream, InFlight: m.inFlight,
			Failing: m.evidence(now), Availability: f.availability(&m, now),
		}
		if m.limit.named {
			view.Limit = &m.limit.Limit
		}
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b View) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.ID, b.ID))
	})

	return views
}

// evidence is the decayed count of recent failures.
func (m *member) evidence(now time.Time) float64 {
	if m.failing == 0 {
		return 0
	}

	left := m.failing * math.Exp2(-float64(now.Sub(m.failedAt))/float64(evidenceHalfLife))
	if left < forgotten {
		return 0
	}

	return left
}

// load is the number of calls believed to be there now.
func (m *member) load(now time.Time) float64 {
	age := now.Sub(m.reportedAt)
	if age >= reportLife || m.reportedAt.IsZero() {
		return float64(m.inFlight)
	}
	fresh := 1 - float64(age)/float64(reportLife)

	return float64(m.inFlight) + float64(m.others)*fresh
}
