package chuterelay

import (
	"fmt"
	"math"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// regionOf returns the nodes of a region, with size nodes per zone; one in 13 has high power.
func regionOf(zones, size int) []Peer {
	var all []Peer
	for i := range zones * size {
		power := 0.19
		if i%13 == 0 {
			power = 0.8
		}
		all = append(all, Peer{Name: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%zones), Region: "r", Power: power})
	}

	return all
}

func TestSourceFanOut(t *testing.T) {
	// One node of a region reads the store, one node of each other zone follows it, and no node
	// serves many followers.
	for _, size := range []int{4, 13, 39, 80, 200} {
		c := qt.New(t)
		all := regionOf(5, size)
		followers := map[string]int{}
		crossing, readers := 0, 0
		for _, p := range all {
			source, ok := TableSource(p, all)
			switch {
			case !ok:
				readers++
				c.Assert(p.Power, qt.Equals, 0.8)
			case source.Zone != p.Zone:
				crossing++
			}
			followers[source.Name]++
		}
		c.Assert(readers, qt.Equals, 1)
		c.Assert(crossing, qt.Equals, 4)
		delete(followers, "")
		most := max(maxDirectFollowers+crossing, 2*int(math.Ceil(math.Sqrt(float64(size)))))
		for name, n := range followers {
			c.Assert(n <= most, qt.IsTrue, qt.Commentf("%d of %d follow %s", n, size, name))
		}
	}
}

func TestSourceByRegion(t *testing.T) {
	// Each region has a reader of its own.
	c := qt.New(t)
	all := regionOf(4, 5)
	for i := range all {
		if all[i].Zone > "z1" {
			all[i].Region = "s"
		}
	}
	readers := 0
	for _, p := range all {
		source, ok := TableSource(p, all)
		if !ok {
			readers++

			continue
		}
		c.Assert(source.Region, qt.Equals, p.Region)
	}
	c.Assert(readers, qt.Equals, 2)
}

func TestSourceNoCircles(t *testing.T) {
	// Nodes whose lists differ never follow each other in a cycle.
	rapid.Check(t, func(t *rapid.T) {
		// Nodes start, restart, and are known to some nodes and not to others. In a cycle, all
		// would tell each other that they are up to date, with tables that none of them reads
		// from the store any more.
		all := regionOf(rapid.IntRange(1, 3).Draw(t, "zones"), rapid.IntRange(2, 20).Draw(t, "size"))
		next := map[string]string{}
		for _, p := range all {
			known := slices.DeleteFunc(slices.Clone(all), func(o Peer) bool {
				return o.Name != p.Name && rapid.IntRange(0, 2).Draw(t, "unknown") == 0
			})
			if source, ok := TableSource(p, known); ok {
				next[p.Name] = source.Name
			}
		}
		for _, p := range all {
			at := p.Name
			for range len(all) {
				at = next[at]
			}
			if at != "" {
				t.Fatalf("%s follows in a cycle", p.Name)
			}
		}
	})
}

func TestSourceStays(t *testing.T) {
	// When a node leaves, only its followers and a few other nodes get another source.
	c := qt.New(t)
	all := regionOf(2, 80)
	for _, gone := range all {
		rest := slices.DeleteFunc(slices.Clone(all), func(p Peer) bool { return p == gone })
		moved := 0
		for _, p := range rest {
			before, _ := TableSource(p, all)
			after, _ := TableSource(p, rest)
			if before != after && before != gone {
				moved++
			}
		}
		c.Assert(moved <= 30, qt.IsTrue, qt.Commentf("%d moved when %s left", moved, gone.Name))
	}
}

func TestSourceUnlisted(t *testing.T) {
	// A node that is not listed chooses its source as if it were the last on the list.
	c := qt.New(t)
	self := Peer{Name: "n5", Zone: "z0", Region: "r"}
	_, ok := TableSource(self, regionOf(1, 3))
	c.Assert(ok, qt.IsTrue)
	_, ok = TableSource(self, nil)
	c.Assert(ok, qt.IsFalse)
}
