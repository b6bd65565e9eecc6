package chuterelay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutebudget"
	"azurechute.example/azurechute/internal/chuteroute"
)

// slackOnly allows eight repeats, and none that first calls have earned.
var slackOnly = chutebudget.Settings{Slack: 8}

// listOf returns a list of nodes, the first of them the test's own.
func listOf(size int) []Peer {
	all := []Peer{self}
	for i := range size - 1 {
		all = append(all, Peer{Name: fmt.Sprint("other", i), Zone: "z1"})
	}

	return all
}

// repeats sends requests whose first call fails, and counts the repeats.
func (n *node) repeats(requests int) int {
	n.Helper()
	count := 0
	for range requests {
		n.handles++
		s := plain(n.handles, chuteroute.Repeatable)
		s.Deadline = n.now.Add(3 * time.Second)
		n.ends(n.sent(s), EndErrored)
		for _, again := range take[Send](n) {
			count++
			n.ends(again, EndAnswered)
		}
	}

	return count
}

// TestSlackOfNodes guards against parts of the slack that add up to more than the whole, by
// what single nodes don't know of the others and of the process before them.
func TestSlackOfNodes(t *testing.T) {
	t.Run("a process that has just started has what the one before it left", func(t *testing.T) {
		n := newNode(t)
		n.state = NewState(Settings{Self: self, Retries: slackOnly, Seed: 1})
		n.on(ConfigAdopted{Config: testConfig(1)})
		n.on(PeersListed{Peers: listOf(2)})
		n.on(UpstreamsListed{Upstreams: testUpstreams()})
		n.Assert(n.repeats(10), qt.Equals, 1)
		n.pass(slackOnly.RetentionTime())
		n.Assert(n.repeats(10), qt.Equals, 3)
	})

	t.Run("a node that knows no list, or is not on it, has one repeat at its start and no part", func(t *testing.T) {
		n := newNode(t)
		n.state = NewState(Settings{Self: self, Retries: slackOnly, Seed: 1})
		n.on(ConfigAdopted{Config: testConfig(1)})
		n.on(UpstreamsListed{Upstreams: testUpstreams()})
		n.pass(time.Minute)
		n.Assert(n.repeats(10), qt.Equals, 1)
		n.on(PeersListed{Peers: listOf(4)[1:]})
		n.pass(time.Minute)
		n.Assert(n.repeats(10), qt.Equals, 0)
	})

	t.Run("nodes that leave the list keep their parts while they serve on", func(t *testing.T) {
		n := newNode(t)
		n.state.settings.Retries = slackOnly
		n.on(PeersListed{Peers: listOf(4)})
		n.on(PeersListed{Peers: listOf(1)})
		n.Assert(n.repeats(10), qt.Equals, 2)
		n.pass(departedWindows * slackOnly.WindowLength())
		n.Assert(n.repeats(10), qt.Equals, 7)
	})

	t.Run("a node that leaves the list itself repeats on with its part", func(t *testing.T) {
		n := newNode(t)
		n.state.settings.Retries = slackOnly
		n.on(PeersListed{Peers: listOf(4)})
		n.on(DrainStarted{})
		n.on(PeersListed{Peers: listOf(4)[1:]})
		n.Assert(n.repeats(10), qt.Equals, 2)
	})

	t.Run("collectors and nodes share the slack of a batched pool", func(t *testing.T) {
		n := newNode(t)
		n.state.settings.Retries = slackOnly
		slack := n.state.nodeAccount(partPool, n.now).slack
		slack += maxCollectorsPerShard * n.state.collectorAccount(partPool, n.now).slack
		// One more is left to the next process of this node.
		n.Assert(slack, qt.Equals, 7)
	})
}

// TestRepeatsCounted guards against repeats that no budget counts, and against first arrivals
// that are counted as repeats.
func TestRepeatsCounted(t *testing.T) {
	t.Run("a call after one that reached nobody is no repeat", func(t *testing.T) {
		n := newNode(t)
		n.state.settings.Retries = chutebudget.Settings{}
		s := n.sent(plain(1, chuteroute.Repeatable))
		n.ends(s, EndUnreachable)
		n.ends(only[Send](n), EndAnswered)
		only[Deliver](n)
	})

	t.Run("a repeat counts when it is sent, also if its stages are made again before", func(t *testing.T) {
		// Counted when it was decided on, it would come to the upstream in a later window,
		// together with all that this one allows.
		n := newNode(t)
		s := n.sent(stream(1, chuteroute.Resumable))
		n.ends(s, EndInputGone)
		n.Assert(n.state.nodeBudget(enginePool, n.now).Spent, qt.Equals, 0)
		n.pass(time.Second)
		n.makeParts()
		n.makeParts()
		only[Send](n)
		n.Assert(n.state.nodeBudget(enginePool, n.now).Spent, qt.Equals, 1)
	})

	t.Run("one that may not be sent any more when its stages are made is refused at once", func(t *testing.T) {
		n := newNode(t)
		s := n.sent(stream(1, chuteroute.Resumable))
		n.ends(s, EndInputGone)
		n.state.settings.Retries = chutebudget.Settings{}
		n.makeParts()
		n.makeParts()
		refusal := n.expectRefused(RefusedNotRun)
		n.Assert(refusal.Reason, qt.Contains, "the retry budget is used up")
	})

	t.Run("callers that get no repeat are told to come back at different times", func(t *testing.T) {
		n := newNode(t)
		n.state.settings.Retries = chutebudget.Settings{}
		times := map[time.Duration]bool{}
		for handle := range uint64(5) {
			n.ends(n.sent(plain(handle+1, chuteroute.Repeatable)), EndRefused)
			times[n.expectRefused(RefusedNotRun).RetryAfter] = true
		}
		n.Assert(times, qt.HasLen, 5)
	})
}
