package chutecli

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// noticed is the message of what an upstream says about itself.
const noticed = "upstream's notice"

// upstreamNotices is what an upstream has said about itself to all nodes.
type upstreamNotices struct {
	Upstream string
	Pool     string
	// LeavingAt is when the first node heard that it leaves, by that node's time of day; zero if
	// none did. LeavingNodes is the number of nodes that heard it.
	LeavingAt    time.Time `json:",omitzero"`
	LeavingNodes int       `json:",omitempty"`
	// Rests is the number of rests that began, RestMs their time together, and RestUntil when the
	// last of them ends.
	Rests     int       `json:",omitempty"`
	RestMs    int64     `json:",omitempty"`
	RestUntil time.Time `json:",omitzero"`
	// Unreadable is the last field of an answer that a node could not read.
	Unreadable string `json:",omitempty"`
}

// withLine adds one line of a node.
func (u upstreamNotices) withLine(line logLine) upstreamNotices {
	u.Upstream, u.Pool = line.Upstream, line.Pool
	if line.Leaving {
		u.LeavingNodes++
		if u.LeavingAt.IsZero() || line.Time.Before(u.LeavingAt) {
			u.LeavingAt = line.Time
		}
	}
	if line.RestMs > 0 {
		u.Rests++
		u.RestMs += line.RestMs
		if until := line.Time.Add(time.Duration(line.RestMs) * time.Millisecond); until.After(u.RestUntil) {
			u.RestUntil = until
		}
	}
	u.Unreadable = cmp.Or(line.Unreadable, u.Unreadable)

	return u
}

// sortedNotices returns the notices by pool and upstream.
func sortedNotices(byUpstream map[string]upstreamNotices) []upstreamNotices {
	var all []upstreamNotices
	for _, u := range byUpstream {
		all = append(all, u)
	}
	slices.SortFunc(all, func(a, b upstreamNotices) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Upstream, b.Upstream))
	})

	return all
}

// printNotices prints a table, if any upstream has said anything.
func (s session) printNotices(notices []upstreamNotices) {
	if len(notices) == 0 {
		return
	}
	clock := func(at time.Time) string {
		if at.IsZero() {
			return ""
		}

		return at.Format(time.TimeOnly)
	}
	rows := [][]string{{"UPSTREAM", "POOL", "LEAVING", "NODES", "RESTS", "TOGETHER", "LAST UNTIL", "UNREADABLE"}}
	for _, u := range notices {
		rows = append(rows, []string{
			u.Upstream, u.Pool, clock(u.LeavingAt), strconv.Itoa(u.LeavingNodes), strconv.Itoa(u.Rests),
			(time.Duration(u.RestMs) * time.Millisecond).String(), clock(u.RestUntil), u.Unreadable,
		})
	}
	s.line("")
	s.columns(rows)
}
