package chutegate

import (
	"slices"
	"sync"
	"time"

	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteshare"
)

// localTable is this node's copy of one of the store's tables.
type localTable struct {
	name string
	// normalizeValue returns a row's value without what changes with each heartbeat; nil if all of
	// the value matters.
	normalizeValue func(value []byte) []byte
	// tracksKeys says that takeChangedKeys is used.
	tracksKeys bool
	// keepaliveInterval is how often a source shows its followers that it is alive.
	keepaliveInterval time.Duration
	// staleAfter is the age at which a node with a source considers the table stale and reads the
	// store itself.
	staleAfter time.Duration

	// now returns the node's own time.
	now func() time.Time
	// retainPeriod is how long rows are retained that the store lacks after it came back from a copy; 0
	// means not at all.
	retainPeriod time.Duration
	// onRestored is called when the rows of a new era of the store replace those of an earlier one.
	onRestored func(before, after chutefeed.Table)

	mu    sync.Mutex
	table chutefeed.Table
	// rowChanges counts the changes of the table's rows.
	rowChanges uint64
	// changedKeys holds the keys of rows that have changed since takeChangedKeys was called last; it is
	// of no use if allChanged is true, because any row may have changed.
	changedKeys map[string]struct{}
	allChanged  bool
	// synced is true if the table is complete up to its version.
	synced bool
	// storeLost is true if the last read of the store failed, answeredSentAt is when the latest read was sent
	// that was answered, by this node or the one that it follows.
	storeLost      bool
	answeredSentAt time.Time
	// behind is true if the last read left changes for the next one. The table is then an earlier state
	// of the store, in which rows may be missing that have come back since.
	behind bool
	// current is true if the last sign of the store was good: this node's own read, or the status
	// that the source reported.
	current bool
	// outOfDateAt is when current last became false.
	outOfDateAt time.Time
	// confirmedAt is the latest time as of which the table is known to have been up to date; zero
	// if there is none.
	confirmedAt time.Time
	// source is the node that is followed, empty if there is none. sourceConfirmedAt is the same as
	// confirmedAt, but by the source's reports alone.
	source            chuterelay.Peer
	sourceConfirmedAt time.Time
	// lastChangeNode is the node that the last change came from; empty for the store.
	lastChangeNode string
	// changed is closed and replaced at each change of the rows, of current or of confirmedAt.
	changed chan struct{}
	// retained holds the rows that a copy of the store lacks, by key.
	retained map[string]retainedRow
	// storeReturnedAt is when the store last answered again after failed reads, or its rows were first
	// those of a new era.
	storeReturnedAt time.Time
	// returned signals that storeReturnedAt has changed.
	returned chan struct{}
	// wasSettling is true if the rows were settling when they were last looked at, so that rows
	// missing from the table may have been kept then.
	wasSettling bool
}

func newLocalTable(name string, staleAfter time.Duration, now func() time.Time) *localTable {
	return &localTable{
		name: name, keepaliveInterval: chuteshare.FollowKeepaliveInterval, staleAfter: staleAfter,
		now: now, onRestored: func(_, _ chutefeed.Table) {}, changed: make(chan struct{}),
		returned: make(chan struct{}, 1),
	}
}

// setStoreReturned records that the store has answered again, or first had rows of a new era; the caller holds mu.
func (local *localTable) setStoreReturned(now time.Time) {
	local.storeReturnedAt = now
	select {
	case local.returned <- struct{}{}:
	default:
	}
}

// settlesAt returns when the list has settled after the store's last return.
func (local *localTable) settlesAt() time.Time {
	local.mu.Lock()
	defer local.mu.Unlock()

	return local.storeReturnedAt.Add(settlePeriod)
}

// snapshot returns the present state of the table.
func (local *localTable) snapshot() chutefeed.Table {
	local.mu.Lock()
	defer local.mu.Unlock()

	return local.table
}

