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

// Lane is a queue of its own: a pool's upstreams, or those of one shard.
type Lane struct {
	Pool  string
	Shard string
}

// laneHasher hashes lanes for the library's map.
type laneHasher struct{}

func (laneHasher) Hash(l Lane) uint32 {
	return HashLane(l)
}

// HashLane returns a hash of a lane.
func HashLane(l Lane) uint32 {
	return uint32(xxhash.Sum64String(l.Pool + "|" + l.Shard)) //nolint:gosec // the low half of a hash
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
	return Lane{Pool: j.Pool, Shard: j.Shard}
}

// queueKey is where a job stands in its queue.
type queueKey struct {
	level    int
	priority int
	dueBy    int64
	id       uint64
}

// queueKeyComparer orders places for the library's map.
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

// queueKey orders jobs within their workspaces' shares before others, then by urgency, and
// then by when they have to be done for the rest to be on time: a long prompt needs more
// time after its stages than a short one.
//
// Urgency comes second: a loud workspace's urgent requests, many times its usual, would
// otherwise take all that the others' less urgent ones have.
func (j *Job) queueKey() queueKey {
	return queueKey{level: j.Level, priority: j.Priority, dueBy: j.TargetAt.Add(-j.TimeAfterStage).UnixNano(), id: j.ID}
}

// queue holds the jobs of one lane that have waiting parts.
type queue struct {
	order *immutable.SortedMap[queueKey, uint64]
	// waitingParts counts the waiting parts, fair the same by workspace.
	waitingParts int
	fairQueue    chutefair.Queue
}

// Level returns how far a job would be beyond its workspace's share of its queue now.
//
// One workspace that sends many times its usual fills the queue. Without levels its jobs
// have the aims, and so the places, of everybody's, and all are late alike.
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

// withJobState files a job and its place in the queue.
func (c Collector) withJobState(j jobState) Collector {
	lane := j.Lane()
	q, ok := c.queues.Get(lane)
	if !ok {
		q.order = immutable.NewSortedMap[queueKey, uint64](queueKeyComparer{})
		q.fairQueue = chutefair.NewQueue()
	}
	previous, _ := c.jobs.Get(j.ID)
	q.waitingParts += len(j.pending) - len(previous.pending)
	q.fairQueue = q.fairQueue.With(j.Workspace, j.Level, len(j.pending)-len(previous.pending))
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

// withoutJobState forgets a job and its place in the queue.
func (c Collector) withoutJobState(j jobState) Collector {
	j.pending = nil
	c = c.withJobState(j)
	c.jobs = c.jobs.Delete(j.ID)

	return c
}

// WaitingParts counts the parts of a lane that wait for a call.
func (c Collector) WaitingParts(l Lane) int {
	q, _ := c.queues.Get(l)

	return q.waitingParts
}

// WaitingLanes lists the lanes in which parts wait.
func (c Collector) WaitingLanes() []Lane {
	var lanes []Lane
	for i := c.queues.Iterator(); !i.Done(); {
		if lane, q, _ := i.Next(); q.waitingParts > 0 {
			lanes = append(lanes, lane)
		}
	}

	return lanes
}

// WaitingJobs returns the jobs that have parts waiting for a call, in the order of their ids.
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

// fullCallEnd is the start by which a job must begin now to make its aim: under load
// calls are full. Taken for a small one, jobs would be run as timely that end
// just too late, in the place of others that would have been on time.
func fullCallEnd(b chuteroute.Batching, now time.Time) int64 {
	return now.Add(b.FullCall()).UnixNano()
}

// visitWaiting visits the lane's waiting jobs in their order until visit returns false:
// those that can still make their aim first, then those that are late anyhow.
//
// With the nearest aim first and nothing else, a burst makes each job wait until
// it is just too late. Those that are late yield to those that are not.
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

// visitDueBetween visits the jobs whose start lies in [from,to), by level and priority; false means that visit ended it.
func (c Collector) visitDueBetween(q queue, from, to int64, visit func(j *jobState) bool) bool {
	i := q.order.Iterator()
	for !i.Done() {
		next, _, _ := i.Next()
		// Jump to the part of this level and priority, then go on behind it.
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
