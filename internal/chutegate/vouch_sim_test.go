//go:build !race

// The race detector crashes on timers of a synctest bubble (go1.26).

package chutegate

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chuterelay"
)

const (
	// vouchCheckInterval is the time between two checks of all nodes.
	vouchCheckInterval = 10 * time.Millisecond
	// troublesPerRun is the number of troubles in one run.
	troublesPerRun = 8
	// maxHoldTime is how long connections are held up at most: just less than a follower takes to
	// find its source silent.
	maxHoldTime = 850 * time.Millisecond
	// maxAnswerDelay is how long an answer of the store is on its way at most.
	maxAnswerDelay = 450 * time.Millisecond
)

var vouchSeeds = flag.Int("sim.vouch-seeds", 6, "number of seeds for each kind of delay in TestVouchedTables")

// delayKind is what arrives late in one run.
type delayKind string

const (
	delaySigns   delayKind = "signs of sources"
	delayAnswers delayKind = "answers of the store"
	delayBoth    delayKind = "both"
)

// Guards against a node that takes its table for newer than it is, because a message or an answer
// was on its way for long, and refuses callers for good by an old configuration.
func TestVouchedTables(t *testing.T) {
	for _, kind := range []delayKind{delaySigns, delayAnswers, delayBoth} {
		for seed := range uint64(*vouchSeeds) {
			t.Run(fmt.Sprint(kind, ", seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					newVouchRun(t, kind, seed).run()
				})
			})
		}
	}
}

// vouchRun is a run of delays and lost readers, during which the configuration keeps changing.
type vouchRun struct {
	*simCluster

	kind    delayKind
	random  *rand.Rand
	version uint64
	// committedAt is when each version was confirmed by the store.
	committedAt map[uint64]time.Time
}

func newVouchRun(t *testing.T, kind delayKind, seed uint64) *vouchRun {
	random := rand.New(rand.NewPCG(seed, 7))
	cluster := newSimCluster(t, 8+4*int(seed%3), 4)

	return &vouchRun{simCluster: cluster, kind: kind, random: random, version: 1, committedAt: map[uint64]time.Time{}}
}

// delays reports whether a kind of delay is part of this run.
func (r *vouchRun) delays(kind delayKind) bool {
	return r.kind == kind || r.kind == delayBoth
}

func (r *vouchRun) run() {
	defer r.stop()
	defer r.network.setHeld(nil)
	time.Sleep(5 * time.Second)
	for range troublesPerRun {
		r.delaySome()
		time.Sleep(r.upTo(100 * time.Millisecond))
		r.cutOffReaders(r.random)
		r.changeAndCheck(r.upTo(maxHoldTime))
		r.network.setHeld(nil)
		r.changeAndCheck(2500 * time.Millisecond)
		r.endTrouble()
		r.changeAndCheck(4 * time.Second)
	}
}

// upTo returns a random time below limit.
func (r *vouchRun) upTo(limit time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(limit)))
}

// delaySome holds up the connections of some nodes, or delays the store's answers to them.
func (r *vouchRun) delaySome() {
	held := map[string]bool{}
	for _, p := range r.peers {
		if r.delays(delaySigns) && r.random.IntN(3) == 0 {
			held[p.Name] = true
		}
		if r.delays(delayAnswers) && r.random.IntN(2) == 0 {
			r.store.setAnswerDelay(p.Name, r.upTo(maxAnswerDelay))
		}
	}
	r.network.setHeld(held)
}

// endTrouble ends everything that delaySome and cutOffReaders have begun.
func (r *vouchRun) endTrouble() {
	for _, p := range r.peers {
		r.store.setCutOff(p.Name, false)
		r.store.setAnswerDelay(p.Name, 0)
	}
}

// changeAndCheck changes the configuration at random times, and checks all nodes in between.
func (r *vouchRun) changeAndCheck(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(vouchCheckInterval) {
		if r.random.IntN(40) == 0 {
			r.version++
			r.store.put("config", "c", fmt.Sprint(r.version))
			r.store.put("upstreams", "u", fmt.Sprint(r.version))
			r.committedAt[r.version] = time.Now()
		}
		for _, p := range r.peers {
			n := r.nodes[p.Name]
			r.expectTrueAge(n, "config", "c")
			r.expectTrueAge(n, "upstreams", "u")
			r.expectVouchedRefusal(n)
		}
	}
}

// expectTrueAge checks that a node's table holds what the store had confirmed at the time as of
// which the node takes the table for up to date.
func (r *vouchRun) expectTrueAge(n *Node, table, key string) {
	local := n.localTables[table]
	age, known := local.age(n.Now())
	if !known {
		return
	}
	row, _ := local.snapshot().Get(key)
	version, _ := strconv.ParseUint(string(row.Value), 10, 64)
	at, changed := r.committedAt[version+1]
	if !changed {
		return
	}
	r.Assert(time.Since(at) <= age, qt.IsTrue, qt.Commentf(
		"%s lacks %s %d, confirmed %v ago, and takes its table to be %v old\n%s",
		n.settings.Self.Name, table, version+1, time.Since(at), age, r.logs[n.settings.Self.Name].tail()))
}

// expectVouchedRefusal sends a request that no configuration allows, and checks that it is refused
// for good only by a configuration that lacks nothing that was confirmed before the bound.
func (r *vouchRun) expectVouchedRefusal(n *Node) {
	cfg, _ := n.Config()
	var refusal chuterelay.Refusal
	n.Serve(context.Background(), &IncomingRequest{Path: "/unknown/"}, Output{Refuse: func(given chuterelay.Refusal) { refusal = given }})
	at, changed := r.committedAt[cfg.Version+1]
	if refusal.Kind == chuterelay.RefusedNotRun || !changed {
		return
	}
	r.Assert(time.Since(at) <= applyBound, qt.IsTrue, qt.Commentf(
		"%s refuses with %s by version %d, and version %d was confirmed %v ago\n%s",
		n.settings.Self.Name, refusal.Kind, cfg.Version, cfg.Version+1, time.Since(at), r.logs[n.settings.Self.Name].tail()))
}
