package chuteshare

import (
	"context"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"azurechute.example/azurechute/internal/chuteshare/chutesharepb"
	"azurechute.example/azurechute/internal/chutestream"
)

const (
	// announceStreamsTimeout bounds the call that brings records of streams to a peer.
	announceStreamsTimeout = 500 * time.Millisecond
	// findStreamTimeout bounds the question to one peer. The caller waits for the answer.
	findStreamTimeout = 300 * time.Millisecond
	// maxBindingText bounds the names in a binding, in bytes.
	maxBindingText = 200
)

// AnnounceStreams takes records of streams from a peer.
func (s service) AnnounceStreams(_ context.Context, request *chutesharepb.AnnounceStreamsRequest) (*chutesharepb.AnnounceStreamsReply, error) {
	if count := len(request.GetRecords()); count > chutestream.MaxRecordsPerCall {
		return nil, status.Errorf(codes.InvalidArgument, "Records has %d entries, more than %d", count, chutestream.MaxRecordsPerCall)
	}
	records := make([]chutestream.Record, 0, len(request.GetRecords()))
	for i, message := range request.GetRecords() {
		id, idOK := decodeStreamID(message.GetId())
		binding, ok := decodeBinding(message.GetBinding())
		if !idOK || !ok || binding.IsZero() {
			return nil, status.Errorf(codes.InvalidArgument, "Records[%d] has no valid Id or Binding", i)
		}
		records = append(records, chutestream.Record{ID: id, Binding: binding, Until: s.handlers.Now().Add(milliseconds(message.GetLeftMs()))})
	}
	s.handlers.OnStreamsAnnounced(records)

	return &chutesharepb.AnnounceStreamsReply{}, nil
}

// FindStream returns what a stream is bound to, as far as this node knows.
func (s service) FindStream(_ context.Context, request *chutesharepb.FindStreamRequest) (*chutesharepb.FindStreamReply, error) {
	id, ok := decodeStreamID(request.GetId())
	if !ok {
		return nil, status.Errorf(codes.InvalidArgument, "Id has %d bytes, not %d", len(request.GetId()), chutestream.IDBytes)
	}
	record, known := s.handlers.OnFindStream(id)
	if record.IsAmbiguous() {
		return nil, status.Error(codes.FailedPrecondition, chutestream.ErrAmbiguous.Error())
	}
	if !known {
		return &chutesharepb.FindStreamReply{}, nil
	}
	now := s.handlers.Now()

	return &chutesharepb.FindStreamReply{
		Binding: encodeBinding(record.Binding), LeftMs: record.Until.Sub(now).Milliseconds(), AgeMs: now.Sub(record.Since).Milliseconds(),
	}, nil
}

// AnnounceStreams sends records of streams to a peer.
func (c *Client) AnnounceStreams(ctx context.Context, address string, records []chutestream.Record, now time.Time) error {
	errorContext := oops.In("share").With("step", "announce streams", "peer", address)
	conn, err := c.connTo(address)
	if err != nil {
		return errorContext.Wrap(err)
	}
	ctx, cancel := c.limitCall(ctx, announceStreamsTimeout)
	defer cancel()
	request := &chutesharepb.AnnounceStreamsRequest{}
	for _, r := range records {
		request.Records = append(request.Records, &chutesharepb.StreamRecord{
			Id: r.ID[:], Binding: encodeBinding(r.Binding), LeftMs: r.Until.Sub(now).Milliseconds(),
		})
	}
	_, err = chutesharepb.NewShareClient(conn).AnnounceStreams(ctx, request)
	if err != nil && ctx.Err() != nil {
		// The peer is silent; the next call must not wait on the same connection.
		c.closeConn(address, conn)
	}

	return errorContext.Wrap(err)
}

// FindStream returns what a peer knows of a stream, or false if it does not know it; chutestream.ErrAmbiguous if it may be any of
// several.
func (c *Client) FindStream(ctx context.Context, address string, id chutestream.ID, now time.Time) (chutestream.Record, bool, error) {
	errorContext := oops.In("share").With("step", "find stream", "peer", address)
	conn, err := c.connTo(address)
	if err != nil {
		return chutestream.Record{}, false, errorContext.Wrap(err)
	}
	ctx, cancel := c.limitCall(ctx, findStreamTimeout)
	defer cancel()
	reply, err := chutesharepb.NewShareClient(conn).FindStream(ctx, &chutesharepb.FindStreamRequest{Id: id[:]})
	if status.Code(err) == codes.FailedPrecondition {
		return chutestream.Record{}, false, errorContext.Wrap(chutestream.ErrAmbiguous)
	}
	if err != nil {
		return chutestream.Record{}, false, errorContext.Wrap(err)
	}
	binding, ok := decodeBinding(reply.GetBinding())
	record := chutestream.Record{
		ID: id, Binding: binding, Since: now.Add(-milliseconds(reply.GetAgeMs())), Until: now.Add(milliseconds(reply.GetLeftMs())),
	}

	return record, ok && !binding.IsZero(), nil
}

func decodeStreamID(data []byte) (chutestream.ID, bool) {
	if len(data) != chutestream.IDBytes {
		return chutestream.ID{}, false
	}

	return chutestream.ID(data), true
}

// encodeBinding returns nil for the zero binding.
func encodeBinding(b chutestream.Binding) *chutesharepb.StreamBinding {
	if b.IsZero() {
		return nil
	}

	return &chutesharepb.StreamBinding{Pool: b.Pool, Version: b.Version, Upstream: b.Upstream}
}

// decodeBinding returns false for a binding that is too long.
func decodeBinding(message *chutesharepb.StreamBinding) (chutestream.Binding, bool) {
	b := chutestream.Binding{Pool: message.GetPool(), Version: message.GetVersion(), Upstream: message.GetUpstream()}

	return b, len(b.Pool) <= maxBindingText && len(b.Version) <= maxBindingText && len(b.Upstream) <= maxBindingText
}
