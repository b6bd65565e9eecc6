package chuteproof

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// incidentKind is one way in which the surroundings of the nodes fail for a while.
type incidentKind string

const (
	incidentOutage        incidentKind = "Outage"        // table and object store answer nobody
	incidentObjectsDown   incidentKind = "ObjectsDown"   // the object store alone answers nobody
	incidentStaleHead     incidentKind = "StaleHead"     // the table serves old head rows
	incidentCrossedBodies incidentKind = "CrossedBodies" // the object store serves another version's body
	incidentCut           incidentKind = "Cut"           // one segment is cut off from the others and from the platform
	incidentPeersLost     incidentKind = "PeersLost"     // messages between nodes are lost
	incidentPaused        incidentKind = "Paused"        // one node is frozen
	incidentReplaced      incidentKind = "Replaced"      // one node is killed, and a fresh one takes its place
	incidentDrained       incidentKind = "Drained"       // the same, but the node is told first
)

// incident is a failure that lasts; at counts from the world's start, and node picks a host or its segment.
type incident struct {
	kind     incidentKind
	at, span time.Duration
	node     int
}

const (
	controlTick = 100 * time.Millisecond
	// callTimeout is when a call to the store without an answer counts as lost.
	callTimeout = time.Second
	// callLateness is how long after that a write may still take effect.
	callLateness = 4 * time.Second
)

// controlWorld is the platform's store, the network between nodes, and the engines around some nodes, on one fake
// clock and one seed.
type controlWorld struct {
	start, now time.Time
	random     *rand.Rand
	agenda     agenda
	scheduled  int
	latency    time.Duration
	tick       time.Duration
	// lossy is how many in a thousand calls to the store get no answer.
	lossy           int
	incidents       []incident
	hosts           []*controlHost
	store           *controlStore
	engines         []*controlEngine
	freezes         []orderFreeze
	sent            []*sentOrder
	ordersPerMinute int
	// drift has the rates of the VMs' clocks; empty means that all are right.
	drift []float64
	// refusedByNumber counts the orders that engines refused for an old number.
	refusedByNumber int
	faults          int
	// make builds the process of a new host; seeded says that its settings name the other VMs.
	make   func(h *controlHost) controlProcess
	seeded bool
}

// controlHost is one run of a process on a VM; a VM that is replaced leaves its host dead and gets another.
type controlHost struct {
	w                             *controlWorld
	index                         int
	name, zone, segment, address  string
	incarnation                   string
	dead                          bool
	pausedUntil                   time.Time
	waiting                       []func()
	process                       controlProcess
	startedAt                     time.Time
	adoptions                     []adoption
	workTakenBlank, probes, ticks int
}

// controlProcess is what runs on a host: a node of ours or a naive one.
type controlProcess interface {
	tick()
	// begin gets the VMs that the settings name.
	begin(peers []*controlHost)
	// drain tells the process that it is to end.
	drain()
	// takesWork says whether a caller's request would be taken now.
	takesWork() bool
}

// adoption is one change of the configuration in force at a host: its version and whose content it holds.
type adoption struct {
	version uint64
	content uint64
	at      time.Time
}

func newControlWorld(seed uint64, latency time.Duration, lossy int, incidents []incident) *controlWorld {
	start := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	w := &controlWorld{
		start: start, now: start, random: rand.New(rand.NewPCG(seed, 2)), latency: latency, lossy: lossy,
		incidents: incidents, store: newControlStore(), tick: controlTick,
	}
	for _, i := range incidents {
		w.faults++
		w.after(i.at, func() { w.strike(i) })
	}

	return w
}

// after runs a function on the world's clock.
func (w *controlWorld) after(delay time.Duration, run func()) {
	w.scheduled++
	heap.Push(&w.agenda, entry{at: w.now.Add(max(delay, 0)), order: w.scheduled, run: run})
}

// run lets time pass until the given span from the start is over.
func (w *controlWorld) run(until time.Duration) {
	end := w.start.Add(until)
	for len(w.agenda) > 0 && !w.agenda[0].at.After(end) {
		next := heap.Pop(&w.agenda).(entry)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *controlWorld) chance(perMille int) bool {
	return w.random.IntN(1000) < perMille
}

// between draws a time up to a span.
func (w *controlWorld) between(span time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(span) + 1))
}

// strike starts the incidents that happen to one host.
func (w *controlWorld) strike(i incident) {
	h := w.liveHost(i.node)
	switch i.kind {
	case incidentPaused:
		h.pause(i.span)
	case incidentReplaced:
		h.dead = true
		w.after(i.span, func() { w.replace(h) })
	case incidentDrained:
		w.drain(h, i.span)
	}
}

// drain asks a host to end and replaces it when its time is over.
func (w *controlWorld) drain(h *controlHost, span time.Duration) {
	h.run(h.process.drain)
	w.after(span, func() {
		if !h.dead {
			h.dead = true
			w.replace(h)
		}
	})
}

// liveHost is the newest host of a VM.
func (w *controlWorld) liveHost(index int) *controlHost {
	vms := 0
	for _, h := range w.hosts {
		vms = max(vms, h.index+1)
	}
	var newest *controlHost
	for _, h := range w.hosts {
		if h.index == index%vms {
			newest = h
		}
	}

	return newest
}

