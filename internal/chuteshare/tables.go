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
	// FollowKeepaliveInterval is how often a source tells its followers whether it is up to date.
	// Followers detect a lost source after at most three intervals, so that their copy is then at
	// most that old. They have to know of a change within 2 s, which leaves them one second.
	FollowKeepaliveInterval = 300 * time.Millisecond
	// SlowFollowKeepaliveInterval is the same for tables whose changes also arrive in other ways.
	SlowFollowKeepaliveInterval = time.Second
	// maxMissedKeepalives is the number of keepalive intervals without a message after which a
	// source counts as silent.
	maxMissedKeepalives = 3
	// readTableTimeout bounds one ReadTable call.
	readTableTimeout = 500 * time.Millisecond
)

// FollowTable sends a follower what it lacks of a table, then each change, with keepalives in
// between, until the follower ends the stream or this node shuts down.
func (s service) FollowTable(request *chutesharepb.FollowTableRequest, stream grpc.ServerStreamingServer[chutesharepb.FollowTableUpdate]) error {
	keepaliveInterval := time.Duration(request.GetSignMs()) * time.Millisecond
	if keepaliveInterval <= 0 {
		keepaliveInterval = FollowKeepaliveInterval
	}
	keepaliveInterval = max(FollowKeepaliveInterval, keepaliveInterval)
	keepaliveTicker := time.NewTicker(keepaliveInterval)
	defer keepaliveTicker.Stop()

	acceptedAt := s.handlers.Now()
	known := decodeKnown(request.GetKnown())
	feed := chutefeed.NewFeed(known, request.GetKnown().GetDigests())
	patcher := newValuePatcher(request.GetKnown())
	for {
		// Read before the age, so that the time between the two makes the table older, never newer.
		sentMs := s.handlers.Now().Sub(acceptedAt).Milliseconds() + 1
		state := s.handlers.OnTable(request.GetTable())
		if state.Leaving {
			return status.Error(codes.Unavailable, "this VM is shutting down")
		}
		update := &chutesharepb.FollowTableUpdate{Current: state.Current, AgeMs: encodeAge(state.Age), SentMs: sentMs, Era: state.Table.Era()}
		if !request.GetKnowsEras() && state.Table.Era() > 0 && state.Table.Version() < known.Version {
			// The follower ignores these rows, and must not take its own for current.
			update.Current, update.AgeMs = false, 0
		}
		change, ok := feed.NextChange(state.Table)
		if ok {
			var err error
			if update.Change, err = s.tableEncoder.encode(request.GetTable(), change, patcher); err != nil {
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

// ReadTable returns the rows of this node's copy of a table that the caller lacks.
func (s service) ReadTable(_ context.Context, request *chutesharepb.ReadTableRequest) (*chutesharepb.ReadTableReply, error) {
	state := s.handlers.OnTable(request.GetTable())
	reply := &chutesharepb.ReadTableReply{Current: state.Current, AgeMs: encodeAge(state.Age), Era: state.Table.Era()}
	if !decodeKnown(request.GetKnown()).Before(state.Table.Position()) {
		return reply, nil
	}
	var err error
	reply.Change, err = s.tableEncoder.encode(request.GetTable(), state.Table.ChangeForDigests(request.GetKnown().GetDigests()), newValuePatcher(request.GetKnown()))

	return reply, err
}

// ReadTable asks a peer for the rows that known lacks. The change is empty and has version 0 if
// the peer has nothing newer.
func (c *Client) ReadTable(ctx context.Context, address, table string, known chutefeed.Table) (chutefeed.Change, TableStatus, error) {
	conn, err := c.connTo(address)
	if err != nil {
		return chutefeed.Change{}, TableStatus{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, readTableTimeout)
	defer cancel()

	errorContext := oops.In("share").With("step", "read table", "peer", address)
	askedAt := c.Clock.Now()
	reply, err := chutesharepb.NewShareClient(conn).ReadTable(ctx, &chutesharepb.ReadTableRequest{Table: table, Known: encodeKnown(known)})
	if err != nil {
		if ctx.Err() != nil {
			// The peer is silent; the next call must not wait on the same connection.
			c.closeConn(address, conn)
		}

		return chutefeed.Change{}, TableStatus{}, errorContext.Wrap(err)
	}
	tableStatus := decodeTableStatus(reply, askedAt)
	if reply.GetChange() == nil {
		return chutefeed.Change{}, tableStatus, nil
	}
	change, err := decodeChange(reply.GetChange(), len(known.Digests()), newLargeValues(known))
	if err != nil {
		return chutefeed.Change{}, TableStatus{}, errorContext.Wrap(err)
	}

	return change, tableStatus, nil
}

// TableStatus says how current a peer's copy of a table is.
type TableStatus struct {
	// Era is the store's era that the peer's copy belongs to; 0 if it is not known.
	Era uint64
	// Current says that the peer, and the source that it follows if any, reach the store.
	Current bool
	// ConfirmedAt is the time, by the client's clock, as of which the copy is proven to have been up
	// to date with the store; zero if it never was. Time that the message was on its way, or may
	// have been, does not make it later.
	ConfirmedAt time.Time
	// Transit bounds how long the message was on its way; zero if the peer does not tell.
	Transit Transit
}

// decodeTableStatus reads the status from a reply or an update that was sent at sentAt or later.
func decodeTableStatus(message interface {
	GetCurrent() bool
	GetAgeMs() int64
	GetEra() uint64
}, sentAt time.Time,
) TableStatus {
	tableStatus := TableStatus{Era: message.GetEra(), Current: message.GetCurrent()}
	if age := message.GetAgeMs(); age > 0 || message.GetCurrent() {
		tableStatus.ConfirmedAt = sentAt.Add(-time.Duration(age) * time.Millisecond)
	}

	return tableStatus
}

// encodeAge returns an age in milliseconds, rounded up so that no table counts as newer than it is.
func encodeAge(age time.Duration) int64 {
	return (age + time.Millisecond - 1).Milliseconds()
}

// FollowTable follows a table at a source until the source is gone or silent, ctx ends, or
// keepFollowing returns false; only then the error is nil. keepaliveInterval is how often the
// source sends a keepalive. applyChange is called with each change, beginning with what known
// lacks, and keepFollowing after each message of the source.
func (c *Client) FollowTable(
	ctx context.Context, address, table string, known chutefeed.Table, keepaliveInterval time.Duration,
	applyChange func(chutefeed.Change), keepFollowing func(tableStatus TableStatus) bool,
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

	awaitReady(ctx, conn)
	transits := newTransitMeter(c.Clock.Now())
	groupCount, values := len(known.Digests()), newLargeValues(known)
	stream, err := chutesharepb.NewShareClient(conn).FollowTable(ctx, &chutesharepb.FollowTableRequest{
		Table: table, Known: encodeKnown(known), SignMs: int32(keepaliveInterval.Milliseconds()), //nolint:gosec // a second at most
		KnowsEras: true,
	})
	for err == nil {
		var update *chutesharepb.FollowTableUpdate
		if update, err = stream.Recv(); err != nil {
			break
		}
		silenceTimer.Reset(silenceTimeout)
		now := c.Clock.Now()
		transit := transits.observe(update.GetSentMs(), now)
		tableStatus := decodeTableStatus(update, now.Add(-transit.Max))
		tableStatus.Transit = transit
		if update.GetChange() != nil {
			var change chutefeed.Change
			if change, err = decodeChange(update.GetChange(), groupCount, values); err != nil {
				break
			}
			applyChange(change)
		}
		if !keepFollowing(tableStatus) {
			return nil
		}
	}
	if errors.Is(context.Cause(ctx), errPeerSilent) {
		c.closeConn(address, conn)

		return errPeerSilent
	}

	return err
}
