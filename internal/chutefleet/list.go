package chutefleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

// ListChange is a change of the platform's list.
type ListChange struct {
	// Entries are the new and changed entries.
	Entries []Upstream
	// Gone are the names of the entries that are not in the list any more.
	Gone []string
}

// WithList applies the platform's complete list; with keepMissing, upstreams that are not in the list stay.
func (f Fleet) WithList(list []Upstream, keepMissing bool, now time.Time) Fleet {
	f, _ = f.WithListChange(f.ChangeTo(list), keepMissing, now)

	return f
}

// ChangeTo returns the change from the list that was applied last to another one.
func (f Fleet) ChangeTo(list []Upstream) ListChange {
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].Name] = true
	}
	change := ListChange{Entries: list}
	for i := f.incarnations.Iterator(); !i.Done(); {
		if name, _, _ := i.Next(); !listed[name] {
			change.Gone = append(change.Gone, name)
		}
	}

	return change
}

// WithListChange applies a change of the platform's list. It returns the incarnations that another one of
// the same name has replaced, sorted by id. With keepMissing, upstreams that are gone stay until a change
// comes without it.
//
// While the store is unavailable, the entries of live upstreams expire, and they are written again after its
// return.
func (f Fleet) WithListChange(change ListChange, keepMissing bool, now time.Time) (Fleet, []Upstream) {
	var replaced []Upstream
	for i := range change.Entries {
		if f.missing.Len() > 0 {
			f.missing = f.missing.Delete(change.Entries[i].Name)
		}
		var previous *member
		if f, previous = f.withListEntry(change.Entries[i], now); previous != nil {
			replaced = append(replaced, previous.Upstream)
		}
	}
	for _, name := range change.Gone {
		id, known := f.incarnations.Get(name)
		switch {
		case known && keepMissing:
			f.missing = f.missing.Set(name, struct{}{})
		case known:
			f = f.withoutEntry(id, now)
		}
	}
	if f.missing.Len() > 0 && !keepMissing {
		f = f.withoutMissing(now)
	}
	slices.SortFunc(replaced, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })

	return f.withoutOldNotices(now), replaced
}

// withoutMissing removes the upstreams that are not in the list any more.
func (f Fleet) withoutMissing(now time.Time) Fleet {
	for i := f.missing.Iterator(); !i.Done(); {
		name, _, _ := i.Next()
		id, _ := f.incarnations.Get(name)
		f = f.withoutEntry(id, now)
	}
	f.missing = immutable.NewMap[string, struct{}](nil)

	return f
}

// withListEntry applies one entry of the list. It returns the member of another incarnation that it
// replaced, nil if it replaced none.
func (f Fleet) withListEntry(u Upstream, now time.Time) (Fleet, *member) {
	id, _ := f.incarnations.Get(u.Name)
	known, ok := f.members.Get(id)
	var previous *member
	next := &member{observation: unobserved}
	switch {
	case u.State == StateUnreadable:
		// It gets no calls, but its member state stays.
		return f.withMember(id, func(m *member) { m.unreadable = true }), nil
	case ok && u.StartedAt.IsZero():
		// The entry does not name its process, so it applies to the current one.
		u.ID, u.StartedAt = known.ID, known.StartedAt
	case ok && u.StartedAt.Before(known.StartedAt):
		// The entry is stale and of a process that has ended.
		return f, nil
	case ok && u.ID != known.ID:
		// The process has restarted.
		previous = known
		f = f.withoutMember(known.ID)
		next.replacedID = known.ID
		next.observation = known.inherited()
		f = f.withInheritedRest(known.ID, u.ID, now)
	case !ok:
		f = f.withReturned(next, u.Name, u.ID, now)
	}
	if ok && previous == nil {
		*next = *known
		if next.Pool != u.Pool || next.Zone != u.Zone || next.Version != u.Version {
			f = f.withoutIndexed(&known.Upstream)
		}
		if next.Pool != u.Pool {
			// The mean speed of a pool counts only its own upstreams.
			f = f.withoutWork(known)
		}
	}
	leaving := next.State == StateLeaving || f.SaysLeaving(u.ID)
	previousCold := next.Cold
	next.Upstream, next.unreadable = u, false
	if leaving {
		next.State = StateLeaving
	}

	return f.withListed(next, previousCold, now), previous
}

// withListed puts a member that the list has, with how long it stays cold.
func (f Fleet) withListed(m *member, previousCold time.Duration, now time.Time) Fleet {
	if m.Cold != previousCold {
		o := *m.observation
		m.observation = &o
		f.setListedCold(m, previousCold, now)
	}
	if m.brittle.isSet {
		o := *m.observation
		m.observation = &o
		f.setBrittleQuota(m)
	}
	f = f.withPut(m).withIndexed(&m.Upstream)
	if id, known := f.incarnations.Get(m.Name); !known || id != m.ID {
		f.incarnations = f.incarnations.Set(m.Name, m.ID)
	}
	if m.replacedID != "" {
		f.replacedIDs = f.replacedIDs.Set(m.replacedID, struct{}{})
	}

	return f
}

// withoutEntry removes an upstream whose entry is gone; an unknown id changes nothing.
func (f Fleet) withoutEntry(id string, now time.Time) Fleet {
	if m, ok := f.members.Get(id); ok {
		f = f.withDeparted(m, now)
	}

	return f.withoutMember(id)
}

// withoutMember removes an upstream; an unknown id changes nothing.
func (f Fleet) withoutMember(id string) Fleet {
	m, ok := f.members.Get(id)
	if !ok {
		return f
	}
	f = f.withoutIndexed(&m.Upstream).withoutWork(m)
	f.members = f.members.Delete(id)
	if m.observation != unobserved {
		f.observed = f.observed.Delete(id)
	}
	f.incarnations = f.incarnations.Delete(m.Name)
	if m.replacedID != "" {
		f.replacedIDs = f.replacedIDs.Delete(m.replacedID)
	}

	return f
}

// Current returns the listed incarnation of an upstream; false if its name is not listed.
func (f Fleet) Current(name string) (Upstream, bool) {
	id, listed := f.incarnations.Get(name)
	if !listed {
		return Upstream{}, false
	}

	return f.Get(id)
}

// IsReplaced reports whether an incarnation is the previous one of a listed upstream.
func (f Fleet) IsReplaced(id string) bool {
	_, replaced := f.replacedIDs.Get(id)

	return replaced
}
