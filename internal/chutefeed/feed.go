package chutefeed

// Feed is what one follower is known to have of a table.
type Feed struct {
	// digests and version are the follower's own word, used until it was sent something.
	digests []uint64
	version uint64
	started bool
	sent    Table
}

// NewFeed returns the feed of a follower that has read up to a version, with the digests
// of what it has.
func NewFeed(version uint64, digests []uint64) *Feed {
	return &Feed{digests: digests, version: version}
}

// NextChange returns what the follower lacks of a table, and false if that is nothing.
//
// A follower that knows more than this node has heard of keeps what it has: this node's
// rows would bring back an upstream that is leaving.
func (f *Feed) NextChange(table Table) (Change, bool) {
	if table.Version() == 0 || table.Version() < f.version || f.started && table.Version() == f.version {
		return Change{}, false
	}
	change := table.ChangeSince(f.sent)
	if !f.started {
		change = table.ChangeForDigests(f.digests)
	}
	f.started, f.sent, f.version = true, table, table.Version()

	return change, true
}
