package chutequota

import "time"

// Window is an immutable record of what a node has spent of a quota that holds for any span of a
// given length.
type Window struct {
	spent []time.Time
}

// WithSpent returns the window with one unit spent.
func (w Window) WithSpent(span time.Duration, now time.Time) Window {
	var spent []time.Time
	for _, at := range w.spent {
		if now.Sub(at) < span {
			spent = append(spent, at)
		}
	}

	return Window{spent: append(spent, now)}
}

// NextAt returns when the next unit may be spent under a quota above 0; not after now if at once.
func (w Window) NextAt(quota int, span time.Duration, now time.Time) time.Time {
	if len(w.spent) < quota {
		return now
	}

	return w.spent[len(w.spent)-quota].Add(span)
}
