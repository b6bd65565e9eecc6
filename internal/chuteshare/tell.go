package chuteshare

import (
	"context"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"azurechute.example/azurechute/internal/chuteshare/chutesharepb"
)

const (
	// tellTimeout bounds the call to one peer; a peer that misses rows reads them from the store.
	tellTimeout = 500 * time.Millisecond
	// maxTellRows bounds the rows of one call; a node writes that many in one transaction.
	maxTellRows = 100
	// maxHops bounds how many times rows are passed on. Each node passes them to sixteen peers,
	// so that three hops address four times as many nodes as the largest site has.
	maxHops = 3
)

// Tell applies rows that a peer sends.
func (s service) Tell(_ context.Context, request *chutesharepb.TellRequest) (*chutesharepb.TellReply, error) {
	if rowCount := len(request.GetRows()); rowCount > maxTellRows || request.GetHops() < 0 || request.GetHops() > maxHops {
		return nil, status.Error(codes.InvalidArgument, "Rows or Hops of the call are out of range")
	}
	s.handlers.OnTell(Announcement{
		Table: request.GetTable(), Era: request.GetEra(), Rows: decodeRows(request.GetRows()), Hops: int(request.GetHops()),
	})

	return &chutesharepb.TellReply{}, nil
}

// Tell sends rows of a table to a peer.
func (c *Client) Tell(ctx context.Context, address string, told Announcement) error {
	errorContext := oops.In("share").With("step", "tell", "peer", address)
	conn, err := c.connTo(address)
	if err != nil {
		return errorContext.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()

	_, err = chutesharepb.NewShareClient(conn).Tell(ctx, &chutesharepb.TellRequest{
		Table: told.Table, Era: told.Era, Rows: encodeRows(told.Rows), Hops: int32(told.Hops), //nolint:gosec // up to maxHops
	})
	if err != nil && ctx.Err() != nil {
		// The peer is silent; the next call must not wait on the same connection.
		c.closeConn(address, conn)
	}

	return errorContext.Wrap(err)
}
