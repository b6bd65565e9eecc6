package chutebudget

import "time"

// DefaultWindow is the span of the bound where the settings name none.
const DefaultWindow = 10 * time.Second

const (
	// windowSlots is the number of steps in which a window moves on.
	windowSlots = 40
	// lateSlots is how many slots later than it was decided on a repeat may reach its
	// upstream: the time that a new connection takes at most.
	lateSlots = 2
	// spentSlots is the number of slots in which repeats are counted; the newest is not full.
	spentSlots = windowSlots + lateSlots + 1
)

// Settings bound the repeats of all nodes together in any window.
type Settings struct {
	// Ratio is the share of first calls that may be repeated, 0 to 1.
	Ratio float64
	// Slack is the number of repeats that are allowed besides.
	Slack float64
	// Window is the span over which both are counted; 0 is DefaultWindow.
	Window time.Duration
}

// Span returns the window's length.
func (s Settings) Span() time.Duration {
	if s.Window <= 0 {
		return DefaultWindow
	}

	return s.Window
}

// Memory returns how long a repeat counts at least, on its way to the upstream included.
func (s Settings) Memory() time.Duration {
	return s.slot() * spentSlots
}

func (s Settings) slot() time.Duration {
	return s.Span() / windowSlots
}

// slot is what was counted in one step of the window.
type slot struct {
	first int32
	spent int32
}

// Budget counts one pool's first calls and repeats of late, by one window length; immutable.
type Budget struct {
	slots  [spentSlots]slot
	newest int64
}

// Counts are what a budget holds at one time.
type Counts struct {
	// First and Spent are the first calls and the repeats of the window.
	First int
	Spent int
	// Allowed is how many repeats there may be, and Left how many of them are left.
	Allowed int
	Left    int
}

// moved empties the slots that the window has left behind.
func (b Budget) moved(s Settings, now time.Time) Budget {
	at := now.UnixNano() / int64(s.slot())
	for n := max(b.newest+1, at-spentSlots+1); n <= at; n++ {
		b.slots[n%spentSlots] = slot{}
	}
	b.newest = max(b.newest, at)

	return b
}

// aged returns the slot of an age in slots, 0 for the newest.
func (b *Budget) aged(age int64) *slot {
	return &b.slots[(b.newest-age+spentSlots)%spentSlots]
}

// WithFirst counts n first calls.
func (b Budget) WithFirst(s Settings, n int, now time.Time) Budget {
	b = b.moved(s, now)
	b.aged(0).first += int32(n) //nolint:gosec // calls of a fraction of a second

	return b
}

// WithSpent counts n repeats.
func (b Budget) WithSpent(s Settings, n int, now time.Time) Budget {
	b = b.moved(s, now)
	b.aged(0).spent += int32(n) //nolint:gosec // calls of a fraction of a second

	return b
}

// Counts returns what the budget allows now, with a part of the slack.
//
// The slots are coarser than the window's edge: first calls are counted for the window or
// somewhat less, repeats for somewhat more.
func (b Budget) Counts(s Settings, slack int, now time.Time) Counts {
	b = b.moved(s, now)
	var c Counts
	for age := range int64(spentSlots) {
		at := b.aged(age)
		c.Spent += int(at.spent)
		if age < windowSlots {
			c.First += int(at.first)
		}
	}
	c.Allowed = int(s.Ratio*float64(c.First)) + slack
	c.Left = max(0, c.Allowed-c.Spent)

	return c
}
