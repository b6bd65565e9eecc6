package chutemember

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// drawOrigin builds a node with a random history; two draws of one number are
// two incarnations of one name, or two states of one incarnation.
func drawOrigin(t *rapid.T, label string) []Delta {
	number := rapid.IntRange(0, 3).Draw(t, label+" number")
	m := memberNumber(number, testStart)
	run := rapid.IntRange(1, 2).Draw(t, label+" run")
	m.Zone = "zone-0" // loads stay in their zone
	m.Incarnation = fmt.Sprintf("%s-%d", m.Name, run)
	m.Epoch += uint64(run)
	s := New(m).WithHeartbeat(testStart)
	states := []Delta{full(s)}
	// One incarnation has one history, and the draws only choose how far it got.
	history := rand.New(rand.NewPCG(uint64(number), uint64(run)))
	for range rapid.IntRange(0, 12).Draw(t, label+" length") {
		s = randomChange(s, history)
		states = append(states, full(s))
	}
	return states
}

func randomChange(s Set, random *rand.Rand) Set {
	switch random.IntN(6) {
	case 0:
		return s.WithHeartbeat(s.at.Add(40 * time.Second))
	case 1:
		return s.WithLeavingSelf()
	case 2:
		return s.WithLeavingMark(fmt.Sprint("engine-", random.IntN(40)), fmt.Sprint(random.IntN(2)))
	case 3:
		version := uint64(random.IntN(9) + 1)
		return s.WithConfig(version, fmt.Sprint("digest-", version))
	case 4:
		return s.WithPoolLoad(s.Self().Zone, fmt.Sprint("pool-", random.IntN(3)), random.IntN(50))
	default:
		version := rowVersions(s)[s.Self().Incarnation] + 1
		next, err := s.WithLedgerRow(s.Self().Incarnation, version, []byte(fmt.Sprint(version)))
		if err != nil {
			panic(err)
		}
		return next
	}
}

// drawStates is a shuffled choice of states of several nodes, repeated ones among them.
func drawStates(t *rapid.T, label string) []Delta {
	var all []Delta
	for i := range rapid.IntRange(1, 4).Draw(t, label+" origins") {
		all = append(all, drawOrigin(t, fmt.Sprint(label, " ", i))...)
	}
	return rapid.SliceOfN(rapid.SampledFrom(all), 1, 12).Draw(t, label+" states")
}

func observer(name string) Set {
	return New(Member{Name: name, Zone: "zone-0", Incarnation: name + "-1"}).WithHeartbeat(testStart)
}

func mergeAll(s Set, deltas []Delta) Set {
	for _, d := range deltas {
		s, _ = s.Merge(d, "", testStart)
	}
	return s
}

func TestMergeProperties(t *testing.T) {
	t.Run("commutative", func(t *testing.T) {
		check(t, func(t testing.TB, draw *rapid.T) {
			states := drawStates(draw, "states")
			other := rapid.Permutation(states).Draw(draw, "order")
			expectSameFacts(t, mergeAll(observer("x"), states), mergeAll(observer("x"), other))
		})
	})
	t.Run("associative", func(t *testing.T) {
		check(t, func(t testing.TB, draw *rapid.T) {
			a, b := drawStates(draw, "a"), drawStates(draw, "b")
			passed := mergeAll(mergeAll(observer("relay"), a), b)
			// A node passes on only the configuration that is in force at it.
			passed = passed.WithConfig(passed.HighestConfig().Version, passed.HighestConfig().Digest)
			relay := full(passed)
			direct := mergeAll(mergeAll(observer("x"), a), b)
			expectSameFacts(t, mergeAll(observer("x"), []Delta{relay}), direct, "relay")
		})
	})
	t.Run("idempotent", func(t *testing.T) {
		check(t, func(t testing.TB, draw *rapid.T) {
			states := drawStates(draw, "states")
			once := mergeAll(observer("x"), states)
			twice, changes := once, Changes{}
			for _, d := range states {
				d.Config = Config{} // reported as long as it is not in force
				twice, changes = twice.Merge(d, "", testStart)
				qt.Assert(t, changes.Empty(), qt.IsTrue)
			}
			expectSameFacts(t, twice, once)
		})
	})
	t.Run("configuration never goes down", func(t *testing.T) {
		check(t, func(t testing.TB, draw *rapid.T) {
			s := observer("x")
			for _, d := range drawStates(draw, "states") {
				before := s
				if rapid.Bool().Draw(draw, "adopts") {
					s = s.WithConfig(d.Config.Version, d.Config.Digest)
				}
				s, _ = s.Merge(d, "", testStart)
				qt.Assert(t, s.HighestConfig().Version >= max(before.HighestConfig().Version, d.Config.Version), qt.IsTrue)
				qt.Assert(t, s.Config().Version >= before.Config().Version, qt.IsTrue)
			}
		})
	})
}

