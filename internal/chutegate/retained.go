package chutegate

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chutefeed"
)

// retainedRow is a row that was known before the store came back from a copy which lacks it, or has an
// earlier state of it.
type retainedRow struct {
	chutefeed.Row

	// copyVersion is the version of the copy's row, 0 if it has none. A row of another version was
	// written since the return.
	copyVersion uint64
	until       time.Time
}

// retainRows keeps the rows that the copy lacks or has earlier states of, for local.retainPeriod. Those who
// wrote them write them again in that time. next is the first state of the table in a new era. The caller
// holds mu.
func (local *localTable) retainRows(next chutefeed.Table) {
	now := local.now()
	retained := map[string]retainedRow{}
	if local.retainPeriod > 0 {
		for _, row := range local.withRetained(now).Rows() {
			restored, ok := next.Get(row.Key)
			if ok && (bytes.Equal(restored.Value, row.Value) || restored.Version > row.Version) {
				continue
			}
			retained[row.Key] = retainedRow{Row: row, copyVersion: restored.Version, until: now.Add(local.retainPeriod)}
		}
	}
	local.retained = retained
}

// withRetained returns the table with the rows that are retained; the caller holds mu.
func (local *localTable) withRetained(now time.Time) chutefeed.Table {
	var rows []chutefeed.Row
	for _, key := range slices.Sorted(maps.Keys(local.retained)) {
		retained := local.retained[key]
		current, _ := local.table.Get(key)
		if now.Before(retained.until) && current.Version == retained.copyVersion {
			rows = append(rows, retained.Row)
		}
	}
	if len(rows) == 0 {
		return local.table
	}

	return local.table.WithChange(chutefeed.Change{Rows: rows})
}

// effective returns the table with the rows that are retained since the store came back from a copy.
func (local *localTable) effective() chutefeed.Table {
	local.mu.Lock()
	defer local.mu.Unlock()

	return local.withRetained(local.now())
}

// snapshotWithRetained returns the present state of the table, and the same state with the rows that are
// retained.
func (local *localTable) snapshotWithRetained() (table, effective chutefeed.Table) {
	local.mu.Lock()
	defer local.mu.Unlock()

	return local.table, local.withRetained(local.now())
}

// lostRows returns the rows that are retained and have not been written again.
func (local *localTable) lostRows() []chutefeed.Row {
	local.mu.Lock()
	defer local.mu.Unlock()

	return local.withRetained(local.now()).ChangeSince(local.table).Rows
}

// dropExpired forgets retained rows whose time is over, and reports whether there were any retained rows;
// the caller holds mu.
func (local *localTable) dropExpired(now time.Time) bool {
	retained := len(local.retained) > 0
	maps.DeleteFunc(local.retained, func(_ string, row retainedRow) bool { return !now.Before(row.until) })

	return retained
}
