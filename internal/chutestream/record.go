package chutestream

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// IDBytes is the length of an ID in bytes.
const IDBytes = 16

// ID identifies a stream at all nodes.
type ID [IDBytes]byte

// NewID returns the ID of the stream that a request began. Workspace and pipeline are part of it, so that nobody
// takes up the stream of another one.
func NewID(workspace, pipeline, request string) ID {
	h := sha256.New()
	for _, field := range []string{workspace, pipeline, request} {
		// The length keeps the end of one field from being read as the start of the next.
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field)))) // Write of a hash never fails
		_, _ = h.Write([]byte(field))
	}

	return ID(h.Sum(nil)[:IDBytes])
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

// withConfirmed returns the record of the same ID that follows from two.
func (r Record) withConfirmed(other Record) Record {
	r.ambiguous = r.ambiguous || other.ambiguous || !r.Binding.Allows(other.Binding)
	if other.Until.After(r.Until) {
		r.Until = other.Until
	}

	return r
}
