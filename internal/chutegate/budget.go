package chutegate

import (
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chuterelay"
)

// budgetFields writes a retry budget into a log line.
type budgetFields chuterelay.BudgetView

// MarshalZerologObject writes the fields.
func (b budgetFields) MarshalZerologObject(e *zerolog.Event) {
	e.Int("First", b.First).Int("Spent", b.Spent).Int("Left", b.Left).Int("Slack", b.Slack).Int("Nodes", b.Nodes)
}
