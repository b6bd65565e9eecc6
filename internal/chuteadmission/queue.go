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
	fair    bool
	lastSeq uint64
	// items ranks all waiters by their latest start, so that Hopeless costs one comparison when there is none.
	items treap[*item]
	pools *immutable.Map[string, *poolQueue]
}

// NewQueue returns an empty queue; not fair means first come, first served.
func NewQueue(fair bool) Queue {
	return Queue{fair: fair, pools: immutable.NewMap[string, *poolQueue](nameHasher{})}
}

// WithWaiter adds a waiter, in place of any that has its key.
func (q Queue) WithWaiter(w Waiter) Queue {
	q = q.Without(w.Key)
	q.lastSeq++
	i := q.newItem(w)
	q.items = q.items.with(i.latestStartRank(), i)

	return q.withPoolQueue(w.Pool, q.poolQueue(w.Pool).withItem(i, q.fair))
}

// Without takes a waiter out, if it is there, and charges nobody.
func (q Queue) Without(key chuterequest.Key) Queue {
	i, ok := q.items.get(requestKey(key))
	if !ok {
		return q
	}
	q.items = q.items.without(i.key)
	name := i.waiter.Pool

	return q.withPoolQueue(name, q.poolQueue(name).withoutItem(i, q.fair))
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
		kept := poolQueue{meanTime: p.meanTime, samples: p.samples, inFlight: p.inFlight}
		next = next.withPoolQueue(name, kept)
	}
	for _, i := range items {
		next = next.WithWaiter(i.waiter)
	}

	return next
}

// WithTypicalTime tells the time that a call of the pool is assumed to take until one has been measured.
func (q Queue) WithTypicalTime(pool string, took time.Duration) Queue {
	p := q.poolQueue(pool)
	if p.samples > 0 || p.meanTime == float64(took) {
		return q
	}
	p.meanTime = float64(took)

	return q.withPoolQueue(pool, p)
}

// Peek returns the waiter that Next would take.
func (q Queue) Peek(pool string) (Waiter, bool) {
	i := q.poolQueue(pool).nextItem()
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
	p := q.poolQueue(pool)
	i := p.nextItem()
	if i == nil {
		return Waiter{}, q, false
	}

	q.items = q.items.without(i.key)

	return i.waiter, q.withPoolQueue(pool, p.withPicked(i, q.fair)), true
}

// WithBypass lets a waiter go at once, past a pool's empty queue: the same as WithWaiter and Next, for less work.
//
// It must be followed by one WithDone too, and is not meant for a pool in which others wait.
func (q Queue) WithBypass(w Waiter) Queue {
	i := q.newItem(w)

	return q.withPoolQueue(w.Pool, q.poolQueue(w.Pool).withBypass(&i.shareKey))
}

// WithDone ends one call that Next had let go: its share is charged with the
// time it took, and a time above zero counts towards the pool's rate.
func (q Queue) WithDone(pool, team, workspace string, took time.Duration) Queue {
	i := q.newItem(Waiter{Team: team, Workspace: workspace})

	return q.withPoolQueue(pool, q.poolQueue(pool).withDone(&i.shareKey, took))
}

// RemoveUnfinishable takes out the waiters that can no longer finish: now and what they need is past their deadline.
func (q Queue) RemoveUnfinishable(now time.Time) ([]Waiter, Queue) {
	var unfinishable []Waiter
	for {
		i, latest, ok := q.items.lowest()
		if !ok || latest.nanos >= now.UnixNano() {
			return unfinishable, q
		}
		unfinishable = append(unfinishable, i.waiter)
		q = q.Without(i.waiter.Key)
	}
}

// Len counts the waiters of a pool.
func (q Queue) Len(pool string) int {
	return q.poolQueue(pool).waiting
}

// ExpectedWait is how long a waiter that comes now is expected to wait for its pool, in which free slots are believed free.
func (q Queue) ExpectedWait(w Waiter, free int) time.Duration {
	q.lastSeq++

	return q.poolQueue(w.Pool).expectedWait(q.newItem(w), max(free, 0), q.fair)
}

// minRetryAfter keeps callers that were turned away from coming back at once.
const minRetryAfter = 100 * time.Millisecond

// Predict tells whether a waiter that comes now can finish by its deadline.
//
// Only the wait for its own pool is in the prediction: add the Wait for later
// stages' pools to Needs, or a request is let in to a free first stage and dies
// in the queue of a saturated later one.
func (q Queue) Predict(w Waiter, free int, now time.Time) Prediction {
	wait := q.ExpectedWait(w, free)
	finish := now.Add(wait + w.RemainingTime)
	prediction := Prediction{Finish: finish, Wait: wait, CanFinish: true}
	if w.Deadline.IsZero() || !finish.After(w.Deadline) {
		return prediction
	}
	prediction.CanFinish = false
	if wait > 0 {
		// The wait shrinks by what is served while new work is turned away.
		prediction.RetryAfter = max(min(finish.Sub(w.Deadline), wait), minRetryAfter)
	}

	return prediction
}

func (q Queue) poolQueue(name string) poolQueue {
	if p, ok := q.pools.Get(name); ok {
		return *p
	}

	return poolQueue{}
}

func (q Queue) withPoolQueue(name string, p poolQueue) Queue {
	q.pools = q.pools.Set(name, &p)

	return q
}

// item files a waiter under the share that it is charged to.
func (q Queue) newItem(w Waiter) *item {
	i := &item{waiter: w, key: requestKey(w.Key), seq: q.lastSeq}
	if q.fair {
		i.shareKey = shareKey{
			team: nameKey(w.Team), workspace: nameKey(w.Workspace),
			teamWeight: w.TeamWeight, workspaceWeight: w.WorkspaceWeight,
		}
	}

	return i
}
