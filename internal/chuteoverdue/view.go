package chuteoverdue

import (
	"cmp"
	"slices"
	"time"
)

// View is the entry of one pool and pipeline in a state dump.
type View struct {
	Key
	// Calls and Streams are the numbers of samples, less what has decayed.
	Calls   float64
	Streams float64
	// Ratio is the usual upper limit of actual to expected times until the first event, 0 if unknown; IntervalMs that
	// of the time between two events in milliseconds.
	Ratio      float64
	IntervalMs float64
	// Recent counts the last observations of the pool's first events, Slow those of them that were slow.
	Recent int
	Slow   int
}

// Views describes all that is known, sorted by pool and pipeline.
func (t Table) Views(now time.Time) []View {
	var views []View
	for i := t.keys.Iterator(); !i.Done(); {
		key, l, _ := i.Next()
		view := View{
			Key: key, Calls: l.ratios.samples(now), Streams: l.intervals.samples(now),
			Ratio: l.ratios.quantile(likelyQuantile), IntervalMs: l.intervals.quantile(likelyQuantile),
		}
		if pool, ok := t.pools.Get(key.Pool); ok {
			view.Recent = len(pool.firstEvents)
			for n := range pool.firstEvents {
				if pool.firstEvents[n].slow {
					view.Slow++
				}
			}
		}
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b View) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Pipeline, b.Pipeline))
	})

	return views
}
