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
type simTrouble string

const (
	// troubleStore cuts nodes off from the store, troubleLinks nodes from all others,
	// troubleKills ends nodes without a word, and troubleOld has the store answer some nodes with
	// what it held a while ago.
	troubleStore simTrouble = "store"
	troubleLinks simTrouble = "links"
	troubleKills simTrouble = "kills"
	troubleOld   simTrouble = "old answers"
	troubleMixed simTrouble = "mixed"
)

const (
	// touchAfter is how long after the end of a trouble of its own a node is in touch again.
	touchAfter = 3 * time.Second
	// judgeEvery is how often nodes are looked at.
	judgeEvery = 50 * time.Millisecond
	// spells is the number of troubles in one run.
	spells = 6
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
		for _, trouble := range []simTrouble{troubleStore, troubleLinks, troubleKills, troubleOld, troubleMixed} {
			for seed := range uint64(*simSeeds) {
				t.Run(fmt.Sprint(size, " nodes, ", trouble, ", seed ", seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newSimFleet(t, size, 4)
						defer f.stop()
						newSeries(f, seed).run(trouble)
					})
				})
			}
		}
	}
}

// series is a run of troubles beside changes that never cease.
type series struct {
	*simFleet

	random  *rand.Rand
	version uint64
	// acked are when the versions were confirmed, last the newest one that a node had.
	acked map[uint64]time.Time
	last  map[string]uint64
	// touch is from when on a node is in touch; in the far future for one in trouble.
	touch map[string]time.Time
	// worst is the longest time that a node in touch lacked a version.
	worst time.Duration
}

func newSeries(f *simFleet, seed uint64) *series {
	return &series{
		simFleet: f, random: rand.New(rand.NewPCG(seed, uint64(len(f.peers)))), version: 1,
		acked: map[uint64]time.Time{}, last: map[string]uint64{}, touch: map[string]time.Time{},
	}
}

func (s *series) run(trouble simTrouble) {
	time.Sleep(5 * time.Second)
	for range spells {
		kind := trouble
		if kind == troubleMixed {
			kind = []simTrouble{troubleStore, troubleLinks, troubleKills, troubleOld}[s.random.IntN(4)]
		}
		heal := s.hit(kind)
		s.changeFor(time.Duration(500+s.random.IntN(4000)) * time.Millisecond)
		heal()
		s.changeFor(time.Duration(s.random.IntN(6000)) * time.Millisecond)
	}
	s.Logf("longest time without a confirmed version: %v", s.worst)
}

// hit brings trouble to some nodes, the one that reads for the others more often than not, and
// returns what ends it.
func (s *series) hit(trouble simTrouble) (heal func()) {
	hit := map[string]bool{}
	for _, p := range s.peers {
		n, up := s.nodes[p.Name]
		if !up {
			continue
		}
		_, follows := n.source()
		if s.random.IntN(4) == 0 || !follows && s.random.IntN(4) > 0 {
			hit[p.Name] = true
			s.touch[p.Name] = time.Now().Add(time.Hour)
		}
	}
	set := func(on bool) {
		for name := range hit {
			s.set(trouble, name, on)
		}
		s.net.setCut(func(from, to string) bool { return on && trouble == troubleLinks && hit[from] != hit[to] })
	}
	set(true)

	return func() {
		set(false)
		for name := range hit {
			s.touch[name] = time.Now().Add(touchAfter)
		}
	}
}

// set begins or ends the trouble of one node.
func (s *series) set(trouble simTrouble, name string, on bool) {
	switch {
	case trouble == troubleStore || trouble == troubleLinks:
		// A node without links does not reach the store either.
		s.store.setCut(name, on)
	case trouble == troubleOld:
		s.store.setOld(name, on)
	case trouble == troubleKills && on:
		s.stops[name]()
		delete(s.nodes, name)
		delete(s.last, name)
	case trouble == troubleKills:
		for _, p := range s.peers {
			if p.Name == name {
				s.start(p)
			}
		}
	}
}

// changeFor changes configuration and upstreams every now and then, and judges the nodes meanwhile.
func (s *series) changeFor(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(judgeEvery) {
		if s.random.IntN(6) == 0 {
			s.version++
			s.store.put("config", "c", fmt.Sprint(s.version))
			s.store.put("upstreams", "u", fmt.Sprint(s.version))
			s.acked[s.version] = time.Now()
		}
		for _, p := range s.peers {
			if n, up := s.nodes[p.Name]; up {
				s.judge(p.Name, n)
			}
		}
	}
}

// judge checks that a node decides by nothing older than the bound, and never goes back.
func (s *series) judge(name string, n *Node) {
	cfg, _ := n.Config()
	s.Assert(cfg.Version >= s.last[name], qt.IsTrue, qt.Commentf("%s went back from %d to %d", name, s.last[name], cfg.Version))
	s.last[name] = cfg.Version
	if time.Now().Before(s.touch[name]) {
		return
	}
	row, _ := n.watches["upstreams"].snapshot().Get("u")
	upstreams, _ := strconv.ParseUint(string(row.Value), 10, 64)
	for what, version := range map[string]uint64{"configuration": cfg.Version, "list of upstreams": upstreams} {
		at, changed := s.acked[version+1]
		if !changed {
			continue
		}
		lacks := time.Since(at)
		s.worst = max(s.worst, lacks)
		s.Assert(lacks <= applyBound, qt.IsTrue, qt.Commentf("%s has no %s %d after %v\n%s", name, what, version+1, lacks, s.logs[name].last()))
	}
}