// launch starts a process on a VM.
func (w *controlWorld) launch(index int, zone, segment string) *controlHost {
	h := &controlHost{
		w: w, index: index, name: fmt.Sprintf("entry-%d", index), zone: zone, segment: segment,
		address: fmt.Sprintf("10.0.0.%d:9090", index+1), incarnation: fmt.Sprintf("entry-%d.%d", index, len(w.hosts)),
		startedAt: w.now,
	}
	h.process = w.make(h)
	w.hosts = append(w.hosts, h)

	return h
}

// beginAll starts the first processes, once all are known.
func (w *controlWorld) beginAll() {
	for _, h := range w.hosts {
		h.begin()
	}
}

func (h *controlHost) begin() {
	var peers []*controlHost
	for _, other := range h.w.hosts {
		if h.w.seeded && other.name != h.name && !other.dead {
			peers = append(peers, other)
		}
	}
	h.process.begin(peers)
	h.w.after(h.w.between(h.w.tick), h.ticking)
}

// replace starts a fresh process in a dead one's place.
func (w *controlWorld) replace(old *controlHost) {
	if w.liveHost(old.index) == old {
		w.launch(old.index, old.zone, old.segment).begin()
	}
}

// during says whether an incident of the kind is going on.
func (w *controlWorld) during(kind incidentKind) bool {
	for _, i := range w.incidents {
		if i.kind == kind && w.now.Sub(w.start) >= i.at && w.now.Sub(w.start) < i.at+i.span {
			return true
		}
	}

	return false
}

// cutOff says whether a host's segment is cut off from all others.
func (w *controlWorld) cutOff(h *controlHost) bool {
	for _, i := range w.incidents {
		began := w.now.Sub(w.start) - i.at
		if i.kind == incidentCut && began >= 0 && began < i.span && w.liveHost(i.node).segment == h.segment {
			return true
		}
	}

	return false
}

// clock is the time by the host's own clock.
func (h *controlHost) clock() time.Time {
	if h.index >= len(h.w.drift) {
		return h.w.now
	}

	return h.w.start.Add(time.Duration(float64(h.w.now.Sub(h.w.start)) * h.w.drift[h.index]))
}

// run runs a function in the host's process: at once, when a paused process wakes, or never in a dead one.
func (h *controlHost) run(f func()) {
	switch {
	case h.dead:
	case h.w.now.Before(h.pausedUntil):
		h.waiting = append(h.waiting, f)
	default:
		f()
	}
}

func (h *controlHost) later(delay time.Duration, f func()) {
	h.w.after(delay, func() { h.run(f) })
}

// pause freezes the process; what comes meanwhile waits.
func (h *controlHost) pause(span time.Duration) {
	if until := h.w.now.Add(span); until.After(h.pausedUntil) {
		h.pausedUntil = until
		h.w.after(span, h.wake)
	}
}

func (h *controlHost) wake() {
	for len(h.waiting) > 0 && !h.w.now.Before(h.pausedUntil) && !h.dead {
		next := h.waiting[0]
		h.waiting = h.waiting[1:]
		next()
	}
}

// ticking wakes the process regularly; a paused process misses its ticks.
func (h *controlHost) ticking() {
	if h.dead {
		return
	}
	if !h.w.now.Before(h.pausedUntil) {
		h.ticks++
		if len(h.adoptions) == 0 {
			h.probe()
		}
		h.process.tick()
	}
	h.w.after(h.w.tick, h.ticking)
}

// probe asks whether a host that has no accepted version yet would take a caller's request.
func (h *controlHost) probe() {
	h.probes++
	if h.process.takesWork() {
		h.workTakenBlank++
	}
}

func (h *controlHost) adopted(version, content uint64) {
	h.adoptions = append(h.adoptions, adoption{version: version, content: content, at: h.w.now})
}

// storeCall is one call of a host to the table or the object store.
type storeCall struct {
	objects bool
	// apply takes effect at the store and returns how the host takes the answer.
	apply func() func()
	// failed tells the host that no answer came; certain says that the call did not take effect and never will.
	failed func(certain bool)
}

// call lets a host's call to the store run its course.
func (w *controlWorld) call(h *controlHost, c storeCall) {
	there, back := w.between(w.latency), w.between(w.latency)
	switch {
	case w.cutOff(h) || w.during(incidentOutage) || c.objects && w.during(incidentObjectsDown):
		w.faults++
		if w.chance(500) {
			h.later(there, func() { c.failed(true) })

			return
		}
		h.later(callTimeout, func() { c.failed(false) })
	case w.chance(w.lossy):
		w.faults++
		if w.chance(300) {
			// The reducer has given the call up by then, but its adapter waits longer.
			w.after(there, func() { h.later(callTimeout+w.between(callTimeout), c.apply()) })

			return
		}
		if w.chance(500) {
			there += callTimeout + w.between(callLateness)
		}
		w.after(there, func() { c.apply() })
		h.later(callTimeout, func() { c.failed(false) })
	default:
		w.after(there, func() { h.later(back, c.apply()) })
	}
}

// message carries something from one host's process to another's, unless it gets lost.
func (w *controlWorld) message(from, to *controlHost, deliver func()) {
	apart := from.segment != to.segment && (w.cutOff(from) || w.cutOff(to))
	if apart || w.during(incidentPeersLost) {
		w.faults++

		return
	}
	to.later(w.between(w.latency), deliver)
}

// hostAt is the live host at an address.
func (w *controlWorld) hostAt(address string) (*controlHost, bool) {
	for _, h := range w.hosts {
		if h.address == address && !h.dead {
			return h, true
		}
	}

	return nil, false
}
