package chutecli

import (
	"context"
	"encoding/json"
	"fmt"

	"azurechute.example/azurechute/internal/chuteledger"
	"azurechute.example/azurechute/internal/chutetable"
)

// microCredits is how many of the ledger's units make one credit.
const microCredits = 1_000_000

type costCommand struct {
	tableFlags

	Platform string `env:"AZURECHUTE_PLATFORM" help:"Address of the platform's store, for nodes that relay; in place of --table." placeholder:"HOST:PORT"`

	Team string `help:"Team to show; all teams when left out." placeholder:"TEAM"`
}

// Help returns the command's detailed help.
func (costCommand) Help() string {
	return `Sums the counters that the nodes write to the table every few seconds (Policy's
LedgerFlush), so the newest work is missing. Wasted work, such as lost hedges
and abandoned attempts, is shown beside what is charged; no team pays for it.
Credits have six decimals; JSON gives micro-credits.

Examples:
  azurechute cost --team advice
  azurechute cost --team advice --output json`
}

// costResult is the JSON result of the command; costs are in micro-credits.
type costResult struct {
	Team    string `json:",omitempty"`
	Lines   []chuteledger.Line
	Charged chuteledger.Count
	Wasted  chuteledger.Count
	// Unreadable are the problems of rows that the sums lack.
	Unreadable []string `json:",omitempty"`
}

// Run sums the ledger.
func (c costCommand) Run(ctx context.Context, s session) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	s.progress("reading the ledger")
	rows, err := c.rows(ctx, s)
	if err != nil {
		return err
	}
	result := c.sum(rows)
	if err := s.print(result, func() { s.printCost(result) }); err != nil {
		return err
	}
	if len(result.Unreadable) > 0 {
		return fmt.Errorf("%d of %d ledger rows cannot be read; the sums lack them: %s",
			len(result.Unreadable), len(rows), result.Unreadable[0])
	}

	return nil
}

// rows reads the counters from the project's table or from the platform's store.
func (c costCommand) rows(ctx context.Context, s session) ([]json.RawMessage, error) {
	if c.Platform != "" && s.ReadLedger != nil {
		return s.ReadLedger(ctx, c.Platform)
	}
	if c.Table == "" {
		return nil, usagef("--table or AZURECHUTE_TABLE_URL is needed, or --platform or AZURECHUTE_PLATFORM")
	}
	platform := s.Open(chutetable.Settings{TableURL: c.Table})
	defer platform.Close()
	rows, err := platform.Scan(ctx, "read ledger", chuteledger.KeyPrefix, 0)
	values := make([]json.RawMessage, 0, len(rows))
	for _, row := range rows {
		values = append(values, row.Value)
	}

	return values, err
}

func (c costCommand) sum(values []json.RawMessage) costResult {
	lines, failed := chuteledger.Totals(values, c.Team)
	result := costResult{Team: c.Team, Lines: append([]chuteledger.Line{}, lines...)}
	for _, line := range lines {
		result.Charged = result.Charged.Plus(line.Charged)
		result.Wasted = result.Wasted.Plus(line.Wasted)
	}
	for _, err := range failed {
		result.Unreadable = append(result.Unreadable, describe(err))
	}

	return result
}

func (s session) printCost(result costResult) {
	rows := [][]string{{
		"TEAM", "PIPELINE", "STAGE", "CALLS", "UNITS", "PROMPT", "CACHED", "CREDITS", "WASTED CALLS", "WASTED CREDITS",
	}}
	for _, line := range result.Lines {
		rows = append(rows, costRow(line.Team, line.Pipeline, line.Stage, line.Charged, line.Wasted))
	}
	rows = append(rows, costRow("total", "", "", result.Charged, result.Wasted))
	s.columns(rows)
}

func costRow(team, pipeline, stage string, charged, wasted chuteledger.Count) []string {
	return []string{
		team, pipeline, stage,
		fmt.Sprint(charged.Calls), fmt.Sprint(charged.Units),
		fmt.Sprint(charged.PromptUnits), fmt.Sprint(charged.CachedUnits), credits(charged.Cost),
		fmt.Sprint(wasted.Calls), credits(wasted.Cost),
	}
}

func credits(micro int64) string {
	return fmt.Sprintf("%d.%06d", micro/microCredits, micro%microCredits)
}
