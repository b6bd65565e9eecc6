package chutegate

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutecore"
	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chuterelay"
)

// evacuatedZonesAt returns the zones that a node considers evacuated.
func evacuatedZonesAt(n *Node) []string {
	var zones []string
	n.Query(func(s chutecore.State) { zones = s.Relay().Fleet().EvacuatedZones() })

	return zones
}

// expectEvacuated waits until all nodes consider exactly these zones evacuated.
func (region *testRegion) expectEvacuated(zones ...string) {
	for behind := true; behind; time.Sleep(5 * time.Millisecond) {
		behind = false
		for _, n := range region.nodes {
			behind = behind || !slices.Equal(evacuatedZonesAt(n), zones)
		}
	}
}

// restart starts a killed node again at another address.
func (region *testRegion) restart(t *testing.T, name string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	region.Assert(err, qt.IsNil)
	i := slices.IndexFunc(region.peers, func(p chuterelay.Peer) bool { return p.Name == name })
	region.peers[i].Address = l.Addr().String()
	region.store.put("peers", name, fmt.Sprintf(`{"Name":%q,"Zone":%q,"Region":"r","Address":%q,"Power":1}`, name, region.peers[i].Zone, region.peers[i].Address))
	region.start(t, region.peers[i], l)
}

func TestEvacuationReachesAll(t *testing.T) {
	region := newTestRegion(t, testNodesPerZone)
	region.expectConfig(1)

	t.Run("a zone is evacuated, and every node knows of it", func(*testing.T) {
		region.store.put("config", "evacuate/z1", "{}")
		region.expectEvacuated("z1")
	})

	t.Run("the node that reads the store is killed, and a second zone is evacuated", func(*testing.T) {
		region.kill(region.reader())
		region.store.put("config", "evacuate/z2", "{}")
		region.expectEvacuated("z1", "z2")
	})

	t.Run("a node that starts then knows of both zones before it is ready", func(*testing.T) {
		// Until then the node has no configuration and answers 503. A node that applied the
		// configuration first would send its first requests into the evacuated zone.
		region.kill("n5")
		region.restart(t, "n5")
		n := region.nodes["n5"]
		for !n.Ready() {
			time.Sleep(time.Millisecond)
		}
		region.Assert(evacuatedZonesAt(n), qt.DeepEquals, []string{"z1", "z2"})
	})

	t.Run("the store is unavailable to a whole zone, which learns of a change from the other zone", func(*testing.T) {
		for _, p := range region.peers {
			region.store.setUnavailable(p.Name, p.Zone == "z0")
		}
		region.store.put("config", "evacuate/z1", "")
		region.expectEvacuated("z2")
	})

	t.Run("the store is back after it was unavailable to all nodes", func(*testing.T) {
		for _, p := range region.peers {
			region.store.setUnavailable(p.Name, true)
		}
		region.store.put("config", "evacuate/z3", "{}")
		for _, p := range region.peers {
			region.store.setUnavailable(p.Name, false)
		}
		region.expectEvacuated("z2", "z3")
	})

	t.Run("an evacuation that ends at once leaves nothing behind, with a configuration in between", func(*testing.T) {
		region.store.put("config", "evacuate/z4", "{}")
		region.store.put("config", "c", "2")
		region.store.put("config", "evacuate/z4", "")
		region.expectConfig(2)
		region.expectEvacuated("z2", "z3")
	})
}

func TestEvacuatedZones(t *testing.T) {
	table := func(rows ...chutefeed.Row) chutefeed.Table { return chutefeed.NewTable(rows, 9) }

	t.Run("a configuration that can't be decoded does not hide an evacuation", func(t *testing.T) {
		c := qt.New(t)
		n, _ := newTestNode(Decoders{EvacuatedZone: evacuatedZone})
		c.Assert(n.evacuatedZones(table(
			chutefeed.Row{Key: "c", Value: []byte("{")}, chutefeed.Row{Key: "evacuate/z1"},
		)), qt.DeepEquals, []string{"z1"})
	})

	t.Run("the history with an evacuation was dropped, and the whole table contains it", func(t *testing.T) {
		// The row is written while the node receives nothing, and the store then drops its history.
		// The node's next read is one of the whole table, at a later version.
		c := qt.New(t)
		n, _ := newTestNode(Decoders{EvacuatedZone: evacuatedZone})
		local := newLocalTable("config", minStaleAfter, time.Now)
		local.replaceAll(Page{Version: 3, Rows: []Row{{Key: "c", Value: []byte("1"), Version: 3}}})
		local.requireFullRead()
		c.Assert(local.replaceAll(Page{Version: 8, Rows: []Row{
			{Key: "c", Value: []byte("1"), Version: 3}, {Key: "evacuate/z1", Value: []byte("{}"), Version: 7},
		}}), qt.IsTrue)
		c.Assert(n.evacuatedZones(local.snapshot()), qt.DeepEquals, []string{"z1"})
		c.Assert(local.replaceAll(Page{Version: 5}), qt.IsFalse)
		c.Assert(n.evacuatedZones(local.snapshot()), qt.DeepEquals, []string{"z1"})
	})
}

func TestEvacuationsBeforeConfig(t *testing.T) {
	// The table changes while a node that starts looks at its rows: it follows a node that has sent nothing
	// yet, and its own read of the store arrives. A node that took the zones from the earlier state and the
	// configuration from the later one would be ready, and send its first requests into an evacuated zone.
	c := qt.New(t)
	decode := testDecoders()
	var local *localTable
	var arrive sync.Once
	decode.EvacuatedZone = func(key string) (string, bool) {
		arrive.Do(func() {
			local.mergeChanges(Page{Version: 4, Rows: []Row{
				{Key: "c", Value: []byte("1"), Version: 3}, {Key: "evacuate/z1", Value: []byte("{}"), Version: 4},
			}})
		})

		return evacuatedZone(key)
	}
	n, _ := newTestNode(decode)
	n.settings.Tables.ConfigKey = "c"
	local = n.localTables["c"]
	local.replaceAll(Page{Version: 1, Rows: []Row{{Key: "other", Value: []byte("{}"), Version: 1}}})
	updates := &configUpdates{node: n, local: local, orders: &rolloutOrders{node: n}}

	updates.apply()
	_, ready := n.Config()
	c.Assert(ready, qt.IsFalse)
	c.Assert(n.messages, qt.HasLen, 0)

	updates.apply()
	_, ready = n.Config()
	c.Assert(ready, qt.IsTrue)
	c.Assert((<-n.messages).relayEvent, qt.DeepEquals, chuterelay.Event(chuterelay.ZonesEvacuated{Zones: []string{"z1"}}))
	_, isConfig := (<-n.messages).relayEvent.(chuterelay.ConfigAdopted)
	c.Assert(isConfig, qt.IsTrue)
}
