package chutestandin

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/benbjohnson/immutable"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

const (
	defaultReadLimit = 500
	maxReadLimit     = 5000
)

// TableSettings sets up a Table; zero rates mean no limit.
type TableSettings struct {
	WritesPerSecond int             `help:"Transactions a second before 429; 0 means no limit."`
	ReadsPerSecond  int             `help:"Reads a second before 429; 0 means no limit."`
	Clock           clockwork.Clock `json:"-" kong:"-"`
}

// Table is the stand-in for the transactional table service.
type Table struct {
	*injector
	mux    *http.ServeMux
	writes *rate.Limiter
	reads  *rate.Limiter

	mu      sync.Mutex
	rows    *immutable.SortedMap[string, tableRow]
	version uint64
	stats   TableStats
}

// TableStats counts what the table did, for GET /stats.
type TableStats struct {
	Rows, Committed, Conflicts, Reads, Limited int
}

type tableRow struct {
	Key     string
	Value   json.RawMessage
	Version uint64
}

type tableCondition struct {
	Key     string
	Version uint64
}

type tableWrite struct {
	Key    string
	Value  json.RawMessage
	Delete bool
}

type transactRequest struct {
	Conditions []tableCondition
	Writes     []tableWrite
}

type transactReply struct {
	Committed bool
	Rows      []tableRow
}

type readRequest struct {
	Keys          []string
	Prefix, After string
	Limit         int
}

type readReply struct {
	Rows []tableRow
}

// NewTable returns an empty table.
func NewTable(settings TableSettings) *Table {
	t := &Table{
		injector: newInjector(clockOr(settings.Clock)),
		mux:      http.NewServeMux(),
		writes:   newLimiter(settings.WritesPerSecond),
		reads:    newLimiter(settings.ReadsPerSecond),
		rows:     immutable.NewSortedMap[string, tableRow](nil),
	}
	t.mux.HandleFunc("/faults", t.serveFaults)
	t.mux.HandleFunc("POST /v1/transact", jsonCall(t.serveTransact))
	t.mux.HandleFunc("POST /v1/read", jsonCall(t.serveRead))
	t.mux.HandleFunc("GET /stats", t.serveStats)

	return t
}

func clockOr(clock clockwork.Clock) clockwork.Clock {
	if clock == nil {
		return clockwork.NewRealClock()
	}

	return clock
}

// newLimiter allows bursts of a tenth of a second's calls.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}

	return rate.NewLimiter(rate.Limit(perSecond), max(perSecond/10, 1))
}

// ServeHTTP serves the table's protocol.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mux.ServeHTTP(w, r)
}

func (t *Table) serveTransact(w http.ResponseWriter, r *http.Request, req transactRequest) {
	if err := req.check(); err != nil {
		badRequest("Writes", err).write(w)
		return
	}

	t.plain(w, r, req.family(), func() reply {
		if !t.writes.AllowN(t.clock.Now(), 1) {
			return t.limited()
		}

		return reply{status: http.StatusOK, body: t.transact(req)}
	})
}

func (req transactRequest) check() error {
	seen := map[string]bool{}
	for _, write := range req.Writes {
		switch {
		case write.Key == "":
			return errNoKey
		case seen[write.Key]:
			return errors.New("a key is written twice")
		case !write.Delete && len(write.Value) == 0:
			return errors.New("a write needs a Value or Delete")
		}

		seen[write.Key] = true
	}

	return nil
}

// family is the first part of the first key, so that a fault can be limited to, say, claims.
func (req transactRequest) family() string {
	switch {
	case len(req.Writes) > 0:
		return keyFamily(req.Writes[0].Key)
	case len(req.Conditions) > 0:
		return keyFamily(req.Conditions[0].Key)
	default:
		return ""
	}
}

func keyFamily(key string) string {
	family, _, _ := strings.Cut(key, "/")
	return family
}

func (t *Table) limited() reply {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Limited++

	return reply{
		status: http.StatusTooManyRequests,
		header: map[string]string{"Retry-After": "1"},
		body:   errorBody{Error: "over the table's rate"},
	}
}

func (t *Table) transact(req transactRequest) transactReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	failed := false
	rows := []tableRow{}
	for _, condition := range req.Conditions {
		row, present := t.rows.Get(condition.Key)
		if row.Version == condition.Version {
			continue
		}

		failed = true
		if present {
			rows = append(rows, row)
		}
	}

	if failed {
		t.stats.Conflicts++
		return transactReply{Rows: rows}
	}

	for _, write := range req.Writes {
		if write.Delete {
			t.rows = t.rows.Delete(write.Key)
			continue
		}

		t.version++
		row := tableRow{Key: write.Key, Value: write.Value, Version: t.version}
		t.rows = t.rows.Set(write.Key, row)
		rows = append(rows, row)
	}

	t.stats.Committed++

	return transactReply{Committed: true, Rows: rows}
}

func (t *Table) serveRead(w http.ResponseWriter, r *http.Request, req readRequest) {
	family := keyFamily(req.Prefix)
	if len(req.Keys) > 0 {
		family = keyFamily(req.Keys[0])
	}

	t.plain(w, r, family, func() reply {
		if !t.reads.AllowN(t.clock.Now(), 1) {
			return t.limited()
		}

		return reply{status: http.StatusOK, body: readReply{Rows: t.read(req)}}
	})
}

func (t *Table) read(req readRequest) []tableRow {
	t.mu.Lock()
	t.stats.Reads++
	rows := t.rows
	t.mu.Unlock()
	found := []tableRow{}
	if len(req.Keys) > 0 {
		keys := slices.Sorted(slices.Values(req.Keys))
		for _, key := range slices.Compact(keys) {
			if row, ok := rows.Get(key); ok {
				found = append(found, row)
			}
		}

		return found
	}

	limit := req.Limit
	if limit <= 0 {
		limit = defaultReadLimit
	}

	iterator := rows.Iterator()
	iterator.Seek(max(req.Prefix, req.After))
	for !iterator.Done() && len(found) < min(limit, maxReadLimit) {
		key, row, _ := iterator.Next()
		if !strings.HasPrefix(key, req.Prefix) {
			break
		}

		if key > req.After {
			found = append(found, row)
		}
	}

	return found
}

func (t *Table) serveStats(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	stats := t.stats
	stats.Rows = t.rows.Len()
	t.mu.Unlock()
	reply{status: http.StatusOK, body: stats}.write(w)
}
