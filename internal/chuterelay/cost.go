package chuterelay

import (
	"time"

	"azurechute.example/azurechute/internal/chutecost"
)

// costRequest returns what an estimate of the request's cost depends on.
func (r request) costRequest() chutecost.Request {
	return chutecost.Request{
		Pipeline: r.Pipeline.Name, Workspace: r.Workspace.Name, PromptTokens: r.PromptTokens, SharedTokens: r.SharedTokens,
		MaxOutputTokens: r.MaxOutputTokens, OutputHint: r.OutputHint,
	}
}

// expectedCost returns the events and prompt tokens that a request is expected to take.
func (st *reduction) expectedCost(r request) chutecost.Estimate {
	return st.costs.Estimate(r.costRequest(), st.now)
}

// learnCost learns from the answer of an upstream that has ended.
//
// A resumed stream has only some of the answer's events, so that it would make answers look shorter.
func (st *reduction) learnCost(r request, e AttemptEnded) {
	if e.End != EndAnswered || e.Events <= 0 || r.current.bound {
		return
	}
	st.costs = st.costs.WithAnswer(r.costRequest(), e.Events, st.now)
}

// CostCounts returns totals of what the node has learned of the cost of requests.
func (s State) CostCounts() chutecost.Counts {
	return s.costs.Counts()
}

// costView describes what the node has learned of the cost of requests; nil if nothing.
func (s State) costView(now time.Time) *chutecost.Summary {
	if s.costs.Counts().Answers == 0 {
		return nil
	}
	summary := s.costs.Summary(now)

	return &summary
}
