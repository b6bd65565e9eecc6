package chuteconn

import (
	"fmt"
	"io"
)

// limitedSource reads from a connection, with a limit while a head is read. An upstream may send bytes without end where
// a head is due.
type limitedSource struct {
	io.Reader

	isLimited   bool
	limit, left int
	// recorded holds what was read since record was called, with the bytes given to it; nil if nothing is recorded.
	recorded []byte
}

// record has reads append to a copy of some bytes, until stopRecording is called.
func (s *limitedSource) record(start []byte) {
	s.recorded = append(make([]byte, 0, readBufferSize), start...)
}

// stopRecording returns the bytes recorded.
func (s *limitedSource) stopRecording() []byte {
	recorded := s.recorded
	s.recorded = nil

	return recorded
}

// setLimit has reads fail after n bytes, until unlimit is called.
func (s *limitedSource) setLimit(n int) {
	s.isLimited, s.limit, s.left = true, n, n
}

// unlimit ends the limit.
func (s *limitedSource) unlimit() {
	s.isLimited = false
}

// Read reads from the connection.
func (s *limitedSource) Read(p []byte) (int, error) {
	if s.isLimited {
		if s.left <= 0 {
			return 0, fmt.Errorf("the head of the answer is longer than %d bytes", s.limit)
		}
		p = p[:min(len(p), s.left)]
	}
	n, err := s.Reader.Read(p)
	s.left -= n
	if s.recorded != nil {
		s.recorded = append(s.recorded, p[:n]...)
	}

	return n, err
}
