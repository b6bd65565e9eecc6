package chutehttp

import (
	"slices"
	"time"

	"azurechute.example/azurechute/gen/requests"
	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// maxRequestID bounds the length of a RequestID.
const maxRequestID = 128

// unconfiguredRetryAfter is when to come back to a node that has no configuration yet.
const unconfiguredRetryAfter = time.Second

// checkSubmission turns the payload into what the node runs, or says what is wrong with it.
func checkSubmission(x *exchange, p *requests.SubmitPayload) (chuterequest.Submission, *requests.Refusal) {
	key := chuterequest.Key{Workspace: p.Workspace, RequestID: p.RequestID}

	if refusal := checkKey(x, key); refusal != nil {
		return chuterequest.Submission{}, refusal
	}

	x.key = key

	pipeline, refusal := findPipeline(x.view.cfg, p)
	if refusal != nil {
		return chuterequest.Submission{}, refusal
	}

	x.pipeline = p.Pipeline
	marked := p.Unrepeatable != nil && *p.Unrepeatable
	x.unrepeatable = marked || slices.ContainsFunc(pipeline.Stages, func(stage chuteconfig.Stage) bool { return stage.Unrepeatable })

	span, refusal := checkDeadline(p.Deadline, pipeline.Deadline.Std())
	if refusal != nil {
		return chuterequest.Submission{}, refusal
	}

	return chuterequest.Submission{
		Key:          key,
		Team:         pipeline.Team,
		Pipeline:     p.Pipeline,
		Deadline:     x.arrived.Add(span),
		Unrepeatable: marked,
		Input:        p.Input,
	}, nil
}

// findPipeline returns the pipeline if it exists and the workspace may call it.
func findPipeline(cfg chuteconfig.Config, p *requests.SubmitPayload) (chuteconfig.Pipeline, *requests.Refusal) {
	pipeline, known := cfg.Pipelines[p.Pipeline]
	if !known {
		return pipeline, refuse(codeNotFound, "Pipeline", p.Pipeline, "no such pipeline")
	}

	allowed := cfg.Workspaces[p.Workspace].Pipelines
	if len(allowed) > 0 && !slices.Contains(allowed, p.Pipeline) {
		return pipeline, refuse(codeForbidden, "Pipeline", p.Pipeline, "the workspace may not call this pipeline")
	}

	return pipeline, nil
}

// checkDeadline returns the time allowed for the request: what the caller asks for, at most the pipeline's.
func checkDeadline(asked *string, most time.Duration) (time.Duration, *requests.Refusal) {
	if asked == nil {
		return most, nil
	}

	span, err := time.ParseDuration(*asked)

	switch {
	case err != nil:
		return 0, refuse(codeInvalid, "Deadline", *asked, "must be a duration such as 1.5s or 250ms")
	case span <= 0:
		return 0, refuse(codeInvalid, "Deadline", *asked, "has expired: must be above zero")
	case span > most:
		return 0, refuse(codeInvalid, "Deadline", *asked, "is too long: the pipeline allows at most "+most.String())
	}

	return span, nil
}

// validRequestID reports whether the id can stand in table rows, logs and paths as it is.
func validRequestID(id string) bool {
	if id == "" || len(id) > maxRequestID {
		return false
	}

	for i := range len(id) {
		c := id[i]

		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'

		if !letter && !digit && c != '.' && c != '_' && c != '-' {
			return false
		}
	}

	return true
}

func unconfigured() *requests.Refusal {
	refusal := refuse(codeUnavailable, "", "", "this node has no configuration yet")

	return withRetryAfter(refusal, unconfiguredRetryAfter)
}
