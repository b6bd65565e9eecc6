package chuteproof

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chuterequest"
)

// fate is what the world does with one call to an upstream.
type fate string

const (
	fateAnswered    fate = "Answered"
	fateUnreachable fate = "Unreachable" // nothing handed over
	fateRefused     fate = "Refused"     // the upstream says that it took nothing
	fateBroken      fate = "Broken"      // it ran, then the connection ended
	fateSilent      fate = "Silent"      // it ran, and its answer comes after the caller gave up
	fateCrossed     fate = "Crossed"     // it ran, and the answer of another call comes in its place
)

var everyFate = []fate{fateAnswered, fateUnreachable, fateRefused, fateBroken, fateSilent, fateCrossed}

const (
	worldUpstreams = 3
	worldStages    = 4
	worldDeadline  = 5 * time.Second
	worldStall     = 500 * time.Millisecond
	worldLatency   = 20 * time.Millisecond
)

// call is one hand-over as the world sees it.
type call struct {
	id           string
	node         int
	handle       uint64
	key          chuterequest.Key
	stage        int
	upstream     string
	context      string
	unrepeatable bool
}

// output is what a right answer to the call says: the chain of all stages of one request.
func (c call) output() string {
	return fmt.Sprintf("%s>%d(%s)", c.context, c.stage, c.key)
}

// execution is one line of the upstreams' own log.
type execution struct {
	call call
	at   time.Time
}

// told is one final answer to a caller.
type told struct {
	node    int
	handle  uint64
	key     chuterequest.Key
	outcome chuterequest.Outcome
	output  string
	at      time.Time
}

// router is one node, ours or the naive one, as the world drives it.
type router interface {
	arrive(handle uint64, key chuterequest.Key, unrepeatable bool, deadline time.Time)
	answered(c call, answerOf call)
	failed(c call, f chuterequest.Failure)
	late(c call)
	tick()
}

// world is callers, upstreams and the claim table around some nodes, on one fake clock and one seed.
type world struct {
	now        time.Time
	random     *rand.Rand
	agenda     agenda
	scheduled  int
	nodes      []router
	dead       map[int]bool
	fates      func(c call) fate
	running    []call
	executions []execution
	tolds      []told
	submitted  []told
	// marked are the keys that callers marked as unrepeatable. The proofs go by
	// them and not by what a router says of its own calls: one that forgot the
	// mark would otherwise judge itself.
	marked     map[chuterequest.Key]bool
	lastWord   map[[2]uint64]time.Time
	claims     map[chuterequest.Key]claimRow
	claimFault func() bool
	faults     int
}

// claimRow is the durable claim of one key.
type claimRow struct {
	node   int
	handle uint64
	done   bool
	answer told
}

func newWorld(seed uint64, fates func(c call) fate) *world {
	return &world{
		now: time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC), random: rand.New(rand.NewPCG(seed, 1)),
		dead: map[int]bool{}, fates: fates, lastWord: map[[2]uint64]time.Time{},
		claims: map[chuterequest.Key]claimRow{}, claimFault: func() bool { return false },
		marked: map[chuterequest.Key]bool{},
	}
}

// after runs a function on the world's clock.
func (w *world) after(delay time.Duration, run func()) {
	w.scheduled++
	heap.Push(&w.agenda, entry{at: w.now.Add(delay), order: w.scheduled, run: run})
}

// run lets time pass until the given span is over.
func (w *world) run(span time.Duration) {
	end := w.now.Add(span)
	for len(w.agenda) > 0 && !w.agenda[0].at.After(end) {
		next := heap.Pop(&w.agenda).(entry)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// ticks wakes every node regularly.
func (w *world) ticks() {
	for i, n := range w.nodes {
		if !w.dead[i] {
			n.tick()
		}
	}
	w.after(worldLatency, w.ticks)
}

// submit lets a caller send a request to a node.
func (w *world) submit(node int, handle uint64, key chuterequest.Key, unrepeatable bool) {
	if unrepeatable {
		w.marked[key] = true
	}
	w.submitted = append(w.submitted, told{node: node, handle: handle, key: key, at: w.now})
	w.nodes[node].arrive(handle, key, unrepeatable, w.now.Add(worldDeadline))
}

// kill ends a node as SIGKILL does: whatever it would still do or say is gone.
func (w *world) kill(node int) {
	w.dead[node] = true
	w.faults++
}

// tell is a node's final answer to a caller.
func (w *world) tell(t told) {
	if !w.dead[t.node] {
		t.at = w.now
		w.tolds = append(w.tolds, t)
	}
}

// hand takes a call and lets its fate happen.
func (w *world) hand(c call) {
	if w.dead[c.node] {
		return
	}
	c.unrepeatable = w.marked[c.key]
	f := w.fates(c)
	if f != fateAnswered {
		w.faults++
	}
	latency := worldLatency + time.Duration(w.random.IntN(20))*time.Millisecond
	switch f {
	case fateUnreachable:
		w.fail(c, latency, chuterequest.Failure{Kind: chuterequest.FailureUnreachable, NotTaken: true})
	case fateRefused:
		w.fail(c, latency, chuterequest.Failure{Kind: chuterequest.FailureRefused, NotTaken: true})
	case fateBroken:
		w.execute(c)
		w.fail(c, latency, chuterequest.Failure{Kind: chuterequest.FailureBroken})
	case fateSilent:
		w.execute(c)
		w.fail(c, worldStall, chuterequest.Failure{Kind: chuterequest.FailureStalled})
		w.after(2*worldStall, func() { w.deliver(c, func(n router) { n.late(c) }) })
	case fateCrossed:
		w.execute(c)
		w.after(latency, func() { w.deliver(c, func(n router) { n.answered(c, w.otherThan(c)) }) })
	default:
		w.execute(c)
		w.after(latency, func() { w.deliver(c, func(n router) { n.answered(c, c) }) })
	}
}

// execute writes the upstream's log.
func (w *world) execute(c call) {
	w.running = append(w.running, c)
	w.executions = append(w.executions, execution{call: c, at: w.now})
}

// otherThan picks another request's call in the same stage, whose answer comes in place of c's.
func (w *world) otherThan(c call) call {
	for _, other := range slices.Backward(w.running) {
		if other.key != c.key && other.stage == c.stage {
			return other
		}
	}

	return c
}

// fail delivers a failure after a delay.
func (w *world) fail(c call, delay time.Duration, f chuterequest.Failure) {
	w.after(delay, func() { w.deliver(c, func(n router) { n.failed(c, f) }) })
}

// deliver hands something to a node that still lives.
func (w *world) deliver(c call, hand func(n router)) {
	if w.dead[c.node] {
		return
	}
	w.lastWord[[2]uint64{uint64(c.node), c.handle}] = w.now
	hand(w.nodes[c.node])
}

// agenda orders what is to happen by time, then by when it was planned.
type agenda []entry

type entry struct {
	at    time.Time
	order int
	run   func()
}

func (a agenda) Len() int      { return len(a) }
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a agenda) Less(i, j int) bool {
	return cmp.Or(a[i].at.Compare(a[j].at), cmp.Compare(a[i].order, a[j].order)) < 0
}
func (a *agenda) Push(x any) { *a = append(*a, x.(entry)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]

	return last
}
