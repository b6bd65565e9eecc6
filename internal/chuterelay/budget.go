package chuterelay

import (
	"time"

	"azurechute.example/azurechute/internal/chutebudget"
)

// BudgetView is a pool's retry budget as one node keeps it.
type BudgetView struct {
	chutebudget.Counts

	Pool string
	// Nodes is the number of nodes among which the slack is divided.
	Nodes int
}

// counts returns what a pool's budget holds, with a share of the slack.
func (s State) counts(pool string, share float64, now time.Time) chutebudget.Counts {
	budget, _ := s.budgets.Get(pool)

	return budget.Counts(s.settings.Retries, int(s.settings.Retries.Slack*share), now)
}

// budget returns a pool's retry budget as this node keeps it.
func (s State) budget(pool string, now time.Time) BudgetView {
	return BudgetView{Counts: s.counts(pool, s.peers.share(), now), Pool: pool, Nodes: len(s.peers.all)}
}
