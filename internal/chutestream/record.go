package chutestream

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"time"
)

const (
	// IDBytes is the length of an ID in bytes.
	IDBytes = 2 * halfIDBytes
	// halfIDBytes is the length of each of its halves.
	halfIDBytes = 16
)

// ID identifies a stream at all nodes. Its first half is that of what the request asks for, its second half that of the
// sending that brought the first event; it is zero in the ID of a take-up that does not name that sending.
type ID [IDBytes]byte

// NewID returns the ID of the stream that a request began, by its content and its own ID, which is empty if it is not known.
// Workspace and pipeline are part of both halves, so that nobody takes up the stream of another one.
func NewID(workspace, pipeline, content, request string) ID {
	var id ID
	copy(id[:halfIDBytes], hashOf("content", workspace, pipeline, content))
	if request != "" {
		copy(id[halfIDBytes:], hashOf("request", workspace, pipeline, request))
	}

	return id
}

// hashOf returns a hash of texts and the lengths of each, which keep the end of one from being read as the start of the next.
func hashOf(texts ...string) []byte {
	h := sha256.New()
	for _, text := range texts {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(text)))) // Write of a hash never fails
		_, _ = h.Write([]byte(text))
	}

	return h.Sum(nil)
}

// content returns the ID of any stream of the same content.
func (id ID) content() ID {
	clear(id[halfIDBytes:])

	return id
}

// NamesRequest reports whether the ID says which sending began the stream.
func (id ID) NamesRequest() bool {
	return id != id.content()
}

// Binding is the pool and the software version that a stream is bound to by its first event. The zero value
// binds to nothing.
type Binding struct {
	Pool    string
	Version string
	// Upstream is the name of the upstream that wrote the first event. A later process of the name may run
	// another version.
	Upstream string
}

// IsZero reports whether the binding binds to nothing.
func (b Binding) IsZero() bool {
	return b.Pool == ""
}

// Allows reports whether events of an upstream's pool and version may follow those that the caller has.
func (b Binding) Allows(other Binding) bool {
	return b.IsZero() || b.Pool == other.Pool && b.Version == other.Version
}

// ErrAmbiguous is the error of a search for a stream that may be any of several with different bindings.
var ErrAmbiguous = errors.New("streams of different versions were begun alike")

// Record says which binding a stream has.
type Record struct {
	ID      ID
	Binding Binding
	// Since is when the node that holds the record learned of it, and Until when the stream can't be taken up
	// any more.
	Since time.Time
	Until time.Time
	// ambiguous says that streams of different bindings were begun under the ID.
	ambiguous bool
}

// IsAmbiguous reports whether streams of different bindings were begun under the record's ID.
func (r Record) IsAmbiguous() bool {
	return r.ambiguous
}

// withConfirmed returns the record of the same ID that follows from two.
func (r Record) withConfirmed(other Record) Record {
	r.ambiguous = r.ambiguous || other.ambiguous || !r.Binding.Allows(other.Binding)
	if other.Until.After(r.Until) {
		r.Until = other.Until
	}

	return r
}