// takeChangedKeys returns the present state of the table and the keys of the rows that have changed since
// the last call; false if any row may have.
func (local *localTable) takeChangedKeys() (chutefeed.Table, map[string]struct{}, bool) {
	local.mu.Lock()
	defer local.mu.Unlock()

	keys, known := local.changedKeys, !local.allChanged
	local.changedKeys, local.allChanged = nil, false

	return local.table, keys, known
}

// recordChangedKeys records which rows a change concerns; the caller holds mu.
func (local *localTable) recordChangedKeys(c chutefeed.Change) {
	if c.Whole || len(c.Groups) > 0 || local.allChanged {
		local.changedKeys, local.allChanged = nil, true

		return
	}
	if local.changedKeys == nil {
		local.changedKeys = map[string]struct{}{}
	}
	for _, row := range c.Rows {
		local.changedKeys[row.Key] = struct{}{}
	}
	for _, key := range c.DeletedKeys {
		local.changedKeys[key] = struct{}{}
	}
}

// snapshotForFollowing returns the present state of the table, and the number of the changes that led to
// it.
func (local *localTable) snapshotForFollowing() (chutefeed.Table, uint64) {
	local.mu.Lock()
	defer local.mu.Unlock()

	return local.table, local.rowChanges
}

// hasChangedSince reports whether the rows have changed since there were a number of changes.
func (local *localTable) hasChangedSince(rowChanges uint64) bool {
	local.mu.Lock()
	defer local.mu.Unlock()

	return local.rowChanges != rowChanges
}

// applyFollowed applies a change that a source has computed against the state of this table after a
// number of changes. It reports whether the rows have to be looked at, and the number of changes
// afterwards. If the table has changed in another way meanwhile, the change is not applied.
func (local *localTable) applyFollowed(node string, c chutefeed.Change, rowChanges uint64) (bool, uint64) {
	local.mu.Lock()
	defer local.mu.Unlock()

	if local.rowChanges != rowChanges || !local.applyLocked(c) {
		return false, rowChanges
	}
	local.lastChangeNode = node

	return true, local.rowChanges
}

// replaceAll applies a whole table, unless it is older than the present one. It reports whether the
// rows have to be looked at, as apply does.
//
// The store may answer with rows that are some seconds old.
func (local *localTable) replaceAll(p Page) bool {
	return local.applyFromStore(chutefeed.Change{Era: p.Era, Version: p.Version, Whole: true, Rows: local.rowsOfPage(p)})
}

// mergeChanges applies changes and reports whether the rows have to be looked at, as apply does.
func (local *localTable) mergeChanges(p Page) bool {
	p.Rows = lastChangeOfEachRow(p.Rows)
	c := chutefeed.Change{Era: p.Era, Version: p.Version, Rows: local.rowsOfPage(p)}
	for _, row := range p.Rows {
		if row.Deleted {
			c.DeletedKeys = append(c.DeletedKeys, row.Key)
		}
	}

	return local.applyFromStore(c)
}

// lastChangeOfEachRow returns the last change of each row. The store lists every change, and one
// page may hold a row that was written, deleted and written again.
func lastChangeOfEachRow(changes []Row) []Row {
	last := make(map[string]uint64, len(changes))
	for _, row := range changes {
		last[row.Key] = max(last[row.Key], row.Version)
	}

	return slices.DeleteFunc(slices.Clone(changes), func(row Row) bool { return row.Version < last[row.Key] })
}

// rowsOfPage returns the rows of a page that are not deleted, with their values as normalizeValue
// returns them.
//
// Heartbeats must not count as changes, which go to all nodes.
func (local *localTable) rowsOfPage(p Page) []chutefeed.Row {
	rows := make([]chutefeed.Row, 0, len(p.Rows))
	for _, row := range p.Rows {
		if row.Deleted {
			continue
		}
		value := row.Value
		if local.normalizeValue != nil {
			value = local.normalizeValue(value)
		}
		rows = append(rows, chutefeed.Row{Key: row.Key, Value: value, Version: row.Version})
	}

	return rows
}

// applyFromNode applies a change that came from another node, as apply does.
func (local *localTable) applyFromNode(node string, c chutefeed.Change) bool {
	if !local.apply(c) {
		return false
	}
	local.mu.Lock()
	defer local.mu.Unlock()
	local.lastChangeNode = node

	return true
}

