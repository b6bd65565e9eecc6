package chutegate

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// streamEvent is one server-sent event with its bytes as received.
type streamEvent struct {
	id    int
	bytes []byte
}

// eventReader splits a stream into server-sent events.
type eventReader struct {
	stream   *bufio.Reader
	maxBytes int
}

func newEventReader(r *bufio.Reader, maxBytes int) *eventReader {
	return &eventReader{stream: r, maxBytes: maxBytes}
}

// errMalformedEvent reports a part of a stream that is not an event with a numeric id, or an event
// longer than the limit.
var errMalformedEvent = errors.New("the stream holds something that is not an event")

// next returns the next complete event. io.EOF means that the stream ended after a complete event.
//
// An incomplete event is never passed on, so that a resumed stream continues at an event boundary.
func (e *eventReader) next() (streamEvent, error) {
	next := streamEvent{id: -1}
	lineStart := 0
	for {
		piece, err := e.stream.ReadSlice('\n')
		if len(next.bytes)+len(piece) > e.maxBytes {
			return streamEvent{}, errMalformedEvent
		}
		next.bytes = append(next.bytes, piece...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && len(next.bytes) > 0:
			return streamEvent{}, io.ErrUnexpectedEOF
		case err != nil:
			return streamEvent{}, err
		}
		text := bytes.TrimRight(next.bytes[lineStart:], "\r\n")
		lineStart = len(next.bytes)
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			if next.id, err = strconv.Atoi(string(bytes.TrimSpace(id))); err != nil {
				return streamEvent{}, errMalformedEvent
			}
		}
		if len(text) > 0 {
			continue
		}
		if next.id < 0 {
			return streamEvent{}, errMalformedEvent
		}

		return next, nil
	}
}
