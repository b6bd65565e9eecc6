package chutecanary

import "time"

// Bounds are the operator's bounds on what a bad version may get.
type Bounds struct {
	// Share of the calls that reach the pool between an order and its deadline, plus Tolerance calls,
	// may go to a version that turns out to be bad. A Share of 0 means that there are no rollouts.
	Share     float64
	Tolerance float64
	// RollbackDelay is the time within which nothing goes to a bad version any more, once it has given
	// fifty bad answers.
	RollbackDelay time.Duration
}

// Enabled reports whether there are rollouts.
func (b Bounds) Enabled() bool {
	return b.Share > 0
}

// MaxAge is the age of a record from which a node does not rely on it.
func (b Bounds) MaxAge() time.Duration {
	return b.RollbackDelay / 2
}

const (
	// usedPart is the part of the allowed calls that a rollout takes. The rest is for the error of the
	// estimated rate, and for calls that are sent but not reported.
	usedPart = 0.9
	// minTrialPart is the part that PhaseTrial takes though less is left then for the phases after it.
	// It takes no more than trialReserve times the answers that are needed.
	minTrialPart = 0.25
	trialReserve = 2.5
	// firstTrialPart is the part of the share that PhaseTrial takes of each pipeline before rates are
	// known.
	firstTrialPart = 0.2
	// maxTrialShare is the highest chance of a call in PhaseTrial.
	maxTrialShare = 0.5
	// maxUnprovenRate is the rate of calls of a pipeline, per second, up to which a version is accepted
	// without evidence on it.
	maxUnprovenRate = 3.0
)

// allowed returns the number of calls that a bad version may get, if the given number reaches the
// pool until the deadline.
func (b Bounds) allowed(calls float64) float64 {
	return b.Share*calls + b.Tolerance
}
