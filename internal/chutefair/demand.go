package chutefair

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	// binLength is the time over which work is summed before it counts as demand.
	binLength = time.Second
	// averagedBins is the number of bins over which the usual demand is averaged: longer than a burst
	// of one workspace, and shorter than the time in which demand changes with the hour of the day.
	averagedBins = 30
	// minBins is the number of bins from which on a workspace's demand counts as usual.
	minBins = 5
	// maxBinRatio is the maximum work of one bin that is counted, as a multiple of the usual demand.
	// Without it, a workspace that sends eight times its usual work for nine seconds would have
	// three times its share by then.
	maxBinRatio = 2
	// minDemandRatio is the minimum demand of each workspace, as a part of the mean demand. It gives
	// a share to workspaces that are new or seldom send work.
	minDemandRatio = 0.25
	// maxWorkspaces is the maximum number of workspaces whose demand is stored; 4,096 take less than
	// 1 MB. The others count as new.
	maxWorkspaces = 4096
)

// Demand holds the usual demand of each workspace. It is immutable.
type Demand struct {
	workspaces *immutable.Map[string, workspaceDemand]
	// total is the sum of the rates of all workspaces.
	total float64
	// startedAt is when the first work was added.
	startedAt time.Time
}

// workspaceDemand is the demand of one workspace.
type workspaceDemand struct {
	// rate is the usual work per bin.
	rate float64
	// openedAt is when the open bin started, and openWork is the work in it. closedBins is the number
	// of closed bins, up to averagedBins.
	openedAt   time.Time
	openWork   float64
	closedBins int
}

// NewDemand returns a demand without any workspace.
func NewDemand() Demand {
	return Demand{workspaces: immutable.NewMap[string, workspaceDemand](nil)}
}

// WithWork returns the demand with work added that a workspace requests. The unit of work is arbitrary,
// but the same in all calls.
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

// minDemand returns the minimum demand of each workspace.
func (d Demand) minDemand() float64 {
	return minDemandRatio * d.total / float64(max(1, d.workspaces.Len()))
}

// advancedTo closes the bins that have ended. minDemand is the minimum demand of each workspace.
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

// withBinClosed adds the open bin to the average. Because of minDemand the rate can grow again after a
// long pause has reduced it to almost nothing.
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

// withoutSmallest removes the half of the workspaces with the smallest usual demand.
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

// Share returns a workspace's share of a queue, from 0 to 1. All are equal at first, and change gradually to the
// workspace's part of the usual demand.
//
// A node that takes over a queue in the middle of a burst has seen nothing else; counted as usual at once, the burst
// would be within the share.
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

// usualShare returns a workspace's part of the usual demand of all workspaces.
func (d Demand) usualShare(workspace string) float64 {
	u, _ := d.workspaces.Get(workspace)
	rate := u.rate
	if u.closedBins < minBins {
		// What a new workspace has sent so far may be a burst.
		rate = 0
	}

	return (rate + d.minDemand()) / (d.total * (1 + minDemandRatio))
}
