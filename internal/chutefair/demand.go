package chutefair

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	// bin is the span over which work is summed before it counts as demand.
	binLength = time.Second
	// memory is the number of bins over which usual demand is averaged: longer than a
	// burst of one workspace, shorter than what an hour of the day changes.
	averagedBins = 30
	// learnBins is the number of bins before a workspace's demand is taken for usual.
	minBins = 5
	// capRatio is how much of one bin counts, in times of the usual demand. A workspace
	// that sends eight times its usual for nine seconds would otherwise have three times
	// its share by then.
	maxBinRatio = 2
	// floorPart is the part of the mean demand that every workspace has as demand, so
	// that one that is new, or seldom there, has a share.
	minDemandRatio = 0.25
	// maxWorkspaces bounds the workspaces that are known apart; 4,096 take under 1 MB.
	// Others count as new ones.
	maxWorkspaces = 4096
)

// Demand is what each workspace usually asks for; its values are immutable.
type Demand struct {
	workspaces *immutable.Map[string, workspaceDemand]
	// total is the sum of all rates.
	total float64
	// began is when the first work was seen.
	startedAt time.Time
}

// usual is one workspace's demand.
type workspaceDemand struct {
	// rate is the usual work in a bin.
	rate float64
	// from is when the open bin began, work what it holds, and bins the number of closed ones.
	openedAt   time.Time
	openWork   float64
	closedBins int
}

// NewDemand returns a demand that knows nobody.
func NewDemand() Demand {
	return Demand{workspaces: immutable.NewMap[string, workspaceDemand](nil)}
}

// WithWork takes in work that a workspace asks for, in any unit that is the same for all.
func (d Demand) WithWork(workspace string, work float64, now time.Time) Demand {
	if d.startedAt.IsZero() {
		d.startedAt = now
	}
	u, known := d.workspaces.Get(workspace)
	if !known {
		if d.workspaces.Len() >= maxWorkspaces {
			d = d.withoutSmallest()
		}
		u.openedAt = now
	}
	next := u.advancedTo(now, d.minDemand())
	next.openWork += work
	d.total += next.rate - u.rate
	d.workspaces = d.workspaces.Set(workspace, next)

	return d
}

// floor is the least demand that a workspace is taken to have.
func (d Demand) minDemand() float64 {
	return minDemandRatio * d.total / float64(max(1, d.workspaces.Len()))
}

// at closes the bins that are over; floor is the least demand to take for usual.
func (u workspaceDemand) advancedTo(now time.Time, minDemand float64) workspaceDemand {
	ended := int(now.Sub(u.openedAt) / binLength)
	if ended <= 0 {
		return u
	}
	u.openedAt = u.openedAt.Add(time.Duration(ended) * binLength)
	for range min(ended, averagedBins) {
		u = u.withBinClosed(minDemand)
	}

	return u
}

// closed takes the open bin into the average. The floor lets one whose usual demand has
// faded away in a long pause grow again.
func (u workspaceDemand) withBinClosed(minDemand float64) workspaceDemand {
	work := u.openWork
	if u.closedBins >= minBins {
		work = min(work, maxBinRatio*max(u.rate, minDemand))
	}
	u.closedBins = min(u.closedBins+1, averagedBins)
	u.rate += (work - u.rate) / float64(u.closedBins)
	u.openWork = 0

	return u
}

// withoutSmallest forgets the half of the workspaces that ask for least.
func (d Demand) withoutSmallest() Demand {
	type entry struct {
		name string
		workspaceDemand
	}
	var all []entry
	for i := d.workspaces.Iterator(); !i.Done(); {
		name, u, _ := i.Next()
		all = append(all, entry{name: name, workspaceDemand: u})
	}
	slices.SortFunc(all, func(a, b entry) int { return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.name, b.name)) })
	kept := NewDemand()
	kept.startedAt = d.startedAt
	for _, e := range all[:len(all)/2] {
		kept.workspaces = kept.workspaces.Set(e.name, e.workspaceDemand)
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
	others := d.workspaces.Len()
	if _, known := d.workspaces.Get(workspace); known {
		others--
	}
	equal := 1 / float64(others+1)
	if d.total <= 0 {
		return equal
	}
	learned := min(1, now.Sub(d.startedAt).Seconds()/(averagedBins*binLength).Seconds())

	return learned*d.usualShare(workspace) + (1-learned)*equal
}

// usualShare returns a workspace's part of the usual demand.
func (d Demand) usualShare(workspace string) float64 {
	u, _ := d.workspaces.Get(workspace)
	rate := u.rate
	if u.closedBins < minBins {
		// What was seen of a new workspace may be its burst.
		rate = 0
	}

	return (rate + d.minDemand()) / (d.total * (1 + minDemandRatio))
}
