package chuteledger

import (
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"

	"azurechute.example/azurechute/internal/chuterequest"
)

// Defaults of Settings.
const (
	DefaultShards       = 1
	DefaultSeenLimit    = 65536
	DefaultRowsPerFlush = 16
)

// Settings bounds what a ledger keeps and writes.
type Settings struct {
	// Incarnation names this run of this node.
	Incarnation string
	// Shards is the number of rows that the own counters are spread over; it stays the same for an incarnation.
	Shards int
	// FlushPeriod is the time between two writes of one row.
	FlushPeriod time.Duration
	// SeenLimit bounds the charged attempts that are remembered.
	SeenLimit int
	// RowsPerFlush bounds the rows that one call of Due hands out.
	RowsPerFlush int
}

// Charge is what one attempt consumed and whom it is charged to.
type Charge struct {
	Attempt   chuterequest.AttemptID
	Team      string
	Workspace string
	Pipeline  string
	Stage     string
	Usage     chuterequest.Usage
	// Cost is in micro-credits, from Cost at the prices of the configuration in force.
	Cost int64
	// Wasted says that no caller got the attempt's result: a lost hedge or an abandoned attempt.
	Wasted bool
}

// Ledger is the immutable state of one node's counters and of the dead nodes' counters that it flushes.
type Ledger struct {
	settings Settings
	seen     window
	// mark counts the changes of the own counters.
	mark    uint64
	own     *immutable.SortedMap[int, shard]
	foreign *immutable.SortedMap[string, shard]
}

// shard is what a ledger knows of one row.
type shard struct {
	incarnation string
	counters    Counters
	// mark numbers the last change, and dirty the last change of each counter that is not known to be in the table.
	mark  uint64
	dirty *dirtyMap
	// version is the row's version in the table, as far as known.
	version uint64
	nextTry time.Time
}

// dirtyMap holds the mark of the last change of each counter.
type dirtyMap = immutable.Map[Key, uint64]

// New returns an empty ledger.
func New(s Settings) Ledger {
	s.Shards = orDefault(s.Shards, DefaultShards)
	s.SeenLimit = orDefault(s.SeenLimit, DefaultSeenLimit)
	s.RowsPerFlush = orDefault(s.RowsPerFlush, DefaultRowsPerFlush)

	return Ledger{
		settings: s,
		seen:     newWindow(s.SeenLimit),
		own:      immutable.NewSortedMap[int, shard](nil),
		foreign:  immutable.NewSortedMap[string, shard](nil),
	}
}

// WithFlushPeriod returns the ledger with another time between two writes of one row.
func (l Ledger) WithFlushPeriod(period time.Duration) Ledger {
	l.settings.FlushPeriod = period

	return l
}

// WithCharge adds one attempt to its counter; an attempt that was charged before changes nothing.
func (l Ledger) WithCharge(c Charge) Ledger {
	if l.seen.has(c.Attempt) {
		return l
	}
	l.seen = l.seen.with(c.Attempt)
	l.mark++
	key := Key{Team: c.Team, Workspace: c.Workspace, Pipeline: c.Pipeline, Stage: c.Stage, Wasted: c.Wasted}
	n := l.shardOf(key)
	s, ok := l.own.Get(n)
	if !ok {
		s = newShard(l.settings.Incarnation)
	}
	added := Count{
		Calls:       1,
		Units:       c.Usage.Units,
		PromptUnits: c.Usage.PromptUnits,
		CachedUnits: c.Usage.CachedUnits,
		Cost:        c.Cost,
	}
	s.counters = s.counters.With(key, s.counters.Get(key).Plus(added))
	s.dirty = s.dirty.Set(key, l.mark)
	s.mark = l.mark
	l.own = l.own.Set(n, s)

	return l
}

// WithForeign merges counters of a dead node's incarnation, so that they get into the table through this node.
// The own incarnation is ignored: nobody knows its counters better than this node.
func (l Ledger) WithForeign(incarnation string, counters Counters) Ledger {
	if incarnation == l.settings.Incarnation || counters.Len() == 0 {
		return l
	}
	parts := map[int]Counters{}
	for key, count := range counters.All() {
		n := l.shardOf(key)
		parts[n] = parts[n].With(key, count)
	}
	for n, part := range parts {
		l = l.withForeignShard(incarnation, n, part)
	}

	return l
}

func (l Ledger) withForeignShard(incarnation string, n int, part Counters) Ledger {
	rowKey := RowKey(incarnation, n)
	s, ok := l.foreign.Get(rowKey)
	if !ok {
		s = newShard(incarnation)
	}
	if s.counters.Covers(part) {
		return l
	}
	s.counters = s.counters.Merge(part)
	s.mark++
	l.foreign = l.foreign.Set(rowKey, s)

	return l
}

// WithTableRestored returns the ledger with all own counters to be written again: the table may have lost any of
// them. A write is refused by the version that the row has now, which brings the table's counters.
func (l Ledger) WithTableRestored() Ledger {
	for i := l.own.Iterator(); !i.Done(); {
		n, s, _ := i.Next()
		for key := range s.counters.All() {
			if _, dirty := s.dirty.Get(key); !dirty {
				s.dirty = s.dirty.Set(key, s.mark)
			}
		}
		s.nextTry = time.Time{}
		l.own = l.own.Set(n, s)
	}

	return l
}

// Counters returns the own counters, all shards together.
func (l Ledger) Counters() Counters {
	all := NewCounters()
	for i := l.own.Iterator(); !i.Done(); {
		_, s, _ := i.Next()
		all = all.Merge(s.counters)
	}

	return all
}

// shardOf spreads by team and workspace: teams alone are few and uneven, so that one of them would fill its row.
func (l Ledger) shardOf(key Key) int {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key.Team)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key.Workspace)

	return int(d.Sum64() % uint64(l.settings.Shards)) //nolint:gosec // Shards is at least 1 and the result below it
}

func newShard(incarnation string) shard {
	return shard{
		incarnation: incarnation,
		counters:    NewCounters(),
		dirty:       immutable.NewMap[Key, uint64](keyHasher{}),
	}
}

func orDefault(n, fallback int) int {
	if n <= 0 {
		return fallback
	}

	return n
}
