package chutemember

import "math/bits"

// The sizes below are upper bounds of the protobuf encoding in chutepeer, whose
// tests hold the two together. Field numbers there are below 16, so that a tag
// takes one byte.

const (
	tagBytes = 1
	// sizeOfNodeVersion is an id in 8 bytes and a version of up to 5 bytes: 34 billion heartbeats.
	sizeOfNodeVersion = 13
	// lengthBytes is the length prefix of a nested message or list below 2 MB.
	lengthBytes = 3
	// frameBytes is what a message costs inside another.
	frameBytes = tagBytes + lengthBytes
)

// budget is what is left of the bytes of a message.
type budget struct{ left int }

// newBudget is for one delta, whose own frame is spent already.
func newBudget(n int) *budget {
	return &budget{left: n - frameBytes}
}

// take spends n bytes if they are there.
func (b *budget) take(n int) bool {
	if n > b.left {
		return false
	}
	b.left -= n
	return true
}

// Size is an upper bound of the encoded size in bytes.
func (d Digest) Size() int {
	if d.Scope == ScopeNone {
		return 0
	}
	n := frameBytes
	n += 2 * tagBytes // scope
	n += sizeOfString(d.Zone) + sizeOfNumber(d.ConfigVersion)
	if d.Marks != nil {
		n += frameBytes + 4*len(d.Marks)
	}
	n += sizeOfNodeVersions(d.Nodes)
	if len(d.Rows) > 0 {
		n += 2 * frameBytes
	}
	for _, r := range d.Rows {
		n += 8 + varint(r.Version)
	}
	return n
}

func sizeOfNodeVersions(nodes []NodeVersion) int {
	if len(nodes) == 0 {
		return 0
	}
	n := 2 * frameBytes
	for _, v := range nodes {
		n += 8 + varint(v.Version)
	}
	return n
}

// Size is an upper bound of the encoded size in bytes.
func (d Delta) Size() int {
	n := frameBytes
	if d.Config.Version > 0 {
		n += d.Config.size()
	}
	for _, m := range d.Marks {
		n += m.size()
	}
	for i := range d.Nodes {
		n += d.Nodes[i].size()
	}
	if len(d.Beats) > 0 {
		n += beatListBytes
	}
	for _, b := range d.Beats {
		n += b.size()
	}
	for _, r := range d.Rows {
		n += r.size()
	}
	return n + d.Wants.Size()
}

// beatListBytes is the overhead of the three packed lists that carry heartbeats.
const beatListBytes = 3 * frameBytes

func (c Config) size() int {
	return frameBytes + sizeOfNumber(c.Version) + sizeOfString(c.Digest)
}

func (m MarkNews) size() int {
	return frameBytes + sizeOfString(m.Upstream) + sizeOfString(m.Incarnation) + sizeOfNumber(seconds(m.Age))
}

func (b Beat) size() int {
	return 8 + varint(b.Base) + varint(b.Version-b.Base)
}

func (n *NodeNews) size() int {
	size := frameBytes + tagBytes + 8 +
		sizeOfNumber(n.Base) + sizeOfNumber(n.Version) + sizeOfNumber(n.RecordAt) + sizeOfNumber(n.StatusAt)
	if r := n.Record; r != nil {
		size += frameBytes + sizeOfString(r.Name) + sizeOfString(r.Zone) + sizeOfString(r.Region) +
			sizeOfString(r.PeerAddress) + sizeOfString(r.Incarnation) + sizeOfNumber(r.Epoch) + 2*tagBytes
	}
	if s := n.Status; s != nil {
		size += frameBytes + sizeOfNumber(s.ConfigVersion)
		for _, l := range s.Loads {
			size += frameBytes + sizeOfString(l.Zone) + sizeOfString(l.Pool) + sizeOfNumber(uint64(max(0, l.InFlight)))
		}
	}
	return size
}

func (r LedgerRow) size() int {
	return frameBytes + sizeOfString(r.ID) + sizeOfString(r.Node) + sizeOfString(r.Zone) +
		sizeOfString(r.Incarnation) + sizeOfNumber(r.Version) + frameBytes + len(r.Body) + sizeOfNumber(seconds(r.Age))
}

func sizeOfString(s string) int {
	if s == "" {
		return 0
	}
	return tagBytes + varint(uint64(len(s))) + len(s)
}

func sizeOfNumber(v uint64) int {
	if v == 0 {
		return 0
	}
	return tagBytes + varint(v)
}

// varint is the length of a number in protobuf's variable-length encoding.
func varint(v uint64) int {
	return max(1, (bits.Len64(v)+6)/7)
}
