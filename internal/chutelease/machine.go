package chutelease

import (
	"maps"
	"time"
)

// Shares of the duration; a lease is renewed with time left for two more tries.
const (
	renewShare  = 3
	readShare   = 3
	retryShare  = 10
	marginShare = 10
	jitterShare = 5
)

// Settings names a node and its times.
type Settings struct {
	Zone        string
	Node        string
	Incarnation string
	// Duration is the length of the lease.
	Duration time.Duration
	// Margin is taken off the holder's time and added to a contender's; zero means a tenth of Duration.
	// It has to be more than the clocks of two nodes can drift apart within Duration.
	Margin time.Duration
	// OrderTimeout is the longest time of one order.
	OrderTimeout time.Duration
	// Seed makes the jitter differ between nodes.
	Seed uint64
}

// Read is the wanted effect to read the lease row.
type Read struct {
	ID uint64
}

// Write is the wanted effect to write the lease row on the condition of its version, 0 meaning absent.
type Write struct {
	ID      uint64
	Row     Row
	Version uint64
}

// Wants are the effects that follow from an event; at most one is set.
type Wants struct {
	Read  *Read
	Write *Write
}

// Machine is the immutable state of one node towards its zone's lease.
type Machine struct {
	settings   Settings
	contending bool
	resigned   bool
	lastID     uint64
	// pending is the effect under way; 0 means none.
	pending      uint64
	pendingSince time.Time
	nextTry      time.Time
	// known says that row and version are what the table last showed, first seen at seenSince.
	known     bool
	row       Row
	version   uint64
	seenSince time.Time
	lastRead  time.Time
	// mustRead is set while the outcome of a write is unknown.
	mustRead bool
	// sent holds the writes that may still take effect: all those conditional on the present version.
	sent map[uint64]sentWrite
	// heldFrom is the time before the renewal that counts was sent, heldUntil the end of what it gives.
	heldFrom  time.Time
	heldUntil time.Time
	epoch     uint64
	// firstOrder is the time from which the holder may send orders.
	firstOrder time.Time
	// floor is the highest fencing number seen at an engine.
	floor uint64
}

type sentWrite struct {
	row Row
	at  time.Time
	// waitOut is how long the first order waits if this write is an acquisition.
	waitOut time.Duration
}

// New returns the machine of a node that knows nothing of the lease yet.
func New(s Settings) Machine {
	return Machine{settings: s.withDefaults(), contending: true}
}

// WithTimes returns the machine with other times, which count from the next write on.
func (m Machine) WithTimes(duration, margin, orderTimeout time.Duration) Machine {
	m.settings.Duration, m.settings.Margin, m.settings.OrderTimeout = duration, margin, orderTimeout
	m.settings = m.settings.withDefaults()

	return m
}

// WithContending says whether the node tries to get the lease; a holder keeps it either way.
func (m Machine) WithContending(contending bool) Machine {
	m.contending = contending

	return m
}

// WithResigned gives the lease up for good, at a graceful shutdown; the row is freed by the next WithDue.
func (m Machine) WithResigned() Machine {
	m.resigned = true
	m = m.withoutHold()

	return m
}

// WithFencingSeen takes the fencing number that an engine reported or refused an order with.
// One above the own epoch means that another holder came after, or that the table was restored from an old copy;
// either way orders of this epoch are refused, so the hold ends and the next acquisition goes above that number.
func (m Machine) WithFencingSeen(number uint64) Machine {
	m.floor = max(m.floor, number)
	if m.epoch != 0 && m.floor > m.epoch {
		m = m.withoutHold()
	}

	return m
}

// Held reports whether the node holds the lease now; now carries the own monotonic clock.
func (m Machine) Held(now time.Time) bool {
	return m.epoch != 0 && before(now, m.heldUntil)
}

// Epoch returns the fencing number of the last acquisition while it was not lost, or 0.
func (m Machine) Epoch() uint64 {
	return m.epoch
}

// Remaining returns the time left of the hold, 0 if there is none.
func (m Machine) Remaining(now time.Time) time.Duration {
	if !m.Held(now) {
		return 0
	}

	return m.heldUntil.Sub(now)
}

// SendAllowed reports whether an order with this timeout may be sent now.
//
// It has to be asked with a clock read just before the sending. The order must end within the hold, or a
// successor could order the same engine meanwhile.
func (m Machine) SendAllowed(now time.Time, orderTimeout time.Duration) bool {
	return m.Held(now) && !now.Before(m.firstOrder) && before(now.Add(orderTimeout), m.heldUntil)
}

// Holder returns the row as last seen in the table and whether one was seen.
func (m Machine) Holder() (Row, bool) {
	return m.row, m.known && m.version != 0
}

// before compares by the monotonic clock and by the wall clock too, where the times carry both. On some hypervisors
// the monotonic clock stands still while a VM is suspended; the wall clock then ends the hold. A wall clock that
// jumps ahead ends it early, which is harmless.
func before(a, b time.Time) bool {
	return a.Before(b) && a.Round(0).Before(b.Round(0))
}

func (m Machine) withoutHold() Machine {
	m.epoch = 0
	m.heldFrom, m.heldUntil, m.firstOrder = time.Time{}, time.Time{}, time.Time{}

	return m
}

func (m Machine) withSent(id uint64, w sentWrite) Machine {
	m.sent = maps.Clone(m.sent)
	if m.sent == nil {
		m.sent = map[uint64]sentWrite{}
	}
	m.sent[id] = w

	return m
}

func (m Machine) ours() bool {
	return m.known && m.row.Holder == m.settings.Node && m.row.HolderIncarnation == m.settings.Incarnation
}

func (s Settings) withDefaults() Settings {
	if s.Margin <= 0 {
		s.Margin = s.Duration / marginShare
	}

	return s
}
