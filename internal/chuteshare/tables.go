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
	// FollowEvery is how often a followed node says that it is up to date. What its
	// followers know is at most three times this old when they find out that it is
	// gone, which leaves them a second of the 2 s in which they have to know of a change.
	FollowEvery = 300 * time.Millisecond
	// SlowFollowEvery is the same for a table whose news also comes by other ways.
	SlowFollowEvery = time.Second
	// followSigns is the number of signs of life that a followed node may miss.
	followSigns = 3
	// readTableTimeout bounds a question for a table.
	readTableTimeout = 500 * time.Millisecond
)

// FollowTable hands out a table until the caller goes.
func (s service) FollowTable(m *chutesharepb.FollowTableRequest, stream grpc.ServerStreamingServer[chutesharepb.FollowTableUpdate]) error {
	every := time.Duration(m.GetSignMs()) * time.Millisecond
	if every <= 0 {
		every = FollowEvery
	}
	every = max(FollowEvery, every)
	alive := time.NewTicker(every)
	defer alive.Stop()

	feed := chutefeed.NewFeed(m.GetKnown().GetVersion(), m.GetKnown().GetDigests())
	for {
		followed := s.handlers.OnTable(m.GetTable())
		if followed.Leaving {
			return status.Error(codes.Unavailable, "this VM is shutting down")
		}
		update := &chutesharepb.FollowTableUpdate{Current: followed.Current, AgeMs: followed.Age.Milliseconds()}
		change, ok := feed.NextChange(followed.Table)
		if ok {
			var err error
			if update.Change, err = s.packs.encode(m.GetTable(), change); err != nil {
				return err
			}
		}
		if err := stream.Send(update); err != nil {
			return err
		}
		alive.Reset(every)
		select {
		case <-followed.Changed:
		case <-alive.C:
		case <-stream.Context().Done():
			return nil
		}
	}
}

// ReadTable hands out what a caller lacks of a table as this node knows it.
func (s service) ReadTable(_ context.Context, m *chutesharepb.ReadTableRequest) (*chutesharepb.ReadTableReply, error) {
	followed := s.handlers.OnTable(m.GetTable())
	reply := &chutesharepb.ReadTableReply{Current: followed.Current, AgeMs: followed.Age.Milliseconds()}
	if followed.Table.Version() <= m.GetKnown().GetVersion() {
		return reply, nil
	}
	var err error
	reply.Change, err = s.packs.encode(m.GetTable(), followed.Table.ChangeForDigests(m.GetKnown().GetDigests()))

	return reply, err
}

// ReadTable asks a peer for what is missing of a table; the change is empty and without a version
// if the peer has nothing newer.
func (c *Client) ReadTable(ctx context.Context, address, table string, known chutefeed.Table) (chutefeed.Change, Word, error) {
	conn, err := c.connection(address)
	if err != nil {
		return chutefeed.Change{}, Word{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, readTableTimeout)
	defer cancel()

	fault := oops.In("share").With("step", "read table", "peer", address)
	reply, err := chutesharepb.NewShareClient(conn).ReadTable(ctx, &chutesharepb.ReadTableRequest{Table: table, Known: encodeKnown(known)})
	if err != nil {
		if ctx.Err() != nil {
			// Silent: the next question shall not wait on the same connection.
			c.forget(address, conn)
		}

		return chutefeed.Change{}, Word{}, fault.Wrap(err)
	}
	word := wordOf(reply)
	if reply.GetChange() == nil {
		return chutefeed.Change{}, word, nil
	}
	change, err := decodeChange(reply.GetChange(), len(known.Digests()))
	if err != nil {
		return chutefeed.Change{}, Word{}, fault.Wrap(err)
	}

	return change, word, nil
}

// Word is what a peer says of a table as it knows it.
type Word struct {
	// Current says that the peer, and those that it follows, reach the store.
	Current bool
	// Age is how long ago the table was known to be up to date with the store.
	Age time.Duration
}

// Known says whether the peer's table was ever known to be up to date.
func (w Word) Known() bool {
	return w.Current || w.Age > 0
}

// wordOf decodes what a peer says of a table.
func wordOf(m interface {
	GetCurrent() bool
	GetAgeMs() int64
},
) Word {
	return Word{Current: m.GetCurrent(), Age: time.Duration(m.GetAgeMs()) * time.Millisecond}
}

// FollowTable reads a table from a peer until the peer is gone or silent, or more returns
// false; every is how often the peer shows that it lives. It calls take with each change,
// beginning with what known lacks, and more after each word of the peer.
func (c *Client) FollowTable(
	ctx context.Context, address, table string, known chutefeed.Table, every time.Duration,
	take func(chutefeed.Change), more func(word Word) bool,
) error {
	conn, err := c.connection(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	silence := followSigns * every
	watch := time.AfterFunc(silence, func() { cancel(errSilent) })
	defer watch.Stop()

	digests := len(known.Digests())
	stream, err := chutesharepb.NewShareClient(conn).FollowTable(ctx, &chutesharepb.FollowTableRequest{
		Table: table, Known: encodeKnown(known), SignMs: int32(every.Milliseconds()), //nolint:gosec // a second at most
	})
	for err == nil {
		var update *chutesharepb.FollowTableUpdate
		if update, err = stream.Recv(); err != nil {
			break
		}
		watch.Reset(silence)
		if update.GetChange() != nil {
			var change chutefeed.Change
			if change, err = decodeChange(update.GetChange(), digests); err != nil {
				break
			}
			take(change)
		}
		if !more(wordOf(update)) {
			return nil
		}
	}
	if errors.Is(context.Cause(ctx), errSilent) {
		c.forget(address, conn)

		return errSilent
	}

	return err
}
