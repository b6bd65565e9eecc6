package chuterelay

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// simEvent is a function that runs at a simulated time.
type simEvent struct {
	at   time.Time
	id   int
	what func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].id < q[j].id
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(e any)   { *q = append(*q, e.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]

	return last
}

// simClock holds the simulated time, the queue of events and a seeded random source.
type simClock struct {
	random *rand.Rand
	now    time.Time
	queue  simQueue
	events int
}

func newSimClock(seed uint64) *simClock {
	return &simClock{random: rand.New(rand.NewPCG(seed, 2)), now: start}
}

// after schedules a function to run after a delay.
func (c *simClock) after(d time.Duration, what func()) {
	c.events++
	heap.Push(&c.queue, simEvent{at: c.now.Add(d), id: c.events, what: what})
}

// between returns a random duration.
func (c *simClock) between(least, most time.Duration) time.Duration {
	return least + time.Duration(c.random.Int64N(int64(most-least)))
}

// every runs a function repeatedly, at intervals with the given mean.
func (c *simClock) every(mean time.Duration, what func()) {
	c.after(c.between(mean/2, mean+mean/2), func() {
		what()
		c.every(mean, what)
	})
}

// runUntil runs the events that are due before a time.
func (c *simClock) runUntil(until time.Time) {
	for len(c.queue) > 0 && c.now.Before(until) {
		e := heap.Pop(&c.queue).(simEvent)
		c.now = e.at
		e.what()
	}
}
