package chutefeed

import "cmp"

// Position is a point in the history of the store up to which a table was read. The zero value precedes
// all others.
type Position struct {
	// Era counts the returns of the store from a copy of itself, 0 if the store does not say. In a new
	// era versions go on from those of the copy, so that a version may stand for other rows than in the
	// era before.
	Era uint64
	// Version is the version of the store in the era.
	Version uint64
}

// Compare returns -1 if p precedes other, 1 if it follows it, and 0 if both are the same.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Version, other.Version))
}

// Before reports whether p precedes other.
func (p Position) Before(other Position) bool {
	return p.Compare(other) < 0
}
