package chutefair

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	// bin is the span over which work is summed before it counts as demand.
	bin = time.Second
	// memory is the number of bins over which usual demand is averaged: longer than a
	// burst of one workspace, shorter than what an hour of the day changes.
	memory = 30
	// learnBins is the number of bins before a workspace's demand is taken for usual.
	learnBins = 5
	// capRatio is how much of one bin counts, in times of the usual demand. A workspace
	// that sends eight times its usual for nine seconds would otherwise have three times
	// its share by then.
	capRatio = 2
	// floorPart is the part of the mean demand that every workspace has as demand, so
	// that one that is new, or seldom there, has a share.
	floorPart = 0.25
	// maxWorkspaces bounds the workspaces that are known apart; 4,096 take under 1 MB.
	// Others count as new ones.
	maxWorkspaces = 4096
)

// Demand is what each workspace usually asks for; its values are immutable.
type Demand struct {
	usual *immutable.Map[string, usual]
	// total is the sum of all rates.
	total float64
	// began is when the first work was seen.
	began time.Time
}

// usual is one workspace's demand.
type usual struct {
	// rate is the usual work in a bin.
	rate float64
	// from is when the open bin began, work what it holds, and bins the number of closed ones.
	from time.Time
	work float64
	bins int
}

// NewDemand returns a demand that knows nobody.
func NewDemand() Demand {
	return Demand{usual: immutable.NewMap[string, usual](nil)}
}

// WithWork takes in work that a workspace asks for, in any unit that is the same for all.
func (d Demand) WithWork(workspace string, work float64, now time.Time) Demand {
	if d.began.IsZero() {
		d.began = now
	}
	u, known := d.usual.Get(workspace)
	if !known {
		if d.usual.Len() >= maxWorkspaces {
			d = d.withoutSmallest()
		}
		u.from = now
	}
	next := u.at(now, d.floor())
	next.work += work
	d.total += next.rate - u.rate
	d.usual = d.usual.Set(workspace, next)

	return d
}

// floor is the least demand that a workspace is taken to have.
func (d Demand) floor() float64 {
	return floorPart * d.total / float64(max(1, d.usual.Len()))
}

// at closes the bins that are over; floor is the least demand to take for usual.
func (u usual) at(now time.Time, floor float64) usual {
	over := int(now.Sub(u.from) / bin)
	if over <= 0 {
		return u
	}
	u.from = u.from.Add(time.Duration(over) * bin)
	for range min(over, memory) {
		u = u.closed(floor)
	}

	return u
}

// closed takes the open bin into the average. The floor lets one whose usual demand has
// faded away in a long pause grow again.
func (u usual) closed(floor float64) usual {
	work := u.work
	if u.bins >= learnBins {
		work = min(work, capRatio*max(u.rate, floor))
	}
	u.bins = min(u.bins+1, memory)
	u.rate += (work - u.rate) / float64(u.bins)
	u.work = 0

	return u
}

// withoutSmallest forgets the half of the workspaces that ask for least.
func (d Demand) withoutSmallest() Demand {
	type entry struct {
		name string
		usual
	}
	var all []entry
	for i := d.usual.Iterator(); !i.Done(); {
		name, u, _ := i.Next()
		all = append(all, entry{name: name, usual: u})
	}
	slices.SortFunc(all, func(a, b entry) int { return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.name, b.name)) })
	kept := NewDemand()
	kept.began = d.began
	for _, e := range all[:len(all)/2] {
		kept.usual = kept.usual.Set(e.name, e.usual)
		kept.total += e.rate
	}

	return kept
}

// Share returns the part of a queue that is a workspace's, from 0 to 1: an equal one at
// first, and its usual part of all demand as far as that is known.
//
// A node that takes a queue over in the middle of one workspace's burst knows nothing
// else. Taken for usual at once, the burst would be within its share.
func (d Demand) Share(workspace string, now time.Time) float64 {
	others := d.usual.Len()
	if _, known := d.usual.Get(workspace); known {
		others--
	}
	equal := 1 / float64(others+1)
	if d.total <= 0 {
		return equal
	}
	sure := min(1, now.Sub(d.began).Seconds()/(memory*bin).Seconds())

	return sure*d.usualShare(workspace) + (1-sure)*equal
}

// usualShare returns a workspace's part of the usual demand.
func (d Demand) usualShare(workspace string) float64 {
	u, _ := d.usual.Get(workspace)
	known := u.rate
	if u.bins < learnBins {
		// What was seen of a new workspace may be its burst.
		known = 0
	}

	return (known + d.floor()) / (d.total * (1 + floorPart))
}
