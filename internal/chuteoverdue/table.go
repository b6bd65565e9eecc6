package chuteoverdue

import (
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"
)

const (
	// likelyQuantile is the quantile of durations that counts as likely. One upstream in seven is slow at any time, so
	// that a higher one would only show how slow.
	likelyQuantile = 0.8
	// overdueFactor is the multiple of the likely duration after which a call is overdue, longFactor that of the part
	// beyond shortDuration: a long prompt is processed in many chunks, whose times vary less in sum.
	overdueFactor = 3.0
	longFactor    = 2.0
	shortDuration = 300 * time.Millisecond
	// suspectFactor is this multiple for calls at an upstream whose last call was overdue: what holds one call up mostly
	// holds those behind it up.
	suspectFactor = 1.5
	// slowFactor is the multiple of the likely duration from which on a call is no evidence that a pool is as usual.
	slowFactor = 1.5
	// minSamples is the number of calls that have to be known before anything is overdue.
	minSamples = 16
	// firstEventFloor and intervalFloor are the least times after which a call without its first event, or a stream
	// without its next one, is overdue. They cover the jitter of networks and schedulers.
	firstEventFloor = 250 * time.Millisecond
	intervalFloor   = 150 * time.Millisecond
	// maxKeys bounds the pairs of a pool and a pipeline, and maxPools the pools, that are kept; those without calls for
	// longest go first.
	maxKeys  = 512
	maxPools = 128
)

// Key identifies the calls that are compared with each other.
type Key struct {
	Pool     string
	Pipeline string
}

// keyHasher hashes Keys for immutable.Map.
type keyHasher struct{}

func (keyHasher) Hash(k Key) uint32 {
	return uint32(xxhash.Sum64String(k.Pool)*31 + xxhash.Sum64String(k.Pipeline)) //nolint:gosec // a hash
}

func (keyHasher) Equal(a, b Key) bool {
	return a == b
}

// learned is what is known of the calls of one key.
type learned struct {
	// ratios are times to the first event, as multiples of the expected ones; intervals are times between two events of
	// a stream in milliseconds, and lengths the events of whole answers.
	ratios    distribution
	intervals distribution
	lengths   distribution
	usedAt    time.Time
}

// poolState holds the last observations of a pool: of first events, by when their calls were sent, and of the
// intervals of streams, by when they were measured.
type poolState struct {
	firstEvents recent
	intervals   recent
	usedAt      time.Time
}

// Table is what one node has learned about the durations of calls. It is immutable.
type Table struct {
	keys  *immutable.Map[Key, *learned]
	pools *immutable.Map[string, *poolState]
}

// New returns a table that knows nothing: nothing is overdue by it.
func New() Table {
	return Table{keys: immutable.NewMap[Key, *learned](keyHasher{}), pools: immutable.NewMap[string, *poolState](nil)}
}

// Wait is the time that one call has waited for its first event.
type Wait struct {
	Key
	Upstream string
	SentAt   time.Time
	// Expected is the time that was expected when it was sent, Took the actual one up to now.
	Expected time.Duration
	Took     time.Duration
}

func (w Wait) ratio() float64 {
	if w.Expected <= 0 {
		return 0
	}

	return float64(max(0, w.Took)) / float64(w.Expected)
}

// Limit says from when on something is overdue, and what this was derived from.
type Limit struct {
	// After is the time without an event after which a call is overdue.
	After time.Duration
	// SuspectAfter is this time at an upstream whose last call was overdue, by IsSuspect.
	SuspectAfter time.Duration
	// Likely is the time that is usually not exceeded.
	Likely time.Duration
	// Quantile is the learned quantile of the ratio of actual to expected times; of the interval in milliseconds for
	// streams.
	Quantile float64
}

func newLimit(floor, likely time.Duration, quantile float64) Limit {
	short := min(likely, shortDuration)

	return Limit{
		After: max(floor, time.Duration(overdueFactor*float64(short)+longFactor*float64(likely-short))), SuspectAfter: max(floor, time.Duration(suspectFactor*float64(likely))),
		Likely: likely, Quantile: quantile,
	}
}

// FirstEvent returns when a call that is expected to take some time until its first event is overdue; false while too
// few calls are known.
func (t Table) FirstEvent(key Key, expected time.Duration, now time.Time) (Limit, bool) {
	known, ok := t.keys.Get(key)
	if !ok || known.ratios.samples(now) < minSamples-0.5 {
		return Limit{}, false
	}
	// Ratios below 1 are those of light calls, most of whose expected time is overhead. They say nothing about heavy ones.
	quantile := max(1, known.ratios.quantile(likelyQuantile))
	likely := time.Duration(quantile * float64(expected))

	return newLimit(firstEventFloor, likely, quantile), true
}

// NextEvent returns the interval between two events above which a stream is overdue; false while too few streams are
// known.
func (t Table) NextEvent(key Key, now time.Time) (Limit, bool) {
	known, ok := t.keys.Get(key)
	if !ok || known.intervals.samples(now) < minSamples-0.5 {
		return Limit{}, false
	}
	quantile := known.intervals.quantile(likelyQuantile)
	likely := time.Duration(quantile * float64(time.Millisecond))

	return newLimit(intervalFloor, likely, quantile), true
}

// remainingShare is the share of the usual number of events that a stream is taken to have left at least.
const remainingShare = 0.25

