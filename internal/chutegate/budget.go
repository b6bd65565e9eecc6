package chutegate

import (
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chuterelay"
)

// budgetFields encodes a retry budget as fields of a log line.
type budgetFields chuterelay.BudgetView

// MarshalZerologObject adds the fields to e.
func (b budgetFields) MarshalZerologObject(e *zerolog.Event) {
	e.Int("First", b.First).Int("Spent", b.Spent).Int("Left", b.Left).Int("Slack", b.Slack).Int("Nodes", b.Nodes)
}
