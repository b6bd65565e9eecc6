package chuteload

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"azurechute.example/azurechute/pkg/chuteapi"
)

const (
	// maxFindings bounds the findings of a report.
	maxFindings = 20
	// lateShare is the share of the deadline from which a refusal counts as late.
	lateShare = 0.9
)

// result is how one call ended.
type result struct {
	arrival  Arrival
	phase    string
	measured bool
	deadline time.Duration
	// total counts from when the request was due.
	total      time.Duration
	firstToken time.Duration
	between    []time.Duration
	answer     chuteapi.Answer
	// err is the end without an answer; wrong is what is wrong with the answer.
	err   error
	wrong error
}

func (r result) attained() bool {
	return r.err == nil && r.wrong == nil && r.total <= r.deadline
}

// told words the end in place of an answer; the same for all that ended alike.
func (r result) told() string {
	var end *chuteapi.OutcomeError
	switch {
	case r.err == nil:
		return ""
	case errors.As(r.err, &end):
		return string(end.Outcome) + ": " + withoutPeer(end.Problem)
	default:
		return r.err.Error()
	}
}

// withoutPeer cuts the upstream's name out of a problem such as "the deadline passed (Expired at tbilisi-1-model-1)".
func withoutPeer(problem string) string {
	before, after, found := strings.Cut(problem, " at ")
	if _, rest, closed := strings.Cut(after, ")"); found && closed {
		return before + ")" + rest
	}

	return problem
}

// group gathers the results of a Group.
type group struct {
	counts                                      Group
	total, first, between, refusal, retryAfters histogram
}

func newGroup() *group {
	return &group{
		total: newHistogram(), first: newHistogram(), between: newHistogram(),
		refusal: newHistogram(), retryAfters: newHistogram(),
	}
}

func (g *group) add(r result) {
	g.counts.Requests++

	if r.firstToken > 0 {
		g.first.record(r.firstToken)
	}

	for _, d := range r.between {
		g.between.record(d)
	}

	switch {
	case r.err != nil:
		g.addEnd(r)
	case r.wrong != nil:
		g.counts.Wrong++
	default:
		g.addAnswer(r)
	}
}

func (g *group) addAnswer(r result) {
	g.counts.Answered++
	g.total.record(r.total)

	if r.attained() {
		g.counts.Attained++
	} else {
		g.counts.AnsweredLate++
	}

	if r.answer.Sends > 1 {
		g.counts.SentAgain++
	}
}

func (g *group) addEnd(r result) {
	g.refusal.record(r.total)

	if float64(r.total) >= lateShare*float64(r.deadline) {
		g.counts.RefusedLate++
	}

	var end *chuteapi.OutcomeError
	if !errors.As(r.err, &end) {
		g.counts.Incomplete++

		return
	}

	if end.Sends > 1 {
		g.counts.SentAgain++
	}

	if end.RetryAfter > 0 {
		g.retryAfters.record(end.RetryAfter)
	}

	switch {
	case !end.Told:
		g.counts.Incomplete++
	case end.Outcome == chuteapi.NotRun:
		g.counts.NotRun++
	case end.Outcome == chuteapi.Failed:
		g.counts.Failed++
	default:
		g.counts.Unknown++
	}

	if end.Outcome == chuteapi.Failed && end.SafeToRepeat {
		g.counts.SafeToRepeat++
	}
}

func (g *group) view() Group {
	view := g.counts
	if view.Requests > 0 {
		view.Attainment = float64(view.Attained) / float64(view.Requests)
	}

	view.Total, view.FirstToken, view.BetweenTokens = g.total.spread(), g.first.spread(), g.between.spread()
	view.Refusal, view.RetryAfter = g.refusal.spread(), g.retryAfters.spread()

	return view
}

// groups are named groups.
type groups map[string]*group

func (gs groups) add(name string, r result) {
	if gs[name] == nil {
		gs[name] = newGroup()
	}

	gs[name].add(r)
}

func (gs groups) views() map[string]Group {
	views := make(map[string]Group, len(gs))
	for name, g := range gs {
		views[name] = g.view()
	}

	return views
}

// recorder gathers the results of a run from many goroutines.
type recorder struct {
	mu                            sync.Mutex
	all                           *group
	pipelines, workspaces, phases groups
	lateness                      histogram
	skipped                       int
	unmeasured, unmeasuredWrong   int
	findings                      []string
}

func newRecorder() *recorder {
	return &recorder{all: newGroup(), pipelines: groups{}, workspaces: groups{}, phases: groups{}, lateness: newHistogram()}
}

func (c *recorder) add(r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.find(r)

	if !r.measured {
		c.unmeasured++

		if r.wrong != nil {
			c.unmeasuredWrong++
		}

		return
	}

	c.all.add(r)
	c.pipelines.add(r.arrival.Pipeline, r)
	c.workspaces.add(r.arrival.Workspace, r)
	c.phases.add(r.phase, r)
}

// find words what no outcome covers; refusals are counted only.
func (c *recorder) find(r result) {
	problem := r.wrong
	if errors.Is(r.err, chuteapi.ErrIncomplete) {
		problem = r.err
	}

	if problem != nil && len(c.findings) < maxFindings {
		c.findings = append(c.findings, fmt.Sprintf("request %d of %s for %s: %v", r.arrival.N, r.arrival.Workspace, r.arrival.Pipeline, problem))
	}
}

func (c *recorder) late(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateness.record(by)
}

func (c *recorder) skip() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.skipped++
}

// fill writes what was gathered into a report.
func (c *recorder) fill(report *Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report.Skipped, report.Unmeasured, report.UnmeasuredWrong = c.skipped, c.unmeasured, c.unmeasuredWrong
	report.Lateness, report.Findings = c.lateness.spread(), c.findings
	report.All = c.all.view()
	report.Pipelines, report.Workspaces, report.Phases = c.pipelines.views(), c.workspaces.views(), c.phases.views()
}
