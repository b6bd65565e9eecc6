package chutecli

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"azurechute.example/azurechute/internal/chutecanary"
)

type rolloutsCommand struct {
	storeFlags
}

// Help returns the command's detailed help.
func (rolloutsCommand) Help() string {
	return `Prints for each pool that the operator has ordered to be moved to another version how far
the move has come, which share of the calls goes to the new version, and what the last
change was decided by. What one node acts on, and what it has heard of both versions, is
in its state dump under Rollouts; the calls of both versions are in its metrics.

Example:
  azurechute rollouts --platform 10.200.1.7:8624`
}

// Run lists the rollouts.
func (c rolloutsCommand) Run(ctx context.Context, s session) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	rollouts, err := s.ReadRollouts(ctx, c.Platform)
	if err != nil {
		return err
	}

	return s.print(rollouts, func() {
		rows := [][]string{{"POOL", "TO", "PHASE", "SHARES", "CHANGED AFTER", "OF", "BY", "REASON"}}
		for _, r := range rollouts {
			rows = append(rows, rolloutRow(r))
		}
		s.columns(rows)
	})
}

// rolloutRow returns the columns of one rollout. A record of an earlier order is not shown.
func rolloutRow(r chutecanary.Rollout) []string {
	row := []string{r.Order.Pool, r.Order.Version, "Ordered", "", "", r.Order.Duration.String(), "", r.Problem}
	if r.Record.IsBefore(r.Order) || r.Record.Epoch == 0 {
		return row
	}
	elapsed := time.Duration(r.Record.ElapsedMs) * time.Millisecond
	duration := time.Duration(r.Record.DurationMs) * time.Millisecond
	reason := strings.TrimSuffix(r.Problem+"; "+r.Record.Reason, "; ")

	return []string{
		r.Record.Pool, r.Record.Version, string(r.Record.Phase), sharesText(r.Record), elapsed.String(), duration.String(),
		r.Record.By, strings.TrimPrefix(reason, "; "),
	}
}

// sharesText returns the shares of the calls that go to the new version, by pipeline.
func sharesText(r chutecanary.Record) string {
	switch r.Phase {
	case chutecanary.PhaseClosing, chutecanary.PhaseCompleted:
		return "100%"
	case chutecanary.PhaseRolledBack:
		return "0%"
	default:
	}
	var texts []string
	for _, pipeline := range slices.Sorted(maps.Keys(r.Shares)) {
		name := pipeline
		if name == "" {
			name = "others"
		}
		texts = append(texts, fmt.Sprintf("%s %.1f%%", name, 100*r.Shares[pipeline]))
	}

	return strings.Join(texts, ", ")
}
