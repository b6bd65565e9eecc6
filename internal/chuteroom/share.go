package chuteroom

import (
	"math"
	"slices"
	"sort"
	"time"
)

// demandsLifetime is how long the sorted demands are reused. Sorting 4,096 of them for each call would cost more than
// the fresher values are worth: a tenth of a second changes them by two percent.
const demandsLifetime = 100 * time.Millisecond

// demands are the demands of all workspaces at one time, for the computation of shares. It is not modified after its
// creation.
type demands struct {
	at time.Time
	// sorted are the demands in tokens, in ascending order; sums[i] is the sum of the first i.
	sorted []float64
	sums   []float64
	// admitted is the work of all workspaces at that time.
	admitted float64
}

// withDemands sorts the demands unless that was done recently.
func (p Pool) withDemands(now time.Time) Pool {
	if age := now.Sub(p.demands.at); len(p.demands.sorted) > 0 && age >= 0 && age < demandsLifetime {
		return p
	}
	d := demands{at: now, admitted: p.admitted.valueAt(now), sorted: make([]float64, 0, p.workspaces.Len())}
	for i := p.workspaces.Iterator(); !i.Done(); {
		_, u, _ := i.Next()
		d.sorted = append(d.sorted, u.demanded.valueAt(now))
	}
	slices.Sort(d.sorted)
	d.sums = make([]float64, len(d.sorted)+1)
	for i, demand := range d.sorted {
		d.sums[i+1] = d.sums[i] + demand
	}
	p.demands = d

	return p
}

// share returns the max-min fair share of a workspace, in tokens, when a part of the admitted work is to be shared: the
// level up to which the demands of all add up to it. It is infinite if that covers all demands.
func (d demands) share(part float64) float64 {
	capacity, n := part*d.admitted, len(d.sorted)
	if n == 0 || capacity >= d.sums[n] {
		return math.Inf(1)
	}
	covered := sort.Search(n, func(i int) bool { return d.sums[i]+float64(n-i)*d.sorted[i] >= capacity })

	return (capacity - d.sums[covered]) / float64(n-covered)
}
