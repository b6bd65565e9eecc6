package chuteproof

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"azurechute.example/azurechute/internal/chutestandin"
	"azurechute.example/azurechute/pkg/chuteapi"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

const (
	silenceTokens    = 60
	silenceTokenTime = 20 * time.Millisecond
	// silenceDeadline leaves room for the stall timeouts and no more than one wait of a naive node.
	silenceDeadline = 8 * time.Second
	// tableSends is far less than the connections that went silent.
	tableConnections = 24
	tableSends       = 4
	// inForceBound is generous for "in force within seconds", and less than a ping takes to find a silent connection.
	inForceBound = 10 * time.Second
)

// Something between the two ends loses track of every open connection at once: neither bytes nor closes arrive any
// more, while new connections work. It strikes streams in the middle, idle connections, the table's and the peers'.
// The naive node waits on them until the caller's time is over; ours gives up on them, resumes elsewhere and dials anew.
func TestProofSilentConnectionReplacedProcess(t *testing.T) {
	processProof{
		name: "SilentConnectionReplacedProcess", zones: []string{zoneOne, zoneTwo},
		change: func(cfg *chuteconfig.Config) {
			cfg.Pipelines[pipelineDraft].Stages[0].MaxTokens = silenceTokens
		},
		setUp: func(c *cluster) {
			// Three of each, the least that our users have: as many as a stage has attempts, so that attempts that all
			// meet connections that went silent before would use them up.
			for _, one := range []string{"a", "b", "c"} {
				c.addEngine("engine-"+one, zoneOne, silenceTokenTime, serviceSlots)
				c.addService("encoder-"+one, zoneOne, poolEncoder, 0)
				c.addService("retriever-"+one, zoneOne, poolRetriever, 0)
				c.addService("forum-"+one, zoneOne, poolForum, 0)
			}
			for i, zone := range c.zones {
				c.warm(c.startNode(fmt.Sprintf("entry-%d", i+1), zone), pipelineSearch, pipelineAlert)
			}
		},
		scenarios: []scenario{
			{name: "Upstreams", run: silenceUpstreams},
			{name: "Table", run: silenceTable},
			{name: "Peers", run: silencePeers},
		},
	}.prove(t)
}

// silenceUpstreams strikes while streams flow, idle connections wait in the pool, and more requests come right after.
func silenceUpstreams(c *cluster) verdict {
	n := c.nodes[0]
	words := c.askAll(n, newRequests(pipelineSearch, "before", 2*serviceSlots))
	var callers crowd
	var flowing atomic.Int64
	for _, r := range withDeadline(newRequests(pipelineDraft, "flowing", 6), silenceDeadline) {
		callers.call(func() word { return c.stream(n, r, sync.OnceFunc(func() { flowing.Add(1) })) })
	}
	c.waitFor("the streams flow", func() bool { return flowing.Load() == 6 })
	upstreams := c.linksOf(func(ends linkEnds) bool { return c.upstreamNamed(ends.target) })
	silenced, dialled := silence(upstreams)
	// A caller alone meets the silent connections one after the other; in a crowd one call's stall helps the next.
	alone := newRequest(pipelineSearch, "alone")
	alone.Deadline = silenceDeadline
	words = append(words, c.ask(n, alone))
	for _, r := range withDeadline(newRequests(pipelineSearch, "after", 20), silenceDeadline) {
		callers.call(func() word { return c.ask(n, r) })
	}
	for _, r := range withDeadline(newRequests(pipelineAlert, "after.post", 4), silenceDeadline) {
		callers.call(func() word { return c.ask(n, r) })
	}
	words = append(words, callers.all()...)

	return verdict{
		wrong: append(judgeAllAnswered(c, words), judgePosts(c, words)...),
		seen:  fmt.Sprintf("%d connections silent, %d dialled after; %s", silenced, carried(upstreams)-dialled, summary(words)),
	}
}

// silenceTable strikes the connections to the whole platform, of which the node has many; the posts are sent again as
// their answers permit, the first of them alone and not often.
func silenceTable(c *cluster) verdict {
	c.openTableConnections(c.nodes[0])
	platform := c.linksOf(func(ends linkEnds) bool { return ends.targetZone == platformZone })
	silenced, dialled := silence(platform)
	alone := newRequest(pipelineAlert, "table.alone")
	alone.Deadline = silenceDeadline
	words := c.askUpTo(tableSends, c.nodes[0], alone)
	rest := withDeadline(newRequests(pipelineAlert, "table", 6), silenceDeadline)
	words = append(words, c.askAllUntilSettled(c.nodes[0], rest)...)

	return verdict{
		wrong: append(judgePosts(c, words), judgeSettled(words)...),
		seen:  fmt.Sprintf("%d connections silent, %d dialled after; %s", silenced, carried(platform)-dialled, summary(words)),
	}
}

// openTableConnections lets a node make many calls to the table at a time, whose connections it then keeps.
func (c *cluster) openTableConnections(n *process) {
	c.setFaults(c.table, chutestandin.Fault{Kind: chutestandin.FaultLate, Path: "/v1/read", Delay: span(200 * time.Millisecond)})
	var asking sync.WaitGroup
	for i := range tableConnections {
		asking.Go(func() {
			// Nothing is known of the request; that is an error and does not matter.
			_, _ = c.client(1, n).Status(context.Background(), proofWorkspace, requestID("unheard-of", i))
		})
	}
	asking.Wait()
	c.setFaults(c.table)
}

// silencePeers strikes the peers' connections and cuts the second zone off from the platform, so that it can hear of
// a new configuration from a peer alone.
func silencePeers(c *cluster) verdict {
	peers := c.linksOf(func(ends linkEnds) bool { return ends.from == anywhere })
	silenced, dialled := silence(peers)
	platform := c.linksOf(func(ends linkEnds) bool { return ends.targetZone == platformZone && ends.from == zoneTwo })
	for _, r := range platform {
		r.cutOff()
	}
	c.cfg.Pipelines["digest"] = c.cfg.Pipelines[pipelineSearch]
	c.publish()
	r := newRequest("digest", "peers")
	r.Deadline = silenceDeadline
	var last word
	served := c.comesAboutWithin(inForceBound, func() bool {
		last = c.ask(c.nodes[1], r)

		return last.outcome() == chuteapi.Answered
	})
	for _, r := range platform {
		r.heal()
	}
	v := verdict{wrong: judgeWhole(c, []word{last}), seen: fmt.Sprintf(
		"%d connections silent, %d dialled after; the new configuration in force: %t", silenced, carried(peers)-dialled, served,
	)}
	if !served {
		v.wrong.add("the new pipeline is not served where only a peer can tell of it: %s", last)
	}

	return v
}

// silence makes all open connections of some relays silent, and returns how many and how many there had ever been.
func silence(relays []*relay) (silenced, dialled int) {
	dialled = carried(relays)
	for _, r := range relays {
		silenced += r.silenceOld()
	}

	return silenced, dialled
}

func carried(relays []*relay) int {
	n := 0
	for _, r := range relays {
		n += r.connections()
	}

	return n
}

func (c *cluster) upstreamNamed(name string) bool {
	for _, u := range c.upstreams {
		if u.name == name {
			return true
		}
	}

	return false
}
