package chutegate

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chuteledger"
)

// Guards against cost that nobody is charged: a node that shuts down ended before another one had the copy of
// its last counters, and then the store lost them.
func TestLastCountersAreCopied(t *testing.T) {
	c := qt.New(t)
	region := newTestRegion(t, 1)
	leaving, other := region.nodes["n0"], region.nodes["n1"]
	waitUntil(func() bool { return len(leaving.listedPeers()) == 2 })
	leaving.store.ReplaceIfUnchanged = func(context.Context, string, string, []Row) (uint64, []Row, error) { return 1, nil, nil }
	leaving.draining.Store(true)
	for i := range 20 {
		row := chuteledger.Row{Key: fmt.Sprint("n0/", i), Body: json.RawMessage(`{}`)}
		leaving.writeLedger(t.Context(), []chuteledger.Row{row})
		c.Assert(other.departedLedgers.recent(other.Now()), qt.HasLen, i+1)
	}
}
