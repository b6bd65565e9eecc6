package chuteshare

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chuteshare/chutesharepb"
)

// tableOf returns a table of n rows as of a version.
func tableOf(n int, version uint64) chutefeed.Table {
	rows := make([]chutefeed.Row, 0, n)
	for i := range n {
		rows = append(rows, chutefeed.Row{Key: fmt.Sprint("key-", i), Value: []byte(fmt.Sprint("value of ", i)), Version: 1})
	}

	return chutefeed.NewTable(rows, version)
}

// changed returns the table with one row changed.
func changed(t chutefeed.Table, key, value string, version uint64) chutefeed.Table {
	return t.WithChange(chutefeed.Change{Version: version, Rows: []chutefeed.Row{{Key: key, Value: []byte(value), Version: version}}})
}

func TestReadTable(t *testing.T) {
	server := serve(t)
	server.setTable(tableOf(500, 7), true)
	read := func(c *qt.C, known chutefeed.Table) (chutefeed.Change, bool) {
		change, word, err := newClient(t).ReadTable(context.Background(), server.address, "t", known)
		c.Assert(err, qt.IsNil)
		c.Assert(word.Current, qt.IsTrue)

		return change, change.Version > 0
	}

	t.Run("a caller that has nothing gets the whole table", func(t *testing.T) {
		c := qt.New(t)
		change, ok := read(c, chutefeed.Table{})
		c.Assert(ok, qt.IsTrue)
		c.Assert(change.Whole, qt.IsTrue)
		c.Assert(chutefeed.Table{}.WithChange(change).HasSameRows(tableOf(500, 7)), qt.IsTrue)
	})

	t.Run("one that lacks a row gets the rows of its group", func(t *testing.T) {
		c := qt.New(t)
		known := changed(tableOf(500, 6), "key-3", "old", 6)
		change, ok := read(c, known)
		c.Assert(ok, qt.IsTrue)
		c.Assert(change.Whole, qt.IsFalse)
		c.Assert(len(change.Rows) < 60, qt.IsTrue)
		c.Assert(known.WithChange(change).HasSameRows(tableOf(500, 7)), qt.IsTrue)
	})

	t.Run("one that is as far gets nothing", func(t *testing.T) {
		c := qt.New(t)
		_, ok := read(c, tableOf(500, 7))
		c.Assert(ok, qt.IsFalse)
	})
}

// follower follows a server in a test.
type follower struct {
	table   chutefeed.Table
	changes chan chutefeed.Change
	current chan bool
	ended   chan error
}

func startFollowing(t testing.TB, server *collector, known chutefeed.Table) *follower {
	t.Helper()
	f := &follower{table: known, changes: make(chan chutefeed.Change, 64), current: make(chan bool, 64), ended: make(chan error, 1)}
	client := newClient(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		f.ended <- client.FollowTable(ctx, server.address, "t", known, FollowEvery,
			func(change chutefeed.Change) { f.changes <- change },
			func(word Word) bool { f.current <- word.Current; return true })
	}()

	return f
}

// until takes changes in until the follower has the table.
func (f *follower) until(table chutefeed.Table) (rows int) {
	for !f.table.HasSameRows(table) || f.table.Version() != table.Version() {
		change := <-f.changes
		rows += len(change.Rows)
		f.table = f.table.WithChange(change)
	}

	return rows
}

func TestFollowTable(t *testing.T) {
	t.Run("after the whole table a change brings one row", func(t *testing.T) {
		c := qt.New(t)
		server := serve(t)
		table := tableOf(500, 7)
		server.setTable(table, true)
		f := startFollowing(t, server, chutefeed.Table{})
		c.Assert(f.until(table), qt.Equals, 500)
		table = changed(table, "key-3", "new", 8)
		server.setTable(table, true)
		c.Assert(f.until(table), qt.Equals, 1)
	})

	t.Run("who comes from another node is sent what differs", func(t *testing.T) {
		c := qt.New(t)
		server := serve(t)
		table := changed(tableOf(500, 7), "key-3", "new", 8)
		server.setTable(table, true)
		f := startFollowing(t, server, tableOf(500, 7))
		c.Assert(f.until(table) < 60, qt.IsTrue)
	})

	t.Run("a node that has heard less takes nothing back", func(t *testing.T) {
		// The follower knows that an upstream is leaving. The node that it turns to
		// reads the store a moment later and still lists it.
		c := qt.New(t)
		server := serve(t)
		server.setTable(tableOf(500, 7), true)
		table := changed(tableOf(500, 7), "key-3", "leaving", 8)
		f := startFollowing(t, server, table)
		c.Assert(<-f.current, qt.IsTrue)
		c.Assert(f.changes, qt.HasLen, 0)
		later := changed(table, "key-4", "leaving", 9)
		server.setTable(later, true)
		f.until(later)
	})

	t.Run("a node that is shutting down serves nobody", func(t *testing.T) {
		// It may follow one of those that follow it. Both would hear from each other
		// that they are up to date, and an upstream that is leaving would get calls.
		c := qt.New(t)
		server := serve(t)
		server.setTable(tableOf(3, 7), true)
		f := startFollowing(t, server, chutefeed.Table{})
		f.until(tableOf(3, 7))
		server.table.Swap(&Followed{Leaving: true})
		close(server.changed)
		server.changed = make(chan struct{})
		c.Assert(<-f.ended, qt.ErrorMatches, ".*shutting down.*")
	})
}

func TestPacks(t *testing.T) {
	// A zone starts at once: tens of nodes ask one for a table of thousands of rows.
	c := qt.New(t)
	p := &packs{}
	table := tableOf(3000, 7)
	first, err := p.encode("t", table.ChangeForDigests(nil))
	c.Assert(err, qt.IsNil)
	plain, err := proto.Marshal(&chutesharepb.RowList{Rows: encodeRows(table.Rows())})
	c.Assert(err, qt.IsNil)
	c.Assert(len(first.GetPacked())*2 < len(plain), qt.IsTrue)
	second, err := p.encode("t", table.WithVersion(9).ChangeForDigests(nil))
	c.Assert(err, qt.IsNil)
	c.Assert(&second.GetPacked()[0], qt.Equals, &first.GetPacked()[0])
	change, err := decodeChange(second, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(chutefeed.Table{}.WithChange(change).HasSameRows(table), qt.IsTrue)

	t.Run("what is no packed table is an error", func(t *testing.T) {
		c := qt.New(t)
		second.Packed = []byte("no deflate")
		_, err := decodeChange(second, 0)
		c.Assert(err, qt.IsNotNil)
	})
}
