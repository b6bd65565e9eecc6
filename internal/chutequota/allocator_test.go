package chutequota

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func nodeNames(n int) []string {
	all := make([]string, 0, n)
	for i := range n {
		all = append(all, fmt.Sprint("n", i))
	}

	return all
}

func TestQuota(t *testing.T) {
	for _, test := range []struct{ nodes, total, nodesWithQuota int }{
		{nodes: 1, total: 13, nodesWithQuota: 1},
		{nodes: 8, total: 13, nodesWithQuota: 8},
		{nodes: 65, total: 13, nodesWithQuota: 13},
		{nodes: 400, total: 1, nodesWithQuota: 1},
	} {
		t.Run(fmt.Sprintf("%d nodes share %d units", test.nodes, test.total), func(t *testing.T) {
			c := qt.New(t)
			all := nodeNames(test.nodes)
			sum, nodesWithQuota := 0, 0
			for _, node := range all {
				quota := NewAllocator(node, all).Quota("u", test.total)
				sum += quota
				if quota > 0 {
					nodesWithQuota++
				}
			}
			c.Assert(sum, qt.Equals, test.total)
			c.Assert(nodesWithQuota, qt.Equals, test.nodesWithQuota)
		})
	}

	t.Run("a node that is not on its list, or has no list, gets nothing", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(NewAllocator("n0", nil).Quota("u", 13), qt.Equals, 0)
		c.Assert(NewAllocator("n0", []string{"n1"}).Quota("u", 13), qt.Equals, 0)
	})

	t.Run("lists that differ in n nodes divide at most n units too many", rapid.MakeCheck(func(t *rapid.T) {
		// Nodes have left, and each of the others learns of it at its own time.
		all := nodeNames(rapid.IntRange(20, 80).Draw(t, "nodes"))
		removed := rapid.IntRange(0, 6).Draw(t, "removed")
		total := rapid.IntRange(1, 18).Draw(t, "total")
		remaining := slices.Clone(all[removed:])
		sum := 0
		for _, node := range all {
			list := all
			if rapid.Bool().Draw(t, "updated") {
				list = remaining
			}
			sum += NewAllocator(node, list).Quota("u", total)
		}
		if sum > total+removed {
			t.Fatalf("%d units instead of %d with %d nodes removed", sum, total, removed)
		}
	}))
}
