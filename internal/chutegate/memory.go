package chutegate

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"azurechute.example/azurechute/internal/chutememory"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteshare"
)

const (
	// memoryCheckInterval is the time between two checks whether memory for callers is short, and the least time
	// between two log lines about it.
	memoryCheckInterval = time.Second
	// memoryRetryAfter is the mean time after which a caller may retry that was refused since memory is short.
	memoryRetryAfter = time.Second
	// firstAnswerBytes is the size of the first buffer for an answer of unknown length.
	firstAnswerBytes = 32 << 10
	// readBytes is the least room in the buffer for each read of an answer.
	readBytes = 512
	// CallerChunkBytes is the size of the pieces in which a whole answer is written to a caller whose reading is
	// watched. A caller that takes longer than chutememory.StallLimit for one counts as one that reads nothing.
	CallerChunkBytes = 16 << 10
)

// OpenMemory returns what the node holds for a request with a caller's key, which is nothing yet; nil if nothing
// bounds it. The caller must close it. disconnect ends the request as chutememory.Budget.Open says.
func (n *Node) OpenMemory(key string, disconnect func()) *chutememory.Hold {
	if n.memory == nil {
		return nil
	}
	workspace := ""
	if cfg := n.config.Load(); cfg != nil {
		workspace = cfg.Workspaces[key].Name
	}

	return n.memory.Open(workspace, disconnect)
}

// errShortOfMemory reports a body for which there is no memory now.
var errShortOfMemory = errors.New("this VM holds as many bytes for callers as it can")

// memoryRefusal returns the refusal of a request for whose body there is no memory now. The times differ by up to
// a quarter either way, so that callers don't retry all at once.
func memoryRefusal() chuterelay.Refusal {
	jitter := 0.75 + rand.Float64()/2 //nolint:gosec // spreads calls, no secret

	return chuterelay.Refusal{
		Kind: chuterelay.RefusedNotRun, Reason: errShortOfMemory.Error(), RetryAfter: time.Duration(jitter * float64(memoryRetryAfter)),
	}
}

// ReadBody reads a body of a length, -1 if that is not known, and books its bytes before they are held. The
// refusal is not nil if there is no memory for them; the error is that of the body.
func ReadBody(memory *chutememory.Hold, body io.Reader, length int64) ([]byte, *chuterelay.Refusal, error) {
	if length < 0 {
		data, err := io.ReadAll(bookedReader{body: body, memory: memory})
		if errors.Is(err, errShortOfMemory) {
			refusal := memoryRefusal()

			return nil, &refusal, nil
		}

		return data, nil, err
	}
	if !memory.TryAcquire(length) {
		refusal := memoryRefusal()

		return nil, &refusal, nil
	}
	data := make([]byte, length)
	_, err := io.ReadFull(body, data)

	return data, nil, err
}

// bookedReader books what is read of a body.
type bookedReader struct {
	body   io.Reader
	memory *chutememory.Hold
}

func (r bookedReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if !r.memory.TryAcquire(int64(n)) {
		return 0, errShortOfMemory
	}

	return n, err
}

// acquire books bytes of an answer and waits until that is possible; its error is not that of the upstream.
//
// A request that was dropped ends with its context. Until then the attempt does: an error would be put down to
// the upstream.
func (a *attempt) acquire(ctx context.Context, bytes int64) error {
	err := a.request.incoming.Memory.Acquire(ctx, bytes, a.node.Now())
	switch {
	case errors.Is(err, chutememory.ErrTooLarge):
		return errAnswerTooLong
	case errors.Is(err, chutememory.ErrDropped), errors.Is(err, chutememory.ErrClosed):
		<-ctx.Done()

		return ctx.Err()
	default:
		return err
	}
}

