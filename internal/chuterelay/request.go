package chuterelay

import (
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroute"
)

const (
	// maxRefusedSends bounds the sends beyond the allowed attempts, for upstreams that refused
	// without running anything.
	maxRefusedSends = 2
	// promptTokensPerMillisecond is the rate at which a shared engine reads prompts, somewhat
	// below the engines' data sheets.
	promptTokensPerMillisecond = 25
	// engineStartTime is the time to a first event besides reading the prompt.
	engineStartTime = 60 * time.Millisecond
	// plainCallTime is the usual time of a call to a plain service.
	plainCallTime = 80 * time.Millisecond
)

// stageState is the progress of one stage of a request.
type stageState struct {
	// jobRequestID is the job request that is in progress or whose results are held; 0 if there is
	// none.
	jobRequestID uint64
	done         bool
	results      []chutebatch.Result
	// doneAt is when this node received the results.
	doneAt time.Time
	// failures counts the job requests that failed.
	failures int
}

// attempt is the current call of a request.
type attempt struct {
	id       uint64
	upstream chutefleet.Upstream
	// peer is the node that the request is forwarded to, in place of an upstream; its name is empty if
	// there is none.
	peer   Peer
	tokens int64
	// outstanding is the number of prompt tokens that the upstream had to process before, as far as known when the call was
	// sent.
	outstanding int64
	sentAt      time.Time
	// began says that the first event of its answer has arrived, at beganAt.
	began   bool
	beganAt time.Time
	// bound says that the stream was bound to a version when it was sent.
	bound bool
	watch watch
}

// request is one relayed request in flight. Values are never modified in place.
type request struct {
	Submission
	// pool is the call's pool, drawn at random from the pipeline's targets.
	pool      string
	arrivedAt time.Time
	// targetAt is the target time, when the request should be answered: its pipeline's Aim, counted
	// from the caller's first sending.
	targetAt time.Time
	// callerLeavesAt is when the caller leaves if it has received no event by then.
	callerLeavesAt time.Time
	// waitedBefore is the estimate of how long the caller had waited before this sending.
	waitedBefore time.Duration
	stages       []stageState
	// regions are those in which the request may run.
	regions chuteroute.Regions
	// zone is where the call is expected to run.
	zone string
	// sends counts calls. possibleRuns counts those of them that may have run.
	sends        int
	possibleRuns int
	// maybeReached says that a call may have reached an upstream, so that the next one is a
	// retry.
	maybeReached bool
	// lastEnd is how the last call ended; empty before the first has.
	lastEnd        AttemptEnd
	triedUpstreams []string
	// isForwarded says that another node has received the request, counted that it has been counted for
	// the retry budget.
	isForwarded bool
	counted     bool
	// moved says that a call was given up for being overdue, retryCounted that the retry budget has counted the next
	// call already.
	moved        bool
	retryCounted bool
	// forwards counts the nodes that the request was forwarded to, forwardTried are their names.
	forwards     int
	forwardTried []string
	// roomDecidedAt is when admission decided on the request; zero if it has not. room is what it decided by.
	roomDecidedAt time.Time
	room          *RoomView
	// current is the call in progress; its id is 0 if there is none.
	current attempt
	// answerBegun says that the caller has part of the answer.
	answerBegun bool
	// failureAttempt is the last attempt with an upstream's own failure answer that can be passed
	// on; 0 if there is none.
	failureAttempt uint64
}

// priority returns the workspace's priority if it has one, and the pipeline's otherwise.
func (r request) priority() int {
	if r.Workspace.HasPriority {
		return r.Workspace.Priority
	}

	return r.Pipeline.Priority
}

// ranksPerPriority is the number of ranks within one priority: pipelines' priorities 0 to 9 order
// the jobs of workspaces with the same priority.
const ranksPerPriority = 10

