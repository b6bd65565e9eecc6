package chuteroom

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	engineCount    = 8
	tokensPerMs    = 30.0
	engineOverhead = 60 * time.Millisecond
	lightTokens    = 500
	heavyTokens    = 20_000
	callerTime     = 3 * time.Second
	callerTarget   = 750 * time.Millisecond
)

// caller is one request in a simulation, with what became of it.
type caller struct {
	workspace string
	tokens    int64
	rank      int
	// arrivesAt and leavesAt are times since the start of the simulation, as are all below; at is when it arrives next.
	arrivesAt time.Duration
	leavesAt  time.Duration
	at        time.Duration
	order     int
	refusals  []refused
	// admitted says that it was sent to an engine, served that its first event came while it waited.
	admitted bool
	served   bool
}

// refused is one refusal of a caller.
type refused struct {
	at     time.Duration
	after  time.Duration
	reason Reason
}

func (c *caller) isHeavy() bool {
	return c.tokens == heavyTokens
}

// ownTime is the time that an engine takes for the prompt.
func (c *caller) ownTime() time.Duration {
	return time.Duration(float64(c.tokens) / tokensPerMs * float64(time.Millisecond))
}

// agenda orders callers by the time of their next arrival.
type agenda []*caller

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(a[i].at, a[j].at), cmp.Compare(a[i].order, a[j].order)) < 0
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(*caller)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]

	return last
}

// simulation runs callers against engines that are queues.
type simulation struct {
	pool   Pool
	random *rand.Rand
	// admits is false for a simulation in which all calls are sent.
	admits bool
	// drops says that an engine leaves out prompts whose callers have left when it would begin with them.
	drops bool
	// estimateFactor is the ratio of the expected times to the real ones.
	estimateFactor float64
	// engines are the times at which the engines have done their work.
	engines []time.Duration
	callers []*caller
}

func newSimulation(seed uint64) *simulation {
	return &simulation{
		pool: NewPool(), random: rand.New(rand.NewPCG(seed, seed)), admits: true, estimateFactor: 1,
		engines: make([]time.Duration, engineCount),
	}
}

// addLoad adds callers of a workspace that arrive at random between two times, with a multiple of the engines' capacity.
// heavyShare is the part of heavy requests.
func (s *simulation) addLoad(workspace string, from, until time.Duration, load, heavyShare float64) {
	tokens := heavyShare*heavyTokens + (1-heavyShare)*lightTokens
	interval := tokens / (load * engineCount * tokensPerMs) * float64(time.Millisecond)
	for at := from; ; {
		at += time.Duration(s.random.ExpFloat64() * interval)
		if at >= until {
			return
		}
		c := &caller{workspace: workspace, tokens: lightTokens, arrivesAt: at, leavesAt: at + callerTime, at: at, order: len(s.callers)}
		if s.random.Float64() < heavyShare {
			c.tokens = heavyTokens
		}
		s.callers = append(s.callers, c)
	}
}

// run processes all arrivals in order; refused callers come back after their retry delays while they have time left.
func (s *simulation) run() {
	a := agenda(append([]*caller(nil), s.callers...))
	heap.Init(&a)
	for a.Len() > 0 {
		c := heap.Pop(&a).(*caller)
		if s.arrive(c) && c.at < c.leavesAt {
			heap.Push(&a, c)
		}
	}
}

// arrive handles one arrival, and reports whether the caller comes back.
func (s *simulation) arrive(c *caller) bool {
	best := 0
	for i := range s.engines {
		if s.engines[i] < s.engines[best] {
			best = i
		}
	}
	wait := max(0, s.engines[best]-c.at) + engineOverhead
	own := c.ownTime()
	if s.admits {
		var d Decision
		s.pool, d = s.pool.Decide(Call{
			Workspace: c.workspace, Tokens: c.tokens, Wait: time.Duration(s.estimateFactor * float64(wait)),
			FirstEvent: time.Duration(s.estimateFactor * float64(wait+own)), UntilLeft: c.leavesAt - c.at, UntilTarget: callerTarget, Rank: c.rank,
		}, start.Add(c.at), s.random.Float64())
		if !d.Admitted() {
			c.refusals = append(c.refusals, refused{at: c.at, after: d.RetryAfter, reason: d.Reason})
			c.at += d.RetryAfter

			return true
		}
	}
	c.admitted = true
	c.served = c.at+wait+own <= c.leavesAt
	if s.drops && c.at+wait > c.leavesAt {
		return false
	}
	s.engines[best] = max(s.engines[best], c.at) + own

	return false
}

