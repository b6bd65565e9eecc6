package chutefleet

import (
	"maps"
	"slices"
	"time"
)

// WithEvacuated replaces the set of evacuated availability zones, given by name. The
// upstreams of zones that are no longer evacuated are presumed cold.
func (f Fleet) WithEvacuated(zones []string, now time.Time) Fleet {
	for zone := range f.evacuated {
		if !slices.Contains(zones, zone) {
			f = f.withPresumedCold(zone, now)
		}
	}
	f.evacuated = make(map[string]bool, len(zones))
	for _, zone := range zones {
		f.evacuated[zone] = true
	}

	return f
}

// Evacuated reports whether a zone is evacuated.
func (f Fleet) Evacuated(zone string) bool {
	return f.evacuated[zone]
}

// EvacuatedZones returns the evacuated zones, sorted.
func (f Fleet) EvacuatedZones() []string {
	return slices.Sorted(maps.Keys(f.evacuated))
}
