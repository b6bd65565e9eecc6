package chutework

import "time"

// maxReportsPerSecond bounds the reports that one side of a stream sends: at some 25 bytes each, both directions together
// stay under the 8 KB a second that a node has for control messages.
const maxReportsPerSecond = 200

// Budget bounds the reports that one side of a stream sends. It is immutable; its zero value allows a full message.
type Budget struct {
	spent float64
	at    time.Time
}

// Limit returns the number of reports that a message may have now, up to MaxReports.
func (b Budget) Limit(now time.Time) int {
	return int(MaxReports - b.spentAt(now))
}

// WithSent returns the budget after a message with a number of reports.
func (b Budget) WithSent(reports int, now time.Time) Budget {
	return Budget{spent: b.spentAt(now) + float64(reports), at: now}
}

func (b Budget) spentAt(now time.Time) float64 {
	return max(0, b.spent-maxReportsPerSecond*now.Sub(b.at).Seconds())
}
