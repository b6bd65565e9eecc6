package chutefleet

import "time"

// noticeLifetime is how long what an incarnation has said about itself is kept after its entry is gone. The entry
// of a live process may come back.
const noticeLifetime = time.Hour

// notice is what an incarnation has said about itself in its answers.
type notice struct {
	// leaving is final.
	leaving bool
	// restUntil is when the rest that it has asked this node for is over, restAskedAt when it did.
	restUntil   time.Time
	restAskedAt time.Time
	// heardAt is when it last said anything.
	heardAt time.Time
}

// WithLeaving marks an incarnation as leaving, listed or not. No later entry takes it back.
func (f Fleet) WithLeaving(id string, now time.Time) Fleet {
	f = f.withNotice(id, now, func(heard *notice) { heard.leaving = true })

	return f.withMember(id, func(m *member) { m.State = StateLeaving })
}

// SaysLeaving reports whether an incarnation has said, or shown by an answer, that it leaves.
func (f Fleet) SaysLeaving(id string) bool {
	heard, _ := f.notices.Get(id)

	return heard.leaving
}

// SayLeavingCount returns the number of listed upstreams for which SaysLeaving holds.
func (f Fleet) SayLeavingCount() int {
	n := 0
	for i := f.notices.Iterator(); !i.Done(); {
		id, heard, _ := i.Next()
		if _, listed := f.members.Get(id); listed && heard.leaving {
			n++
		}
	}

	return n
}

// WithRest records that an incarnation has asked this node to send it nothing until a time. A shorter rest does
// not end a longer one.
func (f Fleet) WithRest(id string, until, now time.Time) Fleet {
	return f.withNotice(id, now, func(heard *notice) {
		if until.After(heard.restUntil) {
			heard.restUntil, heard.restAskedAt = until, now
		}
	})
}

// RestUntil returns when the rest is over that an incarnation has asked this node for; zero if it has not.
func (f Fleet) RestUntil(id string) time.Time {
	heard, _ := f.notices.Get(id)

	return heard.restUntil
}

// RestingCount returns the number of listed upstreams that rest now.
func (f Fleet) RestingCount(now time.Time) int {
	n := 0
	for i := f.notices.Iterator(); !i.Done(); {
		id, heard, _ := i.Next()
		if _, listed := f.members.Get(id); listed && now.Before(heard.restUntil) {
			n++
		}
	}

	return n
}

// withNotice returns the fleet with a change of what an incarnation has said about itself.
func (f Fleet) withNotice(id string, now time.Time, change func(heard *notice)) Fleet {
	heard, _ := f.notices.Get(id)
	change(&heard)
	heard.heardAt = now
	f.notices = f.notices.Set(id, heard)

	return f
}

// withoutOldNotices drops what incarnations that are not listed any more said long ago.
func (f Fleet) withoutOldNotices(now time.Time) Fleet {
	for i := f.notices.Iterator(); !i.Done(); {
		id, heard, _ := i.Next()
		if _, listed := f.members.Get(id); !listed && now.Sub(heard.heardAt) > noticeLifetime && !now.Before(heard.restUntil) {
			f.notices = f.notices.Delete(id)
		}
	}

	return f
}
