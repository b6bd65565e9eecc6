package chuteroom

import (
	"math"
	"time"
)

const (
	// waitError is the factor by which the real wait may exceed the expected one: a VM with busy neighbours is up to 2.5
	// times slower for about 600 ms. Without it, calls would be sent whose callers leave, and their work would be lost.
	waitError = 2.0
	// ownError is the same for the time of the call's own prompt, whose tokens are known; its upstream's pace is not.
	ownError = 1.5
	// targetShare is the part of a call's target time that it may wait before the pool counts as short of capacity. The
	// other half is left for its own prompt and the estimate's error.
	targetShare = 0.5
	// loudRatio is the ratio of a workspace's demand to its share from which on it is loud, and refused first. With a lower
	// one, usual workspaces that happen to send several heavy prompts are refused beside a loud one (TestLoudWorkspace). The
	// others above their shares are refused from loudAdvance times the tolerated wait on, which is the whole target time.
	loudRatio   = 2.0
	loudAdvance = 2.0
	// minShortWait is the wait up to which the pool has capacity, whatever the target time: the time to a first event
	// besides processing prompts, 60 ms, and a prompt of some 2,000 tokens.
	minShortWait = 150 * time.Millisecond
	// targetsUntilLeft is the usual ratio of the time that callers wait for a first event to its target time. It is used
	// for calls without a target.
	targetsUntilLeft = 4
	// rankStep is the part by which each rank divides the tolerated wait: at rank 10, the next priority, a call tolerates
	// two thirds of it. If refusing the less urgent ones keeps the wait below that, the more urgent ones are not refused.
	rankStep = 0.05
	// freeShare is the part of its share up to which a workspace may send any request. Without it, a request that exceeds
	// the share by itself would never be admitted.
	freeShare = 0.5
)

// Call is what the decision on a call depends on.
type Call struct {
	Workspace string
	// Tokens is the call's expected work.
	Tokens int64
	// Wait is the expected time until the best upstream that the call may go to would begin with it. FirstEvent is the
	// expected time until its first event there.
	Wait       time.Duration
	FirstEvent time.Duration
	// UntilLeft is the time until the caller leaves if it gets no event.
	UntilLeft time.Duration
	// UntilTarget is the time until a first sending should be answered. It is the same for a caller that comes back after a
	// refusal, which would be refused again otherwise; 0 or less if there is no target.
	UntilTarget time.Duration
	// Rank is the call's urgency; 0 is the most urgent.
	Rank int
}

// Reason is why a call is refused.
type Reason string

// The reasons.
const (
	// ReasonTooLate: its first event is expected after its caller has left.
	ReasonTooLate Reason = "TooLate"
	// ReasonOverShare: the pool is short of capacity, and the workspace is above its share.
	ReasonOverShare Reason = "OverShare"
)

// Decision is whether a call is admitted, with the inputs that decided.
type Decision struct {
	// Reason is why the call is refused; empty if it is admitted.
	Reason Reason
	// RetryAfter is when the caller of a refused call should retry.
	RetryAfter time.Duration
	// Wait and FirstEvent are those of the call, Tolerated is the wait from which on the pool counts as short for it.
	Wait       time.Duration
	FirstEvent time.Duration
	Tolerated  time.Duration
	// Work is the workspace's work in progress before the call, Demanded what its calls demanded recently, this one among
	// them, and Share its share, all in tokens. Share is infinite while the pool is not short of capacity and if all demands
	// are covered.
	Work     float64
	Demanded float64
	Share    float64
}

// Admitted reports whether the call is admitted.
func (d Decision) Admitted() bool {
	return d.Reason == ""
}