// tally counts the callers for which a condition holds, and how many of them were served.
func (s *simulation) tally(holds func(c *caller) bool) (served, all int) {
	for _, c := range s.callers {
		if holds(c) {
			all++
			if c.served {
				served++
			}
		}
	}

	return served, all
}

// part returns the part of the callers for which a condition holds that were served.
func (s *simulation) part(holds func(c *caller) bool) float64 {
	served, all := s.tally(holds)

	return float64(served) / float64(max(1, all))
}

// lost counts the callers that were sent to an engine and had left when their first event came.
func (s *simulation) lost() int {
	lost := 0
	for _, c := range s.callers {
		if c.admitted && !c.served {
			lost++
		}
	}

	return lost
}

// refusals lists all refusals before a time.
func (s *simulation) refusals(before time.Duration) []refused {
	var all []refused
	for _, c := range s.callers {
		for _, r := range c.refusals {
			if r.at < before {
				all = append(all, r)
			}
		}
	}

	return all
}

func light(c *caller) bool { return !c.isHeavy() }
func heavy(c *caller) bool { return c.isHeavy() }

func of(workspace string) func(c *caller) bool {
	return func(c *caller) bool { return c.workspace == workspace }
}

// overload returns a simulation of sixteen workspaces that send one and a half times the capacity for a minute, one prompt
// in ten a heavy one.
func overload(seed uint64) *simulation {
	s := newSimulation(seed)
	for i := range 16 {
		s.addLoad(fmt.Sprint("w", i), 0, time.Minute, 1.5/16, 0.1)
	}

	return s
}

// withoutAdmission runs the same load with all calls sent.
func withoutAdmission(load func(seed uint64) *simulation, seed uint64) *simulation {
	s := load(seed)
	s.admits = false
	s.run()

	return s
}

func (s *simulation) log(t *testing.T, name string) {
	t.Helper()
	lightServed, lightAll := s.tally(light)
	heavyServed, heavyAll := s.tally(heavy)
	t.Logf("%s: light %d of %d, heavy %d of %d served, %d lost, %.2f refusals per caller", name, lightServed, lightAll, heavyServed, heavyAll, s.lost(), s.refusalsPerCaller())
}

func TestOverload(t *testing.T) {
	// One and a half times the capacity, one prompt in ten of 20,000 tokens and the rest of 500. Guards against queues that
	// grow until all callers leave before their first events, so that the engines work for nobody.
	totalServed, totalDropping := 0, 0
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := qt.New(t)
			s, without := overload(seed), withoutAdmission(overload, seed)
			s.run()
			s.log(t, "with admission")
			without.log(t, "without")
			dropping := overload(seed)
			dropping.admits, dropping.drops = false, true
			dropping.run()
			dropping.log(t, "without, engines drop prompts whose callers have left")
			served, _ := s.tally(light)
			servedWithout, _ := without.tally(light)
			servedDropping, _ := dropping.tally(light)
			c.Assert(served >= 2*servedWithout, qt.IsTrue)
			totalServed, totalDropping = totalServed+served, totalDropping+servedDropping
			c.Assert(s.part(light) > 0.9, qt.IsTrue)
			// Two thirds of the load is what the engines can do.
			c.Assert(s.part(heavy) > 0.5, qt.IsTrue, qt.Commentf("heavy requests get their share"))
			// A refusal is decided on arrival, so that only a caller whose call was sent in vain would wait for nothing.
			c.Assert(s.lost(), qt.Equals, 0)
		})
	}
	qt.Assert(t, totalServed >= 2*totalDropping, qt.IsTrue, qt.Commentf("%d of light ones are served, %d without admission", totalServed, totalDropping))
}

