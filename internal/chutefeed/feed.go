package chutefeed

// Feed keeps track of the state of a table that one follower has.
type Feed struct {
	// digests are those that the follower reported. They are used for the first change.
	digests []uint64
	// position is how far the follower has read.
	position Position
	// started is true once a change was sent.
	started bool
	// sent is the state of the table that was sent last.
	sent Table
}

// NewFeed returns the feed of a follower that has read the table up to a position, with the given
// digests.
func NewFeed(position Position, digests []uint64) *Feed {
	return &Feed{digests: digests, position: position}
}

// NextChange returns the change from the state that the follower has to the given table, and false if
// there is nothing to send.
//
// Nothing is sent to a follower that has read further than this node: this node's rows would bring
// back an upstream that is leaving.
func (f *Feed) NextChange(table Table) (Change, bool) {
	order := table.Position().Compare(f.position)
	if table.Version() == 0 || order < 0 || f.started && order == 0 {
		return Change{}, false
	}
	change := table.ChangeSince(f.sent)
	if !f.started {
		change = table.ChangeForDigests(f.digests)
	}
	f.started, f.sent, f.position = true, table, table.Position()

	return change, true
}
