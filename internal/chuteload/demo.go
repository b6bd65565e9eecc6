package chuteload

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/oops"

	"azurechute.example/azurechute/pkg/chuteapi"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

const (
	readyTimeout = 25 * time.Second
	readyPoll    = 100 * time.Millisecond
	// demoAtOnce bounds the demo's requests in flight.
	demoAtOnce = 12
	// demoInputBytes and demoPrefixBytes are the sizes of the demo's inputs.
	demoInputBytes  = 300
	demoPrefixBytes = 1024
)

// Demo checks running nodes from the callers' side and from the stand-ins' logs.
type Demo struct {
	Config   chuteconfig.Config
	Nodes    []string
	Settings chuteapi.Settings
	// VMsURL names the list by which the stand-ins' logs are found.
	VMsURL string
	Clock  clockwork.Clock
	// Name starts every RequestID.
	Name string
	Out  io.Writer
}

// DemoResult counts how the demo's requests ended.
type DemoResult struct {
	Requests int
	// Answered counts requests answered whole and right.
	Answered int
	// Lost counts requests without a whole and right answer, and answered ones of which a stage never ran to its end.
	Lost int
	// Doubled counts unrepeatable executions beyond a request's first.
	Doubled int
}

// String returns the result as the demo's last line.
func (r DemoResult) String() string {
	return fmt.Sprintf("demo: %d requests, %d answered whole, %d lost, %d doubled", r.Requests, r.Answered, r.Lost, r.Doubled)
}

// Good says that nothing was lost or doubled.
func (r DemoResult) Good() bool {
	return r.Requests > 0 && r.Answered == r.Requests && r.Lost == 0 && r.Doubled == 0
}

// demoCall is one request with the node that gets it and what became of it.
type demoCall struct {
	node  int
	call  Call
	found error
}

// Run waits for the nodes, sends the requests and counts.
func (d Demo) Run(ctx context.Context) (DemoResult, error) {
	clients, err := d.clients()
	if err != nil {
		return DemoResult{}, err
	}

	if err := d.waitReady(ctx, clients); err != nil {
		return DemoResult{}, err
	}

	calls, err := d.calls(len(clients))
	if err != nil {
		return DemoResult{}, err
	}

	d.send(ctx, clients, calls)

	twice, err := d.sendTwice(ctx, clients)
	if err != nil {
		return DemoResult{}, err
	}

	return d.count(ctx, append(calls, twice...))
}

// clients returns one client for each node, so that each request is known to have gone where it should.
func (d Demo) clients() ([]*chuteapi.Client, error) {
	clients := make([]*chuteapi.Client, len(d.Nodes))

	for i, node := range d.Nodes {
		settings := d.Settings
		settings.Nodes = []string{node}

		client, err := chuteapi.New(settings, d.Clock)
		if err != nil {
			return nil, err
		}

		clients[i] = client
	}

	return clients, nil
}

// waitReady polls until every node welcomes work under one version and has answered a probe of each pipeline.
func (d Demo) waitReady(ctx context.Context, clients []*chuteapi.Client) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()

	for i, client := range clients {
		status, err := d.waitNode(ctx, client, d.Nodes[i])
		if err != nil {
			return err
		}

		d.say("%s in %s is ready under version %d", status.Node, status.Zone, status.ConfigVersion)
	}

	probes, err := d.calls(len(clients))
	if err != nil {
		return err
	}

	probed := map[string]bool{}

	for _, p := range probes {
		name := fmt.Sprintf("%d %s", p.node, p.call.Request.Pipeline)
		if probed[name] {
			continue
		}

		probed[name] = true
		p.call.Request.RequestID += "-probe"

		if err := d.probe(ctx, clients[p.node], p.call); err != nil {
			return err
		}
	}

	return nil
}

func (d Demo) waitNode(ctx context.Context, client *chuteapi.Client, node string) (chuteapi.NodeStatus, error) {
	for {
		status, err := client.NodeStatus(ctx, node)
		if err == nil && status.Ready {
			return status, nil
		}

		if d.rest(ctx) != nil {
			return status, oops.In("load").With("step", "wait for readiness", "peer", node).
				Wrap(errors.Join(fmt.Errorf("not ready: %s", status.Problem), err))
		}
	}
}

// probe sends a request until it is answered; a node that has just started may not know every upstream yet.
func (d Demo) probe(ctx context.Context, client *chuteapi.Client, call Call) error {
	for {
		_, err := client.Submit(ctx, call.Request)
		if err == nil {
			return nil
		}

		if d.rest(ctx) != nil || !errors.Is(err, chuteapi.ErrNotRun) {
			return oops.In("load").With("step", "probe", "pipeline", call.Request.Pipeline).Wrap(err)
		}
	}
}

