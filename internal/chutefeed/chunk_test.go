package chutefeed

import (
	"bytes"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// randomValue returns bytes that depend on a seed alone.
func randomValue(seed uint64, size int) []byte {
	random := rand.New(rand.NewPCG(seed, 1))
	value := make([]byte, size)
	for i := range value {
		value[i] = byte(random.Uint32())
	}

	return value
}

// literalBytes counts the bytes of a patch that the earlier value does not have.
func literalBytes(p Patch) int {
	n := 0
	for _, piece := range p.Pieces {
		n += len(piece.Data)
	}

	return n
}

func TestPatch(t *testing.T) {
	t.Run("any value is made from any earlier one", rapid.MakeCheck(func(t *rapid.T) {
		earlier := randomValue(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(0, 60_000).Draw(t, "size"))
		at := rapid.IntRange(0, len(earlier)).Draw(t, "at")
		cut := rapid.IntRange(at, len(earlier)).Draw(t, "cut")
		value := append(append(bytes.Clone(earlier[:at]), rapid.SliceOf(rapid.Byte()).Draw(t, "inserted")...), earlier[cut:]...)
		patch, digests := NewPatch(ChunkDigests(earlier), value)
		made, err := patch.Apply(earlier)
		if err != nil || !bytes.Equal(made, value) {
			t.Fatalf("made %d bytes of %d, error %v", len(made), len(value), err)
		}
		if want := ChunkDigests(value); !equalDigests(digests, want) {
			t.Fatalf("got digests %v, want %v", digests, want)
		}
	}))

	t.Run("a change in one place sends the chunks around it", func(t *testing.T) {
		c := qt.New(t)
		earlier := randomValue(1, 1_000_000)
		value := append(append(bytes.Clone(earlier[:500_000]), "one pipeline more"...), earlier[500_000:]...)
		patch, _ := NewPatch(ChunkDigests(earlier), value)
		c.Assert(literalBytes(patch) <= 2*maxChunkBytes, qt.IsTrue, qt.Commentf("%d bytes", literalBytes(patch)))
		c.Assert(len(patch.Pieces) <= 3, qt.IsTrue)
	})

	t.Run("a value of equal bytes has bounded chunks", func(t *testing.T) {
		c := qt.New(t)
		for _, chunk := range SplitChunks(make([]byte, 100_000)) {
			c.Assert(len(chunk) <= maxChunkBytes, qt.IsTrue)
		}
	})
}

// Guards against a value that is put together from the chunks of another one than the patch was made for.
func TestPatchOfOtherValue(t *testing.T) {
	c := qt.New(t)
	earlier, value := randomValue(1, 100_000), randomValue(2, 100_000)
	patch, _ := NewPatch(ChunkDigests(earlier), append(bytes.Clone(earlier), value...))
	for _, known := range [][]byte{nil, earlier[:50_000], value, append(bytes.Clone(value), earlier...)} {
		_, err := patch.Apply(known)
		c.Assert(err, qt.Equals, errPatchMismatch)
	}
	_, err := Patch{Pieces: []PatchPiece{{First: -1, Count: 1}}}.Apply(earlier)
	c.Assert(err, qt.Equals, errPatchMismatch)
}

func equalDigests(a, b []uint64) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}

	return true
}
