package chuteshare

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// Traffic counts the bytes of the messages that are exchanged with other nodes, as they are on the wire.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Sent returns the number of bytes sent.
func (t *Traffic) Sent() int64 {
	return t.sent.Load()
}

// Received returns the number of bytes received.
func (t *Traffic) Received() int64 {
	return t.received.Load()
}

// TagRPC implements stats.Handler.
func (t *Traffic) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return ctx
}

// HandleRPC counts a message.
func (t *Traffic) HandleRPC(_ context.Context, event stats.RPCStats) {
	switch e := event.(type) {
	case *stats.InPayload:
		t.received.Add(int64(e.WireLength))
	case *stats.OutPayload:
		t.sent.Add(int64(e.WireLength))
	}
}

// TagConn implements stats.Handler.
func (t *Traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler.
func (t *Traffic) HandleConn(context.Context, stats.ConnStats) {}
