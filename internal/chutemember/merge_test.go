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

// Messages between two nodes are lost, repeated, delayed past later ones and
// cut by a small budget. Whatever was taken from them, the digests must go on
// asking for what is still missing, so that a few whole exchanges make the two
// agree; a digest that claims too much would hide a change for good.
func TestExchangesAfterDisorderConverge(t *testing.T) {
	check(t, func(t testing.TB, draw *rapid.T) {
		a, b := New(memberNumber(0, testStart)).WithHeartbeat(testStart), New(memberNumber(1, testStart)).WithHeartbeat(testStart)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(draw, "seed"), 0))
		var delayed []Delta
		for range rapid.IntRange(1, 30).Draw(draw, "length") {
			switch random.IntN(3) {
			case 0:
				a = randomChange(a, random)
			case 1:
				delayed = append(delayed, a.DeltaFor("b", b.Digest(), 100+random.IntN(400)))
			default:
				if len(delayed) > 0 {
					b, _ = b.Merge(delayed[random.IntN(len(delayed))], "a", a.at)
				}
			}
		}
		for range 3 {
			b, _ = b.Merge(a.DeltaFor("b", b.Digest(), 1<<20), "a", a.at)
			a, _ = a.Merge(b.DeltaFor("a", a.Digest(), 1<<20), "b", a.at)
		}
		qt.Assert(t, factsOf(b, b.self), qt.DeepEquals, factsOf(a, b.self))
	})
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
