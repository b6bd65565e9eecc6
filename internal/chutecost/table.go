package chutecost

import (
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"
)

// maxKeys is the number of keys that are kept: some for each pipeline, and the workspaces that had answers last.
const maxKeys = 4096

// key identifies requests whose answers are learned together.
type key struct {
	pipeline string
	// workspace is empty for all workspaces of the pipeline together.
	workspace string
	// hinted distinguishes factors relative to hints from those relative to usualEvents.
	hinted bool
}

// keyHasher hashes keys for immutable.Map.
type keyHasher struct{}

func (keyHasher) Hash(k key) uint32 {
	const pipelineFactor = 31
	hash := xxhash.Sum64String(k.workspace) + pipelineFactor*xxhash.Sum64String(k.pipeline)
	if k.hinted {
		hash++
	}

	return uint32(hash ^ hash>>32) //nolint:gosec // a hash
}

func (keyHasher) Equal(a, b key) bool {
	return a == b
}

// row is what is kept of a key. Rows are never modified.
type row struct {
	histogram

	// turn is the key's position in the order of use.
	turn uint64
}

// noRow stands for a key without samples.
var noRow = &row{}

// table holds the histograms of the keys that were used last. Reading one is no use: values are immutable.
type table struct {
	rows *immutable.Map[key, *row]
	// byTurn has all keys, the one that was used first in front.
	byTurn   *immutable.SortedMap[uint64, key]
	lastTurn uint64
	evicted  uint64
}

func newTable() table {
	return table{rows: immutable.NewMap[key, *row](keyHasher{}), byTurn: immutable.NewSortedMap[uint64, key](nil)}
}

// find returns the histogram of a key and what its weights have to be multiplied by now; an empty one if there is none.
func (t table) find(k key, now time.Time) (*histogram, float32) {
	found, ok := t.rows.Get(k)
	if !ok {
		return &noRow.histogram, 0
	}

	return &found.histogram, float32(found.decay(now))
}

// withSample returns the table with one more factor for a key. It may evict the key that was used least recently.
func (t table) withSample(k key, factor float64, now time.Time) table {
	old, known := t.rows.Get(k)
	if !known {
		old = noRow
	} else {
		t.byTurn = t.byTurn.Delete(old.turn)
	}
	t.lastTurn++
	t.rows = t.rows.Set(k, &row{histogram: old.withSample(factor, now), turn: t.lastTurn})
	t.byTurn = t.byTurn.Set(t.lastTurn, k)
	if t.rows.Len() > maxKeys {
		turn, oldest, _ := t.byTurn.Iterator().Next()
		t.byTurn = t.byTurn.Delete(turn)
		t.rows = t.rows.Delete(oldest)
		t.evicted++
	}

	return t
}
