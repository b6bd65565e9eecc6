package chutefleet

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutework"
)

// simLarge adds the sizes that take more than three seconds.
var simLarge = flag.Bool("sim.large", false, "simulate the placement by 985 nodes too")

// simChoice is how a simulated node selects an upstream.
type simChoice string

const (
	byWork   simChoice = "work"
	byCalls  simChoice = "calls"
	byRandom simChoice = "random"
)

const (
	// simRate is the number of prompt tokens that an engine of speed 1 processes in a millisecond.
	simRate = 30.0
	// simEventInterval is the time between two events of a stream at an engine of speed 1.
	simEventInterval = 20 * time.Millisecond
	// slowPhase is how long the pace of an engine stays the same, slowPace the pace of one phase in slowPeriod.
	slowPhase  = 600 * time.Millisecond
	slowPeriod = 5
	slowPace   = 250
)

// simEngine processes prompts one after the other. Its streams have no events meanwhile.
type simEngine struct {
	Upstream

	speed float64
	// slowAt is the phase of each period in which it is slow; negative if it never is.
	slowAt int
	freeAt time.Time
	calls  int
	tokens int64
	// busy holds the periods in which it processed prompts without a break.
	busy [][2]time.Time
}

func (e *simEngine) pace(at time.Time) int {
	if e.slowAt >= 0 && int(at.Sub(start)/slowPhase)%slowPeriod == e.slowAt {
		return slowPace
	}

	return usualPace
}

// process returns the time at which a prompt that arrives now has been processed.
func (e *simEngine) process(tokens int64, now time.Time) time.Time {
	begin := now
	if e.freeAt.After(now) {
		begin = e.freeAt
	}
	at, left := begin, float64(tokens)
	for {
		rate := simRate * e.speed * usualPace / float64(e.pace(at))
		phaseEnd := start.Add((at.Sub(start)/slowPhase + 1) * slowPhase)
		done := at.Add(time.Duration(left / rate * float64(time.Millisecond)))
		if done.Before(phaseEnd) {
			at = done

			break
		}
		left -= float64(phaseEnd.Sub(at)) / float64(time.Millisecond) * rate
		at = phaseEnd
	}
	e.freeAt, e.tokens = at, e.tokens+tokens
	if n := len(e.busy); n > 0 && !e.busy[n-1][1].Before(begin) {
		e.busy[n-1][1] = at
	} else {
		e.busy = append(e.busy, [2]time.Time{begin, at})
	}

	return at
}

// longestPause returns the longest time within a period in which the engine processed prompts without a break.
func (e *simEngine) longestPause(from, to time.Time) time.Duration {
	longest := time.Duration(0)
	for _, b := range e.busy {
		longest = max(longest, min(b[1].Sub(start), to.Sub(start))-max(b[0].Sub(start), from.Sub(start)))
	}

	return longest
}

type simEvent struct {
	at     time.Time
	number int
	do     func()
}

type simEvents []simEvent

func (s simEvents) Len() int { return len(s) }
func (s simEvents) Less(i, j int) bool {
	return cmp.Or(s[i].at.Compare(s[j].at), cmp.Compare(s[i].number, s[j].number)) < 0
}
func (s simEvents) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *simEvents) Push(x any)   { *s = append(*s, x.(simEvent)) }
func (s *simEvents) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]

	return last
}

// simCall is a call that was placed.
type simCall struct {
	tokens           int64
	engine           *simEngine
	sent, first, end time.Time
}

// simConfig describes a simulated load.
type simConfig struct {
	nodes  int
	speeds []float64
	// paceChanges says that each engine is slow for one phase in five.
	paceChanges bool
	// draw returns the number of prompt tokens of a call, mean their expectation.
	draw  func(rng *rand.Rand) int64
	mean  float64
	usage float64
	// events is the largest number of events of an answer, the least is 1.
	events   int
	pause    time.Duration
	duration time.Duration
	// reportEvery and reportAge are the time between reports and their age when they arrive.
	reportEvery, reportAge time.Duration
}

// placementSim is a simulation of nodes that place calls at engines.
type placementSim struct {
	simConfig

	choice  simChoice
	rng     *rand.Rand
	now     time.Time
	nodes   []Fleet
	engines map[string]*simEngine
	order   []*simEngine
	queue   simEvents
	number  int
	calls   []simCall
	learned map[string]interval
	// largest holds the largest outstanding work of an engine in milliseconds, peaks that over the mean, one for each 50 ms.
	largest, peaks []float64
}

