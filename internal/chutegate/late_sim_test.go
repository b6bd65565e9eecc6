//go:build !race

// The race detector crashes on timers of a synctest bubble (go1.26).

package chutegate

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chuterelay"
)

var (
	lateSize  = flag.Int("sim.late-size", 0, "number of nodes in TestChangeAfterReadersAreLost, in place of the default sizes")
	lateSeeds = flag.Int("sim.late-seeds", 10, "number of seeds for each size and fault in TestChangeAfterReadersAreLost")
)

const (
	// lateMargin is what has to be left of applyBound, for a machine that is slow.
	lateMargin = applyBound / 5
	// lateCheckInterval is the time between two checks.
	lateCheckInterval = 10 * time.Millisecond
)

// readerFault is what the store does to the nodes that read it for others.
type readerFault string

const (
	readersSilent  readerFault = "no answer"
	readersRefused readerFault = "refusals"
	readersStale   readerFault = "old answers"
	readersKilled  readerFault = "readers killed"
)

// Guards against a configuration that is late at nodes that reach the store, because it was
// confirmed just after the nodes that they follow have lost the store.
func TestChangeAfterReadersAreLost(t *testing.T) {
	sizes := []int{8, 36}
	if *lateSize > 0 {
		sizes = []int{*lateSize}
	}
	for _, size := range sizes {
		for _, fault := range []readerFault{readersSilent, readersRefused, readersStale, readersKilled} {
			var longest time.Duration
			for seed := range uint64(*lateSeeds) {
				t.Run(fmt.Sprint(size, " nodes, ", fault, ", seed ", seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						longest = max(longest, playLostReaders(t, size, fault, seed))
					})
				})
			}
			t.Logf("%d nodes, %s: the longest time without the version was %v", size, fault, longest)
		}
	}
}

// playLostReaders makes the readers of a cluster and some other nodes lose the store, confirms a
// version at once, and checks when the remaining nodes have it. It returns the longest time.
func playLostReaders(t *testing.T, size int, fault readerFault, seed uint64) time.Duration {
	random := rand.New(rand.NewPCG(seed, uint64(size)))
	cluster := newSimCluster(t, size, 4)
	defer cluster.stop()
	time.Sleep(10*time.Second + time.Duration(random.IntN(3000))*time.Millisecond)
	intact := cluster.failReaders(fault, random)
	cluster.store.put("config", "c", "2")
	began := time.Now()
	for {
		behind := cluster.behind(intact, 2)
		if len(behind) == 0 {
			return time.Since(began)
		}
		p := behind[0]
		cluster.Assert(time.Since(began) <= applyBound-lateMargin, qt.IsTrue,
			qt.Commentf("%s has no version 2 after %v\n%s", p.Name, time.Since(began), cluster.logs[p.Name].tail()))
		time.Sleep(lateCheckInterval)
	}
}

// failReaders brings a fault upon the nodes that read the store for others, and upon half of the
// other nodes. It returns the nodes that are left.
func (cluster *simCluster) failReaders(fault readerFault, random *rand.Rand) []chuterelay.Peer {
	var intact []chuterelay.Peer
	for _, p := range cluster.peers {
		_, follows := cluster.nodes[p.Name].source()
		if follows && random.IntN(2) == 0 {
			intact = append(intact, p)

			continue
		}
		switch fault {
		case readersSilent:
			cluster.store.setCutOff(p.Name, true)
		case readersRefused:
			cluster.store.setUnavailable(p.Name, true)
		case readersStale:
			cluster.store.setStale(p.Name, true)
		case readersKilled:
			cluster.stops[p.Name]()
		}
	}

	return intact
}

// behind returns those of the nodes that lack a version.
func (cluster *simCluster) behind(nodes []chuterelay.Peer, version uint64) []chuterelay.Peer {
	var behind []chuterelay.Peer
	for _, p := range nodes {
		if cfg, _ := cluster.nodes[p.Name].Config(); cfg.Version < version {
			behind = append(behind, p)
		}
	}

	return behind
}
