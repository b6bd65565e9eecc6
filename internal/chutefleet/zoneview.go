package chutefleet

import (
	"cmp"
	"maps"
	"slices"
)

// ZoneView is what the platform's lists say of one zone.
type ZoneView struct {
	Zone      string
	Evacuated bool
	// Upstreams counts those that take calls, Cold those among them that have just
	// started; Leaving and Unreadable count the rest.
	Upstreams  int
	Cold       int
	Leaving    int
	Unreadable int
}

// SummarizeZones sums a list of upstreams up by zone, with the evacuated zones, sorted by name. An
// upstream whose entry can't be read names no zone and counts under the empty one.
func SummarizeZones(list []Upstream, evacuated []string) []ZoneView {
	views := map[string]*ZoneView{}
	view := func(zone string) *ZoneView {
		if views[zone] == nil {
			views[zone] = &ZoneView{Zone: zone}
		}

		return views[zone]
	}
	for _, zone := range evacuated {
		view(zone).Evacuated = true
	}
	for _, u := range list {
		v := view(u.Zone)
		switch u.State {
		case StateLeaving:
			v.Leaving++
		case StateUnreadable:
			v.Unreadable++
		default:
			v.Upstreams++
			if u.Cold > 0 {
				v.Cold++
			}
		}
	}
	all := make([]ZoneView, 0, len(views))
	for _, v := range slices.Collect(maps.Values(views)) {
		all = append(all, *v)
	}
	slices.SortFunc(all, func(a, b ZoneView) int { return cmp.Compare(a.Zone, b.Zone) })

	return all
}
