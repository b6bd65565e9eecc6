package chutefleet

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// listedFleet returns a fleet of upstreams, with some zones evacuated.
func listedFleet(upstreams []Upstream, evacuated ...string) Fleet {
	return New("z1").WithList(upstreams, false, start).WithEvacuated(evacuated, start)
}

func upstreamIn(id, pool, zone string, state State) Upstream {
	return Upstream{ID: id, Name: id, Pool: pool, Zone: zone, State: state}
}

// zonesOf returns the zones of upstreams, each once.
func zonesOf(upstreams []Upstream) map[string]bool {
	zones := map[string]bool{}
	for i := range upstreams {
		zones[upstreams[i].Zone] = true
	}

	return zones
}

// Guards against probes of one zone alone, whose loss makes nodes of other zones count themselves as cut off.
func TestRandomUpstreamsOfAllZones(t *testing.T) {
	for _, pools := range []int{1, 2, 5} {
		for _, zones := range []int{2, 3} {
			t.Run(fmt.Sprintf("%d pools, %d zones", pools, zones), func(t *testing.T) {
				var all []Upstream
				for i := range 60 {
					all = append(all, upstreamIn(fmt.Sprint("u", i), fmt.Sprint("p", i%pools), fmt.Sprint("z", i/pools%zones), StateReady))
				}
				for random := range 100 {
					chosen := listedFleet(all).RandomUpstreams(4, float64(random)/100)
					qt.Assert(t, chosen, qt.HasLen, 4)
					qt.Assert(t, zonesOf(chosen), qt.HasLen, zones, qt.Commentf("%v", chosen))
				}
			})
		}
	}

	t.Run("zones without a ready upstream are passed over", func(t *testing.T) {
		fleet := listedFleet([]Upstream{upstreamIn("a", "p", "z1", StateLeaving), upstreamIn("b", "p", "z2", StateReady)})
		for random := range 100 {
			qt.Assert(t, fleet.RandomUpstreams(4, float64(random)/100), qt.HasLen, 1)
		}
	})
}

// Guards against upstreams that are overlooked, drawn twice, or drawn though they leave or their zone is evacuated.
func TestRandomUpstreamsAreReady(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Upstream
		ready := 0
		for i := range rapid.IntRange(0, 12).Draw(t, "upstreams") {
			u := upstreamIn(
				fmt.Sprint("u", i), rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "pool"),
				rapid.SampledFrom([]string{"z1", "z2", "z3"}).Draw(t, "zone"), rapid.SampledFrom([]State{StateReady, StateLeaving}).Draw(t, "state"),
			)
			if u.State == StateReady && u.Zone != "z3" {
				ready++
			}
			all = append(all, u)
		}
		n := rapid.IntRange(1, 6).Draw(t, "n")
		chosen := listedFleet(all, "z3").RandomUpstreams(n, rapid.Float64Range(0, 0.999).Draw(t, "random"))
		ids := map[string]bool{}
		for _, u := range chosen {
			ids[u.ID] = u.State == StateReady && u.Zone != "z3"
		}
		if len(chosen) != min(n, ready) || len(ids) != len(chosen) {
			t.Fatalf("%d of %d ready upstreams: %v", len(chosen), ready, chosen)
		}
		for id, ok := range ids {
			if !ok {
				t.Fatalf("%s is not ready, or its zone is evacuated", id)
			}
		}
	})
}
