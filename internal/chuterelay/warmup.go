package chuterelay

import (
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroute"
)

// coldBounds returns the bounds for cold upstreams, for the pools for which the operator states a
// rate.
//
// The operator's tolerance beyond that rate is a reserve for nodes whose lists differ.
func (s Settings) coldBounds(pools map[string]chuteroute.Pool) map[string]chutefleet.ColdBound {
	bounds := map[string]chutefleet.ColdBound{}
	for name, pool := range pools {
		if pool.Warmup == nil || pool.Warmup.CallsPerSecond <= 0 {
			continue
		}
		calls := max(1, int(max(1, s.WarmupRateFactor)*pool.Warmup.CallsPerSecond))
		bounds[name] = chutefleet.ColdBound{CallsPerSecond: calls, Duration: pool.Warmup.Time}
	}

	return bounds
}
