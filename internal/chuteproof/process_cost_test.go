package chuteproof

import (
	"fmt"
	"testing"
	"time"

	"azurechute.example/azurechute/internal/chutestandin"
)

const (
	ledgerFamily = "ledger"
	naiveFamily  = "naive"
	// gossipRounds is how many heartbeats of a node a peer has to have heard to have its counters for certain.
	gossipRounds = 4
	costDeadline = 3 * time.Second
)

// The ministry asks what each stage cost. The table loses answers of cost writes that took effect, calls fail after
// they ran, and a node is killed while it cannot write its counters. The naive nodes add again after a lost answer,
// overwrite each other and lose what they did not write. Ours write absolute counters that only grow and that peers
// keep, so that the table's sums come to be exactly what was charged once for each stage's result.
func TestProofTeamCostIsWholeProcess(t *testing.T) {
	processProof{
		name: "TeamCostIsWholeProcess", zones: []string{zoneOne},
		setUp: func(c *cluster) {
			c.addEngine("engine-1", zoneOne, 0, serviceSlots)
			for i := range 3 {
				c.addService(fmt.Sprintf("encoder-%d", i+1), zoneOne, poolEncoder, 0)
			}
			c.addService("retriever-1", zoneOne, poolRetriever, 0)
			for i := range 2 {
				c.warm(c.startNode(fmt.Sprintf("entry-%d", i+1), zoneOne), pipelineDiagnosis)
			}
		},
		scenarios: []scenario{
			{name: "WriteAnswersLost", run: loseCostAnswers},
			{name: "KilledBeforeItsWrite", run: killBeforeCostWrite},
			{name: "AnswersComeLate", run: answerLate},
			{name: "CallsFailAfterTheyRan", run: failAfterRun},
		},
	}.prove(t)
}

// loseCostAnswers drops about half of the answers to cost writes while both nodes charge the same stages.
func loseCostAnswers(c *cluster) verdict {
	c.setFaults(c.table,
		chutestandin.Fault{Kind: chutestandin.FaultDropAnswer, Path: "/v1/transact", Stage: ledgerFamily, Share: 0.5},
		chutestandin.Fault{Kind: chutestandin.FaultDropAnswer, Path: "/v1/transact", Stage: naiveFamily, Share: 0.5},
	)
	var words []word
	for round := range 3 {
		var callers crowd
		for i := range 20 {
			n := c.nodes[i%len(c.nodes)]
			callers.call(func() word { return c.ask(n, newRequest(pipelineDiagnosis, requestID("lost", round, i))) })
		}
		words = append(words, callers.all()...)
		time.Sleep(c.cfg.Policy.LedgerFlush.Std())
	}
	c.setFaults(c.table)
	wrong := append(judgeAllAnswered(c, words), c.judgeCosts()...)

	return verdict{wrong: wrong, seen: fmt.Sprintf("%s; %s", summary(words), c.costs())}
}

// killBeforeCostWrite lets no cost write through, kills the first node and starts its successor.
func killBeforeCostWrite(c *cluster) verdict {
	first := c.nodes[0]
	c.setFaults(c.table,
		chutestandin.Fault{Kind: chutestandin.FaultDown, Path: "/v1/transact", Stage: ledgerFamily},
		chutestandin.Fault{Kind: chutestandin.FaultDown, Path: "/v1/transact", Stage: naiveFamily},
	)
	words := c.askAll(first, withDeadline(newRequests(pipelineDiagnosis, "killed", 30), costDeadline))
	before := c.costs()
	c.awaitGossip(c.nodes[1], first.name)
	first.kill()
	c.setFaults(c.table)
	c.replace(first)
	wrong := append(judgeAllAnswered(c, words), c.judgeCosts()...)

	return verdict{wrong: wrong, seen: fmt.Sprintf("%s; %s before the kill, then %s", summary(words), before, c.costs())}
}

// awaitGossip waits until a node has heard from another often enough to have its counters.
func (c *cluster) awaitGossip(at *process, of string) {
	c.Helper()
	if c.side == sideNaive {
		return
	}
	heartbeat := func() uint64 {
		var state struct {
			Members []struct {
				Name      string
				Heartbeat uint64
			}
		}
		if !at.get("/debug/state", &state) {
			return 0
		}
		for _, m := range state.Members {
			if m.Name == of {
				return m.Heartbeat
			}
		}

		return 0
	}
	from := uint64(0)
	c.waitFor(at.name+" hears of "+of, func() bool { from = heartbeat(); return from > 0 })
	c.waitFor(at.name+" hears from "+of, func() bool { return heartbeat() >= from+gossipRounds })
}

// failAfterRun lets some encodings run and then fail without a word on what they used.
func failAfterRun(c *cluster) verdict {
	return c.spoilEncodings("failed", chutestandin.Fault{Kind: chutestandin.FaultFail, Count: 2},
		func(costs, stageUnits) bool { return true })
}

// answerLate lets some encodings answer only when they have been given up: what they used is waste.
func answerLate(c *cluster) verdict {
	return c.spoilEncodings("late", chutestandin.Fault{Kind: chutestandin.FaultLate, Count: 2, Delay: span(2 * proofStall)},
		func(have costs, worked stageUnits) bool {
			return have.charged.plus(have.wasted)["encode"] == worked["encode"]
		})
}

// spoilEncodings puts a fault on each encoder: the team pays once for each result that it got, and for nothing else.
func (c *cluster) spoilEncodings(name string, fault chutestandin.Fault, alsoRight func(have costs, worked stageUnits) bool) verdict {
	before, workedBefore := c.costs(), c.worked()
	for _, u := range c.upstreams {
		if u.pool == poolEncoder {
			c.setFaults(u.runner, fault)
		}
	}
	c.setFaults(c.table, chutestandin.Fault{Kind: chutestandin.FaultDropAnswer, Path: "/v1/transact", Stage: naiveFamily, Share: 0.5})
	words := c.askAll(c.nodes[1], newRequests(pipelineSearch, name, 30))
	c.setFaults(c.table)
	want := before.charged.plus(resultsOf(c, words))
	// What failed without a word before this scenario is in the upstreams' logs alone.
	unknown := workedBefore["encode"] - before.charged.plus(before.wasted)["encode"]
	wrong := append(judgeWhole(c, words), c.judgeCostsBecome(want.String()+" charged", func(have costs) bool {
		worked := c.worked()
		worked["encode"] -= unknown

		return have.charged.same(want) && alsoRight(have, worked)
	})...)

	return verdict{wrong: wrong, seen: fmt.Sprintf("%s; %s, before %s; the upstreams ran %s", summary(words), c.costs(), before, c.worked())}
}
