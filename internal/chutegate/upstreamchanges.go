package chutegate

import (
	"slices"

	"azurechute.example/azurechute/internal/chutefleet"
)

// maxChangeLines is the number of upstreams that may change at once and still get a log line each.
// A rack that fails takes some tens of upstreams with it; those are all counted in the one summary
// line.
const maxChangeLines = 16

// upstreamChanges is the difference between two lists of upstreams.
type upstreamChanges struct {
	joined, leaving, unreadable, gone []chutefleet.Upstream
	// previousID maps the ID of an incarnation to the ID of the one that it replaced.
	previousID map[string]string
}

// diffUpstreams compares two lists of upstreams.
func diffUpstreams(before, after []chutefleet.Upstream) upstreamChanges {
	changes := upstreamChanges{previousID: map[string]string{}}
	unmatched := make(map[string]chutefleet.Upstream, len(before))
	for _, u := range before {
		unmatched[u.Name] = u
	}
	for _, u := range after {
		old, known := unmatched[u.Name]
		delete(unmatched, u.Name)
		if known && old.State == u.State && old.ID == u.ID {
			continue
		}
		if known && old.ID != u.ID {
			changes.previousID[u.ID] = old.ID
		}
		switch u.State {
		case chutefleet.StateLeaving:
			changes.leaving = append(changes.leaving, u)
		case chutefleet.StateUnreadable:
			changes.unreadable = append(changes.unreadable, u)
		default:
			changes.joined = append(changes.joined, u)
		}
	}
	for _, u := range before {
		if _, gone := unmatched[u.Name]; gone {
			changes.gone = append(changes.gone, u)
		}
	}

	return changes
}

// logUpstreamChanges logs a line for each upstream that joined, is leaving, is unreadable or is
// gone, or one line with their counts if there are many. before and after are the changed entries, total
// is the number of all upstreams.
func (n *Node) logUpstreamChanges(before, after []chutefleet.Upstream, total int) {
	changes := diffUpstreams(before, after)
	listed := slices.Concat(changes.joined, changes.leaving, changes.unreadable)
	if !n.upstreamsLoaded.Load() || len(listed)+len(changes.gone) > maxChangeLines {
		n.log.Info().Int("Upstreams", total).Int("Joined", len(changes.joined)).Int("Leaving", len(changes.leaving)).
			Int("Unreadable", len(changes.unreadable)).Int("Gone", len(changes.gone)).Msg("upstreams listed")

		return
	}
	for _, u := range listed {
		line := n.log.Info().Str("Upstream", u.ID).Str("Pool", u.Pool).Str("Peer", u.Address).Str("State", string(u.State))
		if old, ok := changes.previousID[u.ID]; ok {
			line = line.Str("Before", old)
		}
		line.Msg("upstream listed")
	}
	for _, u := range changes.gone {
		n.log.Info().Str("Upstream", u.ID).Msg("upstream not listed any more")
	}
}
