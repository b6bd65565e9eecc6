package chuteshare

import (
	"context"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chuteshare/chutesharepb"
)

const (
	// tellTimeout bounds the call to one peer; what it misses it reads at the store.
	tellTimeout = 500 * time.Millisecond
	// maxTold bounds the rows of one call; a node writes as many in one transaction.
	maxTold = 100
	// maxHops bounds how often rows are passed on: sixteen peers each time, three times,
	// are four times the nodes of the largest site.
	maxHops = 3
)

// Tell takes in a peer's rows.
func (s service) Tell(_ context.Context, m *chutesharepb.TellRequest) (*chutesharepb.TellReply, error) {
	if n := len(m.GetRows()); n > maxTold || m.GetHops() < 0 || m.GetHops() > maxHops {
		return nil, status.Error(codes.InvalidArgument, "Rows or Hops of the call are out of range")
	}
	s.handlers.OnTell(m.GetTable(), decodeRows(m.GetRows()), int(m.GetHops()))

	return &chutesharepb.TellReply{}, nil
}

// Tell brings a peer rows of a table; hops is how often it passes on what is new to it.
func (c *Client) Tell(ctx context.Context, address, table string, rows []chutefeed.Row, hops int) error {
	fault := oops.In("share").With("step", "tell", "peer", address)
	conn, err := c.connection(address)
	if err != nil {
		return fault.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()

	_, err = chutesharepb.NewShareClient(conn).Tell(ctx, &chutesharepb.TellRequest{
		Table: table, Rows: encodeRows(rows), Hops: int32(hops), //nolint:gosec // up to maxHops
	})
	if err != nil && ctx.Err() != nil {
		// Silent: the next call shall not wait on the same connection.
		c.forget(address, conn)
	}

	return fault.Wrap(err)
}
