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
	maxSendDelay = 500 * time.Millisecond
	// maxSlots is the number of slots in which repeats are counted for the shortest window;
	// the newest is not full.
	maxSlots = windowSlots + int64(maxSendDelay*windowSlots/ShortestWindow) + 1
	// unit is one repeat; credits come in parts of it.
	creditPerRetry = 1000
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
	return s.slotLength() * time.Duration(s.retrySlots())
}

// spentSlots is the number of slots in which repeats are counted.
func (s Settings) retrySlots() int64 {
	return windowSlots + s.sendDelaySlots() + 1
}

// lateSlots is the number of slots in which a repeat may reach its upstream late.
func (s Settings) sendDelaySlots() int64 {
	return int64((maxSendDelay + s.slotLength() - 1) / s.slotLength())
}

func (s Settings) slotLength() time.Duration {
	return s.WindowLength() / windowSlots
}

// credit is what one first call earns, in parts of a unit.
//
// The repeats of a window are paid with the credit of that window and of the time before it in
// which credit lasts. It is smaller than the ratio by as much as that is longer.
func (s Settings) creditPerCall() float64 {
	return s.Ratio * creditPerRetry / (1 + float64(creditSlots+s.sendDelaySlots())/windowSlots)
}

// slot is what was counted in one step of the window.
type slot struct {
	firstCalls int32
	retries    int32
	// credit is what is left of the first calls' credit, slack what was taken of the slack,
	// both in parts of a unit.
	credit     int32
	slackSpent int32
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
func (b Budget) advancedTo(s Settings, now time.Time) Budget {
	current := now.UnixNano() / int64(s.slotLength())
	for n := max(b.newest+1, current-maxSlots+1); n <= current; n++ {
		b.slots[n%maxSlots] = slot{}
	}
	b.newest = max(b.newest, current)

	return b
}

// aged returns the slot of an age in slots, 0 for the newest.
func (b *Budget) slotOfAge(age int64) *slot {
	return &b.slots[(b.newest-age+maxSlots)%maxSlots]
}

// WithFirstCalls counts n first calls.
func (b Budget) WithFirstCalls(s Settings, n int, now time.Time) Budget {
	b = b.advancedTo(s, now)
	newest := b.slotOfAge(0)
	newest.firstCalls += int32(n)                          //nolint:gosec // calls of a fraction of a second
	newest.credit += int32(s.creditPerCall() * float64(n)) //nolint:gosec // as above

	return b
}

// WithRetries counts n repeats. They are paid with credit, the oldest first, and what that lacks
// with slack, so that parts of a repeat that few calls have earned are of use, too.
func (b Budget) WithRetries(s Settings, n int, now time.Time) Budget {
	b = b.advancedTo(s, now)
	b.slotOfAge(0).retries += int32(n)  //nolint:gosec // calls of a fraction of a second
	unpaid := int32(n * creditPerRetry) //nolint:gosec // as above
	for age := int64(creditSlots - 1); age >= 0; age-- {
		paid := min(unpaid, b.slotOfAge(age).credit)
		b.slotOfAge(age).credit -= paid
		unpaid -= paid
	}
	b.slotOfAge(0).slackSpent += unpaid

	return b
}

// Counts returns what the budget allows now, with a part of the slack.
func (b Budget) Counts(s Settings, slack int, now time.Time) Counts {
	b = b.advancedTo(s, now)
	c := Counts{Slack: slack}
	credit, slackSpent := 0, 0
	for age := range s.retrySlots() {
		counted := b.slotOfAge(age)
		c.Spent += int(counted.retries)
		slackSpent += int(counted.slackSpent)
		if age < windowSlots {
			c.First += int(counted.firstCalls)
		}
		if age < creditSlots {
			credit += int(counted.credit)
		}
	}
	c.Left = (credit + max(0, slack*creditPerRetry-slackSpent)) / creditPerRetry

	return c
}
