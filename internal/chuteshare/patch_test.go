package chuteshare

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chuteshare/chutesharepb"
)

// largeTable returns a table with one large row of lines, of which one differs by version.
func largeTable(lines int, version uint64) chutefeed.Table {
	var text strings.Builder
	for i := range lines {
		fmt.Fprintf(&text, "line %d of version %d\n", i*i, map[bool]uint64{true: version}[i == lines/2])
	}

	return chutefeed.NewTable([]chutefeed.Row{
		{Key: "large", Value: []byte(text.String()), Version: version}, {Key: "small", Value: []byte("x"), Version: 1},
	}, version)
}

// sendChanges encodes the tables as changes of one stream to a follower that knows the first of them, and
// returns the sizes of the messages and what the follower has at the end.
func sendChanges(c *qt.C, known *chutesharepb.Known, first chutefeed.Table, tables ...chutefeed.Table) ([]int, chutefeed.Table) {
	encoder, patcher := &tableEncoder{}, newValuePatcher(known)
	feed := chutefeed.NewFeed(decodeKnown(known), known.GetDigests())
	values, table := newLargeValues(first), first
	var sizes []int
	for _, next := range tables {
		change, ok := feed.NextChange(next)
		c.Assert(ok, qt.IsTrue)
		message, err := encoder.encode("t", change, patcher)
		c.Assert(err, qt.IsNil)
		sizes = append(sizes, proto.Size(message))
		decoded, err := decodeChange(message, len(known.GetDigests()), values)
		c.Assert(err, qt.IsNil)
		table = table.WithChange(decoded)
	}

	return sizes, table
}

func TestPatchedChanges(t *testing.T) {
	versions := []chutefeed.Table{largeTable(9000, 2), largeTable(9100, 3), largeTable(9100, 4)}

	t.Run("a follower that has nothing gets the whole value, then patches", func(t *testing.T) {
		c := qt.New(t)
		sizes, table := sendChanges(c, encodeKnown(chutefeed.Table{}), chutefeed.Table{}, versions...)
		c.Assert(table.HasSameRows(versions[2]), qt.IsTrue)
		c.Assert(sizes[1] < sizes[0]/10, qt.IsTrue, qt.Commentf("%v", sizes))
		c.Assert(sizes[2] < sizes[0]/10, qt.IsTrue, qt.Commentf("%v", sizes))
	})

	t.Run("a follower that comes from another source gets a patch of what it has", func(t *testing.T) {
		c := qt.New(t)
		sizes, table := sendChanges(c, encodeKnown(versions[0]), versions[0], versions[1])
		c.Assert(table.HasSameRows(versions[1]), qt.IsTrue)
		c.Assert(sizes[0] < 10_000, qt.IsTrue, qt.Commentf("%v", sizes))
	})
}

// Guards against a follower of an earlier build that is sent patches, which it would take for empty values.
func TestPatchesOfEarlierBuild(t *testing.T) {
	c := qt.New(t)
	known := encodeKnown(largeTable(9000, 2))
	known.KnowsPatches, known.Large = false, nil
	change := largeTable(9100, 3).ChangeForDigests(known.GetDigests())
	message, err := (&tableEncoder{}).encode("t", change, newValuePatcher(known))
	c.Assert(err, qt.IsNil)
	rows, err := unpackRows(message.GetPacked())
	c.Assert(err, qt.IsNil)
	large, _ := largeTable(9100, 3).Get("large")
	c.Assert(bytes.Equal(rows[0].GetValue(), large.Value), qt.IsTrue)
	c.Assert(rows[0].GetPatch(), qt.IsNil)
}

// Guards against a follower that takes a value that was put together from another one than it has.
func TestPatchOfUnknownValue(t *testing.T) {
	c := qt.New(t)
	message, err := (&tableEncoder{}).encode("t", largeTable(9100, 3).ChangeForDigests(nil), newValuePatcher(encodeKnown(largeTable(9000, 2))))
	c.Assert(err, qt.IsNil)
	_, err = decodeChange(message, 1, newLargeValues(largeTable(800, 7)))
	c.Assert(err, qt.ErrorMatches, ".*does not belong to the value.*")
}
