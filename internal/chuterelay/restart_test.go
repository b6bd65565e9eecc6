package chuterelay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutebudget"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroute"
)

// restart lists the upstreams with a later start time for those named, and returns their new ids.
func (n *node) restart(names ...string) []string {
	var ids []string
	list := testUpstreams()
	for i := range list {
		for _, name := range names {
			if list[i].Name == name {
				list[i].ID, list[i].StartedAt = name+"@2", time.UnixMilli(2)
				ids = append(ids, list[i].ID)
			}
		}
	}
	n.on(UpstreamsListed{Upstreams: list})

	return ids
}

func TestUpstreamRestarts(t *testing.T) {
	t.Run("a running unrepeatable call has an unknown result and is not sent again", func(t *testing.T) {
		// A certificate was requested when the service's process ended. It is unknown whether
		// it was issued, so the caller must not be told that it was not.
		n := newNode(t)
		s := n.submit(plainRequest(1, chuteroute.Unrepeatable))
		n.restart(s.Upstream.Name)
		n.expectRefused(RefusedFailed)
		expectNo[Send](n)
		n.Assert(takeOne[CancelSend](n).Attempt, qt.Equals, s.Attempt)
	})

	t.Run("a repeatable call is sent to another upstream at once", func(t *testing.T) {
		n := newNode(t)
		s := n.submit(plainRequest(1, chuteroute.Repeatable))
		n.restart(s.Upstream.Name)
		n.Assert(takeOne[Send](n).Upstream.ID, qt.Not(qt.Equals), s.Upstream.ID)
	})

	t.Run("connections to the previous process are dropped", func(t *testing.T) {
		n := newNode(t)
		n.restart("engines0")
		n.Assert(takeOne[DropConnections](n).Address, qt.Equals, "engines0:1")
	})

	t.Run("results that it held are made again before they are fetched", func(t *testing.T) {
		// The first stage's result was held by the upstream and the second stage is waiting.
		// Otherwise the second stage would find the input gone only by a failed call.
		n := newNode(t)
		n.on(Arrived{Submission: streamRequest(1, chuteroute.Resumable)})
		first := takeOne[RunCall](n)
		n.answerCall(first)
		second := takeOne[RunCall](n)
		n.Assert(second.Call.Jobs[0].InputUpstreams, qt.DeepEquals, []string{first.Upstream.ID})
		n.restart(first.Upstream.Name)
		again := takeOne[RunCall](n)
		n.Assert(again.Call.Jobs[0].Stage, qt.Equals, 0)
		n.answerCall(again)
		n.answerParts()
		n.Assert(takeOne[Send](n).Inputs, qt.HasLen, 2)
	})

	t.Run("lost results are not made again beyond the retry budget", func(t *testing.T) {
		n := newNode(t)
		n.state.settings.Retries = chutebudget.Settings{}
		n.on(Arrived{Submission: streamRequest(1, chuteroute.Resumable)})
		first := takeOne[RunCall](n)
		n.answerCall(first)
		n.restart(first.Upstream.Name)
		n.expectRefused(RefusedNotRun)
	})

	t.Run("a peer's job whose inputs were held there fails without a call", func(t *testing.T) {
		// The peer gets the list later than this node, which collects for it.
		n := newNode(t)
		n.restart("parts0")
		n.effects = nil
		n.on(JobReceived{Token: 7, Job: chutebatch.Job{
			Request: "r", Pool: partPool, Parts: 1, Inputs: []string{"a/1"}, InputUpstreams: []string{"parts0"},
			TargetAt: n.now.Add(time.Second), Deadline: n.now.Add(time.Second),
		}})
		n.Assert(takeOne[RejectJob](n).Reason, qt.Equals, string(chutebatch.PartInputGone))
		expectNo[RunCall](n)
	})

	t.Run("result memory that was used there is free again", func(t *testing.T) {
		// The results of a request that still holds them filled the result memory of both
		// upstreams. One restarts; parts that need its memory must not wait until the request
		// ends.
		n := newNode(t)
		big := streamRequest(1, chuteroute.Resumable)
		big.Pipeline.Stages = []chuteroute.Stage{{Pool: partPool, ResultBytes: 1 << 19}}
		big.Parts = []int{4}
		n.on(Arrived{Submission: big})
		n.answerParts()
		n.answerParts()
		takeOne[Send](n)
		next := big
		next.Handle, next.ID = 2, "r2"
		n.on(Arrived{Submission: next})
		expectNo[RunCall](n)
		ids := n.restart("parts0")
		n.Assert(takeOne[RunCall](n).Upstream.ID, qt.Equals, ids[0])
	})

	t.Run("the end of a call to the previous process is ignored", func(t *testing.T) {
		n := newNode(t)
		n.on(Arrived{Submission: streamRequest(1, chuteroute.Resumable)})
		lost := takeOne[RunCall](n)
		n.restart(lost.Upstream.Name)
		again := takeOne[RunCall](n)
		n.answerCall(lost)
		expectNo[RunCall](n)
		n.answerCall(again)
		n.Assert(takeOne[RunCall](n).Call.Jobs[0].Stage, qt.Equals, 1)
	})

	t.Run("a late list entry of the previous process is ignored", func(t *testing.T) {
		n := newNode(t)
		ids := n.restart("plain", "engines0")
		n.effects = nil
		n.on(UpstreamsListed{Upstreams: testUpstreams()})
		expectNo[DropConnections](n)
		_, ok := n.state.Fleet().Get(ids[0])
		n.Assert(ok, qt.IsTrue)
	})
}

func TestUnreadableEntry(t *testing.T) {
	t.Run("running calls of an upstream continue while its entry can't be read", func(t *testing.T) {
		n := newNode(t)
		s := n.submit(plainRequest(1, chuteroute.Unrepeatable))
		list := testUpstreams()
		for i := range list {
			if list[i].ID == s.Upstream.ID {
				list[i] = chutefleet.Upstream{Name: list[i].Name, State: chutefleet.StateUnreadable}
			}
		}
		n.on(UpstreamsListed{Upstreams: list})
		n.endCall(s, EndAnswered)
		takeOne[Deliver](n)
	})
}
