package chuterelay

import "time"

const (
	// budgetWindow is the span over which first calls and repeats are compared.
	budgetWindow = 10 * time.Second
	// budgetSlots is the number of steps in which the window moves on.
	budgetSlots = 10
)

// BudgetSettings bounds the repeats of all nodes together; each node takes its share.
type BudgetSettings struct {
	// Ratio is the share of first calls that may be repeated.
	Ratio float64
	// Slack is what may be repeated besides in one window, by all nodes.
	Slack float64
}

// Budget counts the first calls to one pool and their repeats over a sliding window.
//
// Repeats without a bound multiply the load of a failing pool just when it can
// bear least. Each node keeps to its share of the slack, so that all nodes
// together keep to the whole without talking.
type Budget struct {
	first  [budgetSlots]int
	spent  [budgetSlots]int
	filled int64
}

// moved empties the slots that the window has left behind.
func (b Budget) moved(now time.Time) Budget {
	slot := now.UnixNano() / int64(budgetWindow/budgetSlots)
	for n := max(b.filled+1, slot-budgetSlots+1); n <= slot; n++ {
		b.first[n%budgetSlots] = 0
		b.spent[n%budgetSlots] = 0
	}
	b.filled = max(b.filled, slot)

	return b
}

// WithFirst counts n first calls.
func (b Budget) WithFirst(n int, now time.Time) Budget {
	b = b.moved(now)
	b.first[b.filled%budgetSlots] += n

	return b
}

// Left returns how many repeats the share of the budget allows now.
func (b Budget) Left(s BudgetSettings, share float64, now time.Time) int {
	b = b.moved(now)
	first, spent := 0, 0
	for i := range budgetSlots {
		first += b.first[i]
		spent += b.spent[i]
	}

	return max(0, int(s.Ratio*float64(first)+s.Slack*share)-spent)
}

// WithSpent counts n repeats.
func (b Budget) WithSpent(n int, now time.Time) Budget {
	b = b.moved(now)
	b.spent[b.filled%budgetSlots] += n

	return b
}

// BudgetView is a pool's retry budget as one node keeps it.
type BudgetView struct {
	Pool string
	// First and Spent are the first calls and the repeats of the window.
	First int
	Spent int
	// Allowed is how many repeats the window may have, Left how many of them are left.
	Allowed int
	Left    int
	// Nodes is the number of nodes among which the slack is divided.
	Nodes int
}

// view returns the budget for the log and the state dump.
func (b Budget) view(s BudgetSettings, share float64, now time.Time) BudgetView {
	b = b.moved(now)
	v := BudgetView{Left: b.Left(s, share, now)}
	for i := range budgetSlots {
		v.First += b.first[i]
		v.Spent += b.spent[i]
	}
	v.Allowed = int(s.Ratio*float64(v.First) + s.Slack*share)

	return v
}

// budget returns a pool's retry budget as this node keeps it.
func (s State) budget(pool string, now time.Time) BudgetView {
	budget, _ := s.budgets.Get(pool)
	v := budget.view(s.settings.Retries, s.peers.share(), now)
	v.Pool, v.Nodes = pool, len(s.peers.all)

	return v
}
