package chuteadmission

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"azurechute.example/azurechute/internal/chuterequest"
)

// Queue is one node's waiting work over all pools; immutable.
type Queue struct {
	fair bool
	seq  uint64
	// items ranks all waiters by their latest start, so that Hopeless costs one comparison when there is none.
	items treap[*item]
	pools *immutable.Map[string, *pool]
}

// NewQueue returns an empty queue; not fair means first come, first served.
func NewQueue(fair bool) Queue {
	return Queue{fair: fair, pools: immutable.NewMap[string, *pool](nameHasher{})}
}

// WithWaiter adds a waiter, in place of any that has its key.
func (q Queue) WithWaiter(w Waiter) Queue {
	q = q.Without(w.Key)
	q.seq++
	i := q.item(w)
	q.items = q.items.with(i.latestStart(), i)

	return q.withPool(w.Pool, q.pool(w.Pool).with(i, q.fair))
}

// Without takes a waiter out, if it is there, and charges nobody.
func (q Queue) Without(key chuterequest.Key) Queue {
	i, ok := q.items.get(requestKey(key))
	if !ok {
		return q
	}
	q.items = q.items.without(i.key)
	name := i.waiter.Pool

	return q.withPool(name, q.pool(name).without(i, q.fair))
}

// WithFair returns the queue under the other rule, with the same waiters in their order of arrival.
//
// Debts are forgotten; the pools' rates stay.
func (q Queue) WithFair(fair bool) Queue {
	if q.fair == fair {
		return q
	}
	items := make([]*item, 0, q.items.size)
	q.items.each(func(i *item) { items = append(items, i) })
	slices.SortFunc(items, func(a, b *item) int { return cmp.Compare(a.seq, b.seq) })
	next := NewQueue(fair)
	for itr := q.pools.Iterator(); !itr.Done(); {
		name, p, _ := itr.Next()
		rates := pool{took: p.took, samples: p.samples, inFlight: p.inFlight}
		next = next.withPool(name, rates)
	}
	for _, i := range items {
		next = next.WithWaiter(i.waiter)
	}

	return next
}

// WithTypical tells the time that a call of the pool is assumed to take until one has been measured.
func (q Queue) WithTypical(pool string, took time.Duration) Queue {
	p := q.pool(pool)
	if p.samples > 0 || p.took == float64(took) {
		return q
	}
	p.took = float64(took)

	return q.withPool(pool, p)
}

// Peek returns the waiter that Next would take.
func (q Queue) Peek(pool string) (Waiter, bool) {
	i := q.pool(pool).first()
	if i == nil {
		return Waiter{}, false
	}

	return i.waiter, true
}

// Next takes out the waiter whose turn it is and charges its share with the expected cost.
//
// Each waiter taken must be followed by one WithDone, with no time at all if it
// was not handed to an upstream after all.
func (q Queue) Next(pool string) (Waiter, Queue, bool) {
	p := q.pool(pool)
	i := p.first()
	if i == nil {
		return Waiter{}, q, false
	}

	q.items = q.items.without(i.key)

	return i.waiter, q.withPool(pool, p.picked(i, q.fair)), true
}

// WithPassed lets a waiter go at once, past a pool's empty queue: the same as WithWaiter and Next, for less work.
//
// It must be followed by one WithDone too, and is not meant for a pool in which others wait.
func (q Queue) WithPassed(w Waiter) Queue {
	i := q.item(w)

	return q.withPool(w.Pool, q.pool(w.Pool).passed(&i.sharer))
}

// WithDone ends one call that Next had let go: its share is charged with the
// time it took, and a time above zero counts towards the pool's rate.
func (q Queue) WithDone(pool, team, workspace string, took time.Duration) Queue {
	i := q.item(Waiter{Team: team, Workspace: workspace})

	return q.withPool(pool, q.pool(pool).done(&i.sharer, took))
}

// Hopeless takes out the waiters that can no longer finish: now and what they need is past their deadline.
func (q Queue) Hopeless(now time.Time) ([]Waiter, Queue) {
	var hopeless []Waiter
	for {
		i, latest, ok := q.items.lowest()
		if !ok || latest.at >= now.UnixNano() {
			return hopeless, q
		}
		hopeless = append(hopeless, i.waiter)
		q = q.Without(i.waiter.Key)
	}
}

// Len counts the waiters of a pool.
func (q Queue) Len(pool string) int {
	return q.pool(pool).count
}

// Wait is how long a waiter that comes now is expected to wait for its pool, in which free slots are believed free.
func (q Queue) Wait(w Waiter, free int) time.Duration {
	q.seq++

	return q.pool(w.Pool).wait(q.item(w), max(free, 0), q.fair)
}

// minRetryAfter keeps callers that were turned away from coming back at once.
const minRetryAfter = 100 * time.Millisecond

// Predict tells whether a waiter that comes now can finish by its deadline.
//
// Only the wait for its own pool is in the prediction: add the Wait for later
// stages' pools to Needs, or a request is let in to a free first stage and dies
// in the queue of a saturated later one.
func (q Queue) Predict(w Waiter, free int, now time.Time) Prediction {
	wait := q.Wait(w, free)
	finish := now.Add(wait + w.Needs)
	p := Prediction{Finish: finish, Wait: wait, CanFinish: true}
	if w.Deadline.IsZero() || !finish.After(w.Deadline) {
		return p
	}
	p.CanFinish = false
	if wait > 0 {
		// The wait shrinks by what is served while new work is turned away.
		p.RetryAfter = max(min(finish.Sub(w.Deadline), wait), minRetryAfter)
	}

	return p
}

func (q Queue) pool(name string) pool {
	if p, ok := q.pools.Get(name); ok {
		return *p
	}

	return pool{}
}

func (q Queue) withPool(name string, p pool) Queue {
	q.pools = q.pools.Set(name, &p)

	return q
}

// item files a waiter under the share that it is charged to.
func (q Queue) item(w Waiter) *item {
	i := &item{waiter: w, key: requestKey(w.Key), seq: q.seq}
	if q.fair {
		i.sharer = sharer{
			team: nameKey(w.Team), workspace: nameKey(w.Workspace),
			teamWeight: w.TeamWeight, workspaceWeight: w.WorkspaceWeight,
		}
	}

	return i
}
