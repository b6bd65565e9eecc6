package chuterelay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutebudget"
	"azurechute.example/azurechute/internal/chuteroute"
)

// slackOnly allows eight retries, and none earned by first calls.
var slackOnly = chutebudget.Settings{Slack: 8}

// peersWithSelf returns a list of nodes that begins with the node under test.
func peersWithSelf(size int) []Peer {
	all := []Peer{self}
	for i := range size - 1 {
		all = append(all, Peer{Name: fmt.Sprint("other", i), Zone: "z1"})
	}

	return all
}

// countRetries sends requests whose first call fails and returns the number of retries.
func (n *node) countRetries(requests int) int {
	n.Helper()
	count := 0
	for range requests {
		n.handles++
		s := plainRequest(n.handles, chuteroute.Repeatable)
		s.Deadline = n.now.Add(3 * time.Second)
		n.endCall(n.submit(s), EndErrored)
		for _, again := range takeAll[Send](n) {
			count++
			n.endCall(again, EndAnswered)
		}
	}

	return count
}

// TestSlackOfNodes guards against shares of the slack that add up to more than the whole, because
// a node does not know the state of the others or of its own previous process.
func TestSlackOfNodes(t *testing.T) {
	t.Run("a process that has just started has the slack that the previous one left", func(t *testing.T) {
		n := newNode(t)
		n.state = NewState(Settings{Self: self, Retries: slackOnly, Seed: 1})
		n.on(ConfigAdopted{Config: testConfig(1)})
		n.on(PeersListed{Peers: peersWithSelf(2)})
		n.on(UpstreamsListed{Upstreams: testUpstreams()})
		n.Assert(n.countRetries(10), qt.Equals, 1)
		n.pass(slackOnly.RetentionTime())
		n.Assert(n.countRetries(10), qt.Equals, 3)
	})

	t.Run("a node without a list, or not on it, has one retry at its start and no share", func(t *testing.T) {
		n := newNode(t)
		n.state = NewState(Settings{Self: self, Retries: slackOnly, Seed: 1})
		n.on(ConfigAdopted{Config: testConfig(1)})
		n.on(UpstreamsListed{Upstreams: testUpstreams()})
		n.pass(time.Minute)
		n.Assert(n.countRetries(10), qt.Equals, 1)
		n.on(PeersListed{Peers: peersWithSelf(4)[1:]})
		n.pass(time.Minute)
		n.Assert(n.countRetries(10), qt.Equals, 0)
	})

	t.Run("nodes that leave the list keep their shares while they still serve", func(t *testing.T) {
		n := newNode(t)
		n.state.settings.Retries = slackOnly
		n.on(PeersListed{Peers: peersWithSelf(4)})
		n.on(PeersListed{Peers: peersWithSelf(1)})
		n.Assert(n.countRetries(10), qt.Equals, 2)
		n.pass(departedWindows * slackOnly.WindowLength())
		n.Assert(n.countRetries(10), qt.Equals, 7)
	})

	t.Run("a node that has left the list still retries within its share", func(t *testing.T) {
		n := newNode(t)
		n.state.settings.Retries = slackOnly
		n.on(PeersListed{Peers: peersWithSelf(4)})
		n.on(DrainStarted{})
		n.on(PeersListed{Peers: peersWithSelf(4)[1:]})
		n.Assert(n.countRetries(10), qt.Equals, 2)
	})

	t.Run("collectors and nodes share the slack of a batched pool", func(t *testing.T) {
		n := newNode(t)
		n.state.settings.Retries = slackOnly
		slack := n.state.nodeAccount(partPool, n.now).slack
		slack += maxCollectorsPerShard * n.state.collectorAccount(partPool, n.now).slack
		// One more is reserved for the next process of this node.
		n.Assert(slack, qt.Equals, 7)
	})
}

// TestRepeatsCounted guards against retries that no budget counts, and against first calls that
// are counted as retries.
func TestRepeatsCounted(t *testing.T) {
	t.Run("a call after one that reached no upstream is not a retry", func(t *testing.T) {
		n := newNode(t)
		n.state.settings.Retries = chutebudget.Settings{}
		s := n.submit(plainRequest(1, chuteroute.Repeatable))
		n.endCall(s, EndUnreachable)
		n.endCall(takeOne[Send](n), EndAnswered)
		takeOne[Deliver](n)
	})

	t.Run("a retry counts when it is sent, also if its stages run again before", func(t *testing.T) {
		// If it were counted when it was decided on, it would reach the upstream in a later
		// window, in addition to all retries that this later window allows.
		n := newNode(t)
		s := n.submit(streamRequest(1, chuteroute.Resumable))
		n.endCall(s, EndInputGone)
		n.Assert(n.state.nodeBudget(enginePool, n.now).Spent, qt.Equals, 0)
		n.pass(time.Second)
		n.answerParts()
		n.answerParts()
		takeOne[Send](n)
		n.Assert(n.state.nodeBudget(enginePool, n.now).Spent, qt.Equals, 1)
	})

	t.Run("a retry that is no longer allowed when its stages are done is refused at once", func(t *testing.T) {
		n := newNode(t)
		s := n.submit(streamRequest(1, chuteroute.Resumable))
		n.endCall(s, EndInputGone)
		n.state.settings.Retries = chutebudget.Settings{}
		n.answerParts()
		n.answerParts()
		refusal := n.expectRefused(RefusedNotRun)
		n.Assert(refusal.Reason, qt.Contains, "the retry budget is used up")
	})

	t.Run("callers whose retry is refused get different retry delays", func(t *testing.T) {
		n := newNode(t)
		n.state.settings.Retries = chutebudget.Settings{}
		times := map[time.Duration]bool{}
		for handle := range uint64(5) {
			n.endCall(n.submit(plainRequest(handle+1, chuteroute.Repeatable)), EndRefused)
			times[n.expectRefused(RefusedNotRun).RetryAfter] = true
		}
		n.Assert(times, qt.HasLen, 5)
	})
}
