package chuteshare

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chuteshare/chutesharepb"
)

// upstreamRow returns the row of the i-th upstream in the form that nodes send.
func upstreamRow(i int, state string) chutefeed.Row {
	value := fmt.Sprintf(`{"service":"pool-%d","address":"10.%d.%d.%d:8608","zone":"hall-%d","version":"v1",`+
		`"concurrency":32,"state":%q,"warmup_left_ms":0,"sequence":0}`, i%5, i>>16, i>>8&255, i&255, i%5, state)

	return chutefeed.Row{Key: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Value: []byte(value), Version: uint64(i)}
}

// upstreamTable returns a table of n ready upstreams.
func upstreamTable(n int) chutefeed.Table {
	rows := make([]chutefeed.Row, 0, n)
	for i := range n {
		rows = append(rows, upstreamRow(i, "ready"))
	}

	return chutefeed.NewTable(rows, uint64(n))
}

// messageSizes holds the sizes in bytes of the messages to a follower: a whole table, the change of
// one row, the difference after it switches to another source, and a keepalive.
type messageSizes struct {
	wholeTable, change, sourceSwitch, keepalive int
}

// measureSizes returns the sizes for a table of a number of upstreams.
func measureSizes(c *qt.C, upstreams int) messageSizes {
	size := func(change chutefeed.Change) int {
		message, err := (&tableEncoder{}).encode("t", change, newValuePatcher(&chutesharepb.Known{KnowsPatches: true}))
		c.Assert(err, qt.IsNil)

		return proto.Size(&chutesharepb.FollowTableUpdate{Current: true, Change: message})
	}
	table := upstreamTable(upstreams)
	newer := table.WithChange(chutefeed.Change{Version: table.Version() + 1, Rows: []chutefeed.Row{upstreamRow(7, "draining")}})

	return messageSizes{
		wholeTable:   size(newer.ChangeForDigests(nil)),
		change:       size(newer.ChangeSince(table)),
		sourceSwitch: size(newer.ChangeForDigests(table.Digests())) + proto.Size(encodeKnown(table)),
		keepalive:    size(newer.WithPosition(chutefeed.Position{Version: newer.Version() + 1}).ChangeSince(newer)),
	}
}

func TestSizes(t *testing.T) {
	t.Run("the sizes of a change and of a keepalive do not grow with the number of upstreams", func(t *testing.T) {
		c := qt.New(t)
		for _, upstreams := range []int{236, 3_000, 8_000} {
			got := measureSizes(c, upstreams)
			note := qt.Commentf("%d upstreams: %+v", upstreams, got)
			c.Check(got.change <= 256, qt.IsTrue, note)
			c.Check(got.keepalive <= 16, qt.IsTrue, note)
			c.Check(got.sourceSwitch <= 12_000, qt.IsTrue, note)
			c.Check(got.wholeTable <= 80*upstreams, qt.IsTrue, note)
		}
	})
}

// BenchmarkSizes reports the sizes in bytes of the messages to a follower.
func BenchmarkSizes(b *testing.B) {
	for _, upstreams := range []int{236, 1_000, 3_000, 8_000} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			var got messageSizes
			for b.Loop() {
				got = measureSizes(qt.New(b), upstreams)
			}
			b.ReportMetric(float64(got.wholeTable), "B/start")
			b.ReportMetric(float64(got.change), "B/change")
			b.ReportMetric(float64(got.sourceSwitch), "B/moved")
			b.ReportMetric(float64(got.keepalive), "B/sign")
		})
	}
}
