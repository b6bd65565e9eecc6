package chuterelay

import "time"

// Step names a step in the processing of a request.
type Step string

// The steps that are logged; docs/OPERATIONS.md explains how to read them.
const (
	StepAdmitted       Step = "admitted"
	StepRefused        Step = "refused"
	StepStageRequested Step = "stage asked"
	StepStageDone      Step = "stage made"
	StepStageFailed    Step = "stage not made"
	StepSent           Step = "sent"
	StepAnswerBegun    Step = "began"
	StepCallFailed     Step = "call failed"
	StepAnswered       Step = "answered"
	// StepFailureDelivered: the caller got the upstream's own answer that it failed.
	StepFailureDelivered Step = "answered with failure"
	StepCancelled        Step = "cancelled"
	// StepForwarded: another node is to serve the request.
	StepForwarded Step = "forwarded"
	// StepRetryRefused: the call is not sent again because the retry budget is used up.
	StepRetryRefused Step = "repeat refused"
	// StepOverdue: the call takes several times its usual time; Reason says what is done about it.
	StepOverdue Step = "overdue"
)

// LogStep records one step of a request, and what decided it, in the log and the metrics.
type LogStep struct {
	Step    Step
	Request string
	// Fingerprint is that of the request. It is set when the request is admitted or refused, and
	// when a call of it failed.
	Fingerprint string
	// Verdict is the key of the quarantine that a refused request is under.
	Verdict string
	// PromptParts are the parts of its prompt that other prompts may share. They are set when the request is admitted.
	PromptParts []string
	// Workspace is the request's workspace; empty if the pipeline takes no keys.
	Workspace string
	// Pipeline and Pool name what the request runs on.
	Pipeline string
	Pool     string
	// Stage is the stage's index, or -1 for the relayed call.
	Stage int
	// Parts is the number of parts of a stage that is done.
	Parts int
	// Aim is the time from now until the request should be answered. It is set when the request is
	// admitted.
	Aim time.Duration
	// Attempt numbers the sends of the request from 1.
	Attempt int
	// Upstream is the upstream's incarnation. Peer is its address, or the node that the stage was
	// requested from.
	Upstream string
	Peer     string
	// UpstreamVersion is the upstream's software version. It is set when the call is sent.
	UpstreamVersion string
	Zone            string
	// Evacuated are the zones to which nothing is sent. It is set when the request is admitted.
	Evacuated []string
	// Age is the time since the request arrived. Left is the time until its deadline.
	Age  time.Duration
	Left time.Duration
	// Waited is the estimate of how long the caller had waited before this sending.
	Waited time.Duration
	// Wait is the expected wait that the step was based on, or the retry delay of a refusal.
	Wait   time.Duration
	Reason string
	// Placement is what decided on the upstream of a call that was placed by work; nil for others.
	Placement *Placement
	// RepeatOf is how the previous call ended, if a call is sent again.
	RepeatOf AttemptEnd
	// Budget is the pool's retry budget, if it allowed or refused a retry.
	Budget *BudgetView
	// Room is what admission decided by. It is set when a request to a pool that is placed by work is admitted, or refused
	// for want of capacity.
	Room *RoomView
	// Overdue is what the decision on an overdue call was based on.
	Overdue *OverdueView
	// Version is that of the configuration in force.
	Version uint64
}

// Placement is what decided on the upstream of a call.
type Placement struct {
	// Tokens is the number of prompt tokens that the upstream is expected to process for the call, Outstanding the number
	// that it has to process before.
	Tokens      int64
	Outstanding int64
	// Speed is relative to the pool's mean, Pace how long work takes there at the moment as a multiple of the usual time.
	Speed float64
	Pace  float64
	// Rank is the upstream's place in the order for the prompt's prefix, from 1; 0 if it was drawn at random.
	Rank int
	// FirstEvent is the expected time until the first event.
	FirstEvent time.Duration
}

func (LogStep) relayEffect() {}

// logStep emits a step of a request; setDetails sets the fields that are particular to it.
func (st *reduction) logStep(step Step, r request, setDetails func(n *LogStep)) {
	n := LogStep{
		Step: step, Request: r.ID, Workspace: r.Workspace.Name, Pipeline: r.Pipeline.Name, Pool: r.pool, Stage: -1, Attempt: r.sends,
		Age: st.now.Sub(r.arrivedAt), Left: r.Deadline.Sub(st.now), Version: st.config.Version,
	}
	if setDetails != nil {
		setDetails(&n)
	}
	st.emit(n)
}
