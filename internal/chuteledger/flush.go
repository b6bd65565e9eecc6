package chuteledger

import (
	"encoding/json"
	"time"
)

// NeedsFlush reports whether Due would hand out a row.
func (l Ledger) NeedsFlush(now time.Time) bool {
	for i := l.own.Iterator(); !i.Done(); {
		if _, s, _ := i.Next(); s.isDue(now) {
			return true
		}
	}
	for i := l.foreign.Iterator(); !i.Done(); {
		if _, s, _ := i.Next(); !now.Before(s.nextTry) {
			return true
		}
	}

	return false
}

// Due returns the rows to write now, the own ones first, and the ledger that will not hand them out again for a period.
// Each row is written on the condition of its Version, and its end reported by WithFlushed or WithRefused; a write
// that failed or whose answer was lost is reported by neither and comes again after the period.
func (l Ledger) Due(now time.Time) (Ledger, []Row, error) {
	return l.due(now, l.settings.RowsPerFlush, false)
}

// DueAtExit returns every row that is not known to be in the table, whether or not its period is over.
func (l Ledger) DueAtExit(now time.Time) (Ledger, []Row, error) {
	return l.due(now, l.own.Len()+l.foreign.Len(), true)
}

func (l Ledger) due(now time.Time, limit int, all bool) (Ledger, []Row, error) {
	var rows []Row
	next := now.Add(l.settings.FlushPeriod)
	for i := l.own.Iterator(); !i.Done() && len(rows) < limit; {
		n, s, _ := i.Next()
		if !s.isDue(now) && (!all || s.dirty.Len() == 0) {
			continue
		}
		row, err := s.row(RowKey(s.incarnation, n), s.counters)
		if err != nil {
			return l, rows, err
		}
		rows = append(rows, row)
		s.nextTry = next
		l.own = l.own.Set(n, s)
	}
	for i := l.foreign.Iterator(); !i.Done() && len(rows) < limit; {
		key, s, _ := i.Next()
		if now.Before(s.nextTry) && !all {
			continue
		}
		row, err := s.row(key, s.counters)
		if err != nil {
			return l, rows, err
		}
		rows = append(rows, row)
		s.nextTry = next
		l.foreign = l.foreign.Set(key, s)
	}

	return l, rows, nil
}

// Unflushed returns the own counters that are not known to be in the table, for peers to keep.
// A later row of the same key replaces an earlier one: what it leaves out has reached the table.
func (l Ledger) Unflushed() ([]Row, error) {
	var rows []Row
	for i := l.own.Iterator(); !i.Done(); {
		n, s, _ := i.Next()
		if s.dirty.Len() == 0 {
			continue
		}
		part := NewCounters()
		for j := s.dirty.Iterator(); !j.Done(); {
			key, _, _ := j.Next()
			part = part.With(key, s.counters.Get(key))
		}
		row, err := s.row(RowKey(s.incarnation, n), part)
		if err != nil {
			return rows, err
		}
		rows = append(rows, row)
	}

	return rows, nil
}

// WithFlushed records that the row was written and now has the given table version.
func (l Ledger) WithFlushed(row Row, version uint64) Ledger {
	if row.Incarnation != l.settings.Incarnation {
		return l.withForeignFlushed(row, version)
	}
	n := ShardOfKey(row.Key)
	s, ok := l.own.Get(n)
	if !ok {
		return l
	}
	// Counters that changed while the write was under way stay dirty; without this they would
	// wait for the next charge of the same shard, and be lost if the node dies first.
	s.dirty = withoutUpTo(s, row.Mark)
	s.version = max(s.version, version)
	l.own = l.own.Set(n, s)

	return l
}

func (l Ledger) withForeignFlushed(row Row, version uint64) Ledger {
	s, ok := l.foreign.Get(row.Key)
	if !ok {
		return l
	}
	if s.mark <= row.Mark {
		l.foreign = l.foreign.Delete(row.Key)

		return l
	}
	s.version = max(s.version, version)
	s.nextTry = time.Time{}
	l.foreign = l.foreign.Set(row.Key, s)

	return l
}

// WithRefused records that the row was not written because the table holds another version of it.
// Present is the table's row, version 0 where it is absent.
//
// The row in the table may hold counters that this node lacks, or be the own write whose answer was lost. A
// dead node's row is merged first, and a row that holds everything counts as flushed.
func (l Ledger) WithRefused(row Row, version uint64, present json.RawMessage) (Ledger, error) {
	counters := NewCounters()
	if version != 0 {
		incarnation, decoded, err := Decode(present)
		if err != nil {
			return l, err
		}
		if incarnation == row.Incarnation {
			counters = decoded
		}
	}
	if row.Incarnation == l.settings.Incarnation {
		return l.withOwnRefused(row, version, counters), nil
	}

	return l.withForeignRefused(row, version, counters), nil
}

func (l Ledger) withOwnRefused(row Row, version uint64, present Counters) Ledger {
	n := ShardOfKey(row.Key)
	s, ok := l.own.Get(n)
	if !ok {
		return l
	}
	s.version = version
	s.nextTry = time.Time{}
	for i := s.dirty.Iterator(); !i.Done(); {
		key, _, _ := i.Next()
		if present.Get(key).Covers(s.counters.Get(key)) {
			s.dirty = s.dirty.Delete(key)
		}
	}
	l.own = l.own.Set(n, s)

	return l
}

func (l Ledger) withForeignRefused(row Row, version uint64, present Counters) Ledger {
	s, ok := l.foreign.Get(row.Key)
	if !ok {
		return l
	}
	if present.Covers(s.counters) {
		l.foreign = l.foreign.Delete(row.Key)

		return l
	}
	s.counters = s.counters.Merge(present)
	s.version = version
	s.mark++
	s.nextTry = time.Time{}
	l.foreign = l.foreign.Set(row.Key, s)

	return l
}

func (s shard) isDue(now time.Time) bool {
	return s.dirty.Len() > 0 && !now.Before(s.nextTry)
}

func (s shard) row(key string, counters Counters) (Row, error) {
	body, err := Encode(s.incarnation, counters)
	if err != nil {
		return Row{}, err
	}

	return Row{Key: key, Incarnation: s.incarnation, Version: s.version, Mark: s.mark, Body: body}, nil
}

func withoutUpTo(s shard, mark uint64) *dirtyMap {
	dirty := s.dirty
	for i := s.dirty.Iterator(); !i.Done(); {
		if key, changed, _ := i.Next(); changed <= mark {
			dirty = dirty.Delete(key)
		}
	}

	return dirty
}
