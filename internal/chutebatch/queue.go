package chutebatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"

	"azurechute.example/azurechute/internal/chutefair"
	"azurechute.example/azurechute/internal/chuteroute"
)

// Lane identifies one queue: that of a pool, or of one shard of a pool. Jobs that may run in different
// regions share no queue, and so no call.
type Lane struct {
	Pool    string
	Shard   string
	Regions chuteroute.Regions `json:",omitempty"`
}

// laneHasher hashes and compares lanes for immutable.Map.
type laneHasher struct{}

func (laneHasher) Hash(l Lane) uint32 {
	return HashLane(l)
}

// HashLane returns a hash of a lane.
func HashLane(l Lane) uint32 {
	return uint32(xxhash.Sum64String(l.Pool + "|" + l.Shard + "|" + string(l.Regions))) //nolint:gosec // the low half of a hash
}

func (laneHasher) Equal(a, b Lane) bool {
	return a == b
}

// NewLaneMap returns an empty map by lane.
func NewLaneMap[V any]() *immutable.Map[Lane, V] {
	return immutable.NewMap[Lane, V](laneHasher{})
}

// Lane returns the queue that the job belongs to.
func (j Job) Lane() Lane {
	return Lane{Pool: j.Pool, Shard: j.Shard, Regions: j.Regions}
}

// queueKey is the position of a job in its queue.
type queueKey struct {
	level    int
	priority int
	// dueBy is when the stage must end, in Unix nanoseconds.
	dueBy int64
	id    uint64
}

// queueKeyComparer orders keys for immutable.SortedMap.
type queueKeyComparer struct{}

func (queueKeyComparer) Compare(a, b queueKey) int {
	return cmp.Or(
		cmp.Compare(a.level, b.level), cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.dueBy, b.dueBy), cmp.Compare(a.id, b.id),
	)
}

func (p queueKey) before(other queueKey) bool {
	return queueKeyComparer{}.Compare(p, other) < 0
}

// queueKey returns the job's position: jobs within their workspaces' shares first, then
// by priority, then by the time at which the stage must end for the request to be on
// time. A long prompt needs more time after its stages than a short one.
//
// The level goes before the priority, so that many urgent requests of one workspace don't take all capacity.
func (j *Job) queueKey() queueKey {
	return queueKey{level: j.Level, priority: j.Priority, dueBy: j.TargetAt.Add(-j.TimeAfterStage).UnixNano(), id: j.ID}
}

// queue holds the ids of the jobs of one lane that have waiting parts.
type queue struct {
	order *immutable.SortedMap[queueKey, uint64]
	// waitingParts counts the waiting parts, fairQueue the same by workspace.
	waitingParts int
	fairQueue    chutefair.Queue
}

// Level returns how far a job would exceed its workspace's share of its queue if it were added now; 0 if it would be
// within the share. Without levels one workspace's burst makes the jobs of all late.
func (c Collector) Level(j Job) int {
	q, ok := c.queues.Get(j.Lane())
	if !ok {
		return 0
	}
	demand, ok := c.demand.Get(j.Lane())
	if !ok {
		return 0
	}

	return q.fairQueue.Level(j.Workspace, demand.Share(j.Workspace, j.QueuedAt), c.pools[j.Pool].BatchSize)
}

// withJobState stores a job and updates its queue.
func (c Collector) withJobState(j jobState) Collector {
	lane := j.Lane()
	q, ok := c.queues.Get(lane)
	if !ok {
		q.order = immutable.NewSortedMap[queueKey, uint64](queueKeyComparer{})
		q.fairQueue = chutefair.NewQueue()
	}
	previous, _ := c.jobs.Get(j.ID)
	q.waitingParts += len(j.pending) - len(previous.pending)
	q.fairQueue = q.fairQueue.WithWork(j.Workspace, j.Level, len(j.pending)-len(previous.pending))
	switch {
	case len(j.pending) > 0 && len(previous.pending) == 0:
		q.order = q.order.Set(j.queueKey(), j.ID)
	case len(j.pending) == 0 && len(previous.pending) > 0:
		q.order = q.order.Delete(j.queueKey())
	}
	c.jobs = c.jobs.Set(j.ID, j)
	c.queues = c.queues.Set(lane, q)

	return c
}

// withoutJobState removes a job and its queue entry.
func (c Collector) withoutJobState(j jobState) Collector {
	j.pending = nil
	c = c.withJobState(j)
	c.jobs = c.jobs.Delete(j.ID)

	return c
}

// WaitingParts returns the number of parts of a lane that wait for a call.
func (c Collector) WaitingParts(l Lane) int {
	q, _ := c.queues.Get(l)

	return q.waitingParts
}

// WaitingLanes lists the lanes in which parts wait for a call.
func (c Collector) WaitingLanes() []Lane {
	var lanes []Lane
	for i := c.queues.Iterator(); !i.Done(); {
		if lane, q, _ := i.Next(); q.waitingParts > 0 {
			lanes = append(lanes, lane)
		}
	}

	return lanes
}

// WaitingJobs returns the jobs that have parts waiting for a call, sorted by id.
func (c Collector) WaitingJobs() []Job {
	var jobs []Job
	for i := c.jobs.Iterator(); !i.Done(); {
		if _, j, _ := i.Next(); len(j.pending) > 0 {
			jobs = append(jobs, j.Job)
		}
	}
	slices.SortFunc(jobs, func(a, b Job) int { return cmp.Compare(a.ID, b.ID) })

	return jobs
}

// fullCallEnd returns when a full call that starts now ends, in Unix nanoseconds; a job
// that is due before that is late. Under load calls are full. If a smaller call were
// assumed, jobs that end just too late would run as timely ones, in place of others that
// would have been on time.
func fullCallEnd(b chuteroute.Batching, now time.Time) int64 {
	return now.Add(b.FullCall()).UnixNano()
}

// visitWaiting calls visit for the lane's waiting jobs in queue order until visit returns false: first for those that
// can still meet their target time, then for the late ones. By target alone, a burst makes every job just too late.
func (c Collector) visitWaiting(l Lane, now time.Time, visit func(j *jobState) bool) {
	q, ok := c.queues.Get(l)
	if !ok {
		return
	}
	earliestEnd := fullCallEnd(c.pools[l.Pool], now)
	if c.visitDueBetween(q, earliestEnd, math.MaxInt64, visit) {
		c.visitDueBetween(q, math.MinInt64, earliestEnd, visit)
	}
}

// visitDueBetween calls visit for the jobs that are due in [from,to), by level and
// priority; it returns false if visit did.
func (c Collector) visitDueBetween(q queue, from, to int64, visit func(j *jobState) bool) bool {
	i := q.order.Iterator()
	for !i.Done() {
		next, _, _ := i.Next()
		// Skip to the first job of this level and priority that is due from then on.
		i.Seek(queueKey{level: next.level, priority: next.priority, dueBy: from})
		for !i.Done() {
			key, id, _ := i.Next()
			if key.priority != next.priority || key.level != next.level || key.dueBy >= to {
				break
			}
			j, _ := c.jobs.Get(id)
			if !visit(&j) {
				return false
			}
		}
		i.Seek(queueKey{level: next.level, priority: next.priority + 1, dueBy: math.MinInt64})
	}

	return true
}
