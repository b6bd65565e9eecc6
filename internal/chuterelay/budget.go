package chuterelay

import (
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutebudget"
)

const (
	// collectorPart is the part of a batched pool's slack that is for the collectors, which
	// queue failed parts again; the rest is for the nodes, which have lost results made again.
	collectorPart = 0.5
	// collectorsAtOnce is how many collectors of one shard may be at work while nodes disagree
	// on the list.
	collectorsAtOnce = 2
	// startPart is the part of a node's slack that a process leaves to the next one, an eighth,
	// and leastShared the smallest slack of which it leaves any.
	startPart   = 8
	leastShared = 4
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

// budgetKey names one budget of a pool at this node.
type budgetKey struct {
	pool string
	// collecting says that it is the collector's.
	collecting bool
}

// budgetKeyHasher hashes keys for the library's map.
type budgetKeyHasher struct{}

func (budgetKeyHasher) Hash(k budgetKey) uint32 {
	return chutebatch.HashLane(chutebatch.Lane{Pool: k.pool})
}

func (budgetKeyHasher) Equal(a, b budgetKey) bool {
	return a == b
}

// account is a budget with this node's part of the slack.
type account struct {
	budgetKey

	slack int
}

// nodeAccount pays for relayed calls to a pool, and for lost results that are made again.
func (s State) nodeAccount(pool string, now time.Time) account {
	whole := s.settings.Retries.Slack
	if s.config.Pools[pool].Batching != nil {
		whole *= 1 - collectorPart
	}

	return account{budgetKey: budgetKey{pool: pool}, slack: s.knownSlack(s.peers.sharers(now).Quota(pool, int(whole)), now)}
}

// collectorAccount pays for the parts that this node's collector queues again.
func (s State) collectorAccount(pool string, now time.Time) account {
	collectors := collectorsAtOnce
	if s.fleet.PoolSize(pool, now) > shardAbove {
		collectors *= s.peers.zones()
	}
	part := int(s.settings.Retries.Slack * collectorPart / float64(collectors))

	return account{budgetKey: budgetKey{pool: pool, collecting: true}, slack: s.knownSlack(part, now)}
}

// knownSlack is what this process may spend of a part of the slack.
//
// It does not know what the process before it has spent until that no longer counts. Until
// then it has what each process leaves to the next one, and one repeat before it knows the list
// of nodes, so that callers of a node that has just started get some repeats.
func (s State) knownSlack(part int, now time.Time) int {
	start := max(1, part/startPart)
	switch {
	case s.settings.Retries.Slack < 1:
		return 0
	case s.listedAt.IsZero() || now.Sub(s.listedAt) < s.settings.Retries.Memory():
		return start
	case part < leastShared:
		return part
	default:
		return part - start
	}
}

// departedFor is how long a node that has left the list keeps its part of the slack.
func (s State) departedFor() time.Duration {
	return departedWindows * s.settings.Retries.Span()
}

// countFirst counts first calls.
func (st *step) countFirst(key budgetKey, n int) {
	budget, _ := st.budgets.Get(key)
	st.budgets = st.budgets.Set(key, budget.WithFirst(st.settings.Retries, n, st.now))
}

// spendRepeats counts repeats.
func (st *step) spendRepeats(key budgetKey, n int) {
	budget, _ := st.budgets.Get(key)
	st.budgets = st.budgets.Set(key, budget.WithSpent(st.settings.Retries, n, st.now))
}

// repeatsLeft is how many repeats an account allows now.
func (st *step) repeatsLeft(a account) int {
	return st.counts(a, st.now).Left
}

// counts returns what an account holds.
func (s State) counts(a account, now time.Time) chutebudget.Counts {
	budget, _ := s.budgets.Get(a.budgetKey)

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
	return BudgetView{Counts: s.counts(a, now), Pool: a.pool, Collecting: a.collecting, Nodes: s.peers.sharers(now).Len()}
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
		a := s.nodeAccount(key.pool, now)
		if key.collecting {
			a = s.collectorAccount(key.pool, now)
		}
		views = append(views, s.view(a, now))
	}

	return views
}
