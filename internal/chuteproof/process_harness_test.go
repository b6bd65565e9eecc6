package chuteproof

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chutestandin"
	"azurechute.example/azurechute/internal/chutestore"
	"azurechute.example/azurechute/internal/chutetable"
	"azurechute.example/azurechute/pkg/chuteapi"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

const (
	// longWait bounds every wait for a state that has to come about; no proof rests on it.
	longWait  = 60 * time.Second
	naiveWait = 3 * time.Second
	pollTime  = 10 * time.Millisecond

	zoneOne = "zone-1"
	zoneTwo = "zone-2"
	// anywhere stands for callers of a link that come from every zone.
	anywhere = ""
	// platformZone is where the platform's services stand, outside of all zones.
	platformZone = "platform"
)

// side says which program the nodes run.
type side string

const (
	sideNaive      side = "Naive"
	sideAzurechute side = "Azurechute"
)

// cluster is one site: the platform and the upstreams in this process, and the nodes as processes of their own.
type cluster struct {
	*qt.C

	side  side
	dir   string
	zones []string
	cfg   chuteconfig.Config
	set   uint64

	table   *chutestandin.Table
	objects *chutestandin.Objects
	// vms is the list as each zone sees it.
	vms       map[string]*chutestandin.VMs
	platform  map[string]*host
	upstreams []*upstream
	nodes     []*process
	links     map[linkEnds]*relay
}

// linkEnds names a relay by the zone that calls through it and by who is called.
type linkEnds struct {
	from, target, targetZone string
}

// newCluster starts the platform and publishes the configuration; upstreams and nodes are added by the proof.
func newCluster(t *testing.T, on side, zones []string, change func(cfg *chuteconfig.Config)) *cluster {
	c := &cluster{
		C: qt.New(t), side: on, zones: zones, dir: t.TempDir(), cfg: proofConfig(zones),
		table:   chutestandin.NewTable(chutestandin.TableSettings{}),
		objects: chutestandin.NewObjects(chutestandin.ObjectsSettings{}),
		vms:     map[string]*chutestandin.VMs{}, platform: map[string]*host{}, links: map[linkEnds]*relay{},
	}
	if change != nil {
		change(&c.cfg)
	}
	c.platform["table"] = newHost(c.C, c.table)
	c.platform["objects"] = newHost(c.C, c.objects)
	for _, zone := range zones {
		c.vms[zone] = chutestandin.NewVMs(chutestandin.VMsSettings{})
		c.platform["vms-"+zone] = newHost(c.C, c.vms[zone])
	}
	c.publish()

	return c
}

// publish puts the cluster's configuration in force as the next version.
func (c *cluster) publish() {
	c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), longWait)
	defer cancel()
	client := c.platformClient()
	defer client.Close()
	store := chutestore.New(chutestore.NewPlatform(client), clockwork.NewRealClock())
	set := chuteconfig.Set{Sites: map[string]chuteconfig.Config{proofSite: c.cfg}}
	published, err := store.Publish(ctx, set, c.set, "proof")
	c.Assert(err, qt.IsNil)
	c.set = published.Version
	c.Assert(os.WriteFile(c.configPath(), chuteconfig.Encode(c.cfg), 0o600), qt.IsNil)
}

// platformClient reaches the platform beside all relays, as an operator does.
func (c *cluster) platformClient() *chutetable.Client {
	return chutetable.New(chutetable.Settings{
		TableURL: "http://" + c.platform["table"].address(), ObjectsURL: "http://" + c.platform["objects"].address(),
		VMsURL: "http://" + c.platform["vms-"+c.zones[0]].address(), Timeout: longWait,
	}, clockwork.NewRealClock(), zerolog.Nop())
}

// configPath is where the naive nodes read the configuration.
func (c *cluster) configPath() string {
	return filepath.Join(c.dir, "config.json")
}

// link returns the relay by which a zone reaches a target.
func (c *cluster) link(from, target, targetZone, address string) *relay {
	ends := linkEnds{from: from, target: target, targetZone: targetZone}
	r, ok := c.links[ends]
	if !ok {
		r = newRelay(c.C, address)
		c.links[ends] = r
	}

	return r
}

// platformURL is how a zone reaches a service of the platform.
func (c *cluster) platformURL(zone, service string) string {
	return "http://" + c.link(zone, service, platformZone, c.platform[service].address()).address()
}

// linksOf returns the relays that a rule picks.
func (c *cluster) linksOf(pick func(ends linkEnds) bool) []*relay {
	var picked []*relay
	for ends, r := range c.links {
		if pick(ends) {
			picked = append(picked, r)
		}
	}

	return picked
}

// entersOrLeaves picks the links that cross the border of a zone.
func entersOrLeaves(zone string) func(ends linkEnds) bool {
	return func(ends linkEnds) bool {
		return ends.from == anywhere || (ends.from == zone) != (ends.targetZone == zone)
	}
}

// waitFor polls until a state has come about.
func (c *cluster) waitFor(what string, reached func() bool) {
	c.Helper()
	for until := time.Now().Add(longWait); !reached(); time.Sleep(pollTime) {
		if time.Now().After(until) {
			c.Fatalf("waited %v in vain until %s", longWait, what)
		}
	}
}

// comesAbout polls until a state has come about, or says that it does not.
func (c *cluster) comesAbout(reached func() bool) bool {
	return c.comesAboutWithin(longWait, reached)
}

// comesAboutWithin does so for a time that the promise itself states. A naive node gets less: it has no way left by
// which the state could come about.
func (c *cluster) comesAboutWithin(wait time.Duration, reached func() bool) bool {
	if c.side == sideNaive {
		wait = naiveWait
	}
	for until := time.Now().Add(wait); time.Now().Before(until); time.Sleep(pollTime) {
		if reached() {
			return true
		}
	}

	return false
}

// get asks a node as an operator and decodes the answer; false means that none came.
func (p *process) get(path string, into any) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url()+path, nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+operationsToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return false
	}

	return into == nil || json.Unmarshal(body, into) == nil
}

// warm waits until a node has answered a request of each pipeline, so that it knows its upstreams.
func (c *cluster) warm(n *process, pipelines ...string) {
	c.Helper()
	for _, pipeline := range pipelines {
		tries := 0
		c.waitFor(n.name+" answers "+pipeline, func() bool {
			tries++
			id := requestID("warm", n.name, pipeline, tries)
			answer := c.ask(n, newRequest(pipeline, id))

			return answer.outcome() == chuteapi.Answered
		})
	}
}
