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
const settlePeriod = 2200 * time.Millisecond

// watch is a table of the store as this node knows it.
type localTable struct {
	name string
	// essence returns what matters of a row's value; nil if all of it does.
	valueWithoutHeartbeat func(value []byte) []byte
	// signs is how often a node that is followed shows that it lives.
	keepaliveInterval time.Duration
	// staleAfter is how long after it was known to be up to date a node that follows another
	// takes the table for stale and asks the store itself.
	staleAfter time.Duration

	mu    sync.Mutex
	table chutefeed.Table
	// synced says that table is whole.
	synced bool
	// away says that the last read failed.
	storeLost bool
	// current says that the last word on the store is good: the own read, or that of
	// the node that is followed.
	current bool
	// confirmedAt is the time as of which the table was last known to be up to date; zero
	// if it never was.
	confirmedAt time.Time
	// source is the node that is followed, empty if there is none; sourceAt is
	// confirmedAt by its word alone.
	source            chuterelay.Peer
	sourceConfirmedAt time.Time
	// heardFrom is the node that had the last change; empty if the store did.
	lastChangeNode string
	// changed is closed and replaced by each change of the rows, of current and of confirmedAt.
	changed chan struct{}
	// returnedAt is when the store answered again after it had been away.
	storeReturnedAt time.Time
	// held says that rows may have been kept, when they were last looked at, that
	// were missing from the list.
	wasSettling bool
}

func newLocalTable(name string, staleAfter time.Duration) *localTable {
	return &localTable{name: name, keepaliveInterval: chuteshare.FollowEvery, staleAfter: staleAfter, changed: make(chan struct{})}
}

// snapshot returns the table as it is known.
func (local *localTable) snapshot() chutefeed.Table {
	local.mu.Lock()
	defer local.mu.Unlock()

	return local.table
}

// replace takes a whole table in; one that is older than what is known is left out.
//
// The store may answer with rows of some seconds ago. Taking them would bring
// back an upstream that is leaving, or a configuration that was replaced.
func (local *localTable) replaceAll(p Page) bool {
	return local.applyFromStore(chutefeed.Change{Version: p.Version, Whole: true, Rows: local.rowsOfPage(p)})
}

// merge takes changes in and says whether any of them matters.
func (local *localTable) mergeChanges(p Page) bool {
	p.Rows = lastChangeOfEachRow(p.Rows)
	c := chutefeed.Change{Version: p.Version, Rows: local.rowsOfPage(p)}
	for _, row := range p.Rows {
		if row.Deleted {
			c.Gone = append(c.Gone, row.Key)
		}
	}

	return local.applyFromStore(c)
}

