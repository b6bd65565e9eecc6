package chuteproof

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutestandin"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// host serves a handler in this process; it ends as a killed process does, without a word.
type host struct {
	server   *http.Server
	listener net.Listener
}

func newHost(c *qt.C, handler http.Handler) *host {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	h := &host{server: &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}, listener: listener}
	go func() { _ = h.server.Serve(listener) }()
	c.Cleanup(h.kill)

	return h
}

func (h *host) address() string {
	return h.listener.Addr().String()
}

func (h *host) kill() {
	_ = h.server.Close()
}

// runner is what engines and services have in common.
type runner interface {
	chutestandin.Standin
	chutestandin.Leaver
	Executions() []chutestandin.Execution
}

// upstream is one stand-in of a pool, in this process, with a log of the calls that reached it.
type upstream struct {
	name, zone, pool string
	runner           runner
	host             *host

	mu       sync.Mutex
	arrivals []arrival
}

// arrival is one call that reached an upstream, whether or not it was taken.
type arrival struct {
	at        time.Time
	requestID string
	stage     string
	refused   bool
}

// ServeHTTP notes the calls and passes everything on to the stand-in.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/run" && r.URL.Path != "/v1/generate" {
		u.runner.ServeHTTP(w, r)

		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var head struct{ RequestID, Stage string }
	_ = json.Unmarshal(body, &head)
	at := time.Now()
	r.Body = io.NopCloser(bytes.NewReader(body))
	u.mu.Lock()
	n := len(u.arrivals)
	u.arrivals = append(u.arrivals, arrival{at: at, requestID: head.RequestID, stage: head.Stage})
	u.mu.Unlock()
	noted := &statusNoter{ResponseWriter: w, note: func(status int) {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.arrivals[n].refused = status == http.StatusServiceUnavailable
	}}
	u.runner.ServeHTTP(noted, r)
}

// statusNoter notes the status that a handler writes.
type statusNoter struct {
	http.ResponseWriter

	note func(status int)
}

// WriteHeader notes the status and writes it.
func (w *statusNoter) WriteHeader(status int) {
	w.note(status)
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *statusNoter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// arrived copies the log of calls.
func (u *upstream) arrived() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()

	return slices.Clone(u.arrivals)
}

// addEngine starts an engine with a time for each token and enters it in every zone's list.
func (c *cluster) addEngine(name, zone string, tokenTime time.Duration, slots int) *upstream {
	return c.addUpstream(name, zone, poolModel, chutestandin.NewEngine(chutestandin.EngineSettings{
		UpstreamSettings: chutestandin.UpstreamSettings{Incarnation: name + "-1", Slots: slots},
		TokenTime:        tokenTime, HonourFencing: true,
		// The engine stands where it is placed, so that no order gets in the way.
		Model: proofModel, Version: proofVersion, Role: string(chuteconfig.RoleMixed),
	}))
}

// addService starts a service of the pool's kind and enters it in every zone's list.
func (c *cluster) addService(name, zone, pool string, serviceTime time.Duration) *upstream {
	return c.addUpstream(name, zone, pool, chutestandin.NewService(chutestandin.ServiceSettings{
		UpstreamSettings: chutestandin.UpstreamSettings{Incarnation: name + "-1", Slots: serviceSlots},
		Kind:             c.cfg.Pools[pool].Kind, ServiceTime: serviceTime,
	}))
}

func (c *cluster) addUpstream(name, zone, pool string, standin runner) *upstream {
	u := &upstream{name: name, zone: zone, pool: pool, runner: standin}
	u.host = newHost(c.C, u)
	c.upstreams = append(c.upstreams, u)
	c.list(chutestandin.VM{
		Name: name, Address: u.host.address(), Zone: zone, Kind: "Upstream", Pool: pool, State: "Live",
		Incarnation: standin.Incarnation(),
	})

	return u
}

// list enters a VM in every zone's list, each zone by a relay of its own so that zones can be cut apart.
func (c *cluster) list(vm chutestandin.VM) {
	for _, zone := range c.zones {
		seen := vm
		if vm.Kind == "Upstream" {
			seen.Address = c.link(zone, vm.Name, vm.Zone, vm.Address).address()
		}
		body, err := json.Marshal(seen)
		c.Assert(err, qt.IsNil)
		w := httptest.NewRecorder()
		c.vms[zone].ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/v1/vms/"+vm.Name, bytes.NewReader(body)))
		c.Assert(w.Code, qt.Equals, http.StatusOK)
	}
}

// executions joins the logs of the upstreams of a pool; an empty pool means all.
func (c *cluster) executions(pool string) []chutestandin.Execution {
	var all []chutestandin.Execution
	for _, u := range c.upstreams {
		if pool == "" || u.pool == pool {
			all = append(all, u.runner.Executions()...)
		}
	}

	return all
}

// ran counts the executions of a request's stage, whichever upstream ran it.
func (c *cluster) ran(requestID, stage string) int {
	n := 0
	for _, e := range c.executions("") {
		if e.RequestID == requestID && e.Stage == stage {
			n++
		}
	}

	return n
}

// setFaults replaces a stand-in's faults.
func (c *cluster) setFaults(standin chutestandin.Standin, rules ...chutestandin.Fault) {
	c.Helper()
	c.Assert(standin.SetFaults(chutestandin.Faults{Seed: faultSeed, Rules: rules}), qt.IsNil)
}

func span(d time.Duration) chuteconfig.Duration {
	return chuteconfig.Duration(d)
}
