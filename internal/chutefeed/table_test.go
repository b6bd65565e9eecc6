package chutefeed

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// drawTable draws a table with keys from a small set, so that drawn tables have many keys in common.
func drawTable(t *rapid.T, name string) Table {
	values := rapid.MapOf(rapid.IntRange(0, 60), rapid.IntRange(0, 2)).Draw(t, name)
	var rows []Row
	for _, k := range slices.Sorted(maps.Keys(values)) {
		rows = append(rows, Row{Key: fmt.Sprint("k", k), Value: []byte(fmt.Sprint(values[k])), Version: 1})
	}

	return NewTable(rows, rapid.Uint64Range(1, 9).Draw(t, name+" version"))
}

func TestChanges(t *testing.T) {
	t.Run("the change since a state turns it into the later state", rapid.MakeCheck(func(t *rapid.T) {
		old, next := drawTable(t, "old"), drawTable(t, "next")
		if got := old.WithChange(next.ChangeSince(old)); !got.HasSameRows(next) {
			t.Fatalf("%v instead of %v", got, next)
		}
	}))

	t.Run("the change for the digests of any state turns it into the table", rapid.MakeCheck(func(t *rapid.T) {
		old, table := drawTable(t, "has"), drawTable(t, "table")
		if got := old.WithChange(table.ChangeForDigests(old.Digests())); !got.HasSameRows(table) {
			t.Fatalf("%v instead of %v", got, table)
		}
	}))

	t.Run("rows that were deleted and written again unseen are found", func(t *testing.T) {
		// An upstream's row was deleted at version 8 and written again unchanged at version 9. Node A
		// read at 8. Node B read at 7 and at 9 and saw no change. A follower of A that starts to
		// follow B must get the row.
		c := qt.New(t)
		row := Row{Key: "u", Value: []byte("ready"), Version: 5}
		b := NewTable([]Row{row}, 9)
		ofFollower := NewTable(nil, 8)
		c.Assert(ofFollower.WithChange(b.ChangeForDigests(ofFollower.Digests())).HasSameRows(b), qt.IsTrue)
	})
}

func TestEras(t *testing.T) {
	earlier := NewTable([]Row{{Key: "a", Value: []byte("1"), Version: 8}, {Key: "lost", Value: []byte("1"), Version: 9}}, 9)
	later := NewTable([]Row{{Key: "a", Value: []byte("2"), Version: 6}}, 6).WithPosition(Position{Era: 1, Version: 6})

	t.Run("a lower version of a later era follows", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(earlier.Position().Before(later.Position()), qt.IsTrue)
		c.Assert(earlier.WithChange(later.ChangeForDigests(earlier.Digests())).HasSameRows(later), qt.IsTrue)
		c.Assert(earlier.WithChange(later.ChangeSince(earlier)).Position(), qt.Equals, later.Position())
	})

	t.Run("a follower is sent the rows of a later era, and none of an earlier one", func(t *testing.T) {
		c := qt.New(t)
		_, sent := NewFeed(earlier.Position(), earlier.Digests()).NextChange(later)
		c.Assert(sent, qt.IsTrue)
		_, sent = NewFeed(later.Position(), later.Digests()).NextChange(earlier)
		c.Assert(sent, qt.IsFalse)
	})
}

func TestChangeForDigests(t *testing.T) {
	var rows []Row
	for i := range 3000 {
		rows = append(rows, Row{Key: fmt.Sprint("key", i), Value: []byte("ready"), Version: 1})
	}
	table := NewTable(rows, 9)

	t.Run("equal rows of another version are not sent", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(table.ChangeForDigests(NewTable(rows, 3).Digests()).IsEmpty(), qt.IsTrue)
	})

	t.Run("for one row that differs its group is sent", func(t *testing.T) {
		c := qt.New(t)
		other := table.WithChange(Change{Version: 9, Rows: []Row{{Key: "key7", Value: []byte("leaving")}}})
		change := table.ChangeForDigests(other.Digests())
		c.Assert(change.Groups, qt.HasLen, 1)
		c.Assert(len(change.Rows) < 3*rowsPerGroup, qt.IsTrue)
	})

	t.Run("for more digests than any node sends the whole table is sent", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(table.ChangeForDigests(make([]uint64, MaxGroups+1)).Whole, qt.IsTrue)
	})
}