// rank returns the priority of the stages' jobs: by the request's priority first, and within it by
// the pipeline's.
//
// By target times alone, requests with a long Aim that have waited would go ahead of more urgent pipelines of
// the workspace.
func (r request) rank() int {
	return r.priority()*ranksPerPriority + min(max(0, r.Pipeline.Priority), ranksPerPriority-1)
}

// parts returns the number of parts of a stage.
func (r request) parts(stage int) int {
	if stage >= len(r.Parts) {
		return 0
	}

	return r.Parts[stage]
}

// withStage returns the request with one stage changed.
func (r request) withStage(i int, s stageState) request {
	r.stages = slices.Clone(r.stages)
	r.stages[i] = s

	return r
}

// canRequestStage reports whether a stage can be requested: it was not requested yet, and all its
// inputs are ready.
func (r request) canRequestStage(i int) bool {
	if r.stages[i].done || r.stages[i].jobRequestID != 0 {
		return false
	}
	for _, predecessor := range r.Pipeline.Stages[i].After {
		if !r.stages[predecessor].done {
			return false
		}
	}

	return true
}

// largeResult is the size in bytes from which a stage's results are not made sooner than needed: a
// tenth of an upstream's space where results are largest.
const largeResult = 1_000_000

// tooEarly reports whether a stage's large results would be stored while they wait for other
// stages.
//
// They are made at the same time as the last stage of the longest other path.
func (r request) tooEarly(i int) bool {
	if r.answerBegun || r.Pipeline.Stages[i].ResultBytes*int64(r.parts(i)) < largeResult {
		return false
	}
	for n := range r.stages {
		if n != i && !r.stages[n].done && !dependsOn(r, n, i) && r.hasUnfinishedDependent(n) {
			return true
		}
	}

	return false
}

// hasUnfinishedDependent reports whether another unfinished stage takes a stage's results as
// inputs.
func (r request) hasUnfinishedDependent(i int) bool {
	for n := range r.stages {
		if dependsOn(r, n, i) && !r.stages[n].done {
			return true
		}
	}

	return false
}

// resultRefs lists the results of the stages in order.
func (r request) resultRefs(stages []int) []string {
	var refs []string
	for _, i := range stages {
		for _, result := range r.stages[i].results {
			refs = append(refs, result.Ref)
		}
	}

	return refs
}

// resultUpstreams lists the upstream incarnations that hold results of the stages, each once.
func (r request) resultUpstreams(stages []int) []string {
	var upstreams []string
	for _, i := range stages {
		for _, result := range r.stages[i].results {
			if !slices.Contains(upstreams, result.Upstream) {
				upstreams = append(upstreams, result.Upstream)
			}
		}
	}

	return upstreams
}

// answerBy returns when the answer, or its first event, has to be there.
//
// Callers of a stream leave long before their deadlines if nothing comes.
func (r request) answerBy() time.Time {
	if r.answerBegun {
		return r.Deadline
	}

	return r.callerLeavesAt
}

// anyStageRan reports whether any stage has run for the request.
func (r request) anyStageRan() bool {
	for i := range r.stages {
		if r.stages[i].done && r.parts(i) > 0 {
			return true
		}
	}

	return false
}

// allStagesDone reports whether all stages are done.
func (r request) allStagesDone() bool {
	return !slices.ContainsFunc(r.stages, func(s stageState) bool { return !s.done })
}

// atMostOnce reports whether the call must not be sent again after it may have run.
func (r request) atMostOnce() bool {
	return r.Pipeline.Repeat == chuteroute.Unrepeatable
}

// maxPossibleRuns returns the number of upstreams that may run the request.
func (r request) maxPossibleRuns() int {
	return max(1, r.Pipeline.MaxAttempts)
}

// callTime returns the usual time from the last stage's end to the answer or first event.
func (r request) callTime() time.Duration {
	if r.PromptTokens == 0 {
		return plainCallTime
	}

	return engineStartTime + time.Duration(r.PromptTokens/promptTokensPerMillisecond)*time.Millisecond
}
