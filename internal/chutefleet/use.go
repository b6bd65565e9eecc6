package chutefleet

import (
	"time"

	"azurechute.example/azurechute/internal/chuteroute"
)

// Use is what a call demands of the upstream that gets it. The zero value demands nothing.
type Use struct {
	// Side restricts the call while a new version of the pool is on trial.
	Side Side
	// Regions are those in which the call may run.
	Regions chuteroute.Regions
	// Collecting says that the call is one with parts, from the node that collects them for all others.
	Collecting bool
	// Bound says that the call may run at upstreams of Version alone.
	Bound   bool
	Version string
}

// WithZoneRegions sets the region of each zone. The map must not be changed afterwards.
func (f Fleet) WithZoneRegions(regions map[string]string) Fleet {
	f.zoneRegions = regions

	return f
}

// allowsZone reports whether a call with this use may run in a zone. A zone of an unknown region is in
// the set of all regions only.
func (f Fleet) allowsZone(use Use, zone string) bool {
	return use.Regions.IsAll() || use.Regions.Contains(f.zoneRegions[zone])
}

// availabilityFor returns whether an upstream may get a call with this use now.
func (f Fleet) availabilityFor(m *member, use Use, now time.Time) Availability {
	switch {
	case !f.allowsZone(use, m.Zone):
		return Availability{Reason: BlockRegion}
	case use.Bound && m.Version != use.Version, !f.isOnSide(&m.Upstream, use.Side):
		return Availability{Reason: BlockVersion}
	default:
		return f.availability(m, use.Collecting, now)
	}
}
