package chutequota

import "time"

// Window is an immutable record of what a node has spent of a quota that holds for any span of a
// given length.
type Window struct {
	spentAt []time.Time
}

// WithSpent returns the window with one unit spent.
func (w Window) WithSpent(span time.Duration, now time.Time) Window {
	var spentAt []time.Time
	for _, at := range w.spentAt {
		if now.Sub(at) < span {
			spentAt = append(spentAt, at)
		}
	}

	return Window{spentAt: append(spentAt, now)}
}

// NextAt returns when the next unit may be spent under a quota above 0; not after now if at once.
func (w Window) NextAt(quota int, span time.Duration, now time.Time) time.Time {
	if len(w.spentAt) < quota {
		return now
	}

	return w.spentAt[len(w.spentAt)-quota].Add(span)
}
