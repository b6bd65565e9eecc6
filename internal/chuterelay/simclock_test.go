package chuterelay

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// simEvent is something that happens at a time of a simulation.
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

// simClock is simulated time with what is to happen in it, drawn from a seed.
type simClock struct {
	random *rand.Rand
	now    time.Time
	queue  simQueue
	events int
}

func newSimClock(seed uint64) *simClock {
	return &simClock{random: rand.New(rand.NewPCG(seed, 2)), now: start}
}

// after does something later.
func (c *simClock) after(d time.Duration, what func()) {
	c.events++
	heap.Push(&c.queue, simEvent{at: c.now.Add(d), id: c.events, what: what})
}

// between draws a time.
func (c *simClock) between(least, most time.Duration) time.Duration {
	return least + time.Duration(c.random.Int64N(int64(most-least)))
}

// every does something again and again, with pauses of a mean length.
func (c *simClock) every(mean time.Duration, what func()) {
	c.after(c.between(mean/2, mean+mean/2), func() {
		what()
		c.every(mean, what)
	})
}

// runUntil lets happen what is due before a time.
func (c *simClock) runUntil(until time.Time) {
	for len(c.queue) > 0 && c.now.Before(until) {
		e := heap.Pop(&c.queue).(simEvent)
		c.now = e.at
		e.what()
	}
}