func newPlacementSim(cfg simConfig, choice simChoice, seed uint64) *placementSim {
	s := &placementSim{
		simConfig: cfg, choice: choice, rng: rand.New(rand.NewPCG(seed, 1)), now: start,
		engines: map[string]*simEngine{}, learned: map[string]interval{},
	}
	var listed []Upstream
	for i, speed := range cfg.speeds {
		u := upstream(fmt.Sprint("u", i), "z1")
		u.Slots = 32
		e := &simEngine{Upstream: u, speed: speed, slowAt: -1}
		if cfg.paceChanges {
			e.slowAt = s.rng.IntN(slowPeriod)
		}
		listed, s.engines[u.ID], s.order = append(listed, u), e, append(s.order, e)
	}
	f := fleetOf(listed...)
	for range cfg.nodes {
		s.nodes = append(s.nodes, f)
	}

	return s
}

func (s *placementSim) at(at time.Time, do func()) {
	s.number++
	heap.Push(&s.queue, simEvent{at: at, number: s.number, do: do})
}

// run simulates the load. Arrivals and their sizes are the same for each choice of a seed.
func (s *placementSim) run() *placementSim {
	capacity := 0.0
	for _, e := range s.order {
		capacity += simRate * e.speed
	}
	gap := s.mean / (capacity * s.usage) * float64(time.Millisecond)
	for at := start; at.Sub(start) < s.duration; at = at.Add(time.Duration(s.rng.ExpFloat64() * gap)) {
		node, tokens, events, tieBreak := s.rng.IntN(len(s.nodes)), s.draw(s.rng), 1+s.rng.IntN(s.events), s.rng.Float64()
		s.at(at, func() { s.place(node, tokens, events, tieBreak) })
	}
	for at := start; s.choice == byWork && at.Sub(start) < s.duration; at = at.Add(s.reportEvery) {
		s.at(at, s.report)
	}
	for at := start.Add(time.Second); at.Sub(start) < s.duration; at = at.Add(50 * time.Millisecond) {
		s.at(at, s.measure)
	}
	for len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(simEvent)
		s.now = next.at
		next.do()
	}

	return s
}

// place sends a call to an upstream, and schedules what the node is told of it.
func (s *placementSim) place(node int, tokens int64, events int, tieBreak float64) {
	e := s.order[int(tieBreak*float64(len(s.order)))]
	if s.choice != byRandom {
		u, _ := s.nodes[node].Choose(Query{Pool: "p", Tokens: tokens, Pause: s.pause}, s.now, tieBreak)
		e = s.engines[u.ID]
	}
	ahead := s.nodes[node].OutstandingTokens(e.ID, s.now) + tokens
	s.nodes[node] = s.nodes[node].WithCallSent(e.ID, tokens, s.now)
	e.calls++
	sent, first := s.now, e.process(tokens, s.now)
	interval := time.Duration(float64(simEventInterval) / e.speed * float64(e.pace(first)) / usualPace)
	end := first.Add(time.Duration(events) * interval)
	s.calls = append(s.calls, simCall{tokens: tokens, engine: e, sent: sent, first: first, end: end})
	tell := func(f Fleet) Fleet {
		f = f.WithLoad(e.ID, min(e.calls, e.Slots), max(0, e.calls-e.Slots), s.now)
		if s.choice == byWork {
			f = f.WithPace(e.ID, e.pace(s.now), s.now)
		}

		return f
	}
	s.at(first, func() {
		f := s.nodes[node].WithFirstEvent(e.ID, ahead, 0, first.Sub(sent)+firstEventOverhead)
		s.nodes[node] = tell(f.WithTokensRead(e.ID, tokens).WithSuccess(e.ID, s.now))
	})
	s.at(end, func() {
		e.calls--
		s.nodes[node] = tell(s.nodes[node].WithCallDone(e.ID).WithEventInterval(e.ID, interval))
	})
}

