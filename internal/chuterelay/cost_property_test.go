package chuterelay

import (
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chuteroute"
)

// costPair is two nodes with the same events, but for what requests state of their costs.
type costPair struct {
	*rapid.T

	stated   State
	unstated State
	now      time.Time
	// handles counts the requests, sends and calls are those that have not ended.
	handles uint64
	sends   []Send
	calls   []RunCall
	events  int
}

// on reduces one event on both sides and fails unless the effects are the same.
func (p *costPair) on(stated, unstated Event) {
	var got, want []Effect
	p.stated, got = Reduce(p.stated, p.now, stated)
	p.unstated, want = Reduce(p.unstated, p.now, unstated)
	p.events++
	if !reflect.DeepEqual(got, want) {
		p.Fatalf("event %d, %#v:\n%#v\nin place of\n%#v", p.events, stated, got, want)
	}
	for _, effect := range got {
		switch e := effect.(type) {
		case Send:
			p.sends = append(p.sends, e)
		case RunCall:
			p.calls = append(p.calls, e)
		}
	}
}

// both reduces the same event on both sides.
func (p *costPair) both(e Event) {
	p.on(e, e)
}

// arrive has a request arrive, which states its cost on one side only.
func (p *costPair) arrive() {
	p.handles++
	repeat := rapid.SampledFrom([]chuteroute.Repeatability{chuteroute.Repeatable, chuteroute.Unrepeatable, chuteroute.Resumable}).Draw(p.T, "repeat")
	s := plainRequest(p.handles, repeat)
	if rapid.Bool().Draw(p.T, "streams") {
		s = streamRequest(p.handles, repeat)
		if rapid.Bool().Draw(p.T, "unstaged") {
			s.Pipeline.Stages, s.Parts = nil, nil
		}
		s.PromptTokens = rapid.Int64Range(0, 40_000).Draw(p.T, "prompt")
	}
	s.Workspace.Name = rapid.SampledFrom([]string{"", "v", "w"}).Draw(p.T, "workspace")
	s.Deadline = p.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(p.T, "deadline")) * time.Millisecond)
	s.Pipeline.Patience = time.Duration(rapid.IntRange(0, 3000).Draw(p.T, "patience")) * time.Millisecond
	if s.Pipeline.Patience > 0 && rapid.Bool().Draw(p.T, "forwarded") {
		s.Forwarded = &Forwarded{Node: "n2", Waited: 40 * time.Millisecond, PossibleRuns: rapid.IntRange(0, 1).Draw(p.T, "runs")}
	}
	stated := s
	tokens := rapid.OneOf(rapid.Int64(), rapid.Int64Range(0, 4000))
	stated.MaxOutputTokens, stated.OutputHint, stated.SharedTokens = tokens.Draw(p.T, "maximum"), tokens.Draw(p.T, "hint"), tokens.Draw(p.T, "shared")
	p.on(Arrived{Submission: stated}, Arrived{Submission: s})
}

// endSend begins or ends one of the calls.
func (p *costPair) endSend() {
	if len(p.sends) == 0 {
		return
	}
	i := rapid.IntRange(0, len(p.sends)-1).Draw(p.T, "send")
	s := p.sends[i]
	if rapid.Bool().Draw(p.T, "begins") {
		p.both(AttemptBegan{Handle: s.Handle, Attempt: s.Attempt, Load: &Load{Running: rapid.IntRange(0, 8).Draw(p.T, "running")}})
	}
	if rapid.Bool().Draw(p.T, "goes on") {
		return
	}
	p.sends = append(p.sends[:i:i], p.sends[i+1:]...)
	end := rapid.SampledFrom([]AttemptEnd{
		EndAnswered, EndAnswered, EndAnswered, EndErrored, EndRefused, EndInputGone, EndUnreachable, EndBroken, EndSilent,
	}).Draw(p.T, "end")
	p.both(AttemptEnded{
		Handle: s.Handle, Attempt: s.Attempt, End: end, HasAnswer: end == EndAnswered || end == EndErrored, Silent: end == EndSilent,
		Events: rapid.IntRange(0, 170).Draw(p.T, "events"), UpstreamEnded: end == EndBroken && rapid.Bool().Draw(p.T, "upstream ended"),
	})
}

// endCall ends one of the calls with parts.
func (p *costPair) endCall() {
	if len(p.calls) == 0 {
		return
	}
	call := p.calls[0]
	p.calls = p.calls[1:]
	ended := CallEnded{ID: call.Call.ID, End: chutebatch.CallAnswered, Took: 160 * time.Millisecond}
	for range call.Call.Parts {
		ended.PartEnds = append(ended.PartEnds, chutebatch.PartOutcome{Ref: "ref"})
	}
	p.both(ended)
}

// leave ends a request by its caller or its deadline.
func (p *costPair) leave() {
	handle := rapid.Uint64Range(1, max(1, p.handles)).Draw(p.T, "handle")
	if rapid.Bool().Draw(p.T, "by deadline") {
		p.both(DeadlinePassed{Handle: handle})
	} else {
		p.both(CallerLeft{Handle: handle})
	}
}

// Guards against decisions that change in deployments whose configuration and upstreams call for nothing new, because
// callers state the cost of their requests (requirement 9).
func TestStatedCostChangesNothing(t *testing.T) {
	answers := uint64(0)
	rapid.Check(t, func(rt *rapid.T) {
		n := newNode(t)
		p := &costPair{T: rt, stated: n.state, unstated: n.state, now: start}
		for range rapid.IntRange(20, 200).Draw(rt, "steps") {
			p.now = p.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{
				"arrive", "arrive", "arrive", "send", "send", "send", "send", "call", "call", "call", "leave", "tick", "evacuate",
			}).Draw(rt, "step") {
			case "arrive":
				p.arrive()
			case "send":
				p.endSend()
			case "call":
				p.endCall()
			case "leave":
				p.leave()
			case "tick":
				p.both(Ticked{})
			case "evacuate":
				p.both(ZonesEvacuated{Zones: rapid.SampledFrom([][]string{nil, nil, nil, nil, {"z1"}}).Draw(rt, "zones")})
			}
		}
		answers += p.stated.CostCounts().Answers
	})
	t.Logf("%d answers were learned from", answers)
	qt.Assert(t, answers > 0, qt.IsTrue)
}
