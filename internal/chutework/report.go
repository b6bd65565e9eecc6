package chutework

import "time"

// ReportLifetime is how long a report of calls and tokens is used.
const ReportLifetime = time.Second

// Report is what one node, or an aggregator for all nodes that it hears from, reports of an upstream.
type Report struct {
	// Upstream is the id of the incarnation.
	Upstream string
	// Calls is the number of the reporter's calls in flight there.
	Calls int
	// Tokens is the number of prompt tokens in these calls that the upstream has not processed yet, as far as known.
	Tokens int64
	// Age is the age of Calls and Tokens.
	Age time.Duration
	// EventInterval is the learned time between two events of a stream there; 0 if it is unknown. Samples is the number
	// of streams that it was learned from.
	EventInterval time.Duration
	Samples       int
	// Pace is how long work takes there in percent of the usual time, as last reported; 0 if it is unknown. PaceAge is the
	// age of that.
	Pace    int
	PaceAge time.Duration
}