// Messages between two nodes of a zone and one of another are lost, repeated,
// delayed past later ones and cut by a small budget. Whatever was taken from
// them, the digests must go on asking for what is still missing, so that a few
// whole exchanges make all agree; a digest that claims too much would hide a
// change for good.
func TestExchangesAfterDisorderConverge(t *testing.T) {
	type message struct {
		to    int
		delta Delta
	}
	check(t, func(t testing.TB, draw *rapid.T) {
		var nodes [3]Set
		for i, number := range []int{0, 5, 1} {
			nodes[i] = New(memberNumber(number, testStart)).WithHeartbeat(testStart)
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(draw, "seed"), 0))
		var delayed []message
		for range rapid.IntRange(1, 60).Draw(draw, "length") {
			from, to := random.IntN(3), random.IntN(3)
			switch random.IntN(3) {
			case 0:
				nodes[0] = randomChange(nodes[0], random)
			case 1:
				delta := nodes[from].DeltaFor(nodes[to].self, nodes[to].Digest(), 100+random.IntN(400))
				delayed = append(delayed, message{to: to, delta: delta})
			default:
				if len(delayed) > 0 {
					m := delayed[random.IntN(len(delayed))]
					nodes[m.to], _ = nodes[m.to].Merge(m.delta, "", nodes[0].at)
				}
			}
		}
		for range 2 {
			for pair := range 9 {
				from, to := pair%3, pair/3
				delta := nodes[from].DeltaFor(nodes[to].self, nodes[to].Digest(), 1<<20)
				nodes[to], _ = nodes[to].Merge(delta, "", nodes[0].at)
			}
		}
		want := factsOf(nodes[0])
		qt.Assert(t, factsOf(nodes[1]), qt.DeepEquals, want)
		for name, loads := range want.Loads {
			want.Loads[name] = loads[:len(loads)-len(nodes[0].loadsOf(name))]
		}
		qt.Assert(t, factsOf(nodes[2]), qt.DeepEquals, want)
	})
}

func (s Set) loadsOf(name string) []PoolLoad {
	n, _ := s.nodes.Get(name)
	return n.loads
}

func TestMessagesStayInBudget(t *testing.T) {
	check(t, func(t testing.TB, draw *rapid.T) {
		s := mergeAll(observer("x"), drawStates(draw, "states"))
		limit := rapid.IntRange(60, 4000).Draw(draw, "limit")
		qt.Assert(t, s.DeltaFor("y", Digest{Scope: ScopeAll}, limit).Size() <= limit, qt.IsTrue)
		known := mergeAll(observer("z"), drawStates(draw, "known")).Digest()
		qt.Assert(t, s.DeltaFor("z", known, limit).Size() <= limit, qt.IsTrue)
		digest, opening := s.Open(Peer{Name: "z", Scope: ScopeAll}, max(limit, 400))
		qt.Assert(t, digest.Size()+opening.Size() <= max(limit, 400), qt.IsTrue)
	})
}
