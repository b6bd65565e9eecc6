package chutequota

import "time"

// Window records when a node has spent units of a quota that applies to any time span of a given
// length. It is immutable.
type Window struct {
	spentAt []time.Time
}

// WithSpent returns the window with one more unit spent now, and without those spent at least one
// span ago.
func (w Window) WithSpent(span time.Duration, now time.Time) Window {
	var spentAt []time.Time
	for _, at := range w.spentAt {
		if now.Sub(at) < span {
			spentAt = append(spentAt, at)
		}
	}

	return Window{spentAt: append(spentAt, now)}
}

// NextAt returns when the next unit of a quota may be spent; a time not after now means at once.
// The quota must be above 0.
func (w Window) NextAt(quota int, span time.Duration, now time.Time) time.Time {
	if len(w.spentAt) < quota {
		return now
	}

	return w.spentAt[len(w.spentAt)-quota].Add(span)
}
