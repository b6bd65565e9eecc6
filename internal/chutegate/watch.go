package chutegate

import (
	"slices"
	"sync"
	"time"

	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteshare"
)

// settle is how long after the store's return missing upstreams are kept: live
// ones are back in the list about two seconds after it.
const settle = 2200 * time.Millisecond

// watch is a table of the store as this node knows it.
type watch struct {
	name string
	// essence returns what matters of a row's value; nil if all of it does.
	essence func(value []byte) []byte
	// signs is how often a node that is followed shows that it lives.
	signs time.Duration
	// staleAfter is how long after it was known to be up to date a node that follows another
	// takes the table for stale and asks the store itself.
	staleAfter time.Duration

	mu    sync.Mutex
	table chutefeed.Table
	// synced says that table is whole.
	synced bool
	// away says that the last read failed.
	away bool
	// current says that the last word on the store is good: the own read, or that of
	// the node that is followed.
	current bool
	// confirmedAt is the time as of which the table was last known to be up to date; zero
	// if it never was.
	confirmedAt time.Time
	// source is the node that is followed, empty if there is none; sourceAt is
	// confirmedAt by its word alone.
	source   chuterelay.Peer
	sourceAt time.Time
	// heardFrom is the node that had the last change; empty if the store did.
	heardFrom string
	// changed is closed and replaced by each change of the rows, of current and of confirmedAt.
	changed chan struct{}
	// returnedAt is when the store answered again after it had been away.
	returnedAt time.Time
	// held says that rows may have been kept, when they were last looked at, that
	// were missing from the list.
	held bool
}

func newWatch(name string, staleAfter time.Duration) *watch {
	return &watch{name: name, signs: chuteshare.FollowEvery, staleAfter: staleAfter, changed: make(chan struct{})}
}

// snapshot returns the table as it is known.
func (w *watch) snapshot() chutefeed.Table {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.table
}

// replace takes a whole table in; one that is older than what is known is left out.
//
// The store may answer with rows of some seconds ago. Taking them would bring
// back an upstream that is leaving, or a configuration that was replaced.
func (w *watch) replace(p Page) bool {
	return w.takeStored(chutefeed.Change{Version: p.Version, Whole: true, Rows: w.rowsOf(p)})
}

// merge takes changes in and says whether any of them matters.
func (w *watch) merge(p Page) bool {
	p.Rows = lastOfEach(p.Rows)
	c := chutefeed.Change{Version: p.Version, Rows: w.rowsOf(p)}
	for _, row := range p.Rows {
		if row.Deleted {
			c.Gone = append(c.Gone, row.Key)
		}
	}

	return w.takeStored(c)
}

// lastOfEach returns the last change of each row. The store lists every change, and one
// page may hold a row that was written, deleted and written again.
func lastOfEach(changes []Row) []Row {
	last := make(map[string]uint64, len(changes))
	for _, row := range changes {
		last[row.Key] = max(last[row.Key], row.Version)
	}

	return slices.DeleteFunc(slices.Clone(changes), func(row Row) bool { return row.Version < last[row.Key] })
}

// rowsOf returns the rows of a page with what matters of their values.
//
// Every upstream writes its row each second or so, to show that it lives. Taken as
// changes, these would go on to all nodes, thousands a second.
func (w *watch) rowsOf(p Page) []chutefeed.Row {
	rows := make([]chutefeed.Row, 0, len(p.Rows))
	for _, row := range p.Rows {
		if row.Deleted {
			continue
		}
		value := row.Value
		if w.essence != nil {
			value = w.essence(value)
		}
		rows = append(rows, chutefeed.Row{Key: row.Key, Value: value, Version: row.Version})
	}

	return rows
}

// takeFrom takes a change of another node in, as take does.
func (w *watch) takeFrom(node string, c chutefeed.Change) bool {
	if !w.take(c) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heardFrom = node

	return true
}

// takeStored takes a change of the store in, as take does.
func (w *watch) takeStored(c chutefeed.Change) bool {
	return w.takeFrom("", c)
}

// heard returns the node that had the last change; empty if the store did.
func (w *watch) heard() string {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.heardFrom
}

// take takes a change in, unless it is older than what is known, and says whether there
// is something to look at: rows that changed, or the first state of the table.
func (w *watch) take(c chutefeed.Change) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	if c.Version < w.table.Version() {
		return false
	}
	first := !w.synced
	w.synced = true
	next := w.table.With(c)
	if next.Same(w.table) {
		w.table = w.table.WithVersion(c.Version)

		return first
	}
	w.table = next
	w.wake()

	return true
}

// wake tells followers to look again; the caller holds mu.
func (w *watch) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// confirmStep is the least time by which confirmedAt moves on; followers hear of each step at
// once. A sign of life repeats the same time, give or take the way that it took.
const confirmStep = 100 * time.Millisecond

// setCurrent notes whether the last word on the store is good, and says whether that is news.
func (w *watch) setCurrent(current bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.current == current {
		return false
	}
	w.current = current
	w.wake()

	return true
}

// confirm notes that the table was up to date with the store as of a time.
func (w *watch) confirm(asOf time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if asOf.Sub(w.confirmedAt) >= confirmStep {
		w.confirmedAt = asOf
		w.wake()
	}
}

// follow notes which node is followed from now on; none if its name is empty.
func (w *watch) follow(source chuterelay.Peer, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.source, w.sourceAt = source, now
}

// hear takes in a word of the node that is followed, and says whether it is news that this
// one has lost the store.
func (w *watch) hear(word chuteshare.Word, now time.Time) bool {
	if asOf, known := w.hearSay(word, now); known {
		w.mu.Lock()
		if asOf.After(w.sourceAt) {
			w.sourceAt = asOf
		}
		w.mu.Unlock()
	}

	return w.setCurrent(word.Current) && !word.Current
}

// hearSay takes in the word of any node whose table this one has by now, and returns the time as
// of which it was up to date there.
func (w *watch) hearSay(word chuteshare.Word, now time.Time) (time.Time, bool) {
	asOf := now.Add(-word.Age)
	if !word.Known() {
		return time.Time{}, false
	}
	w.confirm(asOf)

	return asOf, true
}

// sourceAge returns the node that is followed, false if there is none, and how long ago the
// table was known to be up to date by its word.
func (w *watch) sourceAge(now time.Time) (chuterelay.Peer, time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.source, now.Sub(w.sourceAt), w.source.Name != ""
}

// age is how long ago the table was last known to be up to date; false if it never was.
func (w *watch) age(now time.Time) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	return now.Sub(w.confirmedAt), !w.confirmedAt.IsZero()
}

// confirmed is the time as of which the table was last known to be up to date, the node's start
// if it never was.
func (w *watch) confirmed() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.confirmedAt.IsZero() {
		return epoch
	}

	return w.confirmedAt
}

// after returns the version to read on from, and false if everything has to be read.
func (w *watch) after() (uint64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.table.Version(), w.synced
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

// followed returns what followers get.
func (w *watch) followed(now time.Time) chuteshare.Followed {
	w.mu.Lock()
	defer w.mu.Unlock()

	return chuteshare.Followed{
		Table: w.table, Current: w.synced && w.current, Age: w.ageAt(now), Changed: w.changed,
	}
}

// ageAt is how long ago the table was known to be up to date, 0 if it never was; the caller holds mu.
func (w *watch) ageAt(now time.Time) time.Duration {
	if w.confirmedAt.IsZero() {
		return 0
	}

	return max(now.Sub(w.confirmedAt), time.Millisecond)
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
