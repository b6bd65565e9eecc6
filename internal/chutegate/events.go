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

// unbookedEventBytes is how much of an event is read before its bytes are booked. Nearly all events are shorter.
const unbookedEventBytes = 4 << 10

// eventReader splits a stream into server-sent events.
type eventReader struct {
	stream   *bufio.Reader
	maxBytes int
	// book books bytes of an event before they are held; booked is what it has booked of the current event.
	book   func(bytes int64) error
	booked int64
}

func newEventReader(r *bufio.Reader, maxBytes int, book func(bytes int64) error) *eventReader {
	return &eventReader{stream: r, maxBytes: maxBytes, book: book}
}

// bookUpTo books what an event of a length takes beyond unbookedEventBytes.
func (e *eventReader) bookUpTo(length int) error {
	bytes := int64(length) - unbookedEventBytes - e.booked
	if bytes <= 0 {
		return nil
	}
	if err := e.book(bytes); err != nil {
		return err
	}
	e.booked += bytes

	return nil
}

// errMalformedEvent reports a part of a stream that is not an event with a numeric id, or an event
// longer than the limit.
var errMalformedEvent = errors.New("the stream holds something that is not an event")

// next returns the next complete event. io.EOF means that the stream ended after a complete event.
//
// An incomplete event is never passed on, so that a resumed stream continues at an event boundary. What is booked of it stays
// booked.
func (e *eventReader) next() (streamEvent, error) {
	next := streamEvent{id: -1}
	e.booked = 0
	lineStart := 0
	for {
		piece, err := e.stream.ReadSlice('\n')
		if len(next.bytes)+len(piece) > e.maxBytes {
			return streamEvent{}, errMalformedEvent
		}
		if err := e.bookUpTo(len(next.bytes) + len(piece)); err != nil {
			return streamEvent{}, err
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
