package chutefeed

// Feed keeps track of the state of a table that one follower has.
type Feed struct {
	// digests are those that the follower reported. They are used for the first change.
	digests []uint64
	// version is the version that the follower has.
	version uint64
	// started is true once a change was sent.
	started bool
	// sent is the state of the table that was sent last.
	sent Table
}

// NewFeed returns the feed of a follower that has the given version of the table, with the given
// digests.
func NewFeed(version uint64, digests []uint64) *Feed {
	return &Feed{digests: digests, version: version}
}

// NextChange returns the change from the state that the follower has to the given table, and false if
// there is nothing to send.
//
// Nothing is sent to a follower with a newer version than this node's: this node's rows would bring
// back an upstream that is leaving.
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
