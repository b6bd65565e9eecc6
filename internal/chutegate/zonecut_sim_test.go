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

	"azurechute.example/azurechute/internal/chutecore"
	"azurechute.example/azurechute/internal/chutefleet"
)

var zoneCutSeeds = flag.Int("sim.zonecuts", 20, "number of seeds for each size in TestUpstreamsAfterZoneCut")

const (
	// entryLifetime is how long an upstream's entry outlives its last heartbeat.
	entryLifetime = 3600 * time.Millisecond
	// maxEntryReturn is how long after the link's return the entry of a live upstream may be back.
	maxEntryReturn = 2 * time.Second
	// maxLeftUse is how long after the link's return an upstream may be used whose entry is not back.
	maxLeftUse = 3 * time.Second
	// liveUpstreams is the number of upstreams in the zone whose entries come back.
	liveUpstreams = 6
)

// lists reports whether a node has an upstream on its list.
func lists(n *Node, upstream string) bool {
	listed := false
	n.Query(func(s chutecore.State) { _, listed = s.Relay().Fleet().Current(upstream) })

	return listed
}

// zoneCut is a run in which the nodes of the zone z0, and its upstreams, are cut off from everything else.
type zoneCut struct {
	*simCluster

	random *rand.Rand
	cut    []*Node
	live   []string
}

func newZoneCut(t *testing.T, nodes int, seed uint64) *zoneCut {
	z := &zoneCut{simCluster: newSimCluster(t, nodes, 3), random: rand.New(rand.NewPCG(seed, uint64(nodes)))}
	z.store.dialTimeout = 500 * time.Millisecond
	for _, p := range z.peers {
		if p.Zone == "z0" {
			z.cut = append(z.cut, z.nodes[p.Name])
		}
	}
	for i := range liveUpstreams {
		z.live = append(z.live, fmt.Sprint("live", i))
	}
	for _, name := range append([]string{"left"}, z.live...) {
		z.store.put("upstreams", name, string(chutefleet.StateReady))
	}
	time.Sleep(5 * time.Second)

	return z
}

// setZoneCut cuts the zone off, or ends that.
func (z *zoneCut) setZoneCut(cut bool) {
	zones := map[string]string{}
	for _, p := range z.peers {
		zones[p.Name] = p.Zone
		if p.Zone == "z0" {
			z.store.setCutOff(p.Name, cut)
		}
	}
	z.network.setCut(func(from, to string) bool { return cut && (zones[from] == "z0") != (zones[to] == "z0") })
}

// run cuts the zone off for a while. The entries of its upstreams expire meanwhile, and all but one come back.
func (z *zoneCut) run(length time.Duration) {
	z.setZoneCut(true)
	time.Sleep(entryLifetime)
	for _, name := range append([]string{"left"}, z.live...) {
		z.store.put("upstreams", name, "")
	}
	time.Sleep(length - entryLifetime)
	z.setZoneCut(false)
	ended := time.Now()
	for i, name := range z.live {
		time.AfterFunc(maxEntryReturn*time.Duration(i)/(liveUpstreams-1), func() { z.store.put("upstreams", name, string(chutefleet.StateReady)) })
	}
	for time.Since(ended) < 2*maxLeftUse {
		time.Sleep(checkInterval)
		for _, n := range z.cut {
			z.check(n, time.Since(ended))
		}
	}
}

// check checks a node's list, at a time after the link's return.
func (z *zoneCut) check(n *Node, after time.Duration) {
	for _, name := range z.live {
		if !lists(n, name) {
			z.Fatalf("%s has dropped the live upstream %s %v after the link's return\n%s", n.settings.Self.Name, name, after, z.logs[n.settings.Self.Name].tail())
		}
	}
	if after >= maxLeftUse && lists(n, "left") {
		z.Fatalf("%s uses an upstream that has left %v after the link's return\n%s", n.settings.Self.Name, after, z.logs[n.settings.Self.Name].tail())
	}
}

// Guards against nodes of a zone that was cut off which use upstreams for too long whose entries are gone, or drop those
// whose entries only expired during the cut.
func TestUpstreamsAfterZoneCut(t *testing.T) {
	for _, nodes := range []int{8, 36} {
		for seed := range uint64(*zoneCutSeeds) {
			t.Run(fmt.Sprintf("%d nodes, seed %d", nodes, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					z := newZoneCut(t, nodes, seed)
					defer z.stop()
					z.run(entryLifetime + time.Duration(z.random.IntN(3000))*time.Millisecond)
				})
			})
		}
	}
}
