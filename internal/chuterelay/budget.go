package chuterelay

import (
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutebudget"
	"azurechute.example/azurechute/internal/chutefleet"
)

const (
	// collectorSlackShare is the share of a batched pool's slack for the collectors, which queue
	// failed parts again. The rest is for the nodes, which have lost results made again.
	collectorSlackShare = 0.5
	// maxCollectorsPerShard is how many collectors of one shard may be at work while nodes
	// disagree on the list of nodes.
	maxCollectorsPerShard = 2
	// startupSlackDivisor sets the part of a node's slack that a process leaves to the next one,
	// an eighth. minDividedSlack is the smallest slack of which it leaves any.
	startupSlackDivisor = 8
	minDividedSlack     = 4
	// departedWindows is how many windows a node that has left the list keeps its share of the
	// slack: it goes on serving for less than one window, and its last retries count for another.
	departedWindows = 2
)

// BudgetView describes a pool's retry budget at one node.
type BudgetView struct {
	chutebudget.Counts

	Pool string
	// Collecting marks the collector's budget, which pays for parts that are queued again.
	Collecting bool `json:",omitempty"`
	// Nodes is the number of nodes that share the slack.
	Nodes int
}

// budgetKey identifies one budget of a pool at this node.
type budgetKey struct {
	pool string
	// collecting marks the collector's budget.
	collecting bool
}

// budgetKeyHasher hashes budgetKeys for immutable.Map.
type budgetKeyHasher struct{}

func (budgetKeyHasher) Hash(k budgetKey) uint32 {
	return chutebatch.HashLane(chutebatch.Lane{Pool: k.pool})
}

func (budgetKeyHasher) Equal(a, b budgetKey) bool {
	return a == b
}

// account is a budget together with this node's share of the slack, in retries.
type account struct {
	budgetKey

	slack int
}

// nodeAccount returns the account for retries of calls to a pool, and for lost results that are made
// again.
func (s State) nodeAccount(pool string, now time.Time) account {
	poolSlack := s.settings.Retries.Slack
	if s.config.Pools[pool].Batching != nil {
		poolSlack *= 1 - collectorSlackShare
	}

	return account{budgetKey: budgetKey{pool: pool}, slack: s.spendableSlack(s.peers.sharers(now).Quota(pool, int(poolSlack)), now)}
}

// collectorAccount returns the account for parts that this node's collector queues again.
func (s State) collectorAccount(pool string, now time.Time) account {
	collectors := maxCollectorsPerShard
	if s.fleet.HasMoreThan(pool, maxUnshardedUpstreams, chutefleet.Use{}, now) {
		collectors *= s.peers.zoneCount()
	}
	share := int(s.settings.Retries.Slack * collectorSlackShare / float64(collectors))

	return account{budgetKey: budgetKey{pool: pool, collecting: true}, slack: s.spendableSlack(share, now)}
}

// spendableSlack returns how much of a share of the slack this process may spend.
//
// What the previous process spent is not known until it has left the window. Until then this one has what each
// process leaves to the next, and at least one retry.
func (s State) spendableSlack(share int, now time.Time) int {
	startupSlack := max(1, share/startupSlackDivisor)
	switch {
	case s.settings.Retries.Slack < 1:
		return 0
	case s.peersListedAt.IsZero() || now.Sub(s.peersListedAt) < s.settings.Retries.RetentionTime():
		return startupSlack
	case share < minDividedSlack:
		return share
	default:
		return share - startupSlack
	}
}

// departedShareTime returns how long a node that has left the list keeps its share of the slack.
func (s State) departedShareTime() time.Duration {
	return departedWindows * s.settings.Retries.WindowLength()
}

// countFirstCalls adds n first calls or parts to a budget.
func (st *reduction) countFirstCalls(key budgetKey, n int) {
	budget, _ := st.budgets.Get(key)
	st.budgets = st.budgets.Set(key, budget.WithFirstCalls(st.settings.Retries, n, st.now))
}

// countRetries adds n retries to a budget.
func (st *reduction) countRetries(key budgetKey, n int) {
	budget, _ := st.budgets.Get(key)
	st.budgets = st.budgets.Set(key, budget.WithRetries(st.settings.Retries, n, st.now))
}

// retriesLeft returns how many retries an account allows now.
func (st *reduction) retriesLeft(a account) int {
	return st.counts(a, st.now).Left
}

// counts returns an account's counts at a time.
func (s State) counts(a account, now time.Time) chutebudget.Counts {
	budget, _ := s.budgets.Get(a.budgetKey)

	return budget.Counts(s.settings.Retries, a.slack, now)
}

// mayRetry reports whether one more retry may be sent to a pool.
func (st *reduction) mayRetry(pool string) bool {
	return st.retriesLeft(st.nodeAccount(pool, st.now)) > 0
}

// nodeBudget returns this node's retry budget for relayed calls to a pool.
func (s State) nodeBudget(pool string, now time.Time) BudgetView {
	return s.budgetView(s.nodeAccount(pool, now), now)
}

func (s State) budgetView(a account, now time.Time) BudgetView {
	return BudgetView{Counts: s.counts(a, now), Pool: a.pool, Collecting: a.collecting, Nodes: s.peers.sharers(now).NodeCount()}
}

// budgetForLog returns a pool's current retry budget for the log.
func (st *reduction) budgetForLog(pool string) *BudgetView {
	v := st.nodeBudget(pool, st.now)

	return &v
}

// budgetViews returns all budgets that were ever used.
func (s State) budgetViews(now time.Time) []BudgetView {
	var views []BudgetView
	for i := s.budgets.Iterator(); !i.Done(); {
		key, _, _ := i.Next()
		a := s.nodeAccount(key.pool, now)
		if key.collecting {
			a = s.collectorAccount(key.pool, now)
		}
		views = append(views, s.budgetView(a, now))
	}

	return views
}
