package chuterelay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroute"
)

func TestLoadReports(t *testing.T) {
	t.Run("loads reported by answers are sent with the next job, once", func(*testing.T) {
		n := collectedElsewhere(t)
		n.on(Arrived{Submission: plainRequest(1, chuteroute.Repeatable)})
		sent := takeOne[Send](n)
		n.on(AttemptEnded{
			Handle: sent.Handle, Attempt: sent.Attempt, End: EndAnswered, HasAnswer: true, Load: &Load{Running: 7, Waiting: 2},
		})
		n.pass(100 * time.Millisecond)
		n.on(Arrived{Submission: n.requestFrom("w", 2)})
		n.on(Arrived{Submission: n.requestFrom("w", 3)})
		asks := takeAll[RequestJob](n)
		// Nine ran or waited there, including the call that has ended since.
		n.Assert(asks[0].Loads, qt.DeepEquals, []chutefleet.LoadReport{
			{Upstream: sent.Upstream.ID, Calls: 8, Age: 100 * time.Millisecond},
		})
		n.Assert(asks[1].Loads, qt.HasLen, 0)
	})

	t.Run("a collector reports which engines are overloaded, from the reports of all nodes", func(*testing.T) {
		n := newNode(t)
		n.on(JobReceived{Token: 7, Job: chutebatch.Job{
			Request: "r", Pool: partPool, Parts: 1, TargetAt: n.now.Add(time.Second), Deadline: n.now.Add(2 * time.Second),
		}, Loads: []chutefleet.LoadReport{{Upstream: enginePool + "0", Calls: 20}, {Upstream: enginePool + "1", Calls: 1}}})
		n.answerParts()
		n.Assert(takeOne[ReturnResults](n).Loads, qt.DeepEquals, []chutefleet.LoadReport{{Upstream: enginePool + "0", Calls: 20}})
	})

	t.Run("a prompt is not sent to the engine that holds it while that engine is overloaded", func(*testing.T) {
		// Hundreds of nodes send a popular prompt to one engine of many. No node has a call
		// there of its own, and none knows of the queue.
		for _, crowded := range []bool{false, true} {
			n := collectedElsewhere(t)
			n.on(Arrived{Submission: n.requestFrom("w", 1)})
			n.on(JobDone{JobRequestID: takeOne[RequestJob](n).JobRequestID, Results: []chutebatch.Result{{Ref: "x", Zone: "z1"}}})
			holder := takeOne[Send](n).Upstream.ID
			var reports []chutefleet.LoadReport
			if crowded {
				reports = []chutefleet.LoadReport{{Upstream: holder, Calls: 30, Age: 50 * time.Millisecond}}
			}
			n.on(Arrived{Submission: n.requestFrom("w", 2)})
			n.on(JobDone{JobRequestID: takeOne[RequestJob](n).JobRequestID, Results: []chutebatch.Result{{Ref: "x", Zone: "z1"}}, Loads: reports})
			n.Assert(takeOne[Send](n).Upstream.ID == holder, qt.Equals, !crowded)
		}
	})
}
