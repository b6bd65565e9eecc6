package chuterelay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroute"
)

// answerLimited ends a call with an answer that names a limit.
func (n *node) answerLimited(s Send, limit Limit) {
	n.on(AttemptEnded{Handle: s.Handle, Attempt: s.Attempt, End: EndAnswered, HasAnswer: true, Limit: &limit})
}

func TestLimitTold(t *testing.T) {
	// Guards against hundreds of nodes that each learn of a limit by a call of their own.
	n := newNode(t)
	n.on(Arrived{Submission: plainRequest(1, chuteroute.Repeatable)})
	sent := takeOne[Send](n)
	n.answerLimited(sent, Limit{Named: true, PerSecond: 2})
	announced := takeOne[AnnounceLimit](n).Limit

	t.Run("a limit named by an answer is announced", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(announced.Upstream, qt.Equals, sent.Upstream.ID)
		c.Assert(announced.Limited, qt.IsTrue)
		c.Assert(announced.PerSecond, qt.Equals, 2.0)
	})

	t.Run("a node that gets the announcement applies it without a call", func(t *testing.T) {
		c := qt.New(t)
		other := newNode(t)
		announced.Teller = "n2"
		other.on(LimitsAnnounced{Limits: []chutefleet.LimitRecord{announced}})
		limit, limited := other.state.Fleet().Limit(announced.Upstream)
		c.Assert(limited, qt.IsTrue)
		c.Assert(limit.PerSecond, qt.Equals, 2.0)
		c.Assert(takeAll[AnnounceLimit](other), qt.HasLen, 0)

		announced.Limited = false
		other.on(LimitsAnnounced{Limits: []chutefleet.LimitRecord{announced}})
		_, limited = other.state.Fleet().Limit(announced.Upstream)
		c.Assert(limited, qt.IsFalse)
	})

	t.Run("a process applies what the process before of its node has announced, but not its own", func(t *testing.T) {
		// Guards against a node that starts again and takes the limits that it found out for none.
		c := qt.New(t)
		again := newNode(t)
		own := announced
		own.Teller, own.Limited = again.state.settings.Self.Name, true
		again.on(LimitsAnnounced{Limits: []chutefleet.LimitRecord{own}})
		_, limited := again.state.Fleet().Limit(own.Upstream)
		c.Assert(limited, qt.IsTrue)
		own.Limited = false
		again.on(LimitsAnnounced{Limits: []chutefleet.LimitRecord{own}})
		_, limited = again.state.Fleet().Limit(own.Upstream)
		c.Assert(limited, qt.IsTrue)
	})

	t.Run("an announcement about an upstream that is not listed yet applies once it is", func(t *testing.T) {
		c := qt.New(t)
		other := newNode(t)
		announced := announced
		announced.Upstream, announced.Name, announced.Limited = "late", "late", true
		other.on(LimitsAnnounced{Limits: []chutefleet.LimitRecord{announced}})
		list := append(testUpstreams(), chutefleet.Upstream{ID: "late", Name: "late", Pool: plainPool, State: chutefleet.StateReady})
		other.on(UpstreamsListed{Upstreams: list})
		_, limited := other.state.Fleet().Limit("late")
		c.Assert(limited, qt.IsTrue)
	})
}

func TestLimitOfStages(t *testing.T) {
	// Guards against batched calls beyond the limit of an upstream that runs stages.
	n := newNode(t)
	n.on(Arrived{Submission: manyPartsRequest(1)})
	calls := map[string]int{}
	for range 5 {
		for _, call := range takeAll[RunCall](n) {
			calls[call.Upstream.ID]++
			n.pass(100 * time.Millisecond)
			limit := &Limit{}
			if call.Upstream.ID == partPool+"0" {
				limit = &Limit{Named: true, PerSecond: 0.25}
			}
			ends := make([]chutebatch.PartOutcome, len(call.Call.Parts))
			for i := range ends {
				ends[i].Ref = "made"
			}
			n.on(CallEnded{ID: call.Call.ID, End: chutebatch.CallAnswered, PartEnds: ends, Limit: limit})
		}
	}
	n.Assert(calls[partPool+"0"] <= 2, qt.IsTrue, qt.Commentf("%d calls", calls[partPool+"0"]))
	n.Assert(calls[partPool+"1"] > 2, qt.IsTrue, qt.Commentf("%d calls", calls[partPool+"1"]))
}

