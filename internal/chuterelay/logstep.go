package chuterelay

import "time"

// Step names a decision on a request.
type Step string

// The decisions that are noted; docs/OPERATIONS.md tells how to read them.
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
	// StepFailureDelivered: the caller got the upstream's own word that it failed.
	StepFailureDelivered Step = "answered with failure"
	StepCancelled        Step = "cancelled"
	// StepRepeatRefused: the call is not sent once more, for want of retry budget.
	StepRepeatRefused Step = "repeat refused"
)

// LogStep tells of one decision with what decided it, for the log.
type LogStep struct {
	Step    Step
	Request string
	// Fingerprint is that of the request where it is admitted or refused, and where a call
	// of it failed.
	Fingerprint string
	// Workspace is whose request it is; empty if the pipeline takes no keys.
	Workspace string
	// Pipeline and Pool name what the request runs on.
	Pipeline string
	Pool     string
	// Stage is the stage's index, or -1 for the relayed call.
	Stage int
	// Parts is the number of parts of a stage that is asked for or made.
	Parts int
	// Aim is the time from now on until the request should be answered, when it is admitted.
	Aim time.Duration
	// Attempt numbers the sends of the request from 1.
	Attempt int
	// Upstream is the incarnation, Peer its address or the node that was asked.
	Upstream string
	Peer     string
	Zone     string
	// Evacuated are the zones that get nothing, when the request is admitted.
	Evacuated []string
	// Age is the time since the request arrived, Left the time until its deadline.
	Age  time.Duration
	Left time.Duration
	// Waited is how long the caller is believed to have waited before this sending.
	Waited time.Duration
	// Wait is the expected wait that counted in the decision.
	Wait   time.Duration
	Reason string
	// RepeatOf is how the call before ended, where a call is sent once more.
	RepeatOf AttemptEnd
	// Budget is the pool's retry budget, where it allowed a repeat or refused one.
	Budget *BudgetView
	// Version is the configuration's that was in force.
	Version uint64
}

func (LogStep) relayEffect() {}

// logStep tells of a decision on a request; fill sets what is particular to it.
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