// report sends the sums of all nodes' reports to all nodes.
func (s *placementSim) report() {
	sums := map[string]chutework.Report{}
	for i := range s.nodes {
		var own []chutework.Report
		s.nodes[i], own = s.nodes[i].TakeWork(s.now)
		for _, r := range own {
			sum := sums[r.Upstream]
			if r.Pace > 0 && (sum.Pace == 0 || r.PaceAge < sum.PaceAge) {
				sum.Pace, sum.PaceAge = r.Pace, r.PaceAge
			}
			sum.Calls, sum.Tokens = sum.Calls+r.Calls, sum.Tokens+r.Tokens
			sums[r.Upstream] = sum
			s.learned[r.Upstream] = s.learned[r.Upstream].with(interval{ms: float64(r.EventInterval) / float64(time.Millisecond), samples: r.Samples})
		}
	}
	var reports []chutework.Report
	for _, e := range s.order {
		sum, interval := sums[e.ID], s.learned[e.ID]
		sum.Upstream, sum.Age, sum.PaceAge = e.ID, s.reportAge, sum.PaceAge+s.reportAge
		sum.EventInterval, sum.Samples = time.Duration(interval.ms*float64(time.Millisecond)), interval.samples
		reports = append(reports, sum)
	}
	s.at(s.now.Add(s.reportAge), func() {
		for i := range s.nodes {
			s.nodes[i] = s.nodes[i].WithWork(reports, s.now)
		}
	})
}

// measure records the largest outstanding work over the mean.
func (s *placementSim) measure() {
	sum, largest := 0.0, 0.0
	for _, e := range s.order {
		left := max(0, e.freeAt.Sub(s.now).Seconds())
		sum, largest = sum+left, max(largest, left)
	}
	s.largest = append(s.largest, 1000*largest)
	if sum > 0 {
		s.peaks = append(s.peaks, largest/(sum/float64(len(s.order))))
	}
}

// firstEvents returns the times to the first event of the prompts with tokens.
func (s *placementSim) firstEvents(tokens int64) []time.Duration {
	var took []time.Duration
	for _, call := range s.calls {
		if call.tokens == tokens {
			took = append(took, call.first.Sub(call.sent))
		}
	}

	return took
}

// pausedStreams returns the number of streams with a pause that makes them late, and that of all streams.
func (s *placementSim) pausedStreams() (paused, all int) {
	for _, call := range s.calls {
		if call.engine.longestPause(call.first, call.end) > s.pause {
			paused++
		}
	}

	return paused, len(s.calls)
}

// shares returns the least and the largest number of prompt tokens of an engine over the mean.
func (s *placementSim) shares() (least, largest float64) {
	var all int64
	least = float64(s.order[0].tokens)
	for _, e := range s.order {
		all += e.tokens
		least, largest = min(least, float64(e.tokens)), max(largest, float64(e.tokens))
	}
	mean := float64(all) / float64(len(s.order))

	return least / mean, largest / mean
}

// quantile returns a quantile of values, which it sorts.
func quantile[T cmp.Ordered](values []T, q float64) T {
	slices.Sort(values)

	return values[int(q*float64(len(values)-1))]
}

// oneIn returns a draw of heavy tokens once in n times, of light ones otherwise, and its expectation.
func oneIn(n int, heavy, light int64) (draw func(*rand.Rand) int64, mean float64) {
	return func(rng *rand.Rand) int64 {
		if rng.IntN(n) == 0 {
			return heavy
		}

		return light
	}, (float64(heavy) + float64(n-1)*float64(light)) / float64(n)
}

// Guards against prompts of a few hundred tokens that wait behind ones of 20,000: by numbers of calls, an upstream with one
// of those looks as free as one with a light call.
func TestLightBesideHeavy(t *testing.T) {
	const light = 500
	draw, mean := oneIn(10, 20_000, light)
	even := simConfig{
		nodes: 8, speeds: []float64{1, 1, 1, 1, 1, 1, 1, 1}, draw: draw, mean: mean, usage: 0.5, events: 170,
		duration: 30 * time.Second, reportEvery: 100 * time.Millisecond, reportAge: 200 * time.Millisecond,
	}
	uneven := even
	uneven.speeds = []float64{0.5, 0.6, 0.8, 0.9, 1.1, 1.2, 1.4, 1.5}
	changing := uneven
	changing.paceChanges = true
	for name, cfg := range map[string]simConfig{"even speeds": even, "speeds of 0.5 to 1.5": uneven, "a pace that changes": changing} {
		t.Run(name, func(t *testing.T) {
			var work, calls []time.Duration
			for seed := range uint64(3) {
				work = append(work, newPlacementSim(cfg, byWork, seed).run().firstEvents(light)...)
				calls = append(calls, newPlacementSim(cfg, byCalls, seed).run().firstEvents(light)...)
			}
			got, before := quantile(work, 0.9), quantile(calls, 0.9)
			t.Logf("0.9 quantile of %d light calls: by work %v (median %v), by calls %v (median %v)", len(work),
				got.Round(time.Millisecond), quantile(work, 0.5).Round(time.Millisecond), before.Round(time.Millisecond), quantile(calls, 0.5).Round(time.Millisecond))
			qt.Assert(t, got <= before/2, qt.IsTrue, qt.Commentf("%v by work, %v by calls", got, before))
		})
	}
}

