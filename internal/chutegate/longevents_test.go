package chutegate

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// readerBufferBytes is the size of the buffers that streams are read through.
const readerBufferBytes = 4096

// longEvent returns the first event of a stream, with a line of a length.
func longEvent(length int) string {
	const field = "data: "

	return "id: 1\n" + field + strings.Repeat("x", length-len(field)) + "\n\n"
}

// Guards against a stream that breaks at an event with a line longer than the buffer it is read through.
func TestLongEvents(t *testing.T) {
	for _, length := range []int{4094, 4095, 4096, 4097, 2*readerBufferBytes + 1, 100_000} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			c := qt.New(t)
			text := longEvent(length) + "id: 2\ndata: y\n\n"
			events := newEventReader(bufio.NewReaderSize(strings.NewReader(text), readerBufferBytes), maxEventBytes, unbounded)
			var read string
			for id := 1; id <= 2; id++ {
				e, err := events.next()
				c.Assert(err, qt.IsNil)
				c.Assert(e.id, qt.Equals, id)
				read += string(e.bytes)
			}
			c.Assert(read == text, qt.IsTrue)
			_, err := events.next()
			c.Assert(err, qt.Equals, io.EOF)
		})
	}

	t.Run("an event over the limit is none", func(t *testing.T) {
		const limit = 2 * readerBufferBytes
		_, err := newEventReader(bufio.NewReaderSize(strings.NewReader(longEvent(limit)), readerBufferBytes), limit, unbounded).next()
		qt.Assert(t, err, qt.Equals, errMalformedEvent)
	})

	t.Run("an event that is cut off inside a long line is not passed on", func(t *testing.T) {
		text := longEvent(3 * readerBufferBytes)
		for cut := 1; cut < len(text); cut += 100 {
			_, err := newEventReader(bufio.NewReaderSize(strings.NewReader(text[:cut]), readerBufferBytes), maxEventBytes, unbounded).next()
			qt.Assert(t, err, qt.Equals, io.ErrUnexpectedEOF, qt.Commentf("cut at %d", cut))
		}
	})
}

// unbounded books any number of bytes.
func unbounded(int64) error {
	return nil
}
