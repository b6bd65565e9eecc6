package chuterelay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chuteroute"
)

// collectedElsewhere returns a node whose stages are collected by another node.
func collectedElsewhere(t *testing.T) *node {
	n := newNode(t)
	n.on(PeersListed{Peers: []Peer{
		{Name: "n1", Zone: "z1", Power: 0.1}, {Name: "n2", Zone: "z1", Address: "n2:1", Power: 1},
	}})

	return n
}

// requestFrom returns a streamed request of a workspace, with one stage.
func (n *node) requestFrom(workspace string, handle uint64) Submission {
	s := streamRequest(handle, chuteroute.Resumable)
	s.Workspace = chuteroute.Workspace{Name: workspace}
	s.Pipeline.Stages = s.Pipeline.Stages[:1]
	s.Parts = s.Parts[:1]
	s.Deadline = n.now.Add(6 * time.Second)

	return s
}

func TestBeyondShare(t *testing.T) {
	// One workspace fills the queue of a stage. The collector refuses one of its jobs and
	// reports how long that workspace waits. Guards against a node that then refuses all requests
	// for that queue, also those of workspaces that would not wait.
	n := collectedElsewhere(t)
	n.on(Arrived{Submission: n.requestFrom("loud", 1)})
	n.on(JobFailed{
		JobRequestID: takeOne[RequestJob](n).JobRequestID, Reason: string(chutebatch.PartOverloaded), Wait: 9 * time.Second, OverShare: true,
	})

	t.Run("a refusal for the workspace's own queue gives the wait as its retry delay", func(t *testing.T) {
		qt.New(t).Assert(n.expectRefused(RefusedNotRun).RetryAfter, qt.Equals, 9*time.Second)
	})

	t.Run("another workspace's request is admitted", func(*testing.T) {
		n.on(Arrived{Submission: n.requestFrom("quiet", 2)})
		takeOne[RequestJob](n)
		expectNo[Refuse](n)
	})

	t.Run("the next request of the first workspace is refused at once", func(t *testing.T) {
		n.on(Arrived{Submission: n.requestFrom("loud", 3)})
		expectNo[RequestJob](n)
		qt.New(t).Assert(takeOne[Refuse](n).Refusal.RetryAfter, qt.Equals, 9*time.Second)
	})

	t.Run("the first workspace's requests are admitted again when the wait report expires", func(*testing.T) {
		n.pass(waitReportTTL)
		n.on(Arrived{Submission: n.requestFrom("loud", 4)})
		takeOne[RequestJob](n)
	})
}

func TestOldWaits(t *testing.T) {
	// Guards against wait reports that pile up: any of tens of thousands of workspaces may exceed
	// its share for a moment.
	c := qt.New(t)
	n := collectedElsewhere(t)
	for i := range uint64(3 * maxWaitReports) {
		n.pass(10 * time.Millisecond)
		n.on(Arrived{Submission: n.requestFrom(string(rune('a'+i)), i+1)})
		n.on(JobFailed{JobRequestID: takeOne[RequestJob](n).JobRequestID, Reason: string(chutebatch.PartOverloaded), Wait: 9 * time.Second, OverShare: true})
		takeAll[Refuse](n)
	}
	c.Assert(n.state.waitReports.Len() <= maxWaitReports+1, qt.IsTrue)
}
