package chuteshare

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chuteshare/chutesharepb"
)

// newTable returns a table of n rows at a version.
func newTable(n int, version uint64) chutefeed.Table {
	rows := make([]chutefeed.Row, 0, n)
	for i := range n {
		rows = append(rows, chutefeed.Row{Key: fmt.Sprint("key-", i), Value: []byte(fmt.Sprint("value of ", i)), Version: 1})
	}

	return chutefeed.NewTable(rows, version)
}

// withRow returns the table at a version with one row changed.
func withRow(t chutefeed.Table, key, value string, version uint64) chutefeed.Table {
	return t.WithChange(chutefeed.Change{Version: version, Rows: []chutefeed.Row{{Key: key, Value: []byte(value), Version: version}}})
}

func TestReadTable(t *testing.T) {
	server := startServer(t)
	server.setTable(newTable(500, 7), true)
	read := func(c *qt.C, known chutefeed.Table) (chutefeed.Change, bool) {
		change, status, err := newClient(t).ReadTable(context.Background(), server.address, "t", known)
		c.Assert(err, qt.IsNil)
		c.Assert(status.Current, qt.IsTrue)

		return change, change.Version > 0
	}

	t.Run("a caller without rows gets the whole table", func(t *testing.T) {
		c := qt.New(t)
		change, ok := read(c, chutefeed.Table{})
		c.Assert(ok, qt.IsTrue)
		c.Assert(change.Whole, qt.IsTrue)
		c.Assert(chutefeed.Table{}.WithChange(change).HasSameRows(newTable(500, 7)), qt.IsTrue)
	})

	t.Run("a caller that lacks one row gets the rows of its group", func(t *testing.T) {
		c := qt.New(t)
		known := withRow(newTable(500, 6), "key-3", "old", 6)
		change, ok := read(c, known)
		c.Assert(ok, qt.IsTrue)
		c.Assert(change.Whole, qt.IsFalse)
		c.Assert(len(change.Rows) < 60, qt.IsTrue)
		c.Assert(known.WithChange(change).HasSameRows(newTable(500, 7)), qt.IsTrue)
	})

	t.Run("a caller with the same version gets nothing", func(t *testing.T) {
		c := qt.New(t)
		_, ok := read(c, newTable(500, 7))
		c.Assert(ok, qt.IsFalse)
	})
}

// Guards against a caller that takes a peer's table for newer than it is because the reply was on
// its way for long.
func TestReadTableConfirmedAt(t *testing.T) {
	c := qt.New(t)
	server := startServer(t)
	server.setTable(newTable(3, 7), true)
	clock := clockwork.NewFakeClock()
	client := newClient(t)
	client.Clock = clock
	askedAt := clock.Now()
	client.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		clock.Advance(time.Second)

		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}
	_, status, err := client.ReadTable(context.Background(), server.address, "t", chutefeed.Table{})
	c.Assert(err, qt.IsNil)
	c.Assert(status.ConfirmedAt.Equal(askedAt), qt.IsTrue)
}

// Guards against a follower of an earlier build that takes its rows for current, although its source has
// those of a store that has come back from a copy.
func TestFollowerWithoutEras(t *testing.T) {
	server := startServer(t)
	server.setTable(newTable(3, 7).WithPosition(chutefeed.Position{Era: 2, Version: 7}), true)
	follow := func(c *qt.C, request *chutesharepb.FollowTableRequest) *chutesharepb.FollowTableUpdate {
		conn, err := newClient(t).connTo(server.address)
		c.Assert(err, qt.IsNil)
		stream, err := chutesharepb.NewShareClient(conn).FollowTable(t.Context(), request)
		c.Assert(err, qt.IsNil)
		update, err := stream.Recv()
		c.Assert(err, qt.IsNil)

		return update
	}
	known := &chutesharepb.Known{Version: 9}

	t.Run("it is told that the source is not current", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(follow(c, &chutesharepb.FollowTableRequest{Table: "t", Known: known}).GetCurrent(), qt.IsFalse)
	})

	t.Run("a follower that knows eras is sent the rows", func(t *testing.T) {
		c := qt.New(t)
		update := follow(c, &chutesharepb.FollowTableRequest{Table: "t", Known: known, KnowsEras: true})
		c.Assert(update.GetCurrent(), qt.IsTrue)
		c.Assert(update.GetChange().GetEra(), qt.Equals, uint64(2))
	})
}

// follower follows the table of a test server and keeps what it receives.
type follower struct {
	table   chutefeed.Table
	changes chan chutefeed.Change
	current chan bool
	ended   chan error
}

