package chutefleet

import (
	"cmp"
	"maps"
	"slices"
)

// ZoneView summarizes the platform's lists for one zone.
type ZoneView struct {
	Zone      string
	Evacuated bool
	// Upstreams counts the upstreams that take calls, Cold those of them that have started
	// recently and are cold; Leaving and Unreadable count the others.
	Upstreams  int
	Cold       int
	Leaving    int
	Unreadable int
}

// SummarizeZones counts a list of upstreams by zone and marks the evacuated zones; the
// result is sorted by zone. An upstream whose entry can't be decoded has no zone and counts
// under the empty name.
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
