package chutefleet

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"azurechute.example/azurechute/internal/chutequota"
)

// State is the state of an upstream in the platform's list.
type State string

// The states of an upstream.
const (
	StateReady   State = "Ready"
	StateLeaving State = "Leaving"
	// StateUnreadable: the list has an entry with this name that can't be decoded.
	StateUnreadable State = "Unreadable"
)

// Upstream is one incarnation of an upstream as the platform lists it.
type Upstream struct {
	// ID identifies the incarnation; a restarted process has another one.
	ID string
	// Name is chosen by the upstream; a restarted process may keep it.
	Name string
	// StartedAt is the start time of its process by its own clock, zero if unknown.
	StartedAt time.Time
	Pool      string
	Address   string
	Zone      string
	Version   string
	// Slots is the number of calls that it runs concurrently.
	Slots int
	State State
	// Unvouched says that its version is new to the pool, and that an order about it may not be known
	// yet.
	Unvouched bool `json:",omitempty"`
	// Cold is how much longer the upstream stays cold after its start, in steps; 0 if it is warm.
	Cold time.Duration
}

// FailureKind is how a call to an upstream failed, as far as routing distinguishes it.
type FailureKind string

// The kinds of failure that affect the choice of an upstream.
const (
	// FailureSilent: no connection, or nothing received on one.
	FailureSilent FailureKind = "Silent"
	// FailureBroken: the connection broke or the answer was incomplete.
	FailureBroken FailureKind = "Broken"
	// FailureErrored: the upstream answered with an error.
	FailureErrored FailureKind = "Errored"
	// FailureFull: the upstream answered that it has no free capacity.
	FailureFull FailureKind = "Full"
	// FailureOverdue: a call takes several times its usual time, while other upstreams of the pool are as usual. It
	// makes the upstream a worse choice for a while, the more of them the longer, and never suspends it.
	FailureOverdue FailureKind = "Overdue"
)

const (
	// initialSuspension and maxSuspension are the shortest and the longest time for which a silent upstream is
	// suspended, that is, gets no calls.
	initialSuspension = 500 * time.Millisecond
	maxSuspension     = 2 * time.Second
	// failureHalfLife is the half-life of the failure count.
	failureHalfLife = 2 * time.Second
	// negligibleFailures is the failure count below which failures are ignored.
	negligibleFailures = 0.05
	// loadReportLifetime is how long a load report is used.
	loadReportLifetime = time.Second
	// fullDuration is how long an upstream that answered FailureFull counts as full.
	fullDuration = 100 * time.Millisecond
	// overdueDuration is how long an upstream with an overdue call counts as full.
	overdueDuration = 400 * time.Millisecond
)

// member is a listed upstream with what this node has observed of it. It is immutable.
type member struct {
	Upstream
	// replacedID is the id of the incarnation that this one replaced; empty if unknown.
	replacedID string
	// unreadable means that its entry in the list can't be decoded at present.
	unreadable bool
	*observation
}

// observation is what this node has observed of an upstream, or was told of it. It is immutable.
type observation struct {
	inFlight int
	// unreadTokens counts the prompt tokens sent to it that it has not yet read, as far as known.
	unreadTokens int64
	// failures is the decayed count of recent failures, as of failuresAt.
	failures   float64
	failuresAt time.Time
	// silentFailures counts the failures of kind FailureSilent since the last answer.
	silentFailures int
	suspendedUntil time.Time
	fullUntil      time.Time
	// brittle is set while it says that it falls over if it has to turn calls away; fullAt is when it last
	// had no room for a call.
	brittle brittleness
	fullAt  time.Time
	// otherCalls is the number of other nodes' calls implied by its last load report.
	otherCalls int
	reportedAt time.Time
	warmup     warmup
	limit      limit
}

// unobserved is the observation of upstreams of which there is none, shared because most have none.
var unobserved = &observation{}

// isZero reports whether the observation is as that of an upstream of which there is none.
func (o *observation) isZero() bool {
	return o.inFlight == 0 && o.unreadTokens == 0 && o.failures == 0 && o.silentFailures == 0 && o.suspendedUntil.IsZero() &&
		o.fullUntil.IsZero() && o.reportedAt.IsZero() && o.warmup.coldUntil.IsZero() && o.warmup.presumedUntil.IsZero() && !o.limit.isSet && !o.brittle.isSet
}

// saysNothing reports whether the observation no longer differs from none.
func (m *member) saysNothing(now time.Time) bool {
	return m.inFlight == 0 && m.unreadTokens == 0 && m.recentFailures(now) == 0 && m.silentFailures == 0 &&
		!now.Before(m.suspendedUntil) && !now.Before(m.fullUntil) && now.Sub(m.reportedAt) >= loadReportLifetime &&
		!now.Before(m.warmup.coldUntil) && !now.Before(m.warmup.presumedUntil) && !m.limit.isSet
}

