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
	for _, test := range []struct{ nodes, calls, owners int }{
		{nodes: 1, calls: 13, owners: 1},
		{nodes: 8, calls: 13, owners: 8},
		{nodes: 65, calls: 13, owners: 13},
		{nodes: 400, calls: 1, owners: 1},
	} {
		t.Run(fmt.Sprintf("%d nodes send %d calls together", test.nodes, test.calls), func(t *testing.T) {
			c := qt.New(t)
			all := names(test.nodes)
			sum, owners := 0, 0
			for _, node := range all {
				quota := NewOwners(node, all).Quota("u", test.calls)
				sum += quota
				if quota > 0 {
					owners++
				}
			}
			c.Assert(sum, qt.Equals, test.calls)
			c.Assert(owners, qt.Equals, test.owners)
		})
	}

	t.Run("a node that is not on its list, or knows none, sends nothing", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(NewOwners("n0", nil).Quota("u", 13), qt.Equals, 0)
		c.Assert(NewOwners("n0", []string{"n1"}).Quota("u", 13), qt.Equals, 0)
	})

	t.Run("lists that differ by some nodes let through as many calls more at most", rapid.MakeCheck(func(t *rapid.T) {
		// Nodes come and go, and the others hear of it one by one.
		all := names(rapid.IntRange(20, 80).Draw(t, "nodes"))
		gone := rapid.IntRange(0, 6).Draw(t, "gone")
		calls := rapid.IntRange(1, 18).Draw(t, "calls")
		fewer := slices.Clone(all[gone:])
		sum := 0
		for _, node := range all {
			list := all
			if rapid.Bool().Draw(t, "heard") {
				list = fewer
			}
			sum += NewOwners(node, list).Quota("u", calls)
		}
		if sum > calls+gone {
			t.Fatalf("%d calls in place of %d with %d nodes gone", sum, calls, gone)
		}
	}))
}
