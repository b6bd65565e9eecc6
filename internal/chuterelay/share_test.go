package chuterelay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chuteroute"
)

// collectedElsewhere returns a node whose stages are collected by another one.
func collectedElsewhere(t *testing.T) *node {
	n := newNode(t)
	n.on(PeersListed{Peers: []Peer{
		{Name: "n1", Zone: "z1", Power: 0.1}, {Name: "n2", Zone: "z1", Address: "n2:1", Power: 1},
	}})

	return n
}

// of returns a streamed request of a workspace, with one stage.
func (n *node) of(workspace string, handle uint64) Submission {
	s := streamRequest(handle, chuteroute.Resumable)
	s.Workspace = chuteroute.Workspace{Name: workspace}
	s.Pipeline.Stages = s.Pipeline.Stages[:1]
	s.Parts = s.Parts[:1]
	s.Deadline = n.now.Add(6 * time.Second)

	return s
}

func TestBeyondShare(t *testing.T) {
	// One workspace fills the queue of a stage. The collector turns one of its requests
	// away and tells how long that workspace waits. The node that asked would turn all
	// requests away for that queue, also those of workspaces that would not wait.
	n := collectedElsewhere(t)
	n.on(Arrived{Submission: n.of("loud", 1)})
	n.on(JobFailed{
		JobRequestID: takeOne[RequestJob](n).JobRequestID, Reason: string(chutebatch.PartOverloaded), Wait: 9 * time.Second, OverShare: true,
	})

	t.Run("a refusal for the workspace's own queue tells when that is over", func(t *testing.T) {
		qt.New(t).Assert(n.expectRefused(RefusedNotRun).RetryAfter, qt.Equals, 9*time.Second)
	})

	t.Run("another workspace's request is taken in", func(*testing.T) {
		n.on(Arrived{Submission: n.of("quiet", 2)})
		takeOne[RequestJob](n)
		expectNo[Refuse](n)
	})

	t.Run("the loud one's next is refused at once", func(t *testing.T) {
		n.on(Arrived{Submission: n.of("loud", 3)})
		expectNo[RequestJob](n)
		qt.New(t).Assert(takeOne[Refuse](n).Refusal.RetryAfter, qt.Equals, 9*time.Second)
	})

	t.Run("it is taken in again when its queue is told to be gone", func(*testing.T) {
		n.pass(waitReportTTL)
		n.on(Arrived{Submission: n.of("loud", 4)})
		takeOne[RequestJob](n)
	})
}

func TestOldWaits(t *testing.T) {
	// Of tens of thousands of workspaces any may be beyond its share for a moment.
	c := qt.New(t)
	n := collectedElsewhere(t)
	for i := range uint64(3 * maxWaitReports) {
		n.pass(10 * time.Millisecond)
		n.on(Arrived{Submission: n.of(string(rune('a'+i)), i+1)})
		n.on(JobFailed{JobRequestID: takeOne[RequestJob](n).JobRequestID, Reason: string(chutebatch.PartOverloaded), Wait: 9 * time.Second, OverShare: true})
		takeAll[Refuse](n)
	}
	c.Assert(n.state.waitReports.Len() <= maxWaitReports+1, qt.IsTrue)
}