// applyFromStore applies a change that came from the store, as apply does.
func (local *localTable) applyFromStore(c chutefeed.Change) bool {
	return local.applyFromNode("", c)
}

// lastChangeFrom returns the node that the last change came from; empty for the store.
func (local *localTable) lastChangeFrom() string {
	local.mu.Lock()
	defer local.mu.Unlock()

	return local.lastChangeNode
}

// apply applies a change, unless it is older than the table. It reports whether the rows have to be
// looked at: they have changed, or this is the first state of the table.
func (local *localTable) apply(c chutefeed.Change) bool {
	local.mu.Lock()
	defer local.mu.Unlock()

	return local.applyLocked(c)
}

// applyLocked is apply; the caller holds mu.
func (local *localTable) applyLocked(c chutefeed.Change) bool {
	if c.Position().Before(local.table.Position()) {
		return false
	}
	first := !local.synced
	local.synced = true
	next := local.table.WithChange(c)
	if local.table.Version() > 0 && c.Era > local.table.Era() {
		// Rows of the same values are looked at too: their versions are those of another era.
		first = true
		local.setStoreReturned(local.now())
		local.retainRows(next)
		local.onRestored(local.table, next)
	}
	if next.HasSameRows(local.table) {
		local.table = next

		return first
	}
	local.table = next
	local.rowChanges++
	if local.tracksKeys {
		local.recordChangedKeys(c)
	}
	local.notifyFollowers()

	return true
}

// notifyFollowers wakes the followers of this table; the caller holds mu.
func (local *localTable) notifyFollowers() {
	close(local.changed)
	local.changed = make(chan struct{})
}

// minConfirmStep is the smallest step by which confirmedAt advances; followers are told of each
// step at once. Keepalives repeat the same time, which differs only by rounding.
const minConfirmStep = 100 * time.Millisecond

// setCurrent sets whether the last sign of the store was good, and reports whether that is a
// change.
func (local *localTable) setCurrent(current bool, now time.Time) bool {
	local.mu.Lock()
	defer local.mu.Unlock()

	if local.current == current {
		return false
	}
	local.current = current
	if !current {
		local.outOfDateAt = now
	}
	local.notifyFollowers()

	return true
}

// confirmAt records that the table was up to date with the store as of a time.
func (local *localTable) confirmAt(asOf time.Time) {
	local.mu.Lock()
	defer local.mu.Unlock()

	if asOf.Sub(local.confirmedAt) >= minConfirmStep {
		local.confirmedAt = asOf
		local.notifyFollowers()
	}
}

// setSource records which node is followed from now on; none if its name is empty.
func (local *localTable) setSource(source chuterelay.Peer, now time.Time) {
	local.mu.Lock()
	defer local.mu.Unlock()

	local.source, local.sourceConfirmedAt = source, now
}

// recordSourceStatus records the status that the source reported, and reports whether the source
// has just lost the store. confirmedAt is the status's time by the node's own clock, zero if it has
// none.
func (local *localTable) recordSourceStatus(current bool, confirmedAt, now time.Time) bool {
	if !confirmedAt.IsZero() {
		local.confirmAt(confirmedAt)
		local.mu.Lock()
		if confirmedAt.After(local.sourceConfirmedAt) {
			local.sourceConfirmedAt = confirmedAt
		}
		if current && confirmedAt.After(local.answeredSentAt) {
			local.answeredSentAt = confirmedAt
		}
		local.mu.Unlock()
	}
	if current {
		// The source's table is complete, and this one is the same.
		local.setBehind(false)
	}

	return local.setCurrent(current, now) && !current
}

// statusInEra returns the status of a peer's copy of the table as far as it says something about this
// one. A peer that does not know of a return of the store yet vouches for rows that are no longer there.
func (local *localTable) statusInEra(status chuteshare.TableStatus) chuteshare.TableStatus {
	if status.Era < local.snapshot().Era() {
		status.Current, status.ConfirmedAt = false, time.Time{}
	}

	return status
}

