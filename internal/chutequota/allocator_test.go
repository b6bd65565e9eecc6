package chutequota

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func names(n int) []string {
	all := make([]string, 0, n)
	for i := range n {
		all = append(all, fmt.Sprint("n", i))
	}

	return all
}

func TestQuota(t *testing.T) {
	for _, test := range []struct{ nodes, whole, owners int }{
		{nodes: 1, whole: 13, owners: 1},
		{nodes: 8, whole: 13, owners: 8},
		{nodes: 65, whole: 13, owners: 13},
		{nodes: 400, whole: 1, owners: 1},
	} {
		t.Run(fmt.Sprintf("%d nodes share %d units", test.nodes, test.whole), func(t *testing.T) {
			c := qt.New(t)
			all := names(test.nodes)
			sum, owners := 0, 0
			for _, node := range all {
				quota := NewAllocator(node, all).Quota("u", test.whole)
				sum += quota
				if quota > 0 {
					owners++
				}
			}
			c.Assert(sum, qt.Equals, test.whole)
			c.Assert(owners, qt.Equals, test.owners)
		})
	}

	t.Run("a node that is not on its list, or knows none, owns nothing", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(NewAllocator("n0", nil).Quota("u", 13), qt.Equals, 0)
		c.Assert(NewAllocator("n0", []string{"n1"}).Quota("u", 13), qt.Equals, 0)
	})

	t.Run("lists that differ by some nodes deal out as many units more at most", rapid.MakeCheck(func(t *rapid.T) {
		// Nodes come and go, and the others hear of it one by one.
		all := names(rapid.IntRange(20, 80).Draw(t, "nodes"))
		gone := rapid.IntRange(0, 6).Draw(t, "gone")
		whole := rapid.IntRange(1, 18).Draw(t, "whole")
		fewer := slices.Clone(all[gone:])
		sum := 0
		for _, node := range all {
			list := all
			if rapid.Bool().Draw(t, "heard") {
				list = fewer
			}
			sum += NewAllocator(node, list).Quota("u", whole)
		}
		if sum > whole+gone {
			t.Fatalf("%d units in place of %d with %d nodes gone", sum, whole, gone)
		}
	}))
}
