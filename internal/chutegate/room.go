package chutegate

import (
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chutecore"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteroom"
)

// roomFields encodes what admission decided by as fields of a log line.
type roomFields chuterelay.RoomView

// MarshalZerologObject adds the fields to e. Share is left out while the pool is not short of capacity.
func (v roomFields) MarshalZerologObject(e *zerolog.Event) {
	if v.Cause != "" {
		e.Str("Cause", string(v.Cause))
	}
	e.Int64("WaitMs", v.Wait.Milliseconds()).Int64("FirstEventMs", v.FirstEvent.Milliseconds()).
		Int64("ToleratedMs", v.Tolerated.Milliseconds()).Int64("Tokens", v.Tokens).Int64("Work", v.Work).Int64("Demanded", v.Demanded)
	if v.Share >= 0 {
		e.Int64("Share", v.Share)
	}
}

// addRoomGauges registers the counts of the decisions of admission by reason.
func (n *Node) addRoomGauges() {
	for _, gauge := range []struct {
		name  string
		count func(chuteroom.Counts) uint64
	}{
		{"room_admitted_total", func(c chuteroom.Counts) uint64 { return c.Admitted }},
		{"room_refused_too_late_total", func(c chuteroom.Counts) uint64 { return c.TooLate }},
		{"room_refused_over_share_total", func(c chuteroom.Counts) uint64 { return c.OverShare }},
	} {
		n.meter.Gauge(gauge.name, func() float64 {
			var counts chuteroom.Counts
			n.Query(func(s chutecore.State) { counts = s.Relay().RoomCounts() })

			return float64(gauge.count(counts))
		})
	}
}