// lastOfEach returns the last change of each row. The store lists every change, and one
// page may hold a row that was written, deleted and written again.
func lastChangeOfEachRow(changes []Row) []Row {
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
func (local *localTable) rowsOfPage(p Page) []chutefeed.Row {
	rows := make([]chutefeed.Row, 0, len(p.Rows))
	for _, row := range p.Rows {
		if row.Deleted {
			continue
		}
		value := row.Value
		if local.valueWithoutHeartbeat != nil {
			value = local.valueWithoutHeartbeat(value)
		}
		rows = append(rows, chutefeed.Row{Key: row.Key, Value: value, Version: row.Version})
	}

	return rows
}

// takeFrom takes a change of another node in, as take does.
func (local *localTable) applyFromNode(node string, c chutefeed.Change) bool {
	if !local.apply(c) {
		return false
	}
	local.mu.Lock()
	defer local.mu.Unlock()
	local.lastChangeNode = node

	return true
}

// takeStored takes a change of the store in, as take does.
func (local *localTable) applyFromStore(c chutefeed.Change) bool {
	return local.applyFromNode("", c)
}

// heard returns the node that had the last change; empty if the store did.
func (local *localTable) lastChangeFrom() string {
	local.mu.Lock()
	defer local.mu.Unlock()

	return local.lastChangeNode
}

// take takes a change in, unless it is older than what is known, and says whether there
// is something to look at: rows that changed, or the first state of the table.
func (local *localTable) apply(c chutefeed.Change) bool {
	local.mu.Lock()
	defer local.mu.Unlock()

	if c.Version < local.table.Version() {
		return false
	}
	first := !local.synced
	local.synced = true
	next := local.table.With(c)
	if next.Same(local.table) {
		local.table = local.table.WithVersion(c.Version)

		return first
	}
	local.table = next
	local.notifyFollowers()

	return true
}

// wake tells followers to look again; the caller holds mu.
func (local *localTable) notifyFollowers() {
	close(local.changed)
	local.changed = make(chan struct{})
}

// confirmStep is the least time by which confirmedAt moves on; followers hear of each step at
// once. A sign of life repeats the same time, give or take the way that it took.
const minConfirmStep = 100 * time.Millisecond

// setCurrent notes whether the last word on the store is good, and says whether that is news.
func (local *localTable) setCurrent(current bool) bool {
	local.mu.Lock()
	defer local.mu.Unlock()

	if local.current == current {
		return false
	}
	local.current = current
	local.notifyFollowers()

	return true
}

// confirm notes that the table was up to date with the store as of a time.
func (local *localTable) confirmAt(asOf time.Time) {
	local.mu.Lock()
	defer local.mu.Unlock()

	if asOf.Sub(local.confirmedAt) >= minConfirmStep {
		local.confirmedAt = asOf
		local.notifyFollowers()
	}
}

// follow notes which node is followed from now on; none if its name is empty.
func (local *localTable) setSource(source chuterelay.Peer, now time.Time) {
	local.mu.Lock()
	defer local.mu.Unlock()

	local.source, local.sourceConfirmedAt = source, now
}

// hear takes in a word of the node that is followed, and says whether it is news that this
// one has lost the store.
func (local *localTable) recordSourceStatus(status chuteshare.Word, now time.Time) bool {
	if asOf, known := local.recordPeerStatus(status, now); known {
		local.mu.Lock()
		if asOf.After(local.sourceConfirmedAt) {
			local.sourceConfirmedAt = asOf
		}
		local.mu.Unlock()
	}

	return local.setCurrent(status.Current) && !status.Current
}

// hearSay takes in the word of any node whose table this one has by now, and returns the time as
// of which it was up to date there.
func (local *localTable) recordPeerStatus(status chuteshare.Word, now time.Time) (time.Time, bool) {
	asOf := now.Add(-status.Age)
	if !status.Known() {
		return time.Time{}, false
	}
	local.confirmAt(asOf)

	return asOf, true
}

// sourceAge returns the node that is followed, false if there is none, and how long ago the
// table was known to be up to date by its word.
func (local *localTable) sourceAge(now time.Time) (chuterelay.Peer, time.Duration, bool) {
	local.mu.Lock()
	defer local.mu.Unlock()

	return local.source, now.Sub(local.sourceConfirmedAt), local.source.Name != ""
}

// age is how long ago the table was last known to be up to date; false if it never was.
func (local *localTable) age(now time.Time) (time.Duration, bool) {
	local.mu.Lock()
	defer local.mu.Unlock()

	return now.Sub(local.confirmedAt), !local.confirmedAt.IsZero()
}

// confirmed is the time as of which the table was last known to be up to date, the node's start
// if it never was.
func (local *localTable) lastConfirmed() time.Time {
	local.mu.Lock()
	defer local.mu.Unlock()

	if local.confirmedAt.IsZero() {
		return epoch
	}

	return local.confirmedAt
}

// after returns the version to read on from, and false if everything has to be read.
func (local *localTable) readPosition() (uint64, bool) {
	local.mu.Lock()
	defer local.mu.Unlock()

	return local.table.Version(), local.synced
}

// lost makes the next read a whole one.
func (local *localTable) requireFullRead() {
	local.mu.Lock()
	defer local.mu.Unlock()

	local.synced = false
}

// reached notes whether the store answered, and says whether that is news.
func (local *localTable) recordStoreResult(answered bool, now time.Time) bool {
	local.mu.Lock()
	defer local.mu.Unlock()

	changed := local.storeLost == answered
	if answered && local.storeLost {
		local.storeReturnedAt = now
	}
	local.storeLost = !answered

	return changed
}

// followed returns what followers get.
func (local *localTable) stateForFollowers(now time.Time) chuteshare.Followed {
	local.mu.Lock()
	defer local.mu.Unlock()

	return chuteshare.Followed{
		Table: local.table, Current: local.synced && local.current, Age: local.ageLocked(now), Changed: local.changed,
	}
}

// ageAt is how long ago the table was known to be up to date, 0 if it never was; the caller holds mu.
func (local *localTable) ageLocked(now time.Time) time.Duration {
	if local.confirmedAt.IsZero() {
		return 0
	}

	return max(now.Sub(local.confirmedAt), time.Millisecond)
}

// unsettled says whether the rows have to be looked at although none has changed:
// while the list settles, and once more after that.
//
// An upstream that was removed while the list settled is kept so long. If nothing
// changed after that, nobody looked again, and it went on getting calls.
func (local *localTable) needsReview(now time.Time) bool {
	settling := local.isSettling(now)
	local.mu.Lock()
	defer local.mu.Unlock()
	review := settling || local.wasSettling
	local.wasSettling = settling

	return review
}

// settling says whether rows that are missing may yet come back.
func (local *localTable) isSettling(now time.Time) bool {
	local.mu.Lock()
	defer local.mu.Unlock()

	return local.storeLost || !local.storeReturnedAt.IsZero() && now.Sub(local.storeReturnedAt) < settlePeriod
}
