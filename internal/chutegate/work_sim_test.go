//go:build !race

// The race detector crashes on timers of a synctest bubble (go1.26).

package chutegate

import (
	"fmt"
	"math/rand/v2"
	"slices"
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

// newWorkCluster starts nodes that place calls by work, and waits until they exchange it.
func newWorkCluster(t *testing.T, size, zones int) *simCluster {
	cluster := newSimCluster(t, size, zones)
	cluster.store.put("upstreams", "u", string(chutefleet.StateReady))
	time.Sleep(5 * time.Second)
	for name := range cluster.nodes {
		cluster.Assert(cluster.aggregator(name), qt.Equals, "")
		cluster.reportPace(name)
	}
	time.Sleep(time.Second)

	return cluster
}

// expectLearned has a node send a call, and checks that the given nodes know of it within a time, and nobody ever believes in
// more; then the call ends.
func (cluster *simCluster) expectLearned(sender string, within time.Duration, nodes []string) {
	cluster.Helper()
	const tokens = 8000
	handle := cluster.sendCall(sender, tokens)
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		ignorant := ""
		for _, name := range nodes {
			got := cluster.outstanding(name)
			cluster.Assert(got <= tokens, qt.IsTrue, qt.Commentf("%s believes in %d tokens", name, got))
			if got < tokens/4 {
				ignorant = name
			}
		}
		if ignorant == "" {
			cluster.Logf("known after %v", time.Since(began))

			break
		}
		cluster.Assert(time.Since(began) <= within, qt.IsTrue, qt.Commentf("%s does not know after %v\n%s", ignorant, time.Since(began), cluster.logs[ignorant].tail()))
	}
	cluster.nodes[sender].sendEvent(chuterelay.CallerLeft{Handle: handle})
	time.Sleep(2 * time.Second)
	for _, name := range nodes {
		cluster.Assert(cluster.outstanding(name), qt.Equals, int64(0))
	}
}

// expectNeverMore checks for a time that no node believes in more tokens.
func (cluster *simCluster) expectNeverMore(tokens int64, d time.Duration) {
	cluster.Helper()
	for began := time.Now(); time.Since(began) < d; time.Sleep(20 * time.Millisecond) {
		for name := range cluster.nodes {
			got := cluster.outstanding(name)
			cluster.Assert(got <= tokens, qt.IsTrue, qt.Commentf("%s believes in %d tokens after %v", name, got, time.Since(began)))
		}
	}
}

// names returns the nodes of a zone, of all for an empty one, except some.
func (cluster *simCluster) names(zone string, except ...string) []string {
	var names []string
	for _, p := range cluster.peers {
		if (zone == "" || p.Zone == zone) && !slices.Contains(except, p.Name) {
			names = append(names, p.Name)
		}
	}

	return names
}

// Guards against nodes that don't learn of each other's calls, and against calls that are counted twice on their way through
// several aggregators.
func TestWorkIsExchanged(t *testing.T) {
	for _, size := range []int{1, 2, 9} {
		for _, zones := range []int{1, 3} {
			t.Run(fmt.Sprint(size, " nodes, ", zones, " zones"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cluster := newWorkCluster(t, size, zones)
					defer cluster.stop()
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

// workFault is a fault of the aggregator of zone "z0".
type workFault struct {
	name string
	// inject begins the fault, and returns what ends it.
	inject func(cluster *simCluster, aggregator string) func()
	// within is the time from the fault until the other nodes know of each other's calls again.
	within time.Duration
	// returns says that the node is there again after the end of the fault.
	returns bool
}

func workFaults() []workFault {
	return []workFault{
		{name: "killed", within: time.Second, inject: func(cluster *simCluster, aggregator string) func() {
			cluster.stops[aggregator]()
			delete(cluster.nodes, aggregator)

			return func() {}
		}},
		{name: "shutting down", within: time.Second, inject: func(cluster *simCluster, aggregator string) func() {
			// Without the store the list of nodes does not say that it leaves.
			for _, p := range cluster.peers {
				cluster.store.setCutOff(p.Name, true)
			}
			cluster.nodes[aggregator].Drain()

			return func() {}
		}},
		{name: "frozen", within: 5 * time.Second, returns: true, inject: func(cluster *simCluster, aggregator string) func() {
			cluster.network.setHeld(map[string]bool{aggregator: true})

			return func() { cluster.network.setHeld(nil) }
		}},
		{name: "cut off", within: 5 * time.Second, returns: true, inject: func(cluster *simCluster, aggregator string) func() {
			cluster.network.setCut(func(from, to string) bool { return (from == aggregator) != (to == aggregator) })

			return func() { cluster.network.setCut(nil) }
		}},
	}
}

// Guards against nodes that stay without each other's calls after their aggregator has ended, frozen or been cut off, and that
// count calls twice while two aggregators know of them.
func TestWorkAggregatorFails(t *testing.T) {
	for _, fault := range workFaults() {
		t.Run(fault.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newWorkCluster(t, 9, 3)
				defer cluster.stop()
				failed := cluster.aggregator("n0")
				others := cluster.names("", failed)
				cluster.expectLearned(others[0], workSettleTime, others)
				end := fault.inject(cluster, failed)
				cluster.expectLearned(cluster.names("z0", failed)[0], fault.within, others)
				cluster.expectLearned(cluster.names("z1")[0], workSettleTime, others)
				cluster.Assert(cluster.aggregator(cluster.names("z0", failed)[0]), qt.Not(qt.Equals), failed)
				end()
				if fault.returns {
					time.Sleep(2 * maxPauseAfterFault)
					cluster.expectLearned(failed, workSettleTime, cluster.names(""))
					cluster.Assert(cluster.aggregator("n0"), qt.Equals, failed)
				}
			})
		})
	}
}

// maxPauseAfterFault is how long a lost node is skipped at most after it is back.
const maxPauseAfterFault = 8 * time.Second

// Guards against a zone that is cut off and whose nodes don't know of each other's calls any more, and against sums of another
// zone that still count after it was cut off.
func TestWorkOfZoneThatIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newWorkCluster(t, 9, 3)
		defer cluster.stop()
		inZone := func(name string) bool { return slices.Contains(cluster.names("z1"), name) }
		cluster.network.setCut(func(from, to string) bool { return inZone(from) != inZone(to) })
		inside, outside := cluster.names("z1"), append(cluster.names("z0"), cluster.names("z2")...)
		handle := cluster.sendCall(inside[0], 8000)
		time.Sleep(workSettleTime)
		for _, name := range inside {
			cluster.Assert(cluster.outstanding(name) > 2000, qt.IsTrue)
		}
		for _, name := range outside {
			cluster.Assert(cluster.outstanding(name), qt.Equals, int64(0))
		}
		cluster.nodes[inside[0]].sendEvent(chuterelay.CallerLeft{Handle: handle})
		time.Sleep(2 * time.Second)
		cluster.expectLearned(outside[0], 5*time.Second, outside)
		cluster.expectLearned(inside[1], workSettleTime, inside)
		cluster.network.setCut(nil)
		time.Sleep(2 * maxPauseAfterFault)
		cluster.expectLearned(inside[0], workSettleTime, cluster.names(""))
	})
}