// Fleet is one node's view of all upstreams.
type Fleet struct {
	zone    string
	members *immutable.Map[string, *member]
	// observed holds the ids of the members with an observation; observedLimit is their number at which
	// those are dropped that say nothing any more.
	observed      *immutable.Map[string, struct{}]
	observedLimit int
	// pools indexes the members by pool, versions by pool and software version; the maps are replaced, never
	// modified.
	pools    map[string]poolIndex
	versions map[poolVersion]poolIndex
	// incarnations maps a name to the id of its current incarnation; replacedIDs holds the ids of the
	// previous ones.
	incarnations *immutable.Map[string, string]
	replacedIDs  *immutable.Map[string, struct{}]
	// missing holds the names of upstreams that are not in the list any more and are kept for now.
	missing *immutable.Map[string, struct{}]
	// departed holds, by name, what is known of upstreams whose entries are gone.
	departed *immutable.Map[string, departedUpstream]
	// evacuated holds the zones whose upstreams get no calls; the map is replaced, never modified.
	evacuated map[string]bool
	bounds    coldBounds
	// limitOwners are the nodes among which the limits of upstreams are divided.
	limitOwners chutequota.Allocator
	// notices holds, by incarnation, what upstreams have said about themselves.
	notices *immutable.Map[string, notice]
	// zoneRegions maps each zone to its region; the map is never modified.
	zoneRegions map[string]string
	// versionRules holds the rules on versions by pool; the map is replaced, never modified.
	versionRules map[string]VersionRule
	// work holds what is known of the work of upstreams whose pools report a pace, reportable those with calls of this
	// node or something learned that other nodes have not heard.
	work       *immutable.Map[string, work]
	reportable *immutable.Map[string, struct{}]
	// workPools holds the pools whose upstreams report a pace; the map is replaced, never modified.
	workPools map[string]poolWork
}

// New returns an empty fleet for a node in a zone.
func New(zone string) Fleet {
	return Fleet{
		zone: zone, members: immutable.NewMap[string, *member](nil), observed: immutable.NewMap[string, struct{}](nil),
		pools: map[string]poolIndex{}, versions: map[poolVersion]poolIndex{}, incarnations: immutable.NewMap[string, string](nil),
		replacedIDs: immutable.NewMap[string, struct{}](nil), missing: immutable.NewMap[string, struct{}](nil),
		departed: immutable.NewMap[string, departedUpstream](nil),
		notices:  immutable.NewMap[string, notice](nil), observedLimit: minObservedLimit,
		work: immutable.NewMap[string, work](nil), reportable: immutable.NewMap[string, struct{}](nil),
	}
}

// minObservedLimit is the least number of observations at which those are dropped that say nothing.
const minObservedLimit = 64

// withMember returns the fleet with one member changed; an unknown id changes nothing.
func (f Fleet) withMember(id string, change func(m *member)) Fleet {
	known, ok := f.members.Get(id)
	if !ok {
		return f
	}
	m, o := *known, *known.observation
	m.observation = &o
	change(&m)
	if o.isZero() {
		m.observation = unobserved
	}

	return f.withPut(&m)
}

// withPut returns the fleet with a member put in place of the one with its id.
func (f Fleet) withPut(m *member) Fleet {
	f.members = f.members.Set(m.ID, m)
	_, isObserved := f.observed.Get(m.ID)
	switch {
	case isObserved && m.observation == unobserved:
		f.observed = f.observed.Delete(m.ID)
	case !isObserved && m.observation != unobserved:
		f.observed = f.observed.Set(m.ID, struct{}{})
	}

	return f
}

// withoutOldObservations drops the observations that say nothing any more, if there are many.
func (f Fleet) withoutOldObservations(now time.Time) Fleet {
	if f.observed.Len() < f.observedLimit {
		return f
	}
	for i := f.observed.Iterator(); !i.Done(); {
		id, _, _ := i.Next()
		if known, ok := f.members.Get(id); ok && known.saysNothing(now) {
			m := *known
			m.observation = unobserved
			f = f.withPut(&m)
		}
	}
	f.observedLimit = max(minObservedLimit, 2*f.observed.Len())

	return f
}

// observedMembers returns the members with an observation, in no particular order.
func (f Fleet) observedMembers() iter.Seq[*member] {
	return func(yield func(*member) bool) {
		for i := f.observed.Iterator(); !i.Done(); {
			id, _, _ := i.Next()
			if m, ok := f.members.Get(id); ok && !yield(m) {
				return
			}
		}
	}
}

// WithCallSent counts a call that is sent to the upstream, with its prompt tokens.
func (f Fleet) WithCallSent(id string, tokens int64, now time.Time) Fleet {
	if m, ok := f.members.Get(id); ok && f.PlacesByWork(m.Pool) {
		f.reportable = f.reportable.Set(id, struct{}{})
	}

	return f.withMember(id, func(m *member) {
		m.inFlight++
		if m.warmup.isCold(now) {
			m.warmup.sent = m.warmup.sent.WithSpent(coldQuotaSpan, now)
		}
		if m.limit.isSet {
			m.limit = m.limit.withCallSent(now)
		}
		m.unreadTokens += tokens
	}).withoutOldObservations(now)
}