func startFollower(t testing.TB, server *testServer, known chutefeed.Table) *follower {
	t.Helper()
	f := &follower{table: known, changes: make(chan chutefeed.Change, 64), current: make(chan bool, 64), ended: make(chan error, 1)}
	client := newClient(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		f.ended <- client.FollowTable(ctx, server.address, "t", known, FollowKeepaliveInterval,
			func(change chutefeed.Change) { f.changes <- change },
			func(status TableStatus) bool { f.current <- status.Current; return true })
	}()

	return f
}

// applyUntil applies received changes until the follower has the table, and returns the number of
// rows received.
func (f *follower) applyUntil(table chutefeed.Table) (rows int) {
	for !f.table.HasSameRows(table) || f.table.Version() != table.Version() {
		change := <-f.changes
		rows += len(change.Rows)
		f.table = f.table.WithChange(change)
	}

	return rows
}

func TestFollowTable(t *testing.T) {
	t.Run("after the whole table, a change sends one row", func(t *testing.T) {
		c := qt.New(t)
		server := startServer(t)
		table := newTable(500, 7)
		server.setTable(table, true)
		f := startFollower(t, server, chutefeed.Table{})
		c.Assert(f.applyUntil(table), qt.Equals, 500)
		table = withRow(table, "key-3", "new", 8)
		server.setTable(table, true)
		c.Assert(f.applyUntil(table), qt.Equals, 1)
	})

	t.Run("a follower that switches from another source gets only the differences", func(t *testing.T) {
		c := qt.New(t)
		server := startServer(t)
		table := withRow(newTable(500, 7), "key-3", "new", 8)
		server.setTable(table, true)
		f := startFollower(t, server, newTable(500, 7))
		c.Assert(f.applyUntil(table) < 60, qt.IsTrue)
	})

	t.Run("a source with an older version does not revert its follower", func(t *testing.T) {
		// The follower knows that an upstream is leaving. Its new source has not read that
		// change from the store yet and still lists the upstream.
		c := qt.New(t)
		server := startServer(t)
		server.setTable(newTable(500, 7), true)
		table := withRow(newTable(500, 7), "key-3", "leaving", 8)
		f := startFollower(t, server, table)
		c.Assert(<-f.current, qt.IsTrue)
		c.Assert(f.changes, qt.HasLen, 0)
		later := withRow(table, "key-4", "leaving", 9)
		server.setTable(later, true)
		f.applyUntil(later)
	})

	t.Run("a node that is shutting down serves no followers", func(t *testing.T) {
		// The node may follow one of its own followers. Each would then confirm to the other
		// that it is up to date, and an upstream that is leaving would still get calls.
		c := qt.New(t)
		server := startServer(t)
		server.setTable(newTable(3, 7), true)
		f := startFollower(t, server, chutefeed.Table{})
		f.applyUntil(newTable(3, 7))
		server.table.Swap(&TableState{Leaving: true})
		close(server.changed)
		server.changed = make(chan struct{})
		c.Assert(<-f.ended, qt.ErrorMatches, ".*shutting down.*")
	})
}

func TestPacks(t *testing.T) {
	// When a whole zone starts at once, tens of nodes read a table of thousands of rows from
	// the same node.
	c := qt.New(t)
	encoder := &tableEncoder{}
	table := newTable(3000, 7)
	first, err := encoder.encode("t", table.ChangeForDigests(nil), &valuePatcher{})
	c.Assert(err, qt.IsNil)
	plain, err := proto.Marshal(&chutesharepb.RowList{Rows: encodeRows(table.Rows())})
	c.Assert(err, qt.IsNil)
	c.Assert(len(first.GetPacked())*2 < len(plain), qt.IsTrue)
	second, err := encoder.encode("t", table.WithPosition(chutefeed.Position{Version: 9}).ChangeForDigests(nil), &valuePatcher{})
	c.Assert(err, qt.IsNil)
	c.Assert(&second.GetPacked()[0], qt.Equals, &first.GetPacked()[0])
	change, err := decodeChange(second, 0, largeValues{})
	c.Assert(err, qt.IsNil)
	c.Assert(chutefeed.Table{}.WithChange(change).HasSameRows(table), qt.IsTrue)

	t.Run("data that is not a packed table is an error", func(t *testing.T) {
		c := qt.New(t)
		second.Packed = []byte("no deflate")
		_, err := decodeChange(second, 0, largeValues{})
		c.Assert(err, qt.IsNotNil)
	})
}
