package chuteproof

import (
	"encoding/json"
	"fmt"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chuteprompt"
	"azurechute.example/azurechute/internal/chutestandin"
	"azurechute.example/azurechute/pkg/chuteapi"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// The names of the process proofs' configuration.
const (
	proofSite       = "proof"
	proofTeam       = "reef"
	proofWorkspace  = "members"
	workspaceToken  = "members-token"
	operationsToken = "operations-token"
	proofModel      = "general"
	proofVersion    = "1"

	poolEncoder   = "encoder"
	poolRetriever = "retriever"
	poolModel     = "model"
	poolForum     = "forum"

	stagePost     = "post"
	stageGenerate = "generate"

	// diagnosis chains encoding, retrieval and generation; search ends before the generation.
	pipelineDiagnosis = "diagnosis"
	pipelineSearch    = "search"
	pipelineDraft     = "draft"
	// enrolment encodes and then posts, which may run at most once.
	pipelineEnrolment = "enrolment"
	// alert is that post alone.
	pipelineAlert = "alert"

	serviceSlots  = 16
	draftTokens   = 12
	proofDeadline = 20 * time.Second
	// proofStall is far above what an idle stand-in takes and short against the deadline.
	proofStall = time.Second
	// proofKeyAsk is as long as a busy machine may take to answer, and below what counts as at once.
	proofKeyAsk = 3 * time.Second
	faultSeed   = 1
)

// proofConfig is some pipelines over four pools in the given zones.
func proofConfig(zones []string) chuteconfig.Config {
	service := func(kind chuteconfig.PoolKind) chuteconfig.Pool {
		return chuteconfig.Pool{Kind: kind, Slots: serviceSlots, UnitPrice: 2, Typical: span(5 * time.Millisecond)}
	}
	stage := func(name, pool string) chuteconfig.Stage { return chuteconfig.Stage{Name: name, Pool: pool} }
	generate := chuteconfig.Stage{Name: stageGenerate, Pool: poolModel, Model: proofModel, MaxTokens: draftTokens}
	post := chuteconfig.Stage{Name: stagePost, Pool: poolForum, Unrepeatable: true}
	pipeline := func(stages ...chuteconfig.Stage) chuteconfig.Pipeline {
		return chuteconfig.Pipeline{Team: proofTeam, Deadline: span(proofDeadline), Stages: stages}
	}
	cfg := chuteconfig.Config{
		Site: proofSite, Zones: map[string]chuteconfig.Zone{}, Placements: map[string]chuteconfig.Placement{},
		Teams: map[string]chuteconfig.Team{proofTeam: {Weight: 1}},
		Workspaces: map[string]chuteconfig.Workspace{proofWorkspace: {
			Team: proofTeam, Weight: 1, TokenDigests: []string{chuteconfig.TokenDigest(workspaceToken)},
		}},
		Operators: map[string]chuteconfig.Operator{"operations": {
			TokenDigests: []string{chuteconfig.TokenDigest(operationsToken)},
		}},
		Models: map[string]chuteconfig.Model{proofModel: {Version: proofVersion}},
		Pools: map[string]chuteconfig.Pool{
			poolEncoder: service(chuteconfig.PoolEncoder), poolRetriever: service(chuteconfig.PoolRetriever),
			poolForum: service(chuteconfig.PoolService),
			poolModel: {
				Kind: chuteconfig.PoolEngine, Slots: 8, UnitPrice: 20, PromptUnitPrice: 4,
				Typical: span(100 * time.Millisecond),
			},
		},
		Pipelines: map[string]chuteconfig.Pipeline{
			pipelineDiagnosis: pipeline(stage("encode", poolEncoder), stage("retrieve", poolRetriever), generate),
			pipelineSearch:    pipeline(stage("encode", poolEncoder), stage("retrieve", poolRetriever)),
			pipelineDraft:     pipeline(generate),
			pipelineEnrolment: pipeline(stage("encode", poolEncoder), post),
			pipelineAlert:     pipeline(post),
		},
	}
	for _, zone := range zones {
		cfg.Zones[zone] = chuteconfig.Zone{Region: "region"}
		cfg.Placements[zone] = chuteconfig.Placement{
			Zone: zone, Pool: poolModel, Model: proofModel, Role: chuteconfig.RoleMixed, Replicas: 1,
		}
	}
	cfg = chuteconfig.WithDefaults(cfg)
	cfg.Policy.StallTimeout = span(proofStall)
	cfg.Policy.RetryBudget = 1
	cfg.Policy.HedgeBudget = 0
	cfg.Policy.LedgerFlush = span(time.Second)

	return cfg
}

// newRequest is a request whose input is its own, under its pipeline's deadline.
func newRequest(pipeline, requestID string) chuteapi.Request {
	return chuteapi.Request{
		RequestID: requestID, Workspace: proofWorkspace, Pipeline: pipeline,
		Input: json.RawMessage(fmt.Sprintf(`{"Question":"what ails the tank of %s"}`, requestID)),
	}
}

func newRequests(pipeline, name string, n int) []chuteapi.Request {
	requests := make([]chuteapi.Request, n)
	for i := range requests {
		requests[i] = newRequest(pipeline, requestID(name, i))
	}

	return requests
}

// wholeAnswer works out what a request's answer has to be: its Text, or else its Output.
func wholeAnswer(c *qt.C, cfg chuteconfig.Config, r chuteapi.Request) (text string, output json.RawMessage) {
	for _, stage := range cfg.Pipelines[r.Pipeline].Stages {
		kind := cfg.Pools[stage.Pool].Kind
		if kind == chuteconfig.PoolEngine {
			text = chutestandin.ExpectedText(chuteprompt.Prompt(r.Input, output), stage.MaxTokens)
			encoded, err := json.Marshal(text)
			c.Assert(err, qt.IsNil)
			output = encoded

			continue
		}
		text = ""
		output = chutestandin.ExpectedOutput(chutestandin.ServiceCall{
			Kind: kind, RequestID: r.RequestID, Workspace: r.Workspace, Stage: stage.Name, Input: r.Input, Context: output,
		})
	}

	return text, output
}
