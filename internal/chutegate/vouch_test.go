package chutegate

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteroute"
)

// refusalOfUnknown sends a request that no configuration allows, and returns how it is refused.
func refusalOfUnknown(n *Node) chuterelay.Refusal {
	var refusal chuterelay.Refusal
	n.Serve(context.Background(), &IncomingRequest{Path: "/unknown/"}, Output{Refuse: func(r chuterelay.Refusal) { refusal = r }})

	return refusal
}

// Guards against a node that refuses a caller for good by its old configuration while it puts a
// newer one in force, because the table that holds the newer one is fresh.
func TestRefusalDuringAdoption(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	answer := newPage(1, Row{Key: "c", Value: []byte("1"), Version: 1})
	n := New(Settings{Tables: testTables}, clock, zerolog.Nop(), Store{
		ReadAll:      func(context.Context, string) (Page, error) { return answer, nil },
		AwaitChanges: func(context.Context, string, uint64, time.Duration) (Page, error) { return answer, nil },
	}, testDecoders(), Upstreams{})
	n.upstreamsLoaded.Store(true)
	local := n.localTables[testTables.Config]
	read := func() {
		_, err := n.readStore(context.Background(), local, 0, callRead)
		c.Assert(err, qt.IsNil)
	}
	read()
	n.adoptConfig(local, local.snapshot())
	clock.Advance(startupWait)
	c.Assert(refusalOfUnknown(n).Kind, qt.Equals, chuterelay.RefusedNoPipeline)

	clock.Advance(2 * DefaultMaxDelay)
	answer = newPage(2, Row{Key: "c", Value: []byte("2"), Version: 2})
	read()
	var during chuterelay.Refusal
	decode := n.decode.Config
	n.decode.Config = func(value []byte) (chuteroute.Config, error) {
		during = refusalOfUnknown(n)

		return decode(value)
	}
	n.adoptConfig(local, local.snapshot())
	c.Assert(during.Kind, qt.Equals, chuterelay.RefusedNotRun)
	c.Assert(refusalOfUnknown(n).Kind, qt.Equals, chuterelay.RefusedNoPipeline)
}
