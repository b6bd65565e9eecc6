package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/oops"

	"azurechute.example/azurechute/internal/chuteload"
	"azurechute.example/azurechute/internal/chutestandin"
)

const (
	// demoSends bounds the sends of one demo request.
	demoSends       = 5
	registerTimeout = 5 * time.Second
)

var (
	errDemo    = errors.New("the demo failed")
	errDoubled = errors.New("calls ran twice that must not")
)

type demoCommand struct {
	configFlags

	Node []string `help:"Node to check, as URL; once for each."               placeholder:"URL" required:"" sep:"none"`
	VMs  string   `help:"URL of the VM list by which the stand-ins are found." name:"vms"        placeholder:"URL" required:""`
}

// Run checks the nodes; the last line printed sums up.
func (c demoCommand) Run(ctx context.Context) error {
	cfg, err := c.load()
	if err != nil {
		return err
	}

	result, err := chuteload.Demo{
		Config: cfg, Nodes: c.Node, Settings: c.settings(cfg, demoSends), VMsURL: c.VMs,
		Clock: clockwork.NewRealClock(), Name: "demo-" + strconv.FormatInt(time.Now().UnixMilli(), 36), Out: os.Stdout,
	}.Run(ctx)
	if err != nil {
		return err
	}

	_, _ = fmt.Println(result)

	if !result.Good() {
		return errDemo
	}

	return nil
}

type verifyCommand struct {
	Executions []string `help:"URL of a stand-in whose log to read; once for each."      placeholder:"URL" sep:"none"`
	VMs        string   `help:"URL of a VM list; the logs of all upstreams on it are read." name:"vms"        placeholder:"URL"`
}

// Run prints the sums of all logs together as JSON.
func (c verifyCommand) Run(ctx context.Context) error {
	urls := c.Executions

	if c.VMs != "" {
		vms, err := chuteload.ListVMs(ctx, c.VMs)
		if err != nil {
			return err
		}

		urls = append(urls, chuteload.UpstreamURLs(vms)...)
	}

	executions, err := chuteload.Executions(ctx, urls)
	if err != nil {
		return err
	}

	summary := chutestandin.Summarize(executions)

	encoded, err := json.MarshalIndent(summary, "", "  ")
	if err != nil {
		return err
	}

	_, _ = fmt.Println(string(encoded))

	if summary.DoubledUnrepeatable > 0 {
		return errDoubled
	}

	return nil
}

type registerCommand struct {
	VMs         string `help:"URL of the VM list."                      name:"vms"          placeholder:"URL" required:""`
	Name        string `help:"Name of the VM."                          required:""`
	Address     string `help:"Where its HTTP is served, host:port."     required:""`
	PeerAddress string `help:"Where it meets other nodes, host:port."`
	Zone        string `help:"Availability zone."                       required:""`
	Kind        string `default:"Entry"                                 enum:"Entry,Upstream" help:"Entry or Upstream."`
	Pool        string `help:"Pool of an upstream."`
	State       string `default:"Live"                                  enum:"Live,Leaving"   help:"Live or Leaving."`
}

// Run enters the VM, as the platform does for its own.
func (c registerCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()

	failed := oops.In("standin").With("step", "register", "peer", c.VMs)

	body, err := json.Marshal(chutestandin.VM{
		Name: c.Name, Address: c.Address, PeerAddress: c.PeerAddress, Zone: c.Zone, Kind: c.Kind, Pool: c.Pool, State: c.State,
	})
	if err != nil {
		return failed.Wrap(err)
	}

	url := strings.TrimRight(c.VMs, "/") + "/v1/vms/" + c.Name

	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return failed.Wrap(err)
	}

	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return failed.Wrap(err)
	}
	defer resp.Body.Close()

	if resp.StatusCode != http.StatusOK {
		return failed.Errorf("status %d", resp.StatusCode)
	}

	return nil
}
