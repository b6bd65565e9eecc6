//go:build !race

// The race detector crashes on timers of a synctest bubble (go1.26).

package chutegate

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chuterelay"
)

const (
	// narrowLinkRate is the number of bytes that the link of most VMs carries in a second.
	narrowLinkRate = 10e6 / 8
	// maxConfigLag is the time within which a configuration has to be in force at all nodes: half of the
	// bound of 3 s of the deployments with such links.
	maxConfigLag = 1500 * time.Millisecond
	// tiers is the number of nodes, one behind the other, that a change passes.
	tiers = 3
	// widePower is the power of the nodes with wide links, and widePerZone their number in each zone.
	widePower   = 4
	widePerZone = 2
	// pipelineBytes is the size of a pipeline's text in a configuration.
	pipelineBytes = 260
)

// maxNodeBytes is the number of bytes that a node on a narrow link may send or receive for one change.
const maxNodeBytes = int64(narrowLinkRate * float64(maxConfigLag) / float64(time.Second) / tiers)

// newNarrowCluster starts nodes in three zones, of which two in each zone have more power than all others
// and pass on most of what the others learn.
func newNarrowCluster(t *testing.T, size int) *simCluster {
	const zones = 3
	var peers []chuterelay.Peer
	for i := range size {
		name := fmt.Sprint("n", i)
		peer := chuterelay.Peer{Name: name, Zone: fmt.Sprint("z", i%zones), Region: "r", Address: name, Power: 1}
		if i < zones*widePerZone {
			peer.Power = widePower
		}
		peers = append(peers, peer)
	}

	return startSimCluster(t, peers, Settings{Tables: testTables, MaxConfigDelay: 2 * maxConfigLag})
}

// largeConfig returns the text of a configuration with a number of pipelines. Those of two versions are
// the same as far as both have them, but for one that has changed.
func largeConfig(version, pipelines int) string {
	var text strings.Builder
	fmt.Fprintln(&text, version)
	for i := range pipelines {
		changedIn := 0
		if i == version {
			changedIn = version
		}
		line := fmt.Sprintf(`{"name":"r-%d-%d","hostname":"h%d.example","prefix":"/%x/"`, i, changedIn, i%7, i*i*2654435761)
		text.WriteString(line + strings.Repeat("-", pipelineBytes-len(line)) + "\n")
	}

	return text.String()
}

// growth is a series of versions of a configuration, with the numbers of their pipelines.
type growth struct {
	name      string
	nodes     int
	before    int
	pipelines []int
	// maxBytes is what a node on a narrow link may send or receive for each version.
	maxBytes int64
}

// Guards against a configuration that is in force too late because each change is sent whole to each
// follower, over links that can't carry that in time.
func TestLargeConfigBytes(t *testing.T) {
	for _, run := range []growth{
		{name: "1,400 pipelines more", nodes: 36, before: 1450, pipelines: []int{2850}, maxBytes: maxNodeBytes},
		{name: "1,400 pipelines more three times in a row", nodes: 65, before: 1450, pipelines: []int{2850, 4250, 5650}, maxBytes: maxNodeBytes},
		{name: "one pipeline of 8,500", nodes: 65, before: 8500, pipelines: []int{8500, 8500}, maxBytes: maxNodeBytes / 10},
	} {
		t.Run(run.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newNarrowCluster(t, run.nodes)
				defer cluster.stop()
				cluster.playGrowth(run)
			})
		})
	}
}

// playGrowth sends a series of versions to the store, and checks how many bytes each node exchanges until
// all have them.
func (cluster *simCluster) playGrowth(run growth) {
	cluster.store.put("config", "c", largeConfig(1, run.before))
	time.Sleep(15 * time.Second)
	for i, pipelines := range run.pipelines {
		version := uint64(i + 2)
		before := cluster.trafficByNode()
		cluster.store.put("config", "c", largeConfig(int(version), pipelines))
		time.Sleep(maxConfigLag)
		for _, p := range cluster.peers {
			cfg, _ := cluster.nodes[p.Name].Config()
			cluster.Assert(cfg.Version, qt.Equals, version)
			sent, received := cluster.trafficOf(p.Name)
			sent, received = sent-before[p.Name].sent, received-before[p.Name].received
			cluster.Assert(received <= run.maxBytes, qt.IsTrue, qt.Commentf("%s received %d bytes for version %d, %d are allowed", p.Name, received, version, run.maxBytes))
			if p.Power < widePower {
				cluster.Assert(sent <= run.maxBytes, qt.IsTrue, qt.Commentf("%s sent %d bytes for version %d, %d are allowed", p.Name, sent, version, run.maxBytes))
			}
		}
	}
}

// nodeTraffic is the number of bytes that a node has exchanged with other nodes.
type nodeTraffic struct{ sent, received int64 }

// trafficOf returns the bytes that a node has sent and received since its start.
func (cluster *simCluster) trafficOf(name string) (sent, received int64) {
	traffic := cluster.nodes[name].peers.Traffic

	return traffic.Sent(), traffic.Received()
}

func (cluster *simCluster) trafficByNode() map[string]nodeTraffic {
	byNode := map[string]nodeTraffic{}
	for name := range cluster.nodes {
		sent, received := cluster.trafficOf(name)
		byNode[name] = nodeTraffic{sent: sent, received: received}
	}

	return byNode
}
