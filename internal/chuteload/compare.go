package chuteload

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/samber/oops"

	"azurechute.example/azurechute/pkg/chuteconfig"
)

const (
	modeDirect  = "Direct"
	modeThrough = "Through"
)

// Comparison says how to compare the way through the nodes with the direct one.
type Comparison struct {
	// Pairs is the number of closed-loop pairs, one request at a time; 0 leaves this part out.
	Pairs int
	// Warm is the number of pairs sent before and not counted.
	Warm int
	// Rounds is the number of fixed-rate rounds of each way, in turn; 0 leaves this part out.
	Rounds int
	// RoundTime and Rate are the length and the arrivals a second of one round.
	RoundTime time.Duration
	Rate      float64
}

// Sides compares the same measure on both ways.
type Sides struct {
	Direct  Spread
	Through Spread
	// The differences are Through less Direct, the ratios Through over Direct, of the same quantile.
	DifferenceP50Milliseconds float64
	DifferenceP99Milliseconds float64
	RatioP50                  float64
	RatioP99                  float64
}

// PairSpread sums up what each request took longer through the nodes than directly.
type PairSpread struct {
	P50Milliseconds float64
	P95Milliseconds float64
	P99Milliseconds float64
}

// Closed is the part of a comparison with one request at a time.
type Closed struct {
	Total      Sides
	FirstToken Sides
	// Added is the difference request by request; the median tells a node's cost best where stages' times vary.
	Added PairSpread
	// Ended counts requests without a right answer, by way.
	Ended map[string]int
}

// FixedRate is the part of a comparison under steady load.
type FixedRate struct {
	Rate          float64
	Total         Sides
	FirstToken    Sides
	BetweenTokens Sides
	Ended         map[string]int
}

// CompareReport is the result of a comparison.
type CompareReport struct {
	Run       string
	Seed      uint64
	Closed    *Closed    `json:",omitempty"`
	FixedRate *FixedRate `json:",omitempty"`
	Findings  []string   `json:",omitempty"`
}

// way is one of the two ways with what was measured on it.
type way struct {
	name    string
	send    Sender
	group   *group
	records *recorder
}

func newWay(name string, send Sender) *way {
	return &way{name: name, send: send, group: newGroup(), records: newRecorder()}
}

// Compare sends the plan's requests both ways within one run, so that the state of the machine weighs on both alike.
//
// The mix and shapes are the plan's first phase's; its length and rate are not used.
func (r Runner) Compare(ctx context.Context, plan Plan, c Comparison, direct, through Sender) (CompareReport, error) {
	if err := plan.Check(r.Config); err != nil {
		return CompareReport{}, oops.In("load").With("step", "check plan").Wrap(err)
	}

	report := CompareReport{Run: r.Name, Seed: plan.Seed}

	if c.Pairs > 0 {
		closed, findings, err := r.closed(ctx, plan, c, newWay(modeDirect, direct), newWay(modeThrough, through))
		if err != nil {
			return report, err
		}

		report.Closed, report.Findings = &closed, findings
	}

	if c.Rounds > 0 {
		fixed, findings, err := r.fixedRate(ctx, plan, c, newWay(modeDirect, direct), newWay(modeThrough, through))
		if err != nil {
			return report, err
		}

		report.FixedRate = &fixed
		report.Findings = append(report.Findings, findings...)
	}

	return report, nil
}

// closed sends each request both ways, one at a time and in alternating order, so that neither always finds caches warm.
func (r Runner) closed(ctx context.Context, plan Plan, c Comparison, direct, through *way) (Closed, []string, error) {
	plan.Phases = []Phase{{Duration: chuteconfig.Duration(slowest), Rate: 1e6, Mix: plan.mixOf(plan.Phases[0])}}

	var added []time.Duration

	for arrival := range plan.Arrivals(r.Config) {
		if arrival.N >= c.Warm+c.Pairs {
			break
		}

		call, err := plan.newCall(r.Config, r.Name+"-pair", arrival)
		if err != nil {
			return Closed{}, nil, err
		}

		took := r.pair(ctx, call, arrival, arrival.N >= c.Warm, inOrder(direct, through, arrival.N))
		if len(took) == 2 && arrival.N >= c.Warm {
			added = append(added, took[modeThrough]-took[modeDirect])
		}

		if ctx.Err() != nil {
			return Closed{}, nil, ctx.Err()
		}
	}

	d, t := direct.group.view(), through.group.view()

	return Closed{
		Total: sides(d.Total, t.Total), FirstToken: sides(d.FirstToken, t.FirstToken),
		Added: pairSpread(added), Ended: ended(d, t),
	}, slices.Concat(direct.records.findings, through.records.findings), nil
}

func inOrder(direct, through *way, n int) []*way {
	if n%2 == 0 {
		return []*way{direct, through}
	}

	return []*way{through, direct}
}

// pair sends one call on each way and returns the times of the right answers.
func (r Runner) pair(ctx context.Context, call Call, arrival Arrival, measured bool, ways []*way) map[string]time.Duration {
	took := map[string]time.Duration{}

	for _, w := range ways {
		res := r.call(ctx, call, r.Clock.Now(), w.send)
		res.arrival = arrival
		w.records.add(res)

		if measured {
			w.group.add(res)
		}

		if res.err == nil && res.wrong == nil {
			took[w.name] = res.total
		}
	}

	return took
}

// fixedRate runs rounds of the same arrivals on each way in turn.
func (r Runner) fixedRate(ctx context.Context, plan Plan, c Comparison, direct, through *way) (FixedRate, []string, error) {
	mix := plan.mixOf(plan.Phases[0])

	for round := range c.Rounds {
		plan.Phases = []Phase{{Duration: chuteconfig.Duration(c.RoundTime), Rate: c.Rate, Mix: mix}}

		for _, w := range inOrder(direct, through, round) {
			run := r
			run.Name = fmt.Sprintf("%s-round-%d-%s", r.Name, round, w.name)

			if err := run.dispatch(ctx, plan, r.Clock.Now(), w.send, w.records); err != nil {
				return FixedRate{}, nil, err
			}
		}

		plan.Seed++
	}

	d, t := direct.records.all.view(), through.records.all.view()

	return FixedRate{
		Rate: c.Rate, Total: sides(d.Total, t.Total), FirstToken: sides(d.FirstToken, t.FirstToken),
		BetweenTokens: sides(d.BetweenTokens, t.BetweenTokens), Ended: ended(d, t),
	}, slices.Concat(direct.records.findings, through.records.findings), nil
}

func sides(direct, through Spread) Sides {
	return Sides{
		Direct: direct, Through: through,
		DifferenceP50Milliseconds: through.P50Milliseconds - direct.P50Milliseconds,
		DifferenceP99Milliseconds: through.P99Milliseconds - direct.P99Milliseconds,
		RatioP50:                  ratio(through.P50Milliseconds, direct.P50Milliseconds),
		RatioP99:                  ratio(through.P99Milliseconds, direct.P99Milliseconds),
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}

	return a / b
}

func ended(direct, through Group) map[string]int {
	return map[string]int{modeDirect: direct.Requests - direct.Answered, modeThrough: through.Requests - through.Answered}
}

// pairSpread sorts instead of using a histogram, as differences may be negative.
func pairSpread(added []time.Duration) PairSpread {
	if len(added) == 0 {
		return PairSpread{}
	}

	slices.Sort(added)

	at := func(share float64) float64 {
		return milliseconds(added[int(share*float64(len(added)-1))].Microseconds())
	}

	return PairSpread{P50Milliseconds: at(0.5), P95Milliseconds: at(0.95), P99Milliseconds: at(0.99)}
}
