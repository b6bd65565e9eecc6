package chutebatch

import (
	"time"

	"github.com/benbjohnson/immutable"

	"azurechute.example/azurechute/internal/chuteroute"
)

// Job asks for all parts of one stage of one request.
type Job struct {
	ID      uint64
	Request string
	Pool    string
	// Stage is the stage's index in its pipeline.
	Stage int
	// Parts is the number of parts; they are numbered from 0.
	Parts int
	// Key names the input of a stage that takes in no other stage's results.
	Key string
	// Inputs are the results that the stage takes in.
	Inputs []string
	// ResultBytes is the approximate size of one part's result.
	ResultBytes int64
	Priority    int
	// AimAt is when the whole request should be answered, Deadline when nobody waits any more.
	AimAt    time.Time
	Deadline time.Time
	// Rest is the time that the request needs after this stage.
	Rest time.Duration
	// Zone is where the results are needed.
	Zone string
	// Since is when the job came to this collector.
	Since time.Time
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
	Upstream string
	Parts    []Part
	// Jobs are the parts' jobs, in the same order.
	Jobs []Job
}

// PartEnd is how one part of a call ended.
type PartEnd struct {
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
	// PartNoRoom: the upstream has no room for the result.
	PartNoRoom PartFailure = "NoRoom"
	// PartErrored: the upstream failed on it.
	PartErrored PartFailure = "Errored"
	// PartOverloaded: its job was turned away for the queue in front of it.
	PartOverloaded PartFailure = "Overloaded"
)

// job is a job with what has become of its parts.
type job struct {
	Job
	// pending are the parts that wait for a call.
	pending []int
	results []Result
	missing int
	tries   int
}

// held is the room that one result takes.
type held struct {
	part  Part
	ref   string
	bytes int64
	// until is when the upstream drops the result by itself; zero while its call runs.
	until time.Time
}

// Collector is one node's queue of parts and its calls in flight, over all pools.
type Collector struct {
	jobs  *immutable.Map[uint64, job]
	calls *immutable.Map[uint64, Call]
	// rooms maps an upstream to what it holds.
	rooms *immutable.Map[string, []held]
	// pauses maps an upstream to the time until which it gets no call.
	pauses *immutable.Map[string, time.Time]
	// strangers maps an upstream to room that others take there.
	strangers *immutable.Map[string, stranger]
	pools     map[string]chuteroute.Batching
	lastCall  uint64
}

// New returns a collector without work.
func New() Collector {
	return Collector{
		jobs:   immutable.NewMap[uint64, job](nil),
		calls:  immutable.NewMap[uint64, Call](nil),
		rooms:  immutable.NewMap[string, []held](nil),
		pauses: immutable.NewMap[string, time.Time](nil),

		strangers: immutable.NewMap[string, stranger](nil),
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
	entry := job{Job: j, missing: j.Parts, results: make([]Result, j.Parts)}
	for i := range j.Parts {
		entry.pending = append(entry.pending, i)
	}
	c.jobs = c.jobs.Set(j.ID, entry)

	return c
}

// Has says whether the job is known and neither dropped nor failed.
func (c Collector) Has(id uint64) bool {
	_, ok := c.jobs.Get(id)

	return ok
}

// Len counts the jobs that are known.
func (c Collector) Len() int {
	return c.jobs.Len()
}

// Waiting counts the parts of a pool that wait for a call.
func (c Collector) Waiting(pool string) int {
	n := 0
	for i := c.jobs.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		if j.Pool == pool {
			n += len(j.pending)
		}
	}

	return n
}

// Free names results that an upstream need not keep any longer.
type Free struct {
	Upstream string
	Refs     []string
}

// WithoutJob forgets a job whose results nobody needs any more, and returns what may be freed.
func (c Collector) WithoutJob(id uint64) (Collector, []Free) {
	j, ok := c.jobs.Get(id)
	if !ok {
		return c, nil
	}
	c.jobs = c.jobs.Delete(id)
	var frees []Free
	for _, r := range j.results {
		if r.Ref == "" {
			continue
		}
		c = c.withoutHeld(r.Upstream, r.Ref)
		frees = addFree(frees, r)
	}

	return c, frees
}

func addFree(frees []Free, r Result) []Free {
	for i := range frees {
		if frees[i].Upstream == r.Upstream {
			frees[i].Refs = append(frees[i].Refs, r.Ref)

			return frees
		}
	}

	return append(frees, Free{Upstream: r.Upstream, Refs: []string{r.Ref}})
}

func (c Collector) withoutHeld(upstream, ref string) Collector {
	kept, _ := c.rooms.Get(upstream)
	next := make([]held, 0, len(kept))
	for _, h := range kept {
		if h.ref != ref {
			next = append(next, h)
		}
	}
	c.rooms = c.rooms.Set(upstream, next)

	return c
}

// used sums the room taken at an upstream.
func (c Collector) used(upstream string, now time.Time) int64 {
	kept, _ := c.rooms.Get(upstream)
	total := int64(0)
	for _, h := range kept {
		if h.until.IsZero() || now.Before(h.until) {
			total += h.bytes
		}
	}

	return total
}

// stranger is room that results take which this collector did not have made.
type stranger struct {
	bytes int64
	since time.Time
	until time.Time
}

// foreign estimates the room that others' results take at an upstream now; it
// ebbs away over the time that results are kept.
func (c Collector) foreign(upstream string, now time.Time) int64 {
	s, ok := c.strangers.Get(upstream)
	if !ok || !now.Before(s.until) {
		return 0
	}
	left := float64(s.until.Sub(now)) / float64(s.until.Sub(s.since))

	return int64(float64(s.bytes) * left)
}

// withoutRoom takes in that an upstream had no room for parts that should have fitted.
//
// What an earlier collector had made lies there until its time is over, or until
// its leases end. A collector that kept asking would spend every call on parts
// without room, each at the full price of a call.
func (c Collector) withoutRoom(call Call, now time.Time) Collector {
	batching := c.pools[call.Pool]
	unknown := batching.Room - c.used(call.Upstream, now)
	if unknown <= 0 || batching.ResultTTL <= 0 {
		return c
	}
	c.strangers = c.strangers.Set(call.Upstream, stranger{
		bytes: unknown, since: now, until: now.Add(batching.ResultTTL / 2),
	})

	return c
}
