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

// place is where a job stands in its queue.
type place struct {
	level    int
	priority int
	startBy  int64
	id       uint64
}

// placeComparer orders places for the library's map.
type placeComparer struct{}

func (placeComparer) Compare(a, b place) int {
	return cmp.Or(
		cmp.Compare(a.level, b.level), cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.startBy, b.startBy), cmp.Compare(a.id, b.id),
	)
}

func (p place) before(other place) bool {
	return placeComparer{}.Compare(p, other) < 0
}

// place orders jobs within their workspaces' shares before others, then by urgency, and
// then by when they have to be done for the rest to be on time: a long prompt needs more
// time after its stages than a short one.
//
// Urgency comes second: a loud workspace's urgent requests, many times its usual, would
// otherwise take all that the others' less urgent ones have.
func (j *Job) place() place {
	return place{level: j.Level, priority: j.Priority, startBy: j.AimAt.Add(-j.Rest).UnixNano(), id: j.ID}
}

// queue holds the jobs of one lane that have waiting parts.
type queue struct {
	order *immutable.SortedMap[place, uint64]
	// parts counts the waiting parts, fair the same by workspace.
	parts int
	fair  chutefair.Queue
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

	return q.fair.Level(j.Workspace, demand.Share(j.Workspace, j.Since), c.pools[j.Pool].BatchSize)
}

// withJob files a job and its place in the queue.
func (c Collector) withJob(j job) Collector {
	lane := j.Lane()
	q, ok := c.queues.Get(lane)
	if !ok {
		q.order = immutable.NewSortedMap[place, uint64](placeComparer{})
		q.fair = chutefair.NewQueue()
	}
	was, _ := c.jobs.Get(j.ID)
	q.parts += len(j.pending) - len(was.pending)
	q.fair = q.fair.With(j.Workspace, j.Level, len(j.pending)-len(was.pending))
	switch {
	case len(j.pending) > 0 && len(was.pending) == 0:
		q.order = q.order.Set(j.place(), j.ID)
	case len(j.pending) == 0 && len(was.pending) > 0:
		q.order = q.order.Delete(j.place())
	}
	c.jobs = c.jobs.Set(j.ID, j)
	c.queues = c.queues.Set(lane, q)

	return c
}

// dropped forgets a job and its place in the queue.
func (c Collector) dropped(j job) Collector {
	j.pending = nil
	c = c.withJob(j)
	c.jobs = c.jobs.Delete(j.ID)

	return c
}

// Waiting counts the parts of a lane that wait for a call.
func (c Collector) Waiting(l Lane) int {
	q, _ := c.queues.Get(l)

	return q.parts
}

// Lanes lists the lanes in which parts wait.
func (c Collector) Lanes() []Lane {
	var lanes []Lane
	for i := c.queues.Iterator(); !i.Done(); {
		if lane, q, _ := i.Next(); q.parts > 0 {
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

// lateAfter is the start by which a job must begin now to make its aim: under load
// calls are full. Taken for a small one, jobs would be run as timely that end
// just too late, in the place of others that would have been on time.
func lateAfter(b chuteroute.Batching, now time.Time) int64 {
	return now.Add(b.FullCall()).UnixNano()
}

// walk visits the lane's waiting jobs in their order until visit returns false:
// those that can still make their aim first, then those that are late anyhow.
//
// With the nearest aim first and nothing else, a burst makes each job wait until
// it is just too late. Those that are late yield to those that are not.
func (c Collector) walk(l Lane, now time.Time, visit func(j *job) bool) {
	q, ok := c.queues.Get(l)
	if !ok {
		return
	}
	bound := lateAfter(c.pools[l.Pool], now)
	if c.walkPart(q, bound, math.MaxInt64, visit) {
		c.walkPart(q, math.MinInt64, bound, visit)
	}
}

// walkPart visits the jobs whose start lies in [from,to), by level and priority; false means that visit ended it.
func (c Collector) walkPart(q queue, from, to int64, visit func(j *job) bool) bool {
	i := q.order.Iterator()
	for !i.Done() {
		next, _, _ := i.Next()
		// Jump to the part of this level and priority, then go on behind it.
		i.Seek(place{level: next.level, priority: next.priority, startBy: from})
		for !i.Done() {
			at, id, _ := i.Next()
			if at.priority != next.priority || at.level != next.level || at.startBy >= to {
				break
			}
			j, _ := c.jobs.Get(id)
			if !visit(&j) {
				return false
			}
		}
		i.Seek(place{level: next.level, priority: next.priority + 1, startBy: math.MinInt64})
	}

	return true
}
