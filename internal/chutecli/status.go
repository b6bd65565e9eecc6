package chutecli

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"

	"github.com/samber/oops"

	"azurechute.example/azurechute/internal/chutestore"
	"azurechute.example/azurechute/internal/chutetable"
)

// nodesAtOnce bounds the nodes that are asked side by side.
const nodesAtOnce = 16

type statusCommand struct {
	platformFlags
	nodeFlags

	Node []string `help:"Node to ask, as URL or host:port; once for each." placeholder:"URL" sep:"none"`
	VMs  string   `env:"AZURECHUTE_VMS_URL" help:"Base URL of the platform's VM list; asks every entry VM on it." name:"vms" placeholder:"URL"`
}

// Help returns the command's detailed help.
func (statusCommand) Help() string {
	return `Shows the version in force and the version that each node has. Exits with 0 when
every node has it, 1 when one lags or cannot be reached, and 3 when the platform
cannot say which version is in force; the nodes are shown all the same.

Examples:
  azurechute config status --node http://10.0.1.4:8000 --node http://10.0.2.4:8000
  azurechute config status --vms http://10.0.0.9:7002 --output json`
}

// statusResult is the JSON result of the command.
type statusResult struct {
	// InForce is absent when the platform could not be read; Problem says why.
	InForce *chutestore.Head `json:",omitempty"`
	Problem string           `json:",omitempty"`
	Nodes   []nodeResult
}

// nodeResult is what one node said.
type nodeResult struct {
	URL string
	// Status is absent when the node could not be asked; Problem says why.
	Status  *nodeStatus `json:",omitempty"`
	Problem string      `json:",omitempty"`
	// UpToDate says that the node has the version in force.
	UpToDate bool
}

// nodeStatus is the answer of GET /v1/status.
type nodeStatus struct {
	Node          string
	Site          string
	Zone          string
	ConfigVersion uint64
	ConfigDigest  string
	Ready         bool
	Draining      bool
	Problem       string `json:",omitempty"`
}

// Run asks the platform and the nodes.
func (c statusCommand) Run(ctx context.Context, s session) error {
	ctx, store, end, err := c.store(ctx, s)
	if err != nil {
		return err
	}
	defer end()
	s.progress("reading the version in force")
	var result statusResult
	head, headErr := store.ReadHead(ctx)
	if headErr == nil {
		result.InForce = &head
	} else {
		result.Problem = describe(headErr)
	}
	nodes, err := c.nodes(ctx, s)
	if err != nil {
		return err
	}
	s.progress("asking %d nodes", len(nodes))
	result.Nodes = c.ask(ctx, s, nodes, result.InForce)
	if err := s.print(result, func() { s.printStatus(result) }); err != nil {
		return err
	}
	if headErr != nil {
		return headErr
	}
	for _, node := range result.Nodes {
		if !node.UpToDate {
			return errNo
		}
	}

	return nil
}

// nodes returns the nodes named and those on the VM list.
func (c statusCommand) nodes(ctx context.Context, s session) ([]string, error) {
	if c.VMs == "" {
		return c.Node, nil
	}
	platform := s.Open(chutetable.Settings{VMsURL: c.VMs})
	defer platform.Close()
	vms, err := platform.VMs(ctx)
	if err != nil {
		return nil, err
	}
	nodes := append([]string{}, c.Node...)
	for _, vm := range vms {
		if vm.Kind == chutetable.VMEntry {
			nodes = append(nodes, vm.Address)
		}
	}

	return nodes, nil
}

func (c statusCommand) ask(ctx context.Context, s session, nodes []string, head *chutestore.Head) []nodeResult {
	results := make([]nodeResult, len(nodes))
	slots := make(chan struct{}, nodesAtOnce)
	var wg sync.WaitGroup
	for i, node := range nodes {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			results[i] = nodeResult{URL: nodeURL(node)}
			status, err := c.askNode(ctx, s, node)
			if err != nil {
				results[i].Problem = describe(err)

				return
			}
			results[i].Status = &status
			results[i].UpToDate = head != nil && status.ConfigVersion >= head.Version
		})
	}
	wg.Wait()

	return results
}

func (c statusCommand) askNode(ctx context.Context, s session, node string) (nodeStatus, error) {
	var status nodeStatus
	body, err := c.get(ctx, s, "read status", node, "/v1/status")
	if err != nil {
		return status, err
	}
	if err := json.Unmarshal(body, &status); err != nil {
		return status, oops.In("cli").With("step", "read status", "peer", node).Wrap(err)
	}

	return status, nil
}

func (s session) printStatus(result statusResult) {
	switch head := result.InForce; {
	case head == nil:
		s.line("the version in force is not known: %s", result.Problem)
	case head.Version == 0:
		s.line("no version is published yet")
	default:
		s.line("version %d is in force, published by %s at %s, digest %s",
			head.Version, head.Operator, head.At.Format("2006-01-02 15:04:05 MST"), head.Digest)
	}
	if len(result.Nodes) == 0 {
		return
	}
	rows := [][]string{{"URL", "NODE", "SITE", "ZONE", "VERSION", "READY", "PROBLEM"}}
	for _, node := range result.Nodes {
		row := []string{node.URL, "", "", "", "", "", node.Problem}
		if st := node.Status; st != nil {
			version := strconv.FormatUint(st.ConfigVersion, 10)
			row = []string{node.URL, st.Node, st.Site, st.Zone, version, strconv.FormatBool(st.Ready), st.Problem}
		}
		rows = append(rows, row)
	}
	s.columns(rows)
}
