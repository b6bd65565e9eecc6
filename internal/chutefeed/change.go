package chutefeed

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Change is what turns one state of a table into another one.
type Change struct {
	// Era and Version are the position of the table after the change.
	Era     uint64
	Version uint64
	// Whole is true if Rows are all rows of the table after the change.
	Whole bool
	// Groups are the numbers of the groups, out of GroupCount, of which Rows holds all rows after the
	// change.
	Groups     []uint32
	GroupCount int
	// Rows are the new and changed rows, with all others of the groups in Groups.
	Rows []Row
	// DeletedKeys are the keys of the deleted rows.
	DeletedKeys []string
}

// Position returns the position of the table after the change.
func (c Change) Position() Position {
	return Position{Era: c.Era, Version: c.Version}
}

// IsEmpty reports whether the change changes no rows, only the version.
func (c Change) IsEmpty() bool {
	return !c.Whole && len(c.Groups) == 0 && len(c.Rows) == 0 && len(c.DeletedKeys) == 0
}

const (
	// rowsPerGroup is the number of rows that share a digest. With 16, a node that switches to another
	// source sends digests of a thirtieth of the size of a table with 150 bytes per row, and for each
	// row that differs 15 others are sent too.
	rowsPerGroup = 16
	// MaxGroups is the maximum number of digests of one table, which take 2 KB; the groups of larger
	// tables have more rows.
	MaxGroups = 256
	// wholeTableDivisor sets the part of all groups above which the whole table is sent, a third: a
	// whole table is compressed to a third of its size.
	wholeTableDivisor = 3
)

// Digests returns one digest for each group of rows; none if the table was never read from the store.
func (t Table) Digests() []uint64 {
	if t.Version() == 0 {
		return nil
	}
	count := min(MaxGroups, 1+len(t.rows)/rowsPerGroup)

	return t.groupDigests(count)
}

// groupDigests returns the digests of the given number of groups.
func (t Table) groupDigests(count int) []uint64 {
	digests := make([]uint64, count)
	for _, row := range t.rows {
		digests[groupOfKey(row.Key, count)] += rowDigest(row)
	}

	return digests
}

// rowDigest returns a hash of the key and the value of a row.
func rowDigest(r Row) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Key)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(r.Value)

	return h.Sum64()
}

// groupOfKey returns the number of the group, out of count, of the row with the given key.
func groupOfKey(key string, count int) uint32 {
	return uint32(xxhash.Sum64String(key) % uint64(max(1, count))) //nolint:gosec // below MaxGroups
}

// ChangeForDigests returns the change from a state of the table with the given digests to this one. It
// is the whole table if there are no digests, more than MaxGroups, or too many that differ.
func (t Table) ChangeForDigests(digests []uint64) Change {
	whole := Change{Era: t.Era(), Version: t.Version(), Whole: true, Rows: t.rows}
	if len(digests) == 0 || len(digests) > MaxGroups {
		return whole
	}
	c := Change{Era: t.Era(), Version: t.Version(), GroupCount: len(digests)}
	for i, own := range t.groupDigests(len(digests)) {
		if own != digests[i] {
			c.Groups = append(c.Groups, uint32(i)) //nolint:gosec // below MaxGroups
		}
	}
	if wholeTableDivisor*len(c.Groups) > len(digests) {
		return whole
	}
	if len(c.Groups) == 0 {
		return c
	}
	for _, row := range t.rows {
		if slices.Contains(c.Groups, groupOfKey(row.Key, len(digests))) {
			c.Rows = append(c.Rows, row)
		}
	}

	return c
}

// ChangeSince returns the change from an earlier state of the table to this one.
func (t Table) ChangeSince(old Table) Change {
	c := Change{Era: t.Era(), Version: t.Version()}
	oldRows := old.rows
	for _, row := range t.rows {
		for len(oldRows) > 0 && oldRows[0].Key < row.Key {
			c.DeletedKeys, oldRows = append(c.DeletedKeys, oldRows[0].Key), oldRows[1:]
		}
		if len(oldRows) > 0 && oldRows[0].Key == row.Key {
			same := isSameRow(oldRows[0], row)
			oldRows = oldRows[1:]
			if same {
				continue
			}
		}
		c.Rows = append(c.Rows, row)
	}
	for _, row := range oldRows {
		c.DeletedKeys = append(c.DeletedKeys, row.Key)
	}

	return c
}
