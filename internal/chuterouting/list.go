package chuterouting

import "time"

// absentLimit is how long an upstream that still answers is kept after the list stopped naming it.
const absentLimit = time.Minute

// WithList takes in the platform's list as read at now.
//
// The list lags: an upstream that it does not name is kept for up to a minute
// while it still answers, and an incarnation that the upstream's own report has
// replaced does not come back.
func (t Table) WithList(list []Listed, now time.Time) Table {
	limit := t.settings.reportAgeLimit()
	named := make(map[string]bool, len(list))
	entries := make([]*entry, 0, len(list))
	for _, l := range list {
		if named[l.Name] {
			continue
		}
		named[l.Name] = true
		t = t.withListedMark(l)
		entries = append(entries, listedEntry(t.entry(l.Name), l))
	}
	for _, e := range t.entries() {
		if named[e.upstream.Name] {
			continue
		}
		kept := *e
		if kept.listed {
			kept.listed = false
			kept.absentSince = now
		}
		if kept.answers(now, limit) {
			named[kept.upstream.Name] = true
			entries = append(entries, &kept)
		}
	}
	t = t.withoutOldMarks(named, now)
	for _, e := range entries {
		e.leaving = t.marked(e.upstream.Name, e.upstream.Incarnation)
	}

	return t.arranged(entries)
}

// listedEntry returns a fresh entry that joins what was known with what the list says.
func listedEntry(known *entry, l Listed) *entry {
	e := entry{}
	if known != nil {
		e = *known
	}
	renewed := known == nil || l.Incarnation != e.listedIncarnation && l.Incarnation != e.previous
	moved := l.Address != e.upstream.Address
	e.upstream.Name, e.upstream.Address = l.Name, l.Address
	e.upstream.Zone, e.upstream.Pool = l.Zone, l.Pool
	if renewed && l.Incarnation != e.upstream.Incarnation || moved {
		e.newIncarnation(l.Incarnation)
	}
	e.listed = true
	e.listedIncarnation = l.Incarnation
	// A lagging list may still call an incarnation leaving that the upstream has
	// replaced: it would lose a healthy process. One that no report has ever
	// named may be this very process under the list's own name for it: then the
	// list is obeyed, but only as long as it says so.
	e.listedLeaving = l.Leaving && l.Incarnation != e.previous

	return &e
}
