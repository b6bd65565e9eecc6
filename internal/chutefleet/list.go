package chutefleet

import (
	"cmp"
	"slices"
	"time"
)

// WithList takes in the platform's whole list; with hold set, upstreams that are missing stay.
//
// While the platform's store was away, the entries of live upstreams run out
// and come back a moment after its return. Dropping them at once would empty
// whole pools for that moment.
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

	return f.withIndexes()
}

// withListEntry takes in one entry of the list, and returns the id of the incarnation that it keeps listed.
func (f Fleet) withListEntry(u Upstream, now time.Time) (Fleet, string) {
	id := f.incarnations[u.Name]
	known, ok := f.members.Get(id)
	switch {
	case u.State == StateUnreadable:
		// It gets no calls, but what is known of it stays: an upstream that was
		// leaving before its entry became unreadable is leaving after it too.
		return f.withMember(id, func(m *member) { m.unreadable = true }), id
	case ok && u.StartedAt.IsZero():
		// It does not tell which process it is of. Taken for another one, it would
		// forget that the present one is leaving.
		u.ID, u.StartedAt = known.ID, known.StartedAt
	case ok && u.StartedAt.Before(known.StartedAt):
		// A late word on a process that has ended: the list was read before it
		// started again, by this node or by the one that told it.
		return f, id
	case ok && u.ID != known.ID:
		// The process has started again; no evidence on the one before is true of it.
		f.members = f.members.Delete(known.ID)
		known = member{replacedID: known.ID}
	}
	leaving := known.State == StateLeaving
	previousCold := known.Cold
	known.Upstream, known.unreadable = u, false
	known = f.withListedCold(known, previousCold, now)
	if leaving {
		known.State = StateLeaving
	}
	f.members = f.members.Set(u.ID, known)

	return f, u.ID
}

// ReplacedSince lists the incarnations of an earlier view whose names have another incarnation by now.
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

// IsReplaced says whether an incarnation is the one right before a present one of the same name.
func (f Fleet) IsReplaced(id string) bool {
	return f.replacedIDs[id]
}

func (f Fleet) memberIDs() []string {
	ids := make([]string, 0, f.members.Len())
	for i := f.members.Iterator(); !i.Done(); {
		id, _, _ := i.Next()
		ids = append(ids, id)
	}

	return ids
}

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