func TestWrongEstimate(t *testing.T) {
	// The load of TestOverload while all expected times are half or twice the real ones. Guards against thresholds that
	// work only with a good estimate: too low, callers would leave before their first events; too high, engines would idle.
	for _, factor := range []float64{0.5, 2} {
		t.Run(fmt.Sprint("factor ", factor), func(t *testing.T) {
			c := qt.New(t)
			s, without := overload(4), withoutAdmission(overload, 4)
			s.estimateFactor = factor
			s.run()
			s.log(t, "with admission")
			served, _ := s.tally(light)
			servedWithout, _ := without.tally(light)
			c.Assert(served >= 2*servedWithout, qt.IsTrue)
			c.Assert(s.part(heavy) > 0.4, qt.IsTrue)
			c.Assert(s.lost() <= len(s.callers)/50, qt.IsTrue, qt.Commentf("%d lost", s.lost()))
		})
	}
}

func TestLoudWorkspace(t *testing.T) {
	// Sixteen workspaces use 0.9 of the capacity, then one of them sends 7.5 times its usual for half a minute. Guards
	// against a loud workspace that takes capacity from the others.
	load := func(factor float64) *simulation {
		s := newSimulation(5)
		for i := range 15 {
			s.addLoad(fmt.Sprint("w", i), 0, time.Minute, 0.9/16, 0.1)
		}
		s.addLoad("loud", 0, 20*time.Second, 0.9/16, 0.1)
		s.addLoad("loud", 20*time.Second, 50*time.Second, factor*0.9/16, 0.1)
		s.run()

		return s
	}
	c := qt.New(t)
	usual, loud := load(1), load(7.5)
	others := func(c *caller) bool { return c.workspace != "loud" }
	t.Logf("others: %.4f served beside a usual workspace, %.4f beside a loud one, of which %.4f", usual.part(others), loud.part(others), loud.part(of("loud")))
	const tolerance = 0.01
	c.Assert(loud.part(others) >= usual.part(others)-tolerance, qt.IsTrue)
	for i := range 15 {
		one := of(fmt.Sprint("w", i))
		c.Assert(loud.part(one) >= usual.part(one)-2*tolerance, qt.IsTrue, qt.Commentf("w%d: %.4f, usually %.4f", i, loud.part(one), usual.part(one)))
	}
}

func TestHeavyAmongLight(t *testing.T) {
	// Fifteen workspaces send one and a half times the capacity of light requests, one sends heavy ones within its share.
	// Guards against a queue that light requests keep too long for any heavy one.
	c := qt.New(t)
	s := newSimulation(6)
	for i := range 15 {
		s.addLoad(fmt.Sprint("w", i), 0, time.Minute, 1.5/15, 0)
	}
	s.addLoad("heavy", 0, time.Minute, 0.5/16, 1)
	s.run()
	s.log(t, "heavy among light")
	c.Assert(s.part(heavy) > 0.95, qt.IsTrue)
	c.Assert(s.part(light) > 0.55, qt.IsTrue)
}

func TestUrgency(t *testing.T) {
	// A workspace sends urgent requests and others that are two priorities less urgent, together one and a half times the
	// capacity. Guards against urgent requests that are refused alike.
	c := qt.New(t)
	s := newSimulation(7)
	s.addLoad("w", 0, time.Minute, 0.7, 0)
	urgent := len(s.callers)
	s.addLoad("w", 0, time.Minute, 0.8, 0)
	for _, c := range s.callers[urgent:] {
		c.rank = 20
	}
	s.run()
	isUrgent := func(c *caller) bool { return c.rank == 0 }
	isOther := func(c *caller) bool { return c.rank > 0 }
	t.Logf("%.3f of the urgent and %.3f of the others are served", s.part(isUrgent), s.part(isOther))
	c.Assert(s.part(isUrgent) > 0.95, qt.IsTrue)
	c.Assert(s.part(isOther) > 0.3, qt.IsTrue)
}

