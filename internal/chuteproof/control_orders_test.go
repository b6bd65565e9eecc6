package chuteproof

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"azurechute.example/azurechute/internal/chutecore"
	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/internal/chuterouting"
)

const (
	// ordersFrom is when the first holder has waited out the longest order that an unknown one before it may have sent.
	ordersFrom      = 35 * time.Second
	ordersFaultsEnd = 80 * time.Second
	// drainSpan is how long a drained node still runs.
	drainSpan = 5 * time.Second
	ordersEnd = 175 * time.Second
)

// ordersTrace is one drawn run of a zone's nodes and engines.
type ordersTrace struct {
	seed      uint64
	hosts     int
	honours   []bool
	latency   time.Duration
	lossy     int
	incidents []incident
	publishes []time.Duration
	freezes   []orderFreeze
	perMinute int
	drift     []float64
}

func drawOrders(rt *rapid.T) ordersTrace {
	tr := ordersTrace{
		seed:    rapid.Uint64().Draw(rt, "seed"),
		hosts:   rapid.IntRange(2, 3).Draw(rt, "hosts"),
		honours: rapid.SliceOfN(rapid.Bool(), 2, 6).Draw(rt, "honours"),
		latency: drawMillis(rt, "latency", time.Millisecond, 100*time.Millisecond),
		lossy:   rapid.SampledFrom([]int{0, 50, 150}).Draw(rt, "lossy"),
		incidents: drawIncidents(rt, []incidentKind{
			incidentOutage, incidentCut, incidentPaused, incidentReplaced, incidentDrained, incidentDrained, incidentStaleHead,
		}, ordersFrom-10*time.Second, ordersFaultsEnd-15*time.Second, 8),
		publishes: []time.Duration{0},
		perMinute: rapid.SampledFrom([]int{6, 20, 120}).Draw(rt, "perMinute"),
		// Rates of the nodes' clocks; a lease's margin is a tenth of its length.
		drift: rapid.SliceOfN(rapid.SampledFrom([]float64{0.97, 1, 1.03}), 3, 3).Draw(rt, "drift"),
	}
	at := ordersFrom - 5*time.Second
	for range rapid.SampledFrom([]int{2, 5, 12}).Draw(rt, "versions") {
		at += drawMillis(rt, "later", 2*time.Second, 5*time.Second)
		tr.publishes = append(tr.publishes, at)
	}
	for range rapid.SampledFrom([]int{0, 8, 25}).Draw(rt, "freezes") {
		f := orderFreeze{afterCheck: rapid.Bool().Draw(rt, "afterCheck")}
		switch rapid.IntRange(0, 7).Draw(rt, "frozen") {
		case 0:
			f.drained = true
		case 1, 2, 3:
			f.span = rapid.SampledFrom([]time.Duration{4 * time.Second, 12 * time.Second, 30 * time.Second}).Draw(rt, "span")
		}
		tr.freezes = append(tr.freezes, f)
	}

	return tr
}

// play runs the trace on one kind of node and returns the world at its end.
func (tr ordersTrace) play(make func(h *controlHost) controlProcess) *controlWorld {
	w := newControlWorld(tr.seed, tr.latency, tr.lossy, tr.incidents)
	w.make, w.seeded, w.freezes, w.tick = make, true, tr.freezes, 2*controlTick
	w.ordersPerMinute, w.drift = tr.perMinute, tr.drift
	w.store.configOf = placedConfig(len(tr.honours), tr.perMinute)
	w.addEngines(tr.honours)
	for _, at := range tr.publishes {
		w.after(at, func() { w.store.publish(w.now) })
	}
	for i := range tr.hosts {
		w.launch(i, engineZone, "vm-"+string(rune('a'+i)))
	}
	w.beginAll()
	w.after(ordersFaultsEnd, func() { w.lossy, w.freezes = 0, nil })
	w.run(ordersEnd)

	return w
}

// watchEngines lists the engines and polls their reports.
func (n *coreNode) watchEngines() {
	var listed []chuterouting.ListedUpstream
	for _, e := range n.h.w.engines {
		listed = append(listed, chuterouting.ListedUpstream{
			Name: e.name, Address: e.name, Zone: engineZone, Pool: enginePool, Incarnation: "1",
		})
		n.pollEngine(e)
	}
	if len(listed) > 0 {
		n.event(chutecore.UpstreamsListed{Stamp: n.stamp(), Upstreams: listed})
	}
}

func (n *coreNode) pollEngine(e *controlEngine) {
	w := n.h.w
	load := e.reported(w.now.Add(-w.between(time.Second)))
	n.h.later(w.between(w.latency), func() {
		n.event(chutecore.LoadReported{Stamp: n.stamp(), Upstream: e.name, Load: load})
	})
	n.h.later(reportPeriod, func() { n.pollEngine(e) })
}

// sendOrder checks the clock just before it sends, as chutenode does; a freeze strikes before or after that check.
func (n *coreNode) sendOrder(e chutecore.SendOrder, decidedAt time.Time) {
	w := n.h.w
	order := &sentOrder{
		from: n.h, engine: w.engineNamed(e.Order.Engine), number: e.Order.FencingNumber, target: e.Order.Target,
		timeout: e.Timeout, decidedAt: decidedAt,
	}
	failed := func(rateLimited bool) {
		n.event(chutecore.OrderFailed{Stamp: n.stamp(), Engine: e.Order.Engine, RateLimited: rateLimited})
	}
	send := func() {
		w.sendTo(order, func(load chuterequest.Load) {
			n.event(chutecore.OrderAnswered{Stamp: n.stamp(), Engine: e.Order.Engine, Load: load})
		}, failed)
	}
	check := func() {
		if !n.h.clock().Before(e.SendBefore) {
			failed(false)

			return
		}
		send()
	}
	freeze := w.takeFreeze()
	order.held = freeze.span > 0 || w.now.Sub(decidedAt) > controlTick
	switch {
	case freeze.span > 0 && freeze.afterCheck && n.h.clock().Before(e.SendBefore):
		order.uncovered = true
		n.h.pause(freeze.span)
		n.h.run(send)
	case freeze.span > 0:
		n.h.pause(freeze.span)
		n.h.run(check)
	default:
		check()
	}
	if freeze.drained {
		w.drain(n.h, drainSpan)
	}
}

func (w *controlWorld) engineNamed(name string) *controlEngine {
	for _, e := range w.engines {
		if e.name == name {
			return e
		}
	}

	return nil
}

// A holder of the zone's lease is frozen with an order in its hand, cut off from the table, or its renewals' answers
// are lost, and another takes over under a newer configuration. The naive holder wakes and orders yesterday's model
// onto an engine; ours looks at the clock again before it sends, its number is refused by engines that check it, and
// what still slips through the documented window is ordered back.
func TestProofLapsedHolderCannotOrder(t *testing.T) {
	t.Parallel()
	comparison[ordersTrace]{
		name: "LapsedHolderCannotOrder", draw: drawOrders,
		needs: []string{"orders", "lapsed orders sent in the documented window", "acquisitions", "orders refused by number"},
		play: func(tr ordersTrace, naive bool) ending {
			make := newCoreNode
			if naive {
				make = newNaiveSteward
			}
			w := tr.play(make)

			return ending{judgement: judgeOrders(w), faults: w.faults, counts: w.orderCounts()}
		},
	}.run(t)
}
