//go:build !race

// The race detector crashes on timers of a synctest bubble (go1.26).

package chutegate

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutecore"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteroute"
	"azurechute.example/azurechute/internal/chutework"
)

// workSettleTime is the time within which all nodes know of a change: an interval up, one to another zone and one down, and
// what the start of the streams takes.
const workSettleTime = 600 * time.Millisecond

// reportPace has a node learn the pace of the upstream "u", after which calls are placed by work.
func (cluster *simCluster) reportPace(node string) {
	cluster.nodes[node].sendEvent(chuterelay.WorkReceived{Reports: []chutework.Report{{Upstream: "u", Pace: 100}}})
}

// sendCall has a node send a call with prompt tokens to the upstream "u", which does not answer.
func (cluster *simCluster) sendCall(node string, tokens int64) uint64 {
	n := cluster.nodes[node]
	handle := n.lastHandle.Add(1)
	n.sendEvent(chuterelay.Arrived{Submission: chuterelay.Submission{
		Handle: handle, ID: fmt.Sprint("r", handle), PromptTokens: tokens, Deadline: n.Now().Add(time.Minute),
		Pipeline: chuteroute.Pipeline{Name: "p", MaxAttempts: 1, Targets: []chuteroute.Target{{Weight: 1}}},
	}})

	return handle
}

// outstanding returns the prompt tokens that a node believes the upstream "u" to have outstanding.
func (cluster *simCluster) outstanding(node string) int64 {
	n := cluster.nodes[node]
	tokens := int64(0)
	n.Query(func(s chutecore.State) { tokens = s.Relay().Fleet().OutstandingTokens("u", n.Now()) })

	return tokens
}

// aggregator returns the node that a node takes for the aggregator of its zone; empty if it exchanges no work.
func (cluster *simCluster) aggregator(node string) string {
	n := cluster.nodes[node]
	name := ""
	n.Query(func(s chutecore.State) {
		if view := s.Relay().View(n.Now()); view.Work != nil {
			name = view.Work.Aggregator
		}
	})

	return name
}

// expectOutstanding checks that all nodes know of the tokens, less what they take for processed in the 300 ms between two
// reports of the same sums and in the 300 ms that those are on their way.
func (cluster *simCluster) expectOutstanding(tokens int64) {
	cluster.Helper()
	for name := range cluster.nodes {
		got := cluster.outstanding(name)
		cluster.Assert(got > tokens/4 && got <= tokens, qt.IsTrue, qt.Commentf("%s believes in %d tokens, not %d\n%s", name, got, tokens, cluster.logs[name].tail()))
	}
}

// Guards against nodes that don't learn of each other's calls, and against calls that are counted twice on their way through
// several aggregators.
func TestWorkIsExchanged(t *testing.T) {
	for _, size := range []int{1, 2, 9} {
		for _, zones := range []int{1, 3} {
			t.Run(fmt.Sprint(size, " nodes, ", zones, " zones"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cluster := newSimCluster(t, size, zones)
					defer cluster.stop()
					cluster.store.put("upstreams", "u", string(chutefleet.StateReady))
					time.Sleep(5 * time.Second)
					cluster.Assert(cluster.aggregator("n0"), qt.Equals, "")
					for name := range cluster.nodes {
						cluster.reportPace(name)
					}
					time.Sleep(time.Second)
					handle := cluster.sendCall("n0", 8000)
					time.Sleep(workSettleTime)
					cluster.expectOutstanding(8000)
					time.Sleep(3 * time.Second)
					cluster.expectOutstanding(8000)
					cluster.nodes["n0"].sendEvent(chuterelay.CallerLeft{Handle: handle})
					time.Sleep(workSettleTime)
					for name := range cluster.nodes {
						cluster.Assert(cluster.outstanding(name), qt.Equals, int64(0))
					}
				})
			})
		}
	}
}
