package chuterelay

import (
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroute"
)

const (
	// extraSends bounds the sends beyond the allowed attempts that an upstream
	// refused without running anything.
	extraSends = 2
	// readRate is the prompt tokens an engine reads in a millisecond when it is
	// shared, somewhat under what the engines' sheets say.
	readRate = 25
	// engineStart is the time to a first event besides reading the prompt.
	engineStart = 60 * time.Millisecond
	// plainTime is the usual time of a call to a plain service.
	plainTime = 80 * time.Millisecond
)

// stageState is how far one stage of a request has come.
type stageState struct {
	// ask is the ask under way or whose results are held; 0 if there is none.
	ask     uint64
	done    bool
	results []chutebatch.Result
	// madeAt is when the results were heard of.
	madeAt time.Time
	// tries counts the asks that failed.
	tries int
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
	// leavesAt is when the caller leaves if no event has come by then.
	leavesAt time.Time
	// waited is how long the caller is believed to have waited before this sending.
	waited time.Duration
	stages []stageState
	// zone is where the call is expected to run.
	zone string
	// sends counts calls, runs those among them that may have run.
	sends int
	runs  int
	// reached says that a call may have reached an upstream, so that the next one is a repeat.
	reached bool
	// lastEnd is how the last call ended; empty before the first has.
	lastEnd AttemptEnd
	tried   []string
	// current is the call under way; its id is 0 if there is none.
	current attempt
	// begun says that the caller has part of the answer.
	begun bool
	// answer is the last attempt whose own answer, a failure, can be passed on; 0 if there is none.
	answer uint64
}

// priority is the workspace's word, or else the pipeline's.
func (r request) priority() int {
	if r.Workspace.HasPriority {
		return r.Workspace.Priority
	}

	return r.Pipeline.Priority
}

// rankSpan is the number of pipelines' priorities that one workspace's priority spans.
const rankSpan = 10

// rank orders the stages' jobs: by priority, and those of one priority by their pipeline's.
//
// All of a workspace's requests have its priority. Ordered by their aims alone within
// it, requests with a long aim that have waited for a while go ahead of urgent ones
// with a short one, which are turned away, so that the most urgent pipeline is served least.
func (r request) rank() int {
	return r.priority()*rankSpan + min(max(0, r.Pipeline.Priority), rankSpan-1)
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

// ready says whether a stage can be asked for: not yet asked, and all it takes in is there.
func (r request) ready(i int) bool {
	if r.stages[i].done || r.stages[i].ask != 0 {
		return false
	}
	for _, before := range r.Pipeline.Stages[i].After {
		if !r.stages[before].done {
			return false
		}
	}

	return true
}

// heavyResult is the size of a stage's results from which on they are not made
// sooner than needed: a tenth of an upstream's room where results are largest.
const heavyResult = 1_000_000

// early says whether a stage's heavy results would lie and wait for other stages.
//
// They take the scarcest room, and the call needs them no sooner than the results
// of the longest other way. So they are made beside that way's last stage.
func (r request) early(i int) bool {
	if r.begun || r.Pipeline.Stages[i].ResultBytes*int64(r.parts(i)) < heavyResult {
		return false
	}
	for n := range r.stages {
		if n != i && !r.stages[n].done && !after(r, n, i) && r.followed(n) {
			return true
		}
	}

	return false
}

// followed says whether another unfinished stage takes a stage's results in.
func (r request) followed(i int) bool {
	for n := range r.stages {
		if after(r, n, i) && !r.stages[n].done {
			return true
		}
	}

	return false
}

// refs lists the results of the stages in order.
func (r request) refs(stages []int) []string {
	var refs []string
	for _, i := range stages {
		for _, result := range r.stages[i].results {
			refs = append(refs, result.Ref)
		}
	}

	return refs
}

// keepers lists the incarnations that keep the results of the stages, each once.
func (r request) keepers(stages []int) []string {
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

// until is when the answer, or its first event, has to be there.
//
// Callers of a stream leave long before their deadlines if nothing comes. Held until
// then, a request is lost with all that was made for it, and its caller, who was not
// told to come back, does not.
func (r request) until() time.Time {
	if r.begun {
		return r.Deadline
	}

	return r.leavesAt
}

// underWay says whether any stage's work has been spent on the request.
func (r request) underWay() bool {
	for i := range r.stages {
		if r.stages[i].done && r.parts(i) > 0 {
			return true
		}
	}

	return false
}

// staged says whether all stages are done.
func (r request) staged() bool {
	return !slices.ContainsFunc(r.stages, func(s stageState) bool { return !s.done })
}

// atMostOnce says whether the call must not be sent again after it may have run.
func (r request) atMostOnce() bool {
	return r.Pipeline.Repeat == chuteroute.Unrepeatable
}

// maxRuns is the number of upstreams that may run the request.
func (r request) maxRuns() int {
	return max(1, r.Pipeline.MaxAttempts)
}

// callTime is the usual time from the last stage's end to the answer or first event.
func (r request) callTime() time.Duration {
	if r.PromptTokens == 0 {
		return plainTime
	}

	return engineStart + time.Duration(r.PromptTokens/readRate)*time.Millisecond
}