// Guards against requests whose stages run although no upstream may take their call, and against
// callers who retry before an upstream may.
func TestLimitRefusesAtOnce(t *testing.T) {
	n := newNode(t)
	n.on(ConfigAdopted{Config: testConfig(2)})
	for i := range 2 {
		n.on(LimitsAnnounced{Limits: []chutefleet.LimitRecord{{
			Upstream: fmt.Sprint(enginePool, i), Limited: true, PerSecond: 0.25, Teller: "n2",
		}}})
	}
	for handle := range uint64(2) {
		n.submit(streamRequest(handle+1, chuteroute.Repeatable))
	}
	n.on(Arrived{Submission: streamRequest(3, chuteroute.Repeatable)})
	refusal := takeOne[Refuse](n).Refusal
	n.Assert(takeAll[RequestJob](n), qt.HasLen, 0)
	n.Assert(refusal.Kind, qt.Equals, RefusedNotRun)
	n.Assert(refusal.Reason, qt.Contains, "2 Limited")
	n.Assert(refusal.RetryAfter >= maxLimitRetryAfter/2, qt.IsTrue, qt.Commentf("%v", refusal.RetryAfter))
}

// Guards against nodes that treat an upstream's new process as unlimited, or go on with a limit that the new
// process does not have.
func TestLimitOfNextProcess(t *testing.T) {
	name := plainPool + "0"
	stated := func(id string, startedAt int64, limited bool) chutefleet.LimitRecord {
		return chutefleet.LimitRecord{Upstream: id, Name: name, StartedAt: startedAt, Limited: limited, PerSecond: 2, Teller: "n2"}
	}
	expectLimited := func(n *node, id string, limited bool) {
		n.Helper()
		_, isLimited := n.state.Fleet().Limit(id)
		n.Assert(isLimited, qt.Equals, limited)
	}

	t.Run("an answer without a limit ends it, and the others are told", func(t *testing.T) {
		n := newNode(t)
		n.on(LimitsAnnounced{Limits: []chutefleet.LimitRecord{stated(name, 0, true)}})
		id := n.restart(name)[0]
		expectLimited(n, id, true)
		n.pass(limitAnnounceInterval)
		u, _ := n.state.Fleet().Get(id)
		st := reduction{State: n.state, now: n.now}
		st.recordLimit(u, &Limit{}, n.now)
		n.state, n.effects = st.State, st.effects
		expectLimited(n, id, false)
		told := takeOne[AnnounceLimit](n).Limit
		n.Assert(told.Limited, qt.IsFalse)

		other := newNode(t)
		other.on(LimitsAnnounced{Limits: []chutefleet.LimitRecord{stated(name, 0, true)}})
		other.restart(name)
		told.Teller = "n2"
		other.on(LimitsAnnounced{Limits: []chutefleet.LimitRecord{told}})
		expectLimited(other, id, false)
		other.on(LimitsAnnounced{Limits: []chutefleet.LimitRecord{stated(name, 0, true)}})
		expectLimited(other, id, false)
	})

	t.Run("a node that starts applies what the process before has stated", func(t *testing.T) {
		n := newNode(t)
		id := n.restart(name)[0]
		n.on(LimitsAnnounced{Limits: []chutefleet.LimitRecord{stated(name, 0, true)}})
		expectLimited(n, id, true)
	})

	t.Run("the records of several processes count in the order of their starts", func(t *testing.T) {
		for _, order := range [][]chutefleet.LimitRecord{
			{stated(name, 0, true), stated(name+"@2", 2, false)},
			{stated(name+"@2", 2, false), stated(name, 0, true)},
		} {
			n := newNode(t)
			n.on(LimitsAnnounced{Limits: order})
			expectLimited(n, n.restart(name)[0], false)
		}
	})

	t.Run("the end of a limit of the process before takes nothing back", func(t *testing.T) {
		n := newNode(t)
		id := n.restart(name)[0]
		n.on(LimitsAnnounced{Limits: []chutefleet.LimitRecord{stated(id, 2, true), stated(name, 0, false)}})
		expectLimited(n, id, true)
	})
}

func TestLimitOfReplacedProcess(t *testing.T) {
	// Guards against a node that announces that an upstream has no limit because it lists its process no more.
	n := newNode(t)
	name := plainPool + "0"
	n.on(LimitsAnnounced{Limits: []chutefleet.LimitRecord{{Upstream: name, Limited: true, PerSecond: 2, Teller: "n2"}}})
	before, _ := n.state.Fleet().Get(name)
	n.restart(name)
	n.pass(limitAnnounceInterval)
	st := reduction{State: n.state, now: n.now}
	st.recordLimit(before, &Limit{Named: true, PerSecond: 2}, n.now)
	n.Assert(st.effects, qt.HasLen, 0)
}
