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

// simTrouble is what a series of troubles consists of.
type faultKind string

const (
	// troubleStore cuts nodes off from the store, troubleLinks nodes from all others,
	// troubleKills ends nodes without a word, and troubleOld has the store answer some nodes with
	// what it held a while ago.
	faultStore faultKind = "store"
	faultLinks faultKind = "links"
	faultKills faultKind = "kills"
	faultStale faultKind = "old answers"
	faultMixed faultKind = "mixed"
)

const (
	// touchAfter is how long after the end of a trouble of its own a node is in touch again.
	recoveryTime = 3 * time.Second
	// judgeEvery is how often nodes are looked at.
	checkInterval = 50 * time.Millisecond
	// spells is the number of troubles in one run.
	faultsPerRun = 6
)

var (
	simSize  = flag.Int("sim.size", 0, "nodes of one more run of TestFreshThroughTroubles")
	simSeeds = flag.Int("sim.seeds", 2, "seeds of each run of TestFreshThroughTroubles")
)

// Guards against nodes in touch with the store that decide by a configuration or a list of
// upstreams that is older than the bound, while nodes that they follow are in trouble.
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
						f := newSimCluster(t, size, 4)
						defer f.stop()
						newFaultRun(f, seed).run(fault)
					})
				})
			}
		}
	}
}

// series is a run of troubles beside changes that never cease.
type faultRun struct {
	*simCluster

	random  *rand.Rand
	version uint64
	// acked are when the versions were confirmed, last the newest one that a node had.
	confirmedAt map[uint64]time.Time
	lastVersion map[string]uint64
	// touch is from when on a node is in touch; in the far future for one in trouble.
	checkedFrom map[string]time.Time
	// worst is the longest time that a node in touch lacked a version.
	longestLag time.Duration
}

func newFaultRun(f *simCluster, seed uint64) *faultRun {
	return &faultRun{
		simCluster: f, random: rand.New(rand.NewPCG(seed, uint64(len(f.peers)))), version: 1,
		confirmedAt: map[uint64]time.Time{}, lastVersion: map[string]uint64{}, checkedFrom: map[string]time.Time{},
	}
}

func (s *faultRun) run(fault faultKind) {
	time.Sleep(5 * time.Second)
	for range faultsPerRun {
		kind := fault
		if kind == faultMixed {
			kind = []faultKind{faultStore, faultLinks, faultKills, faultStale}[s.random.IntN(4)]
		}
		endFault := s.injectFault(kind)
		s.changeAndCheck(time.Duration(500+s.random.IntN(4000)) * time.Millisecond)
		endFault()
		s.changeAndCheck(time.Duration(s.random.IntN(6000)) * time.Millisecond)
	}
	s.Logf("longest time without a confirmed version: %v", s.longestLag)
}

// hit brings trouble to some nodes, the one that reads for the others more often than not, and
// returns what ends it.
func (s *faultRun) injectFault(fault faultKind) (endFault func()) {
	affected := map[string]bool{}
	for _, p := range s.peers {
		n, up := s.nodes[p.Name]
		if !up {
			continue
		}
		_, follows := n.source()
		if s.random.IntN(4) == 0 || !follows && s.random.IntN(4) > 0 {
			affected[p.Name] = true
			s.checkedFrom[p.Name] = time.Now().Add(time.Hour)
		}
	}
	set := func(on bool) {
		for name := range affected {
			s.setFault(fault, name, on)
		}
		s.network.setCut(func(from, to string) bool { return on && fault == faultLinks && affected[from] != affected[to] })
	}
	set(true)

	return func() {
		set(false)
		for name := range affected {
			s.checkedFrom[name] = time.Now().Add(recoveryTime)
		}
	}
}

// set begins or ends the trouble of one node.
func (s *faultRun) setFault(fault faultKind, name string, on bool) {
	switch {
	case fault == faultStore || fault == faultLinks:
		// A node without links does not reach the store either.
		s.store.setCutOff(name, on)
	case fault == faultStale:
		s.store.setStale(name, on)
	case fault == faultKills && on:
		s.stops[name]()
		delete(s.nodes, name)
		delete(s.lastVersion, name)
	case fault == faultKills:
		for _, p := range s.peers {
			if p.Name == name {
				s.start(p)
			}
		}
	}
}

// changeFor changes configuration and upstreams every now and then, and judges the nodes meanwhile.
func (s *faultRun) changeAndCheck(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(checkInterval) {
		if s.random.IntN(6) == 0 {
			s.version++
			s.store.put("config", "c", fmt.Sprint(s.version))
			s.store.put("upstreams", "u", fmt.Sprint(s.version))
			s.confirmedAt[s.version] = time.Now()
		}
		for _, p := range s.peers {
			if n, up := s.nodes[p.Name]; up {
				s.checkNode(p.Name, n)
			}
		}
	}
}

// judge checks that a node decides by nothing older than the bound, and never goes back.
func (s *faultRun) checkNode(name string, n *Node) {
	cfg, _ := n.Config()
	s.Assert(cfg.Version >= s.lastVersion[name], qt.IsTrue, qt.Commentf("%s went back from %d to %d", name, s.lastVersion[name], cfg.Version))
	s.lastVersion[name] = cfg.Version
	if time.Now().Before(s.checkedFrom[name]) {
		return
	}
	row, _ := n.localTables["upstreams"].snapshot().Get("u")
	upstreams, _ := strconv.ParseUint(string(row.Value), 10, 64)
	for what, version := range map[string]uint64{"configuration": cfg.Version, "list of upstreams": upstreams} {
		at, changed := s.confirmedAt[version+1]
		if !changed {
			continue
		}
		lag := time.Since(at)
		s.longestLag = max(s.longestLag, lag)
		s.Assert(lag <= applyBound, qt.IsTrue, qt.Commentf("%s has no %s %d after %v\n%s", name, what, version+1, lag, s.logs[name].tail()))
	}
}
