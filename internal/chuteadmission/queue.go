package chuteadmission

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"azurechute.example/azurechute/internal/chuterequest"
)

// Queue holds one node's waiters over all pools; immutable.
type Queue struct {
	fair    bool
	lastSeq uint64
	// items ranks all waiters by their latest start, so that RemoveUnfinishable needs
	// one comparison if there is nothing to remove.
	items treap[*item]
	pools *immutable.Map[string, *poolQueue]
}

// NewQueue returns an empty queue with fair sharing, or one in order of arrival if fair is false.
func NewQueue(fair bool) Queue {
	return Queue{fair: fair, pools: immutable.NewMap[string, *poolQueue](nameHasher{})}
}

// WithWaiter adds a waiter and replaces any with the same key.
func (q Queue) WithWaiter(w Waiter) Queue {
	q = q.Without(w.Key)
	q.lastSeq++
	i := q.newItem(w)
	q.items = q.items.with(i.latestStartRank(), i)

	return q.withPoolQueue(w.Pool, q.poolQueue(w.Pool).withItem(i, q.fair))
}

// Without removes the waiter with the key, if there is one, without a charge.
func (q Queue) Without(key chuterequest.Key) Queue {
	i, ok := q.items.get(requestKey(key))
	if !ok {
		return q
	}
	q.items = q.items.without(i.key)
	name := i.waiter.Pool

	return q.withPoolQueue(name, q.poolQueue(name).withoutItem(i, q.fair))
}

// WithFair returns the queue with fair sharing on or off, with the same waiters in their order of arrival.
//
// A change resets the charges of teams and workspaces; the pools' mean times and
// calls in flight are kept.
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

// WithTypicalTime sets the expected time of a call of the pool until the first call is done.
func (q Queue) WithTypicalTime(pool string, took time.Duration) Queue {
	p := q.poolQueue(pool)
	if p.samples > 0 || p.meanTime == float64(took) {
		return q
	}
	p.meanTime = float64(took)

	return q.withPoolQueue(pool, p)
}

// Peek returns the waiter that Next would remove.
func (q Queue) Peek(pool string) (Waiter, bool) {
	i := q.poolQueue(pool).nextItem()
	if i == nil {
		return Waiter{}, false
	}

	return i.waiter, true
}

// Next removes the next waiter of the pool and charges the expected cost to its
// workspace and team.
//
// Each waiter removed by Next needs one WithDone, with a time of 0 if the waiter was
// not dispatched.
func (q Queue) Next(pool string) (Waiter, Queue, bool) {
	p := q.poolQueue(pool)
	i := p.nextItem()
	if i == nil {
		return Waiter{}, q, false
	}

	q.items = q.items.without(i.key)

	return i.waiter, q.withPoolQueue(pool, p.withPicked(i, q.fair)), true
}

// WithBypass charges a waiter that bypasses a pool's empty queue. It has the effect
// of WithWaiter and Next at a lower cost.
//
// It needs one WithDone too, and must not be used for a pool in which others wait.
func (q Queue) WithBypass(w Waiter) Queue {
	i := q.newItem(w)

	return q.withPoolQueue(w.Pool, q.poolQueue(w.Pool).withBypass(&i.shareKey))
}

// WithDone ends one call of a waiter removed by Next: the time that the call took
// replaces the expected cost in the charge of its workspace and team, and a time
// above 0 counts towards the pool's mean time.
func (q Queue) WithDone(pool, team, workspace string, took time.Duration) Queue {
	i := q.newItem(Waiter{Team: team, Workspace: workspace})

	return q.withPoolQueue(pool, q.poolQueue(pool).withDone(&i.shareKey, took))
}

// RemoveUnfinishable removes and returns the waiters that can no longer finish:
// their deadline is before now plus their remaining time.
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

// Len returns the number of waiters of a pool.
func (q Queue) Len(pool string) int {
	return q.poolQueue(pool).waiting
}

// ExpectedWait returns how long a waiter that is added now is expected to wait for
// its pool, where free is the estimated number of free slots.
func (q Queue) ExpectedWait(w Waiter, free int) time.Duration {
	q.lastSeq++

	return q.poolQueue(w.Pool).expectedWait(q.newItem(w), max(free, 0), q.fair)
}

// minRetryAfter keeps refused callers from retrying at once.
const minRetryAfter = 100 * time.Millisecond

// Predict estimates whether a waiter that is added now can finish by its deadline.
//
// The prediction includes only the wait for the waiter's own pool. Add the
// ExpectedWait of the later stages' pools to RemainingTime; otherwise a request is
// admitted to a free first stage and misses its deadline in the queue of a
// saturated later one.
func (q Queue) Predict(w Waiter, free int, now time.Time) Prediction {
	wait := q.ExpectedWait(w, free)
	finish := now.Add(wait + w.RemainingTime)
	prediction := Prediction{Finish: finish, Wait: wait, CanFinish: true}
	if w.Deadline.IsZero() || !finish.After(w.Deadline) {
		return prediction
	}
	prediction.CanFinish = false
	if wait > 0 {
		// The wait shrinks as calls are served while new work is refused.
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

// newItem returns the item of a waiter, with the workspace and team that it is
// charged to if sharing is fair.
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
