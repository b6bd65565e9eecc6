package chuterelay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutecost"
	"azurechute.example/azurechute/internal/chuteroute"
)

// hintedRequest returns a streamed request without stages whose caller expects 400 tokens of answer.
func hintedRequest(handle uint64) Submission {
	s := streamRequest(handle, chuteroute.Repeatable)
	s.Pipeline.Stages, s.Parts = nil, nil
	s.Workspace.Name = "w"
	s.MaxOutputTokens, s.OutputHint, s.SharedTokens = 4000, 400, 600

	return s
}

// expectCost fails unless a request like s is expected to have a number of events, within a tenth.
func (n *node) expectCost(s Submission, events float64) chutecost.Estimate {
	n.Helper()
	st := reduction{State: n.state, now: n.now}
	estimate := st.expectedCost(request{Submission: s})
	n.Assert(estimate.Events > 0.9*events && estimate.Events < 1.1*events, qt.IsTrue, qt.Commentf("%+v", estimate))

	return estimate
}

// answerStream answers a call with a number of events.
func (n *node) answerStream(s Send, end AttemptEnd, events int) {
	n.on(AttemptBegan{Handle: s.Handle, Attempt: s.Attempt})
	n.on(AttemptEnded{Handle: s.Handle, Attempt: s.Attempt, End: end, Events: events, HasAnswer: end == EndAnswered})
}

func TestExpectedCost(t *testing.T) {
	t.Run("complete streams are learned from", func(t *testing.T) {
		n := newNode(t)
		estimate := n.expectCost(hintedRequest(1), 100)
		n.Assert(estimate.Basis, qt.Equals, chutecost.BasisHint)
		n.Assert(estimate.PromptTokens, qt.Equals, int64(1000))
		n.Assert(estimate.UnsharedTokens, qt.Equals, int64(400))
		for handle := range uint64(20) {
			n.answerStream(n.submit(hintedRequest(handle+1)), EndAnswered, 200)
		}
		estimate = n.expectCost(hintedRequest(99), 200)
		n.Assert(estimate.Basis, qt.Equals, chutecost.BasisWorkspace)
		n.Assert(n.state.CostCounts().Answers, qt.Equals, uint64(20))
		n.Assert(n.state.View(n.now).Costs.Pipelines[0].Samples, qt.Equals, 20.0)
	})

	t.Run("broken, failed and plain answers are not", func(t *testing.T) {
		// The events of a broken stream are fewer than the answer has.
		n := newNode(t)
		s := hintedRequest(1)
		s.Pipeline.MaxAttempts = 1
		n.answerStream(n.submit(s), EndBroken, 3)
		s.Handle = 2
		n.answerStream(n.submit(s), EndErrored, 3)
		s.Handle = 3
		n.answerStream(n.submit(s), EndAnswered, 0)
		n.Assert(n.state.CostCounts(), qt.Equals, chutecost.Counts{})
		n.Assert(n.state.View(n.now).Costs, qt.IsNil)
	})

	t.Run("resumed streams are not", func(t *testing.T) {
		// The second upstream sends only what the first one has left out.
		n := newNode(t)
		s := hintedRequest(1)
		s.Pipeline.Repeat = chuteroute.Resumable
		n.answerStream(n.submit(s), EndBroken, 90)
		resumed := takeOne[Send](n)
		n.Assert(resumed.Resume, qt.IsTrue)
		n.answerStream(resumed, EndAnswered, 10)
		n.Assert(n.state.CostCounts().Answers, qt.Equals, uint64(0))
	})

	t.Run("what is learned fades", func(t *testing.T) {
		n := newNode(t)
		for handle := range uint64(20) {
			n.answerStream(n.submit(hintedRequest(handle+1)), EndAnswered, 200)
		}
		n.pass(time.Hour)
		n.expectCost(hintedRequest(99), 100)
	})
}
