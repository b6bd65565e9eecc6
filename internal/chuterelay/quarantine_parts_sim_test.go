package chuterelay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutequarantine"
)

// badPart begins the elements of parts that crash upstreams.
var badPart = chutequarantine.PartElement("bad")

const (
	// maxPartCrashes is how many upstreams one part may crash, and partDelay how long after its fifth crash connected
	// nodes may still send requests with it.
	maxPartCrashes = 8
	partDelay      = time.Second
	// minServedShare is the least share of sound requests that are answered from soundGrace after the fifth crash on,
	// against the share before.
	minServedShare = 0.95
	soundGrace     = 6 * time.Second
)

// soundCount returns 1 for a sound request with parts in its prompt, and 0 for others.
func soundCount(s Submission) int {
	if len(s.PromptParts) == 0 || poisonIn(s) != "" {
		return 0
	}

	return 1
}

// partDay is a drawn day on which parts of prompts crash upstreams.
type partDay struct {
	*simWorld

	// bad is the number of parts that crash upstreams.
	bad int
	// atOnce is the number of requests with a bad part that come at the same time, and pause the time between.
	atOnce int
	pause  time.Duration
	// place is that of the bad part among the parts, and beside the number of parts that come once.
	place  int
	beside int
	// companion says that a further part is in every prompt that has the bad one.
	companion bool
	// faults says that nodes are killed and cut off and that the store goes away.
	faults        bool
	conversations int
}

// drawPartDay draws a day.
func drawPartDay(t *testing.T, seed uint64, nodes int, faults bool) *partDay {
	t.Helper()
	w := newSimWorld(t, seed, nodes)
	w.boundCrash, w.lateAfter, w.duration = 5, partDelay, 25*time.Second
	if faults {
		w.lateAfter = reconnectGrace
	}
	d := &partDay{
		simWorld: w, bad: 1 + w.random.IntN(2), atOnce: 1, pause: w.between(300*time.Millisecond, 2*time.Second),
		place: w.random.IntN(3), beside: []int{0, 1, 18}[w.random.IntN(3)], companion: w.random.IntN(3) == 0, faults: faults,
	}
	if w.random.IntN(3) == 0 {
		d.atOnce, d.pause = 8, 2*time.Second
	}

	return d
}

// prompt returns the parts of a prompt: one that all share, those of a conversation, and the given ones.
func (d *partDay) prompt(parts ...string) []string {
	d.conversations++
	all := []string{chutequarantine.PartElement("system"), chutequarantine.PartElement(fmt.Sprint("conversation", d.random.IntN(d.conversations)))}

	return append(all, parts...)
}

// sendBad sends requests with a bad part, no two alike.
func (d *partDay) sendBad(which int) {
	for range d.atOnce {
		var more []string
		for i := range d.beside {
			more = append(more, chutequarantine.PartElement(fmt.Sprint("beside", d.events, "-", i)))
		}
		if d.companion {
			more = append(more, chutequarantine.PartElement(fmt.Sprint("companion", which)))
		}
		parts := slices.Insert(d.prompt(more...), d.place, fmt.Sprint(badPart, which))
		d.sendRequest(fmt.Sprint("unlike", d.events), fmt.Sprint("b", d.events), parts...)
	}
}

// play plays the day and checks it.
func (d *partDay) play() {
	d.every(25*time.Millisecond, func() { d.sendRequest(fmt.Sprint("sound", d.events), fmt.Sprint("s", d.events), d.prompt()...) })
	d.after(3*time.Second, func() {
		for which := range d.bad {
			d.every(d.pause, func() { d.sendBad(which) })
		}
	})
	if d.faults {
		d.every(4*time.Second, d.injectFault)
	}
	d.runUntil(start.Add(d.duration))
	d.Check(d.wronglyQuarantined, qt.HasLen, 0)
	for part, n := range d.lateSends {
		d.Check(n <= maxLateSends, qt.IsTrue, qt.Commentf("%s was sent to upstreams %d times more; %d crashed", part, n, d.crashes[part]))
	}
	if d.faults {
		return
	}
	for part, n := range d.crashes {
		// Those that are sent at the same time are on their way before the first crash is known.
		most := max(maxPartCrashes, 2*d.atOnce)
		d.Check(n <= most, qt.IsTrue, qt.Commentf("%s crashed %d upstreams", part, n))
		d.Check(d.servedShare(d.lastCrashAt[part].Add(soundGrace), d.now.Add(-time.Second)) >= minServedShare*d.servedShare(start, start.Add(3*time.Second)), qt.IsTrue)
	}
}

// servedShare returns the share of the sound requests of a span that were answered.
func (d *partDay) servedShare(from, to time.Time) float64 {
	sent, answered := 0, 0
	for second := from.Sub(start)/time.Second + 1; second < to.Sub(start)/time.Second; second++ {
		sent += d.sentSound[second]
		answered += d.answeredSound[second]
	}
	if sent == 0 {
		return 1
	}

	return float64(answered) / float64(sent)
}

// TestCrashingPartAcrossNodes guards against requests that crash one upstream after another, at whatever nodes, by a part
// of their prompts, and against sound requests that are refused for them. Two parts at most, in different places and
// beside others, crash whoever runs requests with them, one after the other or eight at once; sound requests share the
// first part and the workspace with them. Without faults, each part may crash eight upstreams, or as many as are sent
// before the second volley; with nodes killed and cut off and without the store, connected nodes may send it three times
// more.
func TestCrashingPartAcrossNodes(t *testing.T) {
	sizes := map[int]uint64{8: 12, 36: 4}
	if *simLarge {
		sizes = map[int]uint64{8: 200, 36: 60, 195: 12, 985: 2}
	}
	for nodes, seeds := range sizes {
		for seed := range seeds {
			for _, faults := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d nodes, seed %d, faults %v", nodes, seed, faults), func(t *testing.T) {
					drawPartDay(t, seed, nodes, faults).play()
				})
			}
		}
	}
}
