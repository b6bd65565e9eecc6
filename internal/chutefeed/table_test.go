package chutefeed

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// drawTable draws a table of a few keys, so that tables share many of them.
func drawTable(t *rapid.T, name string) Table {
	values := rapid.MapOf(rapid.IntRange(0, 60), rapid.IntRange(0, 2)).Draw(t, name)
	var rows []Row
	for _, k := range slices.Sorted(maps.Keys(values)) {
		rows = append(rows, Row{Key: fmt.Sprint("k", k), Value: []byte(fmt.Sprint(values[k])), Version: 1})
	}

	return NewTable(rows, rapid.Uint64Range(1, 9).Draw(t, name+" version"))
}

func TestChanges(t *testing.T) {
	t.Run("what changed since a state leads from it to the later one", rapid.MakeCheck(func(t *rapid.T) {
		old, next := drawTable(t, "old"), drawTable(t, "next")
		if got := old.WithChange(next.ChangeSince(old)); !got.HasSameRows(next) {
			t.Fatalf("%v in place of %v", got, next)
		}
	}))

	t.Run("what is missing by digests leads to the table, whatever the holder has", rapid.MakeCheck(func(t *rapid.T) {
		old, table := drawTable(t, "has"), drawTable(t, "table")
		if got := old.WithChange(table.ChangeForDigests(old.Digests())); !got.HasSameRows(table) {
			t.Fatalf("%v in place of %v", got, table)
		}
	}))

	t.Run("rows that came back unseen are found", func(t *testing.T) {
		// Node A saw an upstream's row go at 8; it is back at 9 as it was. Node B read at
		// 7 and at 9 and saw no change. Who followed A and turns to B must get the row.
		c := qt.New(t)
		row := Row{Key: "u", Value: []byte("ready"), Version: 5}
		b := NewTable([]Row{row}, 9)
		ofFollower := NewTable(nil, 8)
		c.Assert(ofFollower.WithChange(b.ChangeForDigests(ofFollower.Digests())).HasSameRows(b), qt.IsTrue)
	})
}

func TestChangeForDigests(t *testing.T) {
	var rows []Row
	for i := range 3000 {
		rows = append(rows, Row{Key: fmt.Sprint("key", i), Value: []byte("ready"), Version: 1})
	}
	table := NewTable(rows, 9)

	t.Run("the same rows under another version are not sent", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(table.ChangeForDigests(NewTable(rows, 3).Digests()).IsEmpty(), qt.IsTrue)
	})

	t.Run("one row that differs brings its group along", func(t *testing.T) {
		c := qt.New(t)
		other := table.WithChange(Change{Version: 9, Rows: []Row{{Key: "key7", Value: []byte("leaving")}}})
		change := table.ChangeForDigests(other.Digests())
		c.Assert(change.Groups, qt.HasLen, 1)
		c.Assert(len(change.Rows) < 3*rowsPerGroup, qt.IsTrue)
	})

	t.Run("digests that no node sends get the whole table", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(table.ChangeForDigests(make([]uint64, MaxGroups+1)).Whole, qt.IsTrue)
	})
}
