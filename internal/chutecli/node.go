package chutecli

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/samber/oops"
)

const maxAnswerBytes = 256 << 20

// nodeFlags say how to speak to nodes.
type nodeFlags struct {
	Token       string        `env:"AZURECHUTE_TOKEN" help:"Operator's bearer token; better in the environment, as flags show in the list of processes." placeholder:"TOKEN"`
	NodeTimeout time.Duration `default:"3s" help:"How long a node may take to answer."`
}

// get returns the body of a node's answer 200; the error names the step and the node.
//
// The timeout covers the body too: a node whose connection went silent must not
// hold up what the others say.
func (f nodeFlags) get(ctx context.Context, s session, step, node, path string) ([]byte, error) {
	fail := oops.In("cli").With("step", step, "peer", node)
	ctx, cancel := context.WithTimeout(ctx, f.NodeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, nodeURL(node)+path, nil)
	if err != nil {
		return nil, usagef("--node %s: %w", node, err)
	}
	if f.Token != "" {
		req.Header.Set("Authorization", "Bearer "+f.Token)
	}
	resp, err := (&http.Client{Transport: s.Transport}).Do(req)
	if err != nil {
		return nil, fail.Wrap(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return nil, fail.Wrap(err)
	case len(body) > maxAnswerBytes:
		return nil, fail.Errorf("the answer has over %d bytes", maxAnswerBytes)
	case resp.StatusCode == http.StatusUnauthorized || resp.StatusCode == http.StatusForbidden:
		return nil, fail.Errorf("%s: give an operator's token by AZURECHUTE_TOKEN", resp.Status)
	case resp.StatusCode != http.StatusOK:
		return nil, fail.Errorf("%s", resp.Status)
	}

	return body, nil
}

// nodeURL lets operators write host:port, as the VM list does.
func nodeURL(node string) string {
	if !strings.Contains(node, "://") {
		node = "http://" + node
	}

	return strings.TrimRight(node, "/")
}
