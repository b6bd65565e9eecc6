package chuteproof

import (
	"fmt"
	"time"

	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/internal/chutesteward"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

const (
	enginePool   = "model"
	engineZone   = "zone-1"
	reportPeriod = time.Second
)

// controlEngine is one model engine: it loads one order after the other and reports with a lag.
type controlEngine struct {
	name    string
	honours bool
	highest uint64
	load    chuterequest.Load
	busy    time.Time // when the loads taken so far are done
	taken   []*sentOrder
	reports []engineReport
}

// engineReport is what an engine's state was from a time on.
type engineReport struct {
	from time.Time
	load chuterequest.Load
}

// sentOrder is one order that left a node.
type sentOrder struct {
	from              *controlHost
	engine            *controlEngine
	number            uint64
	target            chutesteward.Target
	timeout           time.Duration
	decidedAt, sentAt time.Time
	held              bool // its sender was frozen between decision and sending
	uncovered         bool // ... after its last look at the clock, which is the documented window
	lapsed            bool // its sender's lease had passed when it was sent
	term              int  // the acquisition that it was decided under
}

// orderFreeze freezes a node at one of its orders, or asks it to end just after it sent one.
type orderFreeze struct {
	afterCheck bool
	drained    bool
	span       time.Duration
}

// takeFreeze returns what happens to the next order.
func (w *controlWorld) takeFreeze() orderFreeze {
	if len(w.freezes) == 0 {
		return orderFreeze{}
	}
	next := w.freezes[0]
	w.freezes = w.freezes[1:]
	if next.span > 0 || next.drained {
		w.faults++
	}

	return next
}

func (w *controlWorld) addEngines(honours []bool) {
	for i, h := range honours {
		e := &controlEngine{name: fmt.Sprintf("engine-%d", i), honours: h, load: chuterequest.Load{Incarnation: "1", Slots: 4}}
		e.reports = []engineReport{{from: w.now, load: e.load}}
		w.engines = append(w.engines, e)
	}
}

// sendTo carries an order to its engine; answered gets the engine's load, or whether the weight store's rate was used up.
func (w *controlWorld) sendTo(o *sentOrder, answered func(load chuterequest.Load), failed func(rateLimited bool)) {
	o.sentAt = w.now
	o.lapsed = !w.store.heldBy(o.from, w.now)
	if hold, ok := w.store.hold(o.from, o.decidedAt); ok {
		o.term = hold.term
	}
	w.sent = append(w.sent, o)
	over := false
	end := func(f func()) {
		if !over {
			over = true
			o.from.run(f)
		}
	}
	w.after(o.timeout, func() { end(func() { failed(false) }) })
	if w.chance(w.lossy) {
		w.faults++

		return
	}
	w.after(w.between(w.latency), func() {
		w.arrive(o, func(load chuterequest.Load) { end(func() { answered(load) }) }, func(limited bool) { end(func() { failed(limited) }) })
	})
}

// arrive is the engine's side of an order. A load that began goes on to its end, whoever still waits for it.
func (w *controlWorld) arrive(o *sentOrder, answered func(load chuterequest.Load), failed func(rateLimited bool)) {
	e := o.engine
	if e.honours && o.number < e.highest {
		w.refusedByNumber++
		failed(false)

		return
	}
	if w.chance(w.lossy) {
		w.faults++
		failed(true)

		return
	}
	e.highest = max(e.highest, o.number)
	e.taken = append(e.taken, o)
	from := e.busy
	if from.Before(w.now) {
		from = w.now
	}
	e.busy = from.Add(w.between(2 * o.timeout))
	w.after(e.busy.Sub(w.now), func() {
		e.load.Model, e.load.Version, e.load.Role = o.target.Model, o.target.Version, string(o.target.Role)
		if e.honours {
			e.load.FencingNumber = e.highest
		}
		e.reports = append(e.reports, engineReport{from: w.now, load: e.load})
		answered(e.load)
	})
}

// reported is the engine's word on itself, with a lag.
func (e *controlEngine) reported(at time.Time) chuterequest.Load {
	load := e.reports[0].load
	for _, r := range e.reports {
		if !r.from.After(at) {
			load = r.load
		}
	}

	return load
}

// placedConfig is a configuration that declares how many engines hold each of two models, other counts for each version.
func placedConfig(engines, perMinute int) func(version uint64) chuteconfig.Config {
	return func(version uint64) chuteconfig.Config {
		cfg := markedConfig(version)
		cfg.Pools = map[string]chuteconfig.Pool{enginePool: {
			Kind: chuteconfig.PoolEngine, Slots: 4, Typical: chuteconfig.Duration(time.Second),
		}}
		cfg.Pipelines = nil
		cfg.Models = map[string]chuteconfig.Model{"large": {Version: "v1"}, "small": {Version: "v1"}}
		large := engines
		if version%2 == 0 {
			large = engines / 3
		}
		cfg.Placements = map[string]chuteconfig.Placement{
			"large": {Zone: engineZone, Pool: enginePool, Model: "large", Role: chuteconfig.RoleMixed, Replicas: large},
			"small": {Zone: engineZone, Pool: enginePool, Model: "small", Role: chuteconfig.RoleMixed, Replicas: engines - large},
		}
		cfg.Policy.LeaseDuration = chuteconfig.Duration(4 * time.Second)
		cfg.Policy.OrderTimeout = chuteconfig.Duration(time.Second)
		cfg.Policy.OrdersPerMinute = perMinute
		cfg.Policy.ReportAgeLimit = chuteconfig.Duration(3 * time.Second)

		return cfg
	}
}
