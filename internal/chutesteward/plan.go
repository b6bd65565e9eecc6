package chutesteward

import (
	"cmp"
	"slices"

	"github.com/benbjohnson/immutable"
)

// movingShare is the inverse of the part of a pool's engines that may be under orders at once: an engine that loads
// serves nobody, and a change of version would else take all of them at the same moment.
const movingShare = 4

// WithPlan returns the orders to send now and the state that remembers them. The same state and view give the same plan.
func (s State) WithPlan(v View) (State, Plan) {
	if s.epoch != v.Epoch {
		s = New()
		s.epoch = v.Epoch
		s.allowance = newAllowance(v.OrdersPerMinute, v.Now)
	}
	engines := v.zoneEngines()
	s = s.withSettled(engines, v)
	var plan Plan
	for _, e := range engines {
		plan.HighestFencing = max(plan.HighestFencing, e.Load.FencingNumber)
	}
	if plan.HighestFencing > v.Epoch {
		// A later holder has ordered one of the engines. Those that ignore fencing would still obey this one.
		return s, plan
	}
	wanted, unknown := v.wanted()
	plan.Unmet = unknown
	var moves []move
	for _, pool := range poolsOf(wanted) {
		poolMoves, unmet := s.assign(pool, wanted, engines, v)
		moves = append(moves, poolMoves...)
		plan.Unmet = append(plan.Unmet, unmet...)
	}
	// First orders before repeated ones, or engines that never follow would use up the rate of all others.
	slices.SortStableFunc(moves, func(a, b move) int { return cmp.Compare(s.failures(a), s.failures(b)) })
	s, plan.Orders = s.withMoves(moves, engines, v)

	return s, plan
}

// withMoves sends as many of the moves as the rate and the share of a pool under orders allow.
func (s State) withMoves(moves []move, engines []Engine, v View) (State, []Order) {
	var orders []Order
	for _, m := range moves {
		if !s.isMoving(m.engine.Name) && s.movable(m.engine.Pool, engines) <= 0 {
			continue
		}
		rest, ok := s.allowance.take(v.OrdersPerMinute, v.Now)
		if !ok {
			break
		}
		s.allowance = rest
		s.orders = s.orders.Set(m.engine.Name, record{
			target:      m.target,
			incarnation: m.engine.Load.Incarnation,
			sentAt:      v.Now,
			failures:    s.failures(m),
		})
		orders = append(orders, Order{
			Engine: m.engine.Name, Pool: m.engine.Pool, FencingNumber: v.Epoch, Target: m.target,
		})
	}

	return s, orders
}

// failures returns how many orders in a row did not bring the engine to the move's target.
func (s State) failures(m move) int {
	if r, ok := s.orders.Get(m.engine.Name); ok && r.target == m.target {
		return r.failures
	}

	return 0
}

// withSettled compares the orders with the reports that came after them.
func (s State) withSettled(engines []Engine, v View) State {
	present := map[string]Engine{}
	for _, e := range engines {
		present[e.Name] = e
	}
	orders := s.orders
	for i := s.orders.Iterator(); !i.Done(); {
		name, r, _ := i.Next()
		e, ok := present[name]
		if !ok {
			orders = orders.Delete(name)

			continue
		}
		orders = settle(orders, e, r, v)
	}
	s.orders = orders

	return s
}

func settle(orders *immutable.SortedMap[string, record], e Engine, r record, v View) *immutable.SortedMap[string, record] {
	// Reports lag: one from before the order says nothing of what became of it.
	reported := e.ReportedAt.After(r.sentAt)
	switch {
	case reported && TargetOf(e.Load) == r.target:
		return orders.Delete(e.Name)
	case r.over:
		return orders
	case reported && e.Load.Incarnation != r.incarnation, v.Now.Sub(r.sentAt) >= v.OrderTimeout:
		// Restarted, or not there in time: it is ordered again, ever more seldom, for loading costs the weight store.
		return orders.Set(e.Name, r.withOver(v.Now))
	default:
		return orders
	}
}

// movable returns how many more engines of a pool may be put under orders.
func (s State) movable(pool string, engines []Engine) int {
	total, moving := 0, 0
	for _, e := range engines {
		if e.Pool != pool {
			continue
		}
		total++
		if s.isMoving(e.Name) {
			moving++
		}
	}

	return max(total/movingShare, 1) - moving
}

// isMoving reports whether an order to the engine is under way.
func (s State) isMoving(engine string) bool {
	r, ok := s.orders.Get(engine)

	return ok && !r.over
}

// zoneEngines returns the zone's engines that are not leaving, by name.
func (v View) zoneEngines() []Engine {
	var engines []Engine
	for _, e := range v.Engines {
		if e.Zone == v.Zone && !e.Leaving && !e.Load.Leaving {
			engines = append(engines, e)
		}
	}
	slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })

	return engines
}

// orderable reports whether the engine may get an order now. One whose last report is too old keeps its place in the
// plan but gets no order; replacing it at each lost report would move models back and forth. One that did not follow
// its last order waits out its pause.
func (s State) orderable(e Engine, v View) bool {
	if e.ReportedAt.IsZero() || v.ReportAgeLimit > 0 && v.Now.Sub(e.ReportedAt) > v.ReportAgeLimit {
		return false
	}
	r, ok := s.orders.Get(e.Name)

	return !ok || !v.Now.Before(r.notBefore)
}
