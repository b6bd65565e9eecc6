package chuteproof

import (
	"fmt"
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chutecore"
	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/internal/chuterollout"
	"azurechute.example/azurechute/internal/chuterouting"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// ours drives chutecore.Reduce with the world as its adapters.
type ours struct {
	w       *world
	node    int
	state   chutecore.State
	outputs map[chuterequest.AttemptID]string
	calls   map[chuterequest.AttemptID]chutecore.Dispatch
	keys    map[uint64]chuterequest.Key
	claimed map[uint64]bool
}

func newOurs(w *world, node int) *ours {
	n := &ours{
		w: w, node: node,
		state: chutecore.NewState(chutecore.Identity{
			Node: fmt.Sprintf("entry-%d", node), Zone: "zone-1", Incarnation: fmt.Sprintf("inc-%d", node),
		}, uint64(node)+1, w.now),
		outputs: map[chuterequest.AttemptID]string{}, calls: map[chuterequest.AttemptID]chutecore.Dispatch{},
		keys: map[uint64]chuterequest.Key{}, claimed: map[uint64]bool{},
	}
	n.configure(1, worldConfig())

	return n
}

// worldConfig is four stages over three upstreams each.
func worldConfig() chuteconfig.Config {
	cfg := chuteconfig.Config{
		Site:       "site",
		Teams:      map[string]chuteconfig.Team{"team": {Weight: 1}},
		Workspaces: map[string]chuteconfig.Workspace{"members": {Team: "team", Weight: 1}},
		Pools:      map[string]chuteconfig.Pool{},
		Pipelines:  map[string]chuteconfig.Pipeline{},
	}
	var stages []chuteconfig.Stage
	for i := range worldStages {
		pool := fmt.Sprintf("pool-%d", i)
		cfg.Pools[pool] = chuteconfig.Pool{
			Kind: chuteconfig.PoolEncoder, Slots: 64, UnitPrice: 1, Typical: chuteconfig.Duration(worldLatency),
		}
		stages = append(stages, chuteconfig.Stage{Name: fmt.Sprint(i), Pool: pool})
	}
	cfg.Pipelines["pipeline"] = chuteconfig.Pipeline{
		Team: "team", Deadline: chuteconfig.Duration(worldDeadline), Stages: stages,
	}
	cfg = chuteconfig.WithDefaults(cfg)
	cfg.Policy.RetryBudget = 1

	return cfg
}

// configure puts a configuration in force and lists the upstreams.
func (n *ours) configure(version uint64, cfg chuteconfig.Config) {
	fetch := n.headRead(version)
	n.event(chutecore.BodyFetched{Stamp: n.stamp(), Fetch: fetch, Digest: fetch.Digest, Config: cfg})
	var listed []chuterouting.ListedUpstream
	for pool := range cfg.Pools {
		for i := range worldUpstreams {
			name := fmt.Sprintf("%s-upstream-%d", pool, i)
			listed = append(listed, chuterouting.ListedUpstream{Name: name, Address: name, Zone: "zone-1", Pool: pool, Incarnation: "1"})
		}
	}
	slices.SortFunc(listed, func(a, b chuterouting.ListedUpstream) int { return compareText(a.Name, b.Name) })
	n.event(chutecore.UpstreamsListed{Stamp: n.stamp(), Upstreams: listed})
}

// headRead announces a version and returns the fetch that the reducer asks for.
func (n *ours) headRead(version uint64) chuterollout.Fetch {
	id := chuterollout.ID{Version: version, Digest: fmt.Sprintf("digest-%d", version)}
	var effects []chutecore.Effect
	n.state, effects = chutecore.Reduce(n.state, chutecore.HeadRead{Stamp: n.stamp(), Read: chuterollout.HeadRead{
		ID: id, Object: "object", Started: n.w.now, At: n.w.now,
	}})
	for _, effect := range effects {
		if fetch, ok := effect.(chutecore.FetchConfig); ok {
			return fetch.Fetch
		}
	}

	return chuterollout.Fetch{ID: id}
}

func (n *ours) stamp() chutecore.Stamp {
	return chutecore.Stamp{At: n.w.now}
}

// event reduces one event and carries the effects out in the world.
func (n *ours) event(e chutecore.Event) {
	var effects []chutecore.Effect
	n.state, effects = chutecore.Reduce(n.state, e)
	for _, effect := range effects {
		n.perform(effect)
	}
}

func (n *ours) perform(effect chutecore.Effect) {
	switch e := effect.(type) {
	case chutecore.Dispatch:
		n.calls[e.Attempt] = e
		n.w.hand(call{
			id: string(e.Attempt), node: n.node, handle: e.Handle, key: e.Key, stage: e.StageIndex,
			upstream: e.Upstream, context: n.outputs[e.ContextAttempt], unrepeatable: e.Unrepeatable,
		})
	case chutecore.Answer:
		n.answer(e)
	case chutecore.SetDeadline:
		n.w.after(e.At.Sub(n.w.now), func() { n.whileAlive(chutecore.DeadlinePassed{Stamp: n.stamp(), Handle: e.Handle}) })
	case chutecore.SetHedge:
		n.w.after(e.After, func() {
			n.whileAlive(chutecore.HedgeDue{Stamp: n.stamp(), Handle: e.Handle, Attempt: e.Attempt})
		})
	case chutecore.TakeClaim:
		n.w.after(worldLatency, func() { n.takeClaim(e) })
	case chutecore.FinishClaim:
		n.finishClaim(e)
	case chutecore.GiveUpClaim:
		n.giveUpClaim(e.Handle)
	}
}

func (n *ours) whileAlive(e chutecore.Event) {
	if !n.w.dead[n.node] {
		n.event(e)
	}
}

func (n *ours) answer(e chutecore.Answer) {
	t := told{node: n.node, handle: e.Handle, key: n.keys[e.Handle], outcome: e.Outcome, output: n.outputs[e.Result]}
	if e.Stored {
		t.output = n.w.claims[t.key].answer.output
	}
	n.w.tell(t)
}

// takeClaim is the table's part: one holder a key; a fault is an answer that never comes, and the row is given up.
func (n *ours) takeClaim(e chutecore.TakeClaim) {
	if n.w.dead[n.node] {
		return
	}
	row, held := n.w.claims[e.Key]
	switch {
	case n.w.claimFault():
		n.w.faults++
		n.event(chutecore.ClaimFailed{Stamp: n.stamp(), Handle: e.Handle, Reason: "outage", NoOtherSubmission: !held})
	case held && row.done:
		n.event(chutecore.ClaimSettled{Stamp: n.stamp(), Handle: e.Handle, Outcome: row.answer.outcome})
	case held:
		n.event(chutecore.ClaimHeld{Stamp: n.stamp(), Handle: e.Handle})
	default:
		n.w.claims[e.Key] = claimRow{node: n.node, handle: e.Handle}
		n.claimed[e.Handle] = true
		n.event(chutecore.ClaimTaken{Stamp: n.stamp(), Handle: e.Handle})
	}
}

func (n *ours) finishClaim(e chutecore.FinishClaim) {
	if n.w.dead[n.node] {
		return
	}
	key := n.keys[e.Handle]
	n.w.claims[key] = claimRow{node: n.node, handle: e.Handle, done: true, answer: told{
		outcome: e.Outcome, output: n.outputs[e.Result],
	}}
}

func (n *ours) giveUpClaim(handle uint64) {
	if n.claimed[handle] {
		delete(n.w.claims, n.keys[handle])
	}
}

func (n *ours) arrive(handle uint64, key chuterequest.Key, unrepeatable bool, deadline time.Time) {
	n.keys[handle] = key
	n.event(chutecore.RequestArrived{
		Stamp: n.stamp(), Handle: handle, Key: key, Pipeline: "pipeline", Deadline: deadline, Unrepeatable: unrepeatable,
	})
}

// answered checks the attempt as the upstream adapter does: an answer that names another attempt is a failure.
func (n *ours) answered(c, answerOf call) {
	d := n.calls[chuterequest.AttemptID(c.id)]
	if answerOf.id != c.id {
		n.failed(c, chuterequest.Failure{Kind: chuterequest.FailureCrossed})

		return
	}
	n.outputs[d.Attempt] = c.output()
	n.event(chutecore.AttemptFinished{
		Stamp: n.stamp(), Handle: c.handle, Attempt: d.Attempt, Upstream: c.upstream, Work: d.Work,
		Took: worldLatency, Usage: chuterequest.Usage{Units: 1}, Load: chuterequest.Load{Incarnation: "1", Slots: 64},
	})
}

func (n *ours) failed(c call, f chuterequest.Failure) {
	d := n.calls[chuterequest.AttemptID(c.id)]
	n.event(chutecore.AttemptFailed{
		Stamp: n.stamp(), Handle: c.handle, Attempt: d.Attempt, Upstream: c.upstream, Work: d.Work, Failure: f,
	})
}

// late reports a whole answer of an attempt that was given up, as when it crosses its own cancellation.
func (n *ours) late(c call) {
	n.answered(c, c)
}

func (n *ours) tick() {
	n.event(chutecore.Ticked{Stamp: n.stamp()})
}
