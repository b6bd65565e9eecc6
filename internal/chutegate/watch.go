package chutegate

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// settle is how long after the store's return missing upstreams are kept: live
// ones are back in the list about two seconds after it.
const settle = 2200 * time.Millisecond

// watch is a table of the store as this node has read it.
type watch struct {
	table string

	mu      sync.Mutex
	rows    map[string]Row
	version uint64
	// synced says that rows is the whole table as of version.
	synced bool
	// away says that the last read failed.
	away bool
	// following says that the rows come from another node.
	following bool
	// changed is closed and replaced by each change that matters.
	changed chan struct{}
	// returnedAt is when the store answered again after it had been away.
	returnedAt time.Time
	// held says that rows may have been kept, when they were last looked at, that
	// were missing from the list.
	held bool
}

func newWatch(table string) *watch {
	return &watch{table: table, rows: map[string]Row{}, changed: make(chan struct{})}
}

// snapshot returns the rows, sorted by key, and the version as of which they are true.
func (w *watch) snapshot() ([]Row, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()

	keys := slices.Sorted(maps.Keys(w.rows))
	rows := make([]Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, w.rows[key])
	}

	return rows, w.version
}

// replace takes a whole table in; one that is older than what is known is left out.
//
// The store may answer with rows of some seconds ago. Taking them would bring
// back an upstream that is leaving, or a configuration that was replaced.
func (w *watch) replace(p Page) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	if p.Version < w.version {
		return false
	}
	w.rows = make(map[string]Row, len(p.Rows))
	for _, row := range p.Rows {
		w.rows[row.Key] = row
	}
	w.version = p.Version
	w.synced = true

	return true
}

// merge takes changes in and says whether there were any.
func (w *watch) merge(p Page) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	changed := false
	for _, row := range p.Rows {
		if row.Version <= w.rows[row.Key].Version {
			continue
		}
		changed = true
		if row.Deleted {
			delete(w.rows, row.Key)
		} else {
			w.rows[row.Key] = row
		}
	}
	w.version = max(w.version, p.Version)

	return changed
}

// after returns the version to read on from, and false if everything has to be read.
func (w *watch) after() (uint64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.version, w.synced
}

// lost makes the next read a whole one.
func (w *watch) lost() {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.synced = false
}

// reached notes whether the store answered, and says whether that is news.
func (w *watch) reached(ok bool, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	news := w.away == ok
	if ok && w.away {
		w.returnedAt = now
	}
	w.away = !ok

	return news
}

// announce tells followers of a change that matters.
func (w *watch) announce() {
	w.mu.Lock()
	defer w.mu.Unlock()

	close(w.changed)
	w.changed = make(chan struct{})
}

// followed returns what a follower gets; a node that follows another is not followed itself.
func (w *watch) followed() (rows []Row, version uint64, current bool, changed <-chan struct{}) {
	rows, version = w.snapshot()
	w.mu.Lock()
	defer w.mu.Unlock()

	return rows, version, w.synced && !w.away && !w.following, w.changed
}

// unsettled says whether the rows have to be looked at although none has changed:
// while the list settles, and once more after that.
//
// An upstream that was removed while the list settled is kept so long. If nothing
// changed after that, nobody looked again, and it went on getting calls.
func (w *watch) unsettled(now time.Time) bool {
	settling := w.settling(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	again := settling || w.held
	w.held = settling

	return again
}

// settling says whether rows that are missing may yet come back.
func (w *watch) settling(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.away || !w.returnedAt.IsZero() && now.Sub(w.returnedAt) < settle
}
