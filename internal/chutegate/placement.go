package chutegate

import (
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chuterelay"
)

// placementFields writes what decided on the upstream of a call to the log.
type placementFields chuterelay.Placement

// MarshalZerologObject adds the fields.
func (p placementFields) MarshalZerologObject(e *zerolog.Event) {
	e.Int64("Tokens", p.Tokens).Int64("Outstanding", p.Outstanding).Float64("Speed", p.Speed).Float64("Pace", p.Pace).
		Int("Rank", p.Rank).Int64("FirstEventMs", p.FirstEvent.Milliseconds())
}
