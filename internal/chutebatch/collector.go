package chutebatch

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"azurechute.example/azurechute/internal/chutefair"
	"azurechute.example/azurechute/internal/chuteroute"
)

// MaxParts bounds the parts of one job; usual requests have a few dozen.
const MaxParts = 10_000

// Job describes one stage of one request, whose parts the collector runs.
type Job struct {
	ID      uint64
	Request string
	Pool    string
	// Shard is the zone whose upstreams of the pool run the job; empty means all zones.
	Shard string
	// Regions are those in which the job may run and its results be stored.
	Regions chuteroute.Regions
	// Stage is the index of the stage in its pipeline.
	Stage int
	// Parts is the number of parts, from 1 to MaxParts; they are numbered from 0.
	Parts int
	// Key names the input of a stage that does not depend on another stage.
	Key string
	// Inputs are the handles of the results that the stage reads.
	Inputs []string
	// InputUpstreams lists the upstream incarnations that store the inputs.
	InputUpstreams []string
	// ResultBytes is the approximate size of one part's result.
	ResultBytes int64
	Priority    int
	// TargetAt is when the whole request should be answered, Deadline when its caller
	// stops waiting.
	TargetAt time.Time
	Deadline time.Time
	// TimeAfterStage is the time that the request needs after this stage.
	TimeAfterStage time.Duration
	// Workspace owns the request, Pipeline runs it.
	Workspace string
	Pipeline  string
	// Fingerprint is the same for the request and all its retries.
	Fingerprint string
	// Isolated means that the job shares no call with other jobs: upstreams have ended
	// while they ran its request, and the next end must show whether it is the cause.
	Isolated bool
	// Level is how far the job exceeds its workspace's share of the queue, 0 if it is
	// within the share. The collector sets it.
	Level int
	// FollowingPools lists the pools of the stages that follow on the critical path.
	FollowingPools []string
	// Zone is where the results are needed.
	Zone string
	// QueuedAt is when the job arrived at this collector.
	QueuedAt time.Time
}

// Result locates the result of one part.
type Result struct {
	// Ref is the handle by which the result is fetched.
	Ref string
	// Upstream is the incarnation that stores it.
	Upstream string
	Zone     string
}

// Part identifies one part of a job.
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
	// Jobs holds the job of each part, in the order of Parts.
	Jobs []Job
	// freeBytes is the estimated result memory that the upstream had left beside the parts.
	freeBytes int64
}

// PartOutcome is the result or the failure of one part of a call.
type PartOutcome struct {
	// Ref is empty if the part failed.
	Ref string
	// Failure is empty if the part succeeded.
	Failure PartFailure
}

// PartFailure is the reason why a part has no result.
type PartFailure string

// The reasons for which a part fails.
const (
	// PartLate: its deadline was too near or had passed when it could have run.
	PartLate PartFailure = "Late"
	// PartInputGone: one of its inputs is no longer stored.
	PartInputGone PartFailure = "InputGone"
	// PartNoMemory: the upstream has no memory for the result.
	PartNoMemory PartFailure = "NoRoom"
	// PartErrored: the upstream failed on it.
	PartErrored PartFailure = "Errored"
	// PartOverloaded: its job was refused because of the queue ahead of it.
	PartOverloaded PartFailure = "Overloaded"
	// PartUpstreamsEnded: upstreams have ended while they ran its job.
	PartUpstreamsEnded PartFailure = "UpstreamsEnded"
	// PartQuarantined: its request is quarantined because upstreams end while they run it.
	PartQuarantined PartFailure = "Quarantined"
)

// jobState is a job with the state of its parts.
type jobState struct {
	Job
	// pending lists the parts that wait for a call.
	pending        []int
	results        []Result
	missingResults int
	failures       int
	// endedUpstreams counts the upstreams that ended while they ran parts of the job.
	endedUpstreams int
}

// Collector holds one node's queues of parts and its calls in flight, for all pools.
type Collector struct {
	jobs *immutable.Map[uint64, jobState]
	// queues holds the jobs with waiting parts, by lane.
	queues *immutable.Map[Lane, queue]
	calls  *immutable.Map[uint64, Call]
	// memories maps an upstream to its result memory.
	memories *immutable.Map[string, resultMemory]
	// pausedUntil maps an upstream to the time until which it gets no call.
	pausedUntil *immutable.Map[string, time.Time]
	// foreignUsages maps an upstream to the memory that other collectors' results take there.
	foreignUsages *immutable.Map[string, foreignUsage]
	// delayedSince maps an upstream to the time since which a small call to it is delayed.
	delayedSince *immutable.Map[string, time.Time]
	// demand is the usual demand of the workspaces, by lane.
	demand     *immutable.Map[Lane, chutefair.Demand]
	pools      map[string]chuteroute.Batching
	lastCallID uint64
}

// New returns a collector without pools and jobs.
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

// WithPools replaces the batching settings by those of the given pools; pools without
// batching are left out.
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
	c.demand = c.demand.Set(j.Lane(), demand.WithWork(j.Workspace, float64(j.Parts), j.QueuedAt))
	entry := jobState{Job: j, missingResults: j.Parts, results: make([]Result, j.Parts)}
	for i := range j.Parts {
		entry.pending = append(entry.pending, i)
	}

	return c.withJobState(entry)
}

// HasJob reports whether the collector holds the job: it was added, and neither removed
// nor failed.
func (c Collector) HasJob(id uint64) bool {
	_, ok := c.jobs.Get(id)

	return ok
}

// JobCount returns the number of jobs that the collector holds.
func (c Collector) JobCount() int {
	return c.jobs.Len()
}

// FreeRequest names results that an upstream need no longer store.
type FreeRequest struct {
	Upstream string
	Refs     []string
}

// WithoutJob removes a job whose results are no longer needed, and returns the results
// to free.
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

// appendFree adds a result to the request for its upstream.
func appendFree(toFree []FreeRequest, result Result) []FreeRequest {
	for i := range toFree {
		if toFree[i].Upstream == result.Upstream {
			toFree[i].Refs = append(toFree[i].Refs, result.Ref)

			return toFree
		}
	}

	return append(toFree, FreeRequest{Upstream: result.Upstream, Refs: []string{result.Ref}})
}
