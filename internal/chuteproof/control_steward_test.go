package chuteproof

import (
	"time"

	"azurechute.example/azurechute/internal/chutelease"
	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/internal/chutesteward"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// naiveSteward holds a plain lease row: it believes in its lease until it reads otherwise, checks when it decides and
// not when it sends, puts no number into its orders and waits for nobody's before its first.
type naiveSteward struct {
	h         *controlHost
	holds     bool
	leaving   bool
	seen      leaseCell
	seenSince time.Time
	version   uint64
	loads     map[*controlEngine]chuterequest.Load
	ordered   map[*controlEngine]time.Time
	nextLook  time.Time
	nextOrder time.Time
}

func newNaiveSteward(h *controlHost) controlProcess {
	return &naiveSteward{h: h, loads: map[*controlEngine]chuterequest.Load{}, ordered: map[*controlEngine]time.Time{}}
}

func (n *naiveSteward) takesWork() bool { return false }
func (n *naiveSteward) drain()          { n.leaving = true }

func (n *naiveSteward) begin([]*controlHost) {
	for _, e := range n.h.w.engines {
		n.poll(e)
	}
}

func (n *naiveSteward) poll(e *controlEngine) {
	w := n.h.w
	load := e.reported(w.now.Add(-w.between(time.Second)))
	n.h.later(w.between(w.latency), func() { n.loads[e] = load })
	n.h.later(reportPeriod, func() { n.poll(e) })
}

func (n *naiveSteward) tick() {
	w := n.h.w
	if !w.now.Before(n.nextLook) {
		n.nextLook = w.now.Add(time.Second)
		n.readConfig()
		n.readLease()
	}
	if n.holds && n.version > 0 && !w.now.Before(n.nextOrder) {
		n.order()
	}
}

func (n *naiveSteward) readConfig() {
	w := n.h.w
	w.call(n.h, storeCall{failed: func(bool) {}, apply: func() func() {
		version := w.store.head()

		return func() { n.version = version }
	}})
}

func (n *naiveSteward) readLease() {
	w := n.h.w
	key := chutelease.Key(engineZone)
	w.call(n.h, storeCall{failed: func(bool) {}, apply: func() func() {
		cell := w.store.leases[key]

		return func() { n.sawLease(key, cell) }
	}})
}

// sawLease renews the own row, or takes another's that has not changed for its duration.
func (n *naiveSteward) sawLease(key string, cell leaseCell) {
	w := n.h.w
	if cell.version != n.seen.version {
		n.seen, n.seenSince = cell, w.now
	}
	mine := cell.row.Holder == n.h.name
	if !mine {
		n.holds = false
	}
	if cell.row.Holder != "" && !mine && w.now.Sub(n.seenSince) < cell.row.Duration() {
		return
	}
	row := chutelease.Row{Holder: n.h.name, Epoch: cell.row.Epoch, DurationMilliseconds: 4000}
	switch {
	case n.leaving && !mine:
		return
	case n.leaving:
		row.Holder = ""
	case !mine:
		row.Epoch++
	}
	sentAt := w.now
	w.call(n.h, storeCall{failed: func(bool) {}, apply: func() func() {
		written := w.store.writeLease(n.h, key, row, cell.version, sentAt, w.now)

		return func() { n.holds = written && !n.leaving }
	}})
}

// order sends the first order that is wanted, within the rate.
func (n *naiveSteward) order() {
	w := n.h.w
	cfg := w.store.configOf(n.version)
	for i, e := range w.engines {
		target := chutesteward.Target{Model: "small", Version: "v1", Role: chuteconfig.RoleMixed}
		if i < cfg.Placements["large"].Replicas {
			target.Model = "large"
		}
		load, known := n.loads[e]
		if !known || chutesteward.TargetOf(load) == target || w.now.Sub(n.ordered[e]) < 4*time.Second {
			continue
		}
		n.ordered[e] = w.now
		n.nextOrder = w.now.Add(time.Minute/time.Duration(w.ordersPerMinute) + time.Second)
		n.send(&sentOrder{from: n.h, engine: e, target: target, timeout: cfg.Policy.OrderTimeout.Std(), decidedAt: w.now})

		return
	}
}

func (n *naiveSteward) send(o *sentOrder) {
	w := n.h.w
	n.h.later(w.between(10*time.Millisecond), func() {
		freeze := w.takeFreeze()
		if freeze.span > 0 {
			o.held, o.uncovered = true, freeze.afterCheck
			n.h.pause(freeze.span)
		}
		o.held = o.held || w.now.Sub(o.decidedAt) > controlTick
		n.h.run(func() {
			w.sendTo(o, func(load chuterequest.Load) { n.loads[o.engine] = load }, func(bool) {})
			if freeze.drained {
				w.drain(n.h, drainSpan)
			}
		})
	})
}

// judgeOrders: engines that honour the number take none that is older, no order of a lapsed holder is sent but in the
// documented window, a successor waits out the longest order before it, the rate is kept, and in the end the engines
// are at what is declared.
func judgeOrders(w *controlWorld) judgement {
	var j judgement
	for _, e := range w.engines {
		term := 0
		for _, o := range e.taken {
			if e.honours && o.term < term {
				j.add("Older: %s took an order of term %d after one of term %d", e.name, o.term, term)
			}
			term = max(term, o.term)
		}
	}
	for i, o := range w.sent {
		if o.lapsed && !o.uncovered {
			j.add("Lapsed: %s ordered %s after its lease, %v from the start", o.from.incarnation, o.engine.name, o.sentAt.Sub(w.start))
		}
		for _, before := range w.sent[:i] {
			if before.term < o.term && !before.uncovered && o.sentAt.Sub(before.sentAt) < before.timeout {
				j.add("Overlap: term %d ordered while an order of term %d may have been under way", o.term, before.term)
			}
		}
	}
	j = append(j, judgeRate(w)...)

	return append(j, judgePlacement(w)...)
}

// judgeRate counts the orders of each minute. Those that a freeze held back are left out: they were within the rate
// when they were decided, and no sender can take a minute back that it slept through.
func judgeRate(w *controlWorld) judgement {
	var j judgement
	var times []time.Time
	for _, o := range w.sent {
		if !o.held {
			times = append(times, o.sentAt)
		}
	}
	for i := range times {
		if first := i - w.ordersPerMinute; first >= 0 && times[i].Sub(times[first]) < time.Minute-controlTick {
			j.add("Rate: %d orders within %v", w.ordersPerMinute+1, times[i].Sub(times[first]))
		}
	}

	return j
}

// judgePlacement compares the engines with the last accepted version.
func judgePlacement(w *controlWorld) judgement {
	var j judgement
	cfg := w.store.configOf(w.store.head())
	placed := map[string]int{}
	for _, e := range w.engines {
		placed[e.load.Model]++
	}
	for _, p := range cfg.Placements {
		if placed[p.Model] != p.Replicas {
			j.add("Placement: %d engines are at %q, %d are declared", placed[p.Model], p.Model, p.Replicas)
		}
	}

	return j
}

func (w *controlWorld) orderCounts() map[string]int {
	counts := map[string]int{"orders": len(w.sent)}
	for i, write := range w.store.leaseWrites {
		if i == 0 || write.term != w.store.leaseWrites[i-1].term {
			counts["acquisitions"]++
		}
	}
	for _, o := range w.sent {
		if o.lapsed && o.uncovered {
			counts["lapsed orders sent in the documented window"]++
		}
	}
	counts["orders refused by number"] = w.refusedByNumber

	return counts
}
