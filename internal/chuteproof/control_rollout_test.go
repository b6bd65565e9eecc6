package chuteproof

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	rolloutFaultsEnd = 40 * time.Second
	rolloutEnd       = 70 * time.Second
	// inForceLimit is "within seconds" of the standing request, as docs/PROOFS.md states it.
	inForceLimit = 6 * time.Second
)

// rolloutTrace is one drawn run of nodes in three zones while operators publish.
type rolloutTrace struct {
	seed      uint64
	hosts     int
	latency   time.Duration
	lossy     int
	incidents []incident
	publishes []time.Duration
	seeded    bool
}

func drawIncidents(rt *rapid.T, kinds []incidentKind, from, until time.Duration, most int) []incident {
	one := rapid.Custom(func(rt *rapid.T) incident {
		return incident{
			kind: rapid.SampledFrom(kinds).Draw(rt, "kind"),
			at:   drawMillis(rt, "at", from, until),
			span: drawMillis(rt, "span", 500*time.Millisecond, (until-from)/3),
			node: rapid.IntRange(0, 8).Draw(rt, "node"),
		}
	})

	n := rapid.IntRange(0, most).Draw(rt, "number")

	return rapid.SliceOfN(one, n, n).Draw(rt, "incidents")
}

func drawMillis(rt *rapid.T, label string, least, most time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(least.Milliseconds(), most.Milliseconds()).Draw(rt, label)) * time.Millisecond
}

func drawRollout(rt *rapid.T) rolloutTrace {
	tr := calmRollout(rt)
	tr.lossy = rapid.SampledFrom([]int{0, 50, 300}).Draw(rt, "lossy")
	tr.incidents = drawIncidents(rt, []incidentKind{
		incidentOutage, incidentObjectsDown, incidentStaleHead, incidentCrossedBodies, incidentCut,
		incidentPeersLost, incidentPaused, incidentReplaced,
	}, 3*time.Second, rolloutFaultsEnd*2/3, 10)

	return tr
}

// calmRollout is a run without faults.
func calmRollout(rt *rapid.T) rolloutTrace {
	tr := rolloutTrace{
		seed:    rapid.Uint64().Draw(rt, "seed"),
		hosts:   rapid.IntRange(2, 9).Draw(rt, "hosts"),
		latency: drawMillis(rt, "latency", time.Millisecond, 200*time.Millisecond),
		seeded:  rapid.Bool().Draw(rt, "seeded"),
	}
	at := time.Duration(0)
	for range rapid.IntRange(1, 8).Draw(rt, "publishes") {
		tr.publishes = append(tr.publishes, at)
		at += drawMillis(rt, "later", 100*time.Millisecond, rolloutFaultsEnd/8)
	}

	return tr
}

// play runs the trace on one kind of node and returns the world at its end.
func (tr rolloutTrace) play(make func(h *controlHost) controlProcess, until time.Duration) *controlWorld {
	w := newControlWorld(tr.seed, tr.latency, tr.lossy, tr.incidents)
	for _, at := range tr.publishes {
		w.after(at, func() { w.store.publish(w.now) })
	}
	w.make = make
	w.seeded = tr.seeded
	for i := range tr.hosts {
		w.launch(i, fmt.Sprintf("zone-%d", i%3), fmt.Sprintf("zone-%d", i%3))
	}
	w.beginAll()
	w.after(rolloutFaultsEnd, func() { w.lossy = 0 })
	w.run(until)

	return w
}

// naivePoller takes whatever the table says last, and starts from the file that it was delivered with.
type naivePoller struct {
	h    *controlHost
	next time.Time
}

func newNaivePoller(h *controlHost) controlProcess { return &naivePoller{h: h} }

func (n *naivePoller) begin([]*controlHost) {}
func (n *naivePoller) drain()               {}
func (n *naivePoller) takesWork() bool      { return true }

func (n *naivePoller) tick() {
	w := n.h.w
	if w.now.Before(n.next) {
		return
	}
	n.next = w.now.Add(time.Second)
	w.call(n.h, storeCall{failed: func(bool) {}, apply: func() func() {
		version := w.headSeen()

		return func() {
			if version > 0 {
				n.fetch(version)
			}
		}
	}})
}

