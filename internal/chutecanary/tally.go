package chutecanary

import (
	"maps"
	"math"
	"time"
)

// timeSteps is the number of steps by which times are counted: half octaves from 1 ms to 23 s.
const timeSteps = 30

// timeStep returns the step of a time.
func timeStep(d time.Duration) int {
	ms := max(1, float64(d)/float64(time.Millisecond))

	return min(timeSteps-1, int(2*math.Log2(ms)))
}

// Counts are answers of one version to calls of one pipeline. It is immutable.
type Counts struct {
	// Sent is the number of calls that were sent.
	Sent int `json:",omitempty"`
	// Failures is the number of answers that report a failure.
	Failures int `json:",omitempty"`
	// Times is the number of other answers by the step of the time until they began.
	Times []int `json:",omitempty"`
}

// WithSent returns the counts with one more call sent.
func (c Counts) WithSent() Counts {
	c.Sent++

	return c
}

// WithFailure returns the counts with one more answer that reports a failure.
func (c Counts) WithFailure() Counts {
	c.Failures++

	return c
}

// WithAnswer returns the counts with one more answer, which began after a time.
func (c Counts) WithAnswer(took time.Duration) Counts {
	step := timeStep(took)
	times := make([]int, max(len(c.Times), step+1))
	copy(times, c.Times)
	times[step]++
	c.Times = times

	return c
}

// since returns what was added to earlier counts, nothing if the counts began anew.
func (c Counts) since(earlier Counts) Counts {
	added := Counts{Sent: max(0, c.Sent-earlier.Sent), Failures: max(0, c.Failures-earlier.Failures)}
	for step, count := range c.Times {
		if step < len(earlier.Times) {
			count -= earlier.Times[step]
		}
		added.Times = append(added.Times, max(0, count))
	}

	return added
}

// Pair holds the counts of the old versions and of the new one.
type Pair struct {
	Old Counts
	New Counts
}

// Tally holds one node's counts by pipeline since it learned of the order. It is immutable.
type Tally map[string]Pair

// With returns the tally with a change of one pipeline's counts.
func (t Tally) With(pipeline string, isNew bool, change func(Counts) Counts) Tally {
	next := maps.Clone(t)
	if next == nil {
		next = Tally{}
	}
	pair := next[pipeline]
	if isNew {
		pair.New = change(pair.New)
	} else {
		pair.Old = change(pair.Old)
	}
	next[pipeline] = pair

	return next
}

// newFailures returns the number of failures of the new version.
func (t Tally) newFailures() int {
	n := 0
	for _, pair := range t {
		n += pair.New.Failures
	}

	return n
}

// Report is what one node tells about a rollout. Its counts grow from report to report.
type Report struct {
	Node string
	// Incarnation is that of the node's process; counts begin anew with each.
	Incarnation string
	Pool        string
	// Order is the revision of the order, Epoch that of the record that the node acts on.
	Order uint64
	Epoch uint64
	// ElapsedMs is the time since the node learned of the order, in milliseconds.
	ElapsedMs int64
	// Unrepeatable is the number of calls in progress at old upstreams that must not be repeated.
	Unrepeatable int `json:",omitempty"`
	// LongestUnrepeatableMs is how long the longest of such calls took that ended in the last
	// seconds, in milliseconds.
	LongestUnrepeatableMs int64 `json:",omitempty"`
	// PinnedSent is the number of calls that must not be repeated among those sent.
	PinnedSent int `json:",omitempty"`
	Tally      Tally
}

// IsUrgent reports whether the report says something that should not wait, compared with the
// previous one: the new version failed, a newer record is in force, or no call is left that must not
// be repeated.
func (r Report) IsUrgent(previous Report) bool {
	return r.Epoch != previous.Epoch || r.Tally.newFailures() != previous.Tally.newFailures() ||
		r.Unrepeatable == 0 && previous.Unrepeatable > 0
}

const (
	// trialReportInterval and moveReportInterval are the times between two reports of a node that are
	// not urgent, in PhaseTrial and after it. With many nodes they are longer, so that nobody gets more
	// than maxTrialReports or maxMoveReports a second.
	trialReportInterval = time.Second
	moveReportInterval  = 200 * time.Millisecond
	maxTrialReports     = 400
	maxMoveReports      = 2000
)

// ReportInterval returns the time between two reports of one of so many nodes that are not urgent.
func (p Phase) ReportInterval(nodes int) time.Duration {
	if p == PhaseMoving || p == PhaseClosing {
		return max(moveReportInterval, time.Duration(nodes)*time.Second/maxMoveReports)
	}

	return max(trialReportInterval, time.Duration(nodes)*time.Second/maxTrialReports)
}
