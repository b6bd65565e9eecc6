package chuteconn

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"net/textproto"

	"azurechute.example/azurechute/internal/chuteanswer"
)

// oldVersion is the version of the protocol that has no transfer codings.
const oldVersion = "HTTP/1.0"

// readResponse reads the head of the next response. Its errors wrap chuteanswer.ErrMalformed if the version of the protocol is
// not spoken here, or has no framing of the kind that the head names.
func (c *conn) readResponse(request *http.Request) (*http.Response, error) {
	version, _ := c.reader.Peek(len(oldVersion)) // the next read fails as well
	if string(version) == oldVersion {
		return c.readOldResponse(request)
	}
	response, err := http.ReadResponse(c.reader, request)
	if err == nil && (response.ProtoMajor != 1 || response.ProtoMinor < 1) {
		err = fmt.Errorf("%w: version %s", chuteanswer.ErrMalformed, response.Proto)
	}

	return response, err
}

// readOldResponse reads the head of a response in oldVersion. http.ReadResponse ignores and deletes a transfer coding there, so
// that the coded bytes would be the body (RFC 9112, section 6.1).
func (c *conn) readOldResponse(request *http.Request) (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // they are buffered
	c.source.record(buffered)
	response, err := http.ReadResponse(c.reader, request)
	head := c.source.stopRecording()
	if err != nil {
		return nil, err
	}
	if hasCoding(head[:len(head)-c.reader.Buffered()]) {
		return nil, fmt.Errorf("%w: a transfer coding in %s", chuteanswer.ErrMalformed, response.Proto)
	}

	return response, nil
}

// hasCoding reports whether a head, which is well-formed, has a field Transfer-Encoding.
func hasCoding(head []byte) bool {
	r := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	if _, err := r.ReadLine(); err != nil {
		return true
	}
	fields, err := r.ReadMIMEHeader()

	return err != nil || len(fields["Transfer-Encoding"]) > 0
}
