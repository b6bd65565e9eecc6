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
	// maxTellRows bounds the rows of one call; a node writes as many in one transaction.
	maxTellRows = 100
	// maxHops bounds how often rows are passed on: sixteen peers each time, three times,
	// are four times the nodes of the largest site.
	maxHops = 3
)

// Tell takes in a peer's rows.
func (s service) Tell(_ context.Context, request *chutesharepb.TellRequest) (*chutesharepb.TellReply, error) {
	if rowCount := len(request.GetRows()); rowCount > maxTellRows || request.GetHops() < 0 || request.GetHops() > maxHops {
		return nil, status.Error(codes.InvalidArgument, "Rows or Hops of the call are out of range")
	}
	s.handlers.OnTell(request.GetTable(), decodeRows(request.GetRows()), int(request.GetHops()))

	return &chutesharepb.TellReply{}, nil
}

// Tell brings a peer rows of a table; hops is how often it passes on what is new to it.
func (c *Client) Tell(ctx context.Context, address, table string, rows []chutefeed.Row, hops int) error {
	errorContext := oops.In("share").With("step", "tell", "peer", address)
	conn, err := c.connTo(address)
	if err != nil {
		return errorContext.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()

	_, err = chutesharepb.NewShareClient(conn).Tell(ctx, &chutesharepb.TellRequest{
		Table: table, Rows: encodeRows(rows), Hops: int32(hops), //nolint:gosec // up to maxHops
	})
	if err != nil && ctx.Err() != nil {
		// Silent: the next call shall not wait on the same connection.
		c.closeConn(address, conn)
	}

	return errorContext.Wrap(err)
}
