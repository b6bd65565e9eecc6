package chutefeed

import (
	"bytes"
	"cmp"
	"slices"
)

// Row is one row of a table. Rows with the same key and value are treated as equal.
type Row struct {
	Key   string
	Value []byte
	// Version is the version of the store at which the row was written.
	Version uint64
}

// Table is an immutable state of a table. The zero value is a table that was never read from the store.
type Table struct {
	// rows are sorted by key, and have one row per key.
	rows     []Row
	position Position
}

// NewTable returns a table with the given rows, in any order, as of a version of the store. Of rows with
// the same key it keeps the newest.
func NewTable(rows []Row, version uint64) Table {
	sorted := slices.Clone(rows)
	slices.SortFunc(sorted, func(a, b Row) int { return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(b.Version, a.Version)) })

	return Table{
		rows:     slices.CompactFunc(sorted, func(a, b Row) bool { return a.Key == b.Key }),
		position: Position{Version: version},
	}
}

// Version returns the version of the store that the table reflects; 0 if it was never read.
func (t Table) Version() uint64 {
	return t.position.Version
}

// Era returns the era of the store that the table reflects; 0 if it is not known.
func (t Table) Era() uint64 {
	return t.position.Era
}

// Position returns the point in the history of the store that the table reflects.
func (t Table) Position() Position {
	return t.position
}

// Rows returns all rows, sorted by key; the caller must not change them.
func (t Table) Rows() []Row {
	return t.rows
}

// Len returns the number of rows.
func (t Table) Len() int {
	return len(t.rows)
}

// Get returns the row with a key, and false if there is none.
func (t Table) Get(key string) (Row, bool) {
	i, ok := slices.BinarySearchFunc(t.rows, key, func(r Row, k string) int { return cmp.Compare(r.Key, k) })
	if !ok {
		return Row{}, false
	}

	return t.rows[i], true
}

// WithPosition returns the table with a later position; an earlier one is ignored.
func (t Table) WithPosition(position Position) Table {
	if t.position.Before(position) {
		t.position = position
	}

	return t
}

// WithChange returns the table with a change applied.
func (t Table) WithChange(c Change) Table {
	if c.Whole {
		return NewTable(c.Rows, 0).WithPosition(t.position).WithPosition(c.Position())
	}
	newRows := NewTable(c.Rows, 0).rows
	deleted := slices.Clone(c.DeletedKeys)
	slices.Sort(deleted)
	isDropped := func(key string) bool {
		_, isDeleted := slices.BinarySearch(deleted, key)

		return isDeleted || slices.Contains(c.Groups, groupOfKey(key, c.GroupCount))
	}
	merged := make([]Row, 0, len(t.rows)+len(newRows))
	for _, old := range t.rows {
		for len(newRows) > 0 && newRows[0].Key < old.Key {
			merged, newRows = append(merged, newRows[0]), newRows[1:]
		}
		switch {
		case len(newRows) > 0 && newRows[0].Key == old.Key:
			merged, newRows = append(merged, newRows[0]), newRows[1:]
		case !isDropped(old.Key):
			merged = append(merged, old)
		}
	}

	return Table{rows: append(merged, newRows...), position: t.position}.WithPosition(c.Position())
}

// HasSameRows reports whether two tables have rows with the same keys and values, whatever their
// versions.
func (t Table) HasSameRows(other Table) bool {
	return slices.EqualFunc(t.rows, other.rows, isSameRow)
}

// isSameRow reports whether two rows have the same key and value.
func isSameRow(a, b Row) bool {
	return a.Key == b.Key && bytes.Equal(a.Value, b.Value)
}
