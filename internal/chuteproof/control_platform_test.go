package chuteproof

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"azurechute.example/azurechute/internal/chutestandin"
	"azurechute.example/azurechute/internal/chutetable"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

const (
	// platformTimeout is the clients' for one call. Whether a call meets it by a fault or by a busy machine, the
	// judgements hold the same.
	platformTimeout = 60 * time.Millisecond
	// hurry is by how much the pauses between retries are shortened.
	hurry = 100
)

// hurriedClock shortens pauses, so that a trace of retries takes milliseconds.
type hurriedClock struct{ clockwork.Clock }

func newHurriedClock() clockwork.Clock { return hurriedClock{clockwork.NewRealClock()} }

// After fires early.
func (c hurriedClock) After(d time.Duration) <-chan time.Time { return c.Clock.After(d / hurry) }

// platform is the stand-ins for table and object store, served over loopback in this process.
type platform struct {
	table   *chutestandin.Table
	objects *chutestandin.Objects
	servers []*httptest.Server
	clients []*chutetable.Client
	running atomic.Int64
}

func newPlatform(rt *rapid.T) *platform {
	p := &platform{
		table:   chutestandin.NewTable(chutestandin.TableSettings{}),
		objects: chutestandin.NewObjects(chutestandin.ObjectsSettings{}),
	}
	for _, handler := range []http.Handler{p.table, p.objects} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			p.running.Add(1)
			defer p.running.Add(-1)
			handler.ServeHTTP(w, r)
		}))
		// The aborts by which faults close connections would fill the log.
		server.Config.ErrorLog = nil
		p.servers = append(p.servers, server)
	}
	rt.Cleanup(p.close)

	return p
}

// client is one process's own client.
func (p *platform) client(timeout time.Duration) *chutetable.Client {
	client := chutetable.New(chutetable.Settings{
		TableURL: p.servers[0].URL, ObjectsURL: p.servers[1].URL, Timeout: timeout,
	}, clockwork.NewRealClock(), zerolog.Nop())
	p.clients = append(p.clients, client)

	return client
}

// fail sets the faults.
func (p *platform) fail(rt *rapid.T, table, objects []chutestandin.Fault) {
	if err := p.table.SetFaults(chutestandin.Faults{Rules: table}); err != nil {
		rt.Fatal(err)
	}
	if err := p.objects.SetFaults(chutestandin.Faults{Rules: objects}); err != nil {
		rt.Fatal(err)
	}
}

// struck counts how often the counted rules of the table were met.
func (p *platform) struck(rules []chutestandin.Fault) int {
	met := 0
	for _, rule := range rules {
		met += rule.Count
	}
	for _, rule := range p.table.Faults().Rules {
		met -= rule.Count
	}

	return met
}

// settle ends the faults and waits until no call is under way, so that late writes have taken effect.
func (p *platform) settle(rt *rapid.T) {
	p.fail(rt, nil, nil)
	for p.running.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

func (p *platform) close() {
	for _, client := range p.clients {
		client.Close()
	}
	for _, server := range p.servers {
		server.Close()
	}
}

// drawFaults draws rules for the calls to a stand-in.
func drawFaults(rt *rapid.T, kinds []chutestandin.FaultKind, paths []string) []chutestandin.Fault {
	one := rapid.Custom(func(rt *rapid.T) chutestandin.Fault {
		return chutestandin.Fault{
			Kind:  rapid.SampledFrom(kinds).Draw(rt, "kind"),
			Path:  rapid.SampledFrom(paths).Draw(rt, "path"),
			Count: rapid.IntRange(1, 3).Draw(rt, "count"),
			Delay: chuteconfig.Duration(drawMillis(rt, "delay", time.Millisecond, 2*platformTimeout)),
		}
	})
	n := rapid.IntRange(0, 4).Draw(rt, "rules")

	return rapid.SliceOfN(one, n, n).Draw(rt, "faults")
}
