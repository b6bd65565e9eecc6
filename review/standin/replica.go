package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the time between two writes of a replica's entry; after three of silence the store removes it.
	heartbeat = 1200 * time.Millisecond
	work      = 30 * time.Millisecond
)

// replica is one replica of a service; each start is a new incarnation with a new id.
type replica struct {
	d             *deployment
	service, zone string
	ip            string
	stage         bool

	mu       sync.Mutex
	id       string
	address  string
	server   *http.Server
	lastBeat time.Time
	starts   int
}

// start starts an incarnation.
func (r *replica) start() error {
	l, err := net.Listen("tcp", r.ip+":0")
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.starts++
	r.id = fmt.Sprintf("i-%s-%s-%d", r.service, r.zone, r.starts)
	r.address = l.Addr().String()
	r.server = &http.Server{Handler: r}
	server, id := r.server, r.id
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go r.beat(id)
	r.d.logf("replica %s starts", id)

	return nil
}

// crash ends the incarnation without a word.
func (r *replica) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.d.logf("replica %s crashes", r.id)
	r.id = ""
	_ = r.server.Close()
}

// beat writes the entry until the incarnation ends, and three heartbeats later the store removes it.
func (r *replica) beat(id string) {
	sequence := 0
	for {
		r.mu.Lock()
		current, address := r.id, r.address
		r.mu.Unlock()
		if current != id {
			break
		}
		sequence++
		r.d.store.put("servers", id, map[string]any{
			"service": r.service, "address": address, "zone": r.zone, "version": "v1", "concurrency": 6, "state": "ready",
			"warmup_left_ms": 0, "sequence": sequence,
		})
		time.Sleep(heartbeat)
	}
	time.Sleep(2 * heartbeat)
	r.d.store.put("servers", id, nil)
	r.d.logf("the store removes the entry of %s", id)
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	id := r.id
	r.mu.Unlock()
	if want := q.Header.Get("X-Expected-Replica"); want != "" && want != id {
		w.Header().Set("X-Replica-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	switch {
	case q.URL.Path == "/api/stage-run":
		var call struct {
			Items []map[string]any `json:"items"`
		}
		_ = json.Unmarshal(body, &call)
		time.Sleep(work)
		var items []map[string]string
		for i := range call.Items {
			items = append(items, map[string]string{"ref": fmt.Sprintf("%s/%d", q.Host, time.Now().UnixNano()+int64(i))})
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items})

		return
	case strings.HasPrefix(q.URL.Path, "/api/"):
		w.WriteHeader(http.StatusOK)

		return
	}
	request := q.Header.Get("X-Request-Id")
	if request == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)

		return
	}
	r.d.logf("replica %s runs %s", id, request)
	time.Sleep(work)
	w.Header().Set("X-Request-Id", request)
	w.Header().Set("X-Replica-Signature", id+"."+request)
	_, _ = fmt.Fprintf(w, "answer to %s", request)
}
