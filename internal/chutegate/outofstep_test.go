package chutegate

import (
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteshare"
	"azurechute.example/azurechute/internal/chutestream"
)

// knows is what a node that is asked for a stream knows of it.
type knows string

const (
	knowsNothing knows = "nothing"
	knowsV1      knows = "v1"
	knowsV2      knows = "v2"
	unreachable  knows = "unreachable"
)

func bindingOf(k knows) chutestream.Binding {
	return chutestream.Binding{Pool: "p", Version: string(k), Upstream: "u-" + string(k)}
}

// startHolder starts a node that answers for any stream as told, and returns its address.
func startHolder(t *testing.T, k knows) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	if k == unreachable {
		_ = l.Close()

		return l.Addr().String()
	}
	server := chuteshare.NewServer(chuteshare.Handlers{Now: time.Now, OnFindStream: func(id chutestream.ID) (chutestream.Record, bool) {
		return chutestream.Record{ID: id, Binding: bindingOf(k), Until: time.Now().Add(time.Minute)}, k != knowsNothing
	}})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)

	return l.Addr().String()
}

// Guards against a stream that goes on at another version at a node that is out of touch: it knows a stream that it began alike,
// and not the one that its caller takes up, which began at nodes that it can't ask.
func TestTakeUpOutOfTouch(t *testing.T) {
	for _, test := range []struct {
		name string
		own  knows
		// others are the nodes besides this one, which is in zone a: one more there, and one in zone b and in zone c each.
		others []knows
		want   knows
	}{
		{"alone", knowsV1, nil, knowsV1},
		{"the others know nothing else", knowsV1, []knows{knowsNothing, knowsNothing, knowsNothing}, knowsV1},
		{"another one knows it", knowsNothing, []knows{knowsNothing, knowsV2, knowsNothing}, knowsV2},
		{"another one knows another version", knowsV1, []knows{knowsNothing, knowsV2, knowsNothing}, knowsNothing},
		{"one is unreachable", knowsV1, []knows{knowsNothing, unreachable, knowsNothing}, knowsV1},
		{"no other node is reachable", knowsV1, []knows{unreachable, unreachable, unreachable}, knowsNothing},
		{"no other zone is reachable", knowsV1, []knows{knowsNothing, unreachable, unreachable}, knowsNothing},
		{"no other zone is reachable, and the own one knows it", knowsNothing, []knows{knowsV1, unreachable, unreachable}, knowsNothing},
		{"the only other one is unreachable", knowsV1, []knows{unreachable}, knowsNothing},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			self := chuterelay.Peer{Name: "n1", Zone: "a"}
			n := New(Settings{Self: self}, clockwork.NewRealClock(), zerolog.Nop(), Store{}, Decoders{}, Upstreams{})
			defer n.peers.Close()
			nodes := []chutestream.Node{streamNode(self)}
			for i, k := range test.others {
				nodes = append(nodes, chutestream.Node{Name: fmt.Sprint("n", i+2), Zone: string("abc"[i]), Address: startHolder(t, k)})
			}
			n.reduceStreams(chutestream.NodesListed{Nodes: nodes})
			if test.own != knowsNothing {
				n.reduceStreams(chutestream.Began{
					ID: chutestream.NewID("w", "p", "content", "earlier"), Binding: bindingOf(test.own), Until: time.Now().Add(time.Minute),
				})
			}
			// Nodes that did not answer are passed over the second time.
			for range 2 {
				record, _, known := n.findStream(c.Context(), chutestream.NewID("w", "p", "content", ""))
				c.Assert(known, qt.Equals, test.want != knowsNothing)
				if known {
					c.Assert(record.Binding, qt.Equals, bindingOf(test.want))
				}
			}
		})
	}

	t.Run("before the nodes are listed", func(t *testing.T) {
		c := qt.New(t)
		n := New(Settings{}, clockwork.NewRealClock(), zerolog.Nop(), Store{}, Decoders{}, Upstreams{})
		defer n.peers.Close()
		n.reduceStreams(chutestream.Began{
			ID: chutestream.NewID("w", "p", "content", "earlier"), Binding: bindingOf(knowsV1), Until: time.Now().Add(time.Minute),
		})
		_, _, known := n.findStream(c.Context(), chutestream.NewID("w", "p", "content", ""))
		c.Assert(known, qt.IsFalse)
	})
}
