package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store as it stands in JSON.
type row struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	RowVersion uint64 `json:"row_version"`
	Deleted    bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in of the platform's metadata store: it keeps all rows and all history, answers after 4 ms, loses nothing.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version uint64
	changed chan struct{}
	began   time.Time
	closed  bool

	listener net.Listener
	server   *http.Server
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), began: time.Now()}
}

// serve answers at a loopback address and returns it.
func (s *store) serve() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.listener, s.server = l, &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()

	return l.Addr().String()
}

// stop closes the address and all connections to it.
func (s *store) stop() { _ = s.server.Close() }

// put writes a row as the operator or a replica does.
func (s *store) put(table, key string, value any) {
	body, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: body, RowVersion: s.version})
	s.notify()
}

// remove deletes a row as the platform does.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, RowVersion: s.version, Deleted: true})
	s.notify()
}

// write applies one change; the caller holds mu.
func (s *store) write(r row) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// copyTo copies all rows with their versions into another store.
func (s *store) copyTo(other *store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	other.mu.Lock()
	defer other.mu.Unlock()
	other.version = s.version
	other.history = append([]row(nil), s.history...)
	for k, r := range s.rows {
		other.rows[k] = r
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	switch r.Method + " " + r.URL.Path {
	case "GET /api/rows-get":
		s.get(w, r)
	case "GET /api/rows-feed":
		s.feed(w, r)
	case "GET /api/rows-parts":
		s.reply(w, 200, map[string]any{"parts": []string{""}, "has_more": false})
	case "POST /api/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(404)
	}
}

// reply sends a JSON body with the newest version, which the caller must have read under mu.
func (s *store) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["timestamp_ms"] = time.Since(s.began).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	rows := []row{}
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, v)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	s.reply(w, 200, map[string]any{"rows": rows, "has_more": more, "row_version": version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.After(time.Duration(min(waitMs, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []row{}
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.RowVersion > after {
				rows = append(rows, h)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.reply(w, 200, map[string]any{"rows": rows, "row_version": version})

			return
		}
		select {
		case <-changed:
		case <-until:
			s.reply(w, 200, map[string]any{"rows": rows, "row_version": version})

			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		ExpectedRevision []row `json:"expected_revision"`
		Write            []row `json:"write"`
		Remove           []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(400)

		return
	}
	s.mu.Lock()
	current, conflict := []row{}, false
	for _, e := range tx.ExpectedRevision {
		have, ok := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if have.RowVersion != e.RowVersion {
			conflict = true
		}
		if ok {
			current = append(current, have)
		}
	}
	if !conflict {
		s.version++
		for _, e := range tx.Write {
			e.RowVersion, e.Deleted = s.version, false
			s.write(e)
		}
		for _, e := range tx.Remove {
			e.RowVersion, e.Deleted, e.Value = s.version, true, nil
			s.write(e)
		}
		s.notify()
	}
	version := s.version
	s.mu.Unlock()
	if conflict {
		s.reply(w, 412, map[string]any{"rows": current, "row_version": version})

		return
	}
	s.reply(w, 200, map[string]any{"row_version": version})
}
