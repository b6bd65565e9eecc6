package chutesteward

import (
	"cmp"
	"slices"
)

// want is how many engines of a pool shall be at a target.
type want struct {
	pool   string
	target Target
	count  int
}

// move is an engine that shall go to a target.
type move struct {
	engine Engine
	target Target
}

// wanted returns what the placements of the zone ask for, in a fixed order, and those that name no known model.
func (v View) wanted() ([]want, []Unmet) {
	counts := map[want]int{}
	var unknown []Unmet
	for _, p := range v.Placements {
		if p.Zone != v.Zone || p.Replicas <= 0 {
			continue
		}
		model, ok := v.Models[p.Model]
		if !ok {
			unknown = append(unknown, Unmet{
				Pool: p.Pool, Target: Target{Model: p.Model, Role: p.Role}, Missing: p.Replicas, Reason: "unknown model",
			})

			continue
		}
		target := Target{Model: p.Model, Version: model.Version, Adapter: model.Adapter, Role: p.Role}
		counts[want{pool: p.Pool, target: target}] += p.Replicas
	}
	wanted := make([]want, 0, len(counts))
	for w, n := range counts {
		w.count = n
		wanted = append(wanted, w)
	}
	slices.SortFunc(wanted, func(a, b want) int {
		return cmp.Or(cmp.Compare(a.pool, b.pool), compareTargets(a.target, b.target))
	})
	slices.SortFunc(unknown, func(a, b Unmet) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), compareTargets(a.Target, b.Target))
	})

	return wanted, unknown
}

func poolsOf(wanted []want) []string {
	var pools []string
	for _, w := range wanted {
		if !slices.Contains(pools, w.pool) {
			pools = append(pools, w.pool)
		}
	}

	return pools
}

// assign keeps the engines that are at a wanted target or on their way to it, and moves others to what is missing.
func (s State) assign(pool string, wanted []want, engines []Engine, v View) ([]move, []Unmet) {
	var rest []Engine
	for _, e := range engines {
		if e.Pool == pool {
			rest = append(rest, e)
		}
	}
	given := share(pool, wanted, len(rest))
	missing := slices.Clone(given)
	rest = s.keep(missing, rest)
	var moves []move
	for i := range missing {
		for missing[i].count > 0 {
			n := s.cheapest(rest, missing[i].target, v)
			if n < 0 {
				break
			}
			moves = append(moves, move{engine: rest[n], target: missing[i].target})
			rest = slices.Delete(rest, n, n+1)
			missing[i].count--
		}
	}

	return moves, unmetOf(pool, wanted, given, missing)
}

// share cuts the wanted counts down to the engines that there are, in turns, so that every target gets one before any
// gets its second.
func share(pool string, wanted []want, engines int) []want {
	var shared []want
	left := map[Target]int{}
	for _, w := range wanted {
		if w.pool == pool {
			left[w.target] = w.count
			shared = append(shared, want{pool: pool, target: w.target})
		}
	}
	for given := true; given && engines > 0; {
		given = false
		for i := range shared {
			if engines > 0 && shared[i].count < left[shared[i].target] {
				shared[i].count++
				engines--
				given = true
			}
		}
	}

	return shared
}

// keep takes the engines that are already right off the missing counts and returns the others. Busy engines are kept
// first, so that the ones to move have the least to finish.
func (s State) keep(missing []want, engines []Engine) []Engine {
	engines = slices.Clone(engines)
	slices.SortStableFunc(engines, func(a, b Engine) int {
		return cmp.Compare(b.Load.InFlight+b.Load.Queued, a.Load.InFlight+a.Load.Queued)
	})
	var rest []Engine
	for _, e := range engines {
		target := s.heading(e)
		n := slices.IndexFunc(missing, func(w want) bool { return w.target == target && w.count > 0 })
		if n < 0 {
			rest = append(rest, e)

			continue
		}
		missing[n].count--
	}

	return rest
}

// heading is where an engine will be once the order under way is followed.
func (s State) heading(e Engine) Target {
	if r, ok := s.orders.Get(e.Name); ok && !r.over {
		return r.target
	}

	return TargetOf(e.Load)
}

// cheapest returns the index of the engine that gets to the target with the least loading, then with the least work
// under way, then by name; -1 if none can be ordered.
func (s State) cheapest(engines []Engine, target Target, v View) int {
	best := -1
	for i, e := range engines {
		if s.orderable(e, v) && (best < 0 || compareMoves(e, engines[best], target) < 0) {
			best = i
		}
	}

	return best
}

func compareMoves(a, b Engine, target Target) int {
	return cmp.Or(
		cmp.Compare(distance(TargetOf(a.Load), target), distance(TargetOf(b.Load), target)),
		cmp.Compare(a.Load.InFlight+a.Load.Queued, b.Load.InFlight+b.Load.Queued),
		cmp.Compare(a.Name, b.Name),
	)
}

// distance ranks a move by what has to be loaded: nothing (a change of role), an adapter, a version, a model.
func distance(from, to Target) int {
	switch {
	case from.Model != to.Model:
		return 3
	case from.Version != to.Version:
		return 2
	case from.Adapter != to.Adapter:
		return 1
	default:
		return 0
	}
}

// unmetOf tells for each target of the pool how many engines are neither there nor about to be ordered there.
func unmetOf(pool string, wanted, given, missing []want) []Unmet {
	var unmet []Unmet
	i := 0
	for _, w := range wanted {
		if w.pool != pool {
			continue
		}
		// Given and missing have the pool's targets in the order of wanted.
		short := w.count - (given[i].count - missing[i].count)
		i++
		if short > 0 {
			unmet = append(unmet, Unmet{Pool: pool, Target: w.target, Missing: short, Reason: "too few engines"})
		}
	}

	return unmet
}

func compareTargets(a, b Target) int {
	return cmp.Or(
		cmp.Compare(a.Model, b.Model),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Adapter, b.Adapter),
		cmp.Compare(a.Role, b.Role),
	)
}