// sourceAge returns the node that is followed, the time since the table was up to date by its
// reports, and false if there is no such node.
func (local *localTable) sourceAge(now time.Time) (chuterelay.Peer, time.Duration, bool) {
	local.mu.Lock()
	defer local.mu.Unlock()

	return local.source, now.Sub(local.sourceConfirmedAt), local.source.Name != ""
}

// age returns the time since the table was last known to be up to date; false if it never was.
func (local *localTable) age(now time.Time) (time.Duration, bool) {
	local.mu.Lock()
	defer local.mu.Unlock()

	return now.Sub(local.confirmedAt), !local.confirmedAt.IsZero()
}

// lastConfirmed returns the time as of which the table was last known to be up to date, or the
// node's start if it never was.
func (local *localTable) lastConfirmed() time.Time {
	local.mu.Lock()
	defer local.mu.Unlock()

	if local.confirmedAt.IsZero() {
		return epoch
	}

	return local.confirmedAt
}

// readPosition returns the position to read changes after, and false if the whole table has to be
// read.
func (local *localTable) readPosition() (chutefeed.Position, bool) {
	local.mu.Lock()
	defer local.mu.Unlock()

	return local.table.Position(), local.synced
}

// requireFullRead makes the next read one of the whole table.
func (local *localTable) requireFullRead() {
	local.mu.Lock()
	defer local.mu.Unlock()

	local.synced = false
}

// setBehind records whether the last read left changes for the next one.
func (local *localTable) setBehind(behind bool) {
	local.mu.Lock()
	defer local.mu.Unlock()

	local.behind = behind
}

// isLateFailure reports whether a read that was sent at a time failed after a later one was answered: it was lost before,
// and shows nothing of the store now.
func (local *localTable) isLateFailure(answered bool, sentAt time.Time) bool {
	local.mu.Lock()
	defer local.mu.Unlock()

	if answered && sentAt.After(local.answeredSentAt) {
		local.answeredSentAt = sentAt
	}

	return !answered && sentAt.Before(local.answeredSentAt)
}

// recordStoreResult records whether the store answered, and reports whether that differs from the
// last time.
func (local *localTable) recordStoreResult(answered bool, now time.Time) bool {
	local.mu.Lock()
	defer local.mu.Unlock()

	changed := local.storeLost == answered
	if answered && local.storeLost {
		local.setStoreReturned(now)
	}
	local.storeLost = !answered

	return changed
}

// stateForFollowers returns what followers are sent.
func (local *localTable) stateForFollowers(now time.Time) chuteshare.TableState {
	local.mu.Lock()
	defer local.mu.Unlock()

	return chuteshare.TableState{
		Table: local.table, Current: local.synced && local.current && !local.behind, Age: local.ageLocked(now), Changed: local.changed,
	}
}

// ageLocked returns the time since the table was known to be up to date, 0 if it never was; the
// caller holds mu.
func (local *localTable) ageLocked(now time.Time) time.Duration {
	if local.confirmedAt.IsZero() {
		return 0
	}

	return max(now.Sub(local.confirmedAt), time.Millisecond)
}

// needsReview reports whether the rows have to be looked at although none has changed. That is so
// while the list settles or rows are retained, and once more after that.
//
// An upstream that was removed while the list settled is kept until then.
func (local *localTable) needsReview(now time.Time) bool {
	settling := local.isSettling(now)
	local.mu.Lock()
	defer local.mu.Unlock()
	review := local.dropExpired(now) || settling || local.wasSettling
	local.wasSettling = settling

	return review
}

// isSettling reports whether rows that are missing from the table may still come back.
func (local *localTable) isSettling(now time.Time) bool {
	local.mu.Lock()
	defer local.mu.Unlock()

	// Once the table was read in place of a source that is out of date, rows that are missing are gone.
	isSourceBehind := local.source.Name != "" && !local.current && !local.confirmedAt.After(local.outOfDateAt)

	return local.storeLost || local.behind || isSourceBehind ||
		!local.storeReturnedAt.IsZero() && now.Sub(local.storeReturnedAt) < settlePeriod
}
