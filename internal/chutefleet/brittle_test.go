package chutefleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutequota"
)

// brittleFleet returns the fleet of a node that knows one brittle upstream with some slots, beside other nodes.
func brittleFleet(self string, nodes, slots int) (Fleet, time.Time) {
	now := time.Unix(1000, 0)
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprint("n", i))
	}
	f := New("z").WithLimitOwners(chutequota.NewAllocator(self, names))
	f = f.WithList([]Upstream{{ID: "u", Name: "u", Pool: "p", Zone: "z", Slots: slots, State: StateReady}}, false, now)

	return f.WithBrittle("u", 3, now), now
}

// Guards against nodes that together send a brittle upstream more calls than it has slots.
func TestBrittleSlots(t *testing.T) {
	for _, test := range []struct{ nodes, slots, want int }{{1, 4, 3}, {8, 6, 4}, {65, 6, 4}, {3, 64, 48}, {8, 1, 1}} {
		t.Run(fmt.Sprintf("%d nodes, %d slots", test.nodes, test.slots), func(t *testing.T) {
			sent := 0
			for i := range test.nodes {
				f, now := brittleFleet(fmt.Sprint("n", i), test.nodes, test.slots)
				for f.Availability("u", now).IsAvailable() {
					f = f.WithCallSent("u", 0, now)
					sent++
				}
				qt.Assert(t, f.Availability("u", now).Reason, qt.Equals, BlockBrittle)
			}
			qt.Assert(t, sent, qt.Equals, test.want)
		})
	}
}

func TestBrittleEnds(t *testing.T) {
	full := func() (Fleet, time.Time) {
		f, now := brittleFleet("n0", 1, 1)

		return f.WithCallSent("u", 0, now), now
	}

	t.Run("by an answer to a later call that does not say so", func(t *testing.T) {
		f, now := full()
		qt.Assert(t, f.WithoutBrittle("u", now.Add(-time.Second)).Availability("u", now).IsAvailable(), qt.IsFalse)
		qt.Assert(t, f.WithoutBrittle("u", now).Availability("u", now).IsAvailable(), qt.IsTrue)
	})

	t.Run("without any word for its lifetime", func(t *testing.T) {
		f, now := full()
		qt.Assert(t, f.Availability("u", now.Add(brittleLifetime)).IsAvailable(), qt.IsTrue)
	})
}

// Guards against a new process that gets calls without any bound until it says that it is brittle.
func TestBrittleNextProcess(t *testing.T) {
	c := qt.New(t)
	f, now := brittleFleet("n0", 1, 8)
	again := Upstream{ID: "u2", Name: "u", Pool: "p", Zone: "z", Slots: 4, State: StateReady, StartedAt: now}
	f = f.WithCallSent("u", 0, now).WithList([]Upstream{again}, false, now)
	sent := 0
	for ; f.Availability("u2", now).IsAvailable(); sent++ {
		f = f.WithCallSent("u2", 0, now)
	}
	c.Assert(sent, qt.Equals, 3)
	c.Assert(f.WithoutBrittle("u2", now).Availability("u2", now).IsAvailable(), qt.IsTrue)
}