func (d Demo) rest(ctx context.Context) error {
	timer := d.Clock.NewTimer(readyPoll)
	defer timer.Stop()

	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// calls returns one request for each pipeline, workspace that may call it, node and form of answer.
func (d Demo) calls(nodes int) ([]demoCall, error) {
	var calls []demoCall

	for _, pipeline := range slices.Sorted(maps.Keys(d.Config.Pipelines)) {
		for _, workspace := range slices.Sorted(maps.Keys(Plan{}.workspacesOf(d.Config, Share{Pipeline: pipeline}))) {
			for i := range 2 * nodes {
				call, err := d.newCall(len(calls), pipeline, workspace)
				if err != nil {
					return nil, err
				}

				call.Streamed = i%2 == 0
				calls = append(calls, demoCall{node: i / 2, call: call})
			}
		}
	}

	return calls, nil
}

func (d Demo) newCall(n int, pipeline, workspace string) (Call, error) {
	plan := Plan{Shapes: map[string]Shape{pipeline: {InputBytes: demoInputBytes, PrefixBytes: demoPrefixBytes}}}

	return plan.newCall(d.Config, d.Name, Arrival{N: n, Pipeline: pipeline, Workspace: workspace})
}

// send sends all calls, some at a time, and notes in each what was wrong with its answer.
func (d Demo) send(ctx context.Context, clients []*chuteapi.Client, calls []demoCall) {
	var wg sync.WaitGroup

	slots := make(chan struct{}, demoAtOnce)

	for i := range calls {
		slots <- struct{}{}

		wg.Go(func() {
			defer func() { <-slots }()

			calls[i].found = d.sendOne(ctx, clients[calls[i].node], calls[i].call)
		})
	}

	wg.Wait()
	d.say("%d requests were sent to %d nodes", len(calls), len(clients))
}

func (d Demo) sendOne(ctx context.Context, client *chuteapi.Client, call Call) error {
	var (
		answer chuteapi.Answer
		err    error
	)

	if call.Streamed {
		answer, err = client.Stream(ctx, call.Request, nil)
	} else {
		answer, err = client.Submit(ctx, call.Request)
	}

	if err != nil {
		return err
	}

	return Runner{Config: d.Config}.verify(call, answer)
}

// sendTwice sends one unrepeatable request to two nodes at once, as a balancer's resend would; both callers must get its answer.
func (d Demo) sendTwice(ctx context.Context, clients []*chuteapi.Client) ([]demoCall, error) {
	for _, name := range slices.Sorted(maps.Keys(d.Config.Pipelines)) {
		if !slices.ContainsFunc(d.Config.Pipelines[name].Stages, func(s chuteconfig.Stage) bool { return s.Unrepeatable }) {
			continue
		}

		workspaces := slices.Sorted(maps.Keys(Plan{}.workspacesOf(d.Config, Share{Pipeline: name})))

		call, err := d.newCall(0, name, workspaces[0])
		if err != nil {
			return nil, err
		}

		call.Request.RequestID = d.Name + "-twice"
		calls := []demoCall{{node: 0, call: call}, {node: len(clients) - 1, call: call}}
		d.send(ctx, clients, calls)

		return calls, nil
	}

	return nil, oops.In("load").With("step", "send twice").Errorf("no pipeline has an unrepeatable stage")
}

// count compares what callers got with what the stand-ins ran.
func (d Demo) count(ctx context.Context, calls []demoCall) (DemoResult, error) {
	vms, err := ListVMs(ctx, d.VMsURL)
	if err != nil {
		return DemoResult{}, err
	}

	executions, err := Executions(ctx, UpstreamURLs(vms))
	if err != nil {
		return DemoResult{}, err
	}

	index := indexExecutions(executions)
	result := DemoResult{Requests: len(calls), Doubled: doubled(d.Config, executions)}

	for _, c := range calls {
		found := c.found
		if found == nil {
			result.Answered++
			found = d.ran(index, c.call)
		}

		if found != nil {
			result.Lost++
			d.say("%s/%s for %s at node %d: %v", c.call.Request.Workspace, c.call.Request.RequestID, c.call.Request.Pipeline, c.node, found)
		}
	}

	twice := calls[len(calls)-1].call.Request
	stage := d.Config.Pipelines[twice.Pipeline].Stages[0].Name
	d.say("%s/%s was sent to two nodes at once and ran %d time(s)", twice.Workspace, twice.RequestID,
		index.started[stageKey{workspace: twice.Workspace, requestID: twice.RequestID, stage: stage}])
	d.say("the stand-ins ran %d calls for all requests", len(executions))

	return result, nil
}

// ran returns an error when a stage of an answered request never ran to its end, so that its answer came from nowhere.
func (d Demo) ran(index executionIndex, call Call) error {
	r := call.Request
	for _, stage := range d.Config.Pipelines[r.Pipeline].Stages {
		if index.completed[stageKey{workspace: r.Workspace, requestID: r.RequestID, stage: stage.Name}] == 0 {
			return fmt.Errorf("answered, but stage %s never ran to its end", stage.Name)
		}
	}

	return nil
}

func (d Demo) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Out, format+"\n", args...)
}
