package chutemeasure

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/samber/oops"

	"azurechute.example/azurechute/internal/chuteload"
	"azurechute.example/azurechute/internal/chutestandin"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// Scenario says what processes a measurement needs, what load they get and what fails.
type Scenario struct {
	// Name is that of the file without its suffix.
	Name string `json:"-"`
	// About says in one line what happens.
	About string
	// Site is the deployment among the examples.
	Site string
	// Rounds is how often each variant runs.
	Rounds int
	// Variants are what is compared; the first is the baseline.
	Variants []Variant
	// NodesPerZone is the number of entry nodes in each availability zone.
	NodesPerZone int
	Upstreams    []Upstreams
	// PerCapacity says that the rates of Plan's phases are multiples of what the upstreams can carry of the phase's mix.
	PerCapacity bool `json:",omitempty"`
	Plan        chuteload.Plan
	// MaxSends bounds the sends of one request; 0 means 1.
	MaxSends int            `json:",omitempty"`
	Faults   []TimedFault   `json:",omitempty"`
	Kills    []Kill         `json:",omitempty"`
	Aims     []AimedMeasure `json:",omitempty"`
}

// Policy names one of the two policies that are compared.
type Policy string

// The policies.
const (
	// PolicyBaseline is round robin, first come first served, no admission, no hedging, retries without a budget.
	PolicyBaseline Policy = "Baseline"
	// PolicyExample is the policy that the example's configuration states.
	PolicyExample Policy = "Example"
)

// Variant is one of the things compared.
type Variant struct {
	Name   string
	Policy Policy
	// Silent names workspaces whose requests are left out.
	Silent []string `json:",omitempty"`
}

// Upstreams are a pool's upstreams, all alike.
type Upstreams struct {
	Pool string
	// PerZone is the number in each availability zone, in the order of their names.
	PerZone []int
	Slots   int
	// ServiceTime, ItemTime and Jitter are of services.
	ServiceTime chuteconfig.Duration `json:",omitempty"`
	ItemTime    chuteconfig.Duration `json:",omitempty"`
	Jitter      float64              `json:",omitempty"`
	// TokenTime, PrefillTime, CacheBlocks, EventLag and EventGaps are of engines.
	TokenTime   chuteconfig.Duration `json:",omitempty"`
	PrefillTime chuteconfig.Duration `json:",omitempty"`
	CacheBlocks int                  `json:",omitempty"`
	EventLag    chuteconfig.Duration `json:",omitempty"`
	EventGaps   float64              `json:",omitempty"`
	// LoadLag is the age of load reports.
	LoadLag chuteconfig.Duration `json:",omitempty"`
}

// TimedFault holds at one stand-in for a part of a round.
type TimedFault struct {
	// After counts from the start of the load; until the end of the round where For is 0.
	After chuteconfig.Duration
	For   chuteconfig.Duration `json:",omitempty"`
	// Names are VM names, or table, objects and vms; each run of a round takes the next, so that none is judged by what
	// an earlier run learned of it.
	Names []string
	// All takes all the names at once.
	All   bool `json:",omitempty"`
	Rules []chutestandin.Fault
}

// Kill ends one node without a word and starts it again.
type Kill struct {
	After chuteconfig.Duration
	// Node is its name.
	Node string
	// Restart counts from the start of the load too.
	Restart chuteconfig.Duration
}

// AimedMeasure is what one figure of the last variant should come to.
type AimedMeasure struct {
	Measure string
	// Least and Most bound the median.
	Least *float64 `json:",omitempty"`
	Most  *float64 `json:",omitempty"`
	// Over divides the median by that of another measure, or of the same one of another variant.
	Over        string `json:",omitempty"`
	OverVariant string `json:",omitempty"`
	// Variant is what is judged; empty means the second.
	Variant string `json:",omitempty"`
	// Difference bounds the difference instead of the ratio.
	Difference bool `json:",omitempty"`
}

// ReadScenario reads a scenario strictly from a JSON file.
func ReadScenario(path string) (Scenario, error) {
	failed := oops.In("measure").With("step", "read scenario", "file", path)

	body, err := os.ReadFile(path) //nolint:gosec // the file is named on the command line
	if err != nil {
		return Scenario{}, failed.Wrap(err)
	}

	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()

	s := Scenario{Name: strings.TrimSuffix(filepath.Base(path), ".json")}
	if err := decoder.Decode(&s); err != nil {
		return s, failed.Wrap(err)
	}

	if len(s.Variants) < 2 || s.Rounds < 1 || s.NodesPerZone < 1 {
		return s, failed.Errorf("Rounds and NodesPerZone must be at least 1 and Variants at least 2")
	}

	return s, nil
}

// Variant returns the variant of a name.
func (s Scenario) Variant(name string) (Variant, error) {
	i := slices.IndexFunc(s.Variants, func(v Variant) bool { return v.Name == name })
	if i < 0 {
		return Variant{}, fmt.Errorf("scenario %s has no variant %q", s.Name, name)
	}

	return s.Variants[i], nil
}

// Order returns the variants in the order of a round, which turns by one from round to round.
func (s Scenario) Order(round int) []Variant {
	n := len(s.Variants)
	first := round % n

	return slices.Concat(s.Variants[first:], s.Variants[:first])
}

// RoundPlan returns the plan of a variant's round: all variants of a round get the same arrivals.
func (s Scenario) RoundPlan(cfg chuteconfig.Config, variant Variant, seed uint64, round int) chuteload.Plan {
	plan := s.Plan
	plan.Seed = seed + uint64(round) //nolint:gosec // rounds are counted from 0
	plan.Silent = variant.Silent
	plan.Phases = slices.Clone(plan.Phases)

	if s.PerCapacity {
		for i, phase := range plan.Phases {
			plan.Phases[i].Rate *= s.Capacity(cfg, phase).Rate
		}
	}

	return plan
}
