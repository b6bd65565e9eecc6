package chutebatch

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"azurechute.example/azurechute/internal/chutefair"
	"azurechute.example/azurechute/internal/chuteroute"
)

// Job asks for all parts of one stage of one request.
type Job struct {
	ID      uint64
	Request string
	Pool    string
	// Shard names the upstreams of the pool, by zone, that the job is for; empty means all.
	Shard string
	// Stage is the stage's index in its pipeline.
	Stage int
	// Parts is the number of parts; they are numbered from 0.
	Parts int
	// Key names the input of a stage that takes in no other stage's results.
	Key string
	// Inputs are the results that the stage takes in.
	Inputs []string
	// InputUpstreams lists the incarnations that keep the inputs.
	InputUpstreams []string
	// ResultBytes is the approximate size of one part's result.
	ResultBytes int64
	Priority    int
	// TargetAt is when the whole request should be answered, Deadline when nobody waits any more.
	TargetAt time.Time
	Deadline time.Time
	// TimeAfterStage is the time that the request needs after this stage.
	TimeAfterStage time.Duration
	// Workspace is whose request it is, Pipeline what it runs on.
	Workspace string
	Pipeline  string
	// Fingerprint is the same for all sendings of the request.
	Fingerprint string
	// Isolated says that its parts share no call with others': upstreams have ended under
	// its request, and the next end is to tell whether that was its doing.
	Isolated bool
	// Level is how far the job is beyond its workspace's share of the queue, from 0; the
	// collector sets it.
	Level int
	// FollowingPools lists the pools of the stages that follow, on the way that takes longest.
	FollowingPools []string
	// Zone is where the results are needed.
	Zone string
	// QueuedAt is when the job came to this collector.
	QueuedAt time.Time
}

// Result is where one part's result lies.
type Result struct {
	// Ref is the handle by which others fetch the result.
	Ref string
	// Upstream is the incarnation that keeps it.
	Upstream string
	Zone     string
}

// Part names one part of a job.
type Part struct {
	Job   uint64
	Index int
}

// Call is a batch of parts for one upstream.
type Call struct {
	ID       uint64
	Pool     string
	Lane     Lane
	Upstream string
	Parts    []Part
	// Jobs are the parts' jobs, in the same order.
	Jobs []Job
	// freeBytes is the room that was believed to be left at the upstream beside the parts.
	freeBytes int64
}

// PartOutcome is how one part of a call ended.
type PartOutcome struct {
	// Ref is empty if the part failed.
	Ref string
	// Failure is empty if the part succeeded.
	Failure PartFailure
}

// PartFailure says why a part has no result.
type PartFailure string

// The ways in which a part fails.
const (
	// PartLate: its time was over when its turn came.
	PartLate PartFailure = "Late"
	// PartInputGone: one of its inputs is not there any more.
	PartInputGone PartFailure = "InputGone"
	// PartNoMemory: the upstream has no room for the result.
	PartNoMemory PartFailure = "NoRoom"
	// PartErrored: the upstream failed on it.
	PartErrored PartFailure = "Errored"
	// PartOverloaded: its job was turned away for the queue in front of it.
	PartOverloaded PartFailure = "Overloaded"
	// PartUpstreamsEnded: upstreams have ended while they ran its job.
	PartUpstreamsEnded PartFailure = "UpstreamsEnded"
	// PartQuarantined: its request is set aside because upstreams end under it.
	PartQuarantined PartFailure = "Quarantined"
)

// jobState is a job with what has become of its parts.
type jobState struct {
	Job
	// pending are the parts that wait for a call.
	pending        []int
	results        []Result
	missingResults int
	failures       int
	// endedUpstreams counts the upstreams that ended while they ran the job's parts.
	endedUpstreams int
}

// Collector is one node's queue of parts and its calls in flight, over all pools.
type Collector struct {
	jobs *immutable.Map[uint64, jobState]
	// queues holds the jobs with waiting parts, by lane.
	queues *immutable.Map[Lane, queue]
	calls  *immutable.Map[uint64, Call]
	// memories maps an upstream to what it holds.
	memories *immutable.Map[string, resultMemory]
	// pausedUntil maps an upstream to the time until which it gets no call.
	pausedUntil *immutable.Map[string, time.Time]
	// foreignUsages maps an upstream to room that others take there.
	foreignUsages *immutable.Map[string, foreignUsage]
	// delayedSince maps an upstream whose slot is kept free for room to the time since when.
	delayedSince *immutable.Map[string, time.Time]
	// demand is what workspaces usually ask for, by lane.
	demand     *immutable.Map[Lane, chutefair.Demand]
	pools      map[string]chuteroute.Batching
	lastCallID uint64
}

// New returns a collector without work.
func New() Collector {
	return Collector{
		jobs:          immutable.NewMap[uint64, jobState](nil),
		queues:        NewLaneMap[queue](),
		calls:         immutable.NewMap[uint64, Call](nil),
		memories:      immutable.NewMap[string, resultMemory](nil),
		pausedUntil:   immutable.NewMap[string, time.Time](nil),
		foreignUsages: immutable.NewMap[string, foreignUsage](nil),
		delayedSince:  immutable.NewMap[string, time.Time](nil),
		demand:        NewLaneMap[chutefair.Demand](),
	}
}

// WithPools takes in what the configuration says of the pools.
func (c Collector) WithPools(pools map[string]chuteroute.Pool) Collector {
	c.pools = map[string]chuteroute.Batching{}
	for name, p := range pools {
		if p.Batching != nil {
			c.pools[name] = *p.Batching
		}
	}

	return c
}

// WithJob queues all parts of a job.
func (c Collector) WithJob(j Job) Collector {
	j.Level = c.Level(j)
	demand, ok := c.demand.Get(j.Lane())
	if !ok {
		demand = chutefair.NewDemand()
	}
	c.demand = c.demand.Set(j.Lane(), demand.With(j.Workspace, float64(j.Parts), j.QueuedAt))
	entry := jobState{Job: j, missingResults: j.Parts, results: make([]Result, j.Parts)}
	for i := range j.Parts {
		entry.pending = append(entry.pending, i)
	}

	return c.withJobState(entry)
}

// HasJob says whether the job is known and neither dropped nor failed.
func (c Collector) HasJob(id uint64) bool {
	_, ok := c.jobs.Get(id)

	return ok
}

// JobCount counts the jobs that are known.
func (c Collector) JobCount() int {
	return c.jobs.Len()
}

// FreeRequest names results that an upstream need not keep any longer.
type FreeRequest struct {
	Upstream string
	Refs     []string
}

// WithoutJob forgets a job whose results nobody needs any more, and returns what may be freed.
func (c Collector) WithoutJob(id uint64) (Collector, []FreeRequest) {
	j, ok := c.jobs.Get(id)
	if !ok {
		return c, nil
	}
	c = c.withoutJobState(j)
	var toFree []FreeRequest
	for _, r := range j.results {
		if r.Ref != "" {
			toFree = appendFree(toFree, r)
		}
	}
	for _, f := range toFree {
		r, _ := c.memories.Get(f.Upstream)
		c.memories = c.memories.Set(f.Upstream, r.without(func(h allocation) bool { return slices.Contains(f.Refs, h.ref) }))
	}

	return c, toFree
}

func appendFree(toFree []FreeRequest, result Result) []FreeRequest {
	for i := range toFree {
		if toFree[i].Upstream == result.Upstream {
			toFree[i].Refs = append(toFree[i].Refs, result.Ref)

			return toFree
		}
	}

	return append(toFree, FreeRequest{Upstream: result.Upstream, Refs: []string{result.Ref}})
}
