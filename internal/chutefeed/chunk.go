package chutefeed

import (
	"errors"

	"github.com/cespare/xxhash/v2"
)

const (
	// MinChunkedBytes is the size in bytes from which on a value is worth sending as the difference from
	// an earlier one.
	MinChunkedBytes = 16 << 10
	// minChunkBytes and maxChunkBytes bound the size of one chunk.
	minChunkBytes = 512
	maxChunkBytes = 8 << 10
	// chunkMask has as many bits as a boundary must match; chunks have some 2 KB on average.
	chunkMask = 1<<11 - 1
)

// gear holds a random number for each byte value, from which the rolling hash of SplitChunks is computed.
var gear = newGear()

// newGear returns the numbers, which must be the same in all builds (SplitMix64).
func newGear() (table [256]uint64) {
	state := uint64(0)
	for i := range table {
		state += 0x9e3779b97f4a7c15
		x := state
		x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
		x = (x ^ x>>27) * 0x94d049bb133111eb
		table[i] = x ^ x>>31
	}

	return table
}

// SplitChunks cuts a value at places that depend on the bytes around them alone. Two values that differ in
// one place share all chunks that are not close to it, wherever they are in the value.
func SplitChunks(value []byte) [][]byte {
	var chunks [][]byte
	for len(value) > 0 {
		n := chunkLength(value)
		chunks, value = append(chunks, value[:n:n]), value[n:]
	}

	return chunks
}

// chunkLength returns the length of the first chunk of a value.
func chunkLength(value []byte) int {
	end := min(len(value), maxChunkBytes)
	hash := uint64(0)
	for i := range end {
		hash = hash<<1 + gear[value[i]]
		if i+1 >= minChunkBytes && hash>>53&chunkMask == 0 {
			return i + 1
		}
	}

	return end
}

// ChunkDigests returns the digests of a value's chunks, in order.
func ChunkDigests(value []byte) []uint64 {
	chunks := SplitChunks(value)
	digests := make([]uint64, 0, len(chunks))
	for _, chunk := range chunks {
		digests = append(digests, xxhash.Sum64(chunk))
	}

	return digests
}

// Patch describes a value by the chunks of an earlier one.
type Patch struct {
	// Digest is that of the whole value.
	Digest uint64
	// Pieces follow each other in the value.
	Pieces []PatchPiece
}

// PatchPiece is a number of chunks of the earlier value, from index First on, or Data if Count is 0.
type PatchPiece struct {
	First, Count int
	Data         []byte
}

// NewPatch returns the patch that makes a value from an earlier one whose chunks have the given digests,
// and the digests of the value's own chunks.
func NewPatch(earlier []uint64, value []byte) (Patch, []uint64) {
	place := make(map[uint64]int, len(earlier))
	for i, digest := range earlier {
		place[digest] = i
	}
	patch := Patch{Digest: xxhash.Sum64(value)}
	var digests []uint64
	offset := 0
	for _, chunk := range SplitChunks(value) {
		digest := xxhash.Sum64(chunk)
		digests = append(digests, digest)
		if index, known := place[digest]; known {
			patch.Pieces = appendKnown(patch.Pieces, index)
		} else {
			patch.Pieces = appendData(patch.Pieces, value, offset, len(chunk))
		}
		offset += len(chunk)
	}

	return patch, digests
}

// appendKnown adds a chunk of the earlier value to pieces, to the last of them where it continues that one.
func appendKnown(pieces []PatchPiece, index int) []PatchPiece {
	if n := len(pieces) - 1; n >= 0 && pieces[n].Count > 0 && pieces[n].First+pieces[n].Count == index {
		pieces[n].Count++

		return pieces
	}

	return append(pieces, PatchPiece{First: index, Count: 1})
}

// appendData adds the bytes of the value from offset on to pieces, to the last of them if that is data.
func appendData(pieces []PatchPiece, value []byte, offset, length int) []PatchPiece {
	if n := len(pieces) - 1; n >= 0 && pieces[n].Count == 0 {
		pieces[n].Data = value[offset-len(pieces[n].Data) : offset+length]

		return pieces
	}

	return append(pieces, PatchPiece{Data: value[offset : offset+length]})
}

// errPatchMismatch reports a patch that was made for another earlier value.
var errPatchMismatch = errors.New("the patch does not belong to the value that is known")

// Apply returns the value that the patch makes from the earlier one.
func (p Patch) Apply(earlier []byte) ([]byte, error) {
	chunks := SplitChunks(earlier)
	var value []byte
	for _, piece := range p.Pieces {
		if piece.Count == 0 {
			value = append(value, piece.Data...)

			continue
		}
		if piece.First < 0 || piece.Count < 0 || piece.First > len(chunks)-piece.Count {
			return nil, errPatchMismatch
		}
		for _, chunk := range chunks[piece.First : piece.First+piece.Count] {
			value = append(value, chunk...)
		}
	}
	if xxhash.Sum64(value) != p.Digest {
		return nil, errPatchMismatch
	}

	return value, nil
}
