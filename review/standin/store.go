package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store.
type store struct {
	mu      sync.Mutex
	changed *sync.Cond
	started time.Time
	version uint64
	rows    map[[3]string]row
	changes []row
	down    bool
}

func newStore() *store {
	s := &store{rows: map[[3]string]row{}, started: time.Now(), version: 1}
	s.changed = sync.NewCond(&s.mu)
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.changed.Broadcast()
		}
	}()

	return s
}

// apply writes or, with a nil value, removes a row; the caller holds mu and has raised the version.
func (s *store) apply(r row) {
	r.Version = s.version
	id := [3]string{r.Table, r.Part, r.Key}
	if r.Deleted {
		if _, ok := s.rows[id]; !ok {
			return
		}
		delete(s.rows, id)
		r.Value = nil
	} else {
		s.rows[id] = r
	}
	s.changes = append(s.changes, r)
}

// put writes a row as the operator or a replica does, or removes it if value is nil.
func (s *store) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r := row{Table: table, Key: key, Deleted: value == nil}
	if value != nil {
		r.Value, _ = json.Marshal(value)
	}
	s.apply(r)
	s.changed.Broadcast()
}

func (s *store) reply(w http.ResponseWriter, status int, extra map[string]any) {
	extra["row_version"] = s.version
	extra["timestamp_ms"] = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(extra)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}
	switch r.URL.Path {
	case "/api/rows-get":
		s.get(w, r)
	case "/api/rows-feed":
		s.feed(w, r)
	case "/api/rows-tx":
		s.transact(w, r)
	case "/api/rows-parts":
		parts := map[string]bool{}
		for id := range s.rows {
			if id[0] == r.FormValue("table") {
				parts[id[1]] = true
			}
		}
		all := []string{}
		for p := range parts {
			all = append(all, p)
		}
		sort.Strings(all)
		s.reply(w, http.StatusOK, map[string]any{"parts": all, "has_more": false})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	rows := []row{}
	for id, x := range s.rows {
		if id[0] == r.FormValue("table") && id[1] == r.FormValue("part") && id[2] >= r.FormValue("from") &&
			(r.FormValue("to") == "" || id[2] < r.FormValue("to")) {
			rows = append(rows, x)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	limit := 500
	if n, err := strconv.Atoi(r.FormValue("limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	s.reply(w, http.StatusOK, map[string]any{"rows": rows, "has_more": more})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	until := time.Now().Add(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		rows := []row{}
		for i := len(s.changes) - 1; i >= 0 && s.changes[i].Version > after; i-- {
			if s.changes[i].Table == r.FormValue("table") {
				rows = append(rows, s.changes[i])
			}
		}
		sort.SliceStable(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
		if len(rows) > 0 || !time.Now().Before(until) || r.Context().Err() != nil {
			s.reply(w, http.StatusOK, map[string]any{"rows": rows})

			return
		}
		s.changed.Wait()
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected_revision"`
		Write    []row `json:"write"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)

		return
	}
	conflict, current := false, []row{}
	for _, e := range tx.Expected {
		known, ok := s.rows[[3]string{e.Table, e.Part, e.Key}]
		if ok {
			current = append(current, known)
		}
		conflict = conflict || known.Version != e.Version
	}
	if conflict {
		s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current})

		return
	}
	s.version++
	for _, x := range tx.Write {
		s.apply(x)
	}
	for _, x := range tx.Remove {
		x.Deleted = true
		s.apply(x)
	}
	s.changed.Broadcast()
	s.reply(w, http.StatusOK, map[string]any{})
}