func (n *naivePoller) fetch(version uint64) {
	w := n.h.w
	w.call(n.h, storeCall{objects: true, failed: func(bool) {}, apply: func() func() {
		content := markOf(w.store.configOf(w.bodySeen(version)))

		return func() { n.h.adopted(version, content) }
	}})
}

// judgeConfiguration: no version goes down or has another's content, every node ends at the last accepted version,
// none takes work without one, and without faults a version is in force everywhere in time.
func judgeConfiguration(w *controlWorld) judgement {
	var j judgement
	for _, h := range w.hosts {
		last := uint64(0)
		for _, a := range h.adoptions {
			if a.version < last {
				j.add("Reverted: %s went from version %d to %d after %v", h.incarnation, last, a.version, a.at.Sub(w.start))
			}
			if a.content != a.version {
				j.add("Content: %s has the content of %d as version %d", h.incarnation, a.content, a.version)
			}
			last = a.version
		}
		if h.workTakenBlank > 0 {
			j.add("Blank: %s would have taken work %d times before it had a version", h.incarnation, h.workTakenBlank)
		}
		if !h.dead && last != w.store.head() {
			j.add("Behind: %s ended at version %d of %d", h.incarnation, last, w.store.head())
		}
	}
	if slowest := w.slowestInForce(); w.faults == 0 && slowest >= inForceLimit {
		j.add("Slow: a version took %v until it was in force everywhere", slowest)
	}

	return j
}

// slowestInForce is the longest time from the writing of a version to its being in force, or a later one, everywhere.
func (w *controlWorld) slowestInForce() time.Duration {
	slowest := time.Duration(0)
	for _, h := range w.hosts {
		for i, published := range w.store.heads {
			for _, a := range h.adoptions {
				if a.version > uint64(i) {
					slowest = max(slowest, a.at.Sub(published))

					break
				}
			}
		}
	}

	return slowest
}

func (w *controlWorld) adoptionsMade() int {
	n := 0
	for _, h := range w.hosts {
		n += len(h.adoptions)
	}

	return n
}

// blankProbes counts how often a host without a version was asked to take work.
func (w *controlWorld) blankProbes() int {
	n := 0
	for _, h := range w.hosts {
		n += h.probes
	}

	return n
}

// Operators publish while the table has an outage, serves an old head or another version's body, a zone is cut off,
// and nodes are replaced in the middle of it. Callers of the naive nodes get yesterday's pipelines back, or work is
// taken under a file that may be old; ours only move up, check the digest, and take nothing before the first version.
func TestProofConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	comparison[rolloutTrace]{
		name: "ConfigurationNeverReverts", draw: drawRollout, needs: []string{"adoptions", "hosts replaced", "requests turned away blank"},
		play: func(tr rolloutTrace, naive bool) ending {
			make := newCoreNode
			if naive {
				make = newNaivePoller
			}
			w := tr.play(make, rolloutEnd)

			return ending{judgement: judgeConfiguration(w), faults: w.faults, counts: map[string]int{
				"adoptions": w.adoptionsMade(), "hosts replaced": len(w.hosts) - tr.hosts,
				"requests turned away blank": w.blankProbes(),
			}}
		},
	}.run(t)
	t.Run("WithinSeconds", func(t *testing.T) {
		t.Parallel()
		slowest, runs, versions := time.Duration(0), 0, 0
		rapid.Check(t, func(rt *rapid.T) {
			tr := calmRollout(rt)
			w := tr.play(newCoreNode, tr.publishes[len(tr.publishes)-1]+2*inForceLimit)
			if j := judgeConfiguration(w); len(j) > 0 {
				rt.Fatalf("%s", j)
			}
			runs++
			versions += len(w.store.heads)
			slowest = max(slowest, w.slowestInForce())
		})
		qt.Assert(t, slowest > 0 && slowest < inForceLimit, qt.IsTrue)
		fmt.Printf("proof ConfigurationNeverReverts: without faults, %d traces, %d versions, slowest in force everywhere after %v\n",
			runs, versions, slowest)
	})
}