// EventsLeft estimates how many events a stream has left that has had some, by the median of whole answers; 0 if
// none is known.
func (t Table) EventsLeft(key Key, had int) float64 {
	known, ok := t.keys.Get(key)
	if !ok {
		return 0
	}
	usual := known.lengths.quantile(0.5)

	return max(usual-float64(had), remainingShare*usual)
}

// OthersBegin reports whether calls that were sent since a time to other upstreams of a pool begin as usual.
//
// If all are slow together, another upstream would not begin sooner.
func (t Table) OthersBegin(pool, upstream string, since time.Time) bool {
	known, ok := t.pools.Get(pool)

	return ok && known.firstEvents.othersNormal(upstream, since)
}

// IsSuspect reports whether the last call that was observed at an upstream began late or was overdue.
func (t Table) IsSuspect(pool, upstream string) bool {
	known, ok := t.pools.Get(pool)

	return ok && known.firstEvents.isSuspect(upstream)
}

// IsWorking reports whether a first event of an upstream has arrived as usual since a time, and no later call there
// was overdue.
func (t Table) IsWorking(pool, upstream string, since time.Time) bool {
	known, ok := t.pools.Get(pool)

	return ok && known.firstEvents.isWorking(upstream, since)
}

// OthersGoOn reports whether streams at other upstreams of a pool have had their events at the usual interval since a
// time.
func (t Table) OthersGoOn(pool, upstream string, since time.Time) bool {
	known, ok := t.pools.Get(pool)

	return ok && known.intervals.othersNormal(upstream, since)
}

// WithFirstEvent learns from a call whose first event has arrived. One that was recorded by WithOverdue tells nothing
// new about its pool.
func (t Table) WithFirstEvent(w Wait, wasOverdue bool, now time.Time) Table {
	if !wasOverdue {
		if limit, ok := t.FirstEvent(w.Key, w.Expected, now); ok {
			slow := w.Took > max(firstEventFloor, time.Duration(slowFactor*float64(limit.Likely)))
			t = t.withPool(w.Pool, now, func(p *poolState) {
				p.firstEvents = p.firstEvents.with(observation{upstream: w.Upstream, at: w.SentAt, recordedAt: now, slow: slow})
			})
		}
	}

	return t.withKey(w.Key, now, func(l *learned) { l.ratios = l.ratios.with(w.ratio(), now) })
}

// WithOverdue records a call that has become overdue and goes on, as evidence on its pool.
func (t Table) WithOverdue(w Wait, now time.Time) Table {
	return t.withPool(w.Pool, now, func(p *poolState) {
		p.firstEvents = p.firstEvents.with(observation{upstream: w.Upstream, at: w.SentAt, recordedAt: now, slow: true})
	})
}

// WithAbandoned learns from a call that ended without a first event. Its time is a lower bound only, so that it counts
// if it exceeds the likely one; left out, calls that are given up would make all others seem faster.
func (t Table) WithAbandoned(w Wait, now time.Time) Table {
	if limit, ok := t.FirstEvent(w.Key, w.Expected, now); !ok || w.Took <= limit.Likely {
		return t
	}

	return t.withKey(w.Key, now, func(l *learned) { l.ratios = l.ratios.with(w.ratio(), now) })
}

// WithStream learns from a complete stream: its number of events, and the time between the first and the last.
func (t Table) WithStream(key Key, events int, took time.Duration, now time.Time) Table {
	if events < 1 {
		return t
	}

	return t.withKey(key, now, func(l *learned) {
		l.lengths = l.lengths.with(float64(events), now)
		if events > 1 && took > 0 {
			l.intervals = l.intervals.with(milliseconds(took)/float64(events-1), now)
		}
	})
}

// WithInterval records the interval between the events of a stream as measured now, as evidence on its pool.
func (t Table) WithInterval(key Key, upstream string, interval time.Duration, now time.Time) Table {
	limit, ok := t.NextEvent(key, now)
	if !ok {
		return t
	}
	slow := interval > max(intervalFloor, time.Duration(slowFactor*float64(limit.Likely)))

	return t.withPool(key.Pool, now, func(p *poolState) {
		p.intervals = p.intervals.with(observation{upstream: upstream, at: now, recordedAt: now, slow: slow})
	})
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// withKey returns the table with a change of what is known of a key.
func (t Table) withKey(key Key, now time.Time, change func(l *learned)) Table {
	var next learned
	if known, ok := t.keys.Get(key); ok {
		next = *known
	} else if t.keys.Len() >= maxKeys {
		t.keys = withoutOldest(t.keys, func(l *learned) time.Time { return l.usedAt })
	}
	change(&next)
	next.usedAt = now
	t.keys = t.keys.Set(key, &next)

	return t
}

// withPool returns the table with a change of the observations of a pool.
func (t Table) withPool(pool string, now time.Time, change func(p *poolState)) Table {
	var next poolState
	if known, ok := t.pools.Get(pool); ok {
		next = *known
	} else if t.pools.Len() >= maxPools {
		t.pools = withoutOldest(t.pools, func(p *poolState) time.Time { return p.usedAt })
	}
	change(&next)
	next.usedAt = now
	t.pools = t.pools.Set(pool, &next)

	return t
}

// withoutOldest returns a map without the entry that was used longest ago.
func withoutOldest[K comparable, V any](m *immutable.Map[K, V], usedAt func(V) time.Time) *immutable.Map[K, V] {
	var oldest K
	var at time.Time
	for i := m.Iterator(); !i.Done(); {
		if key, value, _ := i.Next(); at.IsZero() || usedAt(value).Before(at) {
			oldest, at = key, usedAt(value)
		}
	}

	return m.Delete(oldest)
}
