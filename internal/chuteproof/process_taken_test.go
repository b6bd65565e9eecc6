package chuteproof

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutestandin"
	"azurechute.example/azurechute/pkg/chuteapi"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

const (
	takenTokens      = 40
	takenTokenTime   = 20 * time.Millisecond
	takenServiceTime = 50 * time.Millisecond
	takenCallers     = 12
)

// Upstreams are killed while many diagnoses are in them, then a node is killed too and the balancer sends its requests
// again elsewhere. The naive node starts the broken text anew behind what it had; ours takes each stage's result once,
// from the attempt that finished, and every caller gets its own whole diagnosis.
func TestProofStageResultsTakenOnceProcess(t *testing.T) {
	processProof{
		name: "StageResultsTakenOnceProcess", zones: []string{zoneOne},
		change: func(cfg *chuteconfig.Config) {
			cfg.Pipelines[pipelineDiagnosis].Stages[2].MaxTokens = takenTokens
		},
		setUp: func(c *cluster) {
			c.addEngine("engine-1", zoneOne, takenTokenTime, serviceSlots)
			c.addService("encoder-1", zoneOne, poolEncoder, takenServiceTime)
			c.addService("retriever-1", zoneOne, poolRetriever, takenServiceTime)
			for i := range 2 {
				c.warm(c.startNode(fmt.Sprintf("entry-%d", i+1), zoneOne), pipelineDiagnosis)
			}
		},
		scenarios: []scenario{
			{name: "UpstreamsKilled", run: func(c *cluster) verdict { return killInTheMiddle(c, "upstreams", false) }},
			{name: "UpstreamsAndNodeKilled", run: func(c *cluster) verdict { return killInTheMiddle(c, "both", true) }},
		},
	}.prove(t)
}

// killInTheMiddle adds upstreams as processes of their own, and kills each in the middle of its calls.
func killInTheMiddle(c *cluster, name string, nodeToo bool) verdict {
	encoder := c.startUpstream("encoder-"+name, poolEncoder, "service", "--kind", "Encoder", "--service-time", takenServiceTime.String())
	engine := c.startUpstream("engine-"+name, poolModel, "engine", "--token-time", takenTokenTime.String(),
		"--model", proofModel, "--version", proofVersion)
	first, second := c.nodes[0], c.nodes[1]
	load := c.startLoad(takenCallers, name, pipelineDiagnosis, func(r chuteapi.Request) word { return c.resend(r, first, second) })
	c.waitFor("the encoder is in the middle of a call", func() bool { return encoder.runs(0) })
	encoder.kill()
	c.waitFor("the engine is in the middle of a text", func() bool { return engine.runs(1) })
	engine.kill()
	if nodeToo {
		c.waitFor("the node is in the middle of a request", func() bool { return c.running() > 0 })
		first.kill()
	}
	words := load.stop()
	c.unlist("encoder-" + name)
	c.unlist("engine-" + name)
	if nodeToo {
		c.warm(c.replace(first), pipelineSearch)
	}
	resent := 0
	for _, w := range words {
		resent += max(0, w.answer.Sends-1)
	}

	return verdict{wrong: judgeAllAnswered(c, words), seen: fmt.Sprintf("%s, %d sent again by the balancer", summary(words), resent)}
}

// load is some callers that send one request after the other.
type load struct {
	callers crowd
	over    atomic.Bool
}

// startLoad lets callers call until the load is stopped.
func (c *cluster) startLoad(callers int, name, pipeline string, ask func(r chuteapi.Request) word) *load {
	l := &load{}
	for i := range callers {
		l.callers.callAll(func(tell func(word)) {
			for k := 0; !l.over.Load(); k++ {
				tell(ask(newRequest(pipeline, requestID(name, i, k))))
			}
		})
	}

	return l
}

// stop waits for the requests under way and returns what all callers were told.
func (l *load) stop() []word {
	l.over.Store(true)

	return l.callers.all()
}

// running counts the calls that the upstreams in this process are in the middle of.
func (c *cluster) running() int {
	n := 0
	for _, e := range c.executions("") {
		if !e.Completed {
			n++
		}
	}

	return n
}

// startUpstream starts a stand-in as a process and lists it.
func (c *cluster) startUpstream(name, pool, command string, flags ...string) *process {
	c.Helper()
	dir, err := programs()
	c.Assert(err, qt.IsNil)
	args := append([]string{command, "--listen", "127.0.0.1:0", "--incarnation", name}, flags...)
	p := c.start(name, zoneOne, exec.Command(filepath.Join(dir, "azurechute-standin"), args...))
	c.list(chutestandin.VM{
		Name: name, Address: p.callers, Zone: zoneOne, Kind: "Upstream", Pool: pool, State: "Live", Incarnation: name,
	})

	return p
}

// unlist takes a VM that is gone out of every zone's list.
func (c *cluster) unlist(name string) {
	for _, zone := range c.zones {
		w := httptest.NewRecorder()
		c.vms[zone].ServeHTTP(w, httptest.NewRequest(http.MethodDelete, "/v1/vms/"+name, nil))
		c.Assert(w.Code, qt.Equals, http.StatusOK)
	}
}

// runs says that an upstream's process is in the middle of a call that has come to some units.
func (p *process) runs(units int64) bool {
	var list chutestandin.ExecutionList
	p.get("/executions", &list)

	return slices.ContainsFunc(list.Executions, func(e chutestandin.Execution) bool {
		return !e.Completed && e.Units >= units
	})
}