// readAnswer reads a whole answer. What it returns stays booked until the request ends.
//
// An answer of known length is booked as a whole before the first read, so that answers don't wait for each
// other's memory. Until it is, the upstream is not read from and has to wait.
func (a *attempt) readAnswer(ctx context.Context, answer Answer) ([]byte, error) {
	memory := a.request.incoming.Memory
	if memory == nil {
		body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
		if err == nil && len(body) > maxAnswerBytes {
			err = errAnswerTooLong
		}

		return body, err
	}
	if answer.Length > maxAnswerBytes {
		return nil, errAnswerTooLong
	}
	size := int64(firstAnswerBytes)
	if answer.Length > 0 {
		size = answer.Length + readBytes
	}
	if err := a.acquire(ctx, size); err != nil {
		return nil, err
	}
	body, err := a.fillBuffer(ctx, answer.Body, make([]byte, 0, size))
	if err != nil {
		memory.Release(int64(cap(body)))
	}

	return body, err
}

// fillBuffer reads into a buffer whose capacity is booked, and doubles it as needed. It returns the buffer also
// with an error.
func (a *attempt) fillBuffer(ctx context.Context, from io.Reader, buffer []byte) ([]byte, error) {
	for {
		if room := cap(buffer) - len(buffer); room < readBytes {
			if err := a.acquire(ctx, int64(cap(buffer))); err != nil {
				return buffer, err
			}
			buffer = append(make([]byte, 0, 2*cap(buffer)), buffer...)
		}
		n, err := from.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case len(buffer) > maxAnswerBytes:
			return buffer, errAnswerTooLong
		case err == io.EOF:
			return buffer, nil
		case err != nil:
			return buffer, err
		}
	}
}

// pieceWritten frees the memory of a piece that was written to its caller, or is not wanted any more.
func (n *Node) pieceWritten(req *request, piece streamPiece) {
	bytes := int64(len(piece.event))
	if bytes == 0 {
		return
	}
	req.incoming.Memory.Read(bytes, n.Now())
	req.incoming.Memory.Release(bytes)
}

// writeForwarded writes the body of an answer to the node that has forwarded the request.
func (n *Node) writeForwarded(in *IncomingRequest, out chuteshare.ForwardOutput, body []byte) error {
	return WriteWatched(in.Memory, n.Now, body, out.Write)
}

// WriteWatched writes the body of an answer in pieces and records what of it the caller has read. Without a hold
// it is one write.
func WriteWatched(memory *chutememory.Hold, now func() time.Time, body []byte, write func(piece []byte) error) error {
	if memory == nil {
		return write(body)
	}
	for len(body) > 0 {
		size := min(len(body), CallerChunkBytes)
		if err := write(body[:size:size]); err != nil {
			return err
		}
		memory.Read(int64(size), now())
		body = body[size:]
	}

	return nil
}

// watchMemory checks whether memory for callers is short until the node stops, and logs one line for each check
// that found it so.
func (n *Node) watchMemory(ctx context.Context) {
	for n.sleep(ctx, memoryCheckInterval) {
		shortage := n.memory.Check(n.Now())
		if !shortage.Short {
			continue
		}
		view := n.memory.View()
		line := n.log.Warn().Int64("UsedBytes", view.Used).Int64("LimitBytes", view.Limit).Int("Requests", view.Holds).
			Int("Waiting", view.Waiting).Int64("RefusedTotal", view.Refused).Int("Dropped", len(shortage.Dropped))
		if len(view.Largest) > 0 {
			line = line.Str("Workspace", view.Largest[0].Workspace).Int64("WorkspaceBytes", view.Largest[0].Bytes)
		}
		if len(shortage.Dropped) > 0 {
			line = line.Str("DroppedOf", shortage.Dropped[0].Workspace).Int64("DroppedBytes", shortage.Dropped[0].Bytes)
		}
		line.Msg("memory for callers is short")
	}
}

// addMemoryGauges registers the gauges about memory for callers, if something bounds it.
func (n *Node) addMemoryGauges() {
	if n.memory == nil {
		return
	}
	n.meter.Gauge("caller_memory_limit_bytes", func() float64 { return float64(n.memory.View().Limit) })
	n.meter.Gauge("caller_memory_used_bytes", func() float64 { return float64(n.memory.View().Used) })
	n.meter.Gauge("caller_memory_waiting", func() float64 { return float64(n.memory.View().Waiting) })
	n.meter.Gauge("caller_memory_refused_total", func() float64 { return float64(n.memory.View().Refused) })
	n.meter.Gauge("caller_memory_dropped_total", func() float64 { return float64(n.memory.View().Dropped) })
}
