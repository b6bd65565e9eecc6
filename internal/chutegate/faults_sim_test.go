//go:build !race

// The race detector crashes on timers of a synctest bubble (go1.26).

package chutegate

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// faultKind is the kind of the faults in one run.
type faultKind string

const (
	// faultStore cuts nodes off from the store, faultLinks cuts them off from all other nodes,
	// faultKills kills nodes without notice, and faultStale makes the store answer some nodes with
	// an earlier state.
	faultStore faultKind = "store"
	faultLinks faultKind = "links"
	faultKills faultKind = "kills"
	faultStale faultKind = "old answers"
	faultMixed faultKind = "mixed"
)

const (
	// recoveryTime is how long after the end of its own fault a node is in touch with the store
	// again.
	recoveryTime = 3 * time.Second
	// checkInterval is the time between two checks of all nodes.
	checkInterval = 50 * time.Millisecond
	// faultsPerRun is the number of faults in one run.
	faultsPerRun = 6
)

var (
	simSize  = flag.Int("sim.size", 0, "number of nodes in TestFreshThroughTroubles, in place of the default sizes")
	simSeeds = flag.Int("sim.seeds", 2, "number of seeds for each size and fault in TestFreshThroughTroubles")
)

// Guards against nodes in touch with the store that decide by a configuration or a list of
// upstreams older than the bound, while nodes that they follow are affected by a fault.
func TestFreshThroughTroubles(t *testing.T) {
	sizes := []int{8, 20}
	if *simSize > 0 {
		sizes = []int{*simSize}
	}
	for _, size := range sizes {
		for _, fault := range []faultKind{faultStore, faultLinks, faultKills, faultStale, faultMixed} {
			for seed := range uint64(*simSeeds) {
				t.Run(fmt.Sprint(size, " nodes, ", fault, ", seed ", seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						cluster := newSimCluster(t, size, 4)
						defer cluster.stop()
						newFaultRun(cluster, seed).run(fault)
					})
				})
			}
		}
	}
}

// faultRun is a run of faults, during which configuration and upstreams keep changing.
type faultRun struct {
	*simCluster

	random  *rand.Rand
	version uint64
	// confirmedAt is when each version was confirmed, lastVersion the newest version that each node
	// had.
	confirmedAt map[uint64]time.Time
	lastVersion map[string]uint64
	// checkedFrom is when each node is in touch with the store again; far in the future for a node
	// that a fault affects now.
	checkedFrom map[string]time.Time
	// longestLag is the longest time that a node in touch lacked a version.
	longestLag time.Duration
}

func newFaultRun(cluster *simCluster, seed uint64) *faultRun {
	return &faultRun{
		simCluster: cluster, random: rand.New(rand.NewPCG(seed, uint64(len(cluster.peers)))), version: 1,
		confirmedAt: map[uint64]time.Time{}, lastVersion: map[string]uint64{}, checkedFrom: map[string]time.Time{},
	}
}

func (r *faultRun) run(fault faultKind) {
	time.Sleep(5 * time.Second)
	for range faultsPerRun {
		kind := fault
		if kind == faultMixed {
			kind = []faultKind{faultStore, faultLinks, faultKills, faultStale}[r.random.IntN(4)]
		}
		endFault := r.injectFault(kind)
		r.changeAndCheck(time.Duration(500+r.random.IntN(4000)) * time.Millisecond)
		endFault()
		r.changeAndCheck(time.Duration(r.random.IntN(6000)) * time.Millisecond)
	}
	r.Logf("longest time without a confirmed version: %v", r.longestLag)
}

// injectFault starts a fault at some nodes, more often than not including the one that reads the
// store for the others. It returns a function that ends the fault.
func (r *faultRun) injectFault(fault faultKind) (endFault func()) {
	affected := map[string]bool{}
	for _, p := range r.peers {
		n, up := r.nodes[p.Name]
		if !up {
			continue
		}
		_, follows := n.source()
		if r.random.IntN(4) == 0 || !follows && r.random.IntN(4) > 0 {
			affected[p.Name] = true
			r.checkedFrom[p.Name] = time.Now().Add(time.Hour)
		}
	}
	set := func(on bool) {
		for name := range affected {
			r.setFault(fault, name, on)
		}
		r.network.setCut(func(from, to string) bool { return on && fault == faultLinks && affected[from] != affected[to] })
	}
	set(true)

	return func() {
		set(false)
		for name := range affected {
			r.checkedFrom[name] = time.Now().Add(recoveryTime)
		}
	}
}

// setFault starts or ends the fault of one node.
func (r *faultRun) setFault(fault faultKind, name string, on bool) {
	switch {
	case fault == faultStore || fault == faultLinks:
		// A node that is cut off from the other nodes does not reach the store either.
		r.store.setCutOff(name, on)
	case fault == faultStale:
		r.store.setStale(name, on)
	case fault == faultKills && on:
		r.stops[name]()
		delete(r.nodes, name)
		delete(r.lastVersion, name)
	case fault == faultKills:
		for _, p := range r.peers {
			if p.Name == name {
				r.start(p)
			}
		}
	}
}

// changeAndCheck changes configuration and upstreams at random times, and checks the nodes in
// between.
func (r *faultRun) changeAndCheck(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(checkInterval) {
		if r.random.IntN(6) == 0 {
			r.version++
			r.store.put("config", "c", fmt.Sprint(r.version))
			r.store.put("upstreams", "u", fmt.Sprint(r.version))
			r.confirmedAt[r.version] = time.Now()
		}
		for _, p := range r.peers {
			if n, up := r.nodes[p.Name]; up {
				r.checkNode(p.Name, n)
			}
		}
	}
}

// checkNode checks that a node decides by nothing older than the bound, and that its configuration
// never goes back.
func (r *faultRun) checkNode(name string, n *Node) {
	cfg, _ := n.Config()
	r.Assert(cfg.Version >= r.lastVersion[name], qt.IsTrue, qt.Commentf("%s went back from %d to %d", name, r.lastVersion[name], cfg.Version))
	r.lastVersion[name] = cfg.Version
	if time.Now().Before(r.checkedFrom[name]) {
		return
	}
	row, _ := n.localTables["upstreams"].snapshot().Get("u")
	upstreams, _ := strconv.ParseUint(string(row.Value), 10, 64)
	for what, version := range map[string]uint64{"configuration": cfg.Version, "list of upstreams": upstreams} {
		at, changed := r.confirmedAt[version+1]
		if !changed {
			continue
		}
		lag := time.Since(at)
		r.longestLag = max(r.longestLag, lag)
		r.Assert(lag <= applyBound, qt.IsTrue, qt.Commentf("%s has no %s %d after %v\n%s", name, what, version+1, lag, r.logs[name].tail()))
	}
}
