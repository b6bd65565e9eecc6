package chutecost

import (
	"math"
	"time"
)

const (
	// tokensPerEvent is the number of tokens of an answer that an upstream sends in one event.
	tokensPerEvent = 4
	// usualEvents is the number of events expected of an answer without a hint and without samples.
	usualEvents = 64
	// medianQuantile and upperQuantile are the quantiles that an Estimate states.
	medianQuantile = 0.5
	upperQuantile  = 0.9
	// workspacePrior is the number of a workspace's own samples that weigh as much as those of its pipeline.
	workspacePrior = 2
	// pipelinePrior is the number of a pipeline's samples that weigh as much as the assumption about hints.
	pipelinePrior = 2
	// maxTokens and maxEvents bound what a request or an answer states, so that no sum overflows.
	maxTokens = 1 << 40
	maxEvents = 1 << 20
)

// hintErrors is the distribution assumed of the factors between answers and hints: right at the median, and off by up to
// four either way.
var hintErrors = newHintErrors()

func newHintErrors() *histogram {
	h := &histogram{}
	for _, factor := range []float64{0.25, 0.5, 1, 2, 4} {
		h.weights[bucketOf(factor)]++
		h.total++
	}

	return h
}

// Request is what is known of a request before it runs. Numbers are in tokens; unknown ones are 0.
type Request struct {
	Pipeline  string
	Workspace string
	// PromptTokens are those of the whole prompt, SharedTokens those in parts that other prompts may share.
	PromptTokens int64
	SharedTokens int64
	// MaxOutputTokens bounds the answer; OutputHint is the caller's estimate of it.
	MaxOutputTokens int64
	OutputHint      int64
}

// Basis is what an Estimate mostly rests on.
type Basis string

// The bases of an estimate.
const (
	// BasisWorkspace: answers of the same workspace and pipeline.
	BasisWorkspace Basis = "Workspace"
	// BasisPipeline: answers of the same pipeline.
	BasisPipeline Basis = "Pipeline"
	// BasisHint: the caller's hint.
	BasisHint Basis = "Hint"
	// BasisDefault: nothing but the number of events that is usual for all answers.
	BasisDefault Basis = "Default"
)

// Estimate is what a request is expected to take.
type Estimate struct {
	// Events is the median of the expected number of events, UpperEvents the number that nine in ten answers don't
	// exceed. Both are at least 1.
	Events      float64
	UpperEvents float64
	// PromptTokens is the number of tokens that an upstream processes which has cached no part of the prompt,
	// UnsharedTokens the number where it has cached all parts that other prompts may share.
	PromptTokens   int64
	UnsharedTokens int64
	Basis          Basis
}

// Estimator learns how many events answers take. It is immutable; its zero value is not valid.
type Estimator struct {
	table table
	// answers counts the answers learned from, exceeded those of them with more events than the upper estimate.
	answers  uint64
	exceeded uint64
}

// New returns an estimator without samples.
func New() Estimator {
	return Estimator{table: newTable()}
}

// Estimate returns what a request that arrives now is expected to take.
func (e Estimator) Estimate(r Request, now time.Time) Estimate {
	hint, hinted := r.hint()
	median, upper, basis := e.factors(key{pipeline: r.Pipeline, workspace: r.Workspace}, hinted, now)
	base := baseEvents(hint, hinted)
	limit := r.eventLimit()
	prompt := min(max(0, r.PromptTokens), maxTokens)

	return Estimate{
		Events: min(max(1, base*median), limit), UpperEvents: min(max(1, base*upper), limit),
		PromptTokens: prompt, UnsharedTokens: prompt - min(max(0, r.SharedTokens), prompt), Basis: basis,
	}
}

// WithAnswer returns the estimator after a complete answer to a request; one without events is ignored.
func (e Estimator) WithAnswer(r Request, events int, now time.Time) Estimator {
	if events <= 0 {
		return e
	}
	count := float64(min(events, maxEvents))
	e.answers++
	if count > math.Ceil(e.Estimate(r, now).UpperEvents) {
		e.exceeded++
	}
	hint, hinted := r.hint()
	factor := count / baseEvents(hint, hinted)
	if r.Workspace != "" {
		k := key{pipeline: r.Pipeline, workspace: r.Workspace}
		e.table = e.table.withRow(k, e.table.find(k).withSample(hinted, factor, now))
	}
	k := key{pipeline: r.Pipeline}
	pipeline := e.table.find(k)
	if hinted {
		pipeline = pipeline.withSample(true, factor, now)
	}
	// Answers to requests with a hint show as well what to expect of those without.
	e.table = e.table.withRow(k, pipeline.withSample(false, count/usualEvents, now))

	return e
}

// factors returns the median and the upper quantile of the factor by which to multiply the base of requests with a key.
//
// A workspace's samples are mixed with those of its pipeline, and these with the assumption about hints, so that an
// estimate passes from one to the other without a step as samples come and lose weight.
func (e Estimator) factors(k key, hinted bool, now time.Time) (median, upper float64, basis Basis) {
	basis = BasisDefault
	if hinted {
		basis = BasisHint
	}
	pipeline := e.table.find(key{pipeline: k.pipeline}).samples(hinted)
	pipelineLeft := float32(pipeline.decay(now))
	pipelineTotal := pipeline.total * pipelineLeft
	if pipelineTotal >= pipelinePrior {
		basis = BasisPipeline
	}
	mixed := mixture{}
	share := float32(workspacePrior) / (pipelineTotal + pipelinePrior)
	mixed.add(hintErrors, share*pipelinePrior/hintErrors.total)
	if pipelineTotal > 0 {
		mixed.add(pipeline, share*pipelineLeft)
	}
	if k.workspace != "" {
		workspace := e.table.find(k).samples(hinted)
		workspaceLeft := float32(workspace.decay(now))
		if total := workspace.total * workspaceLeft; total > 0 {
			mixed.add(workspace, workspaceLeft)
			if total >= workspacePrior {
				basis = BasisWorkspace
			}
		}
	}
	median, upper = mixed.quantiles()

	return median, upper, basis
}

// hint returns the caller's estimate of the answer in tokens, and false if there is no valid one.
func (r Request) hint() (int64, bool) {
	aboveMaximum := r.MaxOutputTokens > 0 && r.OutputHint > r.MaxOutputTokens

	return r.OutputHint, r.OutputHint > 0 && r.OutputHint <= maxTokens && !aboveMaximum
}

// eventLimit returns the number of events that an answer can't exceed; it is infinite if the maximum output is unknown.
func (r Request) eventLimit() float64 {
	if r.MaxOutputTokens <= 0 {
		return math.Inf(1)
	}

	return math.Ceil(float64(r.MaxOutputTokens) / tokensPerEvent)
}

// baseEvents returns the number of events that learned factors are relative to.
func baseEvents(hint int64, hinted bool) float64 {
	if !hinted {
		return usualEvents
	}

	return max(1, float64(hint)/tokensPerEvent)
}