// WithTokensRead subtracts prompt tokens that the upstream has read.
func (f Fleet) WithTokensRead(id string, tokens int64) Fleet {
	return f.withMember(id, func(m *member) { m.unreadTokens = max(0, m.unreadTokens-tokens) })
}

// WithCallDone records the end of a call that WithCallSent counted.
func (f Fleet) WithCallDone(id string) Fleet {
	return f.withMember(id, func(m *member) { m.inFlight = max(0, m.inFlight-1) })
}

// WithSuccess records an answer: it ends the upstream's silence and halves its failure count.
func (f Fleet) WithSuccess(id string, now time.Time) Fleet {
	return f.withMember(id, func(m *member) {
		m.failures = m.recentFailures(now) / 2
		m.failuresAt = now
		m.silentFailures = 0
		m.suspendedUntil = time.Time{}
	})
}

// WithFailure records a failed call.
func (f Fleet) WithFailure(id string, kind FailureKind, now time.Time) Fleet {
	return f.withMember(id, func(m *member) {
		switch kind {
		case FailureFull:
			m.fullUntil, m.fullAt = now.Add(fullDuration), now

			return
		case FailureOverdue:
			m.fullUntil = now.Add(overdueDuration)
		}
		m.failures = m.recentFailures(now) + 1
		m.failuresAt = now
		if kind == FailureSilent {
			m.silentFailures++
			m.suspendedUntil = now.Add(min(maxSuspension, initialSuspension<<min(m.silentFailures-1, 4)))
		}
	})
}

// WithLoad records an upstream's own report of its running and waiting calls.
func (f Fleet) WithLoad(id string, running, waiting int, now time.Time) Fleet {
	return f.withMember(id, func(m *member) {
		m.otherCalls = max(0, running+waiting-m.inFlight)
		m.reportedAt = now
	})
}

// Get returns a listed upstream; false if the id is not listed.
func (f Fleet) Get(id string) (Upstream, bool) {
	m, ok := f.members.Get(id)
	if !ok {
		return Upstream{}, false
	}

	return m.Upstream, true
}

// InFlight returns the number of calls that this node has in flight at the pool.
func (f Fleet) InFlight(pool string) int {
	n := 0
	for m := range f.observedMembers() {
		if m.Pool == pool {
			n += m.inFlight
		}
	}

	return n
}

// UpstreamView is the entry of one upstream in a state dump.
type UpstreamView struct {
	Upstream
	InFlight int
	Failing  float64
	// Limit is its rate limit; nil if it has none.
	Limit *Limit `json:",omitempty"`
	// SaysLeaving says that it has said in an answer that it leaves.
	SaysLeaving bool `json:",omitempty"`
	// RestUntil is when the rest that it has asked this node for is over; zero if it asked for none.
	RestUntil time.Time `json:",omitzero"`
	// Work is what is known of its outstanding work; nil unless its pool is placed by work.
	Work *WorkView `json:",omitempty"`
	// Availability is the reason why it gets no calls now, empty if it does.
	Availability
}

// Views returns every upstream, sorted by pool and id.
func (f Fleet) Views(now time.Time) []UpstreamView {
	var views []UpstreamView
	for i := f.members.Iterator(); !i.Done(); {
		_, m, _ := i.Next()
		view := UpstreamView{
			Upstream: m.Upstream, InFlight: m.inFlight,
			Failing: m.recentFailures(now), SaysLeaving: f.SaysLeaving(m.ID), RestUntil: f.RestUntil(m.ID), Availability: f.availability(m, false, now),
		}
		if m.limit.isSet {
			view.Limit = &m.limit.Limit
		}
		if f.PlacesByWork(m.Pool) {
			view.Work = f.workView(m, now)
		}
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b UpstreamView) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.ID, b.ID))
	})

	return views
}

// recentFailures returns the decayed count of recent failures; 0 if it is negligible.
func (m *member) recentFailures(now time.Time) float64 {
	if m.failures == 0 {
		return 0
	}

	decayed := m.failures * math.Exp2(-float64(now.Sub(m.failuresAt))/float64(failureHalfLife))
	if decayed < negligibleFailures {
		return 0
	}

	return decayed
}

// estimatedLoad returns the estimated number of calls at the upstream now: this node's
// own calls, and other nodes' calls by the last report, weighted by its age.
func (m *member) estimatedLoad(now time.Time) float64 {
	age := now.Sub(m.reportedAt)
	if age >= loadReportLifetime || m.reportedAt.IsZero() {
		return float64(m.inFlight)
	}
	weight := 1 - float64(age)/float64(loadReportLifetime)

	return float64(m.inFlight) + float64(m.otherCalls)*weight
}