// Guards against long prompts that are sent to slow upstreams or to ones with many streams, all of which they delay.
func TestStreamsBesideLongPrompts(t *testing.T) {
	draw, mean := oneIn(50, 40_000, 500)
	cfg := simConfig{
		nodes: 8, speeds: []float64{0.6, 1, 1.6, 0.6, 1, 1.6}, draw: draw, mean: mean, usage: 0.4, events: 80, pause: 300 * time.Millisecond,
		duration: 30 * time.Second, reportEvery: 100 * time.Millisecond, reportAge: 200 * time.Millisecond,
	}
	var paused, all [2]int
	for seed := range uint64(4) {
		for i, choice := range []simChoice{byWork, byCalls} {
			p, n := newPlacementSim(cfg, choice, seed).run().pausedStreams()
			paused[i], all[i] = paused[i]+p, all[i]+n
		}
	}
	t.Logf("streams with a pause above %v: by work %d, by calls %d, of %d", cfg.pause, paused[0], paused[1], all[0])
	qt.Assert(t, all[0], qt.Equals, all[1])
	qt.Assert(t, paused[0] < paused[1], qt.IsTrue, qt.Commentf("%d by work, %d by calls", paused[0], paused[1]))
}

// Guards against nodes with equally old reports that all send to the upstream that was the least loaded then.
func TestNoHerd(t *testing.T) {
	sizes := []int{8, 65}
	if *simLarge {
		sizes = append(sizes, 195, 985)
	}
	for _, nodes := range sizes {
		for _, age := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second} {
			t.Run(fmt.Sprintf("%d nodes, reports %v old", nodes, age), func(t *testing.T) { expectNoHerd(t, nodes, age) })
		}
	}
}

// maxHerd bounds the largest outstanding work, and that over the mean, as multiples of those of a placement at random. Reports
// older than the time that a prompt takes cost more than they tell.
const maxHerd = 2

// expectNoHerd fails unless the largest outstanding work is bounded and each upstream gets its part of the prompts.
func expectNoHerd(t *testing.T, nodes int, age time.Duration) {
	cfg := simConfig{
		nodes: nodes, draw: func(rng *rand.Rand) int64 { return 1000 + rng.Int64N(4000) }, mean: 3000, usage: 0.5, events: 170,
		duration: 8 * time.Second, reportAge: age,
		// The time between two messages grows with the nodes (docs/design/hard-load.md).
		reportEvery: min(time.Second, 100*time.Millisecond+time.Duration(max(0, nodes-25))*4*time.Millisecond),
	}
	for range nodes {
		cfg.speeds = append(cfg.speeds, 1)
	}
	work, random := newPlacementSim(cfg, byWork, 1).run(), newPlacementSim(cfg, byRandom, 1).run()
	least, largest := work.shares()
	leastRandom, largestRandom := random.shares()
	got, want := quantile(work.peaks, 0.9), quantile(random.peaks, 0.9)
	gotLargest, wantLargest := quantile(work.largest, 0.9), quantile(random.largest, 0.9)
	t.Logf("largest outstanding work, 0.9 quantile: %.0f ms, %.1f of the mean; at random %.0f ms, %.1f of the mean; shares %.2f to %.2f, at random %.2f to %.2f",
		gotLargest, got, wantLargest, want, least, largest, leastRandom, largestRandom)
	qt.Assert(t, gotLargest <= maxHerd*wantLargest, qt.IsTrue, qt.Commentf("%.0f ms by work, %.0f ms at random", gotLargest, wantLargest))
	qt.Assert(t, got <= maxHerd*want, qt.IsTrue, qt.Commentf("%.1f of the mean by work, %.1f at random", got, want))
	qt.Assert(t, least >= leastRandom/2, qt.IsTrue, qt.Commentf("an upstream got %.2f of the mean, %.2f at random", least, leastRandom))
}
