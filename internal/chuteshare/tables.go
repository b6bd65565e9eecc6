package chuteshare

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chuteshare/chutesharepb"
)

const (
	// FollowKeepaliveInterval is how often a followed node says that it is up to date. What its
	// followers know is at most three times this old when they find out that it is
	// gone, which leaves them a second of the 2 s in which they have to know of a change.
	FollowKeepaliveInterval = 300 * time.Millisecond
	// SlowFollowKeepaliveInterval is the same for a table whose news also comes by other ways.
	SlowFollowKeepaliveInterval = time.Second
	// maxMissedKeepalives is the number of signs of life that a followed node may miss.
	maxMissedKeepalives = 3
	// readTableTimeout bounds a question for a table.
	readTableTimeout = 500 * time.Millisecond
)

// FollowTable hands out a table until the caller goes.
func (s service) FollowTable(request *chutesharepb.FollowTableRequest, stream grpc.ServerStreamingServer[chutesharepb.FollowTableUpdate]) error {
	keepaliveInterval := time.Duration(request.GetSignMs()) * time.Millisecond
	if keepaliveInterval <= 0 {
		keepaliveInterval = FollowKeepaliveInterval
	}
	keepaliveInterval = max(FollowKeepaliveInterval, keepaliveInterval)
	keepaliveTicker := time.NewTicker(keepaliveInterval)
	defer keepaliveTicker.Stop()

	feed := chutefeed.NewFeed(request.GetKnown().GetVersion(), request.GetKnown().GetDigests())
	for {
		state := s.handlers.OnTable(request.GetTable())
		if state.Leaving {
			return status.Error(codes.Unavailable, "this VM is shutting down")
		}
		update := &chutesharepb.FollowTableUpdate{Current: state.Current, AgeMs: state.Age.Milliseconds()}
		change, ok := feed.Next(state.Table)
		if ok {
			var err error
			if update.Change, err = s.tableEncoder.encode(request.GetTable(), change); err != nil {
				return err
			}
		}
		if err := stream.Send(update); err != nil {
			return err
		}
		keepaliveTicker.Reset(keepaliveInterval)
		select {
		case <-state.Changed:
		case <-keepaliveTicker.C:
		case <-stream.Context().Done():
			return nil
		}
	}
}

// ReadTable hands out what a caller lacks of a table as this node knows it.
func (s service) ReadTable(_ context.Context, request *chutesharepb.ReadTableRequest) (*chutesharepb.ReadTableReply, error) {
	state := s.handlers.OnTable(request.GetTable())
	reply := &chutesharepb.ReadTableReply{Current: state.Current, AgeMs: state.Age.Milliseconds()}
	if state.Table.Version() <= request.GetKnown().GetVersion() {
		return reply, nil
	}
	var err error
	reply.Change, err = s.tableEncoder.encode(request.GetTable(), state.Table.Missing(request.GetKnown().GetDigests()))

	return reply, err
}

// ReadTable asks a peer for what is missing of a table; the change is empty and without a version
// if the peer has nothing newer.
func (c *Client) ReadTable(ctx context.Context, address, table string, known chutefeed.Table) (chutefeed.Change, TableStatus, error) {
	conn, err := c.connTo(address)
	if err != nil {
		return chutefeed.Change{}, TableStatus{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, readTableTimeout)
	defer cancel()

	errorContext := oops.In("share").With("step", "read table", "peer", address)
	reply, err := chutesharepb.NewShareClient(conn).ReadTable(ctx, &chutesharepb.ReadTableRequest{Table: table, Known: encodeKnown(known)})
	if err != nil {
		if ctx.Err() != nil {
			// Silent: the next question shall not wait on the same connection.
			c.closeConn(address, conn)
		}

		return chutefeed.Change{}, TableStatus{}, errorContext.Wrap(err)
	}
	tableStatus := decodeTableStatus(reply)
	if reply.GetChange() == nil {
		return chutefeed.Change{}, tableStatus, nil
	}
	change, err := decodeChange(reply.GetChange(), len(known.Digests()))
	if err != nil {
		return chutefeed.Change{}, TableStatus{}, errorContext.Wrap(err)
	}

	return change, tableStatus, nil
}

// TableStatus is what a peer says of a table as it knows it.
type TableStatus struct {
	// Current says that the peer, and those that it follows, reach the store.
	Current bool
	// Age is how long ago the table was known to be up to date with the store.
	Age time.Duration
}

// HasBeenCurrent says whether the peer's table was ever known to be up to date.
func (s TableStatus) HasBeenCurrent() bool {
	return s.Current || s.Age > 0
}

// decodeTableStatus decodes what a peer says of a table.
func decodeTableStatus(message interface {
	GetCurrent() bool
	GetAgeMs() int64
},
) TableStatus {
	return TableStatus{Current: message.GetCurrent(), Age: time.Duration(message.GetAgeMs()) * time.Millisecond}
}

// FollowTable reads a table from a peer until the peer is gone or silent, or more returns
// false; every is how often the peer shows that it lives. It calls take with each change,
// beginning with what known lacks, and more after each word of the peer.
func (c *Client) FollowTable(
	ctx context.Context, address, table string, known chutefeed.Table, keepaliveInterval time.Duration,
	applyChange func(chutefeed.Change), keepFollowing func(status TableStatus) bool,
) error {
	conn, err := c.connTo(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	silenceTimeout := maxMissedKeepalives * keepaliveInterval
	silenceTimer := time.AfterFunc(silenceTimeout, func() { cancel(errPeerSilent) })
	defer silenceTimer.Stop()

	groupCount := len(known.Digests())
	stream, err := chutesharepb.NewShareClient(conn).FollowTable(ctx, &chutesharepb.FollowTableRequest{
		Table: table, Known: encodeKnown(known), SignMs: int32(keepaliveInterval.Milliseconds()), //nolint:gosec // a second at most
	})
	for err == nil {
		var update *chutesharepb.FollowTableUpdate
		if update, err = stream.Recv(); err != nil {
			break
		}
		silenceTimer.Reset(silenceTimeout)
		if update.GetChange() != nil {
			var change chutefeed.Change
			if change, err = decodeChange(update.GetChange(), groupCount); err != nil {
				break
			}
			applyChange(change)
		}
		if !keepFollowing(decodeTableStatus(update)) {
			return nil
		}
	}
	if errors.Is(context.Cause(ctx), errPeerSilent) {
		c.closeConn(address, conn)

		return errPeerSilent
	}

	return err
}
