package chutecost

import (
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"
)

// maxKeys is the number of keys that are kept: some for each pipeline, and the workspaces that had answers last.
const maxKeys = 4096

// orderSlack is by how many updates a key's place in the order of use may lag, so that keys in constant use are moved
// seldom. A key that is evicted was not used in the last maxKeys-orderSlack updates.
const orderSlack = maxKeys / 4

// key identifies requests whose answers are learned together. The workspace is empty for all of the pipeline.
type key struct {
	pipeline  string
	workspace string
}

// keyHasher hashes keys for immutable.Map.
type keyHasher struct{}

func (keyHasher) Hash(k key) uint32 {
	const pipelineFactor = 31
	hash := xxhash.Sum64String(k.workspace) + pipelineFactor*xxhash.Sum64String(k.pipeline)

	return uint32(hash ^ hash>>32) //nolint:gosec // a hash
}

func (keyHasher) Equal(a, b key) bool {
	return a == b
}

// row is what is kept of a key.
type row struct {
	// hinted has factors relative to hints, unhinted those relative to usualEvents; nil without samples. Histograms are
	// never modified.
	hinted   *histogram
	unhinted *histogram
	// turn is the key's place in the order of use.
	turn uint64
}

// noSamples stands for a histogram without samples.
var noSamples = &histogram{}

// samples returns the histogram for requests with or without a hint.
func (r row) samples(hinted bool) *histogram {
	found := r.unhinted
	if hinted {
		found = r.hinted
	}
	if found == nil {
		return noSamples
	}

	return found
}

// withSample returns the row with one more factor.
func (r row) withSample(hinted bool, factor float64, now time.Time) row {
	next := r.samples(hinted).withSample(factor, now)
	if hinted {
		r.hinted = &next
	} else {
		r.unhinted = &next
	}

	return r
}

// table holds the rows of the keys that were learned from last. Reading one does not count, since values are immutable.
type table struct {
	rows *immutable.Map[key, row]
	// byTurn has all keys, the one that was used least recently in front.
	byTurn   *immutable.SortedMap[uint64, key]
	lastTurn uint64
	evicted  uint64
}

func newTable() table {
	return table{rows: immutable.NewMap[key, row](keyHasher{}), byTurn: immutable.NewSortedMap[uint64, key](nil)}
}

// find returns the row of a key, which is empty if there is none.
func (t table) find(k key) row {
	found, _ := t.rows.Get(k)

	return found
}

// withRow returns the table with a key's row replaced. It may evict the key that was used least recently.
func (t table) withRow(k key, r row) table {
	t.lastTurn++
	if r.turn == 0 || r.turn+orderSlack < t.lastTurn {
		t.byTurn = t.byTurn.Delete(r.turn).Set(t.lastTurn, k)
		r.turn = t.lastTurn
	}
	t.rows = t.rows.Set(k, r)
	if t.rows.Len() > maxKeys {
		turn, oldest, _ := t.byTurn.Iterator().Next()
		t.byTurn = t.byTurn.Delete(turn)
		t.rows = t.rows.Delete(oldest)
		t.evicted++
	}

	return t
}
