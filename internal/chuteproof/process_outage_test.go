package chuteproof

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"azurechute.example/azurechute/internal/chutestandin"
	"azurechute.example/azurechute/pkg/chuteapi"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

const (
	outageDeadline = 6 * time.Second
	// atOnce is well below the deadline and above the time in which a claim is given up.
	atOnce     = 4 * time.Second
	vouchPause = 200 * time.Millisecond
)

// Table, object store and list are down, or take calls and never answer. Members go on getting their answers, and a
// registrar hears at once that nothing was published and when to come back. The naive node charges the table before
// it answers and so answers nobody. When the platform is back all works again and the costs arrive.
func TestProofServesThroughPlatformOutageProcess(t *testing.T) {
	processProof{
		name: "ServesThroughPlatformOutageProcess", zones: []string{zoneOne, zoneTwo},
		change: func(cfg *chuteconfig.Config) {
			// How long a node has to be up before it can vouch for a key depends on the longest deadline.
			for name, pipeline := range cfg.Pipelines {
				pipeline.Deadline = span(outageDeadline)
				cfg.Pipelines[name] = pipeline
			}
		},
		setUp: func(c *cluster) {
			for i, zone := range c.zones {
				c.addEngine("engine-"+zone, zone, time.Millisecond, serviceSlots)
				c.addService("encoder-"+zone, zone, poolEncoder, 0)
				c.addService("retriever-"+zone, zone, poolRetriever, 0)
				c.addService("forum-"+zone, zone, poolForum, 0)
				c.warm(c.startNode(fmt.Sprintf("entry-%d", i+1), zone), pipelineDiagnosis, pipelineAlert)
			}
		},
		scenarios: []scenario{
			{name: "Down", run: func(c *cluster) verdict { return serveThroughOutage(c, chutestandin.FaultDown) }},
			{name: "Hanging", run: func(c *cluster) verdict { return serveThroughOutage(c, chutestandin.FaultHang) }},
		},
	}.prove(t)
}

func serveThroughOutage(c *cluster, kind chutestandin.FaultKind) verdict {
	name := "outage." + string(kind)
	c.platformFault(chutestandin.Fault{Kind: kind, Path: "/v1/"})
	early := c.awaitVouchers(name)
	var readers, posters crowd
	for i := range 60 {
		n := c.nodes[i%len(c.nodes)]
		r := newRequest([]string{pipelineDiagnosis, pipelineSearch, pipelineDraft}[i%3], requestID(name, i))
		readers.call(func() word { return c.ask(n, r) })
	}
	posts := newRequests(pipelineAlert, name+".post", 10)
	for i, r := range posts {
		n := c.nodes[i%len(c.nodes)]
		posters.call(func() word { return c.ask(n, r) })
	}
	refused := posters.all()
	words := readers.all()
	wrong := append(judgeAllAnswered(c, words), judgeRefusedAtOnce(c, refused, chuteapi.NotRun)...)
	wrong = append(wrong, judgeRefusedAtOnce(c, early, chuteapi.NotRun, chuteapi.Unknown)...)
	c.platformFault()
	again := c.askAll(c.nodes[0], posts)
	wrong = append(wrong, judgeAllAnswered(c, again)...)
	wrong = append(wrong, judgePosts(c, append(refused, again...))...)
	wrong = append(wrong, c.judgeCosts()...)

	return verdict{wrong: wrong, seen: fmt.Sprintf(
		"repeatable %s; unrepeatable %s, %d before were Unknown; those after the outage %s; %s",
		summary(words), summary(refused), count(early, chuteapi.Unknown), summary(again), c.costs(),
	)}
}

// awaitVouchers posts at each node until it says NotRun. Nodes that have just been started can't vouch that no earlier
// sending has run, since their predecessors' memory is gone; until they have been up for long enough they say Unknown.
func (c *cluster) awaitVouchers(name string) []word {
	c.Helper()
	var words []word
	if c.side == sideNaive {
		// A naive node never vouches for anything.
		return nil
	}
	for _, n := range c.nodes {
		tries := 0
		c.comesAbout(func() bool {
			tries++
			w := c.ask(n, newRequest(pipelineAlert, requestID(name, "early", n.name, tries)))
			words = append(words, w)
			time.Sleep(vouchPause)

			return w.outcome() == chuteapi.NotRun
		})
	}

	return words
}

// platformFault puts faults on every service of the platform at once; none heals it.
func (c *cluster) platformFault(faults ...chutestandin.Fault) {
	c.setFaults(c.table, faults...)
	c.setFaults(c.objects, faults...)
	for _, list := range c.vms {
		c.setFaults(list, faults...)
	}
}

// judgeRefusedAtOnce: a post that can't be claimed ends at once in one of the given words and says when to come back,
// and nothing is posted.
func judgeRefusedAtOnce(c *cluster, words []word, outcomes ...chuteapi.Outcome) judgement {
	var j judgement
	for _, w := range words {
		switch {
		case w.failure == nil:
			j.add("%s without a claim", w)
		case !slices.Contains(outcomes, w.outcome()) || !w.failure.Told || w.failure.RetryAfter <= 0:
			j.add("%s, not %v and when to come back", w, outcomes)
		case w.took > atOnce:
			j.add("%s, after %v", w, w.took)
		case c.ran(w.request.RequestID, stagePost) > 0:
			j.add("%s, but it was posted", w)
		}
	}

	return j
}
