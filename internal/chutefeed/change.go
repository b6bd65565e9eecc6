package chutefeed

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Change is what a holder of a table lacks.
type Change struct {
	// Version is that of the table after the change.
	Version uint64
	// Whole says that the table then holds Rows and nothing else.
	Whole bool
	// Groups lists groups of GroupCount that hold those of Rows and nothing else.
	Groups     []uint32
	GroupCount int
	Rows       []Row
	// DeletedKeys lists keys that are deleted.
	DeletedKeys []string
}

// IsEmpty says whether the change brings nothing but a version.
func (c Change) IsEmpty() bool {
	return !c.Whole && len(c.Groups) == 0 && len(c.Rows) == 0 && len(c.DeletedKeys) == 0
}

const (
	// rowsAGroup is the number of rows that share a digest: with 16, what a node that
	// changes whom it follows sends is one part in thirty of a table of 150 bytes a
	// row, and each row that differs brings 15 others along.
	rowsPerGroup = 16
	// MaxGroups bounds the digests of one table; beyond, groups are larger. 256 take 2 KB.
	MaxGroups = 256
	// wholeAbove is the part of all groups above which the whole table is sent: it is
	// packed, which makes it a third as long.
	wholeTableDivisor = 3
)

// Digests returns one digest for each group of rows; none if the table was never read.
func (t Table) Digests() []uint64 {
	if t.version == 0 {
		return nil
	}
	count := min(MaxGroups, 1+len(t.rows)/rowsPerGroup)

	return t.groupDigests(count)
}

func (t Table) groupDigests(count int) []uint64 {
	digests := make([]uint64, count)
	for _, row := range t.rows {
		digests[groupOfKey(row.Key, count)] += rowDigest(row)
	}

	return digests
}

// digest hashes what a row means.
func rowDigest(r Row) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Key)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(r.Value)

	return h.Sum64()
}

func groupOfKey(key string, count int) uint32 {
	return uint32(xxhash.Sum64String(key) % uint64(max(1, count))) //nolint:gosec // below MaxGroups
}

// ChangeForDigests returns what the holder of a table with the digests lacks of this one.
func (t Table) ChangeForDigests(digests []uint64) Change {
	whole := Change{Version: t.version, Whole: true, Rows: t.rows}
	if len(digests) == 0 || len(digests) > MaxGroups {
		return whole
	}
	c := Change{Version: t.version, GroupCount: len(digests)}
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

// ChangeSince returns what changed from an earlier state to this one.
func (t Table) ChangeSince(old Table) Change {
	c := Change{Version: t.version}
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
