package chuteload

import (
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"azurechute.example/azurechute/pkg/chuteconfig"
)

// Arrival is one request that is due.
type Arrival struct {
	// N numbers the arrivals of a run from 0.
	N int
	// Due counts from the start of the run.
	Due       time.Duration
	Phase     int
	Pipeline  string
	Workspace string
	// Zone is empty where the plan weighs no zones.
	Zone     string
	Streamed bool
	// Prefix numbers the shared text.
	Prefix int
}

// weighted is a choice by weight, in a fixed order so that a seed always draws the same.
type weighted[T any] struct {
	items   []T
	weights []float64
	total   float64
}

func (w *weighted[T]) add(item T, weight float64) {
	if weight <= 0 {
		return
	}

	w.items = append(w.items, item)
	w.weights = append(w.weights, weight)
	w.total += weight
}

// pick returns the item at the given share of the total, 0 to 1; the zero value where there is none.
func (w *weighted[T]) pick(at float64) T {
	var none T

	left := at * w.total
	for i, item := range w.items {
		if left -= w.weights[i]; left < 0 || i == len(w.items)-1 {
			return item
		}
	}

	return none
}

func byName(weights map[string]float64) *weighted[string] {
	choice := &weighted[string]{}
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		choice.add(name, weights[name])
	}

	return choice
}

// workspacesOf returns the workspaces that a share may come from, with their weights.
func (p Plan) workspacesOf(cfg chuteconfig.Config, share Share) map[string]float64 {
	found := map[string]float64{}

	for name, workspace := range cfg.Workspaces {
		if len(workspace.Pipelines) > 0 && !slices.Contains(workspace.Pipelines, share.Pipeline) {
			continue
		}

		switch {
		case share.Workspace == name, share.Workspace == "" && len(p.Workspaces) == 0:
			found[name] = 1
		case share.Workspace == "" && p.Workspaces[name] > 0:
			found[name] = p.Workspaces[name]
		}
	}

	return found
}

// phaseMix is a phase's mix, ready to draw from.
type phaseMix struct {
	shares     *weighted[int]
	mix        []Share
	workspaces []*weighted[string]
}

func (p Plan) phaseMix(cfg chuteconfig.Config, phase Phase) phaseMix {
	m := phaseMix{shares: &weighted[int]{}, mix: p.mixOf(phase)}
	for i, share := range m.mix {
		m.shares.add(i, share.Weight)
		m.workspaces = append(m.workspaces, byName(p.workspacesOf(cfg, share)))
	}

	return m
}

// Arrivals yields the plan's requests in order of time: Poisson arrivals at each phase's rate.
func (p Plan) Arrivals(cfg chuteconfig.Config) iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		random := rand.New(rand.NewPCG(p.Seed, 0)) //nolint:gosec // a load that can be replayed, not a secret
		zones := byName(p.Zones)
		n := 0
		start := time.Duration(0)

		for i, phase := range p.Phases {
			mix := p.phaseMix(cfg, phase)
			end := start + phase.Duration.Std()

			// The exponential distribution has no memory, so a phase may begin as if an arrival had just been.
			for due := start + gap(random, phase.Rate); due < end; due += gap(random, phase.Rate) {
				arrival := p.draw(random, mix, zones)
				arrival.N, arrival.Due, arrival.Phase = n, due, i

				if !yield(arrival) {
					return
				}

				n++
			}

			start = end
		}
	}
}

func gap(random *rand.Rand, rate float64) time.Duration {
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

// draw makes the same number of draws for every arrival, so that a change of one weight leaves the other choices as they were.
func (p Plan) draw(random *rand.Rand, mix phaseMix, zones *weighted[string]) Arrival {
	i := mix.shares.pick(random.Float64())
	share := mix.mix[i]

	return Arrival{
		Pipeline:  share.Pipeline,
		Workspace: mix.workspaces[i].pick(random.Float64()),
		Zone:      zones.pick(random.Float64()),
		Streamed:  random.Float64() < p.Streamed,
		Prefix:    int(random.Float64() * float64(max(p.Shapes[share.Pipeline].Prefixes, 1))),
	}
}

// Length returns the time that the plan's phases take together.
func (p Plan) Length() time.Duration {
	total := time.Duration(0)
	for _, phase := range p.Phases {
		total += phase.Duration.Std()
	}

	return total
}
