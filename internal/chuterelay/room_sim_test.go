package chuterelay

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroute"
	"azurechute.example/azurechute/internal/chutestream"
	"azurechute.example/azurechute/internal/chutework"
)

const workPool = "work"

// twins drives two nodes with the same events. One of them has a pool beside that is placed by work and whose engines
// have more work than they can do.
type twins struct {
	usual, beside *node
	random        *rand.Rand
	handle        uint64
	sends         []Send
	calls         []RunCall
}

func newTwins(t testing.TB, seed uint64) *twins {
	w := &twins{usual: newNode(t), beside: newNode(t), random: rand.New(rand.NewPCG(seed, seed))}
	upstreams := append(testUpstreams(), chutefleet.Upstream{
		ID: "work0", Name: "work0", Pool: workPool, Address: "work0:1", Zone: "z1", Slots: 8, State: chutefleet.StateReady,
	})
	for _, n := range []*node{w.usual, w.beside} {
		n.on(UpstreamsListed{Upstreams: upstreams})
	}
	w.occupy()

	return w
}

func (w *twins) occupy() {
	w.beside.state.fleet = w.beside.state.fleet.WithPace("work0", 400, w.beside.now).
		WithWork([]chutework.Report{{Upstream: "work0", Calls: 10, Tokens: tooMuch}}, w.beside.now)
}

// on delivers an event to both nodes and returns the effects of each.
func (w *twins) on(e Event) (usual, beside []Effect) {
	for _, n := range []*node{w.usual, w.beside} {
		n.effects = nil
		n.on(e)
	}
	for _, effect := range w.usual.effects {
		switch e := effect.(type) {
		case Send:
			w.sends = append(w.sends, e)
		case RunCall:
			w.calls = append(w.calls, e)
		}
	}

	return w.usual.effects, withoutExchange(w.beside.effects)
}

// withoutExchange removes the effects of the exchange of work, which the pool that is placed by work causes by itself.
func withoutExchange(effects []Effect) []Effect {
	return slices.DeleteFunc(slices.Clone(effects), func(effect Effect) bool {
		switch effect.(type) {
		case WorkTickAt, ExchangeWork, LogWorkAggregator:
			return true
		default:
			return false
		}
	})
}

// next draws the next event.
func (w *twins) next() Event {
	switch kind := w.random.IntN(12); {
	case kind < 4 || len(w.sends) == 0 && len(w.calls) == 0:
		return Arrived{Submission: w.submission()}
	case kind < 7 && len(w.calls) > 0:
		return w.callEnd()
	case kind == 7 && len(w.sends) > 0:
		s := w.sends[w.random.IntN(len(w.sends))]

		return AttemptBegan{Handle: s.Handle, Attempt: s.Attempt}
	case kind < 11 && len(w.sends) > 0:
		return w.attemptEnd()
	case kind == 11:
		return DeadlinePassed{Handle: 1 + w.random.Uint64N(w.handle+1)}
	default:
		return CallerLeft{Handle: 1 + w.random.Uint64N(w.handle+1)}
	}
}

func (w *twins) submission() Submission {
	w.handle++
	repeat := []chuteroute.Repeatability{chuteroute.Repeatable, chuteroute.Resumable, chuteroute.Unrepeatable}[w.random.IntN(3)]
	s := plainRequest(w.handle, repeat)
	if w.random.IntN(2) == 0 {
		s = streamRequest(w.handle, repeat)
		s.Pipeline.Patience = 2 * time.Second
	}
	s.Workspace = chuteroute.Workspace{Name: fmt.Sprint("w", w.random.IntN(3))}
	s.PromptTokens = w.random.Int64N(40_000)
	s.Deadline = w.usual.now.Add(time.Duration(w.random.IntN(5000)) * time.Millisecond)
	s.CallerWait = s.Deadline.Sub(w.usual.now)
	switch w.random.IntN(8) {
	case 0:
		s.Forwarded = &Forwarded{Node: "n2", PossibleRuns: w.random.IntN(2), Counted: true}
	case 1:
		s.Binding = chutestream.Binding{Pool: s.Pipeline.Targets[0].Pool, Upstream: s.Pipeline.Targets[0].Pool + "0"}
	}

	return s
}

func (w *twins) callEnd() CallEnded {
	i := w.random.IntN(len(w.calls))
	call := w.calls[i]
	w.calls = slices.Delete(w.calls, i, i+1)
	callEnds := []chutebatch.CallOutcome{chutebatch.CallAnswered, chutebatch.CallAnswered, chutebatch.CallRefused, chutebatch.CallLost}
	end := CallEnded{ID: call.Call.ID, End: callEnds[w.random.IntN(len(callEnds))], Took: 160 * time.Millisecond}
	for _, p := range call.Call.Parts {
		end.PartEnds = append(end.PartEnds, chutebatch.PartOutcome{Ref: fmt.Sprintf("%s/%d.%d", call.Upstream.ID, p.Job, p.Index)})
	}

	return end
}

func (w *twins) attemptEnd() AttemptEnded {
	i := w.random.IntN(len(w.sends))
	s := w.sends[i]
	w.sends = slices.Delete(w.sends, i, i+1)
	ends := []AttemptEnd{EndAnswered, EndAnswered, EndErrored, EndRefused, EndInputGone, EndUnreachable, EndBroken, EndSilent}
	end := ends[w.random.IntN(len(ends))]

	return AttemptEnded{Handle: s.Handle, Attempt: s.Attempt, End: end, HasAnswer: end == EndAnswered || end == EndErrored, Events: 3}
}

func TestOtherPoolsAreAsBefore(t *testing.T) {
	// Two nodes get the same events for pools that are not placed by work; one of them has another pool that is, and is
	// short of capacity. Guards against admission, delays or random numbers that differ outside such pools.
	rapid.Check(t, func(rt *rapid.T) {
		w := newTwins(t, rapid.Uint64().Draw(rt, "seed"))
		for range 120 {
			pause := time.Duration(w.random.IntN(80)) * time.Millisecond
			w.usual.pass(pause)
			w.beside.pass(pause)
			w.occupy()
			e := w.next()
			usual, beside := w.on(e)
			w.usual.Assert(reflect.DeepEqual(beside, usual), qt.IsTrue, qt.Commentf("%+v gave %+v and %+v", e, usual, beside))
		}
		w.usual.Assert(w.beside.state.rooms.Len(), qt.Equals, 0)
	})
}
