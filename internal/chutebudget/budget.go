package chutebudget

import "time"

const (
	// DefaultWindow is the length of the window if the settings name none.
	DefaultWindow = 10 * time.Second
	// ShortestWindow is the minimum length of the window.
	ShortestWindow = time.Second
)

const (
	// windowSlots is the number of slots into which a window is divided.
	windowSlots = 40
	// creditSlots is the number of slots for which the credit of a first call can be spent.
	creditSlots = 5
	// maxSendDelay is the maximum time from the decision to retry until the call reaches its
	// upstream: the maximum time that a new connection takes, and some time for the network.
	maxSendDelay = 500 * time.Millisecond
	// maxSlots is the number of slots in which retries are counted for the shortest window. It
	// includes the newest slot, which has not ended yet.
	maxSlots = windowSlots + int64(maxSendDelay*windowSlots/ShortestWindow) + 1
	// creditPerRetry is the credit that one retry costs. First calls earn fractions of it.
	creditPerRetry = 1000
)

// Settings bound the retries of all nodes together in any window.
type Settings struct {
	// Ratio is the number of retries allowed per first call, 0 to 1.
	Ratio float64
	// Slack is the number of retries allowed in addition.
	Slack float64
	// Window is the length of the window over which both are counted; 0 means DefaultWindow.
	Window time.Duration
}

// WindowLength returns the length of the window, at least ShortestWindow.
func (s Settings) WindowLength() time.Duration {
	if s.Window <= 0 {
		return DefaultWindow
	}

	return max(s.Window, ShortestWindow)
}

// RetentionTime returns the minimum time for which a retry is counted, which includes the time
// until it reaches its upstream.
func (s Settings) RetentionTime() time.Duration {
	return s.slotLength() * time.Duration(s.retrySlots())
}

// retrySlots returns the number of slots in which retries are counted.
func (s Settings) retrySlots() int64 {
	return windowSlots + s.sendDelaySlots() + 1
}

// sendDelaySlots returns maxSendDelay in slots, rounded up.
func (s Settings) sendDelaySlots() int64 {
	return int64((maxSendDelay + s.slotLength() - 1) / s.slotLength())
}

func (s Settings) slotLength() time.Duration {
	return s.WindowLength() / windowSlots
}

// creditPerCall returns the credit that one first call earns.
//
// The retries that reach upstreams within a window are paid for with credit that was earned in the
// window or shortly before it: at most the lifetime of credit plus maxSendDelay. The credit per
// call is reduced in proportion to this longer time, so that the ratio holds in every window.
func (s Settings) creditPerCall() float64 {
	return s.Ratio * creditPerRetry / (1 + float64(creditSlots+s.sendDelaySlots())/windowSlots)
}

// slot holds the counts of one slot of the window.
type slot struct {
	firstCalls int32
	retries    int32
	// credit is the unspent credit of the slot's first calls. slackSpent is the part of the
	// retries' cost that was paid with slack. Both are in units of credit.
	credit     int32
	slackSpent int32
}

// Budget counts the recent first calls and retries of one pool. It is immutable, and all calls must
// use settings with the same window length.
//
// Credit can be spent once, and only for a short time. A share of each node's own first calls would add up to
// more when callers move between nodes.
type Budget struct {
	slots  [maxSlots]slot
	newest int64
}

// Counts describes a budget at one time.
type Counts struct {
	// First and Spent are the numbers of first calls and of retries in the window.
	First int
	Spent int
	// Left is the number of retries allowed now. Slack is the node's share of the slack.
	Left  int
	Slack int
}

// advancedTo starts the slots up to now and clears those that have left the window.
func (b Budget) advancedTo(s Settings, now time.Time) Budget {
	current := now.UnixNano() / int64(s.slotLength())
	for n := max(b.newest+1, current-maxSlots+1); n <= current; n++ {
		b.slots[n%maxSlots] = slot{}
	}
	b.newest = max(b.newest, current)

	return b
}

// slotOfAge returns the slot that is the given number of slots old, 0 for the newest.
func (b *Budget) slotOfAge(age int64) *slot {
	return &b.slots[(b.newest-age+maxSlots)%maxSlots]
}

// WithFirstCalls returns the budget with n first calls added.
func (b Budget) WithFirstCalls(s Settings, n int, now time.Time) Budget {
	b = b.advancedTo(s, now)
	newest := b.slotOfAge(0)
	newest.firstCalls += int32(n)                          //nolint:gosec // calls of a fraction of a second
	newest.credit += int32(s.creditPerCall() * float64(n)) //nolint:gosec // as above

	return b
}

// WithRetries returns the budget with n retries added. They are paid for with credit, the oldest
// first, and the rest with slack. A retry may be paid for partly with credit, so that the credit of
// a few calls saves slack even if it is less than one retry costs.
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

// Counts returns the counts of the budget at a time, and how many retries it allows then if the
// node's share of the slack is the given number.
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
