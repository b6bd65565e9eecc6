package chutewarmup

import "time"

// span is a second, and a fifth besides: calls go out somewhat later than they are decided
// on, each by another time.
const span = 1200 * time.Millisecond

// Window is an immutable record of the calls that a node has sent to one cold upstream of late.
type Window struct {
	sent []time.Time
}

// With returns the window with a call sent.
func (w Window) With(now time.Time) Window {
	var sent []time.Time
	for _, at := range w.sent {
		if now.Sub(at) < span {
			sent = append(sent, at)
		}
	}

	return Window{sent: append(sent, now)}
}

// Next returns when the next call may be sent under a quota above 0; not after now if at once.
func (w Window) Next(quota int, now time.Time) time.Time {
	if len(w.sent) < quota {
		return now
	}

	return w.sent[len(w.sent)-quota].Add(span)
}
