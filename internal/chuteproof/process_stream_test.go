package chuteproof

import (
	"fmt"
	"testing"
	"time"

	"azurechute.example/azurechute/internal/chutestandin"
	"azurechute.example/azurechute/pkg/chuteapi"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// streamNames are the names under which the one engine of this proof is listed, so that whichever is chosen first
// meets the fault and the stream goes on at another.
const streamNames = 3

// stallDeadline leaves room for two stalls one after the other.
const stallDeadline = 6 * time.Second

// A member reads a draft while its engine's stream breaks, ends early, stalls, repeats tokens or leaves one out, at
// every token of the answer in turn. The naive node starts anew and shows the text twice, or takes the early end for
// the end. Ours goes on elsewhere from the token reached, and checks length and digest before it says Answered.
func TestProofWholeAnswerAfterBrokenStreamProcess(t *testing.T) {
	processProof{
		name: "WholeAnswerAfterBrokenStreamProcess", zones: []string{zoneOne},
		change: func(cfg *chuteconfig.Config) {
			pool := cfg.Pools[poolModel]
			pool.Slots = 4 * serviceSlots
			cfg.Pools[poolModel] = pool
		},
		setUp: func(c *cluster) {
			engine := chutestandin.NewEngine(chutestandin.EngineSettings{
				UpstreamSettings: chutestandin.UpstreamSettings{Incarnation: "engine-1", Slots: 4 * serviceSlots},
				Model:            proofModel, Version: proofVersion, Role: string(chuteconfig.RoleMixed),
			})
			for i := range streamNames {
				c.addUpstream(fmt.Sprintf("engine-%d", i+1), zoneOne, poolModel, engine)
			}
			c.warm(c.startNode("entry-1", zoneOne), pipelineDraft)
		},
		scenarios: []scenario{
			breakStreams(chutestandin.FaultBreak, 1), breakStreams(chutestandin.FaultTruncate, 1),
			breakStreams(chutestandin.FaultGap, 1), breakStreams(chutestandin.FaultOverlap, 1),
			breakStreams(chutestandin.FaultDuplicate, 1),
			// Two engines break one after the other, the second right where it went on.
			breakStreams(chutestandin.FaultBreak, 2),
			{name: "Stall", run: stallStreams},
		},
	}.prove(t)
}

// breakStreams strikes one answer after the other, each at the next token, streamed to the caller and not.
func breakStreams(kind chutestandin.FaultKind, times int) scenario {
	name := fmt.Sprintf("%s%d", kind, times)

	return scenario{name: name, run: func(c *cluster) verdict {
		var words []word
		struck := 0
		for offset := range draftTokens {
			for _, streamed := range []bool{true, false} {
				r := newRequest(pipelineDraft, requestID(name, offset, streamed))
				c.setFaults(c.engine(), chutestandin.Fault{Kind: kind, Offset: offset, Count: times})
				words = append(words, c.askOrStream(streamed, c.nodes[0], r))
				if len(c.engine().Faults().Rules) == 0 {
					struck++
				}
			}
		}

		return verdict{wrong: judgeAllAnswered(c, words), seen: fmt.Sprintf("%s, %d struck", summary(words), struck)}
	}}
}

// stallStreams lets streams stall at every token, all at the same time.
func stallStreams(c *cluster) verdict {
	var faults []chutestandin.Fault
	var callers crowd
	for offset := range draftTokens {
		faults = append(faults, chutestandin.Fault{Kind: chutestandin.FaultStall, Offset: offset, Count: 2})
	}
	c.setFaults(c.engine(), faults...)
	for i := range 2 * draftTokens {
		r := newRequest(pipelineDraft, requestID("stall", i))
		r.Deadline = stallDeadline
		callers.call(func() word { return c.askOrStream(i%2 == 0, c.nodes[0], r) })
	}
	words := callers.all()
	struck := 2*draftTokens - len(c.engine().Faults().Rules)

	return verdict{wrong: judgeAllAnswered(c, words), seen: fmt.Sprintf("%s, %d struck", summary(words), struck)}
}

// engine is the one that answers under all names.
func (c *cluster) engine() *chutestandin.Engine {
	return c.upstreams[0].runner.(*chutestandin.Engine)
}

func (c *cluster) askOrStream(streamed bool, n *process, r chuteapi.Request) word {
	if streamed {
		return c.stream(n, r, nil)
	}

	return c.ask(n, r)
}
