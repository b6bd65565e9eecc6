package chuteproof

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chuteclaim"
	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/internal/chutestandin"
	"azurechute.example/azurechute/internal/chutetable"
	"azurechute.example/azurechute/pkg/chuteapi"
)

const (
	// postTime keeps a post under way for long enough to strike in its middle.
	postTime = 200 * time.Millisecond
	// shortDeadline is for callers who wait in vain for another node's result.
	shortDeadline = 2 * time.Second
	claimFamily   = "claim"
	// maxSends is how often a caller may have to send a request again.
	maxSends = 10
)

// A student's enrolment reaches two nodes: a balancer sends it again, at once or after the first node was killed or
// frozen, or the table loses the claim's answer. The naive nodes both post it, and a clerk untangles two enrolments.
// Ours post it only under the claim in the table; who does not hold it waits for the result or says Unknown.
func TestProofUnrepeatableRunsAtMostOnceProcess(t *testing.T) {
	processProof{
		name: "UnrepeatableRunsAtMostOnceProcess", zones: []string{zoneOne, zoneTwo},
		setUp: func(c *cluster) {
			for _, zone := range c.zones {
				c.addService("encoder-"+zone, zone, poolEncoder, 0)
				c.addService("forum-"+zone, zone, poolForum, postTime)
			}
			for i, zone := range c.zones {
				c.warm(c.startNode(fmt.Sprintf("entry-%d", i+1), zone), pipelineEnrolment)
			}
		},
		scenarios: []scenario{
			{name: "TwoNodesAtOnce", run: postAtTwoNodes},
			{name: "PostAnswerLost", run: losePostAnswers},
			{name: "ClaimAnswerLost", run: loseClaimAnswers},
			{name: "ClaimAnswerLostAndUnreadable", run: loseClaimAnswersAndReads},
			{name: "ClaimTakesEffectLate", run: delayClaims},
			{name: "OwnerFrozenAtItsClaim", run: func(c *cluster) verdict {
				return freezeOwner(c, "claim", proofDeadline, claimStands)
			}},
			{name: "OwnerFrozenInItsPost", run: func(c *cluster) verdict {
				return freezeOwner(c, "post", proofDeadline, postRuns)
			}},
			{name: "OwnerFrozenPastItsDeadline", run: func(c *cluster) verdict {
				return freezeOwner(c, "overslept", shortDeadline, claimStands)
			}},
			{name: "ResentAfterKill", run: func(c *cluster) verdict { return killOwner(c, "killed") }},
			{name: "ResentAfterKillInOutage", run: func(c *cluster) verdict {
				return killOwner(c, "outage", chutestandin.Fault{Kind: chutestandin.FaultDown, Path: "/v1/"})
			}},
		},
	}.prove(t)
}

// postAtTwoNodes sends each enrolment to both nodes at the same time.
func postAtTwoNodes(c *cluster) verdict {
	var callers crowd
	for i := range 20 {
		r := newRequest(pipelineEnrolment, requestID("twice", i))
		for _, n := range c.nodes {
			callers.call(func() word { return c.ask(n, r) })
		}
	}
	words := callers.all()

	return verdict{wrong: append(judgePosts(c, words), judgeAllAnswered(c, words)...), seen: summary(words)}
}

// losePostAnswers lets posts run and then loses, spoils or cuts off their answers; each request is sent again.
func losePostAnswers(c *cluster) verdict {
	var words []word
	kinds := []chutestandin.FaultKind{chutestandin.FaultDropAnswer, chutestandin.FaultFail, chutestandin.FaultTruncate}
	for _, kind := range kinds {
		for _, u := range c.upstreams {
			if u.pool == poolForum {
				c.setFaults(u.runner, chutestandin.Fault{Kind: kind, Count: 4})
			}
		}
		requests := withDeadline(enrolments("unheard."+string(kind), 6), shortDeadline)
		words = append(words, c.askAll(c.nodes[0], requests)...)
		words = append(words, c.askAll(c.nodes[1], requests)...)
	}
	for _, u := range c.upstreams {
		c.setFaults(u.runner)
	}

	return verdict{wrong: judgePosts(c, words), seen: summary(words)}
}

// loseClaimAnswers lets the table lose the answer of a claim that took effect, each time for one of two nodes.
func loseClaimAnswers(c *cluster) verdict {
	var words []word
	for i := range 5 {
		c.setFaults(c.table, chutestandin.Fault{Kind: chutestandin.FaultDropAnswer, Stage: claimFamily, Count: 1})
		r := newRequest(pipelineEnrolment, requestID("lost", i))
		var callers crowd
		for _, n := range c.nodes {
			callers.call(func() word { return c.ask(n, r) })
		}
		words = append(words, callers.all()...)
	}
	c.setFaults(c.table)

	return verdict{wrong: append(judgePosts(c, words), judgeAllAnswered(c, words)...), seen: summary(words)}
}

// loseClaimAnswersAndReads besides lets no node read the row, so that the first one gives up; then it is sent again.
func loseClaimAnswersAndReads(c *cluster) verdict {
	var words []word
	for i := range 3 {
		c.setFaults(c.table,
			chutestandin.Fault{Kind: chutestandin.FaultDropAnswer, Path: "/v1/transact", Stage: claimFamily, Count: 1},
			chutestandin.Fault{Kind: chutestandin.FaultDown, Path: "/v1/read", Stage: claimFamily})
		r := newRequest(pipelineEnrolment, requestID("unreadable", i))
		words = append(words, c.ask(c.nodes[0], r))
		c.setFaults(c.table)
		words = append(words, c.askUntilSettled(c.nodes[1], r)...)
	}

	return verdict{wrong: append(judgePosts(c, words), judgeSettled(words)...), seen: summary(words)}
}

