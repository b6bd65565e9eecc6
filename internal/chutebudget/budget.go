package chutebudget

import "time"

const (
	// DefaultWindow is the span of the bound where the settings name none.
	DefaultWindow = 10 * time.Second
	// ShortestWindow is the shortest span that a budget can count over.
	ShortestWindow = time.Second
)

const (
	// windowSlots is the number of steps in which a window moves on.
	windowSlots = 40
	// creditSlots is the number of slots for which a first call's credit lasts.
	creditSlots = 5
	// lateness is how much later than it was decided on a repeat may reach its upstream: the
	// time that a new connection takes at most, and some for its way.
	lateness = 500 * time.Millisecond
	// maxSlots is the number of slots in which repeats are counted for the shortest window;
	// the newest is not full.
	maxSlots = windowSlots + int64(lateness*windowSlots/ShortestWindow) + 1
	// unit is one repeat; credits come in parts of it.
	unit = 1000
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

// WindowLength returns the window's length.
func (s Settings) WindowLength() time.Duration {
	if s.Window <= 0 {
		return DefaultWindow
	}

	return max(s.Window, ShortestWindow)
}

// RetentionTime returns how long a repeat counts at least, on its way to the upstream included.
func (s Settings) RetentionTime() time.Duration {
	return s.slot() * time.Duration(s.spentSlots())
}

// spentSlots is the number of slots in which repeats are counted.
func (s Settings) spentSlots() int64 {
	return windowSlots + s.lateSlots() + 1
}

// lateSlots is the number of slots in which a repeat may reach its upstream late.
func (s Settings) lateSlots() int64 {
	return int64((lateness + s.slot() - 1) / s.slot())
}

func (s Settings) slot() time.Duration {
	return s.WindowLength() / windowSlots
}

// credit is what one first call earns, in parts of a unit.
//
// The repeats of a window are paid with the credit of that window and of the time before it in
// which credit lasts. It is smaller than the ratio by as much as that is longer.
func (s Settings) credit() float64 {
	return s.Ratio * unit / (1 + float64(creditSlots+s.lateSlots())/windowSlots)
}

// slot is what was counted in one step of the window.
type slot struct {
	first int32
	spent int32
	// credit is what is left of the first calls' credit, slack what was taken of the slack,
	// both in parts of a unit.
	credit int32
	slack  int32
}

// Budget counts one pool's first calls and repeats of late, by one window length; immutable.
//
// Credit is spent once and lasts shortly. Nodes that each allowed a share of their first calls
// in the last window would together allow more than that share where callers move from one
// node to another within a window, as they do when nodes are killed.
type Budget struct {
	slots  [maxSlots]slot
	newest int64
}

// Counts are what a budget holds at one time.
type Counts struct {
	// First and Spent are the first calls and the repeats of the window.
	First int
	Spent int
	// Left is how many repeats may be sent now, Slack the node's part of the slack.
	Left  int
	Slack int
}

// moved begins the slots that have come since, and empties those that the window has left.
func (b Budget) moved(s Settings, now time.Time) Budget {
	at := now.UnixNano() / int64(s.slot())
	for n := max(b.newest+1, at-maxSlots+1); n <= at; n++ {
		b.slots[n%maxSlots] = slot{}
	}
	b.newest = max(b.newest, at)

	return b
}

// aged returns the slot of an age in slots, 0 for the newest.
func (b *Budget) aged(age int64) *slot {
	return &b.slots[(b.newest-age+maxSlots)%maxSlots]
}

// WithFirstCalls counts n first calls.
func (b Budget) WithFirstCalls(s Settings, n int, now time.Time) Budget {
	b = b.moved(s, now)
	newest := b.aged(0)
	newest.first += int32(n)                        //nolint:gosec // calls of a fraction of a second
	newest.credit += int32(s.credit() * float64(n)) //nolint:gosec // as above

	return b
}

// WithRetries counts n repeats. They are paid with credit, the oldest first, and what that lacks
// with slack, so that parts of a repeat that few calls have earned are of use, too.
func (b Budget) WithRetries(s Settings, n int, now time.Time) Budget {
	b = b.moved(s, now)
	b.aged(0).spent += int32(n) //nolint:gosec // calls of a fraction of a second
	price := int32(n * unit)    //nolint:gosec // as above
	for age := int64(creditSlots - 1); age >= 0; age-- {
		paid := min(price, b.aged(age).credit)
		b.aged(age).credit -= paid
		price -= paid
	}
	b.aged(0).slack += price

	return b
}

// Counts returns what the budget allows now, with a part of the slack.
func (b Budget) Counts(s Settings, slack int, now time.Time) Counts {
	b = b.moved(s, now)
	c := Counts{Slack: slack}
	credit, taken := 0, 0
	for age := range s.spentSlots() {
		at := b.aged(age)
		c.Spent += int(at.spent)
		taken += int(at.slack)
		if age < windowSlots {
			c.First += int(at.first)
		}
		if age < creditSlots {
			credit += int(at.credit)
		}
	}
	c.Left = (credit + max(0, slack*unit-taken)) / unit

	return c
}
