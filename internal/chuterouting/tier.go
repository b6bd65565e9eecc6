package chuterouting

import (
	"math"
	"slices"
	"time"
)

// tier is one class of upstreams; a query takes its candidates from the first tier that has any.
type tier struct {
	own   bool
	other bool
	// aside takes those that are set aside or busy with a trial, instead of the usable ones.
	aside bool
	// anyVersion takes engines that have another version of the model loaded.
	anyVersion bool
}

// tiers are in order of preference: the own zone, then the other zones, then
// engines that have not yet changed to the wanted version, and then, rather than
// nothing, the least bad of those set aside.
var tiers = []tier{
	{own: true},
	{other: true},
	{own: true, anyVersion: true},
	{other: true, anyVersion: true},
	{own: true, other: true, aside: true},
	{own: true, other: true, aside: true, anyVersion: true},
}

// members returns the two parts in which a tier's upstreams stand.
func (g *poolGroup) members(tier tier) [2][]*entry {
	var parts [2][]*entry
	if tier.own {
		parts[0] = g.own
	}
	if tier.other {
		parts[1] = g.other
	}

	return parts
}

// filter decides which upstreams a query may use in a tier.
type filter struct {
	query *Query
	tier  tier
	limit time.Duration
}

func (f *filter) admits(e *entry) bool {
	if e.leaving || e.listedLeaving {
		return false
	}
	if f.usable(e) == f.tier.aside || !f.serves(e) {
		return false
	}
	if !e.listed && !e.answers(f.query.Now, f.limit) {
		return false
	}

	return len(f.query.Exclude) == 0 || !slices.Contains(f.query.Exclude, e.upstream.Name)
}

// usable says whether the upstream is in full service, or on trial and waiting for its call.
func (f *filter) usable(e *entry) bool {
	if e.aside.free(f.query.Now) {
		return true
	}

	return e.aside.onTrial(f.query.Now) && !e.aside.probing && !f.query.Careful
}

// serves says whether the upstream has the wanted model, as far as its report tells.
func (f *filter) serves(e *entry) bool {
	if f.query.Model == "" || e.report.Model == "" {
		return true
	}
	if e.report.Model != f.query.Model {
		return false
	}
	other := f.query.Version != "" && e.report.Version != "" && e.report.Version != f.query.Version

	return other == f.tier.anyVersion
}

// HasFree says whether Free would be above zero, and stops at the first free slot.
func (t Table) HasFree(q Query) bool {
	_, free := t.capacity(&q, 1)

	return free > 0
}

// Candidates counts the upstreams among which Choose would pick now.
func (t Table) Candidates(q Query) int {
	count, _ := t.capacity(&q, math.MaxInt)

	return count
}

// Free counts the slots believed free now on those upstreams; one at most for each that is on trial or set aside.
func (t Table) Free(q Query) int {
	_, free := t.capacity(&q, math.MaxInt)

	return free
}

// capacity stops counting once it has found enough free slots.
func (t Table) capacity(q *Query, enough int) (count, free int) {
	group := t.group(q.Pool)
	if group == nil {
		return 0, 0
	}
	filter := filter{query: q, limit: t.settings.reportAgeLimit()}
	for _, filter.tier = range tiers {
		if filter.tier.anyVersion && q.Version == "" {
			continue
		}
		for _, part := range group.members(filter.tier) {
			for _, e := range part {
				if !filter.admits(e) {
					continue
				}
				count++
				free += t.freeSlots(e, q.Now, filter.limit)
				if free >= enough {
					return count, free
				}
			}
		}
		if count > 0 {
			return count, free
		}
	}

	return 0, 0
}

func (t Table) freeSlots(e *entry, now time.Time, limit time.Duration) int {
	switch {
	case e.aside.free(now):
	case e.aside.onTrial(now) && !e.aside.probing:
		return 1
	default:
		return max(0, 1-e.inFlight)
	}

	return max(0, e.slots(t.settings)-e.inFlight-int(e.othersNow(now, limit)))
}