// delayClaims lets claims take effect only after their node has given them up and told the callers so.
func delayClaims(c *cluster) verdict {
	requests := enrolments("late", 4)
	c.setFaults(c.table, chutestandin.Fault{
		Kind: chutestandin.FaultSlow, Path: "/v1/transact", Stage: claimFamily, Count: len(requests),
		Delay: span(2500 * time.Millisecond),
	})
	words := c.askAll(c.nodes[0], requests)
	c.setFaults(c.table)
	words = append(words, c.askAllUntilSettled(c.nodes[1], requests)...)

	return verdict{wrong: append(judgePosts(c, words), judgeSettled(words)...), seen: summary(words)}
}

// freezeOwner freezes the first node when its requests have all reached a point, sends them to the second, and
// wakes the first again, by then past the requests' deadline if that is short.
func freezeOwner(c *cluster, name string, deadline time.Duration, reached func(c *cluster, id string) bool) verdict {
	requests := enrolments("frozen."+name, 4)
	for i := range requests {
		requests[i].Deadline = deadline
	}
	// A claim stands in the table before its answer is sent: that is when the node is caught.
	c.setFaults(c.table, chutestandin.Fault{
		Kind: chutestandin.FaultLate, Path: "/v1/transact", Stage: claimFamily, Count: len(requests), Delay: span(2 * postTime),
	})
	first, second := c.nodes[0], c.nodes[1]
	var before crowd
	for _, r := range requests {
		before.call(func() word { return c.ask(first, r) })
	}
	for _, r := range requests {
		c.waitFor("the enrolment is under way", func() bool { return reached(c, r.RequestID) })
	}
	first.freeze(c)
	c.setFaults(c.table)
	words := c.askAll(second, withDeadline(requests, shortDeadline))
	first.wake(c)
	words = append(words, before.all()...)
	words = append(words, c.askAll(second, withDeadline(requests, shortDeadline))...)

	return verdict{wrong: judgePosts(c, words), seen: summary(words)}
}

// killOwner kills the first node in the middle of its posts, sends them to the second and then to the first's
// successor. With the platform down meanwhile the second node can't look them up, and must not say NotRun for that.
func killOwner(c *cluster, name string, faults ...chutestandin.Fault) verdict {
	first, second := c.nodes[0], c.nodes[1]
	requests := enrolments(name, 5)
	var before crowd
	for _, r := range requests {
		before.call(func() word { return c.ask(first, r) })
	}
	for _, r := range requests {
		c.waitFor("the enrolment is under way", func() bool { return postRuns(c, r.RequestID) })
	}
	first.kill()
	c.platformFault(faults...)
	words := append(before.all(), c.askAll(second, withDeadline(requests, shortDeadline))...)
	wrong := judgePosts(c, words)
	c.platformFault()
	successor := c.replace(first)
	c.warm(successor, pipelineEnrolment)
	words = append(words, c.askAll(successor, withDeadline(requests, shortDeadline))...)

	return verdict{wrong: append(wrong, judgePosts(c, words)...), seen: summary(words)}
}

// enrolments are requests of which each may be posted once.
func enrolments(name string, n int) []chuteapi.Request {
	return newRequests(pipelineEnrolment, name, n)
}

func withDeadline(requests []chuteapi.Request, deadline time.Duration) []chuteapi.Request {
	changed := slices.Clone(requests)
	for i := range changed {
		changed[i].Deadline = deadline
	}

	return changed
}

// askUntilSettled sends a request again, as the answers permit, until a node has the answer.
func (c *cluster) askUntilSettled(n *process, r chuteapi.Request) []word {
	c.Helper()

	return c.askUpTo(maxSends, n, r)
}

func (c *cluster) askUpTo(sends int, n *process, r chuteapi.Request) []word {
	c.Helper()
	var words []word
	c.comesAbout(func() bool {
		w := c.ask(n, r)
		words = append(words, w)

		return w.outcome() == chuteapi.Answered || len(words) == sends
	})

	return words
}

// askAllUntilSettled does so for each request, all at the same time.
func (c *cluster) askAllUntilSettled(n *process, requests []chuteapi.Request) []word {
	c.Helper()
	said := make([][]word, len(requests))
	var wg sync.WaitGroup
	for i, r := range requests {
		wg.Go(func() { said[i] = c.askUntilSettled(n, r) })
	}
	wg.Wait()

	return slices.Concat(said...)
}

// judgeSettled: the last word on a request that was sent again and again is its answer.
func judgeSettled(words []word) judgement {
	var j judgement
	last := map[string]word{}
	for _, w := range words {
		last[w.request.RequestID] = w
	}
	for _, w := range last {
		if w.failure != nil {
			j.add("the last word is %s", w)
		}
	}

	return j
}

func postRuns(c *cluster, id string) bool {
	return c.ran(id, stagePost) > 0
}

// claimStands is true once the claim is in the table, or the post runs without one.
func claimStands(c *cluster, id string) bool {
	key := chuteclaim.RowKey(chuterequest.Key{Workspace: proofWorkspace, RequestID: id})

	return len(c.rows(key)) > 0 || postRuns(c, id)
}

// rows reads the table's rows with a prefix.
func (c *cluster) rows(prefix string) []chutetable.Row {
	c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), longWait)
	defer cancel()
	client := c.platformClient()
	defer client.Close()
	rows, err := client.Scan(ctx, "proof", prefix, 0)
	c.Assert(err, qt.IsNil)

	return rows
}