// Guards against reports that are delivered late and then count as new: nobody may believe in more tokens than there are, and
// all have to know that a call has ended a second after the last report arrives.
func TestWorkReportsAreLate(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 5))
				cluster := newWorkCluster(t, 6, 2)
				defer cluster.stop()
				for range 10 {
					handle := cluster.sendCall("n0", 8000)
					time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
					cluster.network.setHeld(map[string]bool{fmt.Sprint("n", random.IntN(6)): true, fmt.Sprint("n", random.IntN(6)): true})
					time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
					cluster.nodes["n0"].sendEvent(chuterelay.CallerLeft{Handle: handle})
					cluster.network.setHeld(nil)
					cluster.expectNeverMore(8000, time.Second)
					for name := range cluster.nodes {
						cluster.Assert(cluster.outstanding(name), qt.Equals, int64(0), qt.Commentf("%s", name))
					}
				}
			})
		})
	}
}

// Guards against an upgrade in which nodes of the older build, which know of no exchange, are asked again and again, or keep
// the others from finding an aggregator.
func TestWorkWithOlderBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newSimCluster(t, 0, 1)
		cluster.peers = newPeers(6, 1)
		aggregator, _ := chuterelay.Elect("work|z0", cluster.peers)
		cluster.withoutWork[aggregator.Name] = true
		cluster.store.put("upstreams", "u", string(chutefleet.StateReady))
		for _, p := range cluster.peers {
			cluster.start(p)
		}
		defer cluster.stop()
		time.Sleep(5 * time.Second)
		others := cluster.names("", aggregator.Name)
		for _, name := range others {
			cluster.reportPace(name)
		}
		time.Sleep(time.Second)
		cluster.expectLearned(others[0], workSettleTime, others)
		time.Sleep(time.Minute)
		cluster.expectLearned(others[1], workSettleTime, others)
		for _, name := range others {
			cluster.Assert(cluster.logs[name].count("exchange of work ended"), qt.Equals, 1)
		}
		// The upgrade.
		cluster.stops[aggregator.Name]()
		delete(cluster.withoutWork, aggregator.Name)
		aggregator.Incarnation = "2"
		cluster.start(aggregator)
		time.Sleep(3 * time.Second)
		cluster.reportPace(aggregator.Name)
		time.Sleep(time.Second)
		cluster.expectLearned(aggregator.Name, 2*time.Second, cluster.names(""))
		cluster.Assert(cluster.aggregator(others[0]), qt.Equals, aggregator.Name)
	})
}

// Guards against messages in a system whose upstreams report no pace, and in an idle one whose upstreams do.
func TestWorkIsQuiet(t *testing.T) {
	messages := func(cluster *simCluster) (count, reports int64) {
		for _, n := range cluster.nodes {
			count += n.work.messagesReceived.Load()
			reports += n.work.reportsReceived.Load()
		}

		return count, reports
	}
	synctest.Test(t, func(t *testing.T) {
		cluster := newSimCluster(t, 6, 2)
		defer cluster.stop()
		cluster.store.put("upstreams", "u", string(chutefleet.StateReady))
		time.Sleep(10 * time.Second)
		handle := cluster.sendCall("n0", 8000)
		time.Sleep(10 * time.Second)
		count, _ := messages(cluster)
		cluster.Assert(count, qt.Equals, int64(0))
		cluster.nodes["n0"].sendEvent(chuterelay.CallerLeft{Handle: handle})
		for name := range cluster.nodes {
			cluster.reportPace(name)
		}
		cluster.expectLearned("n1", 2*time.Second, cluster.names(""))
		countBefore, reportsBefore := messages(cluster)
		time.Sleep(100 * time.Second)
		count, reports := messages(cluster)
		cluster.Assert(reports, qt.Equals, reportsBefore)
		// Two of three nodes in each zone have a stream, and the aggregators one to each other, with a keepalive a second each way.
		cluster.Assert(count-countBefore <= 5*2*101 && count-countBefore >= 5*2*85, qt.IsTrue, qt.Commentf("%d messages", count-countBefore))
	})
}
