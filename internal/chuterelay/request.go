package chuterelay

import (
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroute"
)

const (
	// maxRefusedSends bounds the sends beyond the allowed attempts that an upstream
	// refused without running anything.
	maxRefusedSends = 2
	// promptTokensPerMillisecond is the prompt tokens an engine reads in a millisecond when it is
	// shared, somewhat under what the engines' sheets say.
	promptTokensPerMillisecond = 25
	// engineStartTime is the time to a first event besides reading the prompt.
	engineStartTime = 60 * time.Millisecond
	// plainCallTime is the usual time of a call to a plain service.
	plainCallTime = 80 * time.Millisecond
)

// stageState is how far one stage of a request has come.
type stageState struct {
	// jobRequestID is the ask under way or whose results are held; 0 if there is none.
	jobRequestID uint64
	done         bool
	results      []chutebatch.Result
	// doneAt is when the results were heard of.
	doneAt time.Time
	// failures counts the asks that failed.
	failures int
}

// attempt is the call of a request that is under way.
type attempt struct {
	id       uint64
	upstream chutefleet.Upstream
	tokens   int64
	sentAt   time.Time
}

// request is one relayed request in flight; values are never changed in place.
type request struct {
	Submission
	// pool is the target that was drawn for the request.
	pool      string
	arrivedAt time.Time
	aimAt     time.Time
	// callerLeavesAt is when the caller leaves if no event has come by then.
	callerLeavesAt time.Time
	// waitedBefore is how long the caller is believed to have waited before this sending.
	waitedBefore time.Duration
	stages       []stageState
	// zone is where the call is expected to run.
	zone string
	// sends counts calls, runs those among them that may have run.
	sends        int
	possibleRuns int
	// maybeReached says that a call may have reached an upstream, so that the next one is a repeat.
	maybeReached bool
	// lastEnd is how the last call ended; empty before the first has.
	lastEnd        AttemptEnd
	triedUpstreams []string
	// current is the call under way; its id is 0 if there is none.
	current attempt
	// answerBegun says that the caller has part of the answer.
	answerBegun bool
	// failureAttempt is the last attempt whose own answer, a failure, can be passed on; 0 if there is none.
	failureAttempt uint64
}

// priority is the workspace's word, or else the pipeline's.
func (r request) priority() int {
	if r.Workspace.HasPriority {
		return r.Workspace.Priority
	}

	return r.Pipeline.Priority
}

// ranksPerPriority is the number of pipelines' priorities that one workspace's priority spans.
const ranksPerPriority = 10

// rank orders the stages' jobs: by priority, and those of one priority by their pipeline's.
//
// All of a workspace's requests have its priority. Ordered by their aims alone within
// it, requests with a long aim that have waited for a while go ahead of urgent ones
// with a short one, which are turned away, so that the most urgent pipeline is served least.
func (r request) rank() int {
	return r.priority()*ranksPerPriority + min(max(0, r.Pipeline.Priority), ranksPerPriority-1)
}

// parts is the number of parts of a stage.
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

// canRequestStage says whether a stage can be asked for: not yet asked, and all it takes in is there.
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

// largeResult is the size of a stage's results from which on they are not made
// sooner than needed: a tenth of an upstream's room where results are largest.
const largeResult = 1_000_000

// tooEarly says whether a stage's heavy results would lie and wait for other stages.
//
// They take the scarcest room, and the call needs them no sooner than the results
// of the longest other way. So they are made beside that way's last stage.
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

// hasUnfinishedDependent says whether another unfinished stage takes a stage's results in.
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

// resultUpstreams lists the incarnations that keep the results of the stages, each once.
func (r request) resultUpstreams(stages []int) []string {
	var keepers []string
	for _, i := range stages {
		for _, result := range r.stages[i].results {
			if !slices.Contains(keepers, result.Upstream) {
				keepers = append(keepers, result.Upstream)
			}
		}
	}

	return keepers
}

// answerBy is when the answer, or its first event, has to be there.
//
// Callers of a stream leave long before their deadlines if nothing comes. Held until
// then, a request is lost with all that was made for it, and its caller, who was not
// told to come back, does not.
func (r request) answerBy() time.Time {
	if r.answerBegun {
		return r.Deadline
	}

	return r.callerLeavesAt
}

// hasStageResults says whether any stage's work has been spent on the request.
func (r request) hasStageResults() bool {
	for i := range r.stages {
		if r.stages[i].done && r.parts(i) > 0 {
			return true
		}
	}

	return false
}

// allStagesDone says whether all stages are done.
func (r request) allStagesDone() bool {
	return !slices.ContainsFunc(r.stages, func(s stageState) bool { return !s.done })
}

// atMostOnce says whether the call must not be sent again after it may have run.
func (r request) atMostOnce() bool {
	return r.Pipeline.Repeat == chuteroute.Unrepeatable
}

// maxPossibleRuns is the number of upstreams that may run the request.
func (r request) maxPossibleRuns() int {
	return max(1, r.Pipeline.MaxAttempts)
}

// callTime is the usual time from the last stage's end to the answer or first event.
func (r request) callTime() time.Duration {
	if r.PromptTokens == 0 {
		return plainCallTime
	}

	return engineStartTime + time.Duration(r.PromptTokens/promptTokensPerMillisecond)*time.Millisecond
}
