package chutebatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chuteroute"
)

const (
	// heavyBytes is the size of a stage's inputs and results from which on they are
	// worth keeping in one zone: a tenth of a second's share of a zone's link.
	heavyBytes = 100_000
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

// Fill gives each free slot of the lane's upstreams a call, while parts wait, and returns the calls.
func (c Collector) Fill(l Lane, seats []Seat, now time.Time) (Collector, []Call) {
	batching, ok := c.pools[l.Pool]
	if !ok || c.Waiting(l) == 0 {
		return c, nil
	}
	f := filling{c: c, lane: l, batching: batching, now: now, seats: c.free(l.Pool, seats, now)}
	f.left = make([]int64, len(f.seats))
	for i, s := range f.seats {
		f.left[i] = math.MaxInt64
		if batching.Room > 0 {
			f.left[i] = c.left(l.Pool, s.Upstream, now)
		}
	}
	var calls []Call
	for len(f.seats) > 0 {
		seat, found := f.nextSeat()
		if !found {
			break
		}
		if call, ok := f.call(seat); ok {
			calls = append(calls, call)
		}
	}

	return f.c, calls
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

// filling is one round of Fill.
type filling struct {
	c        Collector
	lane     Lane
	batching chuteroute.Batching
	now      time.Time
	seats    []Seat
	// left is the room at each seat.
	left []int64
}

// useful says whether the job's parts can be done before nobody waits any more.
func (f *filling) useful(j *job) bool {
	return f.now.Add(f.batching.CallTime).Before(j.Deadline)
}

// nextSeat returns the seat for the first waiting job that any free seat suits.
func (f *filling) nextSeat() (int, bool) {
	seat := -1
	f.c.walk(f.lane, f.now, func(j *job) bool {
		if f.useful(j) {
			seat = f.seatFor(j)
		}

		return seat < 0
	})

	return seat, seat >= 0
}

// seatFor returns a seat for the job, at best one where its results are needed; -1 if there is none.
func (f *filling) seatFor(j *job) int {
	other := -1
	for n, s := range f.seats {
		if f.left[n] < j.ResultBytes {
			continue
		}
		if s.Zone == j.Zone && s.class() == 0 {
			return n
		}
		if other < 0 && f.suits(j, s) {
			other = n
		}
	}

	return other
}

// call takes the parts of one call, in the order of their jobs, and the seat out of the
// round; false means that the seat is better left free for now.
func (f *filling) call(seat int) (Call, bool) {
	var parts []Part
	left := f.left[seat]
	crowded := 0
	f.c.walk(f.lane, f.now, func(j *job) bool {
		if !f.useful(j) || !f.suits(j, f.seats[seat]) || j.Alone && len(parts) > 0 {
			return true
		}
		for _, index := range j.pending {
			if len(parts) == f.batching.BatchSize {
				return false
			}
			if left < j.ResultBytes {
				crowded++

				continue
			}
			parts = append(parts, Part{Job: j.ID, Index: index})
			left -= j.ResultBytes
		}

		return !j.Alone || len(parts) == 0
	})
	upstream := f.seats[seat].Upstream
	f.seats = slices.Delete(f.seats, seat, seat+1)
	f.left = slices.Delete(f.left, seat, seat+1)
	if f.waste(upstream, len(parts), crowded) {
		return Call{}, false
	}
	f.c.lastCall++
	call := Call{ID: f.c.lastCall, Pool: f.lane.Pool, Lane: f.lane, Upstream: upstream, Parts: parts, spare: left}
	f.c, call = f.c.withCall(call)

	return call, true
}

// smallCall is the part of a full call below which a call is small: its fixed cost is
// then well above that of its parts.
const smallCall = 0.5

// waste says whether a call is small only for want of room that comes free soon.
//
// Each call has a fixed cost of several times that of a part. Where room for
// results binds, a call of three parts takes the slot for 0.16 s while the room for
// twenty comes free: pools whose calls came out full and tiny by turns made 30 of
// 42 parts a call under load. Where the room stays taken, small calls go on after a
// while, so that parts that need little room do not wait for it.
func (f *filling) waste(upstream string, parts, crowded int) bool {
	small := int(smallCall * float64(f.batching.BatchSize))
	if parts >= small || parts+crowded < small || !f.c.releases(upstream, f.now) {
		f.c.heldBack = f.c.heldBack.Delete(upstream)

		return false
	}
	since, held := f.c.heldBack.Get(upstream)
	switch {
	case !held:
		f.c.heldBack = f.c.heldBack.Set(upstream, f.now)
	case f.now.Sub(since) >= f.batching.CallTime:
		// The small call would have ended by now.
		f.c.heldBack = f.c.heldBack.Delete(upstream)

		return false
	}

	return true
}

// releases says whether results at an upstream are known that will be freed.
func (c Collector) releases(upstream string, now time.Time) bool {
	r, _ := c.rooms.Get(upstream)

	return slices.ContainsFunc(r.held, func(h held) bool { return !h.until.IsZero() && now.Before(h.until) })
}

// suits says whether the job's parts may run at the seat by now.
func (f *filling) suits(j *job, s Seat) bool {
	waited := f.now.Sub(j.Since)
	if s.class() > 0 && (waited < f.patience() || !f.timely(j, s)) {
		return false
	}
	if j.Zone == "" || j.Zone == s.Zone || !j.heavy() {
		return true
	}

	return waited >= f.patience()
}

// patience is how long heavy parts wait for an upstream in the zone where their data
// is, and all parts for a quick upstream before a slow one: a full call, after which it
// is free again. Sooner, data crosses zones that could have stayed; later, the answer is late.
func (f *filling) patience() time.Duration {
	return f.batching.FullCall()
}

// timely says whether a full call at a slow seat ends in time to be of use.
func (f *filling) timely(j *job, s Seat) bool {
	full := f.batching.FullCall()
	ends := f.now.Add(time.Duration(s.Slowness*float64(full)) + j.Rest)
	if j.place().startBy < lateAfter(f.batching, f.now) {
		return ends.Before(j.Deadline)
	}

	return ends.Before(j.AimAt)
}

// heavy says whether the job's data should not cross zones.
//
// Each part fetches all inputs, so several of them outweigh the rest. Results weigh
// only if the call fetches them: those for another stage are fetched where that stage
// is then made, beside them. Waiting for a zone with them as well would take time from the
// aim of each request with a chain of stages, for nothing.
func (j *job) heavy() bool {
	last := len(j.Then) == 0

	return last && j.ResultBytes*int64(j.Parts) >= heavyBytes || len(j.Inputs) > 1
}

// withCall takes the call's parts out of the queue and reserves room for their results.
func (c Collector) withCall(call Call) (Collector, Call) {
	var reserved []held
	for _, p := range call.Parts {
		j, _ := c.jobs.Get(p.Job)
		j.pending = slices.DeleteFunc(slices.Clone(j.pending), func(i int) bool { return i == p.Index })
		c = c.withJob(j)
		call.Jobs = append(call.Jobs, j.Job)
		reserved = append(reserved, held{part: p, bytes: j.ResultBytes})
	}
	r, _ := c.rooms.Get(call.Upstream)
	c.rooms = c.rooms.Set(call.Upstream, r.with(reserved...))
	c.calls = c.calls.Set(call.ID, call)

	return c, call
}
