package chutegate

import (
	"slices"

	"azurechute.example/azurechute/internal/chutefleet"
)

// maxMoves is how many upstreams that joined, are leaving or are gone have a line of
// their own when many do so at once. A rack that fails takes some tens along; all of
// them are in the one line that counts.
const maxMoves = 16

// moves is what changed from one list of upstreams to the next.
type moves struct {
	joined, leaving, unreadable, gone []chutefleet.Upstream
	// before maps the id of an incarnation to that of the one it replaced.
	before map[string]string
}

// movesOf compares two lists of upstreams.
func movesOf(before, after []chutefleet.Upstream) moves {
	m := moves{before: map[string]string{}}
	was := make(map[string]chutefleet.Upstream, len(before))
	for _, u := range before {
		was[u.Name] = u
	}
	for _, u := range after {
		old, known := was[u.Name]
		delete(was, u.Name)
		if known && old.State == u.State && old.ID == u.ID {
			continue
		}
		if known && old.ID != u.ID {
			m.before[u.ID] = old.ID
		}
		switch u.State {
		case chutefleet.StateLeaving:
			m.leaving = append(m.leaving, u)
		case chutefleet.StateUnreadable:
			m.unreadable = append(m.unreadable, u)
		default:
			m.joined = append(m.joined, u)
		}
	}
	for _, u := range before {
		if _, gone := was[u.Name]; gone {
			m.gone = append(m.gone, u)
		}
	}

	return m
}

// logMoves writes a line for each upstream that joined, is leaving or is gone, or one
// line that counts them where they are many.
//
// A node that starts finds thousands of upstreams at once. A line each, at every start
// of every node, would drown what else the log tells.
func (n *Node) logMoves(before, after []chutefleet.Upstream) {
	m := movesOf(before, after)
	listed := slices.Concat(m.joined, m.leaving, m.unreadable)
	if len(before) == 0 || len(listed)+len(m.gone) > maxMoves {
		n.log.Info().Int("Upstreams", len(after)).Int("Joined", len(m.joined)).Int("Leaving", len(m.leaving)).
			Int("Unreadable", len(m.unreadable)).Int("Gone", len(m.gone)).Msg("upstreams listed")

		return
	}
	for _, u := range listed {
		line := n.log.Info().Str("Upstream", u.ID).Str("Pool", u.Pool).Str("Peer", u.Address).Str("State", string(u.State))
		if old, ok := m.before[u.ID]; ok {
			line = line.Str("Before", old)
		}
		line.Msg("upstream listed")
	}
	for _, u := range m.gone {
		n.log.Info().Str("Upstream", u.ID).Msg("upstream not listed any more")
	}
}
