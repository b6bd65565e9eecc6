package chuterelay

import (
	"strings"
	"time"

	"azurechute.example/azurechute/internal/chutebudget"
)

const (
	// collectorPart is the part of a batched pool's slack that is for the collectors, which
	// queue failed parts again; the rest is for the nodes, which have lost results made again.
	collectorPart = 0.5
	// collectorsAtOnce is how many collectors of one shard may be at work while nodes disagree
	// on the list.
	collectorsAtOnce = 2
	// departedWindows is how many windows a node that left the list keeps its part of the
	// slack: it serves on for less than one of them, and its last repeats count for another.
	departedWindows = 2
)

// BudgetView is a pool's retry budget as one node keeps it.
type BudgetView struct {
	chutebudget.Counts

	Pool string
	// Collecting says that it is the collector's, for parts that are queued again.
	Collecting bool `json:",omitempty"`
	// Nodes is the number of nodes among which the slack is divided.
	Nodes int
}

// account is one budget of a pool at this node, with the node's part of the slack.
type account struct {
	key   string
	pool  string
	slack int
}

// nodeAccount pays for relayed calls to a pool, and for lost results that are made again.
func (s State) nodeAccount(pool string, now time.Time) account {
	whole := s.settings.Retries.Slack
	if s.config.Pools[pool].Batching != nil {
		whole *= 1 - collectorPart
	}

	return account{key: pool, pool: pool, slack: s.knownSlack(s.peers.sharers(now).Quota(pool, int(whole)), now)}
}

// collectorAccount pays for the parts that this node's collector queues again.
func (s State) collectorAccount(pool string, now time.Time) account {
	collectors := collectorsAtOnce
	if s.fleet.Len(pool, now) > shardAbove {
		collectors *= s.peers.zones()
	}
	part := int(s.settings.Retries.Slack * collectorPart / float64(collectors))

	return account{key: collecting + pool, pool: pool, slack: s.knownSlack(part, now)}
}

// knownSlack is a part of the slack, or nothing while this process does not know what the one
// before it has spent of it.
func (s State) knownSlack(part int, now time.Time) int {
	if s.listedAt.IsZero() || now.Sub(s.listedAt) < s.settings.Retries.Memory() {
		return 0
	}

	return part
}

// departedFor is how long a node that has left the list keeps its part of the slack.
func (s State) departedFor() time.Duration {
	return departedWindows * s.settings.Retries.Span()
}

// countFirst counts first calls.
func (st *step) countFirst(a account, n int) {
	budget, _ := st.budgets.Get(a.key)
	st.budgets = st.budgets.Set(a.key, budget.WithFirst(st.settings.Retries, n, st.now))
}

// spendRepeats counts repeats.
func (st *step) spendRepeats(a account, n int) {
	budget, _ := st.budgets.Get(a.key)
	st.budgets = st.budgets.Set(a.key, budget.WithSpent(st.settings.Retries, n, st.now))
}

// repeatsLeft is how many repeats an account allows now.
func (st *step) repeatsLeft(a account) int {
	return st.counts(a, st.now).Left
}

// counts returns what an account holds.
func (s State) counts(a account, now time.Time) chutebudget.Counts {
	budget, _ := s.budgets.Get(a.key)

	return budget.Counts(s.settings.Retries, a.slack, now)
}

// mayRepeat says whether one more repeat may be sent to a pool.
func (st *step) mayRepeat(pool string) bool {
	return st.repeatsLeft(st.nodeAccount(pool, st.now)) > 0
}

// budget returns a pool's retry budget for relayed calls as this node keeps it.
func (s State) budget(pool string, now time.Time) BudgetView {
	return s.view(s.nodeAccount(pool, now), now)
}

func (s State) view(a account, now time.Time) BudgetView {
	return BudgetView{Counts: s.counts(a, now), Pool: a.pool, Nodes: s.peers.sharers(now).Len()}
}

// budgetNow returns a pool's retry budget for the log.
func (st *step) budgetNow(pool string) *BudgetView {
	v := st.budget(pool, st.now)

	return &v
}

// budgetViews returns all budgets that were ever used.
func (s State) budgetViews(now time.Time) []BudgetView {
	var views []BudgetView
	for i := s.budgets.Iterator(); !i.Done(); {
		key, _, _ := i.Next()
		a := s.nodeAccount(key, now)
		pool, collects := strings.CutPrefix(key, collecting)
		if collects {
			a = s.collectorAccount(pool, now)
		}
		v := s.view(a, now)
		v.Collecting = collects
		views = append(views, v)
	}

	return views
}
