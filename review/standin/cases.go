package main

import (
	"fmt"
	"syscall"
	"time"
)

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}
}

func stageService(name string) map[string]any {
	s := plainService(name)
	s["segments"] = map[string]any{"concurrency": 1, "queue": 2, "batch": 8, "call_cost_ms": 50.0, "item_cost_ms": 5.0, "headroom_mb": 42.0, "ref_ttl_s": 4.0, "bandwidth_mbps": 10000}

	return s
}

// setUp starts two services with a replica in each of three zones, and a machine in each zone.
func (d *deployment) setUp(services []map[string]any, routes ...map[string]any) bool {
	d.putConfig(3, services, routes...)
	for n, s := range services {
		for i, zone := range zones {
			r := &replica{d: d, service: s["name"].(string), zone: zone, ip: fmt.Sprintf("127.0.8.%d", 10*n+i+1)}
			if err := r.start(); err != nil {
				d.logf("can't run: %v", err)

				return false
			}
			d.replicas = append(d.replicas, r)
		}
	}
	for i, zone := range zones {
		r, err := d.addRelay(zone, i+1)
		if err == nil {
			err = r.start()
		}
		if err != nil {
			d.logf("can't run: %v", err)

			return false
		}
	}

	return d.awaitReady()
}

// replicasGone: RECOVER. All processes of the system are killed and are back after a second; with trouble, the replicas
// crash at the same moment and are back after 5 s.
func replicasGone(d *deployment, trouble bool) int {
	const recovery = 12 * time.Second
	if !d.setUp([]map[string]any{plainService("forum-core"), plainService("alerts")},
		route("post", "/a/", "safe", "forum-core"), route("alert", "/b/", "safe", "alerts")) {
		return 2
	}
	count := func(d0 time.Duration) (served, sent int) {
		for end, i := time.Now().Add(d0), 0; time.Now().Before(end); i++ {
			r := d.relays[i%len(d.relays)]
			sent++
			if _, ok := d.send(r, "GET", []string{"/a/x", "/b/x"}[i/3%2], nil); ok {
				served++
			}
			time.Sleep(50 * time.Millisecond)
		}

		return served, sent
	}
	before, sentBefore := count(5 * time.Second)
	d.logf("before the final fault %d of %d requests were served", before, sentBefore)
	if 4*before < sentBefore {
		return 2
	}
	for _, r := range d.relays {
		r.signal(syscall.SIGKILL)
	}
	if trouble {
		for _, r := range d.replicas {
			r.crash()
		}
	}
	time.Sleep(time.Second)
	for _, r := range d.relays {
		if r.start() != nil {
			return 2
		}
	}
	back := time.Now()
	count(4 * time.Second)
	if trouble {
		for _, r := range d.replicas {
			if r.start() != nil {
				return 2
			}
		}
	}
	count(time.Until(back.Add(recovery)))
	after, sentAfter := count(10 * time.Second)
	d.logf("later than 12 s after the machines were back %d of %d requests were served", after, sentAfter)
	if 4*after < sentAfter {
		return 1
	}

	return 0
}

// badChunks: a client's X-Chunks holds a number that no stage can have.
func badChunks(d *deployment, trouble bool) int {
	if !d.setUp([]map[string]any{plainService("forum-core"), stageService("profiles")},
		route("post", "/a/", "safe", "forum-core", map[string]any{"service": "profiles", "after": []int{}, "byte_count": 1000})) {
		return 2
	}
	for i := range 12 {
		r := d.relays[i%len(d.relays)]
		chunks := "2"
		if trouble && i%4 == 3 {
			chunks = "-1"
		}
		d.send(r, "GET", "/a/x", map[string]string{"X-Chunks": chunks, "X-Chunk-Key": "k"})
		time.Sleep(200 * time.Millisecond)
	}
	ends := 0
	for _, r := range d.relays {
		r.mu.Lock()
		ends += r.ends
		r.mu.Unlock()
	}
	if ends > 0 {
		return 1
	}

	return 0
}
