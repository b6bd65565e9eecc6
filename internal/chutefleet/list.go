package chutefleet

import (
	"cmp"
	"slices"
	"time"
)

// WithList applies the platform's complete list; with keepMissing, upstreams that are not
// in the list stay.
//
// While the platform's store is unavailable, the entries of live upstreams expire, and
// they are written again shortly after it returns. If the upstreams were removed at once,
// whole pools would be empty meanwhile.
func (f Fleet) WithList(list []Upstream, keepMissing bool, now time.Time) Fleet {
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		var id string
		f, id = f.withListEntry(u, now)
		listed[id] = true
	}
	if !keepMissing {
		for _, id := range f.memberIDs() {
			if !listed[id] {
				f.members = f.members.Delete(id)
			}
		}
	}

	return f.withIndexes().withoutOldNotices(now)
}

// withListEntry applies one entry of the list, and returns the id of the incarnation that
// stays listed by it.
func (f Fleet) withListEntry(u Upstream, now time.Time) (Fleet, string) {
	id := f.incarnations[u.Name]
	known, ok := f.members.Get(id)
	switch {
	case u.State == StateUnreadable:
		// It gets no calls, but its member state stays: an upstream that was leaving
		// before its entry became unreadable is still leaving afterwards.
		return f.withMember(id, func(m *member) { m.unreadable = true }), id
	case ok && u.StartedAt.IsZero():
		// The entry does not name its process, so it applies to the current one. As a
		// new process, it would lose the information that the current one is leaving.
		u.ID, u.StartedAt = known.ID, known.StartedAt
	case ok && u.StartedAt.Before(known.StartedAt):
		// The entry is stale and of a process that has ended: this node, or the one that
		// sent the list, read it before the restart.
		return f, id
	case ok && u.ID != known.ID:
		// The process has restarted; what was observed of the previous one does not
		// apply to it.
		f.members = f.members.Delete(known.ID)
		known = member{replacedID: known.ID}
	}
	leaving := known.State == StateLeaving || f.SaysLeaving(u.ID)
	previousCold := known.Cold
	known.Upstream, known.unreadable = u, false
	known = f.withListedCold(known, previousCold, now)
	if leaving {
		known.State = StateLeaving
	}
	f.members = f.members.Set(u.ID, known)

	return f, u.ID
}

// ReplacedSince lists the incarnations of an earlier view whose names have another
// incarnation now, sorted by id.
func (f Fleet) ReplacedSince(earlier Fleet) []Upstream {
	var replaced []Upstream
	for i := earlier.members.Iterator(); !i.Done(); {
		id, m, _ := i.Next()
		if currentID, ok := f.incarnations[m.Name]; ok && currentID != id {
			replaced = append(replaced, m.Upstream)
		}
	}
	slices.SortFunc(replaced, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })

	return replaced
}

// IsReplaced reports whether an incarnation is the previous one of a listed upstream.
func (f Fleet) IsReplaced(id string) bool {
	return f.replacedIDs[id]
}

// memberIDs returns the ids of all members, in no particular order.
func (f Fleet) memberIDs() []string {
	ids := make([]string, 0, f.members.Len())
	for i := f.members.Iterator(); !i.Done(); {
		id, _, _ := i.Next()
		ids = append(ids, id)
	}

	return ids
}

// withIndexes rebuilds pools, incarnations and replacedIDs from the members.
func (f Fleet) withIndexes() Fleet {
	f.pools = map[string][]string{}
	f.incarnations = map[string]string{}
	f.replacedIDs = map[string]bool{}
	for i := f.members.Iterator(); !i.Done(); {
		id, m, _ := i.Next()
		f.pools[m.Pool] = append(f.pools[m.Pool], id)
		f.incarnations[m.Name] = id
		if m.replacedID != "" {
			f.replacedIDs[m.replacedID] = true
		}
	}
	for _, ids := range f.pools {
		slices.Sort(ids)
	}

	return f
}
