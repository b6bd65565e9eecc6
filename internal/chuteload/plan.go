package chuteload

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/samber/oops"

	"azurechute.example/azurechute/pkg/chuteconfig"
)

// Plan says what load to generate.
type Plan struct {
	// Seed fixes every random choice.
	Seed uint64
	// Streamed is the share of requests that ask for a stream, 0 to 1.
	Streamed float64
	// Workspaces weighs the workspaces of shares that name none; empty means all alike.
	Workspaces map[string]float64 `json:",omitempty"`
	// Zones weighs the zones at which requests arrive; empty sends to all nodes in turn.
	Zones map[string]float64 `json:",omitempty"`
	// Mix holds for phases without one of their own.
	Mix []Share `json:",omitempty"`
	// Shapes says by pipeline how its requests look.
	Shapes map[string]Shape `json:",omitempty"`
	Phases []Phase
}

// Share is a part of the mix.
type Share struct {
	Pipeline string
	// Workspace is drawn by weight where it is empty.
	Workspace string `json:",omitempty"`
	Weight    float64
}

// MixOf returns a mix of pipelines by weight, in the order of their names.
func MixOf(weights map[string]float64) []Share {
	mix := make([]Share, 0, len(weights))
	for _, pipeline := range slices.Sorted(maps.Keys(weights)) {
		mix = append(mix, Share{Pipeline: pipeline, Weight: weights[pipeline]})
	}

	return mix
}

// Shape says how requests to one pipeline look.
type Shape struct {
	// InputBytes is the size of the text that is a request's own.
	InputBytes int `json:",omitempty"`
	// PrefixBytes is the size of the text that requests share, which engines can cache.
	PrefixBytes int `json:",omitempty"`
	// Prefixes is how many shared texts each workspace has; 0 means one.
	Prefixes int `json:",omitempty"`
	// Deadline is what callers ask for; 0 means the pipeline's.
	Deadline chuteconfig.Duration `json:",omitempty"`
	// Unrepeatable marks the requests.
	Unrepeatable bool `json:",omitempty"`
}

// Phase is a stretch of time with one rate.
type Phase struct {
	Name     string
	Duration chuteconfig.Duration
	// Rate is the mean number of arrivals a second.
	Rate float64
	Mix  []Share `json:",omitempty"`
	// Unmeasured requests are sent and checked but not counted, to fill caches and learn service times.
	Unmeasured bool `json:",omitempty"`
}

// ReadPlan reads a plan strictly from a JSON file.
func ReadPlan(path string) (Plan, error) {
	body, err := os.ReadFile(path) //nolint:gosec // the file is named on the command line
	if err != nil {
		return Plan{}, oops.In("load").With("step", "read plan").Wrap(err)
	}

	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()

	var plan Plan
	if err := decoder.Decode(&plan); err != nil {
		return Plan{}, oops.In("load").With("step", "decode plan", "file", path).Wrap(err)
	}

	return plan, nil
}

// Check returns an error that names what in the plan does not fit the configuration.
func (p Plan) Check(cfg chuteconfig.Config) error {
	if len(p.Phases) == 0 {
		return errors.New("the plan has no Phases")
	}

	for i, phase := range p.Phases {
		if phase.Duration <= 0 || phase.Rate <= 0 {
			return fmt.Errorf("in Phases[%d]: Duration and Rate must be above 0", i)
		}

		if err := p.checkMix(cfg, p.mixOf(phase)); err != nil {
			return fmt.Errorf("in Phases[%d]: %w", i, err)
		}
	}

	for pipeline := range p.Shapes {
		if _, known := cfg.Pipelines[pipeline]; !known {
			return fmt.Errorf("in Shapes: no pipeline %q in the configuration", pipeline)
		}
	}

	for zone := range p.Zones {
		if _, known := cfg.Zones[zone]; !known {
			return fmt.Errorf("in Zones: no zone %q in the configuration", zone)
		}
	}

	return nil
}

func (p Plan) checkMix(cfg chuteconfig.Config, mix []Share) error {
	total := 0.0

	for _, share := range mix {
		if _, known := cfg.Pipelines[share.Pipeline]; !known {
			return fmt.Errorf("no pipeline %q in the configuration", share.Pipeline)
		}

		if share.Weight < 0 {
			return fmt.Errorf("the weight of %q is below 0", share.Pipeline)
		}

		if len(p.workspacesOf(cfg, share)) == 0 {
			return fmt.Errorf("no workspace of the plan may call %q", share.Pipeline)
		}

		total += share.Weight
	}

	if total <= 0 {
		return errors.New("the mix has no weight")
	}

	return nil
}

func (p Plan) mixOf(phase Phase) []Share {
	if len(phase.Mix) > 0 {
		return phase.Mix
	}

	return p.Mix
}
