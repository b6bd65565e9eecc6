package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Doses of the trouble "give_up": every fourth client leaves, after half of the aim.
const (
	leaveEvery = 4 // 0.25 of the clients
	leaveAfter = 150 * time.Millisecond
)

// playLeave has some clients leave before the answer: they end the sending side of their connection, and note what the node
// still sends until it closes its own. Without the trouble all wait.
func playLeave(g *rig) bool {
	seen := newRuns()
	address := g.store.serve()
	answer := func(c *call) bool {
		id, n := seen.begin(c)
		defer seen.end(id, n)
		time.Sleep(400 * time.Millisecond)

		return c.ok("posted")
	}
	g.store.put("op", "config", config(3, []string{key}, []route{newRoute("r-posts", "/posts/", "unsafe", "forum-core", 1, 1500)}, plainService("forum-core")))
	for i := range 3 {
		g.startReplica(fmt.Sprintf("i-%d", i+1), "forum-core", fmt.Sprintf("zone-%c", 'a'+i), 6, answer)
	}
	for i := range 3 {
		g.startNode(fmt.Sprintf("edge-%c-1", 'a'+i), fmt.Sprintf("zone-%c", 'a'+i), address)
	}
	var mu sync.Mutex
	left, broken := 0, 0
	var wait sync.WaitGroup
	for i := range 80 {
		wait.Go(func() {
			id := fmt.Sprintf("leave-%04d", i)
			c, err := dial(g.nodes[i%3].frontend())
			if err != nil {
				g.note("%s: %v", id, err)

				return
			}
			defer func() { _ = c.conn.Close() }()
			began := time.Now()
			_ = c.conn.SetDeadline(began.Add(4 * time.Second))
			if _, err := c.conn.Write([]byte(requestText("POST", "/posts/new", id, key, "", "text"))); err != nil {
				g.note("%s: %v", id, err)

				return
			}
			leaves := g.trouble && i%leaveEvery == 0
			if leaves {
				time.Sleep(leaveAfter)
				_ = c.conn.(*net.TCPConn).CloseWrite()
			}
			got := c.read(began, "POST")
			mu.Lock()
			defer mu.Unlock()
			if leaves {
				left++
			}
			g.note("%s: left %t; the node sent: %v, body %q", id, leaves, got, got.body)
			if got.err == nil && got.status >= 200 && got.status < 300 && got.header.Get("X-Replica-Signature") == "" {
				broken++
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	wait.Wait()
	g.note("%d clients left; MIXED: %d got a success without a replica's signature, of a request that no replica had answered", left, broken)

	return broken > 0
}