// Decide decides on a call and returns the pool with it. random is a random number in [0,1) that varies the retry delay.
func (p Pool) Decide(call Call, now time.Time, random float64) (Pool, Decision) {
	p = p.withTarget(call.UntilTarget, now).withDemand(call.Workspace, call.Tokens, now)
	d := Decision{
		Wait: call.Wait, FirstEvent: call.FirstEvent, Tolerated: p.tolerated(call),
		Work: p.Work(call.Workspace, now), Demanded: p.demanded(call.Workspace, now), Share: math.Inf(1),
	}
	isShort := call.Wait > d.Tolerated
	if isShort {
		p = p.withDemands(now)
		d.Share = p.demands.share(sustainablePart(call.Wait - d.Tolerated))
	}
	switch {
	case call.isTooLate():
		d.Reason = ReasonTooLate
		p.counts.TooLate++
	case isShort && d.isOverShare(call.Tokens) && d.isNext():
		d.Reason = ReasonOverShare
		p.counts.OverShare++
	default:
		p.counts.Admitted++

		return p.withAdmitted(call.Workspace, call.Tokens, now), d
	}
	d.RetryAfter = d.retryAfter(call, random)

	return p, d
}

// Recheck decides on a call that was admitted before and is sent only now, after its stages or a failed attempt. What has
// run for it would be lost, so that it is refused only if its first event is expected after its caller has left.
func (p Pool) Recheck(call Call, now time.Time, random float64) (Pool, Decision) {
	d := Decision{
		Wait: call.Wait, FirstEvent: call.FirstEvent, Tolerated: p.tolerated(call),
		Work: p.Work(call.Workspace, now), Demanded: p.demanded(call.Workspace, now), Share: math.Inf(1),
	}
	if call.FirstEvent <= call.UntilLeft {
		return p, d
	}
	d.Reason = ReasonTooLate
	p.counts.TooLate++
	d.RetryAfter = d.retryAfter(call, random)

	return p, d
}

// isTooLate reports whether the first event is expected after the caller has left.
//
// While others wait, they would lose what the call takes in vain, so that the real times are assumed to be longer than
// expected. Up to half of the caller's time, the wait that is allowed doesn't depend on the call's own prompt: light calls
// would else fill the queue up to a length at which no heavy one is admitted. While nobody waits, the real times are
// assumed to be shorter: with nothing admitted, a pool whose times are overestimated would never be seen to be faster.
func (c Call) isTooLate() bool {
	if c.Wait > minShortWait {
		own := float64(max(0, c.FirstEvent-c.Wait))

		return max(waitError*float64(c.Wait), float64(c.Wait)+ownError*own) > float64(c.UntilLeft)
	}
	if c.UntilLeft > c.UntilTarget {
		return float64(c.FirstEvent) > waitError*float64(c.UntilLeft)
	}

	return c.FirstEvent > c.UntilLeft
}

// tolerated returns the wait from which on the pool is short of capacity for a call. The shortest target time of the
// recent callers counts for all: calls with a long one would else fill the queue, and those with a short one miss it.
func (p Pool) tolerated(call Call) time.Duration {
	target := call.UntilTarget
	switch {
	case p.target > 0 && (target <= 0 || p.target < target):
		target = p.target
	case target <= 0:
		target = call.UntilLeft / targetsUntilLeft
	}

	return max(minShortWait, time.Duration(targetShare*float64(target)/(1+rankStep*float64(max(0, call.Rank)))))
}

// sustainablePart returns the part of the recent work that the pool would have done without its wait growing beyond the
// tolerated one: the excess wait is work that was admitted within the window and not done.
func sustainablePart(excess time.Duration) float64 {
	return float64(workWindow) / float64(workWindow+max(0, excess))
}

// isOverShare reports whether a call would put its workspace above its share.
func (d Decision) isOverShare(tokens int64) bool {
	return d.Work+float64(max(1, tokens)) > d.Share && d.Work > freeShare*d.Share
}

// isNext reports whether workspaces that are above their shares as far as this one are refused at this wait.
func (d Decision) isNext() bool {
	return d.Demanded > loudRatio*d.Share || float64(d.Wait) > loudAdvance*float64(d.Tolerated)
}