// recovery returns a simulation of one and a half times the capacity until overloadEnd, and half of it then.
func recovery(seed uint64) *simulation {
	s := newSimulation(seed)
	for i := range 16 {
		s.addLoad(fmt.Sprint("w", i), 0, overloadEnd, 1.5/16, 0.1)
		s.addLoad(fmt.Sprint("w", i), overloadEnd, overloadEnd+10*time.Second, 0.5/16, 0.1)
	}

	return s
}

const overloadEnd = 20 * time.Second

func TestReturningCallers(t *testing.T) {
	// Guards against callers that are told to come back in one moment, and against refusing them again when there is
	// capacity.
	var all []*simulation
	for seed := range uint64(5) {
		s := recovery(seed + 10)
		s.run()
		all = append(all, s)
	}

	t.Run("nine in ten are served once there is capacity", func(t *testing.T) {
		// A caller is away for a third of its time, and the queue of the overload takes some hundred milliseconds.
		isBack := func(c *caller) bool {
			return len(c.refusals) > 0 && c.refusals[0].at < overloadEnd && c.leavesAt-c.ownTime() > overloadEnd+1500*time.Millisecond
		}
		served, asked := 0, 0
		for _, s := range all {
			servedOne, askedOne := s.tally(isBack)
			served, asked = served+servedOne, asked+askedOne
		}
		t.Logf("%d of %d are served", served, asked)
		qt.New(t).Assert(asked > 100 && float64(served) >= 0.9*float64(asked), qt.IsTrue)
	})

	t.Run("those refused throughout a second don't come back within one", func(t *testing.T) {
		c := qt.New(t)
		for _, s := range all {
			for second, returns := range s.returns(time.Second) {
				most := mostWithin(returns, time.Second)
				c.Assert(float64(most) < 0.95*float64(len(returns)), qt.IsTrue, qt.Commentf("second %v: %d of %d", second, most, len(returns)))
			}
		}
	})

	t.Run("those refused in one moment come back over some hundred milliseconds", func(t *testing.T) {
		const moment = 100 * time.Millisecond
		c := qt.New(t)
		checked := 0
		for _, s := range all {
			for at, returns := range s.returns(moment) {
				checked++
				most := mostWithin(returns, moment)
				c.Assert(float64(most) < 0.75*float64(len(returns)), qt.IsTrue, qt.Commentf("at %v: %d of %d", at, most, len(returns)))
			}
		}
		c.Assert(checked > 10, qt.IsTrue)
	})
}

// returns lists when the callers come back that were refused during the overload, in order, by the time of the refusal
// rounded down. Times with few refusals are left out, and the first five seconds, in the middle of one of which refusals
// begin.
func (s *simulation) returns(rounded time.Duration) map[time.Duration][]time.Duration {
	const few = 30
	all := map[time.Duration][]time.Duration{}
	for _, r := range s.refusals(overloadEnd) {
		at := r.at.Truncate(rounded)
		all[at] = append(all[at], r.at+r.after)
	}
	maps.DeleteFunc(all, func(at time.Duration, times []time.Duration) bool { return at < 5*time.Second || len(times) < few })
	for _, times := range all {
		slices.Sort(times)
	}

	return all
}

// mostWithin returns the largest number of sorted times that lie within a duration.
func mostWithin(times []time.Duration, d time.Duration) int {
	most := 0
	for i, at := range times {
		end, _ := slices.BinarySearch(times, at+d)
		most = max(most, end-i)
	}

	return most
}

func TestCapacity(t *testing.T) {
	// Half of the capacity, one prompt in ten heavy, workspaces of very different sizes. Guards against refusals while
	// there is capacity.
	c := qt.New(t)
	s := newSimulation(9)
	s.addLoad("large", 0, time.Minute, 0.4, 0.1)
	for i := range 10 {
		s.addLoad(fmt.Sprint("w", i), 0, time.Minute, 0.01, 0.1)
	}
	s.run()
	s.log(t, "half of the capacity")
	c.Assert(s.refusals(time.Hour), qt.HasLen, 0)
}

var start = time.Unix(1000, 0)

func (s *simulation) refusalsPerCaller() float64 {
	return float64(len(s.refusals(time.Hour))) / float64(len(s.callers))
}
