package chuteproof

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"azurechute.example/azurechute/internal/chuterequest"
)

func compareText(a, b string) int {
	return cmp.Compare(a, b)
}

// trace is one drawn run: which fates the calls meet, who is killed, what is sent again.
type trace struct {
	seed         uint64
	fates        []fate
	requests     int
	unrepeatable bool
	resend       bool
	kill         bool
	claimFaults  []bool
}

func drawTrace(t *rapid.T, allowed []fate) trace {
	return trace{
		seed:         rapid.Uint64().Draw(t, "seed"),
		fates:        rapid.SliceOfN(rapid.SampledFrom(allowed), 1, 30).Draw(t, "fates"),
		requests:     rapid.IntRange(2, 12).Draw(t, "requests"),
		unrepeatable: rapid.Bool().Draw(t, "unrepeatable"),
		resend:       rapid.Bool().Draw(t, "resend"),
		kill:         rapid.Bool().Draw(t, "kill"),
		claimFaults:  rapid.SliceOfN(rapid.Bool(), 0, 6).Draw(t, "claimFaults"),
	}
}

// makeNode builds a router into a world.
type makeNode func(w *world, node int) router

func traceNaive(w *world, node int) router { return newNaive(w, node) }
func traceOurs(w *world, node int) router   { return newOurs(w, node) }

// play runs a trace on two nodes and returns the world at its end.
func (tr trace) play(make makeNode) *world {
	next := 0
	w := newWorld(tr.seed, func(call) fate {
		next++

		return tr.fates[(next-1)%len(tr.fates)]
	})
	claims := 0
	w.claimFault = func() bool {
		claims++

		return claims <= len(tr.claimFaults) && tr.claimFaults[claims-1]
	}
	w.nodes = []router{make(w, 0), make(w, 1)}
	w.after(0, w.ticks)
	for i := range tr.requests {
		key := chuterequest.Key{Workspace: "members", RequestID: fmt.Sprintf("r%d", i)}
		w.after(time.Duration(i)*5*time.Millisecond, func() { w.submit(0, uint64(i+1), key, tr.unrepeatable) })
		if tr.resend {
			w.after(time.Duration(i)*5*time.Millisecond+30*time.Millisecond, func() {
				w.submit(1, uint64(1000+i), key, tr.unrepeatable)
			})
		}
	}
	if tr.kill {
		w.after(45*time.Millisecond, func() { w.kill(0) })
	}
	w.run(3 * worldDeadline)

	return w
}

// proof is one differential proof over drawn traces.
type proof struct {
	name  string
	fates []fate
	judge func(w *world) judgement
	// shape narrows the drawn traces to those that the proof is about.
	shape func(tr trace) trace
}

// run shows the fault on the naive router, then its absence on ours, and prints what was tried.
func (p proof) run(t *testing.T) {
	t.Run("Naive", func(t *testing.T) {
		broken, runs := 0, 0
		rapid.Check(t, func(rt *rapid.T) {
			runs++
			if len(p.judge(p.drawn(rt).play(traceNaive))) > 0 {
				broken++
			}
		})
		qt.Assert(t, broken > 0, qt.IsTrue, qt.Commentf("the naive router passed all %d traces", runs))
		fmt.Printf("proof %s: naive broke in %d of %d traces\n", p.name, broken, runs)
	})
	t.Run("Azurechute", func(t *testing.T) {
		runs, faults, answered := 0, 0, 0
		rapid.Check(t, func(rt *rapid.T) {
			runs++
			w := p.drawn(rt).play(traceOurs)
			faults += w.faults
			for _, told := range w.tolds {
				if told.outcome.Kind == chuterequest.OutcomeAnswered {
					answered++
				}
			}
			if j := p.judge(w); len(j) > 0 {
				rt.Fatalf("%s", j)
			}
		})
		qt.Assert(t, answered > 0, qt.IsTrue)
		fmt.Printf("proof %s: azurechute held in %d traces, %d faults, %d answers\n", p.name, runs, faults, answered)
	})
}

func (p proof) drawn(rt *rapid.T) trace {
	tr := drawTrace(rt, p.fates)
	if p.shape != nil {
		tr = p.shape(tr)
	}

	return tr
}
