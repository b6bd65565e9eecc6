package chuterelay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutebudget"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroute"
)

var start = time.Unix(1000, 0)

// node drives one state and collects its effects.
type node struct {
	*qt.C

	state   State
	now     time.Time
	effects []Effect
	// handles is the last handle that countRetries has assigned.
	handles uint64
}

const (
	enginePool = "engines"
	plainPool  = "service"
	partPool   = "parts"
)

var self = Peer{Name: "n1", Zone: "z1", Address: "n1:1", Power: 1}

// newNode returns a node that has a configuration and two upstreams per pool and is the only
// listed node.
func newNode(t testing.TB) *node {
	t.Helper()
	n := &node{C: qt.New(t), now: start.Add(-time.Minute), state: NewState(Settings{
		Self: self, Retries: chutebudget.Settings{Ratio: 0.2, Slack: 10}, Seed: 1,
	})}
	n.on(ConfigAdopted{Config: testConfig(1)})
	n.on(PeersListed{Peers: []Peer{self}})
	n.now = start
	n.on(UpstreamsListed{Upstreams: testUpstreams()})
	n.effects = nil

	return n
}

func testConfig(version uint64) chuteroute.Config {
	return chuteroute.Config{Version: version, Pools: map[string]chuteroute.Pool{
		enginePool: {Name: enginePool, Engine: &chuteroute.Engine{Slots: 8}},
		plainPool:  {Name: plainPool},
		partPool: {Name: partPool, Batching: &chuteroute.Batching{
			Slots: 1, BatchSize: 8, CallTime: 150 * time.Millisecond, PartTime: 10 * time.Millisecond,
			Room: 1 << 20, ResultTTL: 4 * time.Second,
		}},
	}}
}

func testUpstreams() []chutefleet.Upstream {
	var all []chutefleet.Upstream
	for _, pool := range []string{enginePool, plainPool, partPool} {
		for i := range 2 {
			all = append(all, chutefleet.Upstream{
				ID: fmt.Sprint(pool, i), Name: fmt.Sprint(pool, i), Pool: pool, Address: fmt.Sprint(pool, i, ":1"), Zone: "z1", Slots: 8,
				State: chutefleet.StateReady,
			})
		}
	}

	return all
}

// on reduces one event and appends its effects to those not taken yet.
func (n *node) on(e Event) {
	var effects []Effect
	n.state, effects = Reduce(n.state, n.now, e)
	n.effects = append(n.effects, effects...)
}

// pass advances the node's clock.
func (n *node) pass(d time.Duration) {
	n.now = n.now.Add(d)
}

// plainRequest returns a request for a plain service, without stages.
func plainRequest(handle uint64, repeat chuteroute.Repeatability) Submission {
	return Submission{
		Handle: handle, ID: fmt.Sprint("r", handle), Deadline: start.Add(3 * time.Second),
		Pipeline: chuteroute.Pipeline{
			Name: "plain", Repeat: repeat, MaxAttempts: 2, Aim: 300 * time.Millisecond,
			Targets: []chuteroute.Target{{Pool: plainPool, Weight: 1}},
		},
	}
}

// streamRequest returns a streamed request with two stages, one after the other.
func streamRequest(handle uint64, repeat chuteroute.Repeatability) Submission {
	return Submission{
		Handle: handle, ID: fmt.Sprint("r", handle), Deadline: start.Add(6 * time.Second),
		Parts: []int{1, 2}, PartKey: "k", PromptTokens: 1000, Affinity: "s",
		Pipeline: chuteroute.Pipeline{
			Name: "stream", Repeat: repeat, Streams: true, MaxAttempts: 2, Aim: 2 * time.Second, Affinity: true,
			Targets: []chuteroute.Target{{Pool: enginePool, Weight: 1}},
			Stages: []chuteroute.Stage{
				{Pool: partPool, ResultBytes: 100},
				{Pool: partPool, After: []int{0}, ResultBytes: 10},
			},
		},
	}
}

// takeAll removes and returns the effects of one type.
func takeAll[E Effect](n *node) []E {
	var taken []E
	var rest []Effect
	for _, effect := range n.effects {
		if e, ok := effect.(E); ok {
			taken = append(taken, e)
		} else {
			rest = append(rest, effect)
		}
	}
	n.effects = rest

	return taken
}

// takeOne removes and returns the only effect of a type; it fails if there are none or several.
func takeOne[E Effect](n *node) E {
	n.Helper()
	taken := takeAll[E](n)
	n.Assert(taken, qt.HasLen, 1)

	return taken[0]
}

// expectNo fails if an effect of the type is present.
func expectNo[E Effect](n *node) {
	n.Helper()
	n.Assert(takeAll[E](n), qt.HasLen, 0)
}

// endCall reports how a call ended.
func (n *node) endCall(s Send, end AttemptEnd) {
	n.on(AttemptEnded{Handle: s.Handle, Attempt: s.Attempt, End: end, HasAnswer: end == EndAnswered || end == EndErrored})
}

// answerParts answers all running batched calls and returns them.
func (n *node) answerParts() []RunCall {
	calls := takeAll[RunCall](n)
	for _, call := range calls {
		n.answerCall(call)
	}

	return calls
}

// answerCall ends a batched call with one result per part.
func (n *node) answerCall(call RunCall) {
	var ends []chutebatch.PartOutcome
	for _, p := range call.Call.Parts {
		ends = append(ends, chutebatch.PartOutcome{Ref: fmt.Sprintf("%s/%d.%d", call.Upstream.ID, p.Job, p.Index)})
	}
	n.on(CallEnded{ID: call.Call.ID, End: chutebatch.CallAnswered, PartEnds: ends, Took: 160 * time.Millisecond})
}

// submit delivers a request, completes its stages and returns the call that is sent.
func (n *node) submit(s Submission) Send {
	n.Helper()
	n.on(Arrived{Submission: s})
	for range s.Pipeline.Stages {
		n.answerParts()
	}

	return takeOne[Send](n)
}

// expectRefused fails unless the caller gets one refusal, of this kind, and no request is left.
func (n *node) expectRefused(kind RefusalKind) Refusal {
	n.Helper()
	r := takeOne[Refuse](n)
	n.Assert(r.Refusal.Kind, qt.Equals, kind)
	n.Assert(n.state.InFlight(), qt.Equals, 0)

	return r.Refusal
}
