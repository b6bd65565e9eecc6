package chutebatch

import (
	"cmp"
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chuteroute"
)

const (
	// heavyBytes is the size of a stage's inputs and results from which on they are
	// worth keeping in one zone: a tenth of a second's share of a zone's link.
	heavyBytes = 100_000
	// patience is how long heavy parts wait for an upstream in the zone where their
	// results are needed, about half a call; longer would cost more callers their
	// answer than it saves in transfers.
	patience = 120 * time.Millisecond
	// slowRatio is the measured time of calls, against the expected one, from which
	// on an upstream gets parts only if the others can't take them.
	slowRatio = 2.2
)

// Seat is an upstream that may get calls.
type Seat struct {
	Upstream string
	Zone     string
	// Slowness is the measured time of its calls against the expected one; 0 if unknown.
	Slowness float64
}

// Fill gives each free slot of the pool's upstreams a call, while parts wait, and returns the calls.
func (c Collector) Fill(pool string, seats []Seat, now time.Time) (Collector, []Call) {
	batching, ok := c.pools[pool]
	if !ok {
		return c, nil
	}
	f := filling{batching: batching, seats: c.free(pool, seats, now), now: now, waiting: c.due(pool, batching, now)}
	var calls []Call
	for len(f.seats) > 0 && len(f.waiting) > 0 {
		seat, found := f.nextSeat(c)
		if !found {
			break
		}
		parts := f.take(c, f.seats[seat])
		c.lastCall++
		call := Call{ID: c.lastCall, Pool: pool, Upstream: f.seats[seat].Upstream, Parts: parts}
		c, call = c.withCall(call)
		calls = append(calls, call)
		f.seats = slices.Delete(f.seats, seat, seat+1)
		f.waiting = c.due(pool, batching, now)
	}

	return c, calls
}

// free lists the seats with a free slot, the quick ones first.
func (c Collector) free(pool string, seats []Seat, now time.Time) []Seat {
	busy := map[string]int{}
	for i := c.calls.Iterator(); !i.Done(); {
		_, call, _ := i.Next()
		busy[call.Upstream]++
	}
	var free []Seat
	for _, s := range seats {
		pause, _ := c.pauses.Get(s.Upstream)
		if busy[s.Upstream] < c.pools[pool].Slots && !now.Before(pause) {
			free = append(free, s)
		}
	}
	slices.SortStableFunc(free, func(a, b Seat) int { return cmp.Compare(a.class(), b.class()) })

	return free
}

// class is 1 for a slow seat, else 0.
func (s Seat) class() int {
	if s.Slowness > slowRatio {
		return 1
	}

	return 0
}

// due lists the pool's jobs with waiting parts, those to run first in front.
func (c Collector) due(pool string, batching chuteroute.Batching, now time.Time) []job {
	var jobs []job
	for i := c.jobs.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		if j.Pool == pool && len(j.pending) > 0 && now.Add(batching.CallTime).Before(j.Deadline) {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b job) int { return before(&a, &b, batching, now) })

	return jobs
}

// startBy orders jobs by when they have to be done for the rest to be on time: a
// long prompt needs more time after its stages than a short one.
func (j *job) startBy() time.Time {
	return j.AimAt.Add(-j.Rest)
}

// class is 0 for a job that can still make its aim, 1 for one that is late.
//
// With the nearest aim first and nothing else, a burst makes each job wait until
// it is just too late. Those that are late anyhow yield to those that are not.
func (j *job) class(batching chuteroute.Batching, now time.Time) int {
	if now.Add(batching.CallTime + j.Rest).After(j.AimAt) {
		return 1
	}

	return 0
}

// before says whether a job's parts go ahead of another's.
func before(a, b *job, batching chuteroute.Batching, now time.Time) int {
	return cmp.Or(
		cmp.Compare(a.class(batching, now), b.class(batching, now)),
		cmp.Compare(a.Priority, b.Priority),
		a.startBy().Compare(b.startBy()),
		cmp.Compare(a.ID, b.ID),
	)
}

// filling is one round of Fill.
type filling struct {
	batching chuteroute.Batching
	seats    []Seat
	waiting  []job
	now      time.Time
}

// nextSeat returns the seat for the first waiting job that any free seat suits.
func (f *filling) nextSeat(c Collector) (int, bool) {
	for i := range f.waiting {
		j := &f.waiting[i]
		other := -1
		for n, s := range f.seats {
			if !f.fits(c, j, s, 0) {
				continue
			}
			if s.Zone == j.Zone && s.class() == 0 {
				return n, true
			}
			if other < 0 && f.suits(j, s) {
				other = n
			}
		}
		if other >= 0 {
			return other, true
		}
	}

	return 0, false
}

// suits says whether the job's parts may run at the seat by now.
func (f *filling) suits(j *job, s Seat) bool {
	waited := f.now.Sub(j.Since)
	if s.class() > 0 && (waited < 2*patience || !f.timely(j, s)) {
		return false
	}
	if j.Zone == "" || j.Zone == s.Zone || !j.heavy() {
		return true
	}

	return waited >= patience
}

// timely says whether a full call at a slow seat ends in time to be of use.
func (f *filling) timely(j *job, s Seat) bool {
	full := f.batching.FullCall()
	ends := f.now.Add(time.Duration(s.Slowness*float64(full)) + j.Rest)
	if j.class(f.batching, f.now) > 0 {
		return ends.Before(j.Deadline)
	}

	return ends.Before(j.AimAt)
}

// heavy says whether the job's data should not cross zones.
func (j *job) heavy() bool {
	return j.ResultBytes*int64(j.Parts) >= heavyBytes || len(j.Inputs) > 1
}

// fits says whether the seat has room for one more result of the job beside what is planned.
func (f *filling) fits(c Collector, j *job, s Seat, planned int64) bool {
	return f.batching.Room <= 0 || c.used(s.Upstream, f.now)+c.foreign(s.Upstream, f.now)+planned+j.ResultBytes <= f.batching.Room
}

// take picks the parts of one call, in the order of their jobs.
func (f *filling) take(c Collector, s Seat) []Part {
	var parts []Part
	planned := int64(0)
	for i := range f.waiting {
		j := &f.waiting[i]
		if !f.suits(j, s) {
			continue
		}
		for _, index := range j.pending {
			if len(parts) == f.batching.BatchSize || !f.fits(c, j, s, planned) {
				break
			}
			parts = append(parts, Part{Job: j.ID, Index: index})
			planned += j.ResultBytes
		}
	}

	return parts
}

// withCall takes the call's parts out of the queue and reserves room for their results.
func (c Collector) withCall(call Call) (Collector, Call) {
	room, _ := c.rooms.Get(call.Upstream)
	room = slices.Clone(room)
	for _, p := range call.Parts {
		j, _ := c.jobs.Get(p.Job)
		j.pending = slices.DeleteFunc(slices.Clone(j.pending), func(i int) bool { return i == p.Index })
		c.jobs = c.jobs.Set(p.Job, j)
		call.Jobs = append(call.Jobs, j.Job)
		room = append(room, held{part: p, bytes: j.ResultBytes})
	}
	c.rooms = c.rooms.Set(call.Upstream, room)
	c.calls = c.calls.Set(call.ID, call)

	return c, call
}
